"""The leader's state of one relay's connection."""

from __future__ import annotations

from collections.abc import Set

import msgspec

from poppyhold.relay.messages import UnchangedHeartbeat
from poppyhold.wire.worker_messages import Heartbeat


class ConnectedRelay:
    """A relay's connection and the full heartbeats sent on it; a new connection starts without any."""

    def __init__(self, member: str, zone: str) -> None:
        self.member, self.zone = member, zone
        self.alive = True
        # The last full heartbeat, by machine.
        self._full: dict[str, Heartbeat] = {}

    def cache_full(self, heartbeat: Heartbeat) -> None:
        """Store a full heartbeat, to which unchanged ones may refer from now on."""
        self._full[heartbeat.machine] = heartbeat

    def restore(self, unchanged: UnchangedHeartbeat) -> Heartbeat | None:
        """Return the heartbeat that an unchanged one represents; None if the full one is not cached."""
        full = self._full.get(unchanged.machine)
        if full is None or (full.incarnation, full.sequence) != (
            unchanged.incarnation,
            unchanged.full_sequence,
        ):
            return None
        return msgspec.structs.replace(full, sequence=unchanged.sequence)

    def retain_machines(self, machines: Set[str]) -> None:
        """Drop the heartbeats of all machines but ``machines``, the existing ones."""
        for machine in [machine for machine in self._full if machine not in machines]:
            del self._full[machine]
