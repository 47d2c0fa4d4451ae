"""Reads and checks the operators' options file, in protobuf text format (see options.proto)."""

from __future__ import annotations

import re
from pathlib import Path
from typing import TYPE_CHECKING

import msgspec

from poppyhold.configuration_checks import ConfigError, check_unique, split_address
from poppyhold.options import Cell, CellController, Cells, Options

if TYPE_CHECKING:
    from poppyhold.options_pb2 import Cells as CellsMessage

_CELL_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
# Allowed difference of the sum of the cells' parts from 1: decimals cannot express thirds exactly.
_PARTS_TOLERANCE = 1e-6

# Lowest and highest valid value of each numeric field except the parts of cells, which `check_cells` checks.
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
    """Parse and check options; omitted fields have their defaults.

    Raises:
        ConfigError: names the field, or gives protobuf's message for a syntax error.

    """
    if all(not line.strip() or line.lstrip().startswith("#") for line in text.splitlines()):
        # No option is set, so protobuf is not imported: that takes a large part of a controller's start,
        # during which it answers no requests of workers and users.
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
        section_message = getattr(message, section)
        if not section_message.HasField(field):
            continue
        value = getattr(section_message, field)
        if not low <= value <= high:
            raise ConfigError(f"{name}: must be within {low} and {high}")
        values.setdefault(section, {})[field] = value
    if message.relays.HasField("mode"):
        mode = RelaysMessage.Mode.Name(message.relays.mode)
        values.setdefault("relays", {})["mode"] = mode.lower()
    cells = values.pop("cells", {})
    options = msgspec.convert(values, Options)
    if message.HasField("cells"):
        options = msgspec.structs.replace(options, cells=_build_cells(message.cells, cells))
    return options


def _build_cells(section: CellsMessage, checked_values: dict[str, float | str]) -> Cells:
    """Build and check the section `cells`; ``checked_values`` are its fields listed in `_BOUNDS`."""
    others = tuple(
        Cell(
            other.name,
            other.part,
            tuple(CellController(each.member, each.address) for each in other.controllers),
        )
        for other in section.others
    )
    return check_cells(
        msgspec.convert(
            {"name": section.name, "part": section.part, "others": others, **checked_values}, Cells
        )
    )


def load_options(path: str | Path | None) -> Options:
    """Read and check an options file; without a path, every option has its default.

    Raises:
        ConfigError: names the file, and the field if one is invalid.

    """
    if path is None:
        return Options()
    try:
        return parse_options(Path(path).read_text(encoding="utf-8"))
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror}") from error
    except (ConfigError, UnicodeDecodeError) as error:
        raise ConfigError(f"{path}: {error}") from error


def check_cells(cells: Cells) -> Cells:
    """Check names, parts and controllers of the section `cells`; `_BOUNDS` covers its other fields.

    Raises:
        ConfigError: names the field.

    """
    names = [cells.name, *(cell.name for cell in cells.others)]
    for field, name in zip(["cells.name", *["cells.others.name"] * len(cells.others)], names, strict=True):
        if not _CELL_NAME.fullmatch(name):
            raise ConfigError(f"{field}: {name!r} is no name of a cell (letters, digits, '.', '_', '-')")
    check_unique("cells.others.name", names)
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
    check_unique(f"{field}.member", [controller.member for controller in cell.controllers])
    for controller in cell.controllers:
        if not controller.member:
            raise ConfigError(f"{field}.member: must not be empty")
        split_address(controller.address, f"{field}.{controller.member}.address")
