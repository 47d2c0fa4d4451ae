"""Cancellations confirmed to users, sent to a leader that may not reach the state service."""

from __future__ import annotations

import threading
from typing import NamedTuple


class Cancellation(NamedTuple):
    """A job and the revision of its durable cancellation."""

    job_id: str
    revision: int


class CancellationSummary(NamedTuple):
    """The cancellations that a controller confirmed to users, as sent to the leader."""

    listed: list[Cancellation]
    # No unlisted cancellation has a higher revision; -1: unknown.
    unlisted_revision: int


class Cancellations:
    """Cancellations that this controller confirmed: a bounded list, and the highest revision of the others.

    A cancellation is durable before it is confirmed, so any leader may apply it at once. For those that are
    not listed the leader gets their highest revision: unless it has applied every change up to it, it stops
    renewing leases in time for `cancel_s` (`cluster.authority`).
    """

    def __init__(self, max_listed: int) -> None:
        """At most ``max_listed`` cancellations are listed."""
        self._max_listed = max_listed
        # Revisions by job, oldest first.
        self._listed: dict[str, int] = {}
        # Highest revision of the confirmed cancellations that are no longer listed.
        self._unlisted_revision = -1
        self._lock = threading.Lock()

    def add(self, job_id: str, revision: int) -> None:
        """Record a cancellation, durable at this revision, that is about to be confirmed to a user."""
        with self._lock:
            if revision <= self._unlisted_revision:
                return
            self._listed[job_id] = revision
            while len(self._listed) > self._max_listed:
                self._unlist(next(iter(self._listed)))

    def acknowledge(self, applied_revision: int) -> None:
        """Stop listing cancellations up to this revision: a leader has applied every change up to it."""
        with self._lock:
            applied = [job_id for job_id, revision in self._listed.items() if revision <= applied_revision]
            for job_id in applied:
                self._unlist(job_id)

    def _unlist(self, job_id: str) -> None:
        self._unlisted_revision = max(self._unlisted_revision, self._listed.pop(job_id))

    def summarize(self, first_revision: int) -> CancellationSummary:
        """The listed cancellations, and a bound on the revisions of all others.

        ``first_revision`` is the first revision that this process read: it bounds what an earlier process
        confirmed. Before the first read (-1) that bound is unknown, whatever this process has confirmed.
        """
        with self._lock:
            listed = [Cancellation(job_id, revision) for job_id, revision in self._listed.items()]
            bound = max(self._unlisted_revision, first_revision) if first_revision >= 0 else -1
            return CancellationSummary(listed, bound)
