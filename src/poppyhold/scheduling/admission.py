"""Admission control (OASiS): plans jobs on capacity with a price per slot, and writes their plan records."""

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
    """Plans new jobs, and plans those that were not admitted again when capacity may have grown."""

    def __init__(self, ctx: Context, quotas: Quotas, on_job_already_finalized: Callable[[Job], None]) -> None:
        self._ctx = ctx
        design = ctx.options.design
        # Maximum number of jobs planned in one call of `replan`.
        self._max_replans = design.work_units
        self._ledger = Ledger(design.horizon_slots)
        self.pricing = Pricing(design)
        self.planner = Planner(self.pricing, self._ledger, ctx.durations.slot_s, design.work_units)
        self.estimates = RunTimeEstimates()
        self.bookings = Bookings(ctx.fleet, self._ledger, self.planner, self.estimates)
        self.records = PlanRecords(ctx, quotas, on_job_already_finalized)
        self._ledger.current_slot = self._wall_clock_slot()
        self._capacity_may_have_grown = True
        self._next_replan_at = 0.0

    def _wall_clock_slot(self) -> int:
        """Return the slot of the wall clock; the ledger's slot lags behind until `advance_slot`."""
        return int(self._ctx.wall_clock() / self._ctx.durations.slot_s)

    def add_machine(self, machine: Machine) -> None:
        """Add a machine to the ledger if it is new, and book its attempts that are not booked yet."""
        if self.bookings.add_machine(machine):
            self._capacity_may_have_grown = True

    def remove_machine(self, machine: Machine) -> None:
        """Remove a machine and the bookings on it from the ledger; jobs keep their plans."""
        self.bookings.remove_machine(machine)

    def attempt_ended(self, attempt: Attempt) -> None:
        """Release an attempt's booking, and add its work up to the last checkpoint to the task's saved work.

        The last checkpoint is estimated from the checkpoint interval.
        """
        job = attempt.job
        if job.spec.checkpoint_s > 0 and attempt.running_at is not None:
            ran_s = self._ctx.clock() - attempt.running_at
            saved_s = ran_s // job.spec.checkpoint_s * job.spec.checkpoint_s
            job.saved_work_s[attempt.index] = job.saved_work_s.get(attempt.index, 0.0) + saved_s
        self.bookings.release_attempt(attempt)
        self._capacity_may_have_grown = True

    def release_planned_starts(self, job: Job) -> None:
        """Release the bookings of a job's unused planned starts, once the job is finalized or at fault."""
        self.bookings.release_planned_starts(job)
        self._capacity_may_have_grown = True

    def fault_changed(self, job: Job) -> None:
        """Apply a change of a job's fault, and record it for the next leader unless the job is finalized.

        A job at fault appears to fail on every machine. It loses its plan and its bookings, and starts only
        on capacity that no plan books.
        """
        if job.failures.at_fault:
            self.release_planned_starts(job)
            job.admitted, job.plan = False, {}
        if job.phase is not JobPhase.FINALIZED:
            self.records.write(job)

    def advance_slot(self) -> None:
        """Advance the ledger to the current slot, if a new one has begun."""
        slot = self._wall_clock_slot()
        if slot <= self._ledger.current_slot:
            return
        self.bookings.advance_to(slot)
        self._capacity_may_have_grown = True
        self._ctx.scheduling_needed = True

    def submit(self, job: Job) -> None:
        """Admit a new job if the value of its best plan exceeds the cost.

        Otherwise the job starts only on capacity that no plan books, and is planned again later.
        """
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
        job.booked_run_time_s = estimate_s
        job.admitted = True
        job.plan = plan.tasks_by_zone(self._ledger)
        self.bookings.book_plan(job, plan)
        return True

    def remaining_planned_starts(self, job: Job) -> int:
        """Return the number of tasks planned up to the current slot, less those that are done or active.

        It is negative if tasks were started outside the plan; callers then start none.
        """
        current_slot = self._ledger.current_slot
        planned = sum(sum(zones.values()) for slot, zones in job.plan.items() if slot <= current_slot)
        return planned - job.done - len(job.active)

    def replan(self, not_admitted: list[Job], now: float) -> None:
        """Plan again the first of the jobs that were not admitted, if capacity may have grown.

        Every task that ends releases capacity, and planning is the scheduler's most expensive computation,
        so jobs are planned again at most once per heartbeat interval.
        """
        if not self._capacity_may_have_grown or now < self._next_replan_at:
            return
        self._capacity_may_have_grown = False
        self._next_replan_at = now + self._ctx.durations.heartbeat_interval_s
        for job in not_admitted[: self._max_replans]:
            if not job.booked and self._try_admit(job):
                self.records.write(job)
