"""Checks shared by the settings file and the options file."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterable

_MAX_PORT = 65535


class ConfigError(Exception):
    """A settings or options file is invalid; the message names the field."""


def split_address(text: str, field: str = "address") -> tuple[str, int]:
    """Split ``host:port``.

    Raises:
        ConfigError: names the field.

    """
    host, _, port = text.rpartition(":")
    if not host or not port.isascii() or not port.isdigit() or not 0 < int(port) <= _MAX_PORT:
        raise ConfigError(f"{field}: {text!r} is not host:port")
    return host, int(port)


def check_unique(field: str, names: Iterable[str]) -> None:
    """Check that no name occurs twice.

    Raises:
        ConfigError: names the field and the name.

    """
    duplicate = next((name for name, count in Counter(names).items() if count > 1), None)
    if duplicate is not None:
        raise ConfigError(f"{field}: {duplicate!r} is there twice")


def check_positive(field: str, value: float) -> None:
    """Check that a value is above 0 and finite.

    Raises:
        ConfigError: names the field.

    """
    if not 0 < value < math.inf:
        raise ConfigError(f"{field}: must be above 0")


def check_not_negative(field: str, value: float) -> None:
    """Check that a value is finite and not below 0.

    Raises:
        ConfigError: names the field.

    """
    if not 0 <= value < math.inf:
        raise ConfigError(f"{field}: must not be below 0")
