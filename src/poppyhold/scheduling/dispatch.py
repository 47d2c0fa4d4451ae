"""Dispatch: scheduling cycles, which start pending tasks. No task is started elsewhere."""

from __future__ import annotations

from poppyhold.execution.reconciliation import AttemptReconciler
from poppyhold.model.context import Context
from poppyhold.model.entities import Job, JobPhase
from poppyhold.model.resources import Resources
from poppyhold.scheduling.admission import Admission
from poppyhold.scheduling.cycle_state import CapacityViews, CycleState, reserve
from poppyhold.scheduling.gang_placement import GangPlacement
from poppyhold.scheduling.gang_scheduler import GangScheduler
from poppyhold.scheduling.job_order import JobOrder
from poppyhold.scheduling.placement import Placement
from poppyhold.scheduling.preemption_cost import PreemptionCost
from poppyhold.scheduling.quotas import Quotas
from poppyhold.scheduling.relocation import Relocation
from poppyhold.scheduling.task_scheduler import TaskScheduler
from poppyhold.scheduling.task_starter import TaskStarter
from poppyhold.settings import Objective

# Time limit of each half of a cycle (planned starts, then unplanned ones), in heartbeat intervals.
_HALF_CYCLE_LIMIT_HEARTBEAT_INTERVALS = 1 / 16


class Dispatcher:
    """Runs scheduling cycles.

    The first half of a cycle starts planned tasks and starved gangs; the second half starts tasks on capacity
    that no plan books.
    """

    def __init__(
        self, ctx: Context, reconciler: AttemptReconciler, quotas: Quotas, admission: Admission
    ) -> None:
        self._ctx, self._reconciler, self._admission = ctx, reconciler, admission
        cost = PreemptionCost(ctx, admission.estimates)
        self.placement = Placement(_wait_objectives(ctx.settings.deployment.objectives), cost.cost_s)
        self._gang_placement = GangPlacement(self.placement)
        self._relocation = Relocation(
            admission.pricing.weights, ctx.durations, self.placement.meets_objective, ctx.clock
        )
        self._order = JobOrder(ctx.durations, admission.estimates)
        starter = TaskStarter(ctx, reconciler, admission.bookings, self.placement)
        self._tasks = TaskScheduler(
            ctx, quotas, admission.bookings, self.placement, self._relocation, starter
        )
        self._gangs = GangScheduler(
            ctx, reconciler.lifecycle.gangs, quotas, self._gang_placement, self._order, starter
        )
        self._planned_capacity, self._unplanned_capacity = CapacityViews(), CapacityViews()
        # Ids of the jobs visited by unplanned halves since one last visited all jobs; the others go first.
        self._visited_job_ids: set[str] = set()

    def dispatch(self, all_machines_reconciled: bool) -> None:
        """Run one scheduling cycle: start the tasks that may start now, within the time limits."""
        now = self._ctx.clock()
        jobs = self._ready_jobs(all_machines_reconciled, now)
        not_admitted = [job for job in jobs if not (job.admitted or job.failures.at_fault)]
        self._admission.replan(not_admitted, now)
        if not jobs:
            return
        cycle = self._begin_cycle(now)
        if cycle is None:
            return
        self._run_planned_half(cycle, jobs, now)
        self._run_unplanned_half(cycle, jobs)

    def _ready_jobs(self, all_machines_reconciled: bool, now: float) -> list[Job]:
        """Return the jobs with tasks that may start now, the most urgent first."""
        jobs = [
            job
            for job in self._ctx.fleet.jobs.values()
            if job.pending > 0
            and job.phase is JobPhase.ACTIVE
            and job.retry_at <= now
            and job.plan_durable
            # Tasks that an earlier leader started may still run on a machine that is not reconciled yet;
            # they would be started a second time.
            and (job.not_started_by_earlier_leaders or all_machines_reconciled)
        ]
        self._order.sort(jobs, now)
        return jobs

    def _begin_cycle(self, now: float) -> CycleState | None:
        """Return the state of a new cycle over the schedulable machines, or None if there are none."""
        ctx = self._ctx
        machines = [
            machine
            for machine in ctx.fleet.machines.values()
            if machine.is_schedulable(now, ctx.durations.silent_s)
        ]
        if not machines:
            return None
        is_suspect = self._reconciler.failures.is_suspect
        reliable_machines = [
            machine
            for machine in machines
            if machine.connection_unreliable_until <= now and not is_suspect(machine)
        ]
        unaccounted = ctx.fleet.unaccounted_resources(self._reconciler.lease_expiry.unreconciled)
        cycle = CycleState(machines, reliable_machines, unaccounted)
        self.placement.begin_cycle(machines, [job for job in ctx.fleet.jobs.values() if job.active])
        self._gang_placement.begin_cycle(ctx.fleet.jobs.values())
        self._relocation.begin_cycle(cycle.reserved)
        return cycle

    def _half_cycle_end(self) -> float:
        """Return the time after which a half of a cycle that begins now visits no further job.

        Scheduling a backlog on a thousand empty machines takes seconds, which would delay heartbeat
        responses. The next cycle begins with the jobs that the unplanned half did not visit.
        """
        return (
            self._ctx.clock()
            + self._ctx.durations.heartbeat_interval_s * _HALF_CYCLE_LIMIT_HEARTBEAT_INTERVALS
        )

    def _run_planned_half(self, cycle: CycleState, jobs: list[Job], now: float) -> None:
        cycle.switch_capacity(self._planned_capacity, cycle.reserved)
        end_at = self._half_cycle_end()
        # Jobs that the last unplanned halves did not visit go first.
        jobs.sort(key=lambda job: job.id in self._visited_job_ids)
        for job in jobs:
            if self._ctx.clock() <= end_at:
                self._start_planned(cycle, job, now)

    def _run_unplanned_half(self, cycle: CycleState, jobs: list[Job]) -> None:
        reserved = self._reserved(cycle)
        cycle.switch_capacity(self._unplanned_capacity, reserved)
        end_at = self._half_cycle_end()
        for job in jobs:
            if self._ctx.clock() > end_at:
                self._ctx.scheduling_needed = True
                return
            self._visited_job_ids.add(job.id)
            if job.pending > 0:
                self._start_unplanned(cycle, job, reserved)
        self._visited_job_ids.clear()

    def _start_planned(self, cycle: CycleState, job: Job, now: float) -> None:
        """Start the tasks that are planned up to the current slot; a gang if all of its are, or starved."""
        if job.is_gang:
            # In this half bookings of other jobs don't hold back a starved gang.
            is_planned = job.admitted and self._admission.remaining_planned_starts(job) >= job.pending
            if is_planned or self._order.is_starved(job, now):
                self._gangs.start_gang(cycle, job, cycle.reserved)
        elif job.admitted:
            self._tasks.start_tasks(cycle, job, self._admission.remaining_planned_starts(job), cycle.reserved)

    def _start_unplanned(self, cycle: CycleState, job: Job, reserved: dict[str, Resources]) -> None:
        """Start tasks on capacity that is not reserved, nor booked by other jobs in the current slot."""
        bookings = self._admission.bookings
        has_own_booking = bool(bookings.machines_booked_now(job))
        reserved_without_own = (
            bookings.reserved_without_own_bookings(reserved, job) if has_own_booking else reserved
        )
        if job.is_gang:
            self._gangs.start_gang(cycle, job, reserved_without_own)
        else:
            self._tasks.start_tasks(cycle, job, job.pending, reserved_without_own, has_own_booking)

    def _reserved(self, cycle: CycleState) -> dict[str, Resources]:
        """Return by machine name the resources that plans book in the current slot or the cycle reserves."""
        reserved = self._admission.bookings.booked_now()
        for name, resources in cycle.reserved.items():
            reserve(reserved, name, resources)
        return reserved


def _wait_objectives(objectives: list[Objective]) -> dict[str, float]:
    """Return the wait objectives: by job class, the seconds within which tasks should start."""
    return {
        objective.job_class: objective.within_s
        for objective in objectives
        if objective.kind == "wait" and objective.job_class is not None and objective.within_s is not None
    }
