"""The order in which a scheduling cycle comes to the jobs that wait."""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple

from poppyhold.model.durations import Durations
from poppyhold.model.entities import Job
from poppyhold.scheduling.estimates import RunTimeEstimates

# Leases after which a job that has not begun is no longer passed over for more valuable ones. With twice as
# many, large arrays of a small fleet under overload began four minutes and more after their submission.
_STARVATION_THRESHOLD_LEASES = 6


class _Urgency(IntEnum):
    """Among jobs of one priority and guarantee, those of a lower value go first."""

    STARVED = 0
    MEETS_DEADLINE = 1
    MISSES_DEADLINE = 2


class _OrderKey(NamedTuple):
    priority: int
    beyond_guarantee: bool
    urgency: _Urgency
    # Seconds of work that are left, times the accelerators or else the cpus that they take.
    remaining_work: float
    submitted_at: float
    id: str


class JobOrder:
    """Orders jobs by priority, guarantee, and then by what their value does while they wait."""

    def __init__(self, durations: Durations, estimates: RunTimeEstimates) -> None:
        self._starvation_threshold_s = durations.lease_s * _STARVATION_THRESHOLD_LEASES
        self._estimates = estimates

    def sort(self, jobs: list[Job], now: float) -> None:
        """Sort jobs that wait, the most urgent first."""
        jobs.sort(key=lambda job: self._key(job, now))

    def is_starved(self, job: Job, now: float) -> bool:
        """Whether a job that has not begun is no longer passed over for others."""
        return not job.active and not job.done and self.starved_s(job, now) > 0

    def starved_s(self, job: Job, now: float) -> float:
        """Seconds that a job has waited beyond the time for which others may pass it."""
        return now - job.submitted_at - self._starvation_threshold_s

    def _key(self, job: Job, now: float) -> _OrderKey:
        """A job that can still meet its deadline loses value by waiting; one that can't has lost it already.

        Among those alike, the one with the least work left goes first: under overload that serves the most
        of them, where the most urgent first makes all of them late. One that has waited too long to begin
        goes first all the same, so that none starves.
        """
        if job.is_service:
            return self._key_with(job, _Urgency.MEETS_DEADLINE, 0.0)
        if self.is_starved(job, now):
            # By arrival: by least work, the largest of them would again come last.
            return self._key_with(job, _Urgency.STARVED, 0.0)
        remaining_s = max(0.0, self._estimates.estimate_s(job) - job.min_saved_work_s())
        in_time = job.due_at is None or now + remaining_s <= job.due_at
        remaining_work = remaining_s * job.pending * (job.spec.accelerators or job.spec.cpus)
        return self._key_with(
            job, _Urgency.MEETS_DEADLINE if in_time else _Urgency.MISSES_DEADLINE, remaining_work
        )

    @staticmethod
    def _key_with(job: Job, urgency: _Urgency, remaining_work: float) -> _OrderKey:
        return _OrderKey(
            job.priority, not job.within_guarantee, urgency, remaining_work, job.submitted_at, job.id
        )
