"""Following a prefix of the state service."""

from __future__ import annotations

import logging
import threading
import time
from collections.abc import Callable

from poppyhold.durable.errors import OutcomeUnknownError, StoreRejectedError, WatchCompactedError
from poppyhold.durable.prefix_reader import PrefixReader
from poppyhold.durable.store import Entry, Store

log = logging.getLogger(__name__)


class Watch:
    """A thread that keeps up with a prefix: a snapshot first, then every change in order."""

    def __init__(
        self,
        store: Store,
        prefix: str,
        hold_s: float,
        on_snapshot: Callable[[list[Entry]], None],
        on_change: Callable[[Entry | str, int], None],
        clock: Callable[[], float] = time.monotonic,
        on_synced: Callable[[float, int], None] | None = None,
    ) -> None:
        self._store, self._prefix, self._hold_s = store, prefix, hold_s
        self._on_snapshot, self._on_change, self._clock = on_snapshot, on_change, clock
        self._on_synced = on_synced
        self._stop = threading.Event()
        # Under way as long as a snapshot is not read whole.
        self._reader = PrefixReader(store, prefix)
        # Revision of the first snapshot.
        self.first_revision = -1
        self._thread = threading.Thread(target=self._run, name=f"watch {prefix}", daemon=True)

    def start(self) -> Watch:
        """Start the thread."""
        self._thread.start()
        return self

    def stop(self) -> None:
        """Ask the thread to end; it does after the call that it is in."""
        self._stop.set()

    def _run(self) -> None:
        revision = -1
        while not self._stop.is_set():
            asked = self._clock()
            try:
                revision = self._read() if revision < 0 else self._follow(revision)
                if self._stop.is_set():
                    return
                if self.first_revision < 0:
                    self.first_revision = revision
                if self._on_synced is not None:
                    self._on_synced(asked, revision)
            except WatchCompactedError:
                revision = -1
            except (StoreRejectedError, OutcomeUnknownError):
                self._stop.wait(self._hold_s / 10)
            except Exception:
                # A watch that ended would leave the node blind: start over.
                log.exception("watch %s", self._prefix)
                revision = -1
                self._stop.wait(self._hold_s / 10)

    def _read(self) -> int:
        """Read all keys; the revision that they are of."""
        entries = self._reader.read()
        revision = self._reader.revision
        self._reader = PrefixReader(self._store, self._prefix)
        if not self._stop.is_set():
            self._on_snapshot(entries)
        return revision

    def _follow(self, since: int) -> int:
        """Wait for changes and hand them on, in order; the revision that they go up to."""
        events, revision = self._store.follow(self._prefix, since, self._hold_s)
        for event in events:
            if self._stop.is_set():
                break
            if "set" in event:
                entry = Entry(event["set"], event["data"], event["stamp"])
                self._on_change(entry, entry.version)
            else:
                self._on_change(event["remove"], event["stamp"])
        return revision
