"""One term of leadership: the controller, its decision loop, and the threads that exchange events with it."""

from __future__ import annotations

import logging
import random
import time
from typing import Protocol

from poppyhold.cluster.authority import AuthorityLimits, RenewalAuthority
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

# Share of the controller's connections. While there are fewer direct workers, one of the leader's zone is not
# redirected to a relay of another zone. The rest is for users.
DIRECT_WORKERS_CONNECTION_SHARE = 0.85
# A poll of the watch waits for changes for at most a lease divided by this.
_WATCH_POLLS_PER_LEASE = 5
# Pause after a failed read of the durable state: the state service's timeout divided by this.
_READ_PAUSE_DIVISOR = 4


class NodeContext(Protocol):
    """The parts of the leading node that a term uses."""

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
        """The images on each machine, from leaders' pings; they may be out of date."""

    def make_heartbeat_rejection(self) -> HttpResponse:
        """Return the rejection of a heartbeat whose lease the leader can't renew now."""


class LeaderTerm:
    """Creates, connects and stops the components of one term.

    `loop` owns the decision thread. The committer, command dispatcher, cloud dispatcher, watch, relay server
    and quota endpoint each own one or more threads. Methods of this class that are passed to `loop` run on
    the decision thread; `stop` may be called from any thread.
    """

    def __init__(self, node: NodeContext, term: Term) -> None:
        self._node = node
        settings, options = node.settings, node.options
        workers = settings.deployment.workers
        durations = Durations(settings, options)
        self.loop = DecisionLoop(settings.deployment.machine_limits.max_sockets, workers.heartbeat_interval_s)
        self._committer = Committer(node.store, settings, term.key_revision, self._on_leader_key_lost)
        self._commands = CommandDispatcher(settings, durations.command_timeout_s)
        members = [settings.member, *(known.member for known in settings.peers)]
        self.authority = RenewalAuthority(AuthorityLimits.of(durations), members, term.began_at)
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
            node.make_heartbeat_rejection,
        )
        self.relays = RelayServer(
            self.loop.post, self.heartbeats.answer, self.controller.last_answered_at, assignment, workers
        )
        self.quota_endpoint = self._make_quota_endpoint()
        self._watch: Watch | None = None
        # Computed by the last tick. Other threads may read them: each tick replaces the dicts.
        self.task_counts: dict[str, TaskCounts] = {}
        self.image_hints: ImageHints = {}
        self._start_loop()

    def _make_assignment(self, durations: Durations) -> Assignment:
        """Create the `Assignment`, which assigns workers to relays and decides whether relays are used."""
        settings, relays = self._node.settings, self._node.options.relays
        connections = settings.deployment.machine_limits.connections
        return Assignment(
            relays.mode,
            connections * relays.from_share,
            connections * DIRECT_WORKERS_CONNECTION_SHARE,
            settings.member,
            settings.zone,
            durations,
            time.monotonic,
            self._node.rng,
        )

    def _make_quota_endpoint(self) -> QuotaEndpoint | None:
        """Create the endpoint of other cells' and operators' quota requests; None in a fleet of one cell."""
        quota, cells = self.controller.cell_quota, self._node.options.cells
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
        """Whether `stop` has not been called yet."""
        return self.loop.alive

    def stop(self) -> None:
        """End the term: stop its components, then reject the queued heartbeats."""
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
        self.loop.reject_queued_heartbeats()

    def handle_quota_request(self, message: QuotaRequest, timeout_s: float) -> QuotaResponse | None:
        """Answer another cell's leader or an operator; None after ``timeout_s`` or in a fleet of one cell."""
        return (
            self.quota_endpoint.handle_request(message, timeout_s)
            if self.quota_endpoint is not None
            else None
        )

    # -- on the decision thread ----------------------------------------------------------------------

    def _prepare(self) -> bool:
        """Load the durable state, follow its changes, and accept heartbeats; False if the term has ended."""
        started_at = time.monotonic()
        try:
            snapshot = self._read_snapshot()
        except Exception:
            # `_read_snapshot` retries failed requests. After any other error another controller must lead.
            log.exception("reading the durable state failed, resigning leadership")
            self._node.election.resign("the durable state could not be read")
            return False
        if not self.loop.alive:
            return False
        read_at = time.monotonic()
        # First, as the number of machines decides whether relays may connect. Heartbeats that wait at relays
        # arrive while the rest is prepared.
        self.relays.update_machines(snapshot.machines.keys())
        self.controller.load(snapshot, self._node.catalog.types.values(), dict(self._node.peer_image_hints))
        self._outbound.cloud = CloudDispatcher(
            self._node.settings, self._node.cloud, self._on_machine_types, self._on_machine_listing
        )
        self._watch = Watch(
            self._node.store,
            ACTIVE_JOB_PREFIX,
            self._node.settings.deployment.workers.lease_s / _WATCH_POLLS_PER_LEASE,
            self._on_active_jobs,
            self._on_job_change,
            on_caught_up=self.cancellations.on_caught_up,
        ).start()
        self.relays.update_machines(self.controller.ctx.fleet.machines.keys())
        log.info(
            "leader ready: jobs=%d machines=%d read_s=%.1f load_s=%.1f",
            len(snapshot.active_jobs),
            len(snapshot.machines),
            read_at - started_at,
            time.monotonic() - read_at,
        )
        self.heartbeats.mark_ready()
        if self.quota_endpoint is not None:
            self.quota_endpoint.start()
        return True

    def _read_snapshot(self) -> Snapshot:
        """Read the durable state, with retries; returns an empty snapshot if the term ends first."""
        reader = SnapshotReader(self._node.store, with_quota=self._node.options.cells is not None)
        while self.loop.alive:
            try:
                return reader.read()
            except (StoreRejectedError, OutcomeUnknownError) as error:
                log.debug("reading the durable state failed, will retry: error=%s", error)
                time.sleep(self._node.store.timeout_s / _READ_PAUSE_DIVISOR)
        return Snapshot()

    def _tick(self) -> None:
        """Do the periodic work, and update the state that other threads read."""
        self._commands.drop_expired_starts()
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
            # The job was cancelled or finalized. Such events are processed before submissions.
            self.loop.post(DECISIONS, lambda: self.controller.handle_job_removed(change.key))

    def on_peer_response(self, pong: Pong, requested_at: float) -> None:
        """Handle another controller's response to a ping of this node."""
        self.cancellations.on_peer_response(pong, requested_at)

    def _on_machine_types(self, machine_types: list[MachineType]) -> None:
        self._node.catalog.update(machine_types)
        self._node.catalog.persist()
        self.loop.post(DECISIONS, lambda: self.controller.handle_machine_types(machine_types))

    def _on_machine_listing(self, listing: MachineListing) -> None:
        self.loop.post(DECISIONS, lambda: self.controller.handle_machine_listing(listing))

    def _on_leader_key_lost(self) -> None:
        self._node.election.step_down("a commit was rejected: its condition on the leader key does not hold")
