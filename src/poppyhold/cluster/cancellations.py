"""Cancellations confirmed to users, for a leader that can't learn of them from the state service."""

from __future__ import annotations

import threading
from typing import NamedTuple


class Cancellation(NamedTuple):
    """A job whose cancellation is durable with a revision."""

    job_id: str
    revision: int


class CancellationSummary(NamedTuple):
    """What a controller tells the leader of the cancellations that it confirmed to users."""

    listed: list[Cancellation]
    # The highest revision of all that are not listed; -1: that can't be said.
    unlisted_revision: int


class Cancellations:
    """Cancellations confirmed here: listed by job within a bound, and the highest revision of the others.

    A cancellation is durable before it is confirmed, so any leader may act on it at once. One that is not
    listed counts through its revision: a leader that does not know every change up to it stops renewing
    leases in time.
    """

    def __init__(self, max_listed: int) -> None:
        """``max_listed`` cancellations are listed."""
        self._max_listed = max_listed
        # Revisions by job, oldest first.
        self._listed: dict[str, int] = {}
        # Highest revision of those that were confirmed and are no longer listed.
        self._unlisted_revision = -1
        self._lock = threading.Lock()

    def add(self, job_id: str, revision: int) -> None:
        """A job's cancellation is about to be confirmed to a user; it is durable with this revision."""
        with self._lock:
            if revision <= self._unlisted_revision:
                return
            self._listed[job_id] = revision
            while len(self._listed) > self._max_listed:
                self._unlist(next(iter(self._listed)))

    def acknowledge(self, applied_revision: int) -> None:
        """A leader has acted on every change up to this revision: no need to list those."""
        with self._lock:
            applied = [job_id for job_id, revision in self._listed.items() if revision <= applied_revision]
            for job_id in applied:
                self._unlist(job_id)

    def _unlist(self, job_id: str) -> None:
        self._unlisted_revision = max(self._unlisted_revision, self._listed.pop(job_id))

    def summarize(self, first_revision: int) -> CancellationSummary:
        """The cancellations that are listed, and a bound of all others.

        ``first_revision`` is the first revision that this process saw: what one before it confirmed came
        by then. Before it saw one (-1) nothing can be said of that, whatever this one confirmed meanwhile.
        """
        with self._lock:
            listed = [Cancellation(job_id, revision) for job_id, revision in self._listed.items()]
            bound = max(self._unlisted_revision, first_revision) if first_revision >= 0 else -1
            return CancellationSummary(listed, bound)
