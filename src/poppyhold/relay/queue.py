"""A relay's queue of heartbeats that wait for the leader's response: bounded in number and time.

Not thread-safe; `link` holds a lock while it uses the queue.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable
from typing import NamedTuple

import msgspec

from poppyhold.relay.messages import (
    FullHeartbeat,
    HeartbeatBatch,
    RelayedResponse,
    RelayOutcome,
    ResponseBatch,
    UnchangedHeartbeat,
)
from poppyhold.wire.frames import MAX_MESSAGE_ENTRIES_BYTES
from poppyhold.wire.message_limits import json_bytes
from poppyhold.wire.worker_messages import Heartbeat

# Called once for each heartbeat: with the leader's response, or None if none that counts arrived in time.
OnResponse = Callable[[RelayedResponse | None], None]


class PendingHeartbeat(msgspec.Struct, frozen=True, eq=False):
    """A heartbeat that waits for the leader's response."""

    number: int
    heartbeat: Heartbeat
    # On the relay's clock.
    arrived_at: float
    on_response: OnResponse


class Delivery(NamedTuple):
    """The response to deliver for a pending heartbeat; None: there is none."""

    pending: PendingHeartbeat
    response: RelayedResponse | None

    def deliver(self) -> None:
        """Call the heartbeat's callback with the response."""
        self.pending.on_response(self.response)


class HeartbeatQueue:
    """A relay's heartbeats, from arrival to response."""

    def __init__(self, max_pending: int, response_timeout_s: float) -> None:
        """At most ``max_pending`` heartbeats wait, each for at most ``response_timeout_s``."""
        self._max_pending, self._response_timeout_s = max_pending, response_timeout_s
        self._last_number = 0
        # By number, in order of arrival.
        self._pending: dict[int, PendingHeartbeat] = {}
        self._unsent: deque[int] = deque()
        # The last heartbeat sent in full on this connection, by machine.
        self._full: dict[str, Heartbeat] = {}

    def __len__(self) -> int:
        return len(self._pending)

    @property
    def unsent_count(self) -> int:
        """Number of heartbeats that are to be sent in the next batches."""
        return len(self._unsent)

    def put(self, heartbeat: Heartbeat, now: float, on_response: OnResponse) -> bool:
        """Add a heartbeat; False if the queue is full."""
        if len(self._pending) >= self._max_pending:
            return False
        self._last_number += 1
        number = self._last_number
        self._pending[number] = PendingHeartbeat(number, heartbeat, now, on_response)
        self._unsent.append(number)
        return True

    def next_batch(self, now: float, max_heartbeats: int, round_trip_s: float = 0.0) -> HeartbeatBatch:
        """Take a batch of at most ``max_heartbeats`` unsent heartbeats, as many as fit into a message.

        It carries the shortest recent round trip of batches; 0 if none is known.
        """
        batch = HeartbeatBatch([], [], math.ceil(round_trip_s * 1000))
        remaining_bytes = MAX_MESSAGE_ENTRIES_BYTES
        while self._unsent and len(batch.heartbeats) + len(batch.unchanged) < max_heartbeats:
            pending = self._pending.get(self._unsent[0])
            unchanged = self._unchanged(pending, now) if pending is not None else None
            if unchanged is not None:
                batch.unchanged.append(unchanged)
            elif pending is not None:
                remaining_bytes -= json_bytes(pending.heartbeat)
                if remaining_bytes < 0 and batch.heartbeats:
                    break
                self._add_full(batch, pending, now)
            self._unsent.popleft()
        return batch

    def _unchanged(self, pending: PendingHeartbeat, now: float) -> UnchangedHeartbeat | None:
        """Return the short form of a heartbeat; None if it has to be sent in full."""
        heartbeat = pending.heartbeat
        full = self._full.get(heartbeat.machine)
        if full is None or msgspec.structs.replace(heartbeat, sequence=full.sequence) != full:
            return None
        return UnchangedHeartbeat(
            pending.number,
            _waited_ms(pending, now),
            heartbeat.machine,
            heartbeat.incarnation,
            heartbeat.sequence,
            full.sequence,
        )

    def _add_full(self, batch: HeartbeatBatch, pending: PendingHeartbeat, now: float) -> None:
        heartbeat = pending.heartbeat
        if len(self._full) >= self._max_pending:
            self._full.pop(next(iter(self._full)))
        self._full[heartbeat.machine] = heartbeat
        batch.heartbeats.append(FullHeartbeat(pending.number, _waited_ms(pending, now), heartbeat))

    def connection_lost(self) -> None:
        """Mark all pending heartbeats to be sent again, in full, on the next connection.

        The leader answers those that it has answered before as duplicates, whose tasks it does not apply.
        """
        self._full.clear()
        self._unsent = deque(self._pending)

    def match_responses(self, batch: ResponseBatch, now: float, min_fencing_token: int) -> list[Delivery]:
        """Match responses with pending heartbeats.

        A late response counts as none: its worker has timed out, and its lease runs from its previous
        heartbeat. So does an answer with a fencing token below ``min_fencing_token``, the highest that this
        controller has seen: a former leader must not renew leases through this relay.
        """
        deliveries = []
        for response in batch.responses:
            pending = self._pending.get(response.number)
            if pending is None:
                continue
            if response.outcome is RelayOutcome.FULL_HEARTBEAT_REQUIRED:
                self._full.pop(pending.heartbeat.machine, None)
                self._unsent.append(pending.number)
                continue
            del self._pending[response.number]
            is_late = now - pending.arrived_at > self._response_timeout_s
            is_from_former_leader = (
                response.outcome is RelayOutcome.ANSWERED and response.fencing_token < min_fencing_token
            )
            deliveries.append(Delivery(pending, None if is_late or is_from_former_leader else response))
        return deliveries

    def expire(self, now: float) -> list[Delivery]:
        """Remove the heartbeats whose response timeout has passed; they get no response."""
        expired = []
        for pending in self._pending.values():
            if now - pending.arrived_at <= self._response_timeout_s:
                break
            expired.append(pending)
        for pending in expired:
            del self._pending[pending.number]
        return [Delivery(pending, None) for pending in expired]

    def fail_all(self) -> list[Delivery]:
        """Remove all heartbeats; they get no response, as there is no leader or the link stops."""
        deliveries = [Delivery(pending, None) for pending in self._pending.values()]
        self._pending.clear()
        self._unsent.clear()
        self._full.clear()
        return deliveries


def _waited_ms(pending: PendingHeartbeat, now: float) -> int:
    return int((now - pending.arrived_at) * 1000)
