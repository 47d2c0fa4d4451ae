"""Forecast of the tasks that are submitted while a machine boots, from recent submissions."""

from __future__ import annotations

import math
from collections import deque
from typing import NamedTuple

from poppyhold.machines.supply_and_demand import Demand
from poppyhold.model.resources import ACCELERATORS, CPUS, Resources, task_resources
from poppyhold.wire.user_messages import Submission

# Equal intervals into which the forecast's window is divided.
_WINDOW_BUCKETS = 6


class _JobKind(NamedTuple):
    """Key by which arrivals are aggregated: team, class and the resources of one task."""

    team: str
    job_class: str
    need: Resources

    @property
    def is_accelerated(self) -> bool:
        """Whether its tasks need accelerators."""
        return self.need[ACCELERATORS] > 0

    @property
    def task_size(self) -> float:
        """Size of a task in the resource that machines probably run out of first."""
        return self.need[ACCELERATORS] if self.is_accelerated else self.need[CPUS]


class _Event(NamedTuple):
    """The submission or the end of a job."""

    at: float
    spec: Submission


def _kind_of(spec: Submission) -> _JobKind:
    return _JobKind(spec.team, spec.job_class, task_resources(spec))


def _pooling_factor(deviations: list[float]) -> float:
    """Return the standard deviation of a sum as a part of the sum of the deviations."""
    total = sum(deviations)
    return math.sqrt(sum(deviation * deviation for deviation in deviations)) / total if total else 0.0


class Arrivals:
    """Forecasts demand by kind of job, from the submissions and ends within a sliding window."""

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        self._submissions: deque[_Event] = deque()
        self._ends: deque[_Event] = deque()
        self._first_at: float | None = None

    def record_submission(self, now: float, spec: Submission) -> None:
        """Record that a job was submitted."""
        if self._first_at is None:
            self._first_at = now
        self._submissions.append(_Event(now, spec))

    def record_end(self, now: float, spec: Submission) -> None:
        """Record that a job ended."""
        self._ends.append(_Event(now, spec))

    def forecast(self, now: float, ahead_s: float, factor: float) -> list[Demand]:
        """Return the tasks of the next ``ahead_s`` seconds to keep capacity for, by kind of job.

        They are ``factor`` standard deviations of the arrivals, and the growth of services: those of a new
        fleet grow until as many replicas end as start.
        """
        self._drop_expired(now)
        if self._first_at is None:
            return []
        by_kind: dict[_JobKind, list[_Event]] = {}
        for event in self._submissions:
            by_kind.setdefault(_kind_of(event.spec), []).append(event)
        deviations = {
            kind: math.sqrt(self._steady_rate(now, events, 2) * ahead_s) for kind, events in by_kind.items()
        }
        pooling_factors = {
            accelerated: self._capacity_pooling_factor(deviations, accelerated)
            for accelerated in (True, False)
        }
        return [
            Demand(
                events[-1].spec,
                kind.need,
                math.ceil(
                    factor * pooling_factors[kind.is_accelerated] * deviations[kind]
                    + self._growth(now, kind, events, ahead_s)
                ),
                {},
                is_forecast=True,
            )
            for kind, events in by_kind.items()
        ]

    def _drop_expired(self, now: float) -> None:
        for history in (self._submissions, self._ends):
            while history and history[0].at < now - self._window_s:
                history.popleft()

    def _growth(self, now: float, kind: _JobKind, events: list[_Event], ahead_s: float) -> float:
        """Return by how many replicas a kind of service grows in ``ahead_s`` seconds."""
        if events[-1].spec.shape != "service":
            return 0.0
        ended = sum(event.spec.tasks for event in self._ends if _kind_of(event.spec) == kind)
        return max(0.0, self._steady_rate(now, events, 1) - ended / self._window_s) * ahead_s

    @staticmethod
    def _capacity_pooling_factor(deviations: dict[_JobKind, float], accelerated: bool) -> float:
        """Return the part of their deviations that kinds need which share capacity.

        They seldom peak together: the deviation of the sum is less than the sum of the deviations. Kinds with
        accelerators and kinds without run out of different resources, so each group is pooled by itself.
        """
        return _pooling_factor(
            [
                deviation * kind.task_size
                for kind, deviation in deviations.items()
                if kind.is_accelerated == accelerated
            ]
        )

    def _steady_rate(self, now: float, events: list[_Event], power: int) -> float:
        """Return job sizes to the given power per second, without the busiest interval of the window.

        A backlog that is submitted at once, as to a new fleet, does not predict arrivals. But in the first
        window it alone shows how uneven they are, and without spare capacity the first jobs wait for boots:
        squares include it, spread over the whole window.
        """
        buckets = [0.0] * _WINDOW_BUCKETS
        bucket_s = self._window_s / _WINDOW_BUCKETS
        for at, spec in events:
            buckets[min(_WINDOW_BUCKETS - 1, int((now - at) / bucket_s))] += float(spec.tasks) ** power
        covered_buckets = min(_WINDOW_BUCKETS, math.ceil((now - (self._first_at or 0.0)) / bucket_s))
        if covered_buckets < _WINDOW_BUCKETS and power > 1:
            return sum(buckets) / self._window_s
        if covered_buckets <= 1:
            return 0.0
        return (sum(buckets) - max(buckets)) / ((covered_buckets - 1) * bucket_s)
