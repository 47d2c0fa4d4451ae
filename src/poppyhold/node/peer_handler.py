"""Messages that a controller exchanges with its peers, and changes of leadership that follow from them."""

from __future__ import annotations

import socket
import time
from collections.abc import Callable

from poppyhold.cluster.cancellations import Cancellation
from poppyhold.cluster.delegated_renewals import DelegatedRenewals
from poppyhold.cluster.election import Election
from poppyhold.cluster.leader_key import Leader
from poppyhold.cluster.lease_delegation import DelegationTracker
from poppyhold.cluster.misdirected_workers import MisdirectedWorkers
from poppyhold.cluster.peer_messages import Ping, Pong
from poppyhold.cluster.peers import Peers
from poppyhold.model.context import ImageHints
from poppyhold.model.durations import Durations
from poppyhold.model.job_status import TaskCounts
from poppyhold.node.leader_term import LeaderTerm
from poppyhold.node.user_api import UserApi
from poppyhold.options import Options
from poppyhold.quota.messages import QuotaRequest, QuotaResponse
from poppyhold.quota.server import QuotaServer
from poppyhold.relay.forwarding import HeartbeatForwarder
from poppyhold.relay.messages import RelayHello
from poppyhold.settings import Settings

# Jobs whose task counts are kept from the leader's pings, per MB of the controller's memory limit.
_COUNTS_PER_RAM_MB = 100
# A refused connection alone expires the leader's lease at most once in so many worker leases.
_REFUSAL_INTERVAL_LEASES = 6


class NodePeerHandler:
    """Composes and handles pings and pongs; `Peers` transports them."""

    def __init__(
        self,
        settings: Settings,
        options: Options,
        election: Election,
        user_api: UserApi,
        forwarder: HeartbeatForwarder,
        delegated_renewal: DelegatedRenewals,
        misdirected_workers: MisdirectedWorkers,
        quota_server: QuotaServer,
        leader_term: Callable[[], LeaderTerm | None],
        store_contact_at: Callable[[], float],
    ) -> None:
        """``store_contact_at`` is when the state service last answered this node."""
        self._settings, self._election, self._user_api = settings, election, user_api
        self._forwarder, self._delegated_renewal = forwarder, delegated_renewal
        self._misdirected_workers = misdirected_workers
        self._leader_term, self._store_contact_at = leader_term, store_contact_at
        self._transfer_after_unreachable_s = Durations(settings, options).delegated_renewal_after_s
        # Task counts by job and images by machine, from the leader's pings.
        self._peer_counts: dict[str, TaskCounts] = {}
        self.peer_image_hints: ImageHints = {}
        # When this node last expired the lease of a leader that refused connections.
        self._last_refusal_revocation_at = float("-inf")
        # A leader whose pong said that it does not lead.
        self._possibly_restarted_leader: Leader | None = None
        self._quota_server = quota_server
        self.peers = Peers(settings, self, quota_server.max_connections)

    def should_yield(self) -> bool:
        """Whether a better connected controller should campaign before this one."""
        return self.peers.connectivity.better_connected_peer() is not None

    def task_counts(self, job_id: str) -> TaskCounts | None:
        """Return a job's done and running tasks, as this node's term or the leader's pings list them."""
        leader_term = self._leader_term()
        counts = leader_term.task_counts if leader_term is not None else self._peer_counts
        return counts.get(job_id)

    # -- outgoing messages ---------------------------------------------------------------------------

    def task_counts_if_leading(self) -> dict[str, TaskCounts]:
        """Return the task counts by job for outgoing pings; empty unless this node leads."""
        leader_term = self._leader_term()
        return leader_term.task_counts if leader_term is not None else {}

    def image_hints_if_leading(self) -> ImageHints:
        """Return the images by machine for outgoing pings; empty unless this node leads."""
        leader_term = self._leader_term()
        return leader_term.image_hints if leader_term is not None else {}

    def delegation_tracker(self) -> DelegationTracker | None:
        """Return the tracker of delegated lease renewals; None unless this node leads."""
        leader_term = self._leader_term()
        return leader_term.delegations if leader_term is not None else None

    def compose_ping(self) -> Ping:
        """Compose a ping without task counts and image hints, which each peer gets in batches."""
        term = self._election.term
        store_silence_s = time.monotonic() - self._store_contact_at()
        misdirected_count = len(self._misdirected_workers.recent())
        leader_term = self._leader_term()
        delegation = (
            leader_term.cancellations.delegation if leader_term is not None and leader_term.alive else None
        )
        applied_revision = leader_term.authority.applied_revision if leader_term is not None else -1
        listed, unlisted_revision = self._confirmed_cancellations()
        # -1: unknown.
        confirmed_revision = (
            unlisted_revision
            if unlisted_revision < 0
            else max([unlisted_revision, *(revision for _, revision in listed)])
        )
        return Ping(
            self._settings.member,
            term.fencing_token if term else 0,
            term is not None,
            store_silence_s,
            confirmed_revision,
            misdirected_count,
            delegation=delegation,
            applied_revision=applied_revision,
            accepts_relays=leader_term is not None and self._accepts_relays(leader_term),
        )

    def _confirmed_cancellations(self) -> tuple[list[Cancellation], int]:
        """Return the cancellations that this node confirmed to users, see `Cancellations.summarize`."""
        return self._user_api.cancellations.summarize(self._election.watch.first_revision)

    def handle_ping(self, ping: Ping) -> Pong:
        """Apply another controller's ping, and return the pong."""
        if ping.leading:
            self._apply_leader_ping(ping)
        own = self.compose_ping()
        listed: list[Cancellation] = []
        unlisted_revision: int | None = None
        misdirected = self._misdirected_workers.recent() if ping.leading else []
        if ping.leading and ping.applied_revision >= 0:
            self._user_api.cancellations.acknowledge(ping.applied_revision)
            # Read after `own`, so that cancellations confirmed in between are listed.
            listed, unlisted_revision = self._confirmed_cancellations()
        return Pong(
            own.member,
            own.fencing_token,
            own.leading,
            own.state_age_s,
            own.confirmed_revision,
            own.workers,
            listed,
            unlisted_revision,
            misdirected,
            self.peers.connectivity.reachable_peers(),
        )

    # -- incoming messages ---------------------------------------------------------------------------

    def _apply_leader_ping(self, ping: Ping) -> None:
        self._election.observe_fencing_token(ping.fencing_token)
        self._forwarder.note_ping(ping.fencing_token, ping.accepts_relays)
        self._delegated_renewal.observe_leader(ping.fencing_token, ping.delegation)
        limits = self._settings.deployment.machine_limits
        counts = dict(self._peer_counts)
        counts.update({job: TaskCounts(done, running) for job, done, running in ping.task_counts})
        while len(counts) > limits.ram_mb * _COUNTS_PER_RAM_MB:
            counts.pop(next(iter(counts)))
        self._peer_counts = counts
        for machine, images in ping.image_hints:
            self.peer_image_hints.pop(machine, None)
            self.peer_image_hints[machine] = images
        while len(self.peer_image_hints) > limits.machines:
            self.peer_image_hints.pop(next(iter(self.peer_image_hints)))

    def handle_pong(self, pong: Pong, requested_at: float) -> None:
        """Apply a peer's response to a ping that was sent at ``requested_at``."""
        if pong.leading:
            self._election.observe_fencing_token(pong.fencing_token)
            return
        # Only from a peer that does not lead: a leader's bound does not cover what others confirm during its
        # term.
        leader_term = self._leader_term()
        if leader_term is not None:
            leader_term.on_peer_response(pong, requested_at)
            self._transfer_to_better_connected_peer()
        self._check_stale_leader_key(pong)

    # -- changes of leadership -----------------------------------------------------------------------

    def _check_stale_leader_key(self, pong: Pong) -> None:
        """Expire the lease of a leader that restarted: the key belongs to its previous process."""
        leader = self._election.leader
        if leader is None or leader.member != pong.member or pong.fencing_token:
            return
        if self._possibly_restarted_leader == leader:
            # A second such pong rules out that the first one was sent just before the election.
            self._possibly_restarted_leader = None
            self._election.revoke_leader_lease(leader)
        else:
            self._possibly_restarted_leader = leader

    def _transfer_to_better_connected_peer(self) -> None:
        """Transfer leadership to a controller that reaches more of the others than this one.

        If two zones can't reach each other while both reach a third, a leader in one of the two loses all
        tasks of the other to expired leases, and does not know for half a minute which of them still run.
        """
        better = self.peers.connectivity.better_connected_peer(self._transfer_after_unreachable_s)
        peer_view = self.peers.views.get(better) if better is not None else None
        # The next leader must have had recent contact with the state service.
        if (
            peer_view is not None
            and time.monotonic() - peer_view.store_contact_at < self._election.leader_lease_s
        ):
            self._election.resign_if_lease_revoked(f"{better} reaches more controllers")

    def on_connection_refused(self, member: str) -> None:
        """Handle a refused connection to a controller: if it leads, its process may be gone."""
        leader = self._election.leader
        if leader is None or leader.member != member or self._election.term is not None:
            return
        # A refusal alone proves nothing: a packet filter refuses as well, and three nodes that each expire
        # every leader they can't reach would leave the fleet without one. So a refusal is sufficient once
        # in several leases, and otherwise only if workers have also left the leader.
        now = time.monotonic()
        lease_s = self._settings.deployment.workers.lease_s
        since_last_s = now - self._last_refusal_revocation_at
        has_misdirected_workers = len(self._misdirected_workers.recent()) > 1
        if since_last_s > _REFUSAL_INTERVAL_LEASES * lease_s or (
            since_last_s > lease_s and has_misdirected_workers
        ):
            self._last_refusal_revocation_at = now
            self._election.revoke_leader_lease(leader)

    # -- relays --------------------------------------------------------------------------------------

    def _accepts_relays(self, leader_term: LeaderTerm) -> bool:
        """Whether a term accepts relays; before it knows the number of machines, as the last leader did."""
        relays = leader_term.relays
        return relays.relays_wanted or (not relays.knows_machines and self._forwarder.is_wanted())

    def serve_relay(self, connection: socket.socket, hello: RelayHello) -> None:
        """Serve a relay's connection until it ends, if this node's term accepts relays."""
        leader_term = self._leader_term()
        if leader_term is not None and self._accepts_relays(leader_term):
            leader_term.relays.serve(connection, hello)

    # -- other cells ---------------------------------------------------------------------------------

    def handle_quota_request(self, request: QuotaRequest) -> QuotaResponse:
        """Answer another cell's leader or an operator, as `QuotaServer` does."""
        return self._quota_server.handle_request(request)
