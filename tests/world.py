"""A simulated deployment in virtual time: the real decision core and user API on simulated services.

It checks PROTOCOL's rules throughout and adds each violation to ``World.violations``.
"""

from __future__ import annotations

import heapq
import random
from collections import Counter
from collections.abc import Callable
from enum import Enum
from typing import NamedTuple

import msgspec

from gang_standin import GangStandIn
from poppyhold.durable.keys import LEADER_KEY
from poppyhold.options import Options, RelayMode
from poppyhold.scale.cloud_standin import CloudStandIn
from poppyhold.scale.jobs import ZONES, Data, machine_type_data, submission, wire
from poppyhold.scale.responses import Status
from poppyhold.scale.state_standin import StateStandIn
from poppyhold.scale.worker_standin import WorkerStandIn
from poppyhold.settings import (
    AnnouncedStateLimits,
    CloudLimits,
    ExternalServices,
    Objective,
    PeerController,
    Settings,
    StateLimits,
    Team,
    WorkerTimings,
)
from poppyhold.settings import Deployment as DeploymentSettings
from poppyhold.wire.codec import MAX_BODY_BYTES, encode
from poppyhold.wire.http_server import HttpResponse, http_response
from sim_leader_term import STEP_S
from sim_node import SimNode

# Users poll every _POLL_TICKS steps, at the steps whose remainder is _POLL_PHASE.
_POLL_TICKS, _POLL_PHASE = 40, 7
# How late the network delivers a direct command again.
_REPEAT_DELAY_S = (0.1, 60.0)
# The same for those that are held until a moment.
_HELD_REPEAT_DELAY_S = (0.05, 0.8)
# How long a worker waits for the response to a heartbeat in flight.
_RESPONSE_TIMEOUT_S = 4.0


_DEFAULTS = Options()


class RepeatTime(Enum):
    """When the network delivers direct commands again that were executed."""

    # At any time within a minute.
    LATER = "later"
    # Each time that a leader crashes: most arrive before the next leader is heard.
    AS_LEADER_ENDS = "as_leader_ends"
    # When the scenario says so.
    ON_REQUEST = "on_request"


# Messages with fewer tasks or commands are far below the limit on bodies.
_CHECKED_ENTRIES = 100


class InFlight(NamedTuple):
    """A heartbeat whose worker waits for the response."""

    node: SimNode
    sent_at: float
    incarnation: int


class SimWorker(WorkerStandIn):
    """A worker with its heartbeat loop."""

    held_commands: list[Data]
    node = 0
    next_heartbeat = 0.0
    busy_until = 0.0
    # A heartbeat that is being relayed or waits for the next leader; None if no such heartbeat is in flight.
    in_flight: InFlight | None = None


class World:
    """All controllers, services, workers and users, with one clock and one random generator."""

    def __init__(
        self,
        seed: int,
        lease_s: float,
        cancel_s: float,
        teams: list[Team],
        next_limits: AnnouncedStateLimits | None = None,
        zones: list[str] | None = None,
        objectives: list[Objective] | None = None,
        relays: RelayMode = RelayMode.OFF,
        heartbeat_interval_s: float = 1.0,
        options: Options = _DEFAULTS,
    ) -> None:
        self.options = options
        # Threads from which the sizes of a leader's sender pools follow; 0: as many as the settings allow.
        self.max_command_threads = 0
        # The relay mode, and the number of workers from which `AUTO` enables relaying.
        self.relays, self.relays_from = relays, 8.0
        # Whether relays' batches arrive twice, and their additional delay.
        self.duplicates_batches, self.batch_delay_s = False, 0.0
        self.zones = zones or ZONES
        self.now = 0.0
        self.rng = random.Random(seed)
        self.members = ["hive-0", "hive-1", "hive-2"]
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._count = 0
        self.settings = Settings(
            member="hive-0",
            zone="a",
            client_listen="127.0.0.1:1",
            peer_listen="127.0.0.1:2",
            external_services=ExternalServices(cloud="127.0.0.1:3", state="127.0.0.1:4"),
            peers=[PeerController(m, "a", "127.0.0.1:5") for m in self.members[1:]],
            deployment=DeploymentSettings(
                controllers=3,
                zones=self.zones,
                teams=teams,
                objectives=objectives or [],
                workers=WorkerTimings(
                    heartbeat_interval_s=heartbeat_interval_s, lease_s=lease_s, cancel_s=cancel_s
                ),
                state=StateLimits(txn_ops=20, announced=next_limits),
                cloud=CloudLimits(rps=2.0, list_lag_s=8.0),
            ),
        )
        self.state = StateStandIn(lambda: self.now)
        self.cloud = CloudStandIn(
            lambda: self.now,
            [
                machine_type_data("small", 4, 10.0, self.zones),
                machine_type_data("large", 8, 10.0, self.zones),
            ],
            8.0,
        )
        self.workers: dict[str, SimWorker] = {}
        self.faults: dict[str, set[str]] = {}
        # Machines whose heartbeats may be above the limit on bodies: an earlier version filled them.
        self.overfilled: set[str] = set()
        self.gangs = GangStandIn(
            lambda: self.now,
            self.settings.deployment.workers.gang_peer_s,
            self.workers.values,
            lambda worker: "hang" in self.faults.get(worker.name, ()),
            self._completed,
        )
        # How many of the next successful launches get no response.
        self.launch_responses_to_lose = 0
        # Factor on the users' poll rate; 0: the usual rate.
        self.poll_factor = 0
        # Factor on the duration of boots that begin while it is set; 0: the usual duration.
        self.boot_factor = 0.0
        # Shares of transactions that get no response: those committed at once, and those committed late.
        self.dropped_response_share = self.delayed_commit_share = 0.0
        # Additional delay of messages between controllers and workers, each way.
        self.link_delay_s = 0.0
        # A zone that is isolated from everything.
        self.isolated_zone: str | None = None
        # Two zones that can't reach each other.
        self.partitioned_zones: set[str] = set()
        self.jobs: dict[str, Data] = {}
        # By job: when its cancellation was confirmed, and the last status that users saw.
        self.cancelled_at: dict[str, float] = {}
        self.observed_status: dict[str, str] = {}
        # Completed tasks, and the number of starts of each task.
        self.finished: set[str] = set()
        self.starts: dict[str, int] = {}
        self.violations: list[str] = []
        # When all faults had ended; from then on liveness is checked as well.
        self.liveness_checked_from = float("inf")
        # When each job's last poll succeeded.
        self.answered_at: dict[str, float] = {}
        # Since when each job is pending although its team's limit and free capacity allow it to start.
        self.pending_since: dict[str, float] = {}
        # Counts by name: calls of the leaders' expensive steps, accepted jobs, starts, heartbeats, changes.
        self.work: Counter[str] = Counter()
        # Called at each step of a quota transfer, with the node that commits it and the stage.
        self.on_transfer_step: Callable[[SimNode, str], None] = lambda node, stage: None
        self.nodes = [SimNode(self, member) for member in self.members]
        # Share of heartbeats that are duplicated; whether duplicates are held until the next election.
        self.duplicated_heartbeat_share = 0.0
        self.duplicates_to_next_leader = False
        self._held_duplicates: list[Data] = []
        # Share of executed direct commands that the network delivers again, and when it does.
        self.repeated_command_share = 0.0
        self.repeat_time = RepeatTime.LATER
        self._held_repeats: list[tuple[SimWorker, Data]] = []
        # Additional requests of users: see `do_poll_all_nodes` and `do_invalid_requests` of the scenarios.
        self.polls_all_nodes = self.sends_invalid_requests = False
        # Share of jobs that users cancel when the last task completes.
        self.cancelled_on_completion_share = 0.0

    def is_partitioned(self, one: str, other: str) -> bool:
        """Whether an isolation or a partition separates two zones."""
        return one != other and (self.isolated_zone in (one, other) or self.partitioned_zones == {one, other})

    def commit_delayed(self, body: Data) -> None:
        """Commit a transaction whose caller has timed out; retry each second while the service is down."""
        if self.state.down:
            self.after(1.0, lambda: self.commit_delayed(body))
        else:
            self.state.commit(body)

    def after(self, delay: float, work: Callable[[], None]) -> None:
        """Schedule a call after a delay."""
        self._count += 1
        heapq.heappush(self._heap, (self.now + delay, self._count, work))

    def run(self, until: float) -> None:
        """Advance the clock to a time."""
        while self.now < until:
            target = min(until, self.now + STEP_S)
            while self._heap and self._heap[0][0] <= target:
                at, _, work = heapq.heappop(self._heap)
                self.now = max(self.now, at)
                work()
            self.now = target
            self._step()

    def _step(self) -> None:
        tick = round(self.now / STEP_S)
        self.state.expire()
        for worker in list(self.workers.values()):
            self._step_worker(worker)
        for changed in self.gangs.step():
            worker = self.workers[changed.name]
            worker.next_heartbeat = min(worker.next_heartbeat, max(self.now, worker.busy_until))
        for index, node in enumerate(self.nodes):
            if not node.alive and self.now >= node.restart_at:
                node.boot()
            if node.alive and tick % 10 == index:
                node.step()
        if tick % 10 == 5:
            self._boot_machines()
            self.cloud.record_listing()
            self._check()
        poll_ticks = _POLL_TICKS // (self.poll_factor or 1)
        if tick % poll_ticks == _POLL_PHASE % poll_ticks:
            self._poll()

    def add_worker(self, name: str) -> SimWorker:
        """Mark a machine as running and start its worker."""
        machine = self.cloud.machines[name]
        machine["status"] = "running"
        machine_type = next(t for t in self.cloud.machine_types if t["name"] == machine["build"])
        worker = SimWorker(
            name,
            machine_type,
            machine["paddock"],
            machine["loaners"],
            self.settings.deployment.workers.lease_s,
            lambda: self.now,
            self._describe,
            self._started,
            self._completed,
            self.settings.deployment.workers.gang_wait_s,
        )
        worker.held_commands = []
        worker.node = self.rng.randrange(3)
        self.workers[name] = worker
        return worker

    def _boot_machines(self) -> None:
        for name, machine in list(self.cloud.machines.items()):
            if machine["status"] != "starting":
                continue
            boot_s = machine.setdefault("boot_s", 10.0 * (self.boot_factor or 1.0))
            if self.now - machine["at"] < boot_s:
                continue
            if self.cloud.failing > 0:
                self.cloud.failing -= 1
                machine["boot_s"] = float("inf")
            else:
                self.add_worker(name)

    def end_worker(self, name: str) -> None:
        """Remove the worker of a lost machine, with all its tasks."""
        worker = self.workers.pop(name, None)
        if worker is not None:
            worker.gone = True

    def _step_worker(self, worker: SimWorker) -> None:
        faults = self.faults.get(worker.name, set())
        if "hang" in faults:
            worker.expire()
            return
        changed = worker.step()
        if worker.in_flight is not None and not self._response_settled(worker):
            return
        if (
            worker.held_commands
            and "hold" not in faults
            and self.isolated_zone is None
            and not self.partitioned_zones
        ):
            # Held commands arrive in order, also those whose senders have timed out, once the worker has no
            # hold and no isolation or partition is left.
            held, worker.held_commands = worker.held_commands, []
            for body in held:
                worker.handle_command(body)
        if changed:
            worker.next_heartbeat = min(worker.next_heartbeat, max(self.now, worker.busy_until))
        if self.now >= worker.next_heartbeat and self.now >= worker.busy_until:
            self._heartbeat(worker, faults)

    def _response_settled(self, worker: SimWorker) -> bool:
        """Time out the heartbeat in flight; return False while its worker still waits for the response."""
        flight = worker.in_flight
        assert flight is not None
        if flight.node.alive and self.now - flight.sent_at < _RESPONSE_TIMEOUT_S:
            return False
        worker.in_flight = None
        worker.node = (worker.node + 1) % 3
        worker.busy_until = self.now + 1.0
        return True

    def _heartbeat(self, worker: SimWorker, faults: set[str]) -> None:
        heartbeat_interval_s = self.settings.deployment.workers.heartbeat_interval_s
        worker.next_heartbeat = self.now + heartbeat_interval_s * self.rng.uniform(0.75, 1.25)
        worker.busy_until = self.now + max(0.5, 2 * self.link_delay_s)
        node = self.nodes[worker.node]
        body, flight = worker.heartbeat(), InFlight(node, self.now, worker.incarnation)
        self._check_size(worker, body, "chores")
        is_refused = node.lost_workers and not node.drops_heartbeats
        if not node.alive or is_refused or "drop_heartbeats" in faults:
            worker.node = (worker.node + 1) % 3
            worker.busy_until = self.now + 1.0
            return

        if node.frozen or node.drops_heartbeats or self.is_partitioned(node.zone, worker.zone):
            # The worker times out after four seconds and sends the next heartbeat a second later.
            worker.node = (worker.node + 1) % 3
            worker.busy_until = self.now + 5.0
            return

        def arrive() -> None:
            if not node.alive:
                return
            if self.duplicated_heartbeat_share and self.rng.random() < self.duplicated_heartbeat_share:
                if self.duplicates_to_next_leader:
                    self._held_duplicates.append(body)
                else:
                    self.after(self.rng.uniform(1.0, 25.0), lambda: self._deliver_duplicate(body))
            self.work["reports"] += 1
            if node.relays_heartbeats():
                self.work["relayed"] += 1
                worker.in_flight = flight
            wait_s = node.departure_wait_s(body)
            if wait_s:
                worker.in_flight = flight
            node.receive_heartbeat(body, respond, wait_s)

        def respond(status: int, answer: Data) -> None:
            self._answered(worker, faults, flight, status, answer)

        self.after(0.002 + self.link_delay_s, arrive)

    def _answered(
        self, worker: SimWorker, faults: set[str], flight: InFlight, status: int, answer: Data
    ) -> None:
        """Handle a node's response to a heartbeat, unless a fault drops it."""
        if worker.in_flight is not None and worker.in_flight is not flight:
            # The response is ignored: the worker timed out on this heartbeat and sent another one.
            return
        node, relayed = flight.node, worker.in_flight is not None
        worker.in_flight = None
        if relayed and (worker.gone or node.lost_workers or self.is_partitioned(node.zone, worker.zone)):
            worker.busy_until = self.now + 1.0
        elif "drop_inbound" in faults or "hold" in faults:
            worker.busy_until = self.now + 4.0
        elif status == 200:
            self._check_size(worker, answer, "orders")
            if relayed and answer["baton"] < node.lowest_fencing_token():
                self.violations.append(f"not_entitled: {node.member} answers for token {answer['baton']}")
            sent_at, shift = flight.sent_at, flight.incarnation
            self.after(0.002 + self.link_delay_s, lambda: worker.handle_response(answer, sent_at, shift))
        else:
            member = answer.get("foreman")
            worker.busy_until = self.now + (0.2 if member and member != node.member else 1.0)
            worker.node = self.members.index(member) if member else (worker.node + 1) % 3

    def _check_size(self, worker: SimWorker, body: Data, entries: str) -> None:
        """Check a worker's heartbeat, or a message to it, against the limit on bodies."""
        if len(body[entries]) < _CHECKED_ENTRIES:
            return
        size = len(msgspec.json.encode(body))
        self.work["large_messages"] += 1
        is_exempt = entries == "chores" and worker.name in self.overfilled
        if size > MAX_BODY_BYTES and not is_exempt:
            self.violations.append(
                f"too_large: {entries} of {worker.name} have {size} bytes at {self.now:.2f}"
            )

    def leader_elected(self, node: SimNode) -> None:
        """Deliver the held duplicates to every running node, newest first."""
        held, self._held_duplicates = self._held_duplicates, []

        def arrive() -> None:
            for body in reversed(held):
                for other in self.nodes:
                    if other.alive and not other.frozen:
                        other.handle_heartbeat(body)

        self.after(0.01, arrive)

    def _deliver_duplicate(self, body: Data) -> None:
        """Deliver a late duplicate of a heartbeat to a random node, and drop the response."""
        node = self.rng.choice(self.nodes)
        if node.alive:
            node.handle_heartbeat(body)

    def deliver_command(self, worker: SimWorker, body: Data) -> Status:
        """Deliver a direct command; the network may deliver it again later if it was executed."""
        self._check_size(worker, body, "orders")
        response = worker.handle_command(body)
        is_repeated = self.repeated_command_share and self.rng.random() < self.repeated_command_share
        if response[0] == 200 and is_repeated:
            if self.repeat_time is RepeatTime.LATER:
                self.after(self.rng.uniform(*_REPEAT_DELAY_S), lambda: self._deliver_repeat(worker, body))
            else:
                self._held_repeats.append((worker, body))
        return response

    def leader_ended(self) -> None:
        """Deliver the repeats of commands that are held until then."""
        if self.repeat_time is RepeatTime.AS_LEADER_ENDS:
            self.deliver_repeats()

    def deliver_repeats(self) -> None:
        """Deliver the held repeats of commands, in any order; they may be delivered again later."""
        for worker, body in self._held_repeats:
            delay_s = self.rng.uniform(*_HELD_REPEAT_DELAY_S)
            self.after(delay_s, lambda worker=worker, body=body: self._deliver_repeat(worker, body))  # type: ignore[misc]

    def _deliver_repeat(self, worker: SimWorker, body: Data) -> None:
        """Deliver a command again; its response is dropped. A worker that can't be reached gets it later."""
        if worker.gone:
            return
        self.work["repeats"] += 1
        if self.faults.get(worker.name, set()) & {"hang", "hold", "drop_inbound"}:
            worker.held_commands.append(body)
        else:
            worker.handle_command(body)

    def leader(self) -> SimNode | None:
        """Return the node that the leader key names, if it runs."""
        held = self.state.keys.get(LEADER_KEY)
        for node in self.nodes:
            if held is not None and node.member == held[0]["member"] and node.alive:
                return node
        return None

    def submit(self, job: Data) -> HttpResponse:
        """Submit a job at a random node; retry each second until the response is final."""
        self.jobs[job["nameId"]] = job
        result = self._any_node(lambda node: node.users.submit(encode(wire(job))))
        if result is None or result[0] in (429, 503):
            self.after(1.0, lambda: self._resubmit(job))
            return result or http_response(503)
        if result[0] in (200, 201):
            self.work["jobs"] += job["nameId"] not in self.observed_status
            self._observe_status(job["nameId"], result[1]["status"])
            self._poll_all_nodes(job["nameId"])
        return result

    def _resubmit(self, job: Data) -> None:
        self.submit(job)

    def cancel(self, job_id: str, nodes: list[SimNode] | None = None) -> None:
        """Cancel a job at a random node of ``nodes``, by default of all; retry until it succeeds."""
        result = self._any_node(lambda node: node.users.abort(job_id), nodes)
        if result is None or result[0] != 200:
            self.after(1.0, lambda: self.cancel(job_id, nodes))
            return
        if result[1]["status"] == "cancelled":
            self.cancelled_at.setdefault(job_id, self.now)
        self._observe_status(job_id, result[1]["status"])
        self._poll_all_nodes(job_id)

    def _any_node(
        self, ask: Callable[[SimNode], HttpResponse], nodes: list[SimNode] | None = None
    ) -> HttpResponse | None:
        candidates = self.nodes if nodes is None else nodes
        alive = [
            node for node in candidates if node.alive and not node.frozen and node.zone != self.isolated_zone
        ]
        return ask(self.rng.choice(alive)) if alive else None

    def _poll_all_nodes(self, job_id: str) -> None:
        """Poll, resubmit and poll at each node: no node may reject the job or change a final status."""
        if not self.polls_all_nodes:
            return
        for node in self.nodes:
            if not node.alive or node.frozen:
                continue
            for answer in (
                node.users.poll(job_id),
                node.users.submit(encode(wire(self.jobs[job_id]))),
                node.users.poll(job_id),
            ):
                if answer[0] in (400, 404, 422):
                    self.violations.append(f"forgotten: {job_id} gets {answer[0]} from {node.member}")
                elif answer[0] in (200, 201):
                    self._observe_status(job_id, answer[1]["status"])

    def send_invalid_requests(self) -> None:
        """Users repeat submissions, cancel completed jobs, and send invalid requests."""
        job_id = self.rng.choice(sorted(self.observed_status)) if self.observed_status else None
        for node in self.nodes:
            if not node.alive or node.frozen or node.zone == self.isolated_zone:
                continue
            if job_id is not None:
                answer = node.users.submit(encode(wire(self.jobs[job_id])))
                self._expect_status(answer, (200,), f"repeat of {job_id}")
                if self.observed_status[job_id] in ("done", "cancelled"):
                    answer = node.users.abort(job_id)
                    self._expect_status(answer, (200,), f"cancelling {job_id}")
                    if answer[0] == 200:
                        self._observe_status(job_id, answer[1]["status"])
            # Never accepted, as no machine has 64 accelerators: later requests for it have to return 404.
            invalid = wire(submission("job-900000", {"accelerators": 64.0}))
            self._expect_status(node.users.submit(encode(invalid)), (422,), "fits no machine")
            del invalid["chores"]
            self._expect_status(node.users.submit(encode(invalid)), (400,), "lacks a field")
            for answer in (node.users.poll("job-900000"), node.users.abort("job-900000")):
                self._expect_status(answer, (404,), "never submitted")

    def _expect_status(self, answer: HttpResponse, allowed_statuses: tuple[int, ...], what: str) -> None:
        if answer[0] in (429, 503):
            if "Retry-After" not in answer[2]:
                self.violations.append(f"{what}: {answer[0]} without Retry-After")
        elif answer[0] not in allowed_statuses:
            self.violations.append(f"{what}: {answer[0]}")

    def _poll(self) -> None:
        for job_id in list(self.observed_status):
            result = self._any_node(lambda node, asked=job_id: node.users.poll(asked))  # type: ignore[misc]
            if result is None:
                continue
            if result[0] == 404:
                self.violations.append(f"forgotten: {job_id}")
            elif result[0] == 200:
                self.answered_at[job_id] = self.now
                self._observe_status(job_id, result[1]["status"])

    def _observe_status(self, job_id: str, status: str) -> None:
        before = self.observed_status.get(job_id)
        if before in ("done", "cancelled") and status != before:
            self.violations.append(f"went_back: {job_id} from {before} to {status}")
        job = self.jobs[job_id]
        if status == "done":
            unfinished = [i for i in range(job["chores"]) if f"{job_id}/{i}" not in self.finished]
            if unfinished:
                self.violations.append(f"not_done: {job_id} lacks {len(unfinished)} tasks")
        self.observed_status[job_id] = status

    def _completed(self, task: str) -> None:
        self.finished.add(task)
        job = self.jobs[task.rpartition("/")[0]]
        unfinished = [i for i in range(job["chores"]) if f"{job['nameId']}/{i}" not in self.finished]
        if (
            not unfinished
            and self.cancelled_on_completion_share
            and self.rng.random() < self.cancelled_on_completion_share
        ):
            self.cancel(job["nameId"])

    def settled(self) -> list[str]:
        """Return an error for each job that is not in the state expected at the end of a run."""
        running_tasks = Counter(task.rpartition("/")[0] for _, task in self._running())
        bad = []
        for job_id, job in self.jobs.items():
            status = self.observed_status.get(job_id)
            if status is None:
                bad.append(f"{job_id} was never accepted")
            elif status == "cancelled" or (job["shape"] != "service" and status == "done"):
                if running_tasks[job_id]:
                    bad.append(f"{job_id} is {status} and has {running_tasks[job_id]} running tasks")
            elif job["shape"] != "service" or running_tasks[job_id] != job["chores"]:
                bad.append(f"{job_id} is {status} with {running_tasks[job_id]} running tasks")
        return bad

    def _describe(self, task: str) -> Data | None:
        job = self.jobs.get(task.rpartition("/")[0])
        return job if job is not None and int(task.rpartition("/")[2]) < job["chores"] else None

    def _running(self) -> list[tuple[SimWorker, str]]:
        return [(worker, task) for worker in self.workers.values() for task in worker.on_machine()]

    @staticmethod
    def _allowed(worker: WorkerStandIn, job: Data) -> bool:
        """Whether a job's constraints allow a machine, regardless of where the job's other tasks run."""
        return bool(
            (job["builds"] is None or worker.machine_type["name"] in job["builds"])
            and (job["paddock"] is None or worker.zone == job["paddock"])
            and (job["loaners"] or not worker.spot)
        )

    def _started(self, worker: WorkerStandIn, task: str) -> None:
        self.starts[task] = self.starts.get(task, 0) + 1
        self.work["starts"] += 1
        job_id = task.rpartition("/")[0]
        job = self.jobs[job_id]
        others = [(w, t) for w, t in self._running() if w is not worker]
        if any(t == task for _, t in others):
            self.violations.append(f"ran_twice: {task} at {self.now:.1f}")
        allowed = self._allowed(worker, job)
        zones = [w.zone for w, t in self._running() if t.rpartition("/")[0] == job_id]
        if job["samePlace"] and len(set(zones)) > 1:
            allowed = False
        # At most half of the tasks of an `apart` job, rounded up, may run in one zone.
        if job["apart"] and zones.count(worker.zone) > (job["chores"] + 1) // 2:
            allowed = False
        if not allowed:
            self.violations.append(f"wrong_place: {task} on {worker.name}")
        self._check()

    def _check_liveness(self) -> None:
        """Check that users and jobs are served once all faults have ended.

        Each job has a successful poll within 75 s, and no job stays pending for more than 90 s while its
        team's limit and free capacity allow it to start.
        """
        used: Counter[str] = Counter()
        with_running_tasks = set()
        for _, task in self._running():
            job_id = task.rpartition("/")[0]
            used[self.jobs[job_id]["crew"]] += self.jobs[job_id]["accelerators"]
            with_running_tasks.add(job_id)
        limits = {team.name: team.accelerators_max or float("inf") for team in self.settings.deployment.teams}
        for job_id, status in self.observed_status.items():
            job = self.jobs[job_id]
            if self.now - max(self.answered_at.get(job_id, 0.0), self.liveness_checked_from) > 75.0:
                self.violations.append(f"forgotten: {job_id} at {self.now:.1f}")
            is_pending = status == "pending" and job_id not in with_running_tasks and not job.get("mistake")
            min_tasks_to_start = job["chores"] if job["shape"] == "group" else 1
            within_limit = used[job["crew"]] + job["accelerators"] * min_tasks_to_start <= limits[job["crew"]]
            if not (is_pending and within_limit and self._have_capacity(job, min_tasks_to_start)):
                self.pending_since.pop(job_id, None)
            elif self.now - self.pending_since.setdefault(job_id, self.now) > 90.0:
                self.violations.append(f"left_waiting: {job_id} at {self.now:.1f}")

    def _have_capacity(self, job: Data, tasks: int) -> bool:
        """Whether machines have capacity for ``tasks`` tasks, in one zone if the job requires that."""
        free_by_zone: Counter[str] = Counter()
        for worker in self.workers.values():
            if self._allowed(worker, job) and worker.notice_s is None and not worker.faulty:
                free_by_zone[worker.zone if job["samePlace"] else "any"] += worker.free_copies(job, tasks)
        return max(free_by_zone.values(), default=0) >= tasks

    def _check(self) -> None:
        if self.now > self.liveness_checked_from:
            self._check_liveness()
        cancel_s = self.settings.deployment.workers.cancel_s
        used: dict[str, float] = {}
        for _, task in self._running():
            job_id = task.rpartition("/")[0]
            job = self.jobs[job_id]
            used[job["crew"]] = used.get(job["crew"], 0.0) + job["accelerators"]
            if self.now > self.cancelled_at.get(job_id, float("inf")) + cancel_s:
                self.violations.append(f"ran_cancelled: {task} at {self.now:.1f}")
        for team in self.settings.deployment.teams:
            if team.accelerators_max and used.get(team.name, 0.0) > team.accelerators_max + 1e-6:
                self.violations.append(f"quota: {team.name} at {self.now:.1f}")
