"""One controller node: its parts, and how they are connected."""

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
from poppyhold.node.membership import Membership
from poppyhold.node.readiness import ReadinessCheck
from poppyhold.node.request_router import RequestRouter
from poppyhold.node.user_api import UserApi
from poppyhold.options import Options
from poppyhold.quota.server import QuotaServer
from poppyhold.settings import Settings
from poppyhold.wire.http_server import HttpResponse, HttpServer

# More misdirected workers would not fit into a message between controllers.
_MAX_MISDIRECTED_WORKERS = 20_000


class Node:
    """A controller: it serves users and workers, talks to its peers, and leads when elected."""

    def __init__(self, settings: Settings, options: Options) -> None:
        self.settings, self.options = settings, options
        workers, limits = settings.deployment.workers, settings.deployment.machine_limits
        self.rng = random.Random()
        # The external systems, and what is read of them.
        self.store = Store(settings)
        self.cloud = CloudClient(settings)
        self.catalog = MachineCatalog(
            self.store, self.cloud, settings.deployment.state.lowest.value_bytes, self.rng
        )
        self.user_api = UserApi(settings, self.store, lambda: self.catalog.types, self._task_counts)
        # The current term, and who leads.
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
        # Heartbeats, whoever leads.
        delegated_renewal = DelegatedRenewals(
            Durations(settings, options), settings.deployment.skew_ms / 1000, time.monotonic, time.time
        )
        misdirected_workers = MisdirectedWorkers(
            min(limits.machines, _MAX_MISDIRECTED_WORKERS), workers.lease_s / 2
        )
        self._heartbeats = HeartbeatRouter(
            settings,
            self.store,
            self.election,
            delegated_renewal,
            misdirected_workers,
            self._current_term,
            self._is_unreachable,
            self.rng,
        )
        # Peers, and the HTTP server.
        readiness = ReadinessCheck(
            settings, self.store, self.catalog, lambda: self.peers.views, self._current_term
        )
        self._membership = Membership(
            settings,
            options,
            self.election,
            self.user_api,
            self._heartbeats.forwarder,
            delegated_renewal,
            misdirected_workers,
            QuotaServer(settings, options.cells, self._current_term, lambda: self.election.leader),
            self._current_term,
            readiness.store_contact_at,
        )
        self.peers: Peers = self._membership.peers
        self.server = HttpServer(
            split_address(settings.client_listen),
            RequestRouter(self.user_api, self._heartbeats.handle, readiness.check).route,
            limits.connections,
            # A worker that has been silent for a lease reports somewhere else, or over a new connection.
            workers.lease_s,
        )

    def run(self) -> None:
        """Serve until stopped."""
        threading.Thread(target=self.server.serve_forever, name="http", daemon=True).start()
        self.peers.start()
        self._heartbeats.forwarder.start()
        self.election.watch.start()
        # Without machine types a leader could neither judge jobs nor know machines.
        self.catalog.await_machine_types(self._stop)
        if not self._stop.is_set():
            self.election.start()
        self._stop.wait()

    def stop(self) -> None:
        """End every thread."""
        self._stop.set()
        self.election.stop()
        self.peers.stop()
        self._heartbeats.forwarder.stop()
        self.server.close_all()

    # -- the current term ----------------------------------------------------------------------------

    def _current_term(self) -> LeaderTerm | None:
        """Our term of leading; None if we don't lead."""
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

    # -- what a term uses of the node, see `NodeContext` -----------------------------------------------

    @property
    def peer_image_hints(self) -> ImageHints:
        """The machines' images, as the last leader told them."""
        return self._membership.peer_image_hints

    def reject_heartbeat(self) -> HttpResponse:
        """The answer to a heartbeat that the leader can't answer."""
        return self._heartbeats.reject()

    # -- parts that are made before the parts that they use ----------------------------------------------

    def _should_yield(self) -> bool:
        return self._membership.should_yield()

    def _is_unreachable(self, member: str) -> bool:
        return self.peers.connectivity.is_unreachable(member)

    def _task_counts(self, job_id: str) -> TaskCounts | None:
        return self._membership.task_counts(job_id)
