"""The order in which a scheduling cycle visits jobs with pending tasks."""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple

from poppyhold.model.durations import Durations
from poppyhold.model.entities import Job
from poppyhold.scheduling.estimates import RunTimeEstimates

# Leases after submission from which a job that has not started is starved, and goes first among jobs of equal
# priority and guarantee.
# With twice as many, large arrays on an overloaded small fleet started four minutes or more after submission.
_STARVATION_THRESHOLD_LEASES = 6


class _Urgency(IntEnum):
    """Class of a job among those of equal priority and guarantee; lower values go first."""

    STARVED = 0
    MEETS_DEADLINE = 1
    MISSES_DEADLINE = 2


class _OrderKey(NamedTuple):
    priority: int
    beyond_guarantee: bool
    urgency: _Urgency
    # Remaining run time in seconds, times the accelerators or else the CPUs of all pending tasks.
    remaining_work: float
    submitted_at: float
    id: str


class JobOrder:
    """Orders jobs by priority, guarantee, and then by starvation, deadline and remaining work."""

    def __init__(self, durations: Durations, estimates: RunTimeEstimates) -> None:
        self._starvation_threshold_s = durations.lease_s * _STARVATION_THRESHOLD_LEASES
        self._estimates = estimates

    def sort(self, jobs: list[Job], now: float) -> None:
        """Sort jobs in place, the most urgent first."""
        jobs.sort(key=lambda job: self._key(job, now))

    def is_starved(self, job: Job, now: float) -> bool:
        """Return whether a job has not started within the starvation threshold."""
        return not job.active and not job.done and self.starved_s(job, now) > 0

    def starved_s(self, job: Job, now: float) -> float:
        """Return the seconds that a job has waited beyond the starvation threshold; negative before it."""
        return now - job.submitted_at - self._starvation_threshold_s

    def _key(self, job: Job, now: float) -> _OrderKey:
        """Return the sort key: starved jobs first, then jobs that can still meet their deadline.

        A job that can't meet its deadline misses it whether it waits or not. Within a class the least
        remaining work goes first: under overload that completes the most jobs in time, whereas earliest
        deadline first makes all of them late.
        """
        if job.is_service:
            return self._key_with(job, _Urgency.MEETS_DEADLINE, 0.0)
        if self.is_starved(job, now):
            # Starved jobs go in order of submission: by least work the largest of them would stay last.
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
