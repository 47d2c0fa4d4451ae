"""Booked room g[h][r](t): per machine h, resource r and future slot t."""

from __future__ import annotations

from collections.abc import Callable, Iterator

from poppyhold.model.resources import NO_RESOURCES, Resources, add_scaled

# In place of a slot: every slot without bookings of its own.
STANDING = -1


# Below this an amount is what rounding leaves of a booking that was released.
_NOTHING_LEFT = 1e-9


class Row:
    """One machine's bookings: by slot, and those that hold in every slot (services)."""

    __slots__ = ("_kind", "_views", "capacity", "slots", "spot", "standing", "type_name", "zone")

    def __init__(self, capacity: Resources, zone: str, type_name: str, spot: bool) -> None:
        self.capacity, self.zone, self.type_name, self.spot = capacity, zone, type_name, spot
        self.slots: dict[int, Resources] = {}
        self.standing = NO_RESOURCES
        # Free room and prices by slot, until the next booking there.
        self._views: dict[int, tuple[Resources, Resources]] = {}
        self._kind: tuple[object, ...] | None = None

    def kind(self) -> tuple[object, ...]:
        """What decides prices and room: rows of one kind are alike to every plan."""
        if self._kind is None:
            slots = tuple(sorted(self.slots.items()))
            self._kind = (self.zone, self.type_name, self.spot, self.capacity, self.standing, slots)
        return self._kind

    def view(
        self, slot: int, rates: Callable[[Resources, Resources], Resources]
    ) -> tuple[Resources, Resources]:
        """Free room and the prices of a unit of each resource, in a slot or in those with no other bookings.

        Every plan looks at every slot of every machine; between two bookings both stay the same.
        """
        found = self._views.get(slot)
        if found is None:
            booked = self.booked(slot)
            found = self._views[slot] = add_scaled(self.capacity, booked, -1.0), rates(booked, self.capacity)
        return found

    def book(self, slot: int, need: Resources, times: float) -> None:
        """Book in one slot, or in all."""
        self._kind = None
        if slot == STANDING:
            self.standing = add_scaled(self.standing, need, times)
            self._views.clear()
            return
        booked = add_scaled(self.slots.get(slot, NO_RESOURCES), need, times)
        if all(abs(amount) < _NOTHING_LEFT for amount in booked):
            self.slots.pop(slot, None)
        else:
            self.slots[slot] = booked
        self._views.pop(slot, None)

    def drop(self, before: int) -> None:
        """Forget the slots before one."""
        self._kind = None
        for old in [slot for slot in self.slots if slot < before]:
            del self.slots[old]
            self._views.pop(old, None)

    def booked(self, slot: int) -> Resources:
        """Booked room in a slot."""
        part = self.slots.get(slot)
        return self.standing if part is None else add_scaled(self.standing, part)


# Machines of one kind: a row that tells for all of them, and their names.
Group = tuple[Row, list[str]]


class Ledger:
    """The rows of all machines that can be planned on."""

    def __init__(self, horizon: int) -> None:
        self.horizon = horizon
        self.first = 0
        self.rows: dict[str, Row] = {}
        # Names of the machines of each kind, and the kind of each machine; those that changed since.
        self._alike: dict[tuple[object, ...], dict[str, None]] = {}
        self._kinds: dict[str, tuple[object, ...]] = {}
        self._changed: dict[str, None] = {}

    def groups(self) -> Iterator[Group]:
        """All machines, those alike together.

        Only what was booked since the last call is looked at: with a look at every machine, plans for the
        thousand jobs of an earlier leader kept a new one of 4,000 machines from all else for seconds.
        """
        for name in self._changed:
            self._regroup(name)
        self._changed.clear()
        for names in self._alike.values():
            yield self.rows[next(iter(names))], list(names)

    def _regroup(self, name: str) -> None:
        row = self.rows.get(name)
        kind = row.kind() if row is not None else None
        before = self._kinds.get(name)
        if kind == before:
            return
        if before is not None:
            alike = self._alike[before]
            del alike[name], self._kinds[name]
            if not alike:
                del self._alike[before]
        if kind is not None:
            self._alike.setdefault(kind, {})[name] = None
            self._kinds[name] = kind

    def roll(self, slot: int) -> None:
        """Move to a new current slot; what was booked before it is dropped."""
        if slot <= self.first:
            return
        self.first = slot
        for row in self.rows.values():
            row.drop(slot)
        self._changed.update(dict.fromkeys(self.rows))

    def add_machine(self, name: str, capacity: Resources, zone: str, type_name: str, spot: bool) -> None:
        """Machines come with all their room free."""
        self.rows.setdefault(name, Row(capacity, zone, type_name, spot))
        self._changed[name] = None

    def drop_machine(self, name: str) -> None:
        """A machine goes, with its bookings."""
        self.rows.pop(name, None)
        self._changed[name] = None

    def book(self, name: str, need: Resources, first: int, last: int | None, times: float) -> None:
        """Book (or, with negative ``times``, release) slots ``first`` to ``last``; None: every slot."""
        row = self.rows.get(name)
        if row is None:
            return
        self._changed[name] = None
        if last is None:
            row.book(STANDING, need, times)
            return
        for slot in range(max(first, self.first), min(last, self.first + self.horizon - 1) + 1):
            row.book(slot, need, times)
