"""A controller as a relay: whether it forwards heartbeats, to whom, and how it then answers workers."""

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

# Share of a relay's connections that workers may take; the rest is for users and for redirected workers.
_WORKER_CONNECTIONS_SHARE = 0.9


class HeartbeatForwarder:
    """Forwards workers' heartbeats while a leader wants it."""

    def __init__(
        self,
        settings: Settings,
        leader: Callable[[], Leader | None],
        is_leading: Callable[[], bool],
        answer_without_leader: Callable[[Heartbeat], HttpResponse | None],
        redirect_to_leader: Callable[[], HttpResponse],
        rng: random.Random,
    ) -> None:
        """``is_leading``: whether this node leads itself.

        ``answer_without_leader`` answers what the leader did not, if that is allowed.
        """
        self._leader, self._is_leading = leader, is_leading
        self._answer_without_leader, self._redirect_to_leader = answer_without_leader, redirect_to_leader
        workers = settings.deployment.workers
        self._lease_s = workers.lease_s
        # When a leader last asked for heartbeats to be relayed.
        self._accepted_at = float("-inf")
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
        """Start the thread."""
        self._link.start()

    def stop(self) -> None:
        """Stop the thread."""
        self._link.stop()

    def record_ping(self, fencing_token: int, accepts_relays: bool) -> None:
        """A leader's ping arrived."""
        self._highest_fencing_token = max(self._highest_fencing_token, fencing_token)
        self._accepted_at = time.monotonic() if accepts_relays else float("-inf")

    def leader_accepts_relays(self) -> bool:
        """Whether a leader wanted heartbeats to be relayed within the last lease."""
        return time.monotonic() - self._accepted_at < self._lease_s

    def handle(self, heartbeat: Heartbeat) -> HttpResponse | DeferredResponse | None:
        """Forward a heartbeat to the leader, or redirect its worker; None if none is relayed now."""
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
        """The answer to a worker after the leader's response, or without one."""
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
        """Where to send a worker for which there was no response.

        After a change of leader it goes to another relay, because the next leader loads the durable state
        before it accepts any: redirected to it by the hundred, workers took most of its connections. That
        lasts for one response timeout only. Otherwise a worker could be passed between relays that are all
        partitioned from a leader which it can reach itself.
        """
        if self._link.is_reconnecting():
            return http_response(HTTPStatus.SERVICE_UNAVAILABLE, {"error": "no leader to pass this on to"})
        return self._redirect_to_leader()

    def _target(self) -> str | None:
        """The leader, if it accepts relays: as it said itself, or as the one before it did."""
        leader = self._leader()
        if self.leader_accepts_relays() and leader is not None and not self._is_leading():
            return leader.member
        return None

    def _highest_seen_fencing_token(self) -> int:
        """The highest fencing token that this node knows."""
        leader = self._leader()
        return max(self._highest_fencing_token, leader.fencing_token if leader is not None else 0)
