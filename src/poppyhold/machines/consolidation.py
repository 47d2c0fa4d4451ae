"""Consolidation: drains underused machines whose replicas fit elsewhere."""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable

from poppyhold.execution.reconciliation import AttemptReconciler
from poppyhold.machines.supply_and_demand import CapacitySlot
from poppyhold.model.constraints import zone_limit
from poppyhold.model.context import Context
from poppyhold.model.entities import Attempt, JobPhase, Machine
from poppyhold.model.resources import Resources, add_scaled, fits
from poppyhold.scheduling.eligibility import may_use
from poppyhold.scheduling.pricing import machine_shares

log = logging.getLogger(__name__)

# Machines with a higher utilization are not drained.
_MAX_UTILIZATION = 0.5
# One in this many machines, and at least one, may be draining at a time.
_MACHINES_PER_DRAIN = 16
# A replica is moved only after it has run for this many times `cancel_s`.
_MIN_RUNNING_CANCELS = 2


class Consolidator:
    """Drains machines while no task is pending, moving one replica of a job at a time."""

    def __init__(self, ctx: Context, reconciler: AttemptReconciler) -> None:
        self._ctx, self._reconciler = ctx, reconciler

    def consolidate(self, slots: list[CapacitySlot], now: float) -> None:
        """Choose machines to drain, and move the next replicas of draining ones."""
        fleet = self._ctx.fleet
        if self._reconciler.lease_expiry.unreconciled or any(
            job.pending > 0 and job.phase is not JobPhase.FINALIZED for job in fleet.jobs.values()
        ):
            return
        self._start_drains(slots, now)
        self._move_replicas(now)

    def _start_drains(self, slots: list[CapacitySlot], now: float) -> None:
        durations = self._ctx.durations
        max_draining = max(1, len(self._ctx.fleet.machines) // _MACHINES_PER_DRAIN)

        def is_settled(attempt: Attempt) -> bool:
            # A replica that is stopped soon after its start is of no use to its user.
            return (
                attempt.running_at is not None
                and now - attempt.running_at > _MIN_RUNNING_CANCELS * durations.cancel_s
            )

        def is_schedulable(machine: Machine) -> bool:
            return machine.is_schedulable(now, durations.silent_s)

        for machine in DrainSelector(max_draining, is_settled).choose(slots, is_schedulable):
            machine.draining = True
            log.info(
                "draining machine: machine=%s replicas=%d reason=underused",
                machine.name,
                len(machine.attempts),
            )

    def _move_replicas(self, now: float) -> None:
        machines = self._ctx.fleet.machines
        moving_jobs = {
            attempt.job.id
            for machine in machines.values()
            for attempt in machine.attempts.values()
            if attempt.stop_requested_at is not None
        }
        for machine in machines.values():
            if not machine.draining or machine.deleting:
                continue
            for attempt in machine.attempts.values():
                if (
                    attempt.stop_requested_at is None
                    and attempt.job.is_service
                    and attempt.job.id not in moving_jobs
                ):
                    self._reconciler.lifecycle.stop(attempt, 0.0, now)
                    break


class DrainSelector:
    """Chooses machines to drain; capacity for pending tasks and the forecast stays free."""

    def __init__(self, max_draining: int, is_settled: Callable[[Attempt], bool]) -> None:
        self._max_draining, self._is_settled = max_draining, is_settled

    def choose(
        self, slots: Iterable[CapacitySlot], is_schedulable: Callable[[Machine], bool]
    ) -> list[Machine]:
        """Return the machines whose replicas all fit on remaining machines that have their images."""
        held = [slot for slot in slots if slot.machine is not None and is_schedulable(slot.machine)]
        draining = sum(1 for slot in held if slot.machine is not None and slot.machine.draining)
        candidates = sorted(
            (slot for slot in held if slot.machine is not None and self._is_movable(slot.machine)),
            key=self._utilization,
        )
        chosen: list[Machine] = []
        for slot in candidates:
            if draining + len(chosen) >= self._max_draining:
                break
            machine = slot.machine
            if machine is None or machine.draining or self._utilization(slot) > _MAX_UTILIZATION:
                continue
            if slot.free != machine.free:
                # Pending tasks or the forecast use its capacity: a replacement would be launched at once.
                continue
            targets = [
                other
                for other in held
                if other is not slot
                and other.machine is not None
                and other.machine.attempts
                and not other.machine.draining
                and other.machine not in chosen
            ]
            if self._place_replicas(machine, targets):
                chosen.append(machine)
        return chosen

    @staticmethod
    def _utilization(slot: CapacitySlot) -> float:
        """Return the utilization of the machine's most used resource."""
        machine = slot.machine
        if machine is None:
            return 0.0
        return max(
            (
                used / capacity
                for used, capacity in zip(machine.used, machine.capacity, strict=True)
                if capacity > 0
            ),
            default=0.0,
        )

    def _is_movable(self, machine: Machine) -> bool:
        """Whether a machine holds only settled replicas; array tasks are left to finish."""
        return bool(machine.attempts) and all(
            attempt.job.is_service and attempt.stop_requested_at is None and self._is_settled(attempt)
            for attempt in machine.attempts.values()
        )

    @staticmethod
    def _place_replicas(machine: Machine, targets: list[CapacitySlot]) -> bool:
        """Reserve capacity on the targets for all replicas of a machine; False if they don't all fit."""
        free_on: dict[int, Resources] = {}
        attempts = sorted(
            machine.attempts.values(),
            key=lambda attempt: -machine_shares(attempt.job.task_resources, machine.capacity),
        )
        # By job and zone, how many replicas come from another zone.
        moved: dict[tuple[str, str], int] = {}
        for attempt in attempts:
            job = attempt.job
            for index, slot in enumerate(targets):
                target = slot.machine
                if target is None or job.spec.image not in target.images or not may_use(job, target):
                    continue
                free = free_on.get(index, slot.free)
                if not fits(job.task_resources, free):
                    continue
                changes_zone = target.zone != machine.zone
                count = moved.get((job.id, target.zone), 0) + changes_zone
                if job.active_by_zone.get(target.zone, 0) + count > zone_limit(job.spec):
                    continue
                if job.spec.one_zone and job.spec.tasks > 1 and changes_zone:
                    continue
                free_on[index] = add_scaled(free, job.task_resources, -1.0)
                moved[(job.id, target.zone)] = count
                break
            else:
                return False
        for index, free in free_on.items():
            targets[index].free = free
        return True
