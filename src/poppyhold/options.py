"""The operators' options, one type per section; `options_file` reads and checks them."""

from __future__ import annotations

from enum import Enum

import msgspec

# The integer weight that corresponds to a part of 1.
_WEIGHT_SCALE = 1_000_000_000


class Design(msgspec.Struct, frozen=True):
    """Pricing and planning of resources."""

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
    """How fast the loss of a leader or a worker is detected."""

    term_leases: float = 0.25
    renewals: float = 4.0
    silent_reports: float = 3.5


class Provisioning(msgspec.Struct, frozen=True):
    """Launching and deletion of machines."""

    headroom: float = 1.0
    keep_boots: float = 1.0
    give_up_boots: float = 4.0


class RelayMode(Enum):
    """When heartbeats are relayed."""

    # Once the fleet exceeds `from_share` of the connection limit.
    AUTO = "auto"
    OFF = "off"
    FORCED = "forced"


class Relays(msgspec.Struct, frozen=True):
    """Whether other controllers relay workers' heartbeats to the leader."""

    mode: RelayMode = RelayMode.AUTO
    from_share: float = 0.6


class Fleet(msgspec.Struct, frozen=True):
    """The number of machines that the fleet may grow to; 0 if not configured."""

    machines: int = 0


class CellController(msgspec.Struct, frozen=True):
    """A controller of another cell, and the address of its `back` listener as reached from this cell."""

    member: str
    address: str


class Cell(msgspec.Struct, frozen=True):
    """Another cell: its part of each limit and guarantee, and its controllers."""

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
    # The part of `state.write_rps` that transfers may use.
    moves_share: float = 0.2
    # The part of its initial allocations that a cell never transfers.
    reserve: float = 0.0

    @property
    def weights(self) -> dict[str, int]:
        """Each cell's part as an integer weight, sorted by the cells' names."""
        parts = {self.name: self.part, **{cell.name: cell.part for cell in self.others}}
        return {name: round(parts[name] * _WEIGHT_SCALE) for name in sorted(parts)}

    @property
    def layout(self) -> str:
        """A text that is the same in all cells configured with the same cells and parts."""
        return " ".join(f"{name}={weight}" for name, weight in self.weights.items())

    def other(self, name: str) -> Cell | None:
        """Return the other cell of that name."""
        return next((cell for cell in self.others if cell.name == name), None)


class Options(msgspec.Struct, frozen=True):
    """All options that operators set."""

    design: Design = Design()
    leadership: Leadership = Leadership()
    provisioning: Provisioning = Provisioning()
    relays: Relays = Relays()
    fleet: Fleet = Fleet()
    # None: the fleet is a single cell, and no component of `quota` runs.
    cells: Cells | None = None
