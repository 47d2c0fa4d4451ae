"""Reports that wait at a relay for the leader's answer: bounded in number and in time.

Not safe for use by several threads at a time; `link` holds a lock around it.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable
from typing import NamedTuple

import msgspec

from poppyhold.relay.messages import (
    AnswerBatch,
    FullHeartbeat,
    HeartbeatBatch,
    Outcome,
    RelayedAnswer,
    UnchangedHeartbeat,
)
from poppyhold.wire.worker_messages import Heartbeat

# Called once for each report: with the leader's answer, or with None if there is none in time.
Respond = Callable[[RelayedAnswer | None], None]


class PendingHeartbeat(msgspec.Struct, frozen=True, eq=False):
    """A report whose worker waits."""

    number: int
    heartbeat: Heartbeat
    # On the relay's clock.
    arrived_at: float
    respond: Respond


class Response(NamedTuple):
    """What a worker that waits is to be told."""

    pending: PendingHeartbeat
    answer: RelayedAnswer | None

    def give(self) -> None:
        """Tell it."""
        self.pending.respond(self.answer)


class HeartbeatQueue:
    """The relay's reports, from their arrival to their answer."""

    def __init__(self, most: int, patience_s: float) -> None:
        """At most ``most`` reports wait, none of them for more than ``patience_s`` seconds."""
        self._most, self._patience_s = most, patience_s
        self._numbers = 0
        # By number, which is in the order of their arrival.
        self._pending: dict[int, PendingHeartbeat] = {}
        self._unsent: deque[int] = deque()
        # What was sent in full on this connection, by machine.
        self._full: dict[str, Heartbeat] = {}

    def __len__(self) -> int:
        return len(self._pending)

    @property
    def unsent(self) -> int:
        """Reports that no batch has taken yet."""
        return len(self._unsent)

    def put(self, heartbeat: Heartbeat, now: float, respond: Respond) -> bool:
        """Take a report; False if too many wait."""
        if len(self._pending) >= self._most:
            return False
        self._numbers += 1
        self._pending[self._numbers] = PendingHeartbeat(self._numbers, heartbeat, now, respond)
        self._unsent.append(self._numbers)
        return True

    def next_batch(self, now: float, most: int, round_trip_s: float = 0.0) -> HeartbeatBatch:
        """What has not been sent yet, at most ``most`` reports.

        With it goes the time that batches take of late, 0 if that is not known.
        """
        batch = HeartbeatBatch([], [], math.ceil(round_trip_s * 1000))
        while self._unsent and len(batch.heartbeats) + len(batch.unchanged) < most:
            pending = self._pending.get(self._unsent.popleft())
            if pending is not None:
                self._add(batch, pending, now)
        return batch

    def _add(self, batch: HeartbeatBatch, pending: PendingHeartbeat, now: float) -> None:
        heartbeat, waited_ms = pending.heartbeat, int((now - pending.arrived_at) * 1000)
        full = self._full.get(heartbeat.machine)
        if full is not None and msgspec.structs.replace(heartbeat, sequence=full.sequence) == full:
            batch.unchanged.append(
                UnchangedHeartbeat(
                    pending.number,
                    waited_ms,
                    heartbeat.machine,
                    heartbeat.incarnation,
                    heartbeat.sequence,
                    full.sequence,
                )
            )
            return
        if len(self._full) >= self._most:
            self._full.pop(next(iter(self._full)))
        self._full[heartbeat.machine] = heartbeat
        batch.heartbeats.append(FullHeartbeat(pending.number, waited_ms, heartbeat))

    def connection_lost(self) -> None:
        """The next connection knows nothing: whatever waits goes again, and in full.

        What the leader had answered by then counts as a repeat there, which proves nothing.
        """
        self._full.clear()
        self._unsent = deque(self._pending)

    def take_answers(self, batch: AnswerBatch, now: float, lowest_fencing_token: int) -> list[Response]:
        """Match answers with the reports that wait.

        An answer that comes too late is none: its worker has given up, and counts its lease from the report
        before. Nor is one of a leader that was deposed meanwhile, ``lowest_token`` being the highest token
        that this controller has seen: who is not entitled any more must not be heard through us.
        """
        responses = []
        for answer in batch.answers:
            pending = self._pending.get(answer.number)
            if pending is None:
                continue
            if answer.outcome is Outcome.FULL_WANTED:
                self._full.pop(pending.heartbeat.machine, None)
                self._unsent.append(pending.number)
                continue
            del self._pending[answer.number]
            late = now - pending.arrived_at > self._patience_s
            deposed = answer.outcome is Outcome.ANSWERED and answer.fencing_token < lowest_fencing_token
            responses.append(Response(pending, None if late or deposed else answer))
        return responses

    def give_up(self, now: float) -> list[Response]:
        """The reports whose time is up."""
        late = []
        for pending in self._pending.values():
            if now - pending.arrived_at <= self._patience_s:
                break
            late.append(pending)
        for pending in late:
            del self._pending[pending.number]
        return [Response(pending, None) for pending in late]

    def give_up_all(self) -> list[Response]:
        """Every report: there is no leader to pass them on to."""
        responses = [Response(pending, None) for pending in self._pending.values()]
        self._pending.clear()
        self._unsent.clear()
        self._full.clear()
        return responses
