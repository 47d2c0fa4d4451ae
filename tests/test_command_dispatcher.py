"""Requests to workers: what may still be sent after it has waited for a sender thread."""

from __future__ import annotations

import socket
import threading
import time
from collections.abc import Iterator
from typing import Any

import msgspec
import pytest

from poppyhold.model.outcome import RequestOutcome
from poppyhold.model.start_grant import StartGrant
from poppyhold.node.command_dispatcher import CommandDispatcher, WorkerRequest
from poppyhold.settings import MachineLimits
from poppyhold.wire.codec import decode
from poppyhold.wire.http_server import HttpResponse, HttpServer, http_response
from poppyhold.wire.worker_messages import Heartbeat
from world import World

COMMAND_TIMEOUT_S = 0.4
# The smallest pool has this many sender threads.
SENDERS = 4
# Requests that each sender thread has to time out before it takes the next one.
ROUNDS = 3
START = {"baton": 1, "shift": 1, "orders": [{"verb": "run", "chore": "job-000001/0", "try": 1}]}
STOP = {"baton": 1, "shift": 1, "orders": [{"verb": "stop", "chore": "job-000002/0", "try": 1, "leewayS": 0}]}


class RecordingWorker:
    """A worker that records the requests which reach it."""

    def __init__(self) -> None:
        self.received: list[dict[str, Any]] = []
        self.server = HttpServer(("127.0.0.1", 0), self._route, 8)
        self.endpoint = f"127.0.0.1:{self.server.server_port}"
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def _route(self, method: str, path: str, body: bytes) -> HttpResponse:
        self.received.append(decode(body))
        return http_response(200, {})


class Outcomes:
    """Collects the outcomes of requests."""

    def __init__(self) -> None:
        self.seen: list[RequestOutcome] = []
        self._changed = threading.Condition()

    def record(self, outcome: RequestOutcome, heartbeat: Heartbeat | None) -> None:
        with self._changed:
            self.seen.append(outcome)
            self._changed.notify_all()

    def await_count(self, count: int) -> None:
        with self._changed:
            assert self._changed.wait_for(lambda: len(self.seen) >= count, 20.0)


@pytest.fixture
def worker() -> Iterator[RecordingWorker]:
    worker = RecordingWorker()
    yield worker
    worker.server.close_all()


@pytest.fixture
def dispatcher() -> Iterator[CommandDispatcher]:
    settings = World(1, 10.0, 30.0, []).settings
    limits = MachineLimits(ram_mb=64.0, max_sockets=SENDERS)
    deployment = msgspec.structs.replace(settings.deployment, machine_limits=limits)
    dispatcher = CommandDispatcher(
        msgspec.structs.replace(settings, deployment=deployment), COMMAND_TIMEOUT_S
    )
    yield dispatcher
    dispatcher.stop()


@pytest.fixture
def silent_endpoint() -> Iterator[str]:
    """An endpoint that accepts connections and never responds."""
    with socket.create_server(("127.0.0.1", 0), backlog=SENDERS * ROUNDS) as listener:
        yield f"127.0.0.1:{listener.getsockname()[1]}"


def occupy_senders(dispatcher: CommandDispatcher, silent_endpoint: str) -> None:
    for _ in range(SENDERS * ROUNDS):
        dispatcher.send(WorkerRequest(silent_endpoint, {}, lambda *_: None), slow_lane=False)


def grant_for(seconds: float) -> StartGrant:
    now = time.monotonic()
    return StartGrant(cancellations_applied_until=now, expires_at=now + seconds)


def test_a_start_that_waited_for_a_sender_past_its_grant_never_reaches_the_worker(
    dispatcher: CommandDispatcher, worker: RecordingWorker, silent_endpoint: str
) -> None:
    outcomes = Outcomes()
    occupy_senders(dispatcher, silent_endpoint)
    start = WorkerRequest(worker.endpoint, START, outcomes.record, grant_for(COMMAND_TIMEOUT_S))
    dispatcher.send(start, slow_lane=False)
    outcomes.await_count(1)
    assert (outcomes.seen, worker.received) == ([RequestOutcome.NOT_SENT], [])


def test_a_start_whose_grant_expired_does_not_wait_for_a_sender_to_be_reported(
    dispatcher: CommandDispatcher, worker: RecordingWorker, silent_endpoint: str
) -> None:
    starts, stops = Outcomes(), Outcomes()
    occupy_senders(dispatcher, silent_endpoint)
    dispatcher.send(WorkerRequest(worker.endpoint, START, starts.record, grant_for(0.0)), slow_lane=False)
    dispatcher.send(WorkerRequest(worker.endpoint, STOP, stops.record), slow_lane=False)
    dispatcher.drop_expired_starts()
    assert (starts.seen, stops.seen) == ([RequestOutcome.NOT_SENT], [])
    stops.await_count(1)
    assert (starts.seen, worker.received) == ([RequestOutcome.NOT_SENT], [STOP])


def test_a_stop_that_waited_for_a_sender_is_still_sent(
    dispatcher: CommandDispatcher, worker: RecordingWorker, silent_endpoint: str
) -> None:
    outcomes = Outcomes()
    occupy_senders(dispatcher, silent_endpoint)
    dispatcher.send(WorkerRequest(worker.endpoint, STOP, outcomes.record), slow_lane=False)
    outcomes.await_count(1)
    assert worker.received == [STOP]


def test_a_start_is_sent_while_its_grant_is_valid(
    dispatcher: CommandDispatcher, worker: RecordingWorker
) -> None:
    outcomes = Outcomes()
    dispatcher.send(WorkerRequest(worker.endpoint, START, outcomes.record, grant_for(60.0)), slow_lane=False)
    outcomes.await_count(1)
    assert (outcomes.seen, worker.received) == ([RequestOutcome.OK], [START])
