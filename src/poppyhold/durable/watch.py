"""A watch on a prefix of the state service."""

from __future__ import annotations

import logging
import threading
import time
from collections.abc import Callable

from poppyhold.durable.changes import Entry, WatchEvent
from poppyhold.durable.errors import OutcomeUnknownError, StoreRejectedError, WatchCompactedError
from poppyhold.durable.prefix_reader import PrefixReader
from poppyhold.durable.store import Store

log = logging.getLogger(__name__)

# In place of a revision: the whole prefix must be read, at first or because changes are missing.
_UNREAD = -1


class Watch:
    """A thread that delivers a snapshot of a prefix, then every change in order.

    The callbacks are called on this thread. ``on_caught_up(requested_at, revision)``: every change that the
    state service had at ``requested_at`` has been delivered, and every one up to ``revision``. Where changes
    are missing or a callback fails, a new snapshot is delivered.
    """

    def __init__(
        self,
        store: Store,
        prefix: str,
        poll_timeout_s: float,
        on_snapshot: Callable[[list[Entry]], None],
        on_change: Callable[[WatchEvent], None],
        clock: Callable[[], float] = time.monotonic,
        on_caught_up: Callable[[float, int], None] | None = None,
    ) -> None:
        self._store, self._prefix, self._poll_timeout_s = store, prefix, poll_timeout_s
        self._on_snapshot, self._on_change, self._clock = on_snapshot, on_change, clock
        self._on_caught_up = on_caught_up
        self._stop = threading.Event()
        # Keeps the pages read so far until the snapshot is complete.
        self._reader = PrefixReader(store, prefix)
        # Revision of the first snapshot; -1 before it was read.
        self.first_revision = _UNREAD
        self._thread = threading.Thread(target=self._run, name=f"watch {prefix}", daemon=True)

    def start(self) -> Watch:
        """Start the thread."""
        self._thread.start()
        return self

    def stop(self) -> None:
        """Ask the thread to end, which it does after its current call."""
        self._stop.set()

    def _run(self) -> None:
        revision = _UNREAD
        while not self._stop.is_set():
            requested_at = self._clock()
            try:
                revision = self._read() if revision < 0 else self._poll(revision)
                if self._stop.is_set():
                    return
                if self.first_revision < 0:
                    self.first_revision = revision
                if self._on_caught_up is not None:
                    self._on_caught_up(requested_at, revision)
            except WatchCompactedError as error:
                log.debug("watch restarts from a snapshot: prefix=%s: %s", self._prefix, error)
                revision = _UNREAD
            except (StoreRejectedError, OutcomeUnknownError) as error:
                log.debug("watch to be retried: prefix=%s revision=%d: %s", self._prefix, revision, error)
                self._stop.wait(self._poll_timeout_s / 10)
            except Exception:
                # Thread boundary: without this thread the node would miss every further change.
                log.exception("watch failed, restarts from a snapshot: prefix=%s", self._prefix)
                revision = _UNREAD
                self._stop.wait(self._poll_timeout_s / 10)

    def _read(self) -> int:
        """Read and deliver all keys; returns the revision as of which they were read."""
        entries = self._reader.read()
        revision = self._reader.revision
        self._reader = PrefixReader(self._store, self._prefix)
        if not self._stop.is_set():
            self._on_snapshot(entries)
        return revision

    def _poll(self, since: int) -> int:
        """Wait for changes and deliver them in order; returns the revision that they reach."""
        changes = self._store.poll_changes(self._prefix, since, self._poll_timeout_s)
        for event in changes.events:
            if self._stop.is_set():
                break
            self._on_change(event)
        return changes.revision
