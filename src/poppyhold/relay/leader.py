"""The leader's connections with relays: each has a thread that reads batches; the decision thread answers."""

from __future__ import annotations

import socket
import threading
import time
from collections.abc import Callable, Set

import msgspec

from poppyhold.concurrency.priority_queue import DECISIONS, HEARTBEATS, Work
from poppyhold.relay.assignment import Assignment
from poppyhold.relay.intake import RelayIntake, RelayState
from poppyhold.relay.messages import AnswerBatch, HeartbeatBatch, Outcome, RelayedAnswer, RelayHello
from poppyhold.settings import Workers
from poppyhold.wire.frames import receive_message, shut_down, try_send_message
from poppyhold.wire.worker_messages import Heartbeat, HeartbeatResponse

_decoder = msgspec.msgpack.Decoder(HeartbeatBatch)
# A worker waits so long for the answer to a report.
_WORKER_PATIENCE_S = 4.0


def heartbeat_response_timeout_s(workers: Workers) -> float:
    """Behind so long a report is not answered any more: its worker gives up soon, or has done so."""
    return min(workers.heartbeat_interval_s * 2.5, _WORKER_PATIENCE_S * 0.75)


class RelayServer:
    """Takes relays' connections for one term."""

    def __init__(
        self,
        post: Callable[[int, Work], bool],
        answer: Callable[[Heartbeat, float], HeartbeatResponse | None],
        answered_at: Callable[[str], float],
        assignment: Assignment,
        workers: Workers,
    ) -> None:
        """``post`` queues work for the decision thread; False if it takes no more."""
        self._post, self._assignment = post, assignment
        self._patience_s = heartbeat_response_timeout_s(workers)
        self._silent_s = workers.heartbeat_interval_s + self._patience_s
        self._intake = RelayIntake(answer, answered_at, assignment, self._patience_s)
        self._open: dict[str, socket.socket] = {}
        # Of the relays that are connected; only the decision thread touches it.
        self._states: dict[str, RelayState] = {}
        self._lock = threading.Lock()
        self._closed = False
        self._reviewed = False

    @property
    def wanted(self) -> bool:
        """Whether controllers are asked to relay."""
        return self._assignment.wanted

    @property
    def reviewed(self) -> bool:
        """Whether it is known how many machines there are, and so whether relays are wanted."""
        return self._reviewed

    def serve(self, connection: socket.socket, hello: RelayHello) -> None:
        """Answer a relay's batches until its connection ends, or the term does."""
        if not self._begin(connection, hello.member):
            return
        relay = RelayState(hello.member, hello.zone)
        self._post(DECISIONS, lambda: self._connected(relay))
        try:
            # One that is silent for longer than its own questions take is gone.
            connection.settimeout(self._silent_s)
            while not self._closed:
                self._queue(connection, relay, receive_message(connection, _decoder))
        finally:
            relay.alive = False
            self._end(connection, hello.member)

    def review(self, machines: Set[str]) -> None:
        """On the decision thread: go by the machines that there are now."""
        self._assignment.review(machines)
        self._reviewed = True
        for state in self._states.values():
            state.forget_others(machines)

    def close(self) -> None:
        """End every connection: relays look for the next leader."""
        with self._lock:
            self._closed = True
            connections = list(self._open.values())
        for connection in connections:
            shut_down(connection)

    def _connected(self, relay: RelayState) -> None:
        self._states[relay.member] = relay
        self._assignment.connected(relay.member, relay.zone)

    def _disconnected(self, member: str) -> None:
        self._states.pop(member, None)
        self._assignment.disconnected(member)

    def _begin(self, connection: socket.socket, member: str) -> bool:
        with self._lock:
            if self._closed:
                return False
            before = self._open.get(member)
            self._open[member] = connection
        if before is not None:
            # Its process has begun anew, or has lost the connection that we still hold.
            shut_down(before)
        return True

    def _end(self, connection: socket.socket, member: str) -> None:
        with self._lock:
            if self._open.get(member) is not connection:
                return
            del self._open[member]
        self._post(DECISIONS, lambda: self._disconnected(member))

    def _queue(self, connection: socket.socket, relay: RelayState, batch: HeartbeatBatch) -> None:
        received_at = time.monotonic()

        def work() -> None:
            # What was under way of a connection that is gone is forgotten: nobody waits for it here.
            if relay.alive and not try_send_message(
                connection, self._intake.handle(relay, batch, received_at)
            ):
                shut_down(connection)

        if not self._post(HEARTBEATS, work) and not try_send_message(connection, _refused(batch)):
            shut_down(connection)


def _refused(batch: HeartbeatBatch) -> AnswerBatch:
    """Too much waits here already: workers had better be told at once."""
    numbers = [heartbeat.number for heartbeat in batch.heartbeats] + [beat.number for beat in batch.unchanged]
    return AnswerBatch([RelayedAnswer(number, Outcome.REFUSED) for number in numbers])
