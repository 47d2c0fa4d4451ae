"""A relay's link and the leader's server over real connections."""

from __future__ import annotations

import random
import socket
import threading
from collections.abc import Iterator

import msgspec
import pytest

from poppyhold.concurrency.priority_queue import Work
from poppyhold.relay.link import RelayLink
from poppyhold.relay.messages import RelayedResponse, RelayHello, RelayOutcome
from poppyhold.relay.server import RelayServer
from poppyhold.relay.timings import RelayTimings
from poppyhold.settings import WorkerTimings
from poppyhold.wire.message_limits import commands_that_fit
from poppyhold.wire.worker_messages import Command, CommandKind, Heartbeat, HeartbeatResponse
from relay_harness import (
    FENCING_TOKEN,
    assignment,
    heartbeat,
)
from test_smoke import eventually

SMALL_BUFFER_BYTES = 16 * 1024
WRITER_THREAD = "relay response writer"


class RelayedConnection:
    """A relay's link and a leader's server, over loopback."""

    def __init__(self, response_timeout_s: float = 0.5) -> None:
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.connections = 0
        self.commands: list[Command] = []
        self.frozen = threading.Event()
        self.target: str | None = "hive-0"
        self.sequences: list[int] = []
        self.responses: list[RelayedResponse | None] = []
        self.fleet = assignment(lambda: 0.0)
        self.server = self._server()
        times = RelayTimings(0.4, response_timeout_s, 2.0)
        address = ("127.0.0.1", int(self.listener.getsockname()[1]))
        hello = RelayHello("hive-1", "a")
        self.link = RelayLink(
            hello,
            {"hive-0": address},
            lambda: self.target,
            lambda: FENCING_TOKEN,
            times,
            50,
            random.Random(1),
        )
        threading.Thread(target=self._accept, daemon=True).start()
        self.link.start()

    def _server(self) -> RelayServer:
        workers = WorkerTimings(heartbeat_interval_s=0.4, lease_s=4.0, cancel_s=12.0)
        return RelayServer(self._post, self._answer, lambda _: 0.0, self.fleet, workers)

    def _post(self, priority: int, work: Work) -> bool:
        if not self.frozen.is_set():
            work()
        return True

    def _answer(self, taken: Heartbeat, deadline: float) -> HeartbeatResponse:
        self.sequences.append(taken.sequence)
        return HeartbeatResponse(FENCING_TOKEN, self.commands)

    def _accept(self) -> None:
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            self.connections += 1
            threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection: socket.socket) -> None:
        with connection:
            size = int.from_bytes(connection.recv(4), "big")
            hello = msgspec.msgpack.decode(connection.recv(size), type=RelayHello)
            try:
                self.server.serve(connection, hello)
            except (OSError, ValueError):
                return

    def send(self, sequence: int) -> None:
        """A worker's heartbeat arrives at the relay."""
        assert self.link.offer(heartbeat(sequence=sequence), self.responses.append)

    def limit_send_buffer(self) -> None:
        """Let the leader's later connections take little at once, as on a network with long delays."""
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SMALL_BUFFER_BYTES)
        self.restart()

    def restart(self) -> None:
        """The leader's term ends, and the next one begins in the same process."""
        self.server.close()
        self.server = self._server()

    def close(self) -> None:
        """Close the link, the server and the listener."""
        self.link.stop()
        self.server.close()
        self.listener.close()


@pytest.fixture
def relayed() -> Iterator[RelayedConnection]:
    both = RelayedConnection()
    yield both
    both.close()


@pytest.fixture
def slow_relayed() -> Iterator[RelayedConnection]:
    """Workers wait for as long as two megabytes take over a connection with a small buffer."""
    both = RelayedConnection(response_timeout_s=20.0)
    yield both
    both.close()


def test_heartbeats_are_answered_through_a_relay(relayed: RelayedConnection) -> None:
    eventually(relayed.link.is_open)
    for sequence in range(1, 6):
        relayed.send(sequence)
        eventually(lambda sequence=sequence: len(relayed.responses) == sequence)  # type: ignore[misc]
    assert relayed.sequences == [1, 2, 3, 4, 5]
    assert all(answer is not None and answer.outcome is RelayOutcome.ANSWERED for answer in relayed.responses)


def test_heartbeats_are_sent_again_after_a_lost_connection(relayed: RelayedConnection) -> None:
    eventually(relayed.link.is_open)
    relayed.send(1)
    eventually(lambda: len(relayed.responses) == 1)
    relayed.restart()
    relayed.send(2)
    eventually(lambda: len(relayed.responses) == 2)
    assert relayed.responses[1] is not None
    assert relayed.responses[1].outcome is RelayOutcome.ANSWERED


def test_a_frozen_leader_delays_workers_by_no_more_than_the_response_timeout(
    relayed: RelayedConnection,
) -> None:
    eventually(relayed.link.is_open)
    relayed.frozen.set()
    relayed.send(1)
    eventually(lambda: relayed.responses == [None])
    # The connection is closed, so nothing more is relayed until the leader responds again.
    eventually(lambda: not relayed.link.is_open())
    relayed.frozen.clear()
    eventually(relayed.link.is_open)
    relayed.send(2)
    eventually(lambda: len(relayed.responses) == 2)
    assert relayed.responses[1] is not None


def test_a_lost_connection_leaves_no_reader_thread(relayed: RelayedConnection) -> None:
    eventually(relayed.link.is_open)
    for _ in range(3):
        relayed.restart()
        sequence = len(relayed.responses) + 1
        relayed.send(sequence)
        eventually(lambda sequence=sequence: len(relayed.responses) == sequence)  # type: ignore[misc]
    readers = [thread for thread in threading.enumerate() if thread.name == "relay response reader"]
    assert len(readers) <= 1


def test_nothing_is_relayed_without_a_leader(relayed: RelayedConnection) -> None:
    eventually(relayed.link.is_open)
    relayed.target = None
    eventually(lambda: not relayed.link.is_open())
    assert relayed.responses == []


def test_responses_that_exceed_the_send_buffer_do_not_break_the_connection(
    slow_relayed: RelayedConnection,
) -> None:
    # Guards against a connection that breaks whenever the tasks of many full machines are cancelled.
    relayed = slow_relayed
    relayed.limit_send_buffer()
    relayed.send(1)
    eventually(lambda: len(relayed.responses) == 1)
    connections = relayed.connections
    stop = Command(CommandKind.STOP, "job-000002/12345", 1 << 40, 10.0)
    relayed.commands = commands_that_fit([stop] * 1000)
    for sequence in range(2, 42):
        relayed.send(sequence)
    eventually(lambda: len(relayed.responses) == 41)
    answered = [response for response in relayed.responses[1:] if response is not None]
    assert [response.commands for response in answered] == [relayed.commands] * 40
    assert relayed.connections == connections
    # The next response comes after all of them, and not from the middle of one.
    relayed.commands = [stop]
    relayed.send(42)
    eventually(lambda: len(relayed.responses) == 42)
    assert relayed.responses[-1] is not None
    assert relayed.responses[-1].commands == [stop]
    eventually(lambda: not [thread for thread in threading.enumerate() if thread.name == WRITER_THREAD])
