"""One controller node: its threads, and what connects them."""

from __future__ import annotations

import logging
import random
import socket
import threading
import time

from poppyhold.cluster.cancellations import Cancellation
from poppyhold.cluster.delegated_renewals import DelegatedRenewals
from poppyhold.cluster.election import Election, Term
from poppyhold.cluster.known_leader import Leader
from poppyhold.cluster.lease_delegation import DelegationTracker
from poppyhold.cluster.misdirected_workers import MisdirectedWorkers
from poppyhold.cluster.peer_messages import Ping, Pong
from poppyhold.cluster.peers import Peers
from poppyhold.cluster.redirect_backoff import RedirectBackoff
from poppyhold.durable.store import Store
from poppyhold.model.context import ImageHints
from poppyhold.model.durations import Durations
from poppyhold.node.cloud import CloudClient
from poppyhold.node.leader_term import LeaderTerm
from poppyhold.node.machine_catalog import MachineCatalog
from poppyhold.node.users import Users
from poppyhold.options import Options
from poppyhold.quota.messages import Answer as QuotaAnswer
from poppyhold.quota.messages import Opening as QuotaOpening
from poppyhold.quota.server import QuotaServer
from poppyhold.relay.forwarding import HeartbeatForwarder
from poppyhold.relay.leader import heartbeat_response_timeout_s
from poppyhold.relay.messages import RelayHello
from poppyhold.settings import Settings, split_address
from poppyhold.wire.codec import MalformedError, decode
from poppyhold.wire.http_server import DeferredResponse, HttpResponse, HttpServer, http_response
from poppyhold.wire.worker_messages import Heartbeat, HeartbeatResponse, parse_heartbeat

log = logging.getLogger(__name__)

# More workers that turned to us would not fit into a message between controllers.
_MAX_MISDIRECTED_WORKERS = 20_000


class Node:
    """A controller: routes requests, and leads when elected."""

    def __init__(self, settings: Settings, options: Options) -> None:
        self.settings, self.options = settings, options
        self.skew_s = settings.settings.skew_ms / 1000
        self._times = Durations(settings, options)
        self.rng = random.Random()
        self.store = Store(settings)
        self.cloud = CloudClient(settings)
        largest_value = settings.settings.state.lowest.value_bytes
        self.catalog = MachineCatalog(self.store, self.cloud, largest_value, self.rng)
        self._peer_counts: dict[str, tuple[int, int]] = {}
        self.peer_image_hints: ImageHints = {}
        self.users = Users(settings, self.store, lambda: self.catalog.types, self._count)
        self._misdirected_workers = MisdirectedWorkers(
            min(settings.settings.machine_limits.machines, _MAX_MISDIRECTED_WORKERS),
            settings.settings.workers.lease_s / 2,
        )
        self._deposed_at = float("-inf")
        self._idle_leader: Leader | None = None
        self._leader_term: LeaderTerm | None = None
        self._leader_term_lock = threading.Lock()
        self._stop = threading.Event()
        self._started_at = time.monotonic()
        self.election = Election(
            settings, options, self.store, self._elected, self._deposed, self._yields, self.rng
        )
        self._quota_server = QuotaServer(
            settings, options.cells, lambda: self._leader_term, lambda: self.election.leader
        )
        self.peers = Peers(settings, self, self._quota_server.most_links)
        workers = settings.settings.workers
        self.delegated_renewal = DelegatedRenewals(self._times, self.skew_s, time.monotonic, time.time)
        # Behind this a worker has given up the answer, as PROTOCOL says: it comes at once or not at all.
        self._heartbeat_timeout_s = heartbeat_response_timeout_s(workers)
        self._forwarding = HeartbeatForwarder(
            settings,
            lambda: self.election.leader,
            lambda: self._leader_term is not None,
            self._answer_without_leader,
            lambda: self._elsewhere(self.election.leader),
            self.rng,
        )
        # A worker that is not told where to go tries another node a second later. Where all nodes have just
        # come back, that second decides whether leases end; an election takes far less.
        self._naming_s = workers.heartbeat_interval_s / 2
        self._redirect_backoff = RedirectBackoff(workers.lease_s, settings.settings.machine_limits.machines)
        self._ready_s = workers.lease_s * 0.35
        self.server = HttpServer(
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
        self._forwarding.start()
        self.election.watch.start()
        # Machine types come first.
        self.catalog.await_first(self._stop)
        if not self._stop.is_set():
            self.election.start()
        self._stop.wait()

    def stop(self) -> None:
        """End every thread."""
        self._stop.set()
        self.election.stop()
        self.peers.stop()
        self._forwarding.stop()
        self.server.close_all()

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

    def _yields(self) -> bool:
        """Whether another controller should campaign before this one."""
        return self.peers.connectivity.better_connected_peer() is not None

    def led_task_counts(self) -> dict[str, tuple[int, int]]:
        """See `PeerHandler`."""
        leader_term = self._leader_term
        return leader_term.counts() if leader_term is not None else {}

    def led_image_hints(self) -> ImageHints:
        """See `PeerHandler`."""
        leader_term = self._leader_term
        return leader_term.image_hints() if leader_term is not None else {}

    def delegation_tracker(self) -> DelegationTracker | None:
        """See `PeerHandler`."""
        leader_term = self._leader_term
        return leader_term.delegations if leader_term is not None else None

    def _count(self, job_id: str) -> tuple[int, int] | None:
        leader_term = self._leader_term
        counts = leader_term.counts() if leader_term is not None else self._peer_counts
        return counts.get(job_id)

    # -- peers ---------------------------------------------------------------------------------------

    def compose_ping(self) -> Ping:
        """See `PeerHandler`."""
        term = self.election.term
        age = time.monotonic() - max(self.store.contact_at, self._started_at)
        workers = len(self._misdirected_workers.recent())
        leader_term = self._leader_term
        delegation = leader_term.delegation if leader_term is not None and leader_term.alive else None
        known = leader_term.authority.acted_on_revision if leader_term is not None else -1
        named, unnamed = self.confirmed_cancellations()
        confirmed = unnamed if unnamed < 0 else max([unnamed, *(revision for _, revision in named)])
        fencing_token = term.fencing_token if term else 0
        relays = leader_term is not None and self._takes_relays(leader_term)
        return Ping(
            self.settings.member,
            fencing_token,
            term is not None,
            age,
            confirmed,
            workers,
            delegation=delegation,
            acted_on_revision=known,
            accepts_relays=relays,
        )

    def confirmed_cancellations(self) -> tuple[list[Cancellation], int]:
        """Cancellations that we confirmed to users, as `Cancellations.named` says."""
        return self.users.cancellations.report(self.election.watch.first_revision)

    def handle_ping(self, ping: Ping) -> Pong:
        """See `PeerHandler`."""
        self._on_ping(ping)
        us = self.compose_ping()
        named: list[Cancellation] = []
        unnamed: int | None = None
        misdirected = self._misdirected_workers.recent() if ping.leading else []
        if ping.leading and ping.acted_on_revision >= 0:
            self.users.cancellations.acknowledge(ping.acted_on_revision)
            # Read behind `us`: what is confirmed in between is named as well.
            named, unnamed = self.confirmed_cancellations()
        return Pong(
            us.member,
            us.fencing_token,
            us.leading,
            us.state_age_s,
            us.confirmed_revision,
            us.workers,
            named,
            unnamed,
            misdirected,
            self.peers.connectivity.reachable_peers(),
        )

    def _on_ping(self, ping: Ping) -> None:
        if ping.leading:
            self.election.observe_fencing_token(ping.fencing_token)
            self._forwarding.leader_spoke(ping.fencing_token, ping.accepts_relays)
            self.delegated_renewal.observe_leader(ping.fencing_token, ping.delegation)
            counts = dict(self._peer_counts)
            counts.update({job: (done, running) for job, done, running in ping.task_counts})
            while len(counts) > self.settings.settings.machine_limits.ram_mb * 100:
                counts.pop(next(iter(counts)))
            self._peer_counts = counts
            for box, held in ping.image_hints:
                self.peer_image_hints.pop(box, None)
                self.peer_image_hints[box] = held
            while len(self.peer_image_hints) > self.settings.settings.machine_limits.machines:
                self.peer_image_hints.pop(next(iter(self.peer_image_hints)))

    def handle_pong(self, pong: Pong, asked_at: float) -> None:
        """See `PeerHandler`."""
        if pong.leading:
            self.election.observe_fencing_token(pong.fencing_token)
            return
        # Only who does not lead: what a leader confirmed says nothing of what others confirm under its lead.
        leader_term = self._leader_term
        if leader_term is not None:
            leader_term.peer_answered(pong, asked_at)
            self._hand_over()
        leader = self.election.leader
        # It runs, and leads nothing: the key is that of a process before it.
        if leader is None or leader.member != pong.member or pong.fencing_token:
            return
        if self._idle_leader == leader:
            # Told twice, so it is not that the answer and the election crossed.
            self._idle_leader = None
            self.election.expire_lease(leader)
        else:
            self._idle_leader = leader

    def _hand_over(self) -> None:
        """Let a controller lead that reaches more of the others than we do.

        Two zones that cannot reach each other while both reach a third: a leader in one of the two lost all
        tasks of the other one to their leases, and could not tell for half a minute what still ran there.
        """
        better = self.peers.connectivity.better_connected_peer(self._times.delegated_renewal_after_s)
        view = self.peers.views.get(better) if better is not None else None
        # Who is to lead must be able to: it heard from the state service lately.
        if view is not None and time.monotonic() - view.store_contact_at < self.election.lease_ttl_s:
            self.election.transfer_leadership(f"{better} reaches more controllers")

    def on_connection_refused(self, member: str) -> None:
        """See `PeerHandler`."""
        leader = self.election.leader
        if leader is None or leader.member != member or self.election.term is not None:
            return
        # A refusal alone proves nothing: a packet filter between controllers refuses as well, and three
        # nodes that each depose whoever they can't reach would never let one lead. So a refusal counts
        # by itself once in a good while, and else only if workers have turned away from the leader too.
        now = time.monotonic()
        lease_s = self.settings.settings.workers.lease_s
        quiet = now - self._deposed_at
        if quiet > 6 * lease_s or (quiet > lease_s and len(self._misdirected_workers.recent()) > 1):
            self._deposed_at = now
            self.election.expire_lease(leader)

    def answer_cell(self, message: QuotaOpening) -> QuotaAnswer:
        """See `PeerHandler`."""
        return self._quota_server.answer(message)

    # -- relaying ------------------------------------------------------------------------------------

    def _takes_relays(self, leader_term: LeaderTerm) -> bool:
        """Whether a term takes relays: before it has read how many machines there are, as the one before."""
        relays = leader_term.relays
        return relays.wanted or (not relays.reviewed and self._forwarding.is_wanted())

    def serve_relay(self, connection: socket.socket, hello: RelayHello) -> None:
        """See `PeerHandler`."""
        leader_term = self._leader_term
        if leader_term is not None and self._takes_relays(leader_term):
            leader_term.relays.serve(connection, hello)

    # -- requests ------------------------------------------------------------------------------------

    def route(self, method: str, path: str, body: bytes) -> HttpResponse | DeferredResponse:
        """Answer a request of a user, a worker or the load balancer."""
        path = path.partition("?")[0]
        if path == "/hello":
            return self._handle_heartbeat(body) if method == "POST" else self._wrong("POST")
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
        return http_response(404, {"error": "no such path"})

    @staticmethod
    def _wrong(allowed: str) -> HttpResponse:
        return http_response(405, {"error": "method"}, Allow=allowed)

    def _is_ready(self) -> HttpResponse:
        # One that alone has lost the state service should not be sent users. In an outage every node is
        # as good as another, and none may say otherwise: balancers are slow to take a node back. Nodes
        # hear from the state service at different moments, so only a clear lead of a peer counts.
        ours = max(self.store.contact_at, self._started_at)
        behind = any(view.store_contact_at - ours > self._ready_s for view in self.peers.views.values())
        if not self.catalog.types or behind:
            return http_response(503, {"error": "not ready"}, Retry_After="1")
        body: dict[str, object] = {"member": self.settings.member}
        leader_term = self._leader_term
        edge = leader_term.quota_edge if leader_term is not None else None
        if edge is not None and edge.health is not None:
            body["shares"] = edge.health._asdict()
        return http_response(200, body)

    def _handle_heartbeat(self, body: bytes) -> HttpResponse | DeferredResponse:
        try:
            heartbeat = parse_heartbeat(decode(body))
        except MalformedError as error:
            return http_response(400, {"error": str(error)})
        reply = self._answer_heartbeat(heartbeat) or self._forwarding.handle(heartbeat)
        if reply is not None:
            return reply
        return self._answer_without_leader(heartbeat) or self._redirect(heartbeat)

    def _answer_without_leader(self, heartbeat: Heartbeat) -> HttpResponse | None:
        """The lease proxy's answer; None if we may not stand in."""
        if heartbeat.fencing_token:
            known = self.election.leader
            proxied = self.delegated_renewal.renewal_fencing_token(
                heartbeat,
                self.store.contact_at,
                known.fencing_token if known else 0,
                known is not None and self.peers.connectivity.is_unreachable(known.member),
            )
            if proxied is not None:
                return http_response(200, HeartbeatResponse(proxied).body())
            # A new machine's worker begins with any node; one that has a token has left its leader.
            self._misdirected_workers.record(heartbeat)
        return None

    def _redirect(self, heartbeat: Heartbeat) -> HttpResponse | DeferredResponse:
        """Wait a moment for a leader, and send the worker there."""
        leader = self.election.known_leader.await_leader(self._naming_s)
        if leader is not None and leader.member != self.settings.member and not self._forwarding.is_wanted():
            now = time.monotonic()
            wait_s = self._redirect_backoff.wait_s(
                heartbeat, leader.fencing_token, now - self.election.known_leader.leader_since, now
            )
            if wait_s:
                leader = self.election.known_leader.await_next_leader(leader, wait_s)
        # The election may have named us meanwhile.
        return self._answer_heartbeat(heartbeat) or self._elsewhere(leader)

    def _answer_heartbeat(self, heartbeat: Heartbeat) -> HttpResponse | DeferredResponse | None:
        """The leader's answer; None if we don't lead."""
        leader_term = self._leader_term
        if leader_term is None:
            return None
        return leader_term.handle_heartbeat(heartbeat, self._heartbeat_timeout_s) or self.turned_away()

    def turned_away(self) -> HttpResponse:
        """The answer to a report that we can't take as the leader."""
        if self._leader_term is not None:
            return http_response(503, {"error": "not entitled now"})
        return self._elsewhere(self.election.leader)

    def _elsewhere(self, leader: Leader | None) -> HttpResponse:
        if leader is None or leader.member == self.settings.member:
            return http_response(421)
        return http_response(421, {"foreman": leader.member})
