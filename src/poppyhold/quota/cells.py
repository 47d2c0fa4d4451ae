"""The cells among which the teams' limits are divided: the operators' options, checked."""

from __future__ import annotations

import re
from collections import Counter
from collections.abc import Iterable

import msgspec

from poppyhold.settings import ConfigError, split_address

_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
# Parts are written as decimals, and thirds cannot be exact.
_PARTS_TOLERANCE = 1e-6
# The weight of a part of 1.
_WEIGHT = 1_000_000_000


class CellController(msgspec.Struct, frozen=True):
    """A controller of another cell, and where its `back` listener is reached from here."""

    member: str
    address: str


class Cell(msgspec.Struct, frozen=True):
    """Another cell: its part of every limit and guarantee, and its controllers."""

    name: str
    part: float
    controllers: tuple[CellController, ...] = ()


class Cells(msgspec.Struct, frozen=True):
    """This cell and the others."""

    name: str
    part: float
    others: tuple[Cell, ...]
    # The longest time for which a cell retains what it used recently, as a multiple of workers.lease_s.
    keep_leases: float = 1.0
    # The part of the state service's changes that transfers may take.
    moves_share: float = 0.2
    # The part of its first allocations that a cell never transfers.
    reserve: float = 0.0

    @property
    def weights(self) -> dict[str, int]:
        """Each cell's part as a whole number, in an order that is the same in all cells."""
        parts = {self.name: self.part, **{cell.name: cell.part for cell in self.others}}
        return {name: round(parts[name] * _WEIGHT) for name in sorted(parts)}

    @property
    def layout(self) -> str:
        """A text that is equal in all cells that agree on the cells and their parts."""
        return " ".join(f"{name}={weight}" for name, weight in self.weights.items())

    def other(self, name: str) -> Cell | None:
        """The other cell of that name."""
        return next((cell for cell in self.others if cell.name == name), None)


def check_cells(cells: Cells) -> Cells:
    """Check the section as a whole.

    Raises:
        ConfigError: names the field.
    """
    names = [cells.name, *(cell.name for cell in cells.others)]
    for field, name in zip(["cells.name", *["cells.others.name"] * len(cells.others)], names, strict=True):
        if not _NAME.fullmatch(name):
            raise ConfigError(f"{field}: {name!r} is no name of a cell (letters, digits, '.', '_', '-')")
    _check_unique("cells.others.name", names)
    if not cells.others:
        raise ConfigError("cells.others: must name another cell")
    parts = {cells.name: cells.part, **{cell.name: cell.part for cell in cells.others}}
    for name, part in parts.items():
        if not 0 <= part <= 1:
            raise ConfigError(f"cells.part: {part:g} of {name} must be within 0 and 1")
    total = sum(parts.values())
    if abs(total - 1) > _PARTS_TOLERANCE:
        raise ConfigError(f"cells.part: the parts add up to {total:g}, not to 1")
    for cell in cells.others:
        _check_controllers(cell)
    return cells


def _check_controllers(cell: Cell) -> None:
    field = f"cells.others.{cell.name}.controllers"
    if not cell.controllers:
        raise ConfigError(f"{field}: must name a controller")
    _check_unique(f"{field}.member", [controller.member for controller in cell.controllers])
    for controller in cell.controllers:
        if not controller.member:
            raise ConfigError(f"{field}.member: must not be empty")
        split_address(controller.address, f"{field}.{controller.member}.address")


def _check_unique(field: str, names: Iterable[str]) -> None:
    twice = next((name for name, times in Counter(names).items() if times > 1), None)
    if twice is not None:
        raise ConfigError(f"{field}: {twice!r} is there twice")
