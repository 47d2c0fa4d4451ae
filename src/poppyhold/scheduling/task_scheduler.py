"""Scheduling of the tasks of arrays and services, which start one by one."""

from __future__ import annotations

from poppyhold.model.context import Context
from poppyhold.model.entities import Job
from poppyhold.model.resources import Resources
from poppyhold.scheduling.bookings import Bookings
from poppyhold.scheduling.cycle_state import CycleState
from poppyhold.scheduling.eligibility import image_wait_s, machines_in_best_zone, zone_allows
from poppyhold.scheduling.placement import Placement, PlacementChoice
from poppyhold.scheduling.quotas import Quotas
from poppyhold.scheduling.relocation import Relocation
from poppyhold.scheduling.search import PlacementSearch
from poppyhold.scheduling.task_starter import TaskStarter


class TaskScheduler:
    """Starts tasks of a job, each on the best machine at that time."""

    def __init__(
        self,
        ctx: Context,
        quotas: Quotas,
        bookings: Bookings,
        placement: Placement,
        relocation: Relocation,
        starter: TaskStarter,
    ) -> None:
        self._ctx, self._quotas, self._bookings = ctx, quotas, bookings
        self._placement, self._relocation, self._starter = placement, relocation, starter

    def start_tasks(
        self,
        cycle: CycleState,
        job: Job,
        max_tasks: int,
        reserved: dict[str, Resources],
        has_own_booking: bool = False,
    ) -> None:
        """Start up to ``max_tasks`` tasks in unreserved resources.

        ``has_own_booking``: ``reserved`` omits the job's own bookings; otherwise it is the same for all jobs.
        """
        team = job.spec.team
        if team in cycle.reserved_teams:
            return
        searches: list[PlacementSearch] = []
        for _ in range(job.startable(max_tasks)):
            index = job.next_pending()
            if index is None:
                return
            in_use = cycle.in_use(self._ctx.fleet.used_by_team.get(team))
            at_limit = not self._quotas.allows(team, in_use, job.task_resources)
            # Only this job may use the capacity that it booked, so a result with it is not shared with jobs
            # of equal keys; at the limit bookings are ignored.
            result_is_shared = at_limit or not has_own_booking
            key = cycle.scheduling_key(job, at_limit, bool(reserved) and not at_limit)
            if result_is_shared and key in cycle.infeasible:
                return
            if at_limit:
                choice = self._choose_at_limit(cycle, job, in_use)
            else:
                if not searches or job.spec.one_zone:
                    searches = self._searches(cycle, job, reserved, has_own_booking)
                choices = (self._choose(cycle, job, search, reserved) for search in searches)
                choice = next((found for found in choices if found is not None), None)
            if choice is None:
                all_zones_allowed = not job.spec.one_zone and all(
                    zone_allows(job, zone) for zone in cycle.zones
                )
                if result_is_shared and all_zones_allowed:
                    cycle.infeasible.add(key)
                return
            self._starter.start(job, index, choice)
            cycle.capacity.refresh_machine(choice.machine)
            for search in searches:
                search.refresh_machine(choice.machine)

    def _searches(
        self, cycle: CycleState, job: Job, reserved: dict[str, Resources], has_own_booking: bool
    ) -> list[PlacementSearch]:
        """Return the searches to try, in this order."""
        own_booking = self._bookings.machines_booked_now(job) if has_own_booking else set()
        searches = []
        for view in cycle.capacity.views:
            zones = view.zones
            if job.spec.one_zone and not job.active:
                zones = {
                    machine.zone for machine in machines_in_best_zone(job, view.machines.values(), reserved)
                }
            searches.append(PlacementSearch(self._placement, job, view, reserved, own_booking, zones))
        return searches

    def _choose(
        self, cycle: CycleState, job: Job, search: PlacementSearch, reserved: dict[str, Resources]
    ) -> PlacementChoice | None:
        """Return the best free machine; if there is none, or its image wait is too long, try preemption."""
        choice = search.best()
        if self._ctx.clock() < job.preemption_allowed_at or job.failures.at_fault:
            return choice
        if choice is None:
            return search.best_preemption()
        wait_s = image_wait_s(choice.machine, job)
        if self._placement.meets_objective(job, wait_s):
            return choice
        return self._choose_with_earlier_start(cycle, job, search, wait_s, reserved) or choice

    def _choose_with_earlier_start(
        self,
        cycle: CycleState,
        job: Job,
        search: PlacementSearch,
        wait_s: float,
        reserved: dict[str, Resources],
    ) -> PlacementChoice | None:
        """Return a preemption or relocation that costs less than the wait for the image, if any."""
        preemption = search.best_preemption(in_time_only=True)
        if preemption is not None and not any(victim.job.is_service for victim in preemption.victims):
            saved_s = wait_s - image_wait_s(preemption.machine, job)
            if sum(self._placement.preemption_cost_s(victim) for victim in preemption.victims) <= saved_s:
                return preemption
        relocation = self._relocation.relocate_for(job, wait_s, cycle.reliable_machines, reserved)
        if relocation is not None:
            # Capacity was reserved for the replicas that are moved.
            cycle.capacity.refresh_all()
        return relocation

    def _choose_at_limit(
        self, cycle: CycleState, job: Job, in_use: tuple[float, float]
    ) -> PlacementChoice | None:
        """Return a preemption of lower-priority work of the job's team, which is at its limit."""
        if job.failures.at_fault:
            return None
        team = job.spec.team
        for other in self._ctx.fleet.jobs.values():
            if other.spec.team == team and any(
                attempt.stop_requested_at is not None for attempt in other.active.values()
            ):
                # One preemption at a time: stopping attempts still count, so the excess would be freed twice.
                return None
        excess = self._quotas.excess(team, in_use, job.task_resources)
        preemptions = self._placement.preemptions(job, cycle.reliable_machines, excess)
        return next(
            (option.choice for option in preemptions if zone_allows(job, option.choice.machine.zone)), None
        )
