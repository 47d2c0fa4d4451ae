"""Booked room g[h][r](t): per machine h, resource r and future slot t."""

from __future__ import annotations

from poppyhold.fleet import NOTHING, Room, plus


class Row:
    """One machine's bookings: by slot, and those that hold in every slot (services)."""

    __slots__ = ("capacity", "slots", "spot", "standing", "type_name", "zone")

    def __init__(self, capacity: Room, zone: str, type_name: str, spot: bool) -> None:
        self.capacity, self.zone, self.type_name, self.spot = capacity, zone, type_name, spot
        self.slots: dict[int, Room] = {}
        self.standing = NOTHING

    def booked(self, slot: int) -> Room:
        """Booked room in a slot."""
        part = self.slots.get(slot)
        return self.standing if part is None else plus(self.standing, part)

    def free(self, slot: int) -> Room:
        """Room in a slot that is not booked."""
        return plus(self.capacity, self.booked(slot), -1.0)


class Ledger:
    """The rows of all machines that can be planned on."""

    def __init__(self, horizon: int) -> None:
        self.horizon = horizon
        self.first = 0
        self.rows: dict[str, Row] = {}

    def roll(self, slot: int) -> None:
        """Move to a new current slot; what was booked before it is dropped."""
        if slot <= self.first:
            return
        self.first = slot
        for row in self.rows.values():
            for old in [s for s in row.slots if s < slot]:
                del row.slots[old]

    def add_machine(self, name: str, capacity: Room, zone: str, type_name: str, spot: bool) -> None:
        """Machines come with all their room free."""
        self.rows.setdefault(name, Row(capacity, zone, type_name, spot))

    def drop_machine(self, name: str) -> None:
        """A machine goes, with its bookings."""
        self.rows.pop(name, None)

    def book(self, name: str, need: Room, first: int, last: int | None, times: float) -> None:
        """Book (or, with negative ``times``, release) slots ``first`` to ``last``; None: every slot."""
        row = self.rows.get(name)
        if row is None:
            return
        if last is None:
            row.standing = plus(row.standing, need, times)
            return
        for slot in range(max(first, self.first), min(last, self.first + self.horizon - 1) + 1):
            booked = plus(row.slots.get(slot, NOTHING), need, times)
            if all(abs(amount) < 1e-9 for amount in booked):
                row.slots.pop(slot, None)
            else:
                row.slots[slot] = booked
