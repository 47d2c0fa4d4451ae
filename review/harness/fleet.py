"""A small deployment on loopback: real controllers as processes, and stand-ins of everything else.

The state service, the cloud and the workers are the project's own stand-ins (`poppyhold.scale`), served over
HTTP on the real clock. A case adds users, a disruption and a check.
"""

from __future__ import annotations

import os
import random
import shlex
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import traceback
from collections.abc import Callable
from pathlib import Path
from typing import Any

from poppyhold.scale.cloud_standin import CloudStandIn
from poppyhold.scale.routes import cloud_route, parse_query, state_route
from poppyhold.scale.state_standin import StateStandIn
from poppyhold.scale.worker_standin import WorkerStandIn
from poppyhold.wire.codec import decode
from poppyhold.wire.http_client import HttpClient, HttpRequestError
from poppyhold.wire.http_server import HttpResponse, HttpServer, http_response

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
STEP_S = 0.02
# Exit status of a case that can't run, and the time after which one is given up.
CANNOT_RUN, MAX_RUN_S = 2, 115.0
# PROTOCOL: how long a worker waits for an answer, and until it tries the next node; the shortest time between
# two reports.
ANSWER_TIMEOUT_S, NEXT_NODE_S, MIN_REPORT_S = 4.0, 1.0, 0.5
# PROTOCOL: how long users wait for the answer to a question, and to a submission or cancellation; for how
# long these are repeated.
POLL_TIMEOUT_S, SUBMIT_TIMEOUT_S, RETRY_FOR_S = 2.0, 5.0, 60.0

Data = dict[str, Any]


def free_port() -> int:
    """Return an unused loopback port below the range of outgoing connections."""
    for port in random.sample(range(15_000, 32_000), 1000):
        with socket.socket() as probe:
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
            return port
    raise OSError("no port is free")


class CannotRunError(Exception):
    """The case can't run: something that it needs did not happen."""


class Record:
    """What was sent, answered and run, with seconds since the start; written to `record.txt` line by line."""

    def __init__(self, path: Path) -> None:
        self._began_at = time.monotonic()
        self._lock = threading.Lock()
        self._file = path.open("w", encoding="utf-8", buffering=1)

    def now(self) -> float:
        return time.monotonic() - self._began_at

    def write(self, text: str) -> None:
        with self._lock:
            if not self._file.closed:
                self._file.write(f"{self.now():8.3f} {text}\n")

    def close(self) -> None:
        with self._lock:
            self._file.close()


class Worker:
    """One machine: the project's worker stand-in, its reports, and its server for commands."""

    def __init__(self, fleet: Fleet, name: str) -> None:
        self.fleet, self.name = fleet, name
        machine = fleet.cloud.machines[name]
        machine_type = next(each for each in fleet.cloud.machine_types if each["name"] == machine["build"])
        self.lock = threading.RLock()
        self.standin = WorkerStandIn(
            name,
            machine_type,
            machine["paddock"],
            machine["loaners"],
            fleet.lease_s,
            time.monotonic,
            lambda task: fleet.jobs.get(task.rpartition("/")[0]),
            lambda worker, task: fleet.task_started(self, task),
            lambda task: fleet.record.write(f"task {task} completed on {name}"),
        )
        self.server = HttpServer((HOST, 0), self._serve, 50)
        self.endpoint = f"{HOST}:{self.server.server_port}"
        self.standin.endpoint = machine["endpoint"] = self.endpoint
        machine["status"] = "running"
        self.gone = False
        # Bodies of POST /do that were executed, in order.
        self.executed: list[tuple[float, bytes]] = []
        self._node = random.randrange(len(fleet.controllers))
        self._changed = threading.Event()
        threading.Thread(target=self.server.serve_forever, daemon=True).start()
        threading.Thread(target=self._report_forever, daemon=True).start()

    def step(self) -> None:
        with self.lock:
            if not self.gone and self.standin.step():
                self._changed.set()

    def notify(self, seconds: float) -> None:
        """Give the worker the cloud's notice that its machine will be taken."""
        with self.lock:
            self.standin.notice_s = seconds
        self._changed.set()

    def on_machine(self) -> list[str]:
        with self.lock:
            return [] if self.gone else self.standin.on_machine()

    def fits(self, job: Data) -> bool:
        """Whether a task of a job fits in the free room here, beside tasks that fetch their image."""
        with self.lock:
            return not self.gone and self.standin.free_copies(job, 1) >= 1

    def remove(self) -> None:
        with self.lock:
            self.gone = True
        self.server.close_all()

    def _serve(self, method: str, path: str, body: bytes) -> HttpResponse:
        with self.lock:
            if path == "/show":
                return http_response(200, self.standin.heartbeat())
            request = decode(body)
            token = self.standin.fencing_token
            status, report = self.standin.handle_command(request)
            for order in request["orders"]:
                self.fleet.record.write(
                    f"POST /do to {self.name}: {order['verb']} {order['chore']} try={order['try']}"
                    f" baton={request['baton']} shift={request['shift']} -> {status}"
                )
            if status == 200:
                self.executed.append((time.monotonic(), body))
                if request["orders"] or self.standin.fencing_token != token:
                    self._changed.set()
            return http_response(status, report)

    def _report_forever(self) -> None:
        # Not all at the same moment.
        time.sleep(random.uniform(0.0, 0.5))
        interval_s = self.fleet.report_s
        client: HttpClient | None = None
        connected_to = -1
        while not self.gone and not self.fleet.stopping.is_set():
            if client is None or connected_to != self._node:
                if client is not None:
                    client.close()
                client = HttpClient(HOST, self.fleet.controllers[self._node].port, max_idle=1)
                connected_to = self._node
            self._changed.clear()
            sent_at = time.monotonic()
            pause_s = self._report(client, sent_at)
            self.fleet.stopping.wait(max(pause_s, MIN_REPORT_S if pause_s <= 0 else 0.0))
            if pause_s <= 0:
                left_s = sent_at + random.uniform(0.75, 1.25) * interval_s - time.monotonic()
                self._changed.wait(max(0.0, left_s))

    def _report(self, client: HttpClient, sent_at: float) -> float:
        """Send one report; return the pause before the next node is tried, or 0 if the worker stays."""
        with self.lock:
            body, incarnation = self.standin.heartbeat(), self.standin.incarnation
            token = self.standin.fencing_token
        try:
            status, answer = client.request("POST", "/hello", body, timeout_s=ANSWER_TIMEOUT_S)
        except HttpRequestError:
            status, answer = 0, {}
        if status == 200:
            with self.lock:
                self.standin.handle_response(answer, sent_at, incarnation)
                for order in answer.get("orders", []):
                    self.fleet.record.write(
                        f"answer to {self.name}: {order['verb']} {order['chore']} try={order['try']}"
                    )
                if answer.get("orders") or self.standin.fencing_token != token:
                    self._changed.set()
            return 0.0
        named = answer.get("foreman") if status == 421 else None
        index = self.fleet.index_of(named) if named else None
        if index is not None and index != self._node:
            self._node = index
            return 0.05
        self._node = (self._node + 1) % len(self.fleet.controllers)
        return NEXT_NODE_S


class Controller:
    """One controller as a process, started with the command of the deploy file."""

    def __init__(self, member: str, zone: str) -> None:
        self.member, self.zone = member, zone
        self.port, self.peer_port = free_port(), free_port()
        self.process: subprocess.Popen[bytes] | None = None

    def start(self, settings: Path, log: Path) -> None:
        deploy = tomllib.loads((ROOT / "deploy" / "service.toml").read_text(encoding="utf-8"))
        command = [*shlex.split(deploy["run"]), str(settings)]
        with log.open("ab") as errors:
            self.process = subprocess.Popen(
                command, cwd=ROOT, env={**os.environ, "LOG_LEVEL": "info"}, stderr=errors, stdout=errors
            )

    def freeze(self) -> None:
        if self.process is not None:
            self.process.send_signal(signal.SIGSTOP)

    def thaw(self) -> None:
        if self.process is not None:
            self.process.send_signal(signal.SIGCONT)

    def kill(self) -> None:
        if self.process is not None:
            self.process.kill()
            self.process.wait()
            self.process = None


class Fleet:
    """All processes and stand-ins of one run."""

    report_s, lease_s = 1.0, 10.0

    def __init__(
        self,
        folder: Path,
        zones: list[str],
        teams: str,
        machine_types: list[Data],
        objectives: str = "",
        cancel_s: float = 30.0,
    ) -> None:
        self.cancel_s = cancel_s
        self.record = Record(folder / "record.txt")
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.zones, self.teams, self.objectives = zones, teams, objectives
        self.stopping = threading.Event()
        self.lock = threading.RLock()
        self.state = StateStandIn(time.monotonic, txn_ops=20, value_kb=8.0)
        self.cloud = CloudStandIn(time.monotonic, machine_types, 8.0)
        self.workers: dict[str, Worker] = {}
        self.jobs: dict[str, Data] = {}
        # Task, machine and time of each start.
        self.starts: list[tuple[str, str, float]] = []
        # Called with worker and task at each start, before it is recorded as running there.
        self.on_start: Callable[[Worker, str], None] = lambda worker, task: None
        self._state_server = HttpServer((HOST, 0), self._serve_state, 200)
        self.controllers = [Controller(f"hive-{number}", zones[number % len(zones)]) for number in range(3)]
        # The cloud has an address for each controller, so that it can tell who sent a request.
        self._cloud_servers = {each.member: self._cloud_server(each.member) for each in self.controllers}
        # Called with the sender and the machines of each deletion, before it is carried out.
        self.refused_deletions: list[float] = []
        self.on_delete: Callable[[str, list[str]], None] = lambda member, names: None
        for server in self._servers():
            threading.Thread(target=server.serve_forever, daemon=True).start()
        threading.Thread(target=self._step_forever, daemon=True).start()

    # -- stand-ins -----------------------------------------------------------------------------------

    def _servers(self) -> list[HttpServer]:
        return [self._state_server, *self._cloud_servers.values()]

    def _cloud_server(self, member: str) -> HttpServer:
        return HttpServer(
            (HOST, 0), lambda method, path, body: self._serve_cloud(member, method, path, body), 50
        )

    def _serve_state(self, method: str, path: str, body: bytes) -> HttpResponse:
        if path.startswith("/follow"):
            return self._follow(parse_query(path)[1])
        with self.lock:
            return http_response(*state_route(self.state, method, path, body))

    def _follow(self, query: dict[str, str]) -> HttpResponse:
        since = int(query["since"])
        deadline = time.monotonic() + float(query.get("holdMs", 0)) / 1000
        while True:
            with self.lock:
                if self.state.is_too_old(since):
                    return http_response(410, {"error": "too old"})
                events = self.state.changes(query["prefix"], since)
                if events or time.monotonic() >= deadline or self.stopping.is_set():
                    return http_response(200, {"ledger": self.state.revision, "events": events})
            time.sleep(STEP_S)

    def _serve_cloud(self, member: str, method: str, path: str, body: bytes) -> HttpResponse:
        with self.lock:
            if self.cloud.down:
                if method == "POST":
                    self.record.write(f"POST {path} from {member} -> 503, the cloud's interface is down")
                if path == "/machines/delete":
                    self.refused_deletions.append(time.monotonic())
                return http_response(503, {"error": "trouble"})
            if path == "/machines/delete":
                names = decode(body)["boxes"]
                self.record.write(f"POST {path} from {member}: {','.join(names)}")
                self.on_delete(member, names)
            response = http_response(*cloud_route(self.cloud, method, path, body))
            if path == "/machines/delete":
                for name in names:
                    self.take(name)
            elif path == "/machines" and method == "POST":
                self.record.write(
                    f"POST {path} from {member}: {decode(body)} -> {response.status} {response.body}"
                )
            return response

    def _step_forever(self) -> None:
        listed_at = 0.0
        while not self.stopping.is_set():
            now = time.monotonic()
            with self.lock:
                if now - listed_at >= 0.5:
                    listed_at = now
                    self.cloud.record_listing()
                self.state.expire()
            for worker in list(self.workers.values()):
                worker.step()
            time.sleep(STEP_S)

    def add_machine(self, machine_type: str, zone: str, spot: bool = False) -> Worker:
        """Add a machine that is up."""
        with self.lock:
            name = self.cloud.add(machine_type, zone, spot)
            worker = self.workers[name] = Worker(self, name)
        self.record.write(
            f"machine {name} is up: {machine_type} in {zone}, spot={spot}, at {worker.endpoint}"
        )
        return worker

    def set_cloud_down(self, down: bool) -> None:
        with self.lock:
            self.cloud.down = down
        self.record.write(f"the cloud's interface is {'down' if down else 'up again'}")

    def take(self, name: str) -> None:
        """End a machine with all that is on it."""
        with self.lock:
            self.cloud.machines.pop(name, None)
            worker = self.workers.pop(name, None)
        if worker is not None:
            worker.remove()

    def task_started(self, worker: Worker, task: str) -> None:
        attempt = worker.standin.tasks[task]["try"]
        self.record.write(f"task {task} starts on {worker.name}, try={attempt}")
        self.on_start(worker, task)
        self.starts.append((task, worker.name, time.monotonic()))

    def running_on(self, task: str) -> list[str]:
        """Return the machines on which a task is."""
        return [worker.name for worker in list(self.workers.values()) if task in worker.on_machine()]

    # -- controllers ---------------------------------------------------------------------------------

    def index_of(self, member: str) -> int | None:
        return next((i for i, each in enumerate(self.controllers) if each.member == member), None)

    def start_controller(self, controller: Controller) -> None:
        settings = self.folder / f"{controller.member}.toml"
        settings.write_text(self._settings(controller), encoding="utf-8")
        controller.start(settings, self.folder / f"{controller.member}.log")
        self.record.write(f"{controller.member} is started")

    def _settings(self, controller: Controller) -> str:
        known = "".join(
            f'[[known]]\nmember = "{other.member}"\ndomain = "{other.zone}"\n'
            f'address = "{HOST}:{other.peer_port}"\n'
            for other in self.controllers
            if other is not controller
        )
        zones = ", ".join(f'"{zone}"' for zone in self.zones)
        return f"""
member = "{controller.member}"
domain = "{controller.zone}"
client_listen = "{HOST}:{controller.port}"
back = "{HOST}:{controller.peer_port}"
{known}
[outside]
cloud = "{HOST}:{self._cloud_servers[controller.member].server_port}"
state = "{HOST}:{self._state_server.server_port}"

[settings]
count = 3
zones = [{zones}]
skew_ms = 25.0
{self.teams}
{self.objectives}
[settings.workers]
report_s = {self.report_s}
lease_s = {self.lease_s}
gang_wait_s = 30.0
gang_peer_s = 6.0
cancel_s = {self.cancel_s}

[settings.state]
rps = 80.0
write_rps = 25.0
value_kb = 8.0
txn_ops = 20

[settings.cloud]
rps = 2.0
list_lag_s = 8.0

[settings.machine_limits]
core_share = 0.288
ram_mb = 146.0
max_sockets = 700
"""

    def start(self, timeout_s: float = 20.0) -> None:
        """Start all controllers, and wait until one leads and all are ready."""
        for controller in self.controllers:
            self.start_controller(controller)
        ready = self.eventually(
            lambda: self.leader() is not None and all(self.is_ready(each) for each in self.controllers),
            timeout_s,
        )
        self.require(ready, "no controller leads, or one is not ready")

    def is_ready(self, controller: Controller) -> bool:
        return self.ask(controller, "GET", "/ready", None, 1.0)[0] == 200

    def leader(self) -> Controller | None:
        """Return the controller that the leader's key names."""
        with self.lock:
            entry = self.state.keys.get("ph/l/lead")
        index = self.index_of(entry[0]["member"]) if entry is not None else None
        return self.controllers[index] if index is not None else None

    def require(self, condition: object, what: str) -> None:
        """Raise an error unless something that the case needs has happened."""
        if not condition:
            raise CannotRunError(what)

    def eventually(self, condition: Callable[[], object], timeout_s: float) -> bool:
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline:
            if condition():
                return True
            time.sleep(0.05)
        return False

    # -- users ---------------------------------------------------------------------------------------

    def ask(
        self, controller: Controller, method: str, path: str, body: Data | None, timeout_s: float
    ) -> tuple[int, Data]:
        """Send one request on a new connection; status 0 if it gets no answer."""
        with HttpClient(HOST, controller.port, max_idle=0) as client:
            try:
                return client.request(method, path, body, timeout_s=timeout_s)
            except HttpRequestError:
                return 0, {}

    def _repeat(self, method: str, path: str, body: Data | None) -> tuple[int, Data]:
        """Send a submission or a cancellation until it is answered for good."""
        deadline = time.monotonic() + RETRY_FOR_S
        while True:
            controller = random.choice(self.controllers)
            status, answer = self.ask(controller, method, path, body, SUBMIT_TIMEOUT_S)
            self.record.write(f"{method} {path} at {controller.member} -> {status} {answer}")
            if status in (200, 201, 400, 404, 422) or time.monotonic() > deadline:
                return status, answer
            time.sleep(1.0)

    def submit(self, job: Data) -> None:
        """Submit a job until it is accepted."""
        self.jobs[job["nameId"]] = job
        body = {key: value for key, value in job.items() if key != "runs"}
        self.record.write(f"user of {job['crew']} submits {body}")
        self.require(self._repeat("POST", "/api/jobs", body)[0] in (200, 201), f"{job['nameId']} is accepted")

    def cancel(self, job_id: str) -> None:
        """Cancel a job until its user is told that it is cancelled."""
        _, answer = self._repeat("POST", f"/api/jobs/{job_id}/abort", None)
        self.require(answer.get("status") == "cancelled", f"{job_id} is cancelled")

    def poll(self, job_id: str) -> Data:
        """Ask a controller about a job once."""
        controller = random.choice(self.controllers)
        status, answer = self.ask(controller, "GET", f"/api/jobs/{job_id}", None, POLL_TIMEOUT_S)
        self.record.write(f"GET {job_id} at {controller.member} -> {status} {answer}")
        return answer if status == 200 else {}

    # -- end -----------------------------------------------------------------------------------------

    def stop(self) -> None:
        """End all processes and servers, and keep the controllers' logs in the record."""
        for controller in self.controllers:
            controller.kill()
        self.stopping.set()
        for worker in list(self.workers.values()):
            worker.remove()
        for server in self._servers():
            server.close_all()
        for controller in self.controllers:
            log = self.folder / f"{controller.member}.log"
            if log.exists():
                for line in log.read_text(encoding="utf-8", errors="replace").splitlines():
                    self.record.write(f"log of {controller.member}: {line}")
        self.record.close()
        shutil.rmtree(self.folder, ignore_errors=True)


def run_case(fleet: Fleet, play: Callable[[Fleet, bool], bool]) -> int:
    """Play a case; ``play`` returns whether the rule was broken. Return the exit status of its script."""
    # Ends all processes and the script if the case takes longer than its script may.
    watchdog = threading.Timer(MAX_RUN_S, lambda: (fleet.stop(), os._exit(CANNOT_RUN)))
    watchdog.daemon = True
    # A script that is told to end does not leave its processes behind.
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(CANNOT_RUN))
    watchdog.start()
    try:
        broken = play(fleet, os.environ.get("TROUBLE") != "0")
        fleet.record.write("result: the rule was broken" if broken else "result: the rule held")
        return int(broken)
    except CannotRunError as error:
        fleet.record.write(f"result: the case can't run: {error}")
        return CANNOT_RUN
    except Exception:  # noqa: BLE001 (an error of the test must not look like a broken rule)
        fleet.record.write(f"result: the case can't run: {traceback.format_exc()}")
        return CANNOT_RUN
    finally:
        watchdog.cancel()
        fleet.stop()


def make_job(job_id: str, **fields: Any) -> Data:
    """Return a submission with every field, and how long its tasks run, which the workers alone know."""
    job: Data = {
        "nameId": job_id,
        "lot": "nightsift",
        "crew": "bookroom",
        "shape": "array",
        "rank": "standard",
        "chores": 1,
        "cpus": 4.0,
        "accelerators": 1.0,
        "memGb": 12.0,
        "bundle": "img-1",
        "sizeGb": 1.0,
        "builds": None,
        "paddock": None,
        "samePlace": False,
        "apart": False,
        "loaners": False,
        "guessS": 80.0,
        "bookmarkS": 0.0,
        "stashS": 0.0,
        "dueS": None,
        **fields,
    }
    job.setdefault("runs", job["guessS"])
    if job["shape"] == "service":
        job["guessS"] = 0.0
    return job
