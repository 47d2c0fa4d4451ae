"""Free room by who may use it, so that many demands alike don't each look at every machine."""

from __future__ import annotations

import bisect
from collections.abc import Callable, Iterable

import msgspec

from poppyhold.machines.supply_and_demand import CapacitySlot, Demand
from poppyhold.model.resources import fits

# What decides which spaces serve a demand, and in which order.
Claim = tuple[object, ...]
# Place of a space in the order, its number, and the space.
_Candidate = tuple[tuple[bool, bool, bool], int, CapacitySlot]


def allowed(demand: Demand, space: CapacitySlot) -> bool:
    """Whether a demand's own terms allow a space, whatever is free there."""
    spec = demand.spec
    return (
        demand.required_zone in (None, space.zone)
        and (spec.machine_types is None or space.machine_type.name in spec.machine_types)
        and (spec.zone is None or spec.zone == space.zone)
        and (spec.spot or not space.spot)
    )


def _claim(demand: Demand) -> Claim:
    spec = demand.spec
    machine_types = None if spec.machine_types is None else tuple(spec.machine_types)
    return demand.need, machine_types, spec.zone, spec.spot, demand.required_zone


class _Candidates(msgspec.Struct, eq=False):
    """The spaces for one claim, in the order in which they are to be used."""

    demand: Demand
    ordered: list[_Candidate]

    def add(self, number: int, space: CapacitySlot) -> None:
        """Take a space in, if it serves the claim."""
        if fits(self.demand.need, space.free) and allowed(self.demand, space):
            bisect.insort(self.ordered, (_order(space), number, space), key=lambda entry: entry[:2])


def _order(space: CapacitySlot) -> tuple[bool, bool, bool]:
    """Spot first; spaces in use before empty ones, so that empty ones may be given back."""
    return not space.spot, not space.used, space.machine is not None and not space.machine.attempts


class CapacityIndex:
    """All spaces of one decision. Room only gets less in it: what is full for a claim stays so.

    With 1,100 jobs that waited and 4,000 machines, looking at every machine for each job kept the decision
    thread from workers' reports for seconds, and their leases ended.
    """

    def __init__(self, spaces: Iterable[CapacitySlot]) -> None:
        self.slots = list(spaces)
        self._candidates: dict[Claim, _Candidates] = {}

    def add(self, space: CapacitySlot) -> None:
        """A machine that is about to be rented."""
        self.slots.append(space)
        for candidates in self._candidates.values():
            candidates.add(len(self.slots), space)

    def serve(self, demand: Demand, use: Callable[[CapacitySlot], bool]) -> None:
        """Offer the spaces for a demand, best first, until ``use`` says that it wants no more."""
        claim = _claim(demand)
        candidates = self._candidates.get(claim)
        if candidates is None:
            candidates = self._candidates[claim] = self._collect(demand)
        kept: list[_Candidate] = []
        looked_at = 0
        for candidate in candidates.ordered:
            looked_at += 1
            wants_more = use(candidate[2])
            if fits(demand.need, candidate[2].free):
                kept.append(candidate)
            if not wants_more:
                break
        candidates.ordered[:looked_at] = kept

    def _collect(self, demand: Demand) -> _Candidates:
        found = [
            (_order(space), number, space)
            for number, space in enumerate(self.slots)
            if fits(demand.need, space.free) and allowed(demand, space)
        ]
        found.sort(key=lambda entry: entry[:2])
        return _Candidates(demand, found)
