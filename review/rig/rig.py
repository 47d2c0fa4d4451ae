"""A small deployment on loopback: real controllers, and stand-ins for the services and the workers."""

from __future__ import annotations

import contextlib
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
from collections.abc import Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent.parent
sys.path[:0] = [str(ROOT / "src"), str(ROOT / "target" / "deps")]

from poppyhold.scale.cloud_standin import CloudStandIn  # noqa: E402
from poppyhold.scale.routes import cloud_route, parse_query, state_route  # noqa: E402
from poppyhold.scale.state_standin import StateStandIn  # noqa: E402
from poppyhold.scale.worker_standin import WorkerStandIn  # noqa: E402
from poppyhold.wire.codec import decode, encode  # noqa: E402
from poppyhold.wire.http_client import HttpClient, NoResponseError, NotSentError  # noqa: E402
from poppyhold.wire.http_server import HttpResponse, HttpServer, http_response  # noqa: E402

Data = dict[str, Any]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SEED = int(os.environ.get("SEED", "1"))
# The results of a case; `play.sh` translates them.
HELD, BROKEN, NOT_RUN = 10, 11, 12
# A case may take 120 s.
_LIMIT_S = 117.0
# What a worker waits for the answer to a report, and the shortest time between two reports.
_REPORT_TIMEOUT_S, _REPORT_GAP_S = 4.0, 0.5
GANG_PEER_S = 6.0

# The deployment of Tan Brothers, with one controller's settings; the machine types are theirs too.
SETTINGS = """
member = "hive-{number}"
domain = "{zone}"
client_listen = "127.0.0.1:{client}"
back = "127.0.0.1:{back}"
{known}
[outside]
cloud = "127.0.0.1:{cloud}"
state = "127.0.0.1:{state}"

[settings]
count = {count}
zones = ["perak-east", "perak-west"]
skew_ms = 25.0

[[settings.teams]]
name = "formdesk"
cpus = 0.0
cpus_max = 0.0
gpus = {formdesk_guaranteed}
gpus_max = {formdesk}

[[settings.teams]]
name = "bookroom"
cpus = 0.0
cpus_max = 0.0
gpus = {bookroom_guaranteed}
gpus_max = {bookroom}

[settings.workers]
report_s = 1.0
lease_s = 10.0
gang_wait_s = 30.0
gang_peer_s = 6.0
cancel_s = 30.0

[settings.state]
{state_limits}

[settings.cloud]
rps = 2.0
list_lag_s = 8.0

[settings.machine_limits]
core_share = 0.288
ram_mb = 146.0
max_sockets = 700
"""
STATE_LIMITS = """rps = 80.0
write_rps = 25.0
value_kb = 8.0
txn_ops = 20"""
KNOWN = """
[[known]]
member = "hive-{number}"
domain = "{zone}"
address = "127.0.0.1:{port}"
"""
ZONES = ["perak-east", "perak-west"]
LARUT = {
    "name": "larut",
    "cpus": 48.0,
    "accelerators": 8.0,
    "memGb": 192.0,
    "localGb": 600.0,
    "pullGbPerS": 9.0,
    "rate": 23.68,
    "marketPrice": 10.78,
    "startupS": 25.0,
    "paddocks": ZONES,
}


def free_ports(count: int) -> list[int]:
    """Return free ports of the loopback address, below those that the system gives out by itself."""
    found: list[int] = []
    chance = random.SystemRandom()
    while len(found) < count:
        port = chance.randrange(20_000, 32_000)
        with contextlib.suppress(OSError), socket.create_server(("127.0.0.1", port)):
            if port not in found:
                found.append(port)
    return found


def job(job_id: str, **fields: Any) -> Data:
    """Return a submission with every field."""
    return {
        "nameId": job_id,
        "lot": "nightsift",
        "crew": "bookroom",
        "shape": "array",
        "rank": "standard",
        "chores": 1,
        "cpus": 4.0,
        "accelerators": 1.0,
        "memGb": 12.0,
        "bundle": "img-01",
        "sizeGb": 1.0,
        "builds": None,
        "paddock": None,
        "samePlace": False,
        "apart": False,
        "loaners": False,
        "guessS": 10.0,
        "bookmarkS": 0.0,
        "stashS": 0.0,
        "dueS": None,
        **fields,
    }


def call(
    port: int, method: str, path: str, body: Data | None = None, timeout_s: float = 5.0
) -> tuple[int, Data]:
    """Send one request on a connection of its own; status 0 without an answer."""
    client = HttpClient("127.0.0.1", port, max_idle=0)
    try:
        return client.request(method, path, body, timeout_s=timeout_s)
    except (NotSentError, NoResponseError):
        return 0, {}


def without_nulls(report: Data) -> Data:
    """Return a report without the fields of its tasks that are null; they may be omitted."""
    tasks = [{key: value for key, value in task.items() if value is not None} for task in report["chores"]]
    return {**report, "chores": tasks}


class Worker:
    """A machine's worker, driven by the protocol's rules, on a thread of its own."""

    def __init__(self, world: World, name: str, machine_type: Data, zone: str, spot: bool) -> None:
        self.world, self.name, self.zone = world, name, zone
        self.lock = threading.RLock()
        self.machine = WorkerStandIn(
            name,
            machine_type,
            zone,
            spot,
            world.lease_s,
            time.monotonic,
            world.describe,
            lambda _, task: world.on_start(name, task),
            lambda task: world.on_done(name, task),
        )
        self.server = HttpServer(("127.0.0.1", 0), self._command, 50)
        self.machine.endpoint = f"127.0.0.1:{self.server.server_port}"
        self.gone = threading.Event()
        # The node that it reports to.
        self.node = world.rng.randrange(world.count)
        # Statuses of the answers to its reports, and their sizes in bytes.
        self.answers: list[tuple[float, int, int]] = []
        threading.Thread(target=self.server.serve_forever, daemon=True).start()
        threading.Thread(target=self._run, daemon=True).start()

    def _command(self, method: str, path: str, body: bytes) -> HttpResponse:
        if self.gone.is_set():
            return http_response(404)
        with self.lock:
            self.machine.step()
            if path == "/show":
                return http_response(200, self.machine.heartbeat())
            message = decode(body)
            self.world.note(self.name, "command", self.world.brief(message))
            self.world.on_command(self, message)
            status, data = self.machine.handle_command(message)
        return http_response(status, data)

    def _run(self) -> None:
        client: HttpClient | None = None
        pause_s = self.world.rng.uniform(0, 1)
        seen: object = None
        while not self.gone.wait(pause_s):
            with self.lock:
                self.machine.step()
                report, sent_at = without_nulls(self.machine.heartbeat()), time.monotonic()
                incarnation = self.machine.incarnation
            if client is None:
                client = HttpClient("127.0.0.1", self.world.clients[self.node], max_idle=1)
            try:
                status, answer = client.request("POST", "/hello", report, timeout_s=_REPORT_TIMEOUT_S)
            except (NotSentError, NoResponseError):
                status, answer = 0, {}
            if self.gone.is_set():
                return
            self.answers.append((time.monotonic(), status, len(encode(report))))
            if status == 200:
                with self.lock:
                    orders = answer.get("orders", [])
                    if orders:
                        self.world.note(self.name, "answer", self.world.brief(answer))
                    self.machine.handle_response(answer, sent_at, incarnation)
            else:
                self.world.note(
                    self.name, "report", f"to hive-{self.node}: {status} {answer} bytes={len(encode(report))}"
                )
                client.close()
                client = None
                foreman = answer.get("foreman") if status == 421 else None
                known = foreman is not None and foreman != f"hive-{self.node}"
                self.node = int(foreman.split("-")[1]) if known else (self.node + 1) % self.world.count
                pause_s = self.world.rng.uniform(0, 0.5) if known else 1.0
                continue
            # The next report: after the interval, or sooner if something changes.
            due_at = sent_at + self.world.report_s * self.world.rng.uniform(0.75, 1.25)
            while time.monotonic() < due_at and not self.gone.is_set():
                time.sleep(0.05)
                with self.lock:
                    self.machine.step()
                    tasks = [(name, task["status"]) for name, task in self.machine.tasks.items()]
                    state = (tasks, self.machine.incarnation, self.machine.notice_s)
                if state != seen and time.monotonic() - sent_at >= _REPORT_GAP_S:
                    break
            seen = state
            pause_s = 0.0

    def remove(self) -> None:
        """End the machine: its tasks are gone."""
        self.gone.set()
        with self.lock:
            tasks = self.machine.on_machine()
            self.machine.tasks.clear()
        self.world.note(self.name, "gone", tasks)
        self.server.shutdown()
        self.server.server_close()


class World:
    """The deployment, and the record of what was sent, answered and run."""

    lease_s, report_s, cancel_s = 10.0, 1.0, 30.0

    def __init__(self, folder: Path, count: int = 3, machine_types: list[Data] | None = None) -> None:
        self.folder, self.count, self.rng = folder, count, random.Random(SEED)
        self.began_at = time.monotonic()
        self.lines: list[str] = []
        self.lock = threading.RLock()
        self.temporary = Path(tempfile.mkdtemp(prefix="review-"))
        self.state = StateStandIn(time.monotonic)
        self.cloud = CloudStandIn(time.monotonic, machine_types or [LARUT], 8.0)
        self.jobs: dict[str, Data] = {}
        self.starts: list[tuple[float, str, str]] = []
        self.done: list[tuple[float, str, str]] = []
        self.workers: dict[str, Worker] = {}
        self.processes: dict[int, subprocess.Popen[bytes]] = {}
        # By controller: how the state service, and the cloud, treat its requests.
        self.state_hook: Callable[[int, str, str, bytes], HttpResponse | None] = lambda *_: None
        self.cloud_hook: Callable[[int, str, str, bytes], HttpResponse | None] = lambda *_: None
        self.state_servers = [
            HttpServer(("127.0.0.1", 0), self._state(number), 100) for number in range(count)
        ]
        self.cloud_servers = [
            HttpServer(("127.0.0.1", 0), self._cloud(number), 100) for number in range(count)
        ]
        for server in (*self.state_servers, *self.cloud_servers):
            threading.Thread(target=server.serve_forever, daemon=True).start()
        ports = free_ports(2 * count)
        self.clients, self.backs = ports[:count], ports[count:]
        threading.Thread(target=self._record_listings, daemon=True).start()
        threading.Thread(target=self._run_gangs, daemon=True).start()
        # Whether rented machines come up, after the time that their type names.
        self.boots = True
        # What the settings say of the state service.
        self.state_limits = STATE_LIMITS
        # Tasks that run for another time than the others of their job.
        self.runs_s: dict[str, float] = {}
        # The limits of the teams, in GPUs.
        self.limits = {"formdesk": 248.0, "bookroom": 248.0}

    # -- the record

    def now(self) -> float:
        return time.monotonic() - self.began_at

    def note(self, who: str, what: str, details: object = "") -> None:
        line = f"{self.now():8.3f} {who:12} {what:10} {details}"
        self.lines.append(line)

    @staticmethod
    def brief(message: Data) -> str:
        text = str(message)
        return text if len(text) < 400 else f"{text[:400]}... ({len(text)} characters)"

    def on_start(self, machine: str, task: str) -> None:
        self.starts.append((self.now(), machine, task))
        self.note(machine, "start", task)

    def on_done(self, machine: str, task: str) -> None:
        self.done.append((self.now(), machine, task))
        self.note(machine, "done", task)

    def on_command(self, worker: Worker, message: Data) -> None:
        """Called with each direct command before it is carried out."""

    def describe(self, task: str) -> Data | None:
        spec = self.jobs.get(task.rpartition("/")[0])
        return {**spec, "runs": self.runs_s[task]} if spec is not None and task in self.runs_s else spec

    # -- the platform

    def _record_listings(self) -> None:
        while True:
            with self.lock:
                for name, machine in self.cloud.machines.items():
                    if machine["status"] == "starting" and self.boots:
                        self._boot(name, machine)
                self.cloud.record_listing()
            time.sleep(0.5)

    def _run_gangs(self) -> None:
        """Let the tasks of a gang start together; they notice the loss of one, and all end for it."""
        started: dict[tuple[str, int], float | None] = {}
        while True:
            time.sleep(0.1)
            with contextlib.ExitStack() as stack:
                workers = list(self.workers.values())
                workers.sort(key=lambda worker: worker.name)
                for worker in workers:
                    stack.enter_context(worker.lock)
                members: dict[tuple[str, int], list[Data]] = {}
                for worker in workers:
                    for task in worker.machine.tasks.values():
                        if "job" in task and task["job"]["shape"] == "group" and task["status"] != "ended":
                            members.setdefault((task["job"]["nameId"], task["try"]), []).append(task)
                for key, tasks in members.items():
                    self._step_gang(started, key, tasks)

    def _step_gang(
        self, started: dict[tuple[str, int], float | None], key: tuple[str, int], tasks: list[Data]
    ) -> None:
        now, spec = time.monotonic(), tasks[0]["job"]
        if key not in started:
            if len(tasks) == spec["chores"] and all(task["status"] == "waiting" for task in tasks):
                started[key] = None
                for task in tasks:
                    task.update(status="running", until=now + spec["runs"])
        elif len(tasks) < spec["chores"]:
            # When the loss was noticed first.
            lost_at = started[key] = started[key] or now
            if now - lost_at > GANG_PEER_S:
                for task in tasks:
                    task.update(status="ended", cause="mates_gone", until=None)

    def _boot(self, name: str, machine: Data) -> None:
        kind = next(each for each in self.cloud.machine_types if each["name"] == machine["build"])
        if time.monotonic() - machine["at"] < kind["startupS"]:
            return
        machine["status"] = "running"
        worker = self.workers[name] = Worker(self, name, kind, machine["paddock"], machine["loaners"])
        machine["endpoint"] = worker.machine.endpoint
        self.note(name, "up", f"{kind['name']} in {machine['paddock']}")

    def _state(self, number: int) -> Callable[[str, str, bytes], HttpResponse]:
        def route(method: str, path: str, body: bytes) -> HttpResponse:
            answer = self.state_hook(number, method, path, body)
            if answer is not None:
                return answer
            if path.startswith("/follow"):
                return self._follow(number, parse_query(path)[1])
            with self.lock:
                try:
                    return http_response(*state_route(self.state, method, path, body))
                except AssertionError as error:
                    # The stand-in asserts the limits of a transaction.
                    return http_response(400, {"error": str(error)})

        return route

    def _follow(self, number: int, query: dict[str, str]) -> HttpResponse:
        deadline = time.monotonic() + float(query.get("holdMs", 0)) / 1000
        while True:
            blocked = self.state_hook(number, "GET", "/follow-open", b"")
            with self.lock:
                if self.state.is_too_old(int(query["since"])):
                    return http_response(410)
                events = self.state.changes(query["prefix"], int(query["since"]))
                if blocked is None and (events or time.monotonic() >= deadline):
                    return http_response(200, {"ledger": self.state.revision, "events": events})
            time.sleep(0.02)

    def _cloud(self, number: int) -> Callable[[str, str, bytes], HttpResponse]:
        def route(method: str, path: str, body: bytes) -> HttpResponse:
            if method == "POST":
                self.note(f"hive-{number}", "cloud", f"{path} {decode(body)}")
            answer = self.cloud_hook(number, method, path, body)
            if answer is not None:
                return answer
            return self.carry_out(method, path, body)

        return route

    def carry_out(self, method: str, path: str, body: bytes) -> HttpResponse:
        """Let the cloud carry out a request."""
        time.sleep(0.2)
        with self.lock:
            status, data = cloud_route(self.cloud, method, path, body)
            gone = [self.workers.pop(name) for name in list(self.workers) if name not in self.cloud.machines]
        for worker in gone:
            worker.remove()
        return http_response(status, data)

    def add_machine(self, machine_type: Data = LARUT, zone: str = "perak-east", spot: bool = False) -> Worker:
        """Add a machine that is up."""
        with self.lock:
            name = self.cloud.add(machine_type["name"], zone, spot, "running")
            worker = self.workers[name] = Worker(self, name, machine_type, zone, spot)
            self.cloud.machines[name]["endpoint"] = worker.machine.endpoint
            self.cloud.record_listing()
        return worker

    # -- the controllers

    def start(self, number: int) -> None:
        """Start a controller with the command of the deploy file."""
        known = "".join(
            KNOWN.format(number=other, zone=ZONES[other % 2], port=self.back_address(number, other))
            for other in range(self.count)
            if other != number
        )
        settings = self.temporary / f"hive-{number}.toml"
        settings.write_text(
            SETTINGS.format(
                number=number,
                zone=ZONES[number % 2],
                client=self.clients[number],
                back=self.backs[number],
                known=known,
                cloud=self.cloud_servers[number].server_port,
                state=self.state_servers[number].server_port,
                count=self.count,
                state_limits=self.state_limits,
                formdesk=self.limits["formdesk"],
                formdesk_guaranteed=min(136.0, self.limits["formdesk"]),
                bookroom=self.limits["bookroom"],
                bookroom_guaranteed=min(96.0, self.limits["bookroom"]),
            )
        )
        run = tomllib.loads((ROOT / "deploy" / "service.toml").read_text())["run"]
        environment = {**os.environ, "LOG_LEVEL": os.environ.get("LOG_LEVEL", "info")}
        with (self.temporary / f"hive-{number}.log").open("ab") as log:
            self.processes[number] = subprocess.Popen(
                [*shlex.split(run), str(settings)], cwd=ROOT, env=environment, stderr=log, stdout=log
            )
        self.note(f"hive-{number}", "process", "started")

    def back_address(self, number: int, other: int) -> int:
        """Return the port on which a controller reaches another one."""
        return self.backs[other]

    def signal(self, number: int, kind: signal.Signals) -> None:
        self.note(f"hive-{number}", "process", kind.name)
        self.processes[number].send_signal(kind)

    def kill(self, number: int) -> None:
        self.signal(number, signal.SIGKILL)
        self.processes[number].wait()

    def leader(self) -> int | None:
        """Return the controller that the leader's key names: it only aims the disruption."""
        with self.lock:
            status, body = self.state.get("ph/l/lead")
        return int(body["data"]["member"].split("-")[1]) if status == 200 else None

    def await_leader(self, timeout_s: float = 20.0) -> int:
        leader = self.eventually(self.leader_ready, timeout_s)
        if leader is None:
            raise TimeoutError("no leader")
        return int(leader) - 1

    def leader_ready(self) -> int | None:
        """Return 1 + the leader's number once its term is ready."""
        leader = self.leader()
        if leader is None or self.ask(leader, "GET", "/ready")[0] != 200:
            return None
        return leader + 1

    # -- the users

    def ask(
        self, number: int, method: str, path: str, body: Data | None = None, timeout_s: float = 5.0
    ) -> tuple[int, Data]:
        status, answer = call(self.clients[number], method, path, body, timeout_s)
        if path != "/ready":
            self.note(
                "user",
                method,
                f"hive-{number} {path} {self.brief(body or {})} -> {status} {self.brief(answer)}",
            )
        return status, answer

    def submit(
        self, spec: Data, runs_s: float | None = None, first: int = 0, timeout_s: float = 20.0
    ) -> bool:
        """Submit a job until it is accepted; ``runs_s`` is how long its tasks take."""
        self.jobs[spec["nameId"]] = {**spec, "runs": spec["guessS"] if runs_s is None else runs_s}
        numbers = iter(range(first, 1 << 30))

        def accepted() -> bool:
            number = next(numbers) % self.count
            return self.ask(number, "POST", "/api/jobs", spec)[0] in (200, 201)

        return bool(self.eventually(accepted, timeout_s))

    # -- helpers

    @staticmethod
    def eventually(condition: Callable[[], Any], timeout_s: float) -> Any:
        """Return what a condition gives once it holds; None if it does not in time."""
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline:
            value = condition()
            if value:
                return value
            time.sleep(0.05)
        return None

    def close(self) -> None:
        """End everything, and write the record."""
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
                process.wait()
        (self.folder / "record.txt").write_text("\n".join(self.lines) + "\n")
        if "KEEP_LOGS" in os.environ:
            shutil.copytree(self.temporary, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
        shutil.rmtree(self.temporary, ignore_errors=True)


def play(case: Callable[[World], int], world: World) -> None:
    """Play a case and exit with its result; one that can't run, or takes too long, was not run."""
    ended = threading.Lock()

    def end(result: int) -> None:
        if ended.acquire(blocking=False):
            name = {HELD: "held", BROKEN: "broken"}.get(result, "not run")
            world.note("case", "result", f"{name} trouble={int(TROUBLE)} seed={SEED}")
            world.close()
            print(
                f"{world.folder.name}: {name}, trouble={int(TROUBLE)}, seed={SEED}, {world.now():.0f} s",
                flush=True,
            )
            os._exit(result)

    def on_signal(*_: object) -> None:
        end(NOT_RUN)

    def on_limit() -> None:
        print("the time is over")
        end(NOT_RUN)

    signal.signal(signal.SIGTERM, on_signal)
    signal.signal(signal.SIGINT, on_signal)
    timer = threading.Timer(_LIMIT_S, on_limit)
    timer.daemon = True
    timer.start()
    result = NOT_RUN
    try:
        result = case(world)
    except Exception as error:  # noqa: BLE001 (whatever went wrong, the case did not run)
        world.note("case", "not run", repr(error))
        print(f"not run: {error!r}")
    end(result)
