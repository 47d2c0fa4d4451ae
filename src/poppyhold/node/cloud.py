"""The cloud's interface: typed calls, each made once."""

from __future__ import annotations

import logging
from http import HTTPStatus
from typing import TypeVar

from poppyhold.model.outbound import Data
from poppyhold.model.outcome import RequestOutcome
from poppyhold.settings import Settings, split_address
from poppyhold.wire.cloud_messages import LaunchResponse, MachineListPage, MachineType, MachineTypes
from poppyhold.wire.codec import MalformedError, convert
from poppyhold.wire.http_client import HttpClient, NoResponseError, NotSentError

log = logging.getLogger(__name__)

# Machines on a page of the list, at the most.
LIST_PAGE = 500

T = TypeVar("T")


class CloudClient:
    """Typed calls, each made once."""

    def __init__(self, settings: Settings) -> None:
        host, port = split_address(settings.outside.cloud)
        self._client = HttpClient(host, port, most_idle=2)
        self._timeout = settings.settings.workers.lease_s / 3

    def machine_types(self) -> list[MachineType] | None:
        """The machine types, or None if the cloud does not say."""
        answer = self._get("/machine_types", MachineTypes)
        return answer.machine_types if answer is not None else None

    def page(self, since: str) -> MachineListPage | None:
        """One page of the list, or None."""
        after = f"since={since}&" if since else ""
        return self._get(f"/machines?{after}most={LIST_PAGE}", MachineListPage)

    def _get(self, path: str, kind: type[T]) -> T | None:
        try:
            status, data = self._client.request("GET", path, timeout=self._timeout)
            return convert(data, kind) if status == HTTPStatus.OK else None
        except (NotSentError, NoResponseError, MalformedError) as error:
            log.debug("cloud %s: %s", path, error)
            return None

    def launch(self, body: Data) -> tuple[RequestOutcome, list[str]]:
        """Rent machines. Unless the cloud says no, the request may yet be carried out."""
        try:
            status, data = self._client.request("POST", "/machines", body, timeout=self._timeout)
            if status == HTTPStatus.OK:
                return RequestOutcome.OK, convert(data, LaunchResponse).machines
        except (NotSentError, NoResponseError, MalformedError) as error:
            log.debug("hire: %s", error)
            return RequestOutcome.UNKNOWN, []
        no_capacity = status == HTTPStatus.SERVICE_UNAVAILABLE and data.get("error") == "no capacity"
        if no_capacity or status == HTTPStatus.BAD_REQUEST:
            return RequestOutcome.REJECTED, []
        return RequestOutcome.UNKNOWN, []

    def delete(self, names: list[str]) -> bool:
        """Delete machines; once True is returned they are gone."""
        try:
            status, _ = self._client.request(
                "POST", "/machines/delete", {"boxes": names}, timeout=self._timeout
            )
            return status == HTTPStatus.OK
        except (NotSentError, NoResponseError) as error:
            log.debug("delete: %s", error)
            return False
