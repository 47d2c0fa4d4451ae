"""One controller node: its components and their connections."""

from __future__ import annotations

import random
import threading
import time

from poppyhold.cluster.delegated_renewals import DelegatedRenewals
from poppyhold.cluster.election import Election, Term
from poppyhold.cluster.misdirected_workers import MisdirectedWorkers
from poppyhold.cluster.peers import Peers
from poppyhold.configuration_checks import split_address
from poppyhold.durable.store import Store
from poppyhold.model.context import ImageHints
from poppyhold.model.durations import Durations
from poppyhold.model.job_status import TaskCounts
from poppyhold.node.cloud_client import CloudClient
from poppyhold.node.heartbeat_router import HeartbeatRouter
from poppyhold.node.leader_term import LeaderTerm
from poppyhold.node.machine_catalog import MachineCatalog
from poppyhold.node.peer_handler import NodePeerHandler
from poppyhold.node.readiness import ReadinessCheck
from poppyhold.node.request_router import RequestRouter
from poppyhold.node.user_api import UserApi
from poppyhold.options import Options
from poppyhold.quota.server import QuotaServer
from poppyhold.settings import Settings
from poppyhold.wire.http_server import HttpResponse, HttpServer

# Maximum number of listed misdirected workers: a message between controllers must hold them.
_MAX_MISDIRECTED_WORKERS = 20_000
# Time since a worker's last heartbeat to this node during which it counts as misdirected, in leases.
_MISDIRECTED_RECENT_LEASES = 0.5


class Node:
    """A controller: serves users and workers, exchanges messages with its peers, leads when elected."""

    def __init__(self, settings: Settings, options: Options) -> None:
        self.settings, self.options = settings, options
        workers, limits = settings.deployment.workers, settings.deployment.machine_limits
        self.rng = random.Random()
        # External systems and the data read from them.
        self.store = Store(settings)
        self.cloud = CloudClient(settings)
        self.catalog = MachineCatalog(
            self.store, self.cloud, settings.deployment.state.lowest.value_bytes, self.rng
        )
        self.user_api = UserApi(settings, self.store, lambda: self.catalog.types, self._task_counts)
        # The current term, and the election.
        self._leader_term: LeaderTerm | None = None
        self._leader_term_lock = threading.Lock()
        self._stop = threading.Event()
        self.election = Election(
            settings,
            options,
            self.store,
            self._on_elected,
            self._on_leadership_lost,
            self._should_yield,
            self.rng,
        )
        # Heartbeats, on the leader and on other controllers.
        delegated_renewals = DelegatedRenewals(
            Durations(settings, options), settings.deployment.skew_ms / 1000, time.monotonic, time.time
        )
        misdirected_workers = MisdirectedWorkers(
            min(limits.machines, _MAX_MISDIRECTED_WORKERS), workers.lease_s * _MISDIRECTED_RECENT_LEASES
        )
        self._heartbeats = HeartbeatRouter(
            settings,
            self.store,
            self.election,
            delegated_renewals,
            misdirected_workers,
            self._current_term,
            self._is_unreachable,
            self.rng,
        )
        # Peers and the HTTP server.
        readiness = ReadinessCheck(
            settings, self.store, self.catalog, lambda: self.peers.views, self._current_term
        )
        self._peer_handler = NodePeerHandler(
            settings,
            options,
            self.election,
            self.user_api,
            self._heartbeats.forwarder,
            delegated_renewals,
            misdirected_workers,
            QuotaServer(settings, options.cells, self._current_term, lambda: self.election.leader),
            self._current_term,
            readiness.store_contact_at,
        )
        self.peers: Peers = self._peer_handler.peers
        self.server = HttpServer(
            split_address(settings.client_listen),
            RequestRouter(self.user_api, self._heartbeats.handle, readiness.check).route,
            limits.connections,
            # Idle time-out: a worker silent for a lease uses another controller or a new connection.
            workers.lease_s,
        )

    def run(self) -> None:
        """Serve until stopped."""
        threading.Thread(target=self.server.serve_forever, name="http", daemon=True).start()
        self.peers.start()
        self._heartbeats.forwarder.start()
        self.election.watch.start()
        # A leader needs machine types to validate jobs and to identify machines.
        self.catalog.await_machine_types(self._stop)
        if not self._stop.is_set():
            self.election.start()
        self._stop.wait()

    def stop(self) -> None:
        """Stop all threads of the node."""
        self._stop.set()
        self.election.stop()
        self.peers.stop()
        self._heartbeats.forwarder.stop()
        self.server.close_all()

    # -- the current term ----------------------------------------------------------------------------

    def _current_term(self) -> LeaderTerm | None:
        """Return this node's term; None if it does not lead."""
        return self._leader_term

    def _on_elected(self, term: Term) -> None:
        with self._leader_term_lock:
            if self._leader_term is not None:
                self._leader_term.stop()
            self._leader_term = LeaderTerm(self, term)

    def _on_leadership_lost(self) -> None:
        with self._leader_term_lock:
            leader_term, self._leader_term = self._leader_term, None
            if leader_term is not None:
                leader_term.stop()

    # -- `NodeContext` -------------------------------------------------------------------------------

    @property
    def peer_image_hints(self) -> ImageHints:
        """The images on each machine, from leaders' pings; they may be out of date."""
        return self._peer_handler.peer_image_hints

    def make_heartbeat_rejection(self) -> HttpResponse:
        """Return the rejection of a heartbeat whose lease the leader can't renew now."""
        return self._heartbeats.make_rejection()

    # -- callbacks of components that are constructed before those that they call ---------------------

    def _should_yield(self) -> bool:
        return self._peer_handler.should_yield()

    def _is_unreachable(self, member: str) -> bool:
        return self.peers.connectivity.is_unreachable(member)

    def _task_counts(self, job_id: str) -> TaskCounts | None:
        return self._peer_handler.task_counts(job_id)
