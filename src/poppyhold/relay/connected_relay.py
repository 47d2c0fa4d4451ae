"""What the leader keeps of one relay's connection."""

from __future__ import annotations

from collections.abc import Set

import msgspec

from poppyhold.relay.messages import UnchangedHeartbeat
from poppyhold.wire.worker_messages import Heartbeat


class ConnectedRelay:
    """One relay's connection, with the full heartbeats sent on it; a new connection starts without any."""

    def __init__(self, member: str, zone: str) -> None:
        self.member, self.zone = member, zone
        self.alive = True
        # The last full heartbeat, by machine.
        self._full: dict[str, Heartbeat] = {}

    def cache_full(self, heartbeat: Heartbeat) -> None:
        """Keep a full heartbeat: unchanged ones may refer to it from now on."""
        self._full[heartbeat.machine] = heartbeat

    def restore(self, unchanged: UnchangedHeartbeat) -> Heartbeat | None:
        """The heartbeat that an unchanged one stands for; None if the full one is not known here."""
        full = self._full.get(unchanged.machine)
        if full is None or (full.incarnation, full.sequence) != (
            unchanged.incarnation,
            unchanged.full_sequence,
        ):
            return None
        return msgspec.structs.replace(full, sequence=unchanged.sequence)

    def retain_machines(self, machines: Set[str]) -> None:
        """Drop the heartbeats of machines that no longer exist; ``machines`` are those that do."""
        for machine in [machine for machine in self._full if machine not in machines]:
            del self._full[machine]
