"""Messages between relays and the leader, on a separate connection between controllers.

Fields are encoded by position: their order and the tags must not change.
"""

from __future__ import annotations

from enum import IntEnum

import msgspec

from poppyhold.wire.worker_messages import Command, Heartbeat


class RelayHello(msgspec.Struct, frozen=True, array_like=True, tag="relay"):
    """First message on a connection, which identifies the relay. Versions without relays close it then."""

    member: str
    zone: str


class FullHeartbeat(msgspec.Struct, frozen=True, array_like=True):
    """A heartbeat that differs from its machine's last full one on this connection."""

    # Serial number from the relay; the response repeats it.
    number: int
    # How long the heartbeat has waited at the relay, in milliseconds.
    waited_ms: int
    heartbeat: Heartbeat


class UnchangedHeartbeat(msgspec.Struct, frozen=True, array_like=True):
    """A heartbeat that differs only in its sequence number from one that was sent in full."""

    number: int
    waited_ms: int
    machine: str
    incarnation: int
    sequence: int
    # Sequence number of that full heartbeat, which has the same incarnation.
    full_sequence: int


class HeartbeatBatch(msgspec.Struct, frozen=True, array_like=True, tag="reports"):
    """Heartbeats that arrived since the last batch; an empty batch is a keepalive."""

    heartbeats: list[FullHeartbeat] = []
    unchanged: list[UnchangedHeartbeat] = []
    # Shortest recent round trip of a batch, in milliseconds; 0: none is known yet.
    round_trip_ms: int = 0


class RelayOutcome(IntEnum):
    """The leader's decision on a relayed heartbeat."""

    ANSWERED = 0
    # The leader may not answer, or the heartbeat has waited too long.
    REJECTED = 1
    # The leader has not cached the full heartbeat to which an unchanged one refers.
    FULL_HEARTBEAT_REQUIRED = 2
    # The worker is redirected to another controller.
    REDIRECTED = 3


class RelayedResponse(msgspec.Struct, frozen=True, array_like=True):
    """The leader's response to one heartbeat."""

    number: int
    outcome: RelayOutcome
    fencing_token: int = 0
    commands: list[Command] = []
    # The target of a redirect.
    controller: str = ""


class ResponseBatch(msgspec.Struct, frozen=True, array_like=True, tag="answers"):
    """The leader's responses to one batch, in any order."""

    responses: list[RelayedResponse] = []
    # The relay's maximum number of workers, and underloaded relays to which to redirect those in excess; 0
    # from versions without these fields.
    max_workers: int = 0
    underloaded_relays: list[str] = []
