"""The leader's requests to the cloud: sent by one thread, within the cloud's rate limit."""

from __future__ import annotations

import logging
import threading
import time
from collections import deque
from collections.abc import Callable
from typing import NamedTuple

from poppyhold.model.outbound import Data
from poppyhold.model.outcome import RequestOutcome
from poppyhold.node.cloud_client import CloudClient
from poppyhold.settings import Settings
from poppyhold.wire.cloud_messages import ListedMachine, MachineListing, MachineType

log = logging.getLogger(__name__)

# Share of the cloud's request rate for reading machine lists; the rest is for deletions and launches.
LIST_REQUEST_SHARE = 0.5
# The machine list is read twice per maximum list lag, the machine types once per four lags.
_LISTS_PER_LAG = 2
_LAGS_PER_MACHINE_TYPES_READ = 4
# After an idle period, up to one second's worth of requests may be sent at once: half of the burst that the
# cloud accepts.
_BURST_S = 1.0

LaunchCallback = Callable[[RequestOutcome, list[str]], None]
DeletionCallback = Callable[[bool], None]


class _Launch(NamedTuple):
    """A queued launch request."""

    body: Data
    on_response: LaunchCallback


class _Deletion(NamedTuple):
    """A queued deletion request."""

    names: list[str]
    on_response: DeletionCallback


class MachineListReader:
    """Reads the machine list one page at a time, so that other requests can be sent between pages.

    The list of 4,000 machines has eight pages. If they are read without interruption every half lag, they use
    up the whole request rate of some clouds and delay deletions.
    """

    def __init__(self, client: CloudClient, lag_s: float, request_interval_s: float) -> None:
        """``request_interval_s`` is the time between two requests at the cloud's rate limit."""
        self._client, self._request_interval_s = client, request_interval_s
        self._min_interval_s = lag_s / _LISTS_PER_LAG
        self._list_started_at = 0.0
        self._pages_read = 0
        self._machines: list[ListedMachine] = []
        # When the next page, or the first page of the next list, is due.
        self.due_at = time.monotonic()

    def read_next_page(self) -> MachineListing | None:
        """Read the next page; returns the machine list after its last page, else None."""
        now = time.monotonic()
        if not self._pages_read:
            self._list_started_at = now
        page = self._client.fetch_machine_page(self._machines[-1].name if self._machines else "")
        if page is None:
            # A failed page restarts the whole list: the age of the pages already read would be unbounded.
            self._schedule_next_list()
            return None
        self._pages_read += 1
        self._machines += page.machines
        if page.more and page.machines:
            self.due_at = now + self._request_interval_s / LIST_REQUEST_SHARE
            return None
        listing = MachineListing(self._machines, self._list_started_at)
        self._schedule_next_list()
        return listing

    def _schedule_next_list(self) -> None:
        """Schedule the next list half a lag after the start of this one, or later if its pages need it."""
        pages_s = self._pages_read * self._request_interval_s / LIST_REQUEST_SHARE
        self.due_at = self._list_started_at + max(self._min_interval_s, pages_s)
        self._pages_read, self._machines = 0, []


class CloudDispatcher:
    """Sends the leader's requests in priority order: deletions, launches, reads."""

    def __init__(
        self,
        settings: Settings,
        client: CloudClient,
        on_machine_types: Callable[[list[MachineType]], None],
        on_machine_listing: Callable[[MachineListing], None],
    ) -> None:
        self._client = client
        self._on_machine_types, self._on_machine_listing = on_machine_types, on_machine_listing
        cloud = settings.deployment.cloud
        self._request_interval_s = 1.0 / cloud.rps
        self._list_reader = MachineListReader(client, cloud.list_lag_s, self._request_interval_s)
        self._machine_types_interval_s = cloud.list_lag_s * _LAGS_PER_MACHINE_TYPES_READ
        self._deletions: deque[_Deletion] = deque()
        self._launches: deque[_Launch] = deque()
        self._wake = threading.Condition()
        self._stopped = False
        self._thread = threading.Thread(target=self._run, name="cloud", daemon=True)
        self._thread.start()

    def delete(self, names: list[str], on_response: DeletionCallback) -> None:
        """Queue the deletion of machines."""
        with self._wake:
            self._deletions.append(_Deletion(names, on_response))
            self._wake.notify()

    def launch(self, body: Data, on_response: LaunchCallback) -> None:
        """Queue a launch request."""
        with self._wake:
            self._launches.append(_Launch(body, on_response))
            self._wake.notify()

    def stop(self) -> None:
        """Stop the thread after its current request."""
        with self._wake:
            self._stopped = True
            self._wake.notify()

    def _run(self) -> None:
        machine_types_at = next_request_at = time.monotonic()
        while not self._stopped:
            self._await_request(min(self._list_reader.due_at, machine_types_at))
            if self._stopped:
                return
            now = time.monotonic()
            next_request_at = max(next_request_at + self._request_interval_s, now - _BURST_S)
            if next_request_at > now:
                time.sleep(next_request_at - now)
            try:
                if self._deletions or self._launches:
                    self._send_mutation()
                elif time.monotonic() >= self._list_reader.due_at:
                    self._read_machine_list()
                else:
                    machine_types_at = time.monotonic() + self._machine_types_interval_s
                    self._read_machine_types()
            except Exception:
                # Without this thread no machine would be launched or deleted for the rest of the term.
                log.exception("cloud request or its callback failed, continuing with the next request")

    def _await_request(self, until: float) -> None:
        """Wait until a deletion or launch is queued, a read is due at ``until``, or the thread is stopped."""
        with self._wake:
            while not (self._deletions or self._launches or self._stopped):
                remaining_s = until - time.monotonic()
                if remaining_s <= 0:
                    return
                self._wake.wait(remaining_s)

    def _send_mutation(self) -> None:
        """Send the oldest queued deletion, or the oldest launch if there is no deletion."""
        if self._deletions:
            deletion = self._deletions.popleft()
            deletion.on_response(self._client.delete_machines(deletion.names))
        else:
            launch = self._launches.popleft()
            launch.on_response(*self._client.launch_machines(launch.body))

    def _read_machine_types(self) -> None:
        machine_types = self._client.fetch_machine_types()
        if machine_types is not None:
            self._on_machine_types(machine_types)

    def _read_machine_list(self) -> None:
        listing = self._list_reader.read_next_page()
        if listing is not None:
            self._on_machine_listing(listing)
