"""Measures the teams' demand in this cell from what runs and what is pending."""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping

import msgspec

from poppyhold.model.context import Context
from poppyhold.model.entities import JobPhase
from poppyhold.model.resources import ACCELERATORS, CPUS, EPSILON, Resources
from poppyhold.quota.amounts import UNIT, TeamAllocation, to_thousandths
from poppyhold.quota.demand import TeamDemand
from poppyhold.quota.free_capacity import FreeCapacityEstimate
from poppyhold.quota.recent_peak import RecentPeak
from poppyhold.quota.retention import RetentionTimes
from poppyhold.wire.user_messages import Submission


def _to_thousandths_rounded_up(amount: float) -> int:
    """Convert to thousandths, rounded up except for the rounding errors of float sums."""
    return math.ceil(amount * UNIT - EPSILON)


class _Progress(msgspec.Struct):
    """Since when a team's work has been pending despite an idle allocation, with unchanged use."""

    used: float
    since: float


class DemandMonitor:
    """Measures running and pending work by team."""

    def __init__(
        self,
        ctx: Context,
        stall_timeout_s: float,
        retention: RetentionTimes,
        unaccounted_resources: Callable[[], Resources],
        can_launch: Callable[[Submission], bool],
    ) -> None:
        """``unaccounted_resources`` is what unreconciled machines may use; it counts as use of every team.

        Work is stalled if it is pending despite an idle allocation for longer than ``stall_timeout_s``.
        """
        self._ctx, self._stall_timeout_s, self._retention = ctx, stall_timeout_s, retention
        self._unaccounted_resources, self._can_launch = unaccounted_resources, can_launch
        self._peaks: dict[str, tuple[RecentPeak, RecentPeak]] = {}
        self._progress: dict[str, _Progress] = {}

    def update_possible_use(self, demands: Mapping[str, TeamDemand]) -> None:
        """Update the possible use of each team, including that of unreconciled machines."""
        unaccounted = self._unaccounted_resources()
        for team, demand in demands.items():
            used = self._ctx.fleet.used_by_team.get(team, [0.0, 0.0])
            demand.cpus.possible_use = _to_thousandths_rounded_up(used[CPUS] + unaccounted[CPUS])
            demand.accelerators.possible_use = _to_thousandths_rounded_up(
                used[ACCELERATORS] + unaccounted[ACCELERATORS]
            )

    def measure(self, allocations: dict[str, TeamAllocation]) -> dict[str, TeamDemand]:
        """Measure the demand of every team that has an allocation."""
        now = self._ctx.clock()
        demands = {team: TeamDemand() for team in allocations}
        self.update_possible_use(demands)
        for team, demand in demands.items():
            self._measure_use(team, demand, now)
        self._add_pending(demands)
        for team, demand in demands.items():
            demand.is_stalled = self._is_stalled(team, demand, allocations[team], now)
        return demands

    def _measure_use(self, team: str, demand: TeamDemand, now: float) -> None:
        if team not in self._peaks:
            self._peaks[team] = RecentPeak(), RecentPeak()
        used = self._ctx.fleet.used_by_team.get(team, [0.0, 0.0])
        cpus, accelerators = self._peaks[team]
        # A peak covers the current window and the one before it: half to a whole retention time.
        window_s = self._retention.seconds(team, now) / 2
        demand.cpus.used, demand.accelerators.used = (
            to_thousandths(used[CPUS]),
            to_thousandths(used[ACCELERATORS]),
        )
        demand.cpus.peak = cpus.record(demand.cpus.used, now, window_s)
        demand.accelerators.peak = accelerators.record(demand.accelerators.used, now, window_s)

    def _add_pending(self, demands: dict[str, TeamDemand]) -> None:
        free_capacity = FreeCapacityEstimate(self._ctx, self._can_launch)
        jobs = self._ctx.fleet.jobs.values()
        for job in sorted(jobs, key=lambda job: (job.priority, job.submitted_at)):
            demand = demands.get(job.spec.team)
            if (
                demand is None
                or job.pending <= 0
                or job.phase is not JobPhase.ACTIVE
                or job.failures.at_fault
            ):
                continue
            tasks = job.startable(job.pending)
            if not tasks or not free_capacity.fits_any_machine_type(job):
                continue
            startable = free_capacity.reserve(job, tasks)
            demand.cpus.pending += to_thousandths(job.task_resources[CPUS] * tasks)
            demand.cpus.startable += to_thousandths(job.task_resources[CPUS] * startable)
            demand.accelerators.pending += to_thousandths(job.task_resources[ACCELERATORS] * tasks)
            demand.accelerators.startable += to_thousandths(job.task_resources[ACCELERATORS] * startable)

    def _is_stalled(self, team: str, demand: TeamDemand, allocation: TeamAllocation, now: float) -> bool:
        """Whether work is stalled, so that other cells may use the team's idle allocation.

        Two cells that each hold half of what a gang needs would otherwise keep their halves indefinitely.
        """
        used = sum(self._ctx.fleet.used_by_team.get(team, [0.0, 0.0]))
        progress = self._progress.setdefault(team, _Progress(used, now))
        is_pending = demand.accelerators.is_pending_despite_idle(
            allocation.accelerators
        ) or demand.cpus.is_pending_despite_idle(allocation.cpus)
        if not is_pending or used != progress.used:
            progress.used, progress.since = used, now
        return now - progress.since > self._stall_timeout_s
