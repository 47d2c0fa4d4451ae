"""One term of leading: the decision core, the threads that serve it, and how they are connected."""

from __future__ import annotations

import logging
import random
import time
from typing import Protocol

from poppyhold.cluster.authority import Authority
from poppyhold.cluster.election import Election, Term
from poppyhold.cluster.lease_delegation import DelegationTracker
from poppyhold.cluster.peer_messages import Pong
from poppyhold.cluster.peers import Peers
from poppyhold.concurrency.priority_queue import DECISIONS, SUBMISSIONS
from poppyhold.durable.changes import Entry, WatchEvent
from poppyhold.durable.committer import Committer
from poppyhold.durable.errors import OutcomeUnknownError, StoreRejectedError
from poppyhold.durable.keys import ACTIVE_JOB_PREFIX
from poppyhold.durable.snapshot import Snapshot, SnapshotReader
from poppyhold.durable.store import Store
from poppyhold.durable.watch import Watch
from poppyhold.model.context import ImageHints
from poppyhold.model.durations import Durations
from poppyhold.model.job_status import TaskCounts
from poppyhold.node.cancellation_tracker import CancellationTracker
from poppyhold.node.cloud_client import CloudClient
from poppyhold.node.cloud_dispatcher import CloudDispatcher
from poppyhold.node.command_dispatcher import CommandDispatcher
from poppyhold.node.controller import Controller
from poppyhold.node.decision_loop import DecisionLoop
from poppyhold.node.heartbeat_endpoint import HeartbeatEndpoint
from poppyhold.node.machine_catalog import MachineCatalog
from poppyhold.node.outbound_adapter import OutboundAdapter
from poppyhold.node.user_api import UserApi
from poppyhold.options import Options
from poppyhold.quota.endpoint import QuotaEndpoint
from poppyhold.quota.messages import QuotaRequest, QuotaResponse
from poppyhold.relay.assignment import Assignment
from poppyhold.relay.server import RelayServer
from poppyhold.settings import Settings
from poppyhold.wire.cloud_messages import MachineListing, MachineType
from poppyhold.wire.http_server import HttpResponse

log = logging.getLogger(__name__)

# Share of the connections that workers may take before relays are wanted; the rest is for users.
DIRECT_SHARE = 0.85


class NodeContext(Protocol):
    """What a term uses of the node that leads."""

    settings: Settings
    options: Options
    rng: random.Random
    store: Store
    cloud: CloudClient
    user_api: UserApi
    election: Election
    peers: Peers
    catalog: MachineCatalog

    @property
    def peer_image_hints(self) -> ImageHints:
        """The machines' images, as the last leader told them."""

    def reject_heartbeat(self) -> HttpResponse:
        """The answer to a heartbeat that the leader can't answer."""


class LeaderTerm:
    """Connects the decision core with its threads, from the election to the loss of leadership.

    The parts own their threads: `loop` the decision thread, and the committer, the command dispatcher, the
    cloud thread, the watch, the relay server and the quota endpoint one or more each. Methods of this class
    that are passed to `loop` run on the decision thread; `stop` may be called from any thread.
    """

    def __init__(self, node: NodeContext, term: Term) -> None:
        self._node = node
        settings, options = node.settings, node.options
        workers = settings.deployment.workers
        durations = Durations(settings, options)
        self.loop = DecisionLoop(settings.deployment.machine_limits.max_sockets, workers.heartbeat_interval_s)
        self._committer = Committer(node.store, settings, term.key_revision, self._on_write_rejected)
        self._commands = CommandDispatcher(settings)
        members = [settings.member, *(known.member for known in settings.peers)]
        self.authority = Authority(durations.unconfirmed_renewal_s, members, term.began_at)
        self.delegations = DelegationTracker(durations, settings.deployment.skew_ms / 1000)
        self._outbound = OutboundAdapter(
            self.loop,
            node.election,
            self.authority,
            self.delegations,
            self._committer,
            self._commands,
            node.user_api,
            node.peers,
        )
        self.controller = Controller(
            settings, options, self._outbound, term.fencing_token, time.monotonic, time.time, node.rng
        )
        self.cancellations = CancellationTracker(
            settings.member,
            self.loop,
            self.controller,
            self.authority,
            node.user_api.cancellations,
            lambda: node.election.watch.first_revision,
            self._outbound.leadership_confirmed_at,
        )
        assignment = self._make_assignment(durations)
        self.heartbeats = HeartbeatEndpoint(
            self.loop,
            self.controller,
            assignment,
            self.cancellations.may_renew_leases,
            node.reject_heartbeat,
        )
        self.relays = RelayServer(
            self.loop.post, self.heartbeats.answer, self.controller.last_response_at, assignment, workers
        )
        self.quota_endpoint = self._make_quota_endpoint()
        self._watch: Watch | None = None
        # As of the last tick, for other threads.
        self.task_counts: dict[str, TaskCounts] = {}
        self.image_hints: ImageHints = {}
        self._start_loop()

    def _make_assignment(self, durations: Durations) -> Assignment:
        """Who relays for whom, and whether relays are wanted at all."""
        settings, relays = self._node.settings, self._node.options.relays
        connections = settings.deployment.machine_limits.connections
        return Assignment(
            relays.mode,
            connections * relays.from_share,
            connections * DIRECT_SHARE,
            settings.member,
            settings.zone,
            durations,
            time.monotonic,
            self._node.rng,
        )

    def _make_quota_endpoint(self) -> QuotaEndpoint | None:
        """The term's side towards other cells; None where the fleet is one cell."""
        quota, cells = self.controller.quota, self._node.options.cells
        if quota is None or cells is None:
            return None
        return QuotaEndpoint(quota, cells, self._node.settings, self.loop.post, self._node.rng)

    def _start_loop(self) -> None:
        self.loop.start(
            self._prepare,
            self._tick,
            self.controller.scheduling_due_at,
            self.controller.run_scheduling_cycle,
            self.quota_endpoint.publish if self.quota_endpoint is not None else lambda: None,
        )

    @property
    def alive(self) -> bool:
        """Whether the term still leads."""
        return self.loop.alive

    def stop(self) -> None:
        """End the term: nothing of it is answered or sent from now on."""
        self.loop.stop()
        self._committer.stop()
        self._commands.stop()
        self.relays.close()
        if self.quota_endpoint is not None:
            self.quota_endpoint.stop()
        if self._outbound.cloud is not None:
            self._outbound.cloud.stop()
        if self._watch is not None:
            self._watch.stop()
        self.loop.reject_waiting()

    def answer_cell(self, message: QuotaRequest, timeout_s: float) -> QuotaResponse | None:
        """Answer another cell's leader or an operator; None: not in time."""
        return self.quota_endpoint.answer(message, timeout_s) if self.quota_endpoint is not None else None

    # -- on the decision thread ----------------------------------------------------------------------

    def _prepare(self) -> bool:
        """Rebuild the state, and start what brings news of it; False if the term is over."""
        started_at = time.monotonic()
        try:
            snapshot = self._read_snapshot()
        except Exception:
            # The top of the decision thread: a leader that can't read the state must let another one lead.
            log.exception("snapshot failed")
            self._node.election.resign("the state could not be read")
            return False
        if not self.loop.alive:
            return False
        read_at = time.monotonic()
        # Before all else: relays whose workers wait connect while the rest is made ready.
        self.relays.update_machines(snapshot.machines.keys())
        self.controller.load(snapshot, self._node.catalog.types.values(), dict(self._node.peer_image_hints))
        self._outbound.cloud = CloudDispatcher(
            self._node.settings, self._node.cloud, self._on_machine_types, self._on_machine_listing
        )
        self._watch = Watch(
            self._node.store,
            ACTIVE_JOB_PREFIX,
            self._node.settings.deployment.workers.lease_s / 5,
            self._on_active_jobs,
            self._on_job_change,
            on_caught_up=self.cancellations.on_caught_up,
        ).start()
        self.relays.update_machines(self.controller.ctx.fleet.machines.keys())
        log.info(
            "leader ready: jobs=%d machines=%d read_s=%.1f prepare_s=%.1f",
            len(snapshot.active),
            len(snapshot.machines),
            read_at - started_at,
            time.monotonic() - read_at,
        )
        self.heartbeats.mark_ready()
        if self.quota_endpoint is not None:
            self.quota_endpoint.start()
        return True

    def _read_snapshot(self) -> Snapshot:
        """Read what is durable, as often as it takes; empty if the term is over before that."""
        reader = SnapshotReader(self._node.store, with_quota=self._node.options.cells is not None)
        while self.loop.alive:
            try:
                return reader.read()
            except (StoreRejectedError, OutcomeUnknownError) as error:
                log.debug("snapshot read failed: error=%s", error)
                time.sleep(self._node.store.timeout_s / 4)
        return Snapshot()

    def _tick(self) -> None:
        """Do what depends on time alone, and publish what other threads read."""
        self.controller.tick()
        self.cancellations.apply_own_cancellations()
        self.task_counts = self.controller.task_counts()
        self.image_hints = self.controller.image_hints()
        self.relays.update_machines(self.controller.ctx.fleet.machines.keys())
        self.cancellations.update_delegation()
        if self.quota_endpoint is not None:
            self.quota_endpoint.tick()

    # -- events from other threads -------------------------------------------------------------------

    def _on_active_jobs(self, entries: list[Entry]) -> None:
        self.loop.post(DECISIONS, lambda: self.controller.reconcile_active_jobs(entries))

    def _on_job_change(self, change: WatchEvent) -> None:
        if isinstance(change, Entry):
            self.loop.post(SUBMISSIONS, lambda: self.controller.handle_job_accepted(change))
        else:
            # A cancellation is not a submission: it is acted on with the decisions.
            self.loop.post(DECISIONS, lambda: self.controller.handle_job_removed(change.key))

    def on_peer_response(self, pong: Pong, requested_at: float) -> None:
        """Another controller answered our ping."""
        self.cancellations.on_peer_response(pong, requested_at)

    def _on_machine_types(self, machine_types: list[MachineType]) -> None:
        self._node.catalog.update(machine_types)
        self._node.catalog.persist()
        self.loop.post(DECISIONS, lambda: self.controller.handle_machine_types(machine_types))

    def _on_machine_listing(self, listing: MachineListing) -> None:
        self.loop.post(DECISIONS, lambda: self.controller.handle_machine_listing(listing))

    def _on_write_rejected(self) -> None:
        self._node.election.step_down("a write was refused under our key")
