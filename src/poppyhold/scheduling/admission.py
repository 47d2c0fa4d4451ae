"""Admission: OASiS on the ordinary path. Jobs are planned on priced capacity, and plans are made durable."""

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
    """Plans jobs on priced capacity, and plans them again as capacity is released."""

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

    # -- the ledger follows the fleet ----------------------------------------------------------------

    def add_machine(self, machine: Machine) -> None:
        """Let plans use a machine."""
        if self.bookings.add_machine(machine):
            self._capacity_released = True

    def remove_machine(self, machine: Machine) -> None:
        """Let plans use a machine no more."""
        self.bookings.remove_machine(machine)

    def attempt_ended(self, attempt: Attempt) -> None:
        """Release what an attempt booked, and count what it saved for the next one of its task."""
        job = attempt.job
        if job.spec.checkpoint_s > 0 and attempt.running_at is not None:
            ran_s = self._ctx.clock() - attempt.running_at
            saved_s = ran_s // job.spec.checkpoint_s * job.spec.checkpoint_s
            job.saved_work_s[attempt.index] = job.saved_work_s.get(attempt.index, 0.0) + saved_s
        self.bookings.release_attempt(attempt)
        self._capacity_released = True

    def release_plan(self, job: Job) -> None:
        """Release what the plan of a job books: it is finalized, or at fault."""
        self.bookings.release_plan(job)
        self._capacity_released = True

    def fault_changed(self, job: Job) -> None:
        """A job was found to be at fault, or sound after all: keep that for the next leader.

        One at fault gives up what it has booked, and starts on capacity that nobody else wants.
        """
        if job.failures.at_fault:
            self.release_plan(job)
            job.admitted, job.plan = False, {}
        if job.phase is not JobPhase.FINALIZED:
            self.records.write(job)

    def advance_slot(self) -> None:
        """Move to the slot of now, if that is a new one."""
        slot = self._slot_now()
        if slot <= self._ledger.current_slot:
            return
        self.bookings.advance_to(slot)
        self._capacity_released = True
        self._ctx.scheduling_needed = True

    # -- admission -----------------------------------------------------------------------------------

    def submit(self, job: Job) -> None:
        """Admit a new job if its value exceeds the price of its capacity; else it waits."""
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
        """How many more tasks the plan lets start by now; a plan never stops what runs."""
        current_slot = self._ledger.current_slot
        planned = sum(sum(zones.values()) for slot, zones in job.plan.items() if slot <= current_slot)
        return planned - job.done - len(job.active)

    def replan_waiting(self, waiting: list[Job], now: float) -> None:
        """Plan jobs that wait again after capacity was released, the most valuable first.

        Capacity is released with every task that ends, and a plan is the dearest of our computations: what
        was released between two heartbeats of a worker is looked at together.
        """
        if not self._capacity_released or now < self._next_replan_at:
            return
        self._capacity_released = False
        self._next_replan_at = now + self._ctx.durations.heartbeat_interval_s
        for job in waiting[: self._max_plans]:
            if not job.booked and self._try_admit(job):
                self.records.write(job)
