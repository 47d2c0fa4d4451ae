"""The cloud's interface: one thread, within the cloud's rate."""

from __future__ import annotations

import logging
import threading
import time
from collections import deque
from collections.abc import Callable
from http import HTTPStatus
from typing import TypeVar

from poppyhold.model.context import OK, REFUSED, UNSURE, Data
from poppyhold.settings import Settings, split_address
from poppyhold.wire.http_client import Client, NoAnswerError, NotSentError
from poppyhold.wire.messages import (
    Hired,
    Listed,
    MachineList,
    MachineType,
    MachineTypes,
    MalformedError,
    convert,
)

log = logging.getLogger(__name__)

T = TypeVar("T")


class CloudClient:
    """Typed calls, each made once."""

    def __init__(self, settings: Settings) -> None:
        host, port = split_address(settings.outside.cloud)
        self._client = Client(host, port, keep=2)
        self._timeout = settings.settings.workers.lease_s / 3

    def machine_types(self) -> list[MachineType] | None:
        """The machine types, or None if the cloud does not say."""
        answer = self._get("/machine_types", MachineTypes)
        return answer.machine_types if answer is not None else None

    def page(self, since: str) -> MachineList | None:
        """One page of the list, or None."""
        after = f"since={since}&" if since else ""
        return self._get(f"/machines?{after}most=500", MachineList)

    def _get(self, path: str, kind: type[T]) -> T | None:
        try:
            status, data = self._client.request("GET", path, timeout=self._timeout)
            return convert(data, kind) if status == HTTPStatus.OK else None
        except (NotSentError, NoAnswerError, MalformedError) as error:
            log.debug("cloud %s: %s", path, error)
            return None

    def hire(self, body: Data) -> tuple[str, list[str]]:
        """Rent machines. Unless the cloud says no, the request may yet be carried out."""
        try:
            status, data = self._client.request("POST", "/machines", body, timeout=self._timeout)
            if status == HTTPStatus.OK:
                return OK, convert(data, Hired).machines
        except (NotSentError, NoAnswerError, MalformedError) as error:
            log.debug("hire: %s", error)
            return UNSURE, []
        no_capacity = status == HTTPStatus.SERVICE_UNAVAILABLE and data.get("error") == "no capacity"
        if no_capacity or status == HTTPStatus.BAD_REQUEST:
            return REFUSED, []
        return UNSURE, []

    def delete(self, names: list[str]) -> bool:
        """Delete machines; once True is returned they are gone."""
        try:
            status, _ = self._client.request(
                "POST", "/machines/delete", {"boxes": names}, timeout=self._timeout
            )
            return status == HTTPStatus.OK
        except (NotSentError, NoAnswerError) as error:
            log.debug("delete: %s", error)
            return False


class CloudThread:
    """The leader's calls to the cloud, deletions before hires before looks."""

    def __init__(
        self,
        settings: Settings,
        client: CloudClient,
        on_builds: Callable[[list[MachineType]], None],
        on_listed: Callable[[list[Listed]], None],
    ) -> None:
        self._client, self._on_machine_types, self._on_listed = client, on_builds, on_listed
        cloud = settings.settings.cloud
        self._gap_s = 1.0 / cloud.rps
        self._list_s = cloud.list_lag_s / 2
        self._types_s = cloud.list_lag_s * 4
        self._deletes: deque[tuple[list[str], Callable[[bool], None]]] = deque()
        self._hires: deque[tuple[Data, Callable[[str, list[str]], None]]] = deque()
        self._wake = threading.Condition()
        self._stopped = False
        self._thread = threading.Thread(target=self._run, name="cloud", daemon=True)
        self._thread.start()

    def delete(self, names: list[str], done: Callable[[bool], None]) -> None:
        """Queue a deletion."""
        with self._wake:
            self._deletes.append((names, done))
            self._wake.notify()

    def hire(self, body: Data, done: Callable[[str, list[str]], None]) -> None:
        """Queue a hire."""
        with self._wake:
            self._hires.append((body, done))
            self._wake.notify()

    def stop(self) -> None:
        """End the thread after the call that it is in."""
        with self._wake:
            self._stopped = True
            self._wake.notify()

    def _run(self) -> None:
        now = time.monotonic()
        list_at, types_at = now, now
        credit_at = now
        while not self._stopped:
            self._await_work(min(list_at, types_at))
            if self._stopped:
                return
            now = time.monotonic()
            # Bursts of one second's worth: half of what the cloud bears.
            credit_at = max(credit_at + self._gap_s, now - 1.0)
            if credit_at > now:
                time.sleep(credit_at - now)
            try:
                if self._deletes or self._hires:
                    self._change()
                elif time.monotonic() >= list_at:
                    list_at = time.monotonic() + self._list_s
                    self._list()
                else:
                    types_at = time.monotonic() + self._types_s
                    machine_types = self._client.machine_types()
                    if machine_types is not None:
                        self._on_machine_types(machine_types)
            except Exception:
                log.exception("cloud")

    def _await_work(self, until: float) -> None:
        """Wait for a change that is asked for, or for the time of the next look."""
        with self._wake:
            while not (self._deletes or self._hires or self._stopped):
                rest = until - time.monotonic()
                if rest <= 0:
                    return
                self._wake.wait(rest)

    def _change(self) -> None:
        """Carry out a deletion, or else a hire."""
        if self._deletes:
            names, deleted = self._deletes.popleft()
            deleted(self._client.delete(names))
        else:
            body, hired = self._hires.popleft()
            hired(*self._client.hire(body))

    def _list(self) -> None:
        since = ""
        listed: list[Listed] = []
        while True:
            page = self._client.page(since)
            if page is None:
                return
            listed += page.machines
            if not page.more or not page.machines:
                break
            since = page.machines[-1].name
            time.sleep(self._gap_s)
        self._on_listed(listed)
