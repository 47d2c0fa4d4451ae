"""One controller node: its threads, and what connects them."""

from __future__ import annotations

import logging
import random
import threading
import time
from collections import deque
from collections.abc import Callable, Iterable
from typing import Any

import msgspec

from poppyhold.authority import Authority
from poppyhold.cancellations import Cancellation
from poppyhold.cloud import CloudClient, CloudThread
from poppyhold.context import Data, Hints, Passed, Times
from poppyhold.controller import Controller, Snapshot
from poppyhold.deputy import Deputies, Deputy, Trust
from poppyhold.election import Election, Leader, Term
from poppyhold.http import Answer, Deferred, Server, answer
from poppyhold.messages import MachineType, MachineTypes, Malformed, Report, convert, decode, parse_report
from poppyhold.options import Options
from poppyhold.peers import Peers, Ping, Pong
from poppyhold.settings import Settings, split_address
from poppyhold.store import (
    ACTIVE,
    DONE_STRETCHES,
    DONE_TASKS,
    HIRE,
    MACHINE,
    MACHINE_TYPES,
    MORE_MACHINE_TYPES,
    PLAN,
    Committer,
    Conflict,
    Entry,
    Gone,
    Refused,
    Store,
    Unit,
    Unsure,
    Watch,
    grouped,
    put,
    stored_bytes,
)
from poppyhold.users import Users
from poppyhold.workers import Done, Senders

log = logging.getLogger(__name__)

Work = Callable[[], None]

# A worker waits so long for the answer to a report.
_WORKER_PATIENCE_S = 4.0

# What the decision thread does first: the ranks that the operators ask for.
REPORTS, DECISIONS, SUBMISSIONS = 0, 1, 2


class RankedQueue:
    """Work for the decision thread, bounded, lowest rank first, and in order within a rank.

    Behind some work the thread naps for a moment instead of being woken for the next: where hundreds of
    events come each second, waking it for every one costs more than what it then does.
    """

    def __init__(self, most: int, nap_s: float) -> None:
        self._most, self._nap_s = most, nap_s
        self._queues: tuple[deque[Work], ...] = (deque(), deque(), deque())
        self._wake = threading.Condition(threading.Lock())
        self._waiting = self._closed = False
        self._napped = True

    def put(self, rank: int, work: Work) -> bool:
        """Queue work; False if it is closed, or too much of a rank that may be turned away is waiting."""
        with self._wake:
            if self._closed or (rank == REPORTS and len(self._queues[rank]) >= self._most):
                return False
            self._queues[rank].append(work)
            if self._waiting:
                self._wake.notify()
        return True

    def get(self, timeout: float) -> Work | None:
        """The next work, or None when the time is up."""
        work = self._next()
        if work is None and not self._napped:
            self._napped = True
            nap_s = min(self._nap_s, timeout)
            time.sleep(nap_s)
            timeout -= nap_s
            work = self._next()
        if work is None and timeout > 0:
            with self._wake:
                if not any(self._queues):
                    self._waiting = True
                    self._wake.wait(timeout)
                    self._waiting = False
            work = self._next()
        if work is not None:
            self._napped = False
        return work

    def _next(self) -> Work | None:
        with self._wake:
            return next((waiting.popleft() for waiting in self._queues if waiting), None)

    def close(self) -> list[Work]:
        """Take nothing more, and drop what is left but reports, which somebody waits for."""
        with self._wake:
            self._closed = True
            reports = list(self._queues[REPORTS])
            for waiting in self._queues:
                waiting.clear()
            self._wake.notify()
        return reports

    def __len__(self) -> int:
        return sum(map(len, self._queues))


def machine_type_records(machine_types: Iterable[MachineType], most_bytes: int) -> list[Data]:
    """The writes that make machine types durable: as many in the first record as fit, the rest in more."""
    records: list[Data] = []
    held: list[Data] = []
    for machine_type in machine_types:
        data: Data = msgspec.to_builtins(machine_type)
        if held and stored_bytes({"builds": [*held, data]}) > most_bytes:
            records.append({"builds": held})
            held = []
        held.append(data)
    records.append({"builds": held})
    keys = [MACHINE_TYPES, *(f"{MORE_MACHINE_TYPES}{number}" for number in range(1, len(records)))]
    return [put(key, record) for key, record in zip(keys, records, strict=True)]


class LeaderTerm:
    """One term of leading: the decision thread and the edges that serve it."""

    def __init__(self, node: Node, term: Term) -> None:
        self._node, self._term = node, term
        self.alive = True
        limits, workers = node.settings.settings.machine_limits, node.settings.settings.workers
        self._queue = RankedQueue(limits.max_sockets, workers.report_s / 100)
        self._committer = Committer(node.store, node.settings, term.version, self._lost)
        self._senders = Senders(node.settings)
        self._cloud: CloudThread | None = None
        self._watch: Watch | None = None
        self._counts: dict[str, tuple[int, int]] = {}
        self._hints: Hints = {}
        times = Times(node.settings, node.options)
        members = [node.settings.member, *(known.member for known in node.settings.known)]
        self.authority = Authority(times.blind_answers_s, members, term.began_at)
        self.deputies = Deputies(times, node.skew_s)
        self.trust: Trust | None = None
        self.controller = Controller(
            node.settings, node.options, self, term.token, time.monotonic, time.time, node.rng
        )
        self._tick_s = node.settings.settings.workers.report_s / 4
        self._ready = threading.Event()
        self._thread = threading.Thread(target=self._run, name="decisions", daemon=True)
        self._thread.start()

    # -- the decision thread -------------------------------------------------------------------------

    def _run(self) -> None:
        try:
            snapshot, entries = self._read()
        except Exception:
            log.exception("could not read what is durable")
            self._node.election.resign("the state could not be read")
            return
        if not self.alive:
            return
        self.controller.load(snapshot, self._node.machine_types.values(), dict(self._node.peer_hints))
        self._cloud = CloudThread(
            self._node.settings, self._node.cloud, self._on_machine_types, self._on_listed
        )
        self._watch = Watch(
            self._node.store,
            ACTIVE,
            self._node.settings.settings.workers.lease_s / 5,
            self._on_resync,
            self._on_job,
            on_synced=self._on_synced,
        ).start()
        log.info("rebuilt: %d jobs, %d machines", len(entries), len(snapshot.machines))
        self._ready.set()
        tick_at = time.monotonic()
        while self.alive:
            now = time.monotonic()
            wake_at = tick_at
            if self.controller.ctx.dirty and self.controller.settle_at > now:
                wake_at = min(tick_at, self.controller.settle_at)
            work = self._queue.get(max(0.0, wake_at - now))
            try:
                if work is not None:
                    work()
                if time.monotonic() >= tick_at:
                    self.controller.tick()
                    self._ask_ourselves()
                    self._counts = self.controller.counts()
                    self._hints = self.controller.hints()
                    self._vouch()
                    tick_at = time.monotonic() + self._tick_s
                if not len(self._queue):
                    self.controller.settle()
            except Exception:
                log.exception("decision")

    def _read(self) -> tuple[Snapshot, list[Entry]]:
        while self.alive:
            try:
                scan = self._node.store.scan
                active = scan(ACTIVE)[0]
                return (
                    Snapshot(
                        active,
                        grouped(scan(PLAN)[0], PLAN),
                        {prefix: grouped(scan(prefix)[0], prefix) for prefix in (DONE_TASKS, DONE_STRETCHES)},
                        grouped(scan(HIRE)[0], HIRE),
                        grouped(scan(MACHINE)[0], MACHINE),
                    ),
                    active,
                )
            except (Refused, Unsure) as error:
                log.debug("reading: %s", error)
                time.sleep(self._node.store.timeout / 4)
        return Snapshot(), []

    def _post(self, rank: int, work: Work) -> bool:
        return self.alive and self._queue.put(rank, work)

    def _on_resync(self, entries: list[Entry]) -> None:
        self._post(DECISIONS, lambda: self.controller.resync(entries))

    def _on_job(self, change: Entry | str, version: int) -> None:
        if isinstance(change, Entry):
            self._post(SUBMISSIONS, lambda: self.controller.job_set(change))
        else:
            # A cancellation is not a submission: it is acted on with the decisions.
            self._post(DECISIONS, lambda: self.controller.job_removed(change))

    def _on_synced(self, asked: float, ledger: int) -> None:
        # In line behind the changes that it stands for.
        self._post(DECISIONS, lambda: self.authority.synced(asked, ledger))

    def told(self, pong: Pong, asked: float) -> None:
        """Another controller answered which cancellations it told."""
        self._post(DECISIONS, lambda: self._act_on(pong.member, pong.cancelled, pong.bound, asked))

    def _act_on(self, member: str, cancelled: Iterable[Cancellation], bound: int, asked: float) -> None:
        """Stop what a controller told as cancelled: it is durable, whether or not we can see it there."""
        for job_id, _ in cancelled:
            self.controller.job_removed(ACTIVE + job_id)
        self.authority.learned(member, asked, bound)

    def _ask_ourselves(self) -> None:
        """What our own users' edge told may not have come back to us when the state service refuses us."""
        asked = time.monotonic()
        self._node.users.cancellations.known(self.authority.ledger)
        named, bound = self._node.cancellations_told()
        self._act_on(self._node.settings.member, named, bound, asked)

    def _vouch(self) -> None:
        """Note what the other controllers may count on, should they lose us."""
        sure_at = min(self.authority.synced_at, self.confirmed_at())
        excluded_machines = self.controller.excluded_machines()
        if excluded_machines is None or sure_at == float("-inf"):
            self.trust = None
            return
        known_wall = time.time() - (time.monotonic() - sure_at)
        self.trust = Trust(self.controller.ctx.token, known_wall, excluded_machines)

    def _on_machine_types(self, machine_types: list[MachineType]) -> None:
        self._node.learn_machine_types(machine_types, publish=True)
        self._post(DECISIONS, lambda: self.controller.machine_types(machine_types))

    def _on_listed(self, boxes: list[Any]) -> None:
        self._post(DECISIONS, lambda: self.controller.listed(boxes))

    def _lost(self) -> None:
        self._node.election.deposed("a write was refused under our key")

    def stop(self) -> None:
        """End the term: nothing of it is answered or sent from now on."""
        self.alive = False
        self._committer.stop()
        self._senders.stop()
        if self._cloud is not None:
            self._cloud.stop()
        if self._watch is not None:
            self._watch.stop()
        # Reports that still wait are turned away.
        for work in self._queue.close():
            work()

    # -- reports -------------------------------------------------------------------------------------

    def handle_report(self, report: Report, timeout: float) -> Deferred | None:
        """Have a report answered by the decision thread; None if that can't be."""
        # A worker that is turned away comes back a second later, when its lease may be over: while the
        # fleet's state is read it had better wait.
        if not self._ready.wait(timeout):
            return None
        # Nobody waits for the answer behind this: work on it would only hold up the reports that come after.
        late_at = time.monotonic() + timeout

        def defer(send: Callable[[Answer], None]) -> None:
            def work() -> None:
                reply: Data | None = None
                try:
                    if self.alive and time.monotonic() < late_at and self.may_answer():
                        reply = self.controller.handle_report(report)
                finally:
                    send(answer(200, reply) if reply is not None else self._node.turned_away())

            if not self._post(REPORTS, work):
                send(self._node.turned_away())

        return defer

    def may_answer(self) -> bool:
        """Whether workers may be given another lease."""
        return self.authority.may_answer(time.monotonic(), self.confirmed_at())

    def counts(self) -> dict[str, tuple[int, int]]:
        """Done and running tasks by job, as of the last tick."""
        return self._counts

    def hints(self) -> Hints:
        """The machines' images, as of the last tick."""
        return self._hints

    # -- the edges of the core -----------------------------------------------------------------------

    def commit(
        self,
        conditions: dict[str, int],
        writes: list[Data],
        done: Callable[[bool], None],
        first: bool = False,
    ) -> None:
        """See `Edges`."""

        def durable(result: bool) -> None:
            self._post(DECISIONS, lambda: done(result))

        self._committer.submit(Unit(conditions, writes, durable), first)

    def do(self, box: str, endpoint: str, body: Data, done: Done, patient: bool) -> None:
        """See `Edges`."""

        def answered(outcome: str, report: Report | None) -> None:
            self._post(DECISIONS, lambda: done(outcome, report))

        self._senders.send(endpoint, body, answered, patient)

    def hire(self, body: Data, done: Callable[[str, list[str]], None]) -> None:
        """See `Edges`."""

        def answered(outcome: str, boxes: list[str]) -> None:
            self._post(DECISIONS, lambda: done(outcome, boxes))

        if self._cloud is not None:
            self._cloud.hire(body, answered)

    def delete(self, names: list[str], done: Callable[[bool], None]) -> None:
        """See `Edges`."""

        def deleted(result: bool) -> None:
            self._post(DECISIONS, lambda: done(result))

        if self._cloud is not None:
            self._cloud.delete(names, deleted)

    def deposed(self, token: int) -> None:
        """See `Edges`."""
        self._node.election.saw_token(token)

    def raised(self, token: int) -> None:
        """See `Edges`."""
        self._node.election.raised(token)

    def resign(self, why: str) -> None:
        """See `Edges`."""
        threading.Thread(target=self._node.election.resign, args=(why,), daemon=True).start()

    def over(self, job_id: str, status: str, tasks: int) -> None:
        """See `Edges`."""
        self._node.users.finals.put(job_id, (status, tasks))

    def passed_on(self) -> list[list[Passed]]:
        """See `Edges`."""
        return [view.passed for view in self._node.peers.views.values()]

    def may_start(self) -> bool:
        """See `Edges`."""
        election = self._node.election
        now = time.monotonic()
        # Both our lead and our knowledge of cancellations must be fresh.
        return (
            self.alive
            and now - election.confirmed_at < election.life_s
            and now - self.authority.synced_at < election.life_s * 2
        )

    def confirmed_at(self) -> float:
        """See `Edges`."""
        return self._node.election.confirmed_at if self.alive else float("-inf")

    def deputies_until(self) -> float:
        """See `Edges`."""
        return self.deputies.until(time.monotonic())


class Node:
    """A controller: routes requests, and leads when elected."""

    def __init__(self, settings: Settings, options: Options) -> None:
        self.settings, self.options = settings, options
        self.skew_s = settings.settings.skew_ms / 1000
        self.rng = random.Random()
        self.store = Store(settings)
        self.cloud = CloudClient(settings)
        self.machine_types: dict[str, MachineType] = {}
        self._machine_types_published: object = None
        self._peer_counts: dict[str, tuple[int, int]] = {}
        self.peer_hints: Hints = {}
        self.users = Users(settings, self.store, lambda: self.machine_types, self._count)
        self._passed_on: dict[str, tuple[float, Passed]] = {}
        self._deposed_at = float("-inf")
        self._idle_leader: Leader | None = None
        self._leader_term: LeaderTerm | None = None
        self._leader_term_lock = threading.Lock()
        self._stop = threading.Event()
        self._started_at = time.monotonic()
        self.election = Election(settings, options, self.store, self._elected, self._deposed, self.rng)
        self.peers = Peers(
            settings,
            self._describe,
            self._counts,
            self._hints,
            self._reply,
            self._on_pong,
            self._refused,
            self._deputies,
        )
        workers = settings.settings.workers
        times = Times(settings, options)
        self.deputy = Deputy(times, self.skew_s, time.monotonic, time.time)
        # Behind this a worker has given up the answer, as PROTOCOL says: it comes at once or not at all.
        self._report_timeout = min(workers.report_s * 2.5, _WORKER_PATIENCE_S * 0.75)
        # A worker that is not told where to go tries another node a second later. Where all nodes have just
        # come back, that second decides whether leases end; an election takes far less.
        self._naming_s = workers.report_s / 2
        self._ready_s = workers.lease_s * 0.35
        self.server = Server(
            split_address(settings.client_listen),
            self.route,
            settings.settings.machine_limits.connections,
            # A worker that has been silent for a lease reports somewhere else, or over a new connection.
            workers.lease_s,
        )

    def run(self) -> None:
        """Serve until stopped."""
        threading.Thread(target=self.server.serve_forever, name="http", daemon=True).start()
        self.peers.start()
        self.election.watch.start()
        self._learn()
        if not self._stop.is_set():
            self.election.start()
        self._stop.wait()

    def stop(self) -> None:
        """End every thread."""
        self._stop.set()
        self.election.stop()
        self.peers.stop()
        self.server.close_all()

    # -- machine types -------------------------------------------------------------------------------

    def _learn(self) -> None:
        """Machine types come first: without them we can neither judge jobs nor know machines."""
        pause = self.store.timeout / 4
        while not self.machine_types and not self._stop.is_set():
            try:
                entry = self.store.get(MACHINE_TYPES)
                if entry is not None:
                    records = [entry, *self.store.scan(MORE_MACHINE_TYPES)[0]]
                    stored = [
                        machine_type
                        for record in records
                        for machine_type in convert(record.data, MachineTypes).machine_types
                    ]
                    self.learn_machine_types(stored, publish=False)
                    return
            except (Refused, Unsure, Malformed) as error:
                log.debug("machine types: %s", error)
            machine_types = self.cloud.machine_types()
            if machine_types:
                self.learn_machine_types(machine_types, publish=False)
                return
            self._stop.wait(self.rng.uniform(pause, pause * 3))

    def learn_machine_types(self, machine_types: list[MachineType], publish: bool) -> None:
        """Keep the machine types; the leader makes them durable for nodes that start without a cloud."""
        self.machine_types = {
            **self.machine_types,
            **{machine_type.name: machine_type for machine_type in machine_types},
        }
        shapes = [
            (b.name, b.cpus, b.accelerators, b.memory_gb, tuple(b.zones)) for b in self.machine_types.values()
        ]
        if publish and shapes != self._machine_types_published:
            try:
                limits = self.settings.settings.state.lowest
                for record in machine_type_records(self.machine_types.values(), limits.value_bytes):
                    self.store.commit({}, [record])
                self._machine_types_published = shapes
            except (Refused, Unsure, Conflict, Gone) as error:
                log.debug("machine types: %s", error)

    # -- leading -------------------------------------------------------------------------------------

    def _elected(self, term: Term) -> None:
        with self._leader_term_lock:
            if self._leader_term is not None:
                self._leader_term.stop()
            self._leader_term = LeaderTerm(self, term)

    def _deposed(self) -> None:
        with self._leader_term_lock:
            leader_term, self._leader_term = self._leader_term, None
            if leader_term is not None:
                leader_term.stop()

    def _counts(self) -> dict[str, tuple[int, int]]:
        leader_term = self._leader_term
        return leader_term.counts() if leader_term is not None else {}

    def _hints(self) -> Hints:
        leader_term = self._leader_term
        return leader_term.hints() if leader_term is not None else {}

    def _deputies(self) -> Deputies | None:
        leader_term = self._leader_term
        return leader_term.deputies if leader_term is not None else None

    def _count(self, job_id: str) -> tuple[int, int] | None:
        leader_term = self._leader_term
        counts = leader_term.counts() if leader_term is not None else self._peer_counts
        return counts.get(job_id)

    # -- peers ---------------------------------------------------------------------------------------

    def _describe(self) -> Ping:
        term = self.election.term
        age = time.monotonic() - max(self.store.contact_at, self._started_at)
        workers = len(self._workers_passed_on())
        leader_term = self._leader_term
        trust = leader_term.trust if leader_term is not None and leader_term.alive else None
        known = leader_term.authority.ledger if leader_term is not None else -1
        named, unnamed = self.cancellations_told()
        told = unnamed if unnamed < 0 else max([unnamed, *(revision for _, revision in named)])
        token = term.token if term else 0
        return Ping(
            self.settings.member, token, term is not None, age, told, workers, trust=trust, known=known
        )

    def cancellations_told(self) -> tuple[list[Cancellation], int]:
        """Cancellations that we told users of, as `Cancellations.named` says."""
        return self.users.cancellations.named(self.election.watch.first_ledger)

    def _reply(self, ping: Ping) -> Pong:
        self._on_ping(ping)
        us = self._describe()
        named: list[Cancellation] = []
        unnamed: int | None = None
        passed = self._workers_passed_on() if ping.leading else []
        if ping.leading and ping.known >= 0:
            self.users.cancellations.known(ping.known)
            # Read behind `us`: what is told in between is named as well.
            named, unnamed = self.cancellations_told()
        return Pong(
            us.member, us.token, us.leading, us.state_age_s, us.told, us.workers, named, unnamed, passed
        )

    def _on_ping(self, ping: Ping) -> None:
        if ping.leading:
            self.election.saw_token(ping.token)
            self.deputy.heard(ping.token, ping.trust)
            counts = dict(self._peer_counts)
            counts.update({job: (done, running) for job, done, running in ping.counts})
            while len(counts) > self.settings.settings.machine_limits.ram_mb * 100:
                counts.pop(next(iter(counts)))
            self._peer_counts = counts
            for box, held in ping.images:
                self.peer_hints.pop(box, None)
                self.peer_hints[box] = held
            while len(self.peer_hints) > self.settings.settings.machine_limits.max_sockets:
                self.peer_hints.pop(next(iter(self.peer_hints)))

    def _on_pong(self, pong: Pong, asked: float) -> None:
        if pong.leading:
            self.election.saw_token(pong.token)
            return
        # Only who does not lead: what one told that does says nothing of what others tell under its lead.
        leader_term = self._leader_term
        if leader_term is not None:
            leader_term.told(pong, asked)
        leader = self.election.leader
        # It runs, and leads nothing: the key is that of a process before it.
        if leader is None or leader.member != pong.member or pong.token:
            return
        if self._idle_leader == leader:
            # Told twice, so it is not that the answer and the election crossed.
            self._idle_leader = None
            self.election.depose(leader)
        else:
            self._idle_leader = leader

    def _refused(self, member: str) -> None:
        leader = self.election.leader
        if leader is None or leader.member != member or self.election.term is not None:
            return
        # A refusal alone proves nothing: a packet filter between controllers refuses as well, and three
        # nodes that each depose whoever they can't reach would never let one lead. So a refusal counts
        # by itself once in a good while, and else only if workers have turned away from the leader too.
        now = time.monotonic()
        lease_s = self.settings.settings.workers.lease_s
        quiet = now - self._deposed_at
        if quiet > 6 * lease_s or (quiet > lease_s and len(self._workers_passed_on()) > 1):
            self._deposed_at = now
            self.election.depose(leader)

    # -- requests ------------------------------------------------------------------------------------

    def route(self, method: str, path: str, body: bytes) -> Answer | Deferred:
        """Answer a request of a user, a worker or the load balancer."""
        path = path.partition("?")[0]
        if path == "/hello":
            return self._handle_report(body) if method == "POST" else self._wrong("POST")
        if path == "/ready":
            return self._is_ready() if method == "GET" else self._wrong("GET")
        if path == "/api/jobs":
            return self.users.submit(body) if method == "POST" else self._wrong("POST")
        if path.startswith("/api/jobs/"):
            job_id, _, action = path.removeprefix("/api/jobs/").partition("/")
            if not action:
                return self.users.poll(job_id) if method == "GET" else self._wrong("GET")
            if action == "abort":
                return self.users.abort(job_id) if method == "POST" else self._wrong("POST")
        return answer(404, {"error": "no such path"})

    def _workers_passed_on(self) -> list[Passed]:
        """Workers that turned to us in the last moments, though they follow a leader."""
        recent = time.monotonic() - self.settings.settings.workers.lease_s / 2
        return [passed for at, passed in list(self._passed_on.values()) if at > recent]

    def _pass_on(self, report: Report) -> None:
        self._passed_on.pop(report.machine, None)
        self._passed_on[report.machine] = time.monotonic(), (report.machine, report.session, report.sequence)
        if len(self._passed_on) > self.settings.settings.machine_limits.max_sockets:
            self._passed_on.pop(next(iter(self._passed_on)), None)

    @staticmethod
    def _wrong(allowed: str) -> Answer:
        return answer(405, {"error": "method"}, Allow=allowed)

    def _is_ready(self) -> Answer:
        # One that alone has lost the state service should not be sent users. In an outage every node is
        # as good as another, and none may say otherwise: balancers are slow to take a node back. Nodes
        # hear from the state service at different moments, so only a clear lead of a peer counts.
        ours = max(self.store.contact_at, self._started_at)
        behind = any(view.contact_at - ours > self._ready_s for view in self.peers.views.values())
        if not self.machine_types or behind:
            return answer(503, {"error": "not ready"}, Retry_After="1")
        return answer(200, {"member": self.settings.member})

    def _handle_report(self, body: bytes) -> Answer | Deferred:
        try:
            report = parse_report(decode(body))
        except Malformed as error:
            return answer(400, {"error": str(error)})
        reply = self._answer_report(report)
        if reply is not None:
            return reply
        if report.token:
            known = self.election.leader
            deputed = self.deputy.may_answer(report, self.store.contact_at, known.token if known else 0)
            if deputed is not None:
                return answer(200, {"baton": deputed, "orders": []})
            # A new machine's worker begins with any node; one that has a token has left its leader.
            self._pass_on(report)
        leader = self.election.await_leader(self._naming_s)
        # The election may have named us meanwhile.
        return self._answer_report(report) or self._elsewhere(leader)

    def _answer_report(self, report: Report) -> Answer | Deferred | None:
        """The leader's answer; None if we don't lead."""
        leader_term = self._leader_term
        if leader_term is None:
            return None
        return leader_term.handle_report(report, self._report_timeout) or self.turned_away()

    def turned_away(self) -> Answer:
        """The answer to a report that we can't take as the leader."""
        if self._leader_term is not None:
            return answer(503, {"error": "not entitled now"})
        return self._elsewhere(self.election.leader)

    def _elsewhere(self, leader: Leader | None) -> Answer:
        if leader is None or leader.member == self.settings.member:
            return answer(421)
        return answer(421, {"foreman": leader.member})
