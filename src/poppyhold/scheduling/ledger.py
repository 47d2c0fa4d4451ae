"""Booked room g[h][r](t): per machine h, resource r and future slot t."""

from __future__ import annotations

from collections.abc import Callable, Iterator

from poppyhold.model.resources import NO_RESOURCES, Resources, add_scaled

# In place of a slot: every slot without bookings of its own.
EVERY_SLOT = -1


# Below this an amount is what rounding leaves of a booking that was released.
_NOTHING_LEFT = 1e-9


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

    def __init__(self, capacity: Resources, zone: str, type_name: str, spot: bool) -> None:
        self.capacity, self.zone, self.machine_type, self.spot = capacity, zone, type_name, spot
        self.slots: dict[int, Resources] = {}
        self.every_slot = NO_RESOURCES
        # Free room and prices by slot, until the next booking there.
        self._free_and_prices: dict[int, tuple[Resources, Resources]] = {}
        self._equivalence_key: tuple[object, ...] | None = None

    def equivalence_key(self) -> tuple[object, ...]:
        """What decides prices and room: rows of one kind are alike to every plan."""
        if self._equivalence_key is None:
            slots = tuple(sorted(self.slots.items()))
            self._equivalence_key = (
                self.zone,
                self.machine_type,
                self.spot,
                self.capacity,
                self.every_slot,
                slots,
            )
        return self._equivalence_key

    def free_and_prices(
        self, slot: int, rates: Callable[[Resources, Resources], Resources]
    ) -> tuple[Resources, Resources]:
        """Free room and the prices of a unit of each resource, in a slot or in those with no other bookings.

        Every plan looks at every slot of every machine; between two bookings both stay the same.
        """
        found = self._free_and_prices.get(slot)
        if found is None:
            booked = self.booked(slot)
            found = self._free_and_prices[slot] = (
                add_scaled(self.capacity, booked, -1.0),
                rates(booked, self.capacity),
            )
        return found

    def book(self, slot: int, need: Resources, times: float) -> None:
        """Book in one slot, or in all."""
        self._equivalence_key = None
        if slot == EVERY_SLOT:
            self.every_slot = add_scaled(self.every_slot, need, times)
            self._free_and_prices.clear()
            return
        booked = add_scaled(self.slots.get(slot, NO_RESOURCES), need, times)
        if all(abs(amount) < _NOTHING_LEFT for amount in booked):
            self.slots.pop(slot, None)
        else:
            self.slots[slot] = booked
        self._free_and_prices.pop(slot, None)

    def drop_before(self, before: int) -> None:
        """Forget the slots before one."""
        self._equivalence_key = None
        for old in [slot for slot in self.slots if slot < before]:
            del self.slots[old]
            self._free_and_prices.pop(old, None)

    def booked(self, slot: int) -> Resources:
        """Booked room in a slot."""
        part = self.slots.get(slot)
        return self.every_slot if part is None else add_scaled(self.every_slot, part)


# Machines of one kind: a row that tells for all of them, and their names.
MachineGroup = tuple[MachineBookings, list[str]]


class Ledger:
    """The rows of all machines that can be planned on."""

    def __init__(self, horizon: int) -> None:
        self.horizon_slots = horizon
        self.current_slot = 0
        self.machines: dict[str, MachineBookings] = {}
        # Names of the machines of each kind, and the kind of each machine; those that changed since.
        self._names_by_key: dict[tuple[object, ...], dict[str, None]] = {}
        self._key_by_name: dict[str, tuple[object, ...]] = {}
        self._changed_names: dict[str, None] = {}

    def groups(self) -> Iterator[MachineGroup]:
        """All machines, those alike together.

        Only what was booked since the last call is looked at: with a look at every machine, plans for the
        thousand jobs of an earlier leader kept a new one of 4,000 machines from all else for seconds.
        """
        for name in self._changed_names:
            self._regroup(name)
        self._changed_names.clear()
        for names in self._names_by_key.values():
            yield self.machines[next(iter(names))], list(names)

    def _regroup(self, name: str) -> None:
        row = self.machines.get(name)
        kind = row.equivalence_key() if row is not None else None
        before = self._key_by_name.get(name)
        if kind == before:
            return
        if before is not None:
            alike = self._names_by_key[before]
            del alike[name], self._key_by_name[name]
            if not alike:
                del self._names_by_key[before]
        if kind is not None:
            self._names_by_key.setdefault(kind, {})[name] = None
            self._key_by_name[name] = kind

    def advance_to(self, slot: int) -> None:
        """Move to a new current slot; what was booked before it is dropped."""
        if slot <= self.current_slot:
            return
        self.current_slot = slot
        for row in self.machines.values():
            row.drop_before(slot)
        self._changed_names.update(dict.fromkeys(self.machines))

    def add_machine(self, name: str, capacity: Resources, zone: str, type_name: str, spot: bool) -> None:
        """Machines come with all their room free."""
        self.machines.setdefault(name, MachineBookings(capacity, zone, type_name, spot))
        self._changed_names[name] = None

    def remove_machine(self, name: str) -> None:
        """A machine goes, with its bookings."""
        self.machines.pop(name, None)
        self._changed_names[name] = None

    def book(self, name: str, need: Resources, first: int, last: int | None, times: float) -> None:
        """Book (or, with negative ``times``, release) slots ``first`` to ``last``; None: every slot."""
        row = self.machines.get(name)
        if row is None:
            return
        self._changed_names[name] = None
        if last is None:
            row.book(EVERY_SLOT, need, times)
            return
        for slot in range(
            max(first, self.current_slot), min(last, self.current_slot + self.horizon_slots - 1) + 1
        ):
            row.book(slot, need, times)
