"""The operators' own settings, in protobuf text format (see options.proto)."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING

import msgspec

from poppyhold.quota.cells import Cell, CellController, Cells, check_cells
from poppyhold.relay.relay_mode import RelayMode
from poppyhold.settings import ConfigError

if TYPE_CHECKING:
    from poppyhold.options_pb2 import Cells as CellsMessage


class Design(msgspec.Struct, frozen=True):
    """How room is priced and planned."""

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
    """How machines are rented and returned."""

    headroom: float = 1.0
    keep_boots: float = 1.0
    give_up_boots: float = 4.0


class Relays(msgspec.Struct, frozen=True):
    """Whether other controllers take workers' reports for the leader."""

    mode: RelayMode = RelayMode.AUTO
    from_share: float = 0.6


class Fleet(msgspec.Struct, frozen=True):
    """The size that the fleet may grow to; 0: not said."""

    machines: int = 0


class Options(msgspec.Struct, frozen=True):
    """All of them."""

    design: Design = Design()
    leadership: Leadership = Leadership()
    provisioning: Provisioning = Provisioning()
    relays: Relays = Relays()
    fleet: Fleet = Fleet()
    # None: the fleet is one cell, and nothing of `quota` runs.
    cells: Cells | None = None


# Field, lowest and highest value that make sense.
_BOUNDS = {
    "design.slot_leases": (0.5, 1000.0),
    "design.horizon_slots": (1, 512),
    "design.work_units": (1, 256),
    "design.weight_critical": (1e-6, 1e6),
    "design.weight_high": (1e-6, 1e6),
    "design.weight_standard": (1e-6, 1e6),
    "design.weight_best_effort": (1e-6, 1e6),
    "design.lowest_price": (1e-6, 1.0),
    "design.late_value": (0.0, 1.0),
    "leadership.term_leases": (0.02, 2.0),
    "leadership.renewals": (2.0, 20.0),
    "leadership.silent_reports": (1.5, 100.0),
    "provisioning.headroom": (0.0, 10.0),
    "provisioning.keep_boots": (0.0, 100.0),
    "provisioning.give_up_boots": (1.5, 100.0),
    "relays.from_share": (0.01, 1000.0),
    "fleet.machines": (0, 100_000),
    "cells.keep_leases": (0.1, 1000.0),
    "cells.moves_share": (0.001, 0.5),
    "cells.reserve": (0.0, 1.0),
}


def parse_options(text: str) -> Options:
    """Parse and check options; fields that are left out have their defaults."""
    if all(not line.strip() or line.lstrip().startswith("#") for line in text.splitlines()):
        # Nothing is set. A controller that restarts is waited for, and loading protobuf takes a good
        # part of its start.
        return Options()
    from google.protobuf import text_format

    from poppyhold.options_pb2 import Options as Message
    from poppyhold.options_pb2 import Relays as RelaysMessage

    message = Message()
    try:
        text_format.Parse(text, message)
    except text_format.ParseError as error:
        raise ConfigError(str(error)) from error
    values: dict[str, dict[str, float | str]] = {}
    for name, (low, high) in _BOUNDS.items():
        section, field = name.split(".")
        part = getattr(message, section)
        if not part.HasField(field):
            continue
        value = getattr(part, field)
        if not low <= value <= high:
            raise ConfigError(f"{name}: must be within {low} and {high}")
        values.setdefault(section, {})[field] = value
    if message.relays.HasField("mode"):
        mode = RelaysMessage.Mode.Name(message.relays.mode)
        values.setdefault("relays", {})["mode"] = mode.lower()
    cells = values.pop("cells", {})
    options = msgspec.convert(values, Options)
    if message.HasField("cells"):
        options = msgspec.structs.replace(options, cells=_cells(message.cells, cells))
    return options


def _cells(section: CellsMessage, bounded: dict[str, float | str]) -> Cells:
    """The section of cells; ``bounded`` are the figures that were checked before."""
    others = tuple(
        Cell(
            other.name,
            other.part,
            tuple(CellController(each.member, each.address) for each in other.controllers),
        )
        for other in section.others
    )
    return check_cells(
        msgspec.convert({"name": section.name, "part": section.part, "others": others, **bounded}, Cells)
    )


def load_options(path: str | Path | None) -> Options:
    """Read an options file; without one, every default."""
    if path is None:
        return Options()
    try:
        return parse_options(Path(path).read_text(encoding="utf-8"))
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror}") from error
    except (ConfigError, UnicodeDecodeError) as error:
        raise ConfigError(f"{path}: {error}") from error
