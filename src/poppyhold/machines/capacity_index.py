"""Index of free capacity by constraints, so that similar demands share one scan of all machines."""

from __future__ import annotations

import bisect
from collections.abc import Callable, Iterable
from typing import NamedTuple

import msgspec

from poppyhold.machines.supply_and_demand import CapacitySlot, Demand
from poppyhold.model.constraints import allows_machine
from poppyhold.model.resources import Resources, fits


class _DemandKey(NamedTuple):
    """The properties of a demand that determine its eligible slots."""

    need: Resources
    machine_types: tuple[str, ...] | None
    zone: str | None
    spot: bool
    required_zone: str | None


class _Preference(NamedTuple):
    """The order in which slots are used, lowest first.

    Spot machines first; machines in use before empty ones, so that empty ones can be scaled in.
    """

    on_demand: bool
    unused: bool
    empty: bool


class _Candidate(NamedTuple):
    """A slot with its sort key in the order of use."""

    preference: _Preference
    number: int
    slot: CapacitySlot


def allowed(demand: Demand, slot: CapacitySlot) -> bool:
    """Whether a demand's constraints allow a slot, whatever is free on it."""
    return demand.required_zone in (None, slot.zone) and allows_machine(
        demand.spec, slot.machine_type.name, slot.zone, slot.spot
    )


def _key_of(demand: Demand) -> _DemandKey:
    spec = demand.spec
    machine_types = None if spec.machine_types is None else tuple(spec.machine_types)
    return _DemandKey(demand.need, machine_types, spec.zone, spec.spot, demand.required_zone)


def _preference(slot: CapacitySlot) -> _Preference:
    is_empty = slot.machine is not None and not slot.machine.attempts
    return _Preference(not slot.spot, not slot.used, is_empty)


def _sort_key(candidate: _Candidate) -> tuple[_Preference, int]:
    return candidate.preference, candidate.number


class _Candidates(msgspec.Struct, eq=False):
    """The eligible slots for demands of one key, in order of use."""

    demand: Demand
    ordered: list[_Candidate]
    # How many of the slots that came into use during the decision are in their new position here.
    reordered_count: int

    def reorder(self, newly_used: list[tuple[int, CapacitySlot]]) -> None:
        """Move the slots that came into use since the last call to their new position."""
        for number, slot in newly_used[self.reordered_count :]:
            before = _preference(slot)._replace(unused=True)
            place = bisect.bisect_left(self.ordered, (before, number), key=_sort_key)
            if place < len(self.ordered) and self.ordered[place].slot is slot:
                del self.ordered[place]
                bisect.insort(self.ordered, _Candidate(_preference(slot), number, slot), key=_sort_key)
        self.reordered_count = len(newly_used)

    def add(self, number: int, slot: CapacitySlot) -> None:
        """Add a slot if it is eligible."""
        if fits(self.demand.need, slot.free) and allowed(self.demand, slot):
            candidate = _Candidate(_preference(slot), number, slot)
            bisect.insort(self.ordered, candidate, key=_sort_key)


class CapacityIndex:
    """All slots of one decision. Free capacity only shrinks in it: a slot without room for a key stays so.

    With 1,100 pending jobs and 4,000 machines, a scan of all machines for each job would keep the decision
    thread from handling heartbeats for seconds, so that workers' leases expire.
    """

    def __init__(self, slots: Iterable[CapacitySlot]) -> None:
        self.slots = list(slots)
        self._candidates: dict[_DemandKey, _Candidates] = {}
        # Slots that came into use during the decision, with their numbers, in the order of their first use.
        self._newly_used: list[tuple[int, CapacitySlot]] = []

    def add(self, slot: CapacitySlot) -> None:
        """Add the capacity of a machine to be launched."""
        self.slots.append(slot)
        for candidates in self._candidates.values():
            candidates.add(len(self.slots) - 1, slot)

    def offer(self, demand: Demand, use: Callable[[CapacitySlot], bool]) -> None:
        """Offer the eligible slots for a demand, best first, until ``use`` returns False."""
        key = _key_of(demand)
        candidates = self._candidates.get(key)
        if candidates is None:
            candidates = self._candidates[key] = self._collect(demand)
        candidates.reorder(self._newly_used)
        kept: list[_Candidate] = []
        offered = 0
        for candidate in candidates.ordered:
            offered += 1
            was_used = candidate.slot.used
            wants_more = use(candidate.slot)
            if candidate.slot.used and not was_used:
                self._newly_used.append((candidate.number, candidate.slot))
            if fits(demand.need, candidate.slot.free):
                kept.append(candidate)
            if not wants_more:
                break
        candidates.ordered[:offered] = kept

    def _collect(self, demand: Demand) -> _Candidates:
        found = [
            _Candidate(_preference(slot), number, slot)
            for number, slot in enumerate(self.slots)
            if fits(demand.need, slot.free) and allowed(demand, slot)
        ]
        found.sort(key=_sort_key)
        return _Candidates(demand, found, len(self._newly_used))
