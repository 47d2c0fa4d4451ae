"""Emptying machines that are little used: replicas move to where their image is already."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from poppyhold.machines.supply_and_demand import CapacitySlot
from poppyhold.model.constraints import zone_limit
from poppyhold.model.entities import Attempt, Machine
from poppyhold.model.resources import add_scaled, fits
from poppyhold.scheduling.placement import may_use
from poppyhold.scheduling.pricing import machine_shares


class Consolidation:
    """Chooses machines to empty. What the forecast and waiting work need is left free."""

    def __init__(self, most: int, settled: Callable[[Attempt], bool]) -> None:
        self._most, self._is_settled = most, settled

    def choose(self, spaces: Iterable[CapacitySlot], ready: Callable[[Machine], bool]) -> list[Machine]:
        """Machines whose replicas all fit, with their images, on machines that stay."""
        held = [space for space in spaces if space.machine is not None and ready(space.machine)]
        draining = sum(1 for space in held if space.machine is not None and space.machine.draining)
        candidates = sorted(
            (space for space in held if space.machine is not None and self._movable(space.machine)),
            key=self._utilization,
        )
        chosen: list[Machine] = []
        for space in candidates:
            if draining + len(chosen) >= self._most:
                break
            machine = space.machine
            if machine is None or machine.draining or self._utilization(space) > _LOAD:
                continue
            if space.free != machine.free:
                # Waiting work or the forecast counts on it: it would be rented again at once.
                continue
            others = [
                other
                for other in held
                if other is not space
                and other.machine is not None
                and other.machine.attempts
                and not other.machine.draining
                and other.machine not in chosen
            ]
            if self._fits(machine, others):
                chosen.append(machine)
        return chosen

    @staticmethod
    def _utilization(space: CapacitySlot) -> float:
        machine = space.machine
        if machine is None:
            return 0.0
        return max(
            (used / all_ for used, all_ in zip(machine.used, machine.capacity, strict=True) if all_ > 0),
            default=0.0,
        )

    def _movable(self, machine: Machine) -> bool:
        """Only settled replicas move; a machine with array tasks is left until they are done."""
        return bool(machine.attempts) and all(
            attempt.job.is_service and attempt.stopping_at is None and self._is_settled(attempt)
            for attempt in machine.attempts.values()
        )

    @staticmethod
    def _fits(machine: Machine, others: list[CapacitySlot]) -> bool:
        taken: dict[int, tuple[float, float, float]] = {}
        attempts = sorted(
            machine.attempts.values(), key=lambda a: -machine_shares(a.job.task_resources, machine.capacity)
        )
        zones: dict[tuple[str, str], int] = {}
        for attempt in attempts:
            job = attempt.job
            for index, space in enumerate(others):
                target = space.machine
                if target is None or job.spec.image not in target.images or not may_use(job, target):
                    continue
                free = taken.get(index, space.free)
                if not fits(job.task_resources, free):
                    continue
                moved = zones.get((job.id, target.zone), 0) + (target.zone != machine.zone)
                if job.active_by_zone.get(target.zone, 0) + moved > zone_limit(job.spec):
                    continue
                if job.spec.one_zone and job.spec.tasks > 1 and target.zone != machine.zone:
                    continue
                taken[index] = add_scaled(free, job.task_resources, -1.0)
                zones[(job.id, target.zone)] = moved
                break
            else:
                return False
        for index, free in taken.items():
            others[index].free = free
        return True


# Machines that are used more than this are not worth emptying.
_LOAD = 0.5
