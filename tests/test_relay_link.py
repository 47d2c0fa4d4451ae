"""The relay's link and the leader's server over real connections."""

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
from poppyhold.settings import Workers
from poppyhold.wire.worker_messages import Heartbeat, HeartbeatResponse
from relay_harness import (
    FENCING_TOKEN,
    assignment,
    heartbeat,
)
from test_smoke import eventually


class Ends:
    """A relay's link and a leader's server, over loopback."""

    def __init__(self) -> None:
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.frozen = threading.Event()
        self.target: str | None = "hive-0"
        self.sequences: list[int] = []
        self.told: list[RelayedResponse | None] = []
        self.plan = assignment(lambda: 0.0)
        self.server = self._server()
        times = RelayTimings(0.4, 0.5, 2.0)
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
        workers = Workers(heartbeat_interval_s=0.4, lease_s=4.0, cancel_s=12.0)
        return RelayServer(self._post, self._answer, lambda _: 0.0, self.plan, workers)

    def _post(self, priority: int, work: Work) -> bool:
        if not self.frozen.is_set():
            work()
        return True

    def _answer(self, taken: Heartbeat, late_at: float) -> HeartbeatResponse:
        self.sequences.append(taken.sequence)
        return HeartbeatResponse(FENCING_TOKEN, [])

    def _accept(self) -> None:
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
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
        """A worker's report comes to the relay."""
        assert self.link.offer(heartbeat(sequence=sequence), self.told.append)

    def restart(self) -> None:
        """The leader's term ends, and the next one begins in the same process."""
        self.server.close()
        self.server = self._server()

    def close(self) -> None:
        """End both."""
        self.link.stop()
        self.server.close()
        self.listener.close()


@pytest.fixture
def ends() -> Iterator[Ends]:
    both = Ends()
    yield both
    both.close()


def test_heartbeats_are_answered_through_a_relay(ends: Ends) -> None:
    eventually(ends.link.is_open)
    for sequence in range(1, 6):
        ends.send(sequence)
        eventually(lambda sequence=sequence: len(ends.told) == sequence)  # type: ignore[misc]
    assert ends.sequences == [1, 2, 3, 4, 5]
    assert all(answer is not None and answer.outcome is RelayOutcome.ANSWERED for answer in ends.told)


def test_heartbeats_outlive_the_connection_and_are_sent_again(ends: Ends) -> None:
    eventually(ends.link.is_open)
    ends.send(1)
    eventually(lambda: len(ends.told) == 1)
    ends.restart()
    ends.send(2)
    eventually(lambda: len(ends.told) == 2)
    assert ends.told[1] is not None and ends.told[1].outcome is RelayOutcome.ANSWERED


def test_a_leader_that_stands_still_costs_workers_no_more_than_their_patience(ends: Ends) -> None:
    eventually(ends.link.is_open)
    ends.frozen.set()
    ends.send(1)
    eventually(lambda: ends.told == [None])
    # The connection is given up, so that nothing more is relayed until there is an answer again.
    eventually(lambda: not ends.link.is_open())
    ends.frozen.clear()
    eventually(ends.link.is_open)
    ends.send(2)
    eventually(lambda: len(ends.told) == 2)
    assert ends.told[1] is not None


def test_a_connection_that_ends_leaves_no_reader_behind(ends: Ends) -> None:
    eventually(ends.link.is_open)
    for _ in range(3):
        ends.restart()
        sequence = len(ends.told) + 1
        ends.send(sequence)
        eventually(lambda sequence=sequence: len(ends.told) == sequence)  # type: ignore[misc]
    readers = [thread for thread in threading.enumerate() if thread.name == "relay answers"]
    assert len(readers) <= 1


def test_nothing_is_relayed_without_a_leader(ends: Ends) -> None:
    eventually(ends.link.is_open)
    ends.target = None
    eventually(lambda: not ends.link.is_open())
    assert ends.told == []
