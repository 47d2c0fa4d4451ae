"""The autoscaler's demand: pending tasks, and the forecast of submissions."""

from __future__ import annotations

import math

from poppyhold.machines.arrivals import Arrivals
from poppyhold.machines.supply_and_demand import Demand, demand_of
from poppyhold.model.context import Context
from poppyhold.model.entities import JobPhase
from poppyhold.model.resources import ACCELERATORS, CPUS, Resources, max_copies
from poppyhold.scheduling.quotas import Quotas, RemainingQuota


class _RemainingQuotas:
    """What remains of the teams' limits after the demand that was already counted."""

    def __init__(self, ctx: Context, quotas: Quotas) -> None:
        self._used_by_team, self._quotas = ctx.fleet.used_by_team, quotas
        self._remaining: dict[str, RemainingQuota] = {}

    def take(self, team: str, need: Resources, tasks: int) -> int:
        """Count up to ``tasks`` tasks; return how many the limit allows. The others need no machine yet."""
        if team not in self._remaining:
            self._remaining[team] = self._quotas.remaining(team, self._used_by_team.get(team, [0.0, 0.0]))
        cpus, accelerators = self._remaining[team]
        allowed = max_copies(need, (cpus, accelerators, math.inf, math.inf), tasks)
        self._remaining[team] = RemainingQuota(
            cpus - allowed * need[CPUS], accelerators - allowed * need[ACCELERATORS]
        )
        return allowed


class DemandEstimator:
    """Computes the demand that the teams' limits allow."""

    def __init__(self, ctx: Context, quotas: Quotas, arrivals: Arrivals) -> None:
        self._ctx, self._quotas, self._arrivals = ctx, quotas, arrivals

    def demand(self, now: float) -> list[Demand]:
        """Return the demand of pending jobs, by priority and age, and then the forecast."""
        remaining = _RemainingQuotas(self._ctx, self._quotas)
        return self._pending(remaining) + self._forecast(remaining, now)

    def _pending(self, remaining: _RemainingQuotas) -> list[Demand]:
        demands = []
        jobs = self._ctx.fleet.jobs.values()
        for job in sorted(jobs, key=lambda job: (job.priority, job.submitted_at)):
            # No machine is launched for a job at fault.
            if job.pending > 0 and job.phase is not JobPhase.FINALIZED and not job.failures.at_fault:
                allowed = remaining.take(job.spec.team, job.task_resources, job.startable(job.pending))
                if allowed and (not job.is_gang or allowed == job.pending):
                    demands.append(demand_of(job, allowed))
        return demands

    def _forecast(self, remaining: _RemainingQuotas, now: float) -> list[Demand]:
        """Return the forecast for the time of a boot and until the next decision."""
        boots_s = [machine_type.boot_s for machine_type in self._ctx.machine_types.values()]
        ahead_s = sum(boots_s) / len(boots_s) + self._ctx.durations.heartbeat_interval_s
        demands = self._arrivals.forecast(now, ahead_s, self._ctx.options.provisioning.headroom)
        for demand in demands:
            demand.tasks = remaining.take(demand.spec.team, demand.need, demand.tasks)
        return demands
