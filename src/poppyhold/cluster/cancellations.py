"""Cancellations confirmed to users, for a leader that can't learn of them from the state service."""

from __future__ import annotations

import threading

# Job and revision.
Cancellation = tuple[str, int]


class Cancellations:
    """What was confirmed here: by job as far as there is room, and the highest revision of the rest.

    A cancellation is durable before it is confirmed, so any leader may act on it at once. One that is not
    named counts through its revision: a leader that does not know every change up to it stops to answer in
    time.
    """

    def __init__(self, most: int) -> None:
        self._most = most
        self._named: dict[str, int] = {}
        # Highest revision of those that were confirmed and are no longer named.
        self._unnamed = -1
        self._lock = threading.Lock()

    def add(self, job_id: str, revision: int) -> None:
        """A job's cancellation is about to be confirmed to a user; it is durable with this revision."""
        with self._lock:
            if revision <= self._unnamed:
                return
            self._named[job_id] = revision
            while len(self._named) > self._most:
                oldest = next(iter(self._named))
                self._unnamed = max(self._unnamed, self._named.pop(oldest))

    def known(self, acted_on: int) -> None:
        """A leader knows every change up to this revision: no need to name those."""
        with self._lock:
            for job_id in [job_id for job_id, revision in self._named.items() if revision <= acted_on]:
                self._unnamed = max(self._unnamed, self._named.pop(job_id))

    def named(self, first: int) -> tuple[list[Cancellation], int]:
        """Those that are named, and the highest revision of all others; -1: that can't be said.

        ``first`` is the first revision that this process saw: what one before it confirmed came by then.
        Before it saw one (-1) nothing can be said of that, whatever it confirmed itself meanwhile.
        """
        with self._lock:
            return list(self._named.items()), max(self._unnamed, first) if first >= 0 else -1
