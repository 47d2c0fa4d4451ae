"""The operators' options, a type for each section; `options_file` reads and checks them."""

from __future__ import annotations

from enum import Enum

import msgspec

# The weight of a part of 1.
_WEIGHT_SCALE = 1_000_000_000


class Design(msgspec.Struct, frozen=True):
    """How resources are priced and planned."""

    slot_leases: float = 6.0
    horizon_slots: int = 16
    work_units: int = 16
    weight_critical: float = 8.0
    weight_high: float = 4.0
    weight_standard: float = 2.0
    weight_best_effort: float = 1.0
    lowest_price: float = 0.5
    late_value: float = 0.5


class Leadership(msgspec.Struct, frozen=True):
    """How fast a lost leader or worker is noticed."""

    term_leases: float = 0.25
    renewals: float = 4.0
    silent_reports: float = 3.5


class Provisioning(msgspec.Struct, frozen=True):
    """How machines are launched and deleted."""

    headroom: float = 1.0
    keep_boots: float = 1.0
    give_up_boots: float = 4.0


class RelayMode(Enum):
    """The operators' choice of when heartbeats are relayed."""

    # From a share of the limit of connections on.
    AUTO = "auto"
    OFF = "off"
    FORCED = "forced"


class Relays(msgspec.Struct, frozen=True):
    """Whether other controllers relay workers' heartbeats to the leader."""

    mode: RelayMode = RelayMode.AUTO
    from_share: float = 0.6


class Fleet(msgspec.Struct, frozen=True):
    """The size that the fleet may grow to; 0 if that is not configured."""

    machines: int = 0


class CellController(msgspec.Struct, frozen=True):
    """A controller of another cell, and the address at which its `back` listener is reached from here."""

    member: str
    address: str


class Cell(msgspec.Struct, frozen=True):
    """Another cell: its part of every limit and guarantee, and its controllers."""

    name: str
    part: float
    controllers: tuple[CellController, ...] = ()


class Cells(msgspec.Struct, frozen=True):
    """The cell of this controller and the others, which share the teams' limits."""

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
        """Each cell's part as a whole number, in the order of the cells' names."""
        parts = {self.name: self.part, **{cell.name: cell.part for cell in self.others}}
        return {name: round(parts[name] * _WEIGHT_SCALE) for name in sorted(parts)}

    @property
    def layout(self) -> str:
        """A text that is equal in all cells that agree on the cells and their parts."""
        return " ".join(f"{name}={weight}" for name, weight in self.weights.items())

    def other(self, name: str) -> Cell | None:
        """Return the other cell of that name."""
        return next((cell for cell in self.others if cell.name == name), None)


class Options(msgspec.Struct, frozen=True):
    """All options of the operators."""

    design: Design = Design()
    leadership: Leadership = Leadership()
    provisioning: Provisioning = Provisioning()
    relays: Relays = Relays()
    fleet: Fleet = Fleet()
    # None: the fleet is one cell, and nothing of `quota` runs.
    cells: Cells | None = None
