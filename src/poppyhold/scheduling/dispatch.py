"""Dispatch: scheduling cycles over the waiting jobs, in which every task is started."""

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

# Time limit in heartbeat intervals of each half of a cycle: planned starts, then unplanned ones.
_HALF_CYCLE_BUDGET_HEARTBEATS = 1 / 16


class Dispatcher:
    """Runs scheduling cycles: first starts planned tasks, then those that fit on unbooked capacity."""

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
        # Jobs that were visited since a cycle last visited all jobs in time.
        self._visited_job_ids: set[str] = set()

    def dispatch(self, all_reconciled: bool) -> None:
        """Run one scheduling cycle: start every task that may start now."""
        now = self._ctx.clock()
        jobs = self._ready_jobs(all_reconciled, now)
        waiting = [job for job in jobs if not (job.admitted or job.failures.at_fault)]
        self._admission.replan_waiting(waiting, now)
        if not jobs:
            return
        cycle = self._begin_cycle(now)
        if cycle is None:
            return
        self._start_all_planned(cycle, jobs, now)
        self._start_all_unplanned(cycle, jobs)

    def _ready_jobs(self, all_reconciled: bool, now: float) -> list[Job]:
        """Return the jobs with tasks that may start now, the most urgent first."""
        jobs = [
            job
            for job in self._ctx.fleet.jobs.values()
            if job.pending > 0
            and job.phase is JobPhase.ACTIVE
            and job.retry_at <= now
            and job.plan_durable
            # Tasks of a job that an earlier leader started may run on a machine that is not reconciled yet.
            and (job.never_started or all_reconciled)
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
            machine for machine in machines if machine.unreliable_until <= now and not is_suspect(machine)
        ]
        unaccounted = ctx.fleet.unaccounted_resources(self._reconciler.lease_expiry.unreconciled)
        cycle = CycleState(machines, reliable_machines, unaccounted)
        self.placement.begin_cycle(machines, [job for job in ctx.fleet.jobs.values() if job.active])
        self._gang_placement.begin_cycle(ctx.fleet.jobs.values())
        self._relocation.begin_cycle(cycle.reserved)
        return cycle

    def _deadline(self) -> float:
        """Return when a half of a cycle that begins now has to end.

        Scheduling a backlog on a thousand empty machines takes seconds, which would delay heartbeat
        responses. The next cycle continues with the jobs that this one did not visit.
        """
        return self._ctx.clock() + self._ctx.durations.heartbeat_interval_s * _HALF_CYCLE_BUDGET_HEARTBEATS

    def _start_all_planned(self, cycle: CycleState, jobs: list[Job], now: float) -> None:
        cycle.switch_capacity(self._planned_capacity, cycle.reserved)
        deadline = self._deadline()
        jobs.sort(key=lambda job: job.id in self._visited_job_ids)
        for job in jobs:
            if self._ctx.clock() <= deadline:
                self._start_planned(cycle, job, now)

    def _start_all_unplanned(self, cycle: CycleState, jobs: list[Job]) -> None:
        reserved = self._reserved(cycle)
        cycle.switch_capacity(self._unplanned_capacity, reserved)
        deadline = self._deadline()
        for job in jobs:
            if self._ctx.clock() > deadline:
                self._ctx.scheduling_needed = True
                return
            self._visited_job_ids.add(job.id)
            if job.pending > 0:
                self._start_unplanned(cycle, job, reserved)
        self._visited_job_ids.clear()

    def _start_planned(self, cycle: CycleState, job: Job, now: float) -> None:
        """Start the tasks that the job's plan lets start by now."""
        if job.is_gang:
            # A starved gang is treated like a planned one.
            is_planned = job.admitted and self._admission.startable_by_plan(job) >= job.pending
            if is_planned or self._order.is_starved(job, now):
                self._gangs.start_gang(cycle, job, cycle.reserved)
        elif job.admitted:
            self._tasks.start_tasks(cycle, job, self._admission.startable_by_plan(job), cycle.reserved)

    def _start_unplanned(self, cycle: CycleState, job: Job, reserved: dict[str, Resources]) -> None:
        """Start tasks on capacity that no other job's plan books in the current slot."""
        bookings = self._admission.bookings
        has_own_booking = bool(bookings.machines_booked_now(job))
        reserved_by_others = bookings.reserved_by_others(reserved, job) if has_own_booking else reserved
        if job.is_gang:
            self._gangs.start_gang(cycle, job, reserved_by_others)
        else:
            self._tasks.start_tasks(cycle, job, job.pending, reserved_by_others, has_own_booking)

    def _reserved(self, cycle: CycleState) -> dict[str, Resources]:
        """Return the unused bookings of the current slot, with the reservations for gangs and replicas."""
        reserved = self._admission.bookings.booked_now()
        for name, resources in cycle.reserved.items():
            reserve(reserved, name, resources)
        return reserved


def _wait_objectives(objectives: list[Objective]) -> dict[str, float]:
    """Return by job class the seconds within which its tasks should start."""
    return {
        objective.job_class: objective.within_s
        for objective in objectives
        if objective.kind == "wait" and objective.job_class is not None and objective.within_s is not None
    }
