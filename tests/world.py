"""A simulated deployment in virtual time: the real decision core and users' edge on stand-ins.

It checks PROTOCOL's rules all along; what breaks one is added to ``World.broken``.
"""

from __future__ import annotations

import heapq
import random
from collections import Counter, deque
from collections.abc import Callable
from typing import Any

import msgspec

from gang_standin import GangStandIn
from poppyhold.authority import Authority
from poppyhold.committer import Writer
from poppyhold.context import OK, REFUSED, UNSENT, UNSURE, Passed, Times
from poppyhold.controller import Controller
from poppyhold.deputy import Deputies, Deputy, Trust
from poppyhold.http import Answer
from poppyhold.messages import Listed, MachineType, Report, convert, encode, parse_report
from poppyhold.options import Options
from poppyhold.settings import Cloud as CloudLimits
from poppyhold.settings import Deployment as DeploymentSettings
from poppyhold.settings import Known, NextState, Outside, Settings, State, Team, Workers
from poppyhold.snapshot import read_snapshot
from poppyhold.store import (
    ACTIVE,
    LEAD,
    TOKEN,
    ConflictError,
    Entry,
    RefusedError,
    Store,
    UncertainError,
    put,
)
from poppyhold.users import Users
from standins import CloudStandIn, StateStandIn, WorkerStandIn

Data = dict[str, Any]
ZONES = ["a", "b"]
STEP_S = 0.05
# How late a command is that the network holds back while others pass.
LATE_S = 40.0


def build_data(name: str, accelerators: float, boot_s: float) -> Data:
    """A machine type."""
    return {
        "name": name,
        "cpus": 4 * accelerators,
        "accelerators": accelerators,
        "memGb": 32 * accelerators,
        "localGb": 100.0,
        "pullGbPerS": 5.0,
        "rate": 3.0 * accelerators,
        "marketPrice": 1.0 * accelerators,
        "startupS": boot_s,
        "paddocks": ZONES,
    }


class SimStore(Store):
    """The state client of a simulated node: calls are carried out at once, or refused."""

    def __init__(self, node: SimNode) -> None:
        self._node = node
        self.timeout = 1.0
        self.contact_at = float("-inf")

    def _state(self) -> StateStandIn:
        world = self._node.world
        if world.state.down or self._node.refused or not self._node.alive or world.cut == self._node.zone:
            raise RefusedError("503")
        self.contact_at = world.now
        return world.state

    def get(self, key: str) -> Entry | None:
        status, body = self._state().get(key)
        return Entry(key, body["data"], body["stamp"]) if status == 200 else None

    def scan(self, prefix: str) -> tuple[list[Entry], int]:
        _, body = self._state().scan(prefix, "", 100_000)
        return [Entry(e["key"], e["data"], e["stamp"]) for e in body["entries"]], body["ledger"]

    def commit(self, conditions: dict[str, int], writes: list[Data]) -> int:
        body = {"if": [{"key": k, "stamp": s} for k, s in conditions.items()], "writes": writes}
        state, world = self._state(), self._node.world
        # Those of a transaction whose conditions fail count as well.
        world.work["changes"] += len(writes)
        if world.late_writes and world.rng.random() < world.late_writes:
            world.after(world.rng.uniform(2.0, 12.0), lambda: world.carry_out_late(body))
            raise UncertainError("late")
        status, answer = state.commit(body)
        if status == 409:
            raise ConflictError(answer["failed"])
        if status != 200:
            raise RefusedError(str(answer))
        if self._node.lose_answers > 0:
            self._node.lose_answers -= 1
            raise UncertainError("lost")
        if world.lost_answers and world.rng.random() < world.lost_answers:
            raise UncertainError("lost")
        return int(answer["ledger"])


class SimLeaderTerm:
    """The edges of one term, with latencies, losses and late deliveries."""

    def __init__(self, node: SimNode, baton: int, stamp: int, permit: int) -> None:
        self.node, self.world = node, node.world
        self.token, self.version, self.lease_id = baton, stamp, permit
        self.alive = True
        self.confirmed = self.world.now
        self.deputies = Deputies(node.times, 0.0)
        world = self.world
        self.authority = Authority(node.times.blind_answers_s, world.members, world.now)
        self._writer = Writer(node.store, stamp)
        self._units: deque[tuple[dict[str, int], list[Data], Callable[[bool], None]]] = deque()
        self.controller = Controller(
            node.settings, Options(), self, baton, lambda: world.now, lambda: world.now, world.rng
        )
        dispatcher = self.controller.dispatcher
        self._count_calls("passes", dispatcher, "dispatch")
        self._count_calls("plans", self.controller.admission.planner, "plan")
        self._count_calls("searches", dispatcher.placement, "free")
        self._count_calls("searches", dispatcher.placement, "preemptible")
        self.authority.synced(world.now, node.store.scan(ACTIVE)[1])
        self.controller.load(
            read_snapshot(node.store), [convert(b, MachineType) for b in world.cloud.machine_types]
        )
        self.next_list = world.now
        self.woken_at = world.now

    def _carry_out(self) -> None:
        """One try of the first unit that waits, as the committer's thread does."""
        conditions, writes, done = self._units[0]
        try:
            self._writer.commit(conditions, writes)
        except ConflictError as conflict:
            if LEAD in conflict.failed:
                self.node.step_down()
                return
            result = False
        except (RefusedError, UncertainError):
            self._later(0.2, self._carry_out)
            return
        else:
            result = True
        self._units.popleft()
        self._later(0.002, lambda: done(result))
        if self._units:
            self._later(0.003, self._carry_out)

    def _count_calls(self, name: str, owner: object, method: str) -> None:
        inner = getattr(owner, method)

        def counted(*args: Any) -> Any:
            self.world.work[name] += 1
            return inner(*args)

        setattr(owner, method, counted)

    def _later(self, delay: float, work: Callable[[], None]) -> None:
        def run() -> None:
            if self.node.frozen:
                self.world.after(STEP_S, run)
            elif self.alive and self.node.alive:
                work()
                self.settle()

        self.world.after(delay, run)

    def settle(self) -> None:
        """As the decision thread does: when a pass must wait, it wakes up for it."""
        if not self.alive or not self.node.alive or self.node.frozen:
            return
        self.controller.settle()
        if self.controller.ctx.dirty and self.controller.settle_at > max(self.world.now, self.woken_at):
            self.woken_at = self.controller.settle_at
            self.world.after(self.woken_at - self.world.now, self.settle)

    def commit(
        self,
        conditions: dict[str, int],
        writes: list[Data],
        done: Callable[[bool], None],
        first: bool = False,
    ) -> None:
        self.world.work["commits"] += 1
        unit = (conditions, writes, done)
        if not self._units:
            self._later(0.003, self._carry_out)
        if first and self._units:
            # Behind the one that is being tried.
            self._units.insert(1, unit)
        else:
            self._units.append(unit)

    def do(
        self,
        box: str,
        endpoint: str,
        body: Data,
        done: Callable[[str, Report | None], None],
        patient: bool,
    ) -> None:
        world = self.world
        worker = world.workers.get(endpoint)

        def answered(outcome: str, report: Data | None) -> None:
            parsed = parse_report(report) if report is not None else None
            self._later(0.001 + world.link_s, lambda: done(outcome, parsed))

        if worker is None or worker.gone or self.node.cut_workers:
            self._later(1.5, lambda: done(UNSENT, None))
            return
        how = world.troubles.get(worker.name, set())
        if world.severed(self.node.zone, worker.zone):
            how = how | {"hold"}
        if "late" in how:

            def deliver_late() -> None:
                worker.do(body)

            world.after(LATE_S, deliver_late)
            self._later(1.5, lambda: done(UNSURE, None))
            return
        if how & {"hang", "hold"}:
            # The command waits in the network or in a hanging machine, and is carried out later.
            worker.held_commands.append(body)
            self._later(1.5, lambda: done(UNSURE, None))
            return
        if "deaf" in how:
            self._later(1.5, lambda: done(UNSENT, None))
            return

        def deliver() -> None:
            status, report = worker.do(body)
            if "mute" in how:
                self._later(1.5, lambda: done(UNSURE, None))
                return
            answered(OK if status == 200 else REFUSED, report)

        world.after(0.001 + world.link_s, deliver)

    def hire(self, body: Data, done: Callable[[str, list[str]], None]) -> None:
        def send() -> None:
            if self.world.cut == self.node.zone:
                done(UNSURE, [])
                return
            status, answer = self.world.cloud.hire(body)
            if self.world.lose_hires > 0 and status == 200:
                self.world.lose_hires -= 1
                done(UNSURE, [])
            elif status == 200:
                done(OK, answer["boxes"])
            else:
                done(REFUSED if answer["error"] == "no capacity" else UNSURE, [])

        self._later(0.1, send)

    def delete(self, names: list[str], done: Callable[[bool], None]) -> None:
        def send() -> None:
            if self.world.cut == self.node.zone:
                done(False)
                return
            status, _ = self.world.cloud.delete(names)
            if status == 200:
                for name in names:
                    self.world.end_worker(name)
            done(status == 200)

        self._later(0.1, send)

    def deposed(self, baton: int) -> None:
        self.node.step_down()

    def raised(self, baton: int) -> None:
        self.token = baton

    def resign(self, why: str) -> None:
        self.node.resting_until = self.world.now + self.world.settings.settings.workers.lease_s
        if not self.world.state.down and not self.node.refused:
            self.world.state.end(self.lease_id)
        self.node.step_down()

    def over(self, job_id: str, status: str, chores: int) -> None:
        self.node.users.finals.put(job_id, (status, chores))

    def passed_on(self) -> list[list[Passed]]:
        since = self.world.now - self.world.settings.settings.workers.lease_s / 2
        return [
            [passed for at, passed in node.passed_on.values() if at > since]
            for node in self.world.nodes
            if node is not self.node
            and node.alive
            and not (node.cut_peers or self.node.cut_peers)
            and not self.world.severed(node.zone, self.node.zone)
        ]

    def may_start(self) -> bool:
        now = self.world.now
        return self.alive and now - self.confirmed < 2.5 and now - self.authority.synced_at < 5.0

    def confirmed_at(self) -> float:
        return self.confirmed if self.alive else float("-inf")

    def deputies_until(self) -> float:
        return self.deputies.until(self.world.now)

    def trust(self) -> Trust | None:
        """What the other nodes may count on."""
        shunned = self.controller.excluded_machines()
        return (
            None
            if shunned is None
            else Trust(self.token, min(self.confirmed, self.authority.synced_at), shunned)
        )


class SimNode:
    """A controller node: its election is that of `election`, told in a few lines."""

    def __init__(self, world: World, member: str) -> None:
        self.world, self.member = world, member
        self.zone = ZONES[world.members.index(member) % len(ZONES)]
        self.settings = world.settings
        self.times = Times(world.settings, Options())
        self.alive = True
        self.refused = False
        self.cut_workers = False
        self.cut_peers = False
        # It stands still while its clocks run on.
        self.frozen = False
        self.lose_answers = 0
        self.resting_until = 0.0
        self.back_at = float("inf")
        self.leader_term: SimLeaderTerm | None = None
        self.boot()

    def boot(self) -> None:
        """A new process: nothing is remembered."""
        self.alive = True
        self.store = SimStore(self)
        self.leader_term = None
        # First revision that this process saw.
        self.first_revision = -1
        self.passed_on: dict[str, tuple[float, Passed]] = {}
        self.deputy = Deputy(self.times, 0.0, lambda: self.world.now, lambda: self.world.now)
        builds = {b["name"]: convert(b, MachineType) for b in self.world.cloud.machine_types}
        self.users = Users(self.settings, self.store, lambda: builds, self._count, lambda: self.world.now)

    def is_old(self) -> None:
        """From its next process on it stores as the version before did, which knows of no limits to come."""
        deployment = msgspec.structs.replace(
            self.world.settings.settings,
            state=msgspec.structs.replace(self.settings.settings.state, next=None),
        )
        self.settings = msgspec.structs.replace(self.world.settings, settings=deployment)

    def _count(self, job_id: str) -> tuple[int, int] | None:
        return self.leader_term.controller.counts().get(job_id) if self.leader_term else None

    def crash(self, back_s: float) -> None:
        """The process ends without a word."""
        self.step_down()
        self.alive = False
        self.back_at = self.world.now + back_s

    def step_down(self) -> None:
        """The term is over."""
        if self.leader_term is not None:
            self.leader_term.alive = False
            self.leader_term = None

    def handle_report(self, body: Data) -> tuple[int, Data]:
        """POST /hello."""
        leader_term = self.leader_term
        if leader_term is None:
            deputed = self.deputy.may_answer(parse_report(body), self.store.contact_at, 0)
            if deputed is not None:
                return 200, {"baton": deputed, "orders": []}
            self.passed_on[body["box"]] = self.world.now, (body["box"], body["shift"], body["tally"])
            leader = self.world.leader()
            return 421, {"foreman": leader.member} if leader is not None else {}
        if not leader_term.authority.may_answer(self.world.now, leader_term.confirmed):
            return 503, {}
        answer = leader_term.controller.handle_report(parse_report(body))
        leader_term.settle()
        if answer is None or not leader_term.alive:
            return 503, {}
        assert len(encode(answer)) <= 64 * 1024
        return 200, answer

    def step(self) -> None:
        """What a node's duties do every so often."""
        world = self.world
        if self.frozen:
            return
        try:
            if self.leader_term is not None:
                self._lead(self.leader_term)
            elif world.now >= self.resting_until:
                self._campaign()
            if self.first_revision < 0:
                self.first_revision = self.store.scan(LEAD)[1]
        except (RefusedError, UncertainError, ConflictError):
            pass
        self._ask_peers()
        leader_term = self.leader_term
        if leader_term is not None:
            leader_term.controller.tick()
            leader_term.settle()

    def _lead(self, leader_term: SimLeaderTerm) -> None:
        world = self.world
        asked = world.now
        if not world.cloud.down and asked >= leader_term.next_list:
            leader_term.next_list = asked + 4.0
            boxes = [convert(b, Listed) for b in world.cloud.listing()[1]["boxes"]]
            leader_term.controller.listed(boxes)
        if self.store.get(LEAD) is None or world.state.extend(leader_term.lease_id)[0] == 404:
            self.step_down()
            return
        leader_term.confirmed = asked
        for event in world.state.changes(ACTIVE, leader_term.authority.revision):
            if "set" in event:
                leader_term.controller.job_set(Entry(event["set"], event["data"], event["stamp"]))
            else:
                leader_term.controller.job_removed(event["remove"])
        leader_term.authority.synced(asked, world.state.ledger)

    def _campaign(self) -> None:
        world = self.world
        lead = self.store.get(LEAD)
        if lead is not None:
            if lead.data["member"] == self.member:
                # A claim of ours that had no answer, or of a process of ours before this one.
                world.state.end(lead.data["permit"])
            return
        permit = world.state.lease(2500)[1]["permit"]
        held = self.store.get(TOKEN)
        baton = (held.data["baton"] if held else 0) + 1
        claim = {"member": self.member, "baton": baton, "permit": permit}
        conditions = {LEAD: 0, TOKEN: held.version if held else 0}
        try:
            stamp = self.store.commit(conditions, [put(LEAD, claim, permit), put(TOKEN, {"baton": baton})])
        except UncertainError:
            lead = self.store.get(LEAD)
            if lead is None or lead.data["permit"] != permit:
                raise
            stamp = lead.version
        self.leader_term = SimLeaderTerm(self, baton, stamp, permit)
        world.a_leader_begins(self)

    def _ask_peers(self) -> None:
        world, leader_term = self.world, self.leader_term
        if leader_term is None:
            return
        self.tell(leader_term)
        for other in world.nodes:
            if other is self or not other.alive or other.frozen or self.cut_peers or other.cut_peers:
                continue
            if world.severed(self.zone, other.zone):
                continue
            leader_term.deputies.telling(other.member, world.now)
            other.deputy.heard(leader_term.token, leader_term.trust())
            leader_term.deputies.answered(other.member, world.now)
            if other.leader_term is not None and other.leader_term.token > leader_term.token:
                self.step_down()
                return
            other.tell(leader_term)

    def tell(self, leader: SimLeaderTerm) -> None:
        """Tell a leader which cancellations were told here, as peers' messages do."""
        self.users.cancellations.known(leader.authority.revision)
        named, bound = self.users.cancellations.named(self.first_revision)
        for job_id, _ in named:
            leader.controller.job_removed(ACTIVE + job_id)
        leader.authority.learned(self.member, self.world.now, bound)


class SimWorker(WorkerStandIn):
    """A worker with its report loop."""

    held_commands: list[Data]
    node = 0
    next_report = 0.0
    busy_until = 0.0


class World:
    """Everything, with one clock and one source of chance."""

    def __init__(
        self,
        seed: int,
        lease_s: float,
        cancel_s: float,
        teams: list[Team],
        next_limits: NextState | None = None,
    ) -> None:
        self.now = 0.0
        self.rng = random.Random(seed)
        self.members = ["hive-0", "hive-1", "hive-2"]
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._count = 0
        self.settings = Settings(
            member="hive-0",
            domain="a",
            client_listen="127.0.0.1:1",
            back="127.0.0.1:2",
            outside=Outside(cloud="127.0.0.1:3", state="127.0.0.1:4"),
            known=[Known(m, "a", "127.0.0.1:5") for m in self.members[1:]],
            settings=DeploymentSettings(
                count=3,
                zones=ZONES,
                teams=teams,
                workers=Workers(report_s=1.0, lease_s=lease_s, cancel_s=cancel_s),
                state=State(txn_ops=20, next=next_limits),
                cloud=CloudLimits(rps=2.0, list_lag_s=8.0),
            ),
        )
        self.state = StateStandIn(lambda: self.now)
        self.cloud = CloudStandIn(
            lambda: self.now, [build_data("small", 4, 10.0), build_data("large", 8, 10.0)], 8.0
        )
        self.workers: dict[str, SimWorker] = {}
        self.troubles: dict[str, set[str]] = {}
        self.gangs = GangStandIn(
            lambda: self.now,
            self.settings.settings.workers.gang_peer_s,
            self.workers.values,
            lambda worker: "hang" in self.troubles.get(worker.name, ()),
            self._completed,
        )
        self.lose_hires = 0
        # Shares of transactions that get no answer: those carried out at once, and those carried out late.
        self.lost_answers = self.late_writes = 0.0
        # What messages between controllers and workers take beyond the usual, each way.
        self.link_s = 0.0
        # A zone that is cut off from everything.
        self.cut: str | None = None
        self.jobs: dict[str, Data] = {}
        self.cancelled_at: dict[str, float] = {}
        self.told: dict[str, str] = {}
        self.finished: set[str] = set()
        self.starts: dict[str, int] = {}
        self.broken: list[str] = []
        # When all troubles were over; from then on the rules for jobs that are left alone hold as well.
        self.calm_at = float("inf")
        self.answered_at: dict[str, float] = {}
        self.waiting_since: dict[str, float] = {}
        # Calls of the leaders' dearer steps, by name.
        self.work: Counter[str] = Counter()
        self.nodes = [SimNode(self, member) for member in self.members]
        # Share of reports of which a copy comes again; and whether copies are kept for the next leader.
        self.copied = 0.0
        self.keep_copies = False
        self._kept: list[Data] = []
        # What users do beside their work: see `do_close_looks` and `do_odd_requests` of the scenarios.
        self.close_looks = self.odd_requests = False
        self.cancel_at_end = 0.0

    def severed(self, one: str, other: str) -> bool:
        """Whether a cut lies between two zones."""
        return one != other and self.cut in (one, other)

    def carry_out_late(self, body: Data) -> None:
        """A transaction whose caller has given it up reaches the state service."""
        if self.state.down:
            self.after(1.0, lambda: self.carry_out_late(body))
        else:
            self.state.commit(body)

    # -- time --------------------------------------------------------------------------------------

    def after(self, delay: float, work: Callable[[], None]) -> None:
        """Do something later."""
        self._count += 1
        heapq.heappush(self._heap, (self.now + delay, self._count, work))

    def run(self, until: float) -> None:
        """Let time pass."""
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
            worker.next_report = min(worker.next_report, max(self.now, worker.busy_until))
        for index, node in enumerate(self.nodes):
            if not node.alive and self.now >= node.back_at:
                node.boot()
            if node.alive and tick % 10 == index:
                node.step()
        if tick % 10 == 5:
            self._boot_machines()
            self.cloud.remember()
            self._check()
        if tick % 40 == 7:
            self._poll()

    # -- machines ----------------------------------------------------------------------------------

    def add_worker(self, name: str) -> SimWorker:
        """A machine is up: its worker begins."""
        machine = self.cloud.machines[name]
        machine["status"] = "running"
        build = next(b for b in self.cloud.machine_types if b["name"] == machine["build"])
        worker = SimWorker(
            name,
            build,
            machine["paddock"],
            machine["loaners"],
            self.settings.settings.workers.lease_s,
            lambda: self.now,
            self._describe,
            self._started,
            self._completed,
            self.settings.settings.workers.gang_wait_s,
        )
        worker.held_commands = []
        worker.node = self.rng.randrange(3)
        self.workers[name] = worker
        return worker

    def _boot_machines(self) -> None:
        for name, machine in list(self.cloud.machines.items()):
            if machine["status"] == "starting" and self.now - machine["at"] >= 10.0:
                if self.cloud.failing > 0:
                    self.cloud.failing -= 1
                    machine["at"] = float("inf")
                else:
                    self.add_worker(name)

    def end_worker(self, name: str) -> None:
        """A machine is gone with all that is on it."""
        worker = self.workers.pop(name, None)
        if worker is not None:
            worker.gone = True

    def _step_worker(self, worker: SimWorker) -> None:
        how = self.troubles.get(worker.name, set())
        if "hang" in how:
            worker.expire()
            return
        changed = worker.step()
        if worker.held_commands and "hold" not in how and self.cut is None:
            # What was held back comes in order once the way is free, whoever still waits for it.
            held, worker.held_commands = worker.held_commands, []
            for body in held:
                worker.do(body)
        if changed:
            worker.next_report = min(worker.next_report, max(self.now, worker.busy_until))
        if self.now >= worker.next_report and self.now >= worker.busy_until:
            self._report(worker, how)

    def _report(self, worker: SimWorker, how: set[str]) -> None:
        worker.next_report = self.now + self.rng.uniform(0.75, 1.25)
        worker.busy_until = self.now + max(0.5, 2 * self.link_s)
        node = self.nodes[worker.node]
        body, sent_at, shift = worker.report(), self.now, worker.session
        if not node.alive or node.cut_workers or "silent" in how:
            worker.node = (worker.node + 1) % 3
            worker.busy_until = self.now + 1.0
            return

        if node.frozen or self.severed(node.zone, worker.zone):
            # No answer for four seconds, and a second to the next.
            worker.node = (worker.node + 1) % 3
            worker.busy_until = self.now + 5.0
            return

        def arrive() -> None:
            if not node.alive:
                return
            if self.copied and self.rng.random() < self.copied:
                if self.keep_copies:
                    self._kept.append(body)
                else:
                    self.after(self.rng.uniform(1.0, 25.0), lambda: self._copy(body))
            status, answer = node.handle_report(body)
            if "deaf" in how or "hold" in how:
                worker.busy_until = self.now + 4.0
                return
            if status == 200:
                self.after(0.002 + self.link_s, lambda: worker.answered(answer, sent_at, shift))
            else:
                member = answer.get("foreman")
                worker.busy_until = self.now + (0.2 if member and member != node.member else 1.0)
                worker.node = self.members.index(member) if member else (worker.node + 1) % 3

        self.after(0.002 + self.link_s, arrive)

    def a_leader_begins(self, node: SimNode) -> None:
        """Copies that were kept for it reach every node, the newest of each machine first."""
        kept, self._kept = self._kept, []

        def arrive() -> None:
            for body in reversed(kept):
                for other in self.nodes:
                    if other.alive and not other.frozen:
                        other.handle_report(body)

        self.after(0.01, arrive)

    def _copy(self, body: Data) -> None:
        """A late copy of a report reaches some node; whatever it answers reaches nobody."""
        node = self.rng.choice(self.nodes)
        if node.alive:
            node.handle_report(body)

    # -- users -------------------------------------------------------------------------------------

    def leader(self) -> SimNode | None:
        """The node that the leader's key names, if it runs."""
        held = self.state.keys.get(LEAD)
        for node in self.nodes:
            if held is not None and node.member == held[0]["member"] and node.alive:
                return node
        return None

    def submit(self, job: Data) -> Answer:
        """A user submits, and tries again until the answer is final."""
        self.jobs[job["nameId"]] = job
        result = self._any_node(lambda node: node.users.submit(encode(wire(job))))
        if result is None or result[0] in (429, 503):
            self.after(1.0, lambda: self._resubmit(job))
            return result or (503, {}, {})
        if result[0] in (200, 201):
            self.work["jobs"] += job["nameId"] not in self.told
            self._tell(job["nameId"], result[1]["status"])
            self._look_closely(job["nameId"])
        return result

    def _resubmit(self, job: Data) -> None:
        self.submit(job)

    def cancel(self, job_id: str, nodes: list[SimNode] | None = None) -> None:
        """A user cancels, at some node or at one of these, and tries again until the answer is final."""
        result = self._any_node(lambda node: node.users.abort(job_id), nodes)
        if result is None or result[0] != 200:
            self.after(1.0, lambda: self.cancel(job_id, nodes))
            return
        if result[1]["status"] == "cancelled":
            self.cancelled_at.setdefault(job_id, self.now)
        self._tell(job_id, result[1]["status"])
        self._look_closely(job_id)

    def _any_node(
        self, ask: Callable[[SimNode], Answer], nodes: list[SimNode] | None = None
    ) -> Answer | None:
        among = self.nodes if nodes is None else nodes
        alive = [node for node in among if node.alive and not node.frozen and node.zone != self.cut]
        return ask(self.rng.choice(alive)) if alive else None

    def _look_closely(self, job_id: str) -> None:
        """Users ask at all nodes at once, and repeat the submission: none may answer something older."""
        if not self.close_looks:
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
                    self.broken.append(f"forgotten: {job_id} gets {answer[0]} from {node.member}")
                elif answer[0] in (200, 201):
                    self._tell(job_id, answer[1]["status"])

    def ask_oddly(self) -> None:
        """Users repeat submissions, cancel what is done, and send what can't be taken."""
        told = self.rng.choice(sorted(self.told)) if self.told else None
        for node in self.nodes:
            if not node.alive or node.frozen or node.zone == self.cut:
                continue
            if told is not None:
                answer = node.users.submit(encode(wire(self.jobs[told])))
                self._expect_status(answer, (200,), f"repeat of {told}")
                if self.told[told] in ("done", "cancelled"):
                    answer = node.users.abort(told)
                    self._expect_status(answer, (200,), f"cancelling {told}")
                    if answer[0] == 200:
                        self._tell(told, answer[1]["status"])
            odd = wire(submission("job-900000", {"accelerators": 64.0}))
            self._expect_status(node.users.submit(encode(odd)), (422,), "fits no machine")
            del odd["chores"]
            self._expect_status(node.users.submit(encode(odd)), (400,), "lacks a field")
            for answer in (node.users.poll("job-900000"), node.users.abort("job-900000")):
                self._expect_status(answer, (404,), "never submitted")

    def _expect_status(self, answer: Answer, right: tuple[int, ...], what: str) -> None:
        if answer[0] in (429, 503):
            if "Retry-After" not in answer[2]:
                self.broken.append(f"{what}: {answer[0]} without a time to come back")
        elif answer[0] not in right:
            self.broken.append(f"{what}: {answer[0]}")

    def _poll(self) -> None:
        for job_id in list(self.told):
            result = self._any_node(lambda node, asked=job_id: node.users.poll(asked))  # type: ignore[misc]
            if result is None:
                continue
            if result[0] == 404:
                self.broken.append(f"forgotten: {job_id}")
            elif result[0] == 200:
                self.answered_at[job_id] = self.now
                self._tell(job_id, result[1]["status"])

    def _tell(self, job_id: str, status: str) -> None:
        before = self.told.get(job_id)
        if before in ("done", "cancelled") and status != before:
            self.broken.append(f"went_back: {job_id} from {before} to {status}")
        job = self.jobs[job_id]
        if status == "done":
            left = [i for i in range(job["chores"]) if f"{job_id}/{i}" not in self.finished]
            if left:
                self.broken.append(f"not_done: {job_id} lacks {len(left)} tasks")
        self.told[job_id] = status

    # -- rules -------------------------------------------------------------------------------------

    def _completed(self, task: str) -> None:
        self.finished.add(task)
        job = self.jobs[task.rpartition("/")[0]]
        left = [i for i in range(job["chores"]) if f"{job['nameId']}/{i}" not in self.finished]
        if not left and self.cancel_at_end and self.rng.random() < self.cancel_at_end:
            self.cancel(job["nameId"])

    def settled(self) -> list[str]:
        """Jobs that ought to have come to their end, or to run, and have not."""
        up = Counter(task.rpartition("/")[0] for _, task in self._running())
        bad = []
        for job_id, job in self.jobs.items():
            told = self.told.get(job_id)
            if told is None:
                bad.append(f"{job_id} was never accepted")
            elif told == "cancelled" or (job["shape"] != "service" and told == "done"):
                if up[job_id]:
                    bad.append(f"{job_id} is {told} and has {up[job_id]} tasks up")
            elif job["shape"] != "service" or up[job_id] != job["chores"]:
                bad.append(f"{job_id} is {told} with {up[job_id]} tasks up")
        return bad

    def _describe(self, task: str) -> Data | None:
        job = self.jobs.get(task.rpartition("/")[0])
        return job if job is not None and int(task.rpartition("/")[2]) < job["chores"] else None

    def _running(self) -> list[tuple[SimWorker, str]]:
        return [(worker, task) for worker in self.workers.values() for task in worker.on_machine()]

    @staticmethod
    def _allowed(worker: WorkerStandIn, job: Data) -> bool:
        """Whether a job may use a machine, its other tasks aside."""
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
            self.broken.append(f"ran_twice: {task} at {self.now:.1f}")
        allowed = self._allowed(worker, job)
        zones = [w.zone for w, t in self._running() if t.rpartition("/")[0] == job_id]
        if job["samePlace"] and len(set(zones)) > 1:
            allowed = False
        if job["apart"] and zones.count(worker.zone) > (job["chores"] + 1) // 2:
            allowed = False
        if not allowed:
            self.broken.append(f"wrong_place: {task} on {worker.name}")
        self._check()

    def _check_left_alone(self) -> None:
        """Once troubles are over: no question goes unanswered for 75 s, no job waits 90 s beside room."""
        used: Counter[str] = Counter()
        begun = set()
        for _, task in self._running():
            job_id = task.rpartition("/")[0]
            used[self.jobs[job_id]["crew"]] += self.jobs[job_id]["accelerators"]
            begun.add(job_id)
        limits = {team.name: team.gpus_max or float("inf") for team in self.settings.settings.teams}
        for job_id, told in self.told.items():
            job = self.jobs[job_id]
            if self.now - max(self.answered_at.get(job_id, 0.0), self.calm_at) > 75.0:
                self.broken.append(f"forgotten: {job_id} at {self.now:.1f}")
            waits = told == "pending" and job_id not in begun and not job.get("mistake")
            at_once = job["chores"] if job["shape"] == "group" else 1
            under = used[job["crew"]] + job["accelerators"] * at_once <= limits[job["crew"]]
            if not (waits and under and self._have_room(job, at_once)):
                self.waiting_since.pop(job_id, None)
            elif self.now - self.waiting_since.setdefault(job_id, self.now) > 90.0:
                self.broken.append(f"left_waiting: {job_id} at {self.now:.1f}")

    def _have_room(self, job: Data, tasks: int) -> bool:
        """Whether machines have room for so many tasks, in one zone if the job asks for that."""
        rooms: Counter[str] = Counter()
        for worker in self.workers.values():
            if self._allowed(worker, job) and worker.notice_s is None and not worker.faulty:
                rooms[worker.zone if job["samePlace"] else "any"] += worker.room(job, tasks)
        return max(rooms.values(), default=0) >= tasks

    def _check(self) -> None:
        if self.now > self.calm_at:
            self._check_left_alone()
        cancel_s = self.settings.settings.workers.cancel_s
        used: dict[str, float] = {}
        for _, task in self._running():
            job_id = task.rpartition("/")[0]
            job = self.jobs[job_id]
            used[job["crew"]] = used.get(job["crew"], 0.0) + job["accelerators"]
            if self.now > self.cancelled_at.get(job_id, float("inf")) + cancel_s:
                self.broken.append(f"ran_cancelled: {task} at {self.now:.1f}")
        for team in self.settings.settings.teams:
            if team.gpus_max and used.get(team.name, 0.0) > team.gpus_max + 1e-6:
                self.broken.append(f"quota: {team.name} at {self.now:.1f}")


def wire(job: Data) -> Data:
    """A job as its user sends it."""
    return {key: value for key, value in job.items() if key not in ("runs", "mistake")}


def submission(job_id: str, fields: Data) -> Data:
    """A job with every field, and how long its tasks really run."""
    job: Data = {
        "nameId": job_id,
        "lot": "sweep",
        "crew": "alpha",
        "shape": "array",
        "rank": "standard",
        "chores": 2,
        "cpus": 4.0,
        "accelerators": 1.0,
        "memGb": 10.0,
        "bundle": "img-1",
        "sizeGb": 5.0,
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
    job.setdefault("runs", job["guessS"])
    if job["shape"] == "service":
        job["guessS"] = 0.0
    return msgspec.convert(job, dict[str, Any])
