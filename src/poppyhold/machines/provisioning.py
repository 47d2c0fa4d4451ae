"""Decides which machines to launch for demand that held and expected capacity does not meet."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Iterator
from typing import NamedTuple

from poppyhold.machines.capacity_index import CapacityIndex, allowed
from poppyhold.machines.supply_and_demand import CapacitySlot, Demand
from poppyhold.model.constraints import allowed_machine_types, zone_limit
from poppyhold.model.resources import (
    ACCELERATORS,
    CPUS,
    EPSILON,
    HEARTBEAT_BYTES,
    add_scaled,
    machine_type_capacity,
    max_copies,
)
from poppyhold.options import Provisioning as ProvisioningOptions
from poppyhold.wire.cloud_messages import MachineType
from poppyhold.wire.user_messages import Submission

# Of one kind: a decision sends at most one request for each kind.
MAX_MACHINES_PER_REQUEST = 50
# More tasks than fit on any machine.
_UNBOUNDED = 1 << 30
# Surcharge on the price per task, as a fraction of it, if the demand uses nothing of a machine; it falls
# linearly to 0 if the demand fills the machine with tasks.
_UNUSED_CAPACITY_SURCHARGE = 0.5


class MachineKind(NamedTuple):
    """The machines that one launch requests: their type, zone, and whether they are spot machines."""

    machine_type: str
    zone: str
    spot: bool


class LaunchSpec(NamedTuple):
    """Machines of one kind to launch."""

    machine_type: str
    zone: str
    spot: bool
    machine_count: int


class _LaunchOption(NamedTuple):
    """A kind of machine that a demand can use; the minimum by the fields, in their order, is chosen."""

    price_per_task: float
    # Usable machines in the zone, with expected and planned ones: at equal prices the fewest come first.
    machines_in_zone: int
    machine_type: str
    zone: str
    spot: bool


class _Decision:
    """The state of one decision: the index of capacity, and the launches planned so far."""

    def __init__(self, machine_types: dict[str, MachineType], slots: list[CapacitySlot], now: float) -> None:
        self.machine_types, self.now = machine_types, now
        self.launches: dict[MachineKind, int] = {}
        self.machines_by_zone = Counter(slot.zone for slot in slots)
        # Machines of which no resource is free are left out.
        self.index = CapacityIndex(
            slot for slot in slots if any(amount > EPSILON for amount in slot.free[:HEARTBEAT_BYTES])
        )

    def add_launch(self, kind: MachineKind) -> CapacitySlot:
        """Plan the launch of one more machine; return its capacity."""
        self.launches[kind] = self.launches.get(kind, 0) + 1
        self.machines_by_zone[kind.zone] += 1
        machine_type = self.machine_types[kind.machine_type]
        slot = CapacitySlot(
            None, machine_type, kind.zone, kind.spot, machine_type_capacity(machine_type), used=True
        )
        self.index.add(slot)
        return slot


class Provisioning:
    """Fits demand into held and expected capacity, and plans launches for the rest."""

    def __init__(self, options: ProvisioningOptions) -> None:
        self._options = options
        # By kind, the time until which no machines of it are requested.
        self._blocked_until: dict[MachineKind, float] = {}

    def block(self, kind: MachineKind, until: float) -> None:
        """Block requests for machines of a kind until ``until``, or until an earlier block ends if later."""
        self._blocked_until[kind] = max(until, self._blocked_until.get(kind, until))

    def _is_unblocked(self, kind: MachineKind, now: float) -> bool:
        return self._blocked_until.get(kind, 0.0) <= now

    def is_launchable(self, spec: Submission, machine_types: Iterable[MachineType], now: float) -> bool:
        """Whether at least one on-demand kind that a task can use is not blocked."""
        return any(
            self._is_unblocked(MachineKind(machine_type.name, zone, False), now)
            for machine_type in allowed_machine_types(spec, machine_types)
            for zone in machine_type.zones
            if spec.zone in (None, zone)
        )

    def max_idle_s(self, machine_type: MachineType) -> float:
        """Return for how many seconds after it was last needed a machine is kept."""
        return machine_type.boot_s * self._options.keep_boots

    def max_boot_s(self, machine_type: MachineType) -> float:
        """Return the time limit of a boot in seconds, without the boot tracker's factor."""
        return machine_type.boot_s * self._options.give_up_boots

    def decide(
        self,
        machine_types: dict[str, MachineType],
        slots: list[CapacitySlot],
        demands: Iterable[Demand],
        now: float,
    ) -> list[LaunchSpec]:
        """Reserve capacity for the demands in the slots, and return the launches for tasks that don't fit.

        Changes the free capacity of ``slots``, and the tasks of ``demands``.
        """
        decision = _Decision(machine_types, slots, now)
        # Pending tasks before forecasts, and the largest first.
        for demand in sorted(demands, key=lambda d: (d.is_forecast, -d.need[ACCELERATORS], -d.need[CPUS])):
            if demand.spec.shape == "group" and demand.spec.one_zone and not demand.is_forecast:
                demand.required_zone = self._required_zone(demand, decision)
            # From here on, the tasks that don't fit.
            demand.tasks = self._use_capacity(demand, decision.index)
            if demand.tasks:
                # Later demands use what is left on these machines: with separate machines for each job,
                # an initially empty fleet launches two and a half times its need.
                self._plan_launches(demand, decision)
        return [
            LaunchSpec(*kind, min(count, MAX_MACHINES_PER_REQUEST))
            for kind, count in decision.launches.items()
        ]

    def _required_zone(self, demand: Demand, decision: _Decision) -> str | None:
        """Return the only zone that a gang may use.

        It is the one with active tasks of the gang, else one in which all its tasks fit, else one with an
        unblocked on-demand kind; among equals, the one in which most of its tasks fit.
        """
        zones_with_tasks = [zone for zone, count in demand.tasks_by_zone.items() if count > 0]
        if zones_with_tasks:
            return zones_with_tasks[0]
        fitting_by_zone: Counter[str] = Counter()
        for slot in decision.index.slots:
            if allowed(demand, slot):
                fitting_by_zone[slot.zone] += max_copies(demand.need, slot.free, demand.tasks)
        launchable_zones = {
            zone
            for machine_type in allowed_machine_types(demand.spec, decision.machine_types.values())
            for zone in machine_type.zones
            if demand.spec.zone in (None, zone)
            and self._is_unblocked(MachineKind(machine_type.name, zone, False), decision.now)
        }
        zones = launchable_zones | fitting_by_zone.keys()
        return max(
            zones,
            key=lambda zone: (
                fitting_by_zone[zone] >= demand.tasks,
                zone in launchable_zones,
                fitting_by_zone[zone],
                zone,
            ),
            default=None,
        )

    @staticmethod
    def _use_capacity(demand: Demand, index: CapacityIndex) -> int:
        """Use held and expected capacity; return how many tasks don't fit."""
        remaining = demand.tasks
        limit = zone_limit(demand.spec)

        def use_slot(slot: CapacitySlot) -> bool:
            """Use a slot; return whether tasks remain."""
            nonlocal remaining
            max_tasks = remaining
            # A forecast joins the tasks of many jobs; the limit is on the tasks of one job in a zone.
            if not demand.is_forecast:
                max_tasks = min(remaining, limit - demand.tasks_by_zone.get(slot.zone, 0))
            count = max_copies(demand.need, slot.free, max_tasks)
            if count:
                slot.free = add_scaled(slot.free, demand.need, -count)
                slot.used = True
                remaining -= count
                if not demand.is_forecast:
                    demand.tasks_by_zone[slot.zone] = demand.tasks_by_zone.get(slot.zone, 0) + count
            return remaining > 0

        if remaining > 0:
            index.offer(demand, use_slot)
        return max(0, remaining)

    def _plan_launches(self, demand: Demand, decision: _Decision) -> None:
        """Plan launches until all tasks fit, or each usable kind is blocked or at its maximum per request."""
        limit = zone_limit(demand.spec)
        planned: list[CapacitySlot] = []
        while demand.tasks > 0:
            self._use_planned(demand, planned, limit)
            if demand.tasks <= 0:
                return
            best = min(self._launch_options(demand, decision), default=None)
            if best is None:
                return
            planned.append(decision.add_launch(MachineKind(best.machine_type, best.zone, best.spot)))

    def _launch_options(self, demand: Demand, decision: _Decision) -> Iterator[_LaunchOption]:
        """Yield an option for each usable kind that is not blocked and below its maximum per request."""
        for machine_type, kind in self._usable_kinds(demand, decision.machine_types):
            if (
                not self._is_unblocked(kind, decision.now)
                or decision.launches.get(kind, 0) >= MAX_MACHINES_PER_REQUEST
            ):
                continue
            price = self._price_per_task(demand, machine_type, kind.spot)
            yield _LaunchOption(price, decision.machines_by_zone[kind.zone], *kind)

    @staticmethod
    def _usable_kinds(
        demand: Demand, machine_types: dict[str, MachineType]
    ) -> Iterator[tuple[MachineType, MachineKind]]:
        """Yield the kinds that a demand's constraints and its limit of tasks per zone allow."""
        spec, limit = demand.spec, zone_limit(demand.spec)
        for machine_type in allowed_machine_types(spec, machine_types.values()):
            for zone in machine_type.zones:
                excluded = spec.zone not in (None, zone) or demand.required_zone not in (None, zone)
                at_zone_limit = not demand.is_forecast and demand.tasks_by_zone.get(zone, 0) >= limit
                if excluded or at_zone_limit:
                    continue
                if spec.spot:
                    yield machine_type, MachineKind(machine_type.name, zone, True)
                yield machine_type, MachineKind(machine_type.name, zone, False)

    @staticmethod
    def _price_per_task(demand: Demand, machine_type: MachineType, spot: bool) -> float:
        """Return the price per task, raised in proportion to the capacity that the demand leaves unused."""
        tasks_if_full = max_copies(demand.need, machine_type_capacity(machine_type), _UNBOUNDED)
        tasks_placed = min(tasks_if_full, demand.tasks)
        price = machine_type.spot_price if spot else machine_type.price
        return price / tasks_if_full * (1.0 + _UNUSED_CAPACITY_SURCHARGE * (1 - tasks_placed / tasks_if_full))

    @staticmethod
    def _use_planned(demand: Demand, planned: list[CapacitySlot], limit: int) -> None:
        """Use the capacity of the machines whose launches were planned for this demand."""
        for slot in planned:
            if demand.tasks <= 0:
                return
            max_tasks = demand.tasks
            if not demand.is_forecast:
                max_tasks = min(demand.tasks, limit - demand.tasks_by_zone.get(slot.zone, 0))
            count = max_copies(demand.need, slot.free, max_tasks)
            if count > 0:
                slot.free = add_scaled(slot.free, demand.need, -count)
                demand.tasks_by_zone[slot.zone] = demand.tasks_by_zone.get(slot.zone, 0) + count
                demand.tasks -= count
