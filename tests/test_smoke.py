"""The real program on loopback, against stand-ins served over HTTP; and its HTTP server under faults."""

from __future__ import annotations

import http.server
import os
import resource
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import msgspec
import pytest

from poppyhold.node.command_dispatcher import SenderPool, WorkerRequest
from poppyhold.scale.cloud_standin import CloudStandIn
from poppyhold.scale.controllers import free_port
from poppyhold.scale.jobs import machine_type_data, submission, wire
from poppyhold.scale.routes import cloud_route, parse_query, state_route
from poppyhold.scale.state_standin import StateStandIn
from poppyhold.scale.worker_standin import WorkerStandIn
from poppyhold.settings import MachineLimits, WorkerTimings
from poppyhold.settings_file import limit_warnings
from poppyhold.wire.codec import decode, encode
from poppyhold.wire.http_client import HttpClient, NoResponseError, NotSentError
from poppyhold.wire.http_server import DeferredResponse, HttpResponse, HttpServer, http_response
from world import World

ROOT = Path(__file__).resolve().parent.parent
TIMEOUT_S = 60.0
Data = dict[str, Any]


def eventually(condition: Callable[[], object]) -> None:
    """Waits until a condition holds."""
    deadline = time.monotonic() + TIMEOUT_S
    while not condition():
        assert time.monotonic() < deadline, "condition did not hold in time"
        time.sleep(0.1)


class ExternalStandIns:
    """Stand-ins for the state service, the cloud and one worker, each on a loopback port."""

    def __init__(self) -> None:
        self.state = StateStandIn(time.monotonic)
        self.cloud = CloudStandIn(time.monotonic, [machine_type_data("small", 4, 1.0)], 1.0)
        self.jobs: dict[str, Data] = {}
        self.started: list[str] = []
        self.finished: list[str] = []
        name = self.cloud.add("small", "a", False, "running")
        self.worker = WorkerStandIn(
            name,
            self.cloud.machine_types[0],
            "a",
            False,
            10.0,
            time.monotonic,
            lambda task: self.jobs.get(task.rpartition("/")[0]),
            lambda _, task: self.started.append(task),
            self.finished.append,
        )
        self.lock = threading.Lock()
        self.servers = [
            HttpServer(("127.0.0.1", 0), route, 50) for route in (self._state, self._cloud, self._command)
        ]
        self.ports = [server.server_port for server in self.servers]
        self.worker.endpoint = f"127.0.0.1:{self.ports[2]}"
        for server in self.servers:
            threading.Thread(target=server.serve_forever, daemon=True).start()

    def close(self) -> None:
        """Closes the servers."""
        for server in self.servers:
            server.close_all()

    def _state(self, method: str, path: str, body: bytes) -> HttpResponse:
        if path.startswith("/follow"):
            return self._follow(parse_query(path)[1])
        with self.lock:
            return http_response(*state_route(self.state, method, path, body))

    def _follow(self, query: dict[str, str]) -> HttpResponse:
        deadline = time.monotonic() + float(query["holdMs"]) / 1000
        while True:
            with self.lock:
                events = self.state.changes(query["prefix"], int(query["since"]))
                if events or time.monotonic() >= deadline:
                    return http_response(200, {"ledger": self.state.revision, "events": events})
            time.sleep(0.02)

    def _cloud(self, method: str, path: str, body: bytes) -> HttpResponse:
        with self.lock:
            self.cloud.record_listing()
            return http_response(*cloud_route(self.cloud, method, path, body))

    def _command(self, method: str, path: str, body: bytes) -> HttpResponse:
        with self.lock:
            return http_response(*self.worker.handle_command(decode(body)))

    def heartbeat(self, port: int) -> None:
        """Sends the worker's heartbeat to a node and applies the response."""
        with self.lock:
            self.worker.step()
            body, sent_at, incarnation = self.worker.heartbeat(), time.monotonic(), self.worker.incarnation
        try:
            status, answer = HttpClient("127.0.0.1", port, max_idle=0).request(
                "POST", "/hello", body, timeout_s=4.0
            )
        except (NotSentError, NoResponseError):
            return
        if status == 200:
            with self.lock:
                self.worker.handle_response(answer, sent_at, incarnation)


@pytest.fixture
def outside() -> Iterator[ExternalStandIns]:
    world = ExternalStandIns()
    yield world
    world.close()


class Program:
    """One controller as a process."""

    def __init__(self, outside: ExternalStandIns, folder: Path) -> None:
        self.port = free_port()
        settings = folder / "settings.toml"
        settings.write_text(
            f"""
member = "hive-0"
domain = "a"
client_listen = "127.0.0.1:{self.port}"
back = "127.0.0.1:{free_port()}"
something_new = true

[outside]
cloud = "127.0.0.1:{outside.ports[1]}"
state = "127.0.0.1:{outside.ports[0]}"

[settings]
count = 1
zones = ["a", "b"]

[[settings.teams]]
name = "alpha"
gpus = 4.0
"""
        )
        command = [sys.executable, str(ROOT / "run.py"), "serve", "--config", str(settings)]
        paths = [path for path in sys.path if path]
        # The checkout may have no built dependencies of its own, so the program uses those of the tests.
        environment = {**os.environ, "PYTHONPATH": os.pathsep.join(paths), "LOG_LEVEL": "debug"}
        self.process = subprocess.Popen(command, env=environment, stderr=subprocess.DEVNULL)
        self.client = HttpClient("127.0.0.1", self.port)

    def ask(self, method: str, path: str, body: Data | None = None) -> tuple[int, Data]:
        """Sends a user's request; a failed one has status 0."""
        try:
            return self.client.request(method, path, body, timeout_s=5.0)
        except (NotSentError, NoResponseError):
            return 0, {}

    def kill(self) -> None:
        """Kills the process without a shutdown."""
        self.process.kill()
        self.process.wait()
        self.client.close()


def test_program_serves_jobs_and_recovers_after_a_kill(outside: ExternalStandIns, tmp_path: Path) -> None:
    program = Program(outside, tmp_path)
    stopped = threading.Event()

    def heartbeat() -> None:
        while not stopped.wait(0.3):
            outside.heartbeat(program.port)

    try:
        eventually(lambda: program.ask("GET", "/ready")[0] == 200)
        threading.Thread(target=heartbeat, daemon=True).start()
        for job_id, fields in (
            ("job-000001", {"chores": 3, "guessS": 0.5, "sizeGb": 0.1}),
            ("job-000002", {"shape": "service", "chores": 1, "rank": "critical", "sizeGb": 0.1}),
        ):
            job = submission(job_id, fields)
            outside.jobs[job_id] = job
            body = wire(job)
            eventually(lambda body=body: program.ask("POST", "/api/jobs", body)[0] in (200, 201))  # type: ignore[misc]
        eventually(lambda: program.ask("GET", "/api/jobs/job-000001")[1].get("status") == "done")
        assert sorted(outside.finished) == [f"job-000001/{index}" for index in range(3)]
        eventually(lambda: outside.worker.on_machine() == ["job-000002/0"])
        assert program.ask("GET", "/api/jobs/job-999999")[0] == 404
        assert program.ask("POST", "/api/jobs", {"nameId": "job-000003"})[0] == 400
        assert program.ask("DELETE", "/api/jobs")[0] == 405
        assert program.ask("GET", "/elsewhere")[0] == 404
        with socket.create_connection(("127.0.0.1", program.port)) as oversized:
            oversized.sendall(b"POST /api/jobs HTTP/1.1\r\nContent-Length: 9999999\r\n\r\n")
            assert oversized.recv(100).startswith(b"HTTP/1.1 413")
        program.kill()
        program = Program(outside, tmp_path)
        eventually(lambda: program.ask("GET", "/api/jobs/job-000001")[1].get("status") == "done")
        eventually(lambda: program.ask("POST", "/api/jobs/job-000002/abort")[1].get("status") == "cancelled")
        eventually(lambda: outside.worker.on_machine() == [])
        assert outside.started.count("job-000002/0") == 1
        assert program.process.poll() is None
    finally:
        stopped.set()
        program.kill()


def test_check_config_names_the_field(tmp_path: Path) -> None:
    bad = tmp_path / "bad.toml"
    bad.write_text('member = "x"\n')
    paths = os.pathsep.join(path for path in sys.path if path)
    result = subprocess.run(
        [sys.executable, str(ROOT / "run.py"), "check-config", "--config", str(bad)],
        capture_output=True,
        text=True,
        env={**os.environ, "PYTHONPATH": paths},
        check=False,
    )
    assert result.returncode == 2
    assert result.stderr.count("\n") == 1
    assert "domain" in result.stderr


def test_server_survives_malformed_and_failing_requests() -> None:
    calls: list[str] = []

    def route(method: str, path: str, body: bytes) -> HttpResponse:
        calls.append(path)
        if path == "/fail":
            raise RuntimeError("handler failed")
        return http_response(200)

    server = HttpServer(("127.0.0.1", 0), route, 10)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    try:
        silent = socket.create_connection(("127.0.0.1", server.server_port))
        with socket.create_connection(("127.0.0.1", server.server_port)) as garbage:
            garbage.sendall(b"\x00\xff nonsense\r\n\r\n")
            garbage.recv(100)
        client = HttpClient("127.0.0.1", server.server_port)
        assert client.request("GET", "/fail", timeout_s=5.0)[0] == 503
        assert client.request("POST", "/fine", {"a": 1}, timeout_s=5.0)[0] == 200
        silent.close()
        client.close()
    finally:
        server.close_all()
    assert calls == ["/fail", "/fine"]


def test_silent_connections_are_closed_for_new_ones_and_worker_connections_are_kept() -> None:
    server = HttpServer(("127.0.0.1", 0), lambda method, path, body: http_response(200), 3)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    clients = [HttpClient("127.0.0.1", server.server_port) for _ in range(4)]
    silent: list[socket.socket] = []
    try:
        assert clients[0].request("POST", "/hello", {}, timeout_s=5.0)[0] == 200
        silent.extend(socket.create_connection(("127.0.0.1", server.server_port)) for _ in range(20))
        # The worker's connection is the oldest and still open: it is reused.
        assert clients[0].request("POST", "/hello", {}, timeout_s=5.0)[0] == 200
        assert clients[1].request("POST", "/hello", {}, timeout_s=5.0)[0] == 200
        assert clients[2].request("POST", "/hello", {}, timeout_s=5.0)[0] == 200
        # Three workers use all connections: none is closed for a fourth client.
        with pytest.raises((NoResponseError, NotSentError)):
            clients[3].request("GET", "/ready", timeout_s=5.0)
    finally:
        for held in silent:
            held.close()
        for client in clients:
            client.close()
        server.close_all()


def test_worker_connections_past_their_grace_period_are_closed_for_new_ones() -> None:
    server = HttpServer(
        ("127.0.0.1", 0), lambda method, path, body: http_response(200), 1, worker_protection_s=0.2
    )
    threading.Thread(target=server.serve_forever, daemon=True).start()
    clients = [HttpClient("127.0.0.1", server.server_port) for _ in range(2)]
    try:
        # This worker's zone was cut off, and the worker reconnected through another zone.
        assert clients[0].request("POST", "/hello", {}, timeout_s=5.0)[0] == 200
        time.sleep(0.3)
        assert clients[1].request("POST", "/hello", {}, timeout_s=5.0)[0] == 200
    finally:
        for client in clients:
            client.close()
        server.close_all()


def test_every_worker_of_the_largest_fleet_keeps_a_connection() -> None:
    limits = MachineLimits(max_sockets=1900)
    workers = 1000
    # Both ends of each connection are in this process.
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(hard, max(soft, 2 * workers + 200)), hard))

    def route(method: str, path: str, body: bytes) -> DeferredResponse:
        return lambda send: send(http_response(200, {"of": decode(body)["box"]}))

    before = threading.active_count()
    server = HttpServer(("127.0.0.1", 0), route, limits.connections)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    clients = [HttpClient("127.0.0.1", server.server_port) for _ in range(workers)]
    try:
        for _ in range(2):
            for number, client in enumerate(clients):
                status, body = client.request("POST", "/hello", {"box": number}, timeout_s=TIMEOUT_S)
                assert (status, body) == (200, {"of": number})
        assert workers <= threading.active_count() - before <= workers + 10
    finally:
        for client in clients:
            client.close()
        server.close_all()
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))


def test_silent_machines_delay_no_commands_to_other_machines() -> None:
    busy = threading.Event()
    sent: list[str] = []

    def send(request: WorkerRequest) -> None:
        sent.append(request.endpoint)
        if request.endpoint == "silent":
            busy.wait(TIMEOUT_S)

    pool = SenderPool(41, 1.0, send)
    for _ in range(40):
        pool.submit(WorkerRequest("silent", {}, lambda outcome, heartbeat: None))
    pool.submit(WorkerRequest("quick", {}, lambda outcome, heartbeat: None))
    try:
        eventually(lambda: "quick" in sent)
    finally:
        pool.stop()
        busy.set()


def test_inconsistent_limits_are_named_in_warnings() -> None:
    settings = World(1, 10.0, 30.0, []).settings
    assert limit_warnings(settings) == []
    small = msgspec.structs.replace(
        settings,
        deployment=msgspec.structs.replace(
            settings.deployment,
            machine_limits=MachineLimits(ram_mb=40.0, max_sockets=40),
            workers=WorkerTimings(lease_s=10.0, cancel_s=15.0),
        ),
    )
    assert [line.split(":")[0] for line in limit_warnings(small)] == [
        "settings.machine_limits.max_sockets",
        "settings.workers.cancel_s",
    ]
    large = msgspec.structs.replace(
        settings,
        deployment=msgspec.structs.replace(settings.deployment, machine_limits=MachineLimits(ram_mb=60.0)),
    )
    assert "carries about 500 of 680 connections" in limit_warnings(large)[0]


def test_server_is_the_standard_library_http_server() -> None:
    assert issubclass(HttpServer, http.server.HTTPServer)
    assert decode(encode({"a": 1})) == {"a": 1}
