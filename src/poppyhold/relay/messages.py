"""What relays and the leader send one another, over a connection of their own between controllers."""

from __future__ import annotations

from enum import IntEnum

import msgspec

from poppyhold.wire.worker_messages import Command, Heartbeat


class RelayHello(msgspec.Struct, frozen=True, array_like=True, tag="relay"):
    """The first message on the connection: who relays. Older versions close a connection that begins so."""

    member: str
    zone: str


class FullHeartbeat(msgspec.Struct, frozen=True, array_like=True):
    """A report that is not what the last full one of its machine on this connection was."""

    # Counts up on the relay; the answer carries it.
    number: int
    # How long the report has waited at the relay, in milliseconds.
    waited_ms: int
    heartbeat: Heartbeat


class UnchangedHeartbeat(msgspec.Struct, frozen=True, array_like=True):
    """A report that differs in nothing but its sequence number from one that was sent in full."""

    number: int
    waited_ms: int
    machine: str
    incarnation: int
    sequence: int
    # The sequence number of that full report, of the same session.
    full_sequence: int


class HeartbeatBatch(msgspec.Struct, frozen=True, array_like=True, tag="reports"):
    """Reports that came in since the last batch. An empty one asks whether the leader is there."""

    heartbeats: list[FullHeartbeat] = []
    unchanged: list[UnchangedHeartbeat] = []
    # The shortest time of late that a batch's answers took to come, in milliseconds; 0: none has come yet.
    round_trip_ms: int = 0


class Outcome(IntEnum):
    """What became of a report at the leader."""

    ANSWERED = 0
    # The leader may not answer, or the report's time was up.
    REFUSED = 1
    # The leader does not hold the full report that a heartbeat names.
    FULL_WANTED = 2
    # The worker should report to another relay.
    MOVED = 3


class RelayedAnswer(msgspec.Struct, frozen=True, array_like=True):
    """The leader's answer to one report."""

    number: int
    outcome: Outcome
    fencing_token: int = 0
    commands: list[Command] = []
    # Where to, for a worker that is moved.
    controller: str = ""


class AnswerBatch(msgspec.Struct, frozen=True, array_like=True, tag="answers"):
    """The leader's answers to one batch, in any order."""

    answers: list[RelayedAnswer] = []
    # Workers that the relay should have at the most, and relays with less than an even share for those that
    # come to it beyond that; 0 from a version before these fields.
    most_workers: int = 0
    roomy: list[str] = []
