"""Admission control by OASiS: jobs are planned on priced capacity, and their plans are made durable."""

from __future__ import annotations

import logging
from collections.abc import Callable

from poppyhold.model.context import Context
from poppyhold.model.entities import Attempt, Job, JobPhase, Machine
from poppyhold.scheduling.bookings import Bookings
from poppyhold.scheduling.estimates import RunTimeEstimates
from poppyhold.scheduling.ledger import Ledger
from poppyhold.scheduling.plan_records import PlanRecords
from poppyhold.scheduling.planner import Planner
from poppyhold.scheduling.pricing import Pricing
from poppyhold.scheduling.quotas import Quotas

log = logging.getLogger(__name__)


class Admission:
    """Plans jobs on priced capacity, and plans waiting jobs again when capacity is released."""

    def __init__(self, ctx: Context, quotas: Quotas, on_found_finalized: Callable[[Job], None]) -> None:
        self._ctx = ctx
        design = ctx.options.design
        self._max_plans = design.work_units
        self._ledger = Ledger(design.horizon_slots)
        self.pricing = Pricing(design)
        self.planner = Planner(self.pricing, self._ledger, ctx.durations.slot_s, design.work_units)
        self.estimates = RunTimeEstimates()
        self.bookings = Bookings(ctx.fleet, self._ledger, self.planner, self.estimates)
        self.records = PlanRecords(ctx, quotas, on_found_finalized)
        self._ledger.current_slot = self._slot_now()
        self._capacity_released = True
        self._next_replan_at = 0.0

    def _slot_now(self) -> int:
        return int(self._ctx.wall_clock() / self._ctx.durations.slot_s)

    def add_machine(self, machine: Machine) -> None:
        """Make a machine available to plans."""
        if self.bookings.add_machine(machine):
            self._capacity_released = True

    def remove_machine(self, machine: Machine) -> None:
        """Withdraw a machine from plans."""
        self.bookings.remove_machine(machine)

    def attempt_ended(self, attempt: Attempt) -> None:
        """Release an attempt's booking, and credit its checkpointed work to the next attempt of the task."""
        job = attempt.job
        if job.spec.checkpoint_s > 0 and attempt.running_at is not None:
            ran_s = self._ctx.clock() - attempt.running_at
            saved_s = ran_s // job.spec.checkpoint_s * job.spec.checkpoint_s
            job.saved_work_s[attempt.index] = job.saved_work_s.get(attempt.index, 0.0) + saved_s
        self.bookings.release_attempt(attempt)
        self._capacity_released = True

    def release_plan(self, job: Job) -> None:
        """Release the bookings of a job's plan, once the job is finalized or at fault."""
        self.bookings.release_plan(job)
        self._capacity_released = True

    def fault_changed(self, job: Job) -> None:
        """Record for the next leader that a job was found to be at fault, or no longer is.

        A job at fault loses its plan and its bookings, and starts only on capacity that no plan books.
        """
        if job.failures.at_fault:
            self.release_plan(job)
            job.admitted, job.plan = False, {}
        if job.phase is not JobPhase.FINALIZED:
            self.records.write(job)

    def advance_slot(self) -> None:
        """Advance the ledger to the current slot, if a new one has begun."""
        slot = self._slot_now()
        if slot <= self._ledger.current_slot:
            return
        self.bookings.advance_to(slot)
        self._capacity_released = True
        self._ctx.scheduling_needed = True

    def submit(self, job: Job) -> None:
        """Admit a new job if its value exceeds the price of its capacity; otherwise it waits."""
        self._try_admit(job)
        self.records.write(job)
        spec = job.spec
        log.debug(
            "job submitted: job=%s class=%s tasks=%d admitted=%s",
            job.id,
            spec.job_class,
            spec.tasks,
            job.admitted,
        )

    def _try_admit(self, job: Job) -> bool:
        tasks = job.pending
        if tasks <= 0:
            return False
        estimate_s = self.estimates.estimate_s(job)
        plan = self.planner.plan(job, tasks, estimate_s, self._ctx.clock())
        if plan is None or plan.payoff <= 0:
            return False
        job.planned_task_s = estimate_s
        job.admitted = True
        job.plan = plan.tasks_by_zone(self._ledger)
        self.bookings.book_plan(job, plan)
        return True

    def startable_by_plan(self, job: Job) -> int:
        """Return how many more tasks the plan lets start by now; a negative count stops no task."""
        current_slot = self._ledger.current_slot
        planned = sum(sum(zones.values()) for slot, zones in job.plan.items() if slot <= current_slot)
        return planned - job.done - len(job.active)

    def replan_waiting(self, waiting: list[Job], now: float) -> None:
        """Plan waiting jobs again after capacity was released, in the order given.

        Every task that ends releases capacity, and planning is the scheduler's most expensive computation,
        so jobs are planned again at most once per heartbeat interval.
        """
        if not self._capacity_released or now < self._next_replan_at:
            return
        self._capacity_released = False
        self._next_replan_at = now + self._ctx.durations.heartbeat_interval_s
        for job in waiting[: self._max_plans]:
            if not job.booked and self._try_admit(job):
                self.records.write(job)
