"""The messages between relays and the leader, over a connection of their own between controllers.

The fields go by position: their order and the tags must stay.
"""

from __future__ import annotations

from enum import IntEnum

import msgspec

from poppyhold.wire.worker_messages import Command, Heartbeat


class RelayHello(msgspec.Struct, frozen=True, array_like=True, tag="relay"):
    """The first message on the connection: who relays. Older versions close a connection that begins so."""

    member: str
    zone: str


class FullHeartbeat(msgspec.Struct, frozen=True, array_like=True):
    """A heartbeat that differs from the last full one of its machine on this connection."""

    # Counts up on the relay; the response carries it.
    number: int
    # How long the heartbeat has waited at the relay, in milliseconds.
    waited_ms: int
    heartbeat: Heartbeat


class UnchangedHeartbeat(msgspec.Struct, frozen=True, array_like=True):
    """A heartbeat that differs in nothing but its sequence number from one that was sent in full."""

    number: int
    waited_ms: int
    machine: str
    incarnation: int
    sequence: int
    # The sequence number of that full heartbeat, of the same incarnation.
    full_sequence: int


class HeartbeatBatch(msgspec.Struct, frozen=True, array_like=True, tag="reports"):
    """Heartbeats that arrived since the last batch. An empty one checks whether the leader is there."""

    heartbeats: list[FullHeartbeat] = []
    unchanged: list[UnchangedHeartbeat] = []
    # The shortest recent round trip of a batch, in milliseconds; 0: none is known yet.
    round_trip_ms: int = 0


class RelayOutcome(IntEnum):
    """The leader's decision on a relayed heartbeat."""

    ANSWERED = 0
    # The leader may not answer, or the heartbeat has waited too long.
    REJECTED = 1
    # The leader does not have the full heartbeat to which an unchanged one refers.
    FULL_HEARTBEAT_REQUIRED = 2
    # The worker should send its heartbeats to another controller.
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
    # The most workers that the relay should have, and relays with less than an even share for those that come
    # to it beyond that; 0 from a version before these fields.
    max_workers: int = 0
    underloaded_relays: list[str] = []
