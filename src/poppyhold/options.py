"""The operators' own settings, in protobuf text format (see options.proto)."""

from __future__ import annotations

from pathlib import Path

from google.protobuf import text_format

from poppyhold.options_pb2 import Options
from poppyhold.settings import ConfigError

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
}


def parse_options(text: str) -> Options:
    """Parse and check options; fields that are left out have their defaults."""
    options = Options()
    try:
        text_format.Parse(text, options)
    except text_format.ParseError as error:
        raise ConfigError(str(error)) from error
    for name, (low, high) in _BOUNDS.items():
        section, field = name.split(".")
        value = getattr(getattr(options, section), field)
        if not low <= value <= high:
            raise ConfigError(f"{name}: must be within {low} and {high}")
    return options


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
