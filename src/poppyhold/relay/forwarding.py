"""A controller as a relay: when it forwards heartbeats, to which leader, and how it answers workers."""

from __future__ import annotations

import random
import time
from collections.abc import Callable
from http import HTTPStatus

from poppyhold.cluster.leader_key import Leader
from poppyhold.configuration_checks import split_address
from poppyhold.relay.link import RelayLink
from poppyhold.relay.messages import RelayedResponse, RelayHello, RelayOutcome
from poppyhold.relay.overflow_redirect import OverflowRedirector
from poppyhold.relay.timings import RelayTimings, heartbeat_response_timeout_s
from poppyhold.settings import Settings
from poppyhold.wire.http_server import DeferredResponse, HttpResponse, http_response
from poppyhold.wire.worker_messages import Heartbeat, HeartbeatResponse, Redirect

# Share of a relay's connections for workers; the rest is for users and for workers that it redirects.
_WORKER_CONNECTIONS_SHARE = 0.9


class HeartbeatForwarder:
    """Forwards workers' heartbeats while the leader accepts relays."""

    def __init__(
        self,
        settings: Settings,
        leader: Callable[[], Leader | None],
        is_leading: Callable[[], bool],
        answer_without_leader: Callable[[Heartbeat], HttpResponse | None],
        redirect_to_leader: Callable[[], HttpResponse],
        rng: random.Random,
    ) -> None:
        """``is_leading``: whether this node is the leader.

        ``answer_without_leader`` answers a heartbeat that the leader did not, if this node may.
        """
        self._leader, self._is_leading = leader, is_leading
        self._answer_without_leader, self._redirect_to_leader = answer_without_leader, redirect_to_leader
        workers = settings.deployment.workers
        self._lease_s = workers.lease_s
        # When a ping from a leader that accepts relays last arrived; -inf after one that doesn't.
        self._accepting_ping_at = float("-inf")
        self._highest_fencing_token = 0
        connections = settings.deployment.machine_limits.connections
        self._overflow = OverflowRedirector(
            int(connections * _WORKER_CONNECTIONS_SHARE), workers.lease_s, time.monotonic
        )
        self._link = RelayLink(
            RelayHello(settings.member, settings.zone),
            {known.member: split_address(known.address) for known in settings.peers},
            self._target,
            self._highest_seen_fencing_token,
            RelayTimings(
                workers.heartbeat_interval_s, heartbeat_response_timeout_s(workers), workers.lease_s
            ),
            connections,
            rng,
            self._overflow.update_advice,
        )

    def start(self) -> None:
        """Start the link's thread."""
        self._link.start()

    def stop(self) -> None:
        """Stop the link's thread."""
        self._link.stop()

    def record_ping(self, fencing_token: int, accepts_relays: bool) -> None:
        """Record a leader's ping."""
        self._highest_fencing_token = max(self._highest_fencing_token, fencing_token)
        self._accepting_ping_at = time.monotonic() if accepts_relays else float("-inf")

    def leader_accepts_relays(self) -> bool:
        """Whether the last ping is from a leader that accepts relays, and at most a lease old."""
        return time.monotonic() - self._accepting_ping_at < self._lease_s

    def handle(self, heartbeat: Heartbeat) -> HttpResponse | DeferredResponse | None:
        """Forward a heartbeat to the leader or redirect its worker; None if this node does not relay now."""
        if not self._link.is_open():
            return None
        target = self._overflow.redirect(heartbeat.machine)
        if target is not None:
            return http_response(HTTPStatus.MISDIRECTED_REQUEST, Redirect(target).body())

        def defer(send: Callable[[HttpResponse], None]) -> None:
            def on_response(response: RelayedResponse | None) -> None:
                send(self._answer(heartbeat, response))

            if not self._link.offer(heartbeat, on_response):
                send(http_response(HTTPStatus.SERVICE_UNAVAILABLE, {"error": "too many reports wait"}))

        return defer

    def _answer(self, heartbeat: Heartbeat, response: RelayedResponse | None) -> HttpResponse:
        """Build the response to a worker from the leader's; None: the leader did not respond."""
        if response is None:
            return self._answer_without_leader(heartbeat) or self._unanswered()
        if response.outcome is RelayOutcome.ANSWERED:
            return http_response(
                HTTPStatus.OK, HeartbeatResponse(response.fencing_token, response.commands).body()
            )
        if response.outcome is RelayOutcome.REDIRECTED:
            return http_response(HTTPStatus.MISDIRECTED_REQUEST, Redirect(response.controller).body())
        return http_response(HTTPStatus.SERVICE_UNAVAILABLE, {"error": "not entitled now"})

    def _unanswered(self) -> HttpResponse:
        """Build the response to a worker that got none from the leader.

        While the link reconnects it is a 503, which makes the worker try another relay: a new leader first
        loads the durable state, and hundreds of redirected workers would take most of its connections. That
        ends with the reconnection window, so that a worker isn't passed around for long between relays that
        are partitioned from a leader which it can reach itself.
        """
        if self._link.is_reconnecting():
            return http_response(HTTPStatus.SERVICE_UNAVAILABLE, {"error": "no leader to pass this on to"})
        return self._redirect_to_leader()

    def _target(self) -> str | None:
        """Return the leader to relay to, if it or the leader before it accepts relays by its ping."""
        leader = self._leader()
        if self.leader_accepts_relays() and leader is not None and not self._is_leading():
            return leader.member
        return None

    def _highest_seen_fencing_token(self) -> int:
        """Return the highest fencing token that this node has seen."""
        leader = self._leader()
        return max(self._highest_fencing_token, leader.fencing_token if leader is not None else 0)
