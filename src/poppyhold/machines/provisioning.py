"""Which machines to rent and which to give back."""

from __future__ import annotations

import math
from collections import Counter, deque
from collections.abc import Iterable, Iterator

import msgspec

from poppyhold.machines.capacity_index import CapacityIndex, allowed
from poppyhold.machines.supply_and_demand import CapacitySlot, Demand
from poppyhold.model.constraints import allowed_machine_types, zone_limit
from poppyhold.model.resources import EPSILON, Resources, add_scaled, machine_type_capacity, max_copies
from poppyhold.options import Provisioning as ProvisioningOptions
from poppyhold.wire.cloud_messages import MachineType
from poppyhold.wire.user_messages import Submission

MAX_LAUNCH_COUNT = 50
# More tasks than any machine holds.
_UNBOUNDED = 1 << 30
# Parts of the forecast's window that are told apart.
_PARTS = 6


class LaunchSpec(msgspec.Struct, frozen=True):
    """Machines to rent."""

    machine_type: str
    zone: str
    spot: bool
    count: int


def _size(need: Resources) -> float:
    """Size of a task by the resource that machines run out of first, as far as one can tell."""
    return need[1] if need[1] > 0 else need[0]


# Team, class and size of a task.
Kind = tuple[str, str, Resources]


def _kind(spec: Submission) -> Kind:
    """Jobs whose arrivals are counted together."""
    return spec.team, spec.job_class, (spec.cpus, spec.accelerators, spec.memory_gb)


def _pooled(weights: list[float]) -> float:
    """The deviation of a sum as a part of the sum of the deviations."""
    total = sum(weights)
    return math.sqrt(sum(weight * weight for weight in weights)) / total if total else 0.0


class Arrivals:
    """What has been submitted lately, by class: the forecast of what comes while a machine boots."""

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        self._submissions: deque[tuple[float, Submission]] = deque()
        self._ends: deque[tuple[float, Submission]] = deque()
        self._first_at: float | None = None

    def record_submission(self, now: float, spec: Submission) -> None:
        """A job was submitted."""
        if self._first_at is None:
            self._first_at = now
        self._submissions.append((now, spec))

    def record_end(self, now: float, spec: Submission) -> None:
        """A job is over."""
        self._ends.append((now, spec))

    def forecast(self, now: float, ahead_s: float, factor: float) -> list[Demand]:
        """Tasks to keep room for: one deviation of what arrives in ``ahead_s``, times ``factor``.

        And the replicas that come beyond those that go: a young fleet's grow until as many end as begin.
        """
        for history in (self._submissions, self._ends):
            while history and history[0][0] < now - self._window_s:
                history.popleft()
        if self._first_at is None:
            return []
        groups: dict[Kind, list[tuple[float, Submission]]] = {}
        for at, spec in self._submissions:
            groups.setdefault(_kind(spec), []).append((at, spec))
        deviations = {
            key: math.sqrt(self._steady_rate(now, seen, 2) * ahead_s) for key, seen in groups.items()
        }
        growth = dict.fromkeys(groups, 0.0)
        for key, seen in groups.items():
            if seen[-1][1].shape == "service":
                ended = sum(spec.tasks for _, spec in self._ends if _kind(spec) == key)
                growth[key] = max(0.0, self._steady_rate(now, seen, 1) - ended / self._window_s) * ahead_s
        # Classes share the room, and seldom all come at once: the deviation of the sum is less than the
        # sum of the deviations. Those with accelerators and those without run out of different resources.
        pooled = {
            accelerated: _pooled(
                [
                    deviation * _size(key[2])
                    for key, deviation in deviations.items()
                    if (key[2][1] > 0) == accelerated
                ]
            )
            for accelerated in (True, False)
        }
        return [
            Demand(
                seen[-1][1],
                key[2],
                math.ceil(factor * pooled[key[2][1] > 0] * deviations[key] + growth[key]),
                {},
                is_forecast=True,
            )
            for key, seen in groups.items()
        ]

    def _steady_rate(self, now: float, seen: list[tuple[float, Submission]], power: int) -> float:
        """Job sizes, or their squares, per second, without the busiest part of the window.

        A backlog that comes at once, as when a fleet is first started, is no sign of what will come. But it
        is all that is known of how uneven arrivals are, and a fleet with no room to spare makes the first
        ones wait for boots: squares count it as if it had come over all of the first window.
        """
        parts = [0.0] * _PARTS
        part_s = self._window_s / _PARTS
        for at, spec in seen:
            parts[min(_PARTS - 1, int((now - at) / part_s))] += float(spec.tasks) ** power
        covered = min(_PARTS, math.ceil((now - (self._first_at or 0.0)) / part_s))
        if covered < _PARTS and power > 1:
            return sum(parts) / self._window_s
        if covered <= 1:
            return 0.0
        return (sum(parts) - max(parts)) / ((covered - 1) * part_s)


class Provisioning:
    """Fits all demand into the room that is held or coming, and rents what is missing."""

    def __init__(self, options: ProvisioningOptions) -> None:
        self._options = options
        # (build, zone, spot) -> until when the cloud is not asked again.
        self.blocked_until: dict[tuple[str, str, bool], float] = {}

    def block(self, machine_type: str, zone: str, spot: bool, until: float) -> None:
        """Don't ask for machines of a kind before a moment."""
        kind = (machine_type, zone, spot)
        self.blocked_until[kind] = max(until, self.blocked_until.get(kind, until))

    def is_launchable(self, spec: Submission, machine_types: Iterable[MachineType], now: float) -> bool:
        """Whether the cloud may have a machine for a task: it did not refuse all such ones lately."""
        return any(
            self.blocked_until.get((machine_type.name, zone, False), 0.0) <= now
            for machine_type in allowed_machine_types(spec, machine_types)
            for zone in machine_type.zones
            if spec.zone in (None, zone)
        )

    def max_idle_s(self, machine_type: MachineType) -> float:
        """How long an unneeded machine is kept."""
        return machine_type.boot_s * self._options.keep_boots

    def max_boot_s(self, machine_type: MachineType) -> float:
        """How long a machine may boot."""
        return machine_type.boot_s * self._options.give_up_boots

    def decide(
        self,
        machine_types: dict[str, MachineType],
        spaces: list[CapacitySlot],
        demands: Iterable[Demand],
        now: float,
    ) -> list[LaunchSpec]:
        """Mark the spaces that demand uses, and say what to rent for the rest."""
        bought: dict[tuple[str, str, bool], int] = {}
        zones = Counter(space.zone for space in spaces)
        # What is full is looked at no more.
        index = CapacityIndex(space for space in spaces if any(amount > EPSILON for amount in space.free))
        # Largest tasks first, and real ones before forecasts of the same size.
        for demand in sorted(demands, key=lambda d: (d.is_forecast, -d.need[1], -d.need[0])):
            if demand.spec.shape == "group" and demand.spec.one_zone and not demand.is_forecast:
                demand.required_zone = self._gang_zone(demand, machine_types, index.slots, now)
            demand.tasks = self._use_supply(demand, index)
            if demand.tasks:
                # What one job's machines have left is there for the next: each bought whole machines
                # of its own once, and a fleet that began empty rented two and a half times its need.
                self._order_machines(demand, machine_types, index, zones, bought, now)
        return [
            LaunchSpec(machine_type, zone, spot, min(n, MAX_LAUNCH_COUNT))
            for (machine_type, zone, spot), n in bought.items()
        ]

    def _gang_zone(
        self, demand: Demand, machine_types: dict[str, MachineType], spaces: list[CapacitySlot], now: float
    ) -> str | None:
        """The zone for a gang that has to be in one: with room for all, else where room can be bought."""
        held = [zone for zone, count in demand.zones.items() if count > 0]
        if held:
            return held[0]
        rooms: Counter[str] = Counter()
        for space in spaces:
            if allowed(demand, space):
                rooms[space.zone] += max_copies(demand.need, space.free, demand.tasks)
        open_zones = {
            zone
            for machine_type in allowed_machine_types(demand.spec, machine_types.values())
            for zone in machine_type.zones
            if demand.spec.zone in (None, zone)
            and self.blocked_until.get((machine_type.name, zone, False), 0.0) <= now
        }
        zones = open_zones | rooms.keys()
        return max(
            zones,
            key=lambda zone: (rooms[zone] >= demand.tasks, zone in open_zones, rooms[zone], zone),
            default=None,
        )

    @staticmethod
    def _use_supply(demand: Demand, index: CapacityIndex) -> int:
        """Use the room that is there; returns how many tasks are left without."""
        left = demand.tasks
        limit = zone_limit(demand.spec)

        def use(space: CapacitySlot) -> bool:
            nonlocal left
            room = left if demand.is_forecast else min(left, limit - demand.zones.get(space.zone, 0))
            take = max_copies(demand.need, space.free, room)
            if take:
                space.free = add_scaled(space.free, demand.need, -take)
                space.used = True
                left -= take
                if not demand.is_forecast:
                    demand.zones[space.zone] = demand.zones.get(space.zone, 0) + take
            return left > 0

        if left > 0:
            index.serve(demand, use)
        return max(0, left)

    def _order_machines(
        self,
        demand: Demand,
        machine_types: dict[str, MachineType],
        index: CapacityIndex,
        zones: Counter[str],
        bought: dict[tuple[str, str, bool], int],
        now: float,
    ) -> None:
        limit = zone_limit(demand.spec)
        fresh: list[CapacitySlot] = []
        while demand.tasks > 0:
            self._use_ordered(demand, fresh, limit)
            if demand.tasks <= 0:
                return
            offers = (
                (self._price_per_task(demand, machine_type, spot), zones[zone], machine_type.name, zone, spot)
                for machine_type, zone, spot in self._launchable_kinds(demand, machine_types)
                if self.blocked_until.get((machine_type.name, zone, spot), 0.0) <= now
                and bought.get((machine_type.name, zone, spot), 0) < MAX_LAUNCH_COUNT
            )
            # Zones with fewer machines first, where the price is the same.
            best = min(offers, default=None)
            if best is None:
                return
            _, _, name, zone, spot = best
            bought[(name, zone, spot)] = bought.get((name, zone, spot), 0) + 1
            zones[zone] += 1
            space = CapacitySlot(
                None, machine_types[name], zone, spot, machine_type_capacity(machine_types[name]), used=True
            )
            fresh.append(space)
            index.add(space)

    @staticmethod
    def _launchable_kinds(
        demand: Demand, machine_types: dict[str, MachineType]
    ) -> Iterator[tuple[MachineType, str, bool]]:
        """Machine types, zones and kinds that would serve a demand."""
        spec, limit = demand.spec, zone_limit(demand.spec)
        for machine_type in allowed_machine_types(spec, machine_types.values()):
            for zone in machine_type.zones:
                elsewhere = spec.zone not in (None, zone) or demand.required_zone not in (None, zone)
                full = not demand.is_forecast and demand.zones.get(zone, 0) >= limit
                if elsewhere or full:
                    continue
                if spec.spot:
                    yield machine_type, zone, True
                yield machine_type, zone, False

    @staticmethod
    def _price_per_task(demand: Demand, machine_type: MachineType, spot: bool) -> float:
        """Price of a task's room; a machine that is mostly left empty counts half as much again."""
        full = max_copies(demand.need, machine_type_capacity(machine_type), _UNBOUNDED)
        used = min(full, demand.tasks)
        price = machine_type.spot_price if spot else machine_type.price
        return price / full * (1.0 + 0.5 * (1 - used / full))

    @staticmethod
    def _use_ordered(demand: Demand, fresh: list[CapacitySlot], limit: int) -> None:
        for space in fresh:
            if demand.tasks <= 0:
                return
            room = (
                demand.tasks
                if demand.is_forecast
                else min(demand.tasks, limit - demand.zones.get(space.zone, 0))
            )
            take = max_copies(demand.need, space.free, room)
            if take > 0:
                space.free = add_scaled(space.free, demand.need, -take)
                demand.zones[space.zone] = demand.zones.get(space.zone, 0) + take
                demand.tasks -= take
