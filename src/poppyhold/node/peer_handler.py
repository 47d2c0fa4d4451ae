"""What a node sends to other controllers, and does on their messages and refused connections."""

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
from poppyhold.model.outbound import MisdirectedWorker
from poppyhold.node.leader_term import LeaderTerm
from poppyhold.node.user_api import UserApi
from poppyhold.options import Options
from poppyhold.quota.messages import QuotaRequest, QuotaResponse
from poppyhold.quota.server import QuotaServer
from poppyhold.relay.forwarding import HeartbeatForwarder
from poppyhold.relay.messages import RelayHello
from poppyhold.settings import Settings
from poppyhold.wire.frames import MAX_MESSAGE_ENTRIES_BYTES
from poppyhold.wire.message_limits import newest_that_fit

# Number of jobs whose task counts from leaders' pings are kept, per MB of the controller's memory limit.
_TASK_COUNTS_PER_RAM_MB = 100
# Minimum time between two revocations of a leader's lease for which a refused connection is the only reason,
# in leases of workers.
_REFUSAL_INTERVAL_LEASES = 6
# The most that misdirected workers may take of a message; it also holds up to 10,000 cancellations.
_MAX_MISDIRECTED_BYTES = MAX_MESSAGE_ENTRIES_BYTES // 2


class NodePeerHandler:
    """Implements `PeerHandler`: composes and handles pings and pongs, which `Peers` transports.

    They also lead to changes of leadership. Connections of relays and quota requests are passed on.
    """

    def __init__(
        self,
        settings: Settings,
        options: Options,
        election: Election,
        user_api: UserApi,
        forwarder: HeartbeatForwarder,
        delegated_renewals: DelegatedRenewals,
        misdirected_workers: MisdirectedWorkers,
        quota_server: QuotaServer,
        leader_term: Callable[[], LeaderTerm | None],
        store_contact_at: Callable[[], float],
    ) -> None:
        """``store_contact_at`` is when the state service last answered this node."""
        self._settings, self._election, self._user_api = settings, election, user_api
        self._forwarder, self._delegated_renewals = forwarder, delegated_renewals
        self._misdirected_workers = misdirected_workers
        self._leader_term, self._store_contact_at = leader_term, store_contact_at
        self._transfer_after_unreachable_s = Durations(settings, options).delegated_renewal_after_s
        # Task counts by job and images by machine, from leaders' pings.
        self._peer_task_counts: dict[str, TaskCounts] = {}
        self.peer_image_hints: ImageHints = {}
        # When this node last tried to revoke a leader's lease because of a refused connection.
        self._last_refusal_revocation_at = float("-inf")
        # The holder of the leader key, after a pong without a fencing token: its process may have restarted.
        self._possibly_restarted_leader: Leader | None = None
        self._quota_server = quota_server
        self.peers = Peers(settings, self, quota_server.max_connections)

    def should_yield(self) -> bool:
        """Whether a peer that reaches more controllers than this node should campaign first."""
        return self.peers.connectivity.better_connected_peer() is not None

    def task_counts(self, job_id: str) -> TaskCounts | None:
        """Return a job's task counts, from this node's term if it leads, else from pings; None if unknown."""
        leader_term = self._leader_term()
        counts = leader_term.task_counts if leader_term is not None else self._peer_task_counts
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
            highest_fencing_token=term.highest_fencing_token if term else 0,
        )

    def _confirmed_cancellations(self) -> tuple[list[Cancellation], int]:
        """Return the listed confirmed cancellations, and the highest revision of the others; -1: unknown."""
        return self._user_api.cancellations.summarize(self._election.watch.first_revision)

    def handle_ping(self, ping: Ping) -> Pong:
        """Apply another controller's ping, and return the pong."""
        if ping.leading:
            self._apply_leader_ping(ping)
        own = self.compose_ping()
        listed: list[Cancellation] = []
        unlisted_revision: int | None = None
        misdirected: list[MisdirectedWorker] = []
        if ping.leading:
            misdirected = newest_that_fit(self._misdirected_workers.recent(), _MAX_MISDIRECTED_BYTES)
        if ping.leading and ping.applied_revision >= 0:
            self._user_api.cancellations.acknowledge(ping.applied_revision)
            # Read again: the list lacks the acknowledged cancellations, and has those confirmed since `own`.
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
        self._forwarder.record_ping(ping.fencing_token, ping.accepts_relays)
        self._delegated_renewals.observe_leader(
            ping.fencing_token, ping.delegation, ping.highest_fencing_token
        )
        limits = self._settings.deployment.machine_limits
        counts = dict(self._peer_task_counts)
        counts.update({job: TaskCounts(done, running) for job, done, running in ping.task_counts})
        while len(counts) > limits.ram_mb * _TASK_COUNTS_PER_RAM_MB:
            counts.pop(next(iter(counts)))
        self._peer_task_counts = counts
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
        # A leading peer's pong is not applied: its revision does not cover the cancellations that other
        # controllers confirm during its term.
        leader_term = self._leader_term()
        if leader_term is not None:
            leader_term.on_peer_response(pong, requested_at)
            self._transfer_to_better_connected_peer()
        self._check_stale_leader_key(pong)

    # -- changes of leadership -----------------------------------------------------------------------

    def _check_stale_leader_key(self, pong: Pong) -> None:
        """Revoke the leader's lease after two of its pongs without a fencing token: it has restarted."""
        leader = self._election.leader
        if leader is None or leader.member != pong.member or pong.fencing_token:
            return
        if self._possibly_restarted_leader == leader:
            # The first pong may have been sent just before this leader was elected; the second was not.
            self._possibly_restarted_leader = None
            self._election.revoke_leader_lease(leader)
        else:
            self._possibly_restarted_leader = leader

    def _transfer_to_better_connected_peer(self) -> None:
        """Transfer leadership to a peer that reaches all peers of this node, and one that this node does not.

        While two zones can't reach each other but both reach a third, a leader in one of the two can't renew
        the leases of workers in the other. Their tasks end, and the leader can't tell for half a minute which
        of them still run. A leader in the third zone reaches all workers.
        """
        better = self.peers.connectivity.better_connected_peer(self._transfer_after_unreachable_s)
        peer_view = self.peers.views.get(better) if better is not None else None
        # The next leader must have had recent contact with the state service.
        if (
            peer_view is not None
            and time.monotonic() - peer_view.store_contact_at < self._election.leader_lease_s
        ):
            self._election.resign_if_lease_revoked(
                f"{better} reaches all controllers that this one reaches, and more"
            )

    def on_connection_refused(self, member: str) -> None:
        """Handle a refused connection to a controller: if it leads, its process may have ended."""
        leader = self._election.leader
        if leader is None or leader.member != member or self._election.term is not None:
            return
        # The process may still run: a packet filter refuses connections as well. If three nodes each revoked
        # the lease of every leader that they can't reach, the fleet would have no leader. So a refusal is
        # sufficient only once in `_REFUSAL_INTERVAL_LEASES` leases, or once in a lease if at least two
        # workers recently sent their heartbeats here instead of to the leader.
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
        """Whether relays may connect; until the machines are loaded, as the last leader's ping said."""
        relays = leader_term.relays
        return relays.accepts_relays or (
            not relays.machine_count_known and self._forwarder.leader_accepts_relays()
        )

    def serve_relay(self, connection: socket.socket, hello: RelayHello) -> None:
        """Serve a relay's connection until it ends; returns at once unless relays may connect."""
        leader_term = self._leader_term()
        if leader_term is not None and self._accepts_relays(leader_term):
            leader_term.relays.serve(connection, hello)

    # -- other cells ---------------------------------------------------------------------------------

    def handle_quota_request(self, request: QuotaRequest) -> QuotaResponse:
        """Answer another cell's leader or an operator, as `QuotaServer` does."""
        return self._quota_server.handle_request(request)
