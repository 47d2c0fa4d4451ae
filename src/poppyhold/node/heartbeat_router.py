"""Routes workers' heartbeats: to this node's term, to the leader through this relay, or by redirect."""

from __future__ import annotations

import random
import time
from collections.abc import Callable
from http import HTTPStatus

from poppyhold.cluster.delegated_renewals import DelegatedRenewals
from poppyhold.cluster.election import Election
from poppyhold.cluster.leader_key import Leader
from poppyhold.cluster.misdirected_workers import MisdirectedWorkers
from poppyhold.cluster.redirect_backoff import RedirectBackoff
from poppyhold.durable.store import Store
from poppyhold.node.leader_term import LeaderTerm
from poppyhold.relay.forwarding import HeartbeatForwarder
from poppyhold.relay.timings import heartbeat_response_timeout_s
from poppyhold.settings import Settings
from poppyhold.wire.codec import MalformedError, decode
from poppyhold.wire.http_server import DeferredResponse, HttpResponse, http_response
from poppyhold.wire.worker_messages import Heartbeat, HeartbeatResponse, Redirect, parse_heartbeat

# Maximum wait of a heartbeat for the election of a leader, in heartbeat intervals.
_AWAIT_LEADER_INTERVALS = 0.5


class HeartbeatRouter:
    """Answers POST /hello on any controller.

    In this order: the leader answers; a relay forwards to it; a delegate renews the lease on behalf of an
    unreachable leader; otherwise the worker is redirected to the leader.
    """

    def __init__(
        self,
        settings: Settings,
        store: Store,
        election: Election,
        delegated_renewals: DelegatedRenewals,
        misdirected_workers: MisdirectedWorkers,
        leader_term: Callable[[], LeaderTerm | None],
        is_unreachable: Callable[[str], bool],
        rng: random.Random,
    ) -> None:
        """``is_unreachable`` returns whether this node can't reach another controller."""
        workers = settings.deployment.workers
        self._member, self._store, self._election = settings.member, store, election
        self._delegated_renewals, self._misdirected_workers = delegated_renewals, misdirected_workers
        self._leader_term, self._is_unreachable = leader_term, is_unreachable
        # The worker's timeout for a response, according to the protocol.
        self._response_timeout_s = heartbeat_response_timeout_s(workers)
        # A worker that gets no leader's name tries another node a second later. After a restart of all nodes
        # leases can expire within that second; an election takes far less.
        self._await_leader_s = workers.heartbeat_interval_s * _AWAIT_LEADER_INTERVALS
        self._redirect_backoff = RedirectBackoff(workers.lease_s, settings.deployment.machine_limits.machines)
        self.forwarder = HeartbeatForwarder(
            settings,
            lambda: election.leader,
            lambda: leader_term() is not None,
            self._answer_as_delegate,
            lambda: self._redirect_to(election.leader),
            rng,
        )

    def handle(self, body: bytes) -> HttpResponse | DeferredResponse:
        """Answer a heartbeat from its request body."""
        try:
            heartbeat = parse_heartbeat(decode(body))
        except MalformedError as error:
            return http_response(HTTPStatus.BAD_REQUEST, {"error": str(error)})
        response = self._answer_as_leader(heartbeat) or self.forwarder.handle(heartbeat)
        if response is not None:
            return response
        return self._answer_as_delegate(heartbeat) or self._redirect(heartbeat)

    def make_rejection(self) -> HttpResponse:
        """Return 503 if this node leads but can't answer a heartbeat now, else a redirect to the leader."""
        if self._leader_term() is not None:
            return http_response(HTTPStatus.SERVICE_UNAVAILABLE, {"error": "not entitled now"})
        return self._redirect_to(self._election.leader)

    def _answer_as_leader(self, heartbeat: Heartbeat) -> HttpResponse | DeferredResponse | None:
        """Answer as the leader; None if this node does not lead."""
        leader_term = self._leader_term()
        if leader_term is None:
            return None
        return leader_term.heartbeats.handle(heartbeat, self._response_timeout_s) or self.make_rejection()

    def _answer_as_delegate(self, heartbeat: Heartbeat) -> HttpResponse | None:
        """Renew the lease as the leader's delegate; else record a misdirected worker, and return None."""
        if heartbeat.fencing_token:
            leader = self._election.leader
            renewed_fencing_token = self._delegated_renewals.renewal_fencing_token(
                heartbeat,
                self._store.contact_at,
                leader.fencing_token if leader else 0,
                leader is not None and self._is_unreachable(leader.member),
            )
            if renewed_fencing_token is not None:
                return http_response(HTTPStatus.OK, HeartbeatResponse(renewed_fencing_token).body())
            # Workers of new machines start with any node; one with a fencing token was answered by a leader.
            self._misdirected_workers.record(heartbeat)
        return None

    def _redirect(self, heartbeat: Heartbeat) -> HttpResponse | DeferredResponse:
        """Wait briefly for a leader, and redirect the worker to it."""
        leader = self._election.known_leader.await_leader(self._await_leader_s)
        if (
            leader is not None
            and leader.member != self._member
            and not self.forwarder.leader_accepts_relays()
        ):
            now = time.monotonic()
            wait_s = self._redirect_backoff.wait_s(
                heartbeat, leader.fencing_token, now - self._election.known_leader.leader_since, now
            )
            if wait_s:
                leader = self._election.known_leader.await_next_leader(leader, wait_s)
        # This node may have been elected in the meantime.
        return self._answer_as_leader(heartbeat) or self._redirect_to(leader)

    def _redirect_to(self, leader: Leader | None) -> HttpResponse:
        """Return status 421, with the leader's name if another controller leads."""
        if leader is None or leader.member == self._member:
            return http_response(HTTPStatus.MISDIRECTED_REQUEST)
        return http_response(HTTPStatus.MISDIRECTED_REQUEST, Redirect(leader.member).body())
