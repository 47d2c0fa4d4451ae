"""Booked resources g[h][r](t): per machine h, resource r and future slot t."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import NamedTuple

from poppyhold.model.resources import NO_RESOURCES, Resources, add_scaled

# In place of a slot: every slot without bookings of its own.
EVERY_SLOT = -1

# Below this an amount is what rounding leaves of a booking that was released.
_ROUNDING_TOLERANCE = 1e-9


class EquivalenceKey(NamedTuple):
    """What decides prices and free capacity: machines with equal keys are alike to every plan."""

    zone: str
    machine_type: str
    spot: bool
    capacity: Resources
    every_slot: Resources
    slots: tuple[tuple[int, Resources], ...]


class FreeAndPrices(NamedTuple):
    """What is free on a machine in a slot, and the price of a unit of each resource."""

    free: Resources
    unit_prices: Resources


class MachineBookings:
    """One machine's bookings: by slot, and those that hold in every slot (services)."""

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
        # By slot, until the next booking there.
        self._free_and_prices: dict[int, FreeAndPrices] = {}
        self._equivalence_key: EquivalenceKey | None = None

    def equivalence_key(self) -> EquivalenceKey:
        """The key of this machine with its present bookings."""
        if self._equivalence_key is None:
            slots = tuple(sorted(self.slots.items()))
            self._equivalence_key = EquivalenceKey(
                self.zone, self.machine_type, self.spot, self.capacity, self.every_slot, slots
            )
        return self._equivalence_key

    def free_and_prices(
        self, slot: int, unit_prices: Callable[[Resources, Resources], Resources]
    ) -> FreeAndPrices:
        """What is free, and its prices, in a slot or in those with no bookings of their own.

        Every plan looks at every slot of every machine; between two bookings both stay the same.
        """
        found = self._free_and_prices.get(slot)
        if found is None:
            booked = self.booked(slot)
            found = self._free_and_prices[slot] = FreeAndPrices(
                add_scaled(self.capacity, booked, -1.0), unit_prices(booked, self.capacity)
            )
        return found

    def book(self, slot: int, need: Resources, factor: float) -> None:
        """Book in one slot, or in all."""
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
        """Forget the slots before one."""
        self._equivalence_key = None
        for old in [slot for slot in self.slots if slot < first]:
            del self.slots[old]
            self._free_and_prices.pop(old, None)

    def booked(self, slot: int) -> Resources:
        """What is booked in a slot."""
        own = self.slots.get(slot)
        return self.every_slot if own is None else add_scaled(self.every_slot, own)


class MachineGroup(NamedTuple):
    """Equivalent machines: the bookings of one, which stand for those of all, and their names."""

    bookings: MachineBookings
    names: list[str]


class Ledger:
    """The bookings of all machines that can be planned on."""

    def __init__(self, horizon_slots: int) -> None:
        self.horizon_slots = horizon_slots
        self.current_slot = 0
        self.machines: dict[str, MachineBookings] = {}
        # Names of the machines of each key, and the key of each machine; those that changed since.
        self._names_by_key: dict[EquivalenceKey, dict[str, None]] = {}
        self._key_by_name: dict[str, EquivalenceKey] = {}
        self._changed_names: dict[str, None] = {}

    def groups(self) -> Iterator[MachineGroup]:
        """All machines, equivalent ones together.

        Only what was booked since the last call is looked at: with a look at every machine, plans for the
        thousand jobs of an earlier leader kept a new one of 4,000 machines from all else for seconds.
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
        """Move to a new current slot; what was booked before it is dropped."""
        if slot <= self.current_slot:
            return
        self.current_slot = slot
        for bookings in self.machines.values():
            bookings.drop_before(slot)
        self._changed_names.update(dict.fromkeys(self.machines))

    def add_machine(self, name: str, capacity: Resources, zone: str, machine_type: str, spot: bool) -> None:
        """Add a machine without bookings."""
        self.machines.setdefault(name, MachineBookings(capacity, zone, machine_type, spot))
        self._changed_names[name] = None

    def remove_machine(self, name: str) -> None:
        """Remove a machine, with its bookings."""
        self.machines.pop(name, None)
        self._changed_names[name] = None

    def book(self, name: str, need: Resources, first: int, last: int | None, factor: float) -> None:
        """Book (or, with negative ``factor``, release) slots ``first`` to ``last``; None: every slot."""
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
