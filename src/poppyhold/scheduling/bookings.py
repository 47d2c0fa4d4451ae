"""Bookings of planned starts and of running attempts in the ledger."""

from __future__ import annotations

from poppyhold.model.entities import Attempt, Job, JobPhase, Machine
from poppyhold.model.fleet import Fleet
from poppyhold.model.resources import NO_RESOURCES, Resources, add_scaled
from poppyhold.scheduling.estimates import RunTimeEstimates
from poppyhold.scheduling.ledger import Ledger
from poppyhold.scheduling.planner import Plan, Planner


class Bookings:
    """Books and releases the resources of plans and attempts."""

    def __init__(self, fleet: Fleet, ledger: Ledger, planner: Planner, estimates: RunTimeEstimates) -> None:
        self._fleet, self._ledger, self._planner, self._estimates = fleet, ledger, planner, estimates

    def add_machine(self, machine: Machine) -> bool:
        """Add a machine to the ledger and book its attempts, where not done yet; return whether it is new."""
        is_new = machine.name not in self._ledger.machines
        if is_new:
            self._ledger.add_machine(
                machine.name, machine.capacity, machine.zone, machine.machine_type.name, machine.spot
            )
        for attempt in machine.attempts.values():
            self.book_attempt(attempt)
        return is_new

    def remove_machine(self, machine: Machine) -> None:
        """Remove a machine and the bookings on it from the ledger and from jobs; their plans stay."""
        if machine.name not in self._ledger.machines:
            return
        self._ledger.remove_machine(machine.name)
        for attempt in machine.attempts.values():
            attempt.booked = False
        for job in self._fleet.jobs.values():
            for machines in job.booked.values():
                machines.pop(machine.name, None)

    def book_attempt(self, attempt: Attempt) -> None:
        """Book an attempt's resources from the current slot on, for its estimated run time."""
        if attempt.booked or attempt.machine.name not in self._ledger.machines:
            return
        attempt.booked = True
        estimate_s = self._estimates.estimate_s(attempt.job)
        attempt.last_booked_slot = self._ledger.current_slot + self._planner.span_slots(estimate_s) - 1
        self._adjust_attempt(attempt, 1.0)

    def release_attempt(self, attempt: Attempt) -> None:
        """Release the booking of an attempt."""
        if not attempt.booked or attempt.machine.name not in self._ledger.machines:
            return
        attempt.booked = False
        self._adjust_attempt(attempt, -1.0)

    def _adjust_attempt(self, attempt: Attempt, factor: float) -> None:
        job = attempt.job
        last = None if job.is_service else attempt.last_booked_slot
        self._ledger.book(attempt.machine.name, job.task_resources, self._ledger.current_slot, last, factor)

    def book_plan(self, job: Job, plan: Plan) -> None:
        """Book the planned starts of a job."""
        for slot, machines in plan.starts.items():
            job.booked[slot] = dict(machines)
            for name, count in machines.items():
                self._adjust_starts(job, name, slot, count)

    def release_planned_starts(self, job: Job) -> None:
        """Release the planned starts of a job that have not been used."""
        for slot, machines in job.booked.items():
            for name, count in machines.items():
                self._adjust_starts(job, name, slot, -count)
        job.booked = {}

    def consume_start(self, job: Job, machine: str) -> None:
        """Release one booked start: in the earliest slot with any, on this machine if it is booked there."""
        for slot in sorted(job.booked):
            machines = job.booked[slot]
            if not machines:
                del job.booked[slot]
                continue
            name = machine if machine in machines else next(iter(machines))
            self._adjust_starts(job, name, slot, -1)
            machines[name] -= 1
            if not machines[name]:
                del machines[name]
            if not machines:
                del job.booked[slot]
            return

    def _adjust_starts(self, job: Job, name: str, slot: int, count: int) -> None:
        """Book starts on a machine in a slot; a negative ``count`` releases them."""
        if job.is_service:
            self._ledger.book(name, job.task_resources, slot, None, count)
        else:
            span = self._planner.span_slots(self._planned_estimate_s(job))
            self._ledger.book(name, job.task_resources, slot, slot + span - 1, count)

    def _planned_estimate_s(self, job: Job) -> float:
        # A release must use the estimate of its booking, although estimates change as runs are recorded.
        if job.booked_run_time_s <= 0:
            job.booked_run_time_s = self._estimates.estimate_s(job)
        return job.booked_run_time_s

    def advance_to(self, slot: int) -> None:
        """Advance the ledger to a slot; book unused starts and attempts that outrun their estimate in it."""
        late = self._release_late_starts(slot)
        self._ledger.advance_to(slot)
        for job, name, count in late:
            machines = job.booked.setdefault(slot, {})
            machines[name] = machines.get(name, 0) + count
            self._adjust_starts(job, name, slot, count)
        self._extend_attempts(slot)

    def _release_late_starts(self, slot: int) -> list[tuple[Job, str, int]]:
        """Release the unused starts before a slot, and return them as (job, machine name, count)."""
        late: list[tuple[Job, str, int]] = []
        for job in self._fleet.jobs.values():
            for old_slot in [booked for booked in job.booked if booked < slot]:
                for name, count in job.booked.pop(old_slot).items():
                    self._adjust_starts(job, name, old_slot, -count)
                    late.append((job, name, count))
        return late

    def _extend_attempts(self, slot: int) -> None:
        """Book a slot for attempts that outrun their estimates.

        Otherwise the resources of such an attempt would count as free and be priced too low.
        """
        for machine in self._fleet.machines.values():
            for attempt in machine.attempts.values():
                if attempt.booked and not attempt.job.is_service and attempt.last_booked_slot < slot:
                    attempt.last_booked_slot = slot
                    self._ledger.book(machine.name, attempt.job.task_resources, slot, slot, 1.0)

    def machines_booked_now(self, job: Job) -> set[str]:
        """Return the names of the machines on which the job's plan books starts in the current slot."""
        return set(job.booked.get(self._ledger.current_slot, ()))

    def booked_now(self) -> dict[str, Resources]:
        """Return by machine name the resources of unused starts that plans book in the current slot."""
        reserved: dict[str, Resources] = {}
        for job in self._fleet.jobs.values():
            if job.phase is JobPhase.FINALIZED:
                continue
            for name, count in job.booked.get(self._ledger.current_slot, {}).items():
                reserved[name] = add_scaled(reserved.get(name, NO_RESOURCES), job.task_resources, count)
        return reserved

    def reserved_without_own_bookings(self, reserved: dict[str, Resources], job: Job) -> dict[str, Resources]:
        """Return the reservations without the job's own bookings of the current slot."""
        others = dict(reserved)
        for name, count in job.booked.get(self._ledger.current_slot, {}).items():
            if name in others:
                others[name] = add_scaled(others[name], job.task_resources, -count)
        return others
