"""One term of leading: the decision thread and what serves it."""

from __future__ import annotations

import logging
import random
import threading
import time
from collections.abc import Callable, Iterable, Sequence
from http import HTTPStatus
from typing import Protocol

from poppyhold.cluster.authority import Authority
from poppyhold.cluster.cancellations import Cancellation
from poppyhold.cluster.election import Election, Term
from poppyhold.cluster.lease_delegation import DelegationTracker, LeaseDelegation
from poppyhold.cluster.peer_messages import Pong
from poppyhold.cluster.peers import Peers
from poppyhold.concurrency.priority_queue import DECISIONS, HEARTBEATS, SUBMISSIONS, PriorityQueue, Work
from poppyhold.durable.changes import Entry, WatchEvent, Write
from poppyhold.durable.committer import Committer, CommitUnit
from poppyhold.durable.errors import OutcomeUnknownError, StoreRejectedError
from poppyhold.durable.keys import ACTIVE_JOB_PREFIX
from poppyhold.durable.snapshot import Snapshot, SnapshotReader
from poppyhold.durable.store import Store
from poppyhold.durable.watch import Watch
from poppyhold.model.context import ImageHints
from poppyhold.model.durations import Durations
from poppyhold.model.outbound import CommitPriority, Data, MisdirectedWorker
from poppyhold.model.outcome import RequestOutcome
from poppyhold.node.cloud import CloudClient
from poppyhold.node.cloud_thread import CloudThread
from poppyhold.node.controller import Controller
from poppyhold.node.machine_catalog import MachineCatalog
from poppyhold.node.users import Users
from poppyhold.node.workers import Done, Senders
from poppyhold.options import Options
from poppyhold.quota.edge import QuotaEdge
from poppyhold.quota.messages import Answer as QuotaAnswer
from poppyhold.quota.messages import Opening as QuotaOpening
from poppyhold.relay.assignment import Assignment
from poppyhold.relay.leader import RelayServer
from poppyhold.settings import Settings
from poppyhold.wire.cloud_messages import MachineListing, MachineType
from poppyhold.wire.http_server import DeferredResponse, HttpResponse, http_response
from poppyhold.wire.worker_messages import Heartbeat, HeartbeatResponse

log = logging.getLogger(__name__)

# Share of the connections that workers may take which had better not depend on relays; the rest is for users.
DIRECT_SHARE = 0.85


class Host(Protocol):
    """What a term uses of the controller that leads."""

    settings: Settings
    options: Options
    skew_s: float
    rng: random.Random
    store: Store
    cloud: CloudClient
    users: Users
    election: Election
    peers: Peers
    catalog: MachineCatalog
    peer_image_hints: ImageHints

    def confirmed_cancellations(self) -> tuple[list[Cancellation], int]:
        """Cancellations that were confirmed to users here."""

    def turned_away(self) -> HttpResponse:
        """The answer to a report that can't be taken."""


class LeaderTerm:
    """One term of leading: the decision thread and the edges that serve it."""

    def __init__(self, node: Host, term: Term) -> None:
        self._node, self._term = node, term
        self.alive = True
        limits, workers = node.settings.settings.machine_limits, node.settings.settings.workers
        self._queue = PriorityQueue(limits.max_sockets, workers.heartbeat_interval_s / 100)
        self._committer = Committer(node.store, node.settings, term.key_revision, self._lost)
        self._senders = Senders(node.settings)
        self._cloud: CloudThread | None = None
        self._watch: Watch | None = None
        self._counts: dict[str, tuple[int, int]] = {}
        self._image_hints: ImageHints = {}
        times = Durations(node.settings, node.options)
        members = [node.settings.member, *(known.member for known in node.settings.known)]
        self.authority = Authority(times.unconfirmed_renewal_s, members, term.began_at)
        self.delegations = DelegationTracker(times, node.skew_s)
        self.delegation: LeaseDelegation | None = None
        self.controller = Controller(
            node.settings, node.options, self, term.fencing_token, time.monotonic, time.time, node.rng
        )
        self._assignment = Assignment(
            node.options.relays.mode,
            limits.connections * node.options.relays.from_share,
            limits.connections * DIRECT_SHARE,
            node.settings.member,
            node.settings.domain,
            times,
            time.monotonic,
            node.rng,
        )
        self.relays = RelayServer(
            self._post, self.answer_heartbeat, self.controller.answered_at, self._assignment, workers
        )
        self.quota_edge: QuotaEdge | None = None
        quota, cells = self.controller.quota, node.options.cells
        if quota is not None and cells is not None:
            self.quota_edge = QuotaEdge(quota, cells, node.settings, self._post, node.rng)
        self._tick_s = node.settings.settings.workers.heartbeat_interval_s / 4
        self._ready = threading.Event()
        self._thread = threading.Thread(target=self._run, name="decisions", daemon=True)
        self._thread.start()

    # -- the decision thread -------------------------------------------------------------------------

    def _run(self) -> None:
        began_at = time.monotonic()
        try:
            snapshot = self._read()
        except Exception:
            log.exception("could not read what is durable")
            self._node.election.resign("the state could not be read")
            return
        if not self.alive:
            return
        read_at = time.monotonic()
        # Before all else: relays whose workers wait connect while the rest is made ready.
        self.relays.review(snapshot.machines.keys())
        self.controller.load(snapshot, self._node.catalog.types.values(), dict(self._node.peer_image_hints))
        self._cloud = CloudThread(
            self._node.settings, self._node.cloud, self._on_machine_types, self._on_listed
        )
        self._watch = Watch(
            self._node.store,
            ACTIVE_JOB_PREFIX,
            self._node.settings.settings.workers.lease_s / 5,
            self._on_resync,
            self._on_job,
            on_caught_up=self._on_caught_up,
        ).start()
        self.relays.review(self.controller.ctx.fleet.machines.keys())
        log.info(
            "rebuilt: %d jobs, %d machines; read in %.1f s, ready %.1f s later",
            len(snapshot.active),
            len(snapshot.machines),
            read_at - began_at,
            time.monotonic() - read_at,
        )
        self._ready.set()
        if self.quota_edge is not None:
            self.quota_edge.start()
        self._decide()

    def _decide(self) -> None:
        """Take events by rank until the term is over."""
        tick_at = time.monotonic()
        while self.alive:
            now = time.monotonic()
            wake_at = tick_at
            if self.controller.ctx.scheduling_needed and self.controller.settle_at > now:
                wake_at = min(tick_at, self.controller.settle_at)
            work = self._queue.get(max(0.0, wake_at - now))
            try:
                if work is not None:
                    work()
                if time.monotonic() >= tick_at:
                    self._tick()
                    tick_at = time.monotonic() + self._tick_s
                if not len(self._queue):
                    self.controller.settle()
                if self.quota_edge is not None:
                    self.quota_edge.publish()
            except Exception:
                log.exception("decision")

    def _tick(self) -> None:
        """What time alone brings about, and what other threads read of it."""
        self.controller.tick()
        self._ask_ourselves()
        self._counts = self.controller.counts()
        self._image_hints = self.controller.image_hints()
        self.relays.review(self.controller.ctx.fleet.machines.keys())
        self._vouch()
        if self.quota_edge is not None:
            self.quota_edge.tick()

    def _read(self) -> Snapshot:
        reader = SnapshotReader(self._node.store, with_quota=self._node.options.cells is not None)
        while self.alive:
            try:
                return reader.read()
            except (StoreRejectedError, OutcomeUnknownError) as error:
                log.debug("reading: %s", error)
                time.sleep(self._node.store.timeout / 4)
        return Snapshot()

    def _post(self, priority: int, work: Work) -> bool:
        return self.alive and self._queue.put(priority, work)

    def _on_resync(self, entries: list[Entry]) -> None:
        self._post(DECISIONS, lambda: self.controller.resync(entries))

    def _on_job(self, change: WatchEvent) -> None:
        if isinstance(change, Entry):
            self._post(SUBMISSIONS, lambda: self.controller.job_set(change))
        else:
            # A cancellation is not a submission: it is acted on with the decisions.
            self._post(DECISIONS, lambda: self.controller.job_removed(change.key))

    def _on_caught_up(self, asked: float, revision: int) -> None:
        # In line behind the changes that it stands for.
        self._post(DECISIONS, lambda: self.authority.observe_watch(asked, revision))

    def peer_answered(self, pong: Pong, asked: float) -> None:
        """Another controller answered which cancellations it confirmed to users."""
        self._post(
            DECISIONS, lambda: self._act_on(pong.member, pong.cancellations, pong.cancellations_bound, asked)
        )

    def _act_on(self, member: str, cancelled: Iterable[Cancellation], bound: int, asked: float) -> None:
        """Stop what a controller confirmed as cancelled: it is durable, seen here or not."""
        for job_id, _ in cancelled:
            self.controller.job_removed(ACTIVE_JOB_PREFIX + job_id)
        self.authority.observe_peer(member, asked, bound)

    def _ask_ourselves(self) -> None:
        """What our own edge confirmed may not have come back to us when the state service refuses us."""
        asked = time.monotonic()
        self._node.users.cancellations.acknowledge(self.authority.acted_on_revision)
        named, bound = self._node.confirmed_cancellations()
        self._act_on(self._node.settings.member, named, bound, asked)

    def _vouch(self) -> None:
        """Note what the other controllers may count on, should they lose us."""
        sure_at = min(self.authority.watch_caught_up_at, self.leadership_confirmed_at())
        excluded_machines = self.controller.excluded_machines()
        if excluded_machines is None or sure_at == float("-inf"):
            self.delegation = None
            return
        known_wall = time.time() - (time.monotonic() - sure_at)
        self.delegation = LeaseDelegation(self.controller.ctx.fencing_token, known_wall, excluded_machines)

    def _on_machine_types(self, machine_types: list[MachineType]) -> None:
        self._node.catalog.learn(machine_types)
        self._node.catalog.publish()
        self._post(DECISIONS, lambda: self.controller.machine_types(machine_types))

    def _on_listed(self, listing: MachineListing) -> None:
        self._post(DECISIONS, lambda: self.controller.listed(listing))

    def _lost(self) -> None:
        self._node.election.step_down("a write was refused under our key")

    def stop(self) -> None:
        """End the term: nothing of it is answered or sent from now on."""
        self.alive = False
        self._committer.stop()
        self._senders.stop()
        self.relays.close()
        if self.quota_edge is not None:
            self.quota_edge.stop()
        if self._cloud is not None:
            self._cloud.stop()
        if self._watch is not None:
            self._watch.stop()
        # Reports that still wait are turned away.
        for work in self._queue.close():
            work()

    def answer_cell(self, message: QuotaOpening, timeout_s: float) -> QuotaAnswer | None:
        """Answer another cell's leader or an operator; None: not in time."""
        return self.quota_edge.answer(message, timeout_s) if self.quota_edge is not None else None

    # -- reports -------------------------------------------------------------------------------------

    def handle_heartbeat(self, heartbeat: Heartbeat, timeout: float) -> DeferredResponse | None:
        """Have a report answered by the decision thread; None if that can't be."""
        # A worker that is turned away comes back a second later, when its lease may be over: while the
        # fleet's state is read it had better wait.
        if not self._ready.wait(timeout):
            return None
        # Nobody waits for the answer behind this: work on it would only hold up the reports that come after.
        late_at = time.monotonic() + timeout

        def defer(send: Callable[[HttpResponse], None]) -> None:
            def work() -> None:
                result = self._node.turned_away()
                try:
                    result = self._answer_directly(heartbeat, late_at) or result
                finally:
                    send(result)

            if not self._post(HEARTBEATS, work):
                send(self._node.turned_away())

        return defer

    def _answer_directly(self, heartbeat: Heartbeat, late_at: float) -> HttpResponse | None:
        """The answer to a report that came here directly; None if there can't be one."""
        relay = self._assignment.assign(
            heartbeat.machine, heartbeat.zone, self.controller.answered_at(heartbeat.machine)
        )
        if relay is not None:
            return http_response(HTTPStatus.MISDIRECTED_REQUEST, {"foreman": relay})
        answered = self.answer_heartbeat(heartbeat, late_at)
        return http_response(HTTPStatus.OK, answered.body()) if answered is not None else None

    def answer_heartbeat(self, heartbeat: Heartbeat, late_at: float) -> HeartbeatResponse | None:
        """On the decision thread: the answer to a report, whichever way it came; None if there can't be one.

        Behind ``late_at`` nobody waits for it.
        """
        if not self.alive or time.monotonic() >= late_at or not self.may_answer():
            return None
        return self.controller.handle_heartbeat(heartbeat)

    def may_answer(self) -> bool:
        """Whether workers may be given another lease."""
        return self.authority.may_renew_leases(time.monotonic(), self.leadership_confirmed_at())

    def counts(self) -> dict[str, tuple[int, int]]:
        """Done and running tasks by job, as of the last tick."""
        return self._counts

    def image_hints(self) -> ImageHints:
        """The machines' images, as of the last tick."""
        return self._image_hints

    # -- the edges of the core -----------------------------------------------------------------------

    def commit(
        self,
        conditions: dict[str, int],
        writes: Sequence[Write],
        done: Callable[[bool], None],
        priority: CommitPriority = CommitPriority.BACKGROUND,
    ) -> None:
        """See `OutboundPort`."""

        def durable(result: bool) -> None:
            self._post(DECISIONS, lambda: done(result))

        self._committer.submit(CommitUnit(conditions, writes, durable), priority)

    def send_commands(self, box: str, endpoint: str, body: Data, done: Done, patient: bool) -> None:
        """See `OutboundPort`."""

        def answered(outcome: RequestOutcome, heartbeat: Heartbeat | None) -> None:
            self._post(DECISIONS, lambda: done(outcome, heartbeat))

        self._senders.send(endpoint, body, answered, patient)

    def launch_machines(self, body: Data, done: Callable[[RequestOutcome, list[str]], None]) -> None:
        """See `OutboundPort`."""

        def answered(outcome: RequestOutcome, boxes: list[str]) -> None:
            self._post(DECISIONS, lambda: done(outcome, boxes))

        if self._cloud is not None:
            self._cloud.launch(body, answered)

    def delete_machines(self, names: list[str], done: Callable[[bool], None]) -> None:
        """See `OutboundPort`."""

        def deleted(result: bool) -> None:
            self._post(DECISIONS, lambda: done(result))

        if self._cloud is not None:
            self._cloud.delete(names, deleted)

    def leadership_lost(self, fencing_token: int) -> None:
        """See `OutboundPort`."""
        self._node.election.observe_fencing_token(fencing_token)

    def fencing_token_raised(self, fencing_token: int) -> None:
        """See `OutboundPort`."""
        self._node.election.record_fencing_token(fencing_token)

    def resign(self, why: str) -> None:
        """See `OutboundPort`."""
        threading.Thread(target=self._node.election.resign, args=(why,), daemon=True).start()

    def job_finalized(self, job_id: str, status: str, tasks: int) -> None:
        """See `OutboundPort`."""
        self._node.users.finals.put(job_id, (status, tasks))

    def misdirected_workers(self) -> list[list[MisdirectedWorker]]:
        """See `OutboundPort`."""
        return [view.misdirected_workers for view in self._node.peers.views.values()]

    def may_start_tasks(self) -> bool:
        """See `OutboundPort`."""
        election = self._node.election
        now = time.monotonic()
        # Both our lead and our knowledge of cancellations must be fresh.
        return (
            self.alive
            and now - election.confirmed_at < election.lease_ttl_s
            and now - self.authority.watch_caught_up_at < election.lease_ttl_s * 2
        )

    def leadership_confirmed_at(self) -> float:
        """See `OutboundPort`."""
        return self._node.election.confirmed_at if self.alive else float("-inf")

    def delegated_leases_expire_at(self) -> float:
        """See `OutboundPort`."""
        return self.delegations.latest_renewal_at(time.monotonic())
