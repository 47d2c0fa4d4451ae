"""Client of the cloud's HTTP interface: typed requests, each sent once."""

from __future__ import annotations

import logging
from http import HTTPStatus
from typing import TypeVar

from poppyhold.configuration_checks import split_address
from poppyhold.model.outbound import Data
from poppyhold.model.outcome import RequestOutcome
from poppyhold.settings import Settings
from poppyhold.wire.cloud_messages import (
    DeletionRequest,
    LaunchResponse,
    MachineListPage,
    MachineType,
    MachineTypes,
)
from poppyhold.wire.codec import MalformedError, convert
from poppyhold.wire.http_client import HttpClient, NoResponseError, NotSentError

log = logging.getLogger(__name__)

# Maximum number of machines on a page of the machine list.
LIST_PAGE_SIZE = 500
# Timeout of a request: a lease divided by this.
_TIMEOUT_DIVISOR = 3

T = TypeVar("T")


class CloudClient:
    """Sends each request once, without retries. Thread-safe."""

    def __init__(self, settings: Settings) -> None:
        host, port = split_address(settings.external_services.cloud)
        self._client = HttpClient(host, port, max_idle=2)
        self._timeout_s = settings.deployment.workers.lease_s / _TIMEOUT_DIVISOR

    def fetch_machine_types(self) -> list[MachineType] | None:
        """Return the machine types; None without a valid response."""
        answer = self._get("/machine_types", MachineTypes)
        return answer.machine_types if answer is not None else None

    def fetch_machine_page(self, since: str) -> MachineListPage | None:
        """Return the page of the machine list after the name ``since``; None without a valid response."""
        after = f"since={since}&" if since else ""
        return self._get(f"/machines?{after}most={LIST_PAGE_SIZE}", MachineListPage)

    def _get(self, path: str, kind: type[T]) -> T | None:
        try:
            status, data = self._client.request("GET", path, timeout_s=self._timeout_s)
            return convert(data, kind) if status == HTTPStatus.OK else None
        except (NotSentError, NoResponseError, MalformedError) as error:
            log.debug("cloud read failed: path=%s error=%s", path, error)
            return None

    def launch_machines(self, body: Data) -> tuple[RequestOutcome, list[str]]:
        """Launch machines; returns their names if the outcome is OK. If it is UNKNOWN, some may launch."""
        try:
            status, data = self._client.request("POST", "/machines", body, timeout_s=self._timeout_s)
            if status == HTTPStatus.OK:
                return RequestOutcome.OK, convert(data, LaunchResponse).machines
        except (NotSentError, NoResponseError, MalformedError) as error:
            log.debug("launch request failed, outcome unknown: error=%s", error)
            return RequestOutcome.UNKNOWN, []
        no_capacity = status == HTTPStatus.SERVICE_UNAVAILABLE and data.get("error") == "no capacity"
        if no_capacity or status == HTTPStatus.BAD_REQUEST:
            return RequestOutcome.REJECTED, []
        return RequestOutcome.UNKNOWN, []

    def delete_machines(self, names: list[str]) -> bool:
        """Delete machines; returns True if the cloud confirmed that they no longer exist."""
        try:
            status, _ = self._client.request(
                "POST", "/machines/delete", DeletionRequest(names).body(), timeout_s=self._timeout_s
            )
        except (NotSentError, NoResponseError) as error:
            log.debug("deletion request failed: machines=%d error=%s", len(names), error)
            return False
        return status == HTTPStatus.OK
