"""The leader's connections with relays: a thread for each reads batches, the decision thread answers them."""

from __future__ import annotations

import socket
import threading
import time
from collections.abc import Callable, Set

import msgspec

from poppyhold.concurrency.priority_queue import DECISIONS, HEARTBEATS, Work
from poppyhold.relay.assignment import Assignment
from poppyhold.relay.batch_handler import BatchHandler, messages_for
from poppyhold.relay.connected_relay import ConnectedRelay
from poppyhold.relay.messages import (
    HeartbeatBatch,
    RelayedResponse,
    RelayHello,
    RelayOutcome,
    ResponseBatch,
)
from poppyhold.relay.response_writer import ResponseWriter
from poppyhold.relay.timings import heartbeat_response_timeout_s
from poppyhold.settings import WorkerTimings
from poppyhold.wire.frames import receive_message, shut_down
from poppyhold.wire.worker_messages import Heartbeat, HeartbeatResponse

_decoder = msgspec.msgpack.Decoder(HeartbeatBatch)


class RelayServer:
    """Serves relays' connections during one term."""

    def __init__(
        self,
        post: Callable[[int, Work], bool],
        answer: Callable[[Heartbeat, float], HeartbeatResponse | None],
        answered_at: Callable[[str], float],
        assignment: Assignment,
        workers: WorkerTimings,
    ) -> None:
        """``post`` queues work for the decision thread; False if its queue is full."""
        self._post, self._assignment = post, assignment
        response_timeout_s = heartbeat_response_timeout_s(workers)
        self._idle_timeout_s = workers.heartbeat_interval_s + response_timeout_s
        self._handler = BatchHandler(answer, answered_at, assignment, response_timeout_s)
        self._connections: dict[str, socket.socket] = {}
        # The connected relays; used on the decision thread only.
        self._relays: dict[str, ConnectedRelay] = {}
        self._lock = threading.Lock()
        self._closed = False
        self._machine_count_known = False

    @property
    def accepts_relays(self) -> bool:
        """Whether the leader accepts relays."""
        return self._assignment.accepts_relays

    @property
    def machine_count_known(self) -> bool:
        """Whether the number of machines is known, which decides whether relays are accepted."""
        return self._machine_count_known

    def serve(self, connection: socket.socket, hello: RelayHello) -> None:
        """Answer a relay's batches until its connection or the term ends."""
        if not self._register(connection, hello.member):
            return
        relay, writer = ConnectedRelay(hello.member, hello.zone), ResponseWriter(connection)
        self._post(DECISIONS, lambda: self._on_connected(relay))
        try:
            # The relay sends keepalives: one that sends nothing for this long is disconnected.
            connection.settimeout(self._idle_timeout_s)
            while not self._closed:
                self._enqueue(writer, relay, receive_message(connection, _decoder))
        finally:
            relay.alive = False
            writer.close()
            self._unregister(connection, hello.member)

    def update_machines(self, machines: Set[str]) -> None:
        """Update the assignment and the relays' caches to the existing machines, on the decision thread."""
        self._assignment.update_machines(machines)
        self._machine_count_known = True
        for relay in self._relays.values():
            relay.retain_machines(machines)

    def close(self) -> None:
        """Close all connections, so that the relays connect to the next leader."""
        with self._lock:
            self._closed = True
            connections = list(self._connections.values())
        for connection in connections:
            shut_down(connection)

    def _on_connected(self, relay: ConnectedRelay) -> None:
        self._relays[relay.member] = relay
        self._assignment.relay_connected(relay.member, relay.zone)

    def _on_disconnected(self, member: str) -> None:
        self._relays.pop(member, None)
        self._assignment.relay_disconnected(member)

    def _register(self, connection: socket.socket, member: str) -> bool:
        with self._lock:
            if self._closed:
                return False
            previous = self._connections.get(member)
            self._connections[member] = connection
        if previous is not None:
            # The relay has restarted, or lost a connection whose end has not been noticed here.
            shut_down(previous)
        return True

    def _unregister(self, connection: socket.socket, member: str) -> None:
        with self._lock:
            if self._connections.get(member) is not connection:
                return
            del self._connections[member]
        self._post(DECISIONS, lambda: self._on_disconnected(member))

    def _enqueue(self, writer: ResponseWriter, relay: ConnectedRelay, batch: HeartbeatBatch) -> None:
        received_at = time.monotonic()

        def work() -> None:
            # Batches of a lost connection are dropped, as their responses can't be sent.
            if not relay.alive:
                return
            messages = messages_for(self._handler.handle(relay, batch, received_at))
            if not all(writer.send(message) for message in messages):
                writer.shut_down()

        if not self._post(HEARTBEATS, work) and not writer.send(_rejected(batch)):
            writer.shut_down()


def _rejected(batch: HeartbeatBatch) -> ResponseBatch:
    """Reject all heartbeats of a batch at once, as the decision thread's queue is full."""
    numbers = [full.number for full in batch.heartbeats] + [same.number for same in batch.unchanged]
    return ResponseBatch([RelayedResponse(number, RelayOutcome.REJECTED) for number in numbers])
