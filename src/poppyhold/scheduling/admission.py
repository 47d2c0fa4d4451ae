"""Admission: OASiS on the ordinary path. Jobs are planned on priced room, and plans are made durable."""

from __future__ import annotations

import logging
from collections.abc import Callable

import msgspec

from poppyhold.durable.records import PlanRecord
from poppyhold.durable.store import ACTIVE as ACTIVE_KEYS
from poppyhold.durable.store import PLAN, Data, put, remove, stored_bytes
from poppyhold.model.context import Context
from poppyhold.model.entities import Attempt, Job, JobPhase, Machine
from poppyhold.model.outbound import CommitPriority
from poppyhold.model.resources import NO_RESOURCES, Resources, add_scaled
from poppyhold.scheduling.estimates import Estimates
from poppyhold.scheduling.ledger import Ledger
from poppyhold.scheduling.planner import Plan, Planner
from poppyhold.scheduling.pricing import Pricing
from poppyhold.scheduling.quotas import Quotas
from poppyhold.wire.messages import PRIORITIES, convert

# Jobs of this priority and above it are urgent.
_LEAST_URGENT = PRIORITIES.index("high")

log = logging.getLogger(__name__)


class Admission:
    """Plans jobs on priced room, and keeps the room that plans and running tasks book."""

    def __init__(self, ctx: Context, quotas: Quotas, on_ended: Callable[[Job], None]) -> None:
        self._ctx, self._quotas, self._on_ended = ctx, quotas, on_ended
        design = ctx.options.design
        self.ledger = Ledger(design.horizon_slots)
        self.pricing = Pricing(design)
        self.planner = Planner(self.pricing, self.ledger, ctx.durations.slot_s, design.work_units)
        self.estimates = Estimates()
        self.ledger.current_slot = self._slot()
        self._released = True
        self._reconsider_at = 0.0
        self._largest_record = ctx.settings.settings.state.lowest.value_bytes

    def _slot(self) -> int:
        return int(self._ctx.wall_clock() / self._ctx.durations.slot_s)

    # -- the ledger follows the fleet ----------------------------------------------------------------

    def machine_up(self, machine: Machine) -> None:
        """A machine can be planned on."""
        if machine.name not in self.ledger.machines:
            self.ledger.add_machine(
                machine.name, machine.capacity, machine.zone, machine.machine_type.name, machine.spot
            )
            self._released = True
        for attempt in machine.attempts.values():
            if not attempt.booked:
                self.book(attempt, 1.0)

    def machine_out(self, machine: Machine) -> None:
        """A machine can't be planned on any more."""
        if machine.name not in self.ledger.machines:
            return
        self.ledger.remove_machine(machine.name)
        for attempt in machine.attempts.values():
            attempt.booked = False
        for job in self._ctx.fleet.jobs.values():
            for machines in job.booked.values():
                machines.pop(machine.name, None)

    def book(self, attempt: Attempt, times: float) -> None:
        """Book the room of an attempt, or release it with negative ``times``."""
        job = attempt.job
        if attempt.booked == (times > 0) or attempt.machine.name not in self.ledger.machines:
            return
        attempt.booked = times > 0
        if times > 0:
            estimate = self.estimates.estimate_s(job)
            attempt.booked_until = self.ledger.current_slot + self.planner.span_slots(estimate) - 1
        last = None if job.is_service else attempt.booked_until
        self.ledger.book(attempt.machine.name, job.task_resources, self.ledger.current_slot, last, times)

    def over(self, attempt: Attempt) -> None:
        """An attempt is over: what it booked is released, and what it saved is there for the next."""
        job = attempt.job
        if job.spec.checkpoint_s > 0 and attempt.running_at is not None:
            ran = self._ctx.clock() - attempt.running_at
            saved = ran // job.spec.checkpoint_s * job.spec.checkpoint_s
            job.progress[attempt.index] = job.progress.get(attempt.index, 0.0) + saved
        self.book(attempt, -1.0)
        self._released = True

    def forget(self, job: Job) -> None:
        """A job is over: its plan's bookings are released."""
        for slot, machines in job.booked.items():
            for name, number in machines.items():
                self._book_plan(job, name, slot, -number)
        job.booked = {}
        self._released = True

    def judged(self, job: Job) -> None:
        """A job was found to be at fault, or sound after all: keep that for the next leader.

        One at fault gives up the room that it has booked, and starts on room that nobody else wants.
        """
        if job.failures.at_fault:
            self.forget(job)
            job.admitted, job.plan = False, {}
        if job.phase is not JobPhase.FINALIZED:
            self._write(job)

    def _book_plan(self, job: Job, name: str, slot: int, number: int) -> None:
        if job.is_service:
            self.ledger.book(name, job.task_resources, slot, None, number)
        else:
            span = self.planner.span_slots(self._planned_estimate(job))
            self.ledger.book(name, job.task_resources, slot, slot + span - 1, number)

    def _planned_estimate(self, job: Job) -> float:
        # What was booked must be released alike, though the bias that is learned moves on.
        if job.planned_s <= 0:
            job.planned_s = self.estimates.estimate_s(job)
        return job.planned_s

    def roll(self) -> None:
        """Move to a new slot: starts that were not made and tasks that overrun carry over to it."""
        slot = self._slot()
        if slot <= self.ledger.current_slot:
            return
        late: list[tuple[Job, str, int]] = []
        for job in self._ctx.fleet.jobs.values():
            for old in [s for s in job.booked if s < slot]:
                for name, number in job.booked.pop(old).items():
                    self._book_plan(job, name, old, -number)
                    late.append((job, name, number))
        self.ledger.advance_to(slot)
        for job, name, number in late:
            here = job.booked.setdefault(slot, {})
            here[name] = here.get(name, 0) + number
            self._book_plan(job, name, slot, number)
        for machine in self._ctx.fleet.machines.values():
            for attempt in machine.attempts.values():
                if attempt.booked and not attempt.job.is_service and attempt.booked_until < slot:
                    # Objection in DESIGN: without this, a task that outruns its estimate makes
                    # its room look free, and cheap.
                    attempt.booked_until = slot
                    self.ledger.book(machine.name, attempt.job.task_resources, slot, slot, 1.0)
        self._released = True
        self._ctx.scheduling_needed = True

    # -- admission -----------------------------------------------------------------------------------

    def arrive(self, job: Job) -> None:
        """A new job: admit it if its value beats the priced room; else it waits."""
        self._try_admit(job)
        self._write(job)
        spec = job.spec
        log.debug("job %s: %s, %d tasks, admitted %s", job.id, spec.job_class, spec.tasks, job.admitted)

    def _try_admit(self, job: Job) -> bool:
        tasks = job.pending
        if tasks <= 0:
            return False
        estimate = self.estimates.estimate_s(job)
        plan = self.planner.plan(job, tasks, estimate, self._ctx.clock())
        if plan is None or plan.payoff <= 0:
            return False
        job.planned_s = estimate
        job.admitted = True
        job.plan = plan.tasks_by_zone(self.ledger)
        self._book_starts(job, plan)
        return True

    def _book_starts(self, job: Job, plan: Plan) -> None:
        for slot, machines in plan.starts.items():
            job.booked[slot] = dict(machines)
            for name, number in machines.items():
                self._book_plan(job, name, slot, number)

    def _write(self, job: Job) -> None:
        """Make durable that tasks of the job may start from now on, as counts per zone and slot."""
        if job.plan_write_in_flight:
            return
        job.plan_write_in_flight = True
        data = self._record(job)

        def durable(done: bool) -> None:
            job.plan_write_in_flight = False
            if done:
                job.plan_durable = True
                self._ctx.scheduling_needed = True
            else:
                # Its record is gone: it is over, and the news of that came before its own.
                self._on_ended(job)

        conditions = {ACTIVE_KEYS + job.id: job.version}
        self._ctx.outbound.commit(
            conditions, [put(PLAN + job.id, data)], durable, self._plan_commit_priority(job)
        )

    def _plan_commit_priority(self, job: Job) -> CommitPriority:
        priority = self.commit_priority(job)
        return (
            CommitPriority.URGENT
            if priority is CommitPriority.AWAITED and job.priority <= _LEAST_URGENT
            else priority
        )

    def commit_priority(self, job: Job) -> CommitPriority:
        """The rank of what is made durable of a job and somebody waits for."""
        return (
            CommitPriority.AWAITED
            if self._quotas.has_guarantee(job.spec.team)
            else CommitPriority.UNGUARANTEED
        )

    def remove_plan(self, job_id: str) -> None:
        """Remove the plan of a job that is over, when nobody waits for changes."""
        self._ctx.outbound.commit({}, [remove(PLAN + job_id)], lambda done: None)

    def _record(self, job: Job) -> Data:
        """The durable form of a plan; one that does not fit loses its last slots.

        What is left out starts later, on room that no plan books.
        """
        slots = sorted(job.plan)
        while True:
            record = PlanRecord({str(slot): job.plan[slot] for slot in slots}, job.failures.at_fault)
            data: Data = msgspec.to_builtins(record)
            if not slots or stored_bytes(data) <= self._largest_record:
                return data
            slots.pop()

    def load(self, job: Job, data: Data) -> None:
        """Take a plan that an earlier leader made durable."""
        job.never_started = False
        job.plan_durable = True
        record = convert(data, PlanRecord)
        job.plan = {int(slot): zones for slot, zones in record.slots.items()}
        job.admitted = bool(job.plan)
        job.failures.at_fault = record.at_fault

    def cap(self, job: Job) -> int:
        """How many more tasks the plan lets start by now; a plan never stops what runs."""
        planned = sum(
            sum(zones.values()) for slot, zones in job.plan.items() if slot <= self.ledger.current_slot
        )
        return planned - job.done - len(job.active)

    def reconsider(self, waiting: list[Job], now: float) -> None:
        """Room was released: waiting jobs may beat its price now, the most valuable first.

        Room is released with every task that ends, and a plan is the dearest of our computations: what was
        released between two reports of a worker is looked at together.
        """
        if not self._released or now < self._reconsider_at:
            return
        self._released = False
        self._reconsider_at = now + self._ctx.durations.heartbeat_interval_s
        for job in waiting[: self._ctx.options.design.work_units]:
            if not job.booked and self._try_admit(job):
                self._write(job)

    # -- what plans book now -------------------------------------------------------------------------

    def booked_now(self) -> dict[str, Resources]:
        """Room of the current slot that admitted plans book and have not used yet."""
        reserved: dict[str, Resources] = {}
        for job in self._ctx.fleet.jobs.values():
            if job.phase is JobPhase.FINALIZED:
                continue
            for name, number in job.booked.get(self.ledger.current_slot, {}).items():
                reserved[name] = add_scaled(reserved.get(name, NO_RESOURCES), job.task_resources, number)
        return reserved

    def without_own(self, reserved: dict[str, Resources], job: Job) -> dict[str, Resources]:
        """Booked room without what the job itself has booked now."""
        own = dict(reserved)
        for name, number in job.booked.get(self.ledger.current_slot, {}).items():
            if name in own:
                own[name] = add_scaled(own[name], job.task_resources, -number)
        return own

    def use_booking(self, job: Job, machine: str) -> None:
        """A start takes one of the job's booked rooms: on its machine if there is one, else the earliest."""
        for slot in sorted(job.booked):
            machines = job.booked[slot]
            if not machines:
                del job.booked[slot]
                continue
            name = machine if machine in machines else next(iter(machines))
            self._book_plan(job, name, slot, -1)
            machines[name] -= 1
            if not machines[name]:
                del machines[name]
            if not machines:
                del job.booked[slot]
            return
