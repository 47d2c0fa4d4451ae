"""The operators' choice of when heartbeats are relayed."""

from __future__ import annotations

from enum import Enum


class RelayMode(Enum):
    """When heartbeats are relayed."""

    # From a share of the limit of connections on.
    AUTO = "auto"
    OFF = "off"
    FORCED = "forced"
