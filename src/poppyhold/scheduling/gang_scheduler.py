"""Scheduling of gangs: all pending tasks of a gang start in one step, or none of them."""

from __future__ import annotations

from poppyhold.execution.gangs import Gangs, GangState
from poppyhold.model.context import Context
from poppyhold.model.entities import Job
from poppyhold.model.resources import NO_RESOURCES, Resources, add_scaled
from poppyhold.scheduling.cycle_state import CycleState, reserve
from poppyhold.scheduling.eligibility import copies_that_fit, machines_in_best_zone, may_use
from poppyhold.scheduling.gang_placement import GangPlacement
from poppyhold.scheduling.job_order import JobOrder
from poppyhold.scheduling.placement import PlacementChoice
from poppyhold.scheduling.quotas import Quotas
from poppyhold.scheduling.task_starter import TaskStarter


class GangScheduler:
    """Starts gangs, and reserves capacity for starved ones."""

    def __init__(
        self,
        ctx: Context,
        gangs: Gangs,
        quotas: Quotas,
        placement: GangPlacement,
        order: JobOrder,
        starter: TaskStarter,
    ) -> None:
        self._ctx, self._gangs, self._quotas = ctx, gangs, quotas
        self._placement, self._order, self._starter = placement, order, starter

    def start_gang(self, cycle: CycleState, job: Job, reserved: dict[str, Resources]) -> None:
        """Start all pending tasks of a gang if they fit in unreserved resources or by preemption."""
        if not self._gangs.may_start(job):
            return
        within_limit = self._within_limit(cycle, job)
        choices = self._choices(cycle, job, reserved) if within_limit else None
        if choices is not None:
            for choice in choices:
                index = job.next_pending()
                if index is not None:
                    self._starter.start(job, index, choice)
                    cycle.capacity.refresh_machine(choice.machine)
        elif self._gangs.state_of(job) is GangState.ASSEMBLING:
            self._gangs.abandon(job, "no capacity for a replacement", self._ctx.clock())
        elif self._order.is_starved(job, self._ctx.clock()) and not job.failures.at_fault:
            self._reserve_for(cycle, job, within_limit)

    def _choices(
        self, cycle: CycleState, job: Job, reserved: dict[str, Resources]
    ) -> list[PlacementChoice] | None:
        """Return a machine for each pending task, if necessary also among unreliable machines.

        If they don't all fit, the choice preempts lower-priority work for all of them, or is None.
        """
        chosen = self._placement.choose(job, cycle.reliable_machines, reserved)
        if chosen is None and len(cycle.reliable_machines) < len(cycle.machines):
            chosen = self._placement.choose(job, cycle.machines, reserved)
        if chosen is not None:
            return [PlacementChoice(machine) for machine in chosen]
        if job.failures.at_fault:
            return None
        return self._placement.choose_with_preemption(job, cycle.reliable_machines, reserved)

    def _within_limit(self, cycle: CycleState, job: Job) -> bool:
        """Return whether all pending tasks together stay within the team's limit."""
        in_use = cycle.in_use(self._ctx.fleet.used_by_team.get(job.spec.team))
        return self._quotas.allows(
            job.spec.team, in_use, add_scaled(NO_RESOURCES, job.task_resources, job.pending)
        )

    def _reserve_for(self, cycle: CycleState, job: Job, within_limit: bool) -> None:
        """Reserve free capacity for a starved gang during alternating intervals.

        Without it smaller jobs would take all released capacity, so that the gang would never find enough
        at once. With a permanent reservation an infeasible gang would block all other jobs.
        """
        starved_s = self._order.starved_s(job, self._ctx.clock())
        reservation_s = self._ctx.settings.deployment.workers.gang_wait_s
        # Intervals with the reservation and without it alternate.
        if int(starved_s / reservation_s) % 2:
            return
        if not within_limit:
            cycle.reserved_teams.add(job.spec.team)
            return
        machines = [machine for machine in cycle.machines if may_use(job, machine)]
        if job.spec.one_zone:
            machines = machines_in_best_zone(job, machines, cycle.reserved)
        for machine in machines:
            count = copies_that_fit(job, machine, cycle.reserved)
            if count:
                reserve(cycle.reserved, machine.name, add_scaled(NO_RESOURCES, job.task_resources, count))
        cycle.capacity.refresh_all()
