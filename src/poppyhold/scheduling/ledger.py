"""Booked resources g[h][r](t) per machine h, resource r and slot t from the current one on (OASiS)."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import NamedTuple

from poppyhold.model.resources import NO_RESOURCES, Resources, add_scaled

# Key of bookings in every slot (services), and of cached prices of slots that have no other bookings.
EVERY_SLOT = -1

# Amounts below this are rounding errors left by released bookings.
_ROUNDING_TOLERANCE = 1e-9


class EquivalenceKey(NamedTuple):
    """Everything that decides prices and free capacity: machines with equal keys are equivalent."""

    zone: str
    machine_type: str
    spot: bool
    capacity: Resources
    every_slot: Resources
    slots: tuple[tuple[int, Resources], ...]


class FreeAndPrices(NamedTuple):
    """Free resources of a machine in a slot, and the unit price of each resource."""

    free: Resources
    unit_prices: Resources


class MachineBookings:
    """Bookings of one machine: by slot, and in every slot (services)."""

    __slots__ = (
        "_equivalence_key",
        "_free_and_prices",
        "capacity",
        "every_slot",
        "machine_type",
        "slots",
        "spot",
        "zone",
    )

    def __init__(self, capacity: Resources, zone: str, machine_type: str, spot: bool) -> None:
        self.capacity, self.zone, self.machine_type, self.spot = capacity, zone, machine_type, spot
        self.slots: dict[int, Resources] = {}
        self.every_slot = NO_RESOURCES
        # Cache by slot, invalidated by the next booking there.
        self._free_and_prices: dict[int, FreeAndPrices] = {}
        self._equivalence_key: EquivalenceKey | None = None

    def equivalence_key(self) -> EquivalenceKey:
        """Return the key of this machine with its current bookings."""
        if self._equivalence_key is None:
            slots = tuple(sorted(self.slots.items()))
            self._equivalence_key = EquivalenceKey(
                self.zone, self.machine_type, self.spot, self.capacity, self.every_slot, slots
            )
        return self._equivalence_key

    def free_and_prices(
        self, slot: int, unit_prices: Callable[[Resources, Resources], Resources]
    ) -> FreeAndPrices:
        """Return free resources and prices in a slot, or (``EVERY_SLOT``) in slots with no other bookings.

        They are cached until the next booking, since every plan reads every slot of every machine.
        """
        found = self._free_and_prices.get(slot)
        if found is None:
            booked = self.booked(slot)
            found = self._free_and_prices[slot] = FreeAndPrices(
                add_scaled(self.capacity, booked, -1.0), unit_prices(booked, self.capacity)
            )
        return found

    def book(self, slot: int, need: Resources, factor: float) -> None:
        """Add ``factor`` times the resources to one slot, or to every slot."""
        self._equivalence_key = None
        if slot == EVERY_SLOT:
            self.every_slot = add_scaled(self.every_slot, need, factor)
            self._free_and_prices.clear()
            return
        booked = add_scaled(self.slots.get(slot, NO_RESOURCES), need, factor)
        if all(abs(amount) < _ROUNDING_TOLERANCE for amount in booked):
            self.slots.pop(slot, None)
        else:
            self.slots[slot] = booked
        self._free_and_prices.pop(slot, None)

    def drop_before(self, first: int) -> None:
        """Drop the bookings of slots before ``first``."""
        self._equivalence_key = None
        for old in [slot for slot in self.slots if slot < first]:
            del self.slots[old]
            self._free_and_prices.pop(old, None)

    def booked(self, slot: int) -> Resources:
        """Return the resources that are booked in a slot."""
        own = self.slots.get(slot)
        return self.every_slot if own is None else add_scaled(self.every_slot, own)


class MachineGroup(NamedTuple):
    """Equivalent machines: their names, and the bookings of one, which equal those of the others."""

    bookings: MachineBookings
    names: list[str]


class Ledger:
    """The bookings of all machines on which jobs can be planned."""

    def __init__(self, horizon_slots: int) -> None:
        self.horizon_slots = horizon_slots
        self.current_slot = 0
        self.machines: dict[str, MachineBookings] = {}
        # Machine names by equivalence key and the reverse, as of the last regrouping; names changed since.
        self._names_by_key: dict[EquivalenceKey, dict[str, None]] = {}
        self._key_by_name: dict[str, EquivalenceKey] = {}
        self._changed_names: dict[str, None] = {}

    def groups(self) -> Iterator[MachineGroup]:
        """Yield all machines in groups of equivalent ones.

        Only machines whose bookings changed since the last call are regrouped: regrouping all of 4,000
        machines for each plan blocked a new leader with a thousand waiting jobs for seconds.
        """
        for name in self._changed_names:
            self._regroup(name)
        self._changed_names.clear()
        for names in self._names_by_key.values():
            yield MachineGroup(self.machines[next(iter(names))], list(names))

    def _regroup(self, name: str) -> None:
        bookings = self.machines.get(name)
        key = bookings.equivalence_key() if bookings is not None else None
        previous_key = self._key_by_name.get(name)
        if key == previous_key:
            return
        if previous_key is not None:
            equivalent = self._names_by_key[previous_key]
            del equivalent[name], self._key_by_name[name]
            if not equivalent:
                del self._names_by_key[previous_key]
        if key is not None:
            self._names_by_key.setdefault(key, {})[name] = None
            self._key_by_name[name] = key

    def advance_to(self, slot: int) -> None:
        """Advance the current slot, and drop the bookings of earlier slots."""
        if slot <= self.current_slot:
            return
        self.current_slot = slot
        for bookings in self.machines.values():
            bookings.drop_before(slot)
        self._changed_names.update(dict.fromkeys(self.machines))

    def add_machine(self, name: str, capacity: Resources, zone: str, machine_type: str, spot: bool) -> None:
        """Add a machine with no bookings."""
        self.machines.setdefault(name, MachineBookings(capacity, zone, machine_type, spot))
        self._changed_names[name] = None

    def remove_machine(self, name: str) -> None:
        """Remove a machine and its bookings."""
        self.machines.pop(name, None)
        self._changed_names[name] = None

    def book(self, name: str, need: Resources, first: int, last: int | None, factor: float) -> None:
        """Book slots ``first`` to ``last``, or every slot if None; a negative ``factor`` releases."""
        bookings = self.machines.get(name)
        if bookings is None:
            return
        self._changed_names[name] = None
        if last is None:
            bookings.book(EVERY_SLOT, need, factor)
            return
        end = self.current_slot + self.horizon_slots - 1
        for slot in range(max(first, self.current_slot), min(last, end) + 1):
            bookings.book(slot, need, factor)
