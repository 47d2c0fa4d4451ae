"""The leader's calls to the cloud: one thread, within the cloud's rate."""

from __future__ import annotations

import logging
import threading
import time
from collections import deque
from collections.abc import Callable

from poppyhold.model.outbound import Data
from poppyhold.model.outcome import RequestOutcome
from poppyhold.node.cloud import CloudClient
from poppyhold.settings import Settings
from poppyhold.wire.cloud_messages import ListedMachine, MachineListing, MachineType

log = logging.getLogger(__name__)

# Share of the cloud's requests that lists may take: beside them there must be room for deletions and hires.
LIST_SHARE = 0.5


class ListReader:
    """Reads the list of machines a page at a time, so that other requests go in between.

    A fleet of 4,000 machines is eight pages: read in one go each half lag they were all the requests that
    some clouds take, and deletions waited behind them.
    """

    def __init__(self, client: CloudClient, lag_s: float, gap_s: float) -> None:
        """``gap_s`` is the time between two requests at the cloud's rate."""
        self._client, self._gap_s = client, gap_s
        self._shortest_s = lag_s / 2
        self._began_at = 0.0
        self._pages = 0
        self._entries: list[ListedMachine] = []
        # When the next page, or the next list, is due.
        self.due_at = time.monotonic()

    def read_page(self) -> MachineListing | None:
        """Read the next page; the list, once it is whole."""
        now = time.monotonic()
        if not self._pages:
            self._began_at = now
        page = self._client.page(self._entries[-1].name if self._entries else "")
        if page is None:
            # A list that can't be read whole is read anew: of the pages before, none knows how old they get.
            self._begin_anew()
            return None
        self._pages += 1
        self._entries += page.machines
        if page.more and page.machines:
            self.due_at = now + self._gap_s / LIST_SHARE
            return None
        listing = MachineListing(self._entries, self._began_at)
        self._begin_anew()
        return listing

    def _begin_anew(self) -> None:
        """The next list is due half a lag behind the beginning of this one, or as long as its pages take."""
        pages_s = self._pages * self._gap_s / LIST_SHARE
        self.due_at = self._began_at + max(self._shortest_s, pages_s)
        self._pages, self._entries = 0, []


class CloudThread:
    """The leader's calls to the cloud, deletions before hires before looks."""

    def __init__(
        self,
        settings: Settings,
        client: CloudClient,
        on_machine_types: Callable[[list[MachineType]], None],
        on_listed: Callable[[MachineListing], None],
    ) -> None:
        self._client, self._on_machine_types, self._on_listed = client, on_machine_types, on_listed
        cloud = settings.settings.cloud
        self._gap_s = 1.0 / cloud.rps
        self._lists = ListReader(client, cloud.list_lag_s, self._gap_s)
        self._types_s = cloud.list_lag_s * 4
        self._deletes: deque[tuple[list[str], Callable[[bool], None]]] = deque()
        self._launches: deque[tuple[Data, Callable[[RequestOutcome, list[str]], None]]] = deque()
        self._wake = threading.Condition()
        self._stopped = False
        self._thread = threading.Thread(target=self._run, name="cloud", daemon=True)
        self._thread.start()

    def delete(self, names: list[str], done: Callable[[bool], None]) -> None:
        """Queue a deletion."""
        with self._wake:
            self._deletes.append((names, done))
            self._wake.notify()

    def launch(self, body: Data, done: Callable[[RequestOutcome, list[str]], None]) -> None:
        """Queue a hire."""
        with self._wake:
            self._launches.append((body, done))
            self._wake.notify()

    def stop(self) -> None:
        """End the thread after the call that it is in."""
        with self._wake:
            self._stopped = True
            self._wake.notify()

    def _run(self) -> None:
        types_at = credit_at = time.monotonic()
        while not self._stopped:
            self._await_work(min(self._lists.due_at, types_at))
            if self._stopped:
                return
            now = time.monotonic()
            # Bursts of one second's worth: half of what the cloud bears.
            credit_at = max(credit_at + self._gap_s, now - 1.0)
            if credit_at > now:
                time.sleep(credit_at - now)
            try:
                if self._deletes or self._launches:
                    self._change()
                elif time.monotonic() >= self._lists.due_at:
                    self._look_at_machines()
                else:
                    types_at = time.monotonic() + self._types_s
                    self._look_at_types()
            except Exception:
                log.exception("cloud")

    def _await_work(self, until: float) -> None:
        """Wait for a change that is asked for, or for the time of the next look."""
        with self._wake:
            while not (self._deletes or self._launches or self._stopped):
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
            body, launched = self._launches.popleft()
            launched(*self._client.launch(body))

    def _look_at_types(self) -> None:
        machine_types = self._client.machine_types()
        if machine_types is not None:
            self._on_machine_types(machine_types)

    def _look_at_machines(self) -> None:
        listing = self._lists.read_page()
        if listing is not None:
            self._on_listed(listing)
