"""A controller as a relay: whether it passes reports on, to whom, and what it tells workers then."""

from __future__ import annotations

import random
import time
from collections.abc import Callable
from http import HTTPStatus

from poppyhold.cluster.known_leader import Leader
from poppyhold.relay.leader import heartbeat_response_timeout_s
from poppyhold.relay.link import RelayLink, RelayTimes
from poppyhold.relay.messages import Outcome, RelayedAnswer, RelayHello
from poppyhold.relay.overflow import Overflow
from poppyhold.settings import Settings, split_address
from poppyhold.wire.http_server import DeferredResponse, HttpResponse, http_response
from poppyhold.wire.worker_messages import Heartbeat, HeartbeatResponse, Redirect

# Share of a relay's connections that workers may take; the rest is for users and for workers on their way.
_WORKERS_SHARE = 0.9


class HeartbeatForwarder:
    """Passes workers' reports on while a leader wants it."""

    def __init__(
        self,
        settings: Settings,
        leader: Callable[[], Leader | None],
        leads: Callable[[], bool],
        without_leader: Callable[[Heartbeat], HttpResponse | None],
        elsewhere: Callable[[], HttpResponse],
        rng: random.Random,
    ) -> None:
        """``leads``: whether we lead ourselves.

        ``without_leader`` answers what the leader did not, if that may be; ``elsewhere`` sends to the leader.
        """
        self._leader, self._leads = leader, leads
        self._without_leader, self._elsewhere = without_leader, elsewhere
        workers = settings.settings.workers
        self._lease_s = workers.lease_s
        # When a leader last asked for reports to be relayed.
        self._asked_at = float("-inf")
        self._highest_fencing_token = 0
        connections = settings.settings.machine_limits.connections
        self._overflow = Overflow(int(connections * _WORKERS_SHARE), workers.lease_s, time.monotonic)
        self._link = RelayLink(
            RelayHello(settings.member, settings.domain),
            {known.member: split_address(known.address) for known in settings.known},
            self._target,
            self._seen_fencing_token,
            RelayTimes(workers.heartbeat_interval_s, heartbeat_response_timeout_s(workers), workers.lease_s),
            connections,
            rng,
            self._overflow.advise,
        )

    def start(self) -> None:
        """Start the thread."""
        self._link.start()

    def stop(self) -> None:
        """End it."""
        self._link.stop()

    def leader_spoke(self, fencing_token: int, wants_relays: bool) -> None:
        """A leader's ping came."""
        self._highest_fencing_token = max(self._highest_fencing_token, fencing_token)
        self._asked_at = time.monotonic() if wants_relays else float("-inf")

    def is_wanted(self) -> bool:
        """Whether a leader wanted reports to be relayed within the last lease."""
        return time.monotonic() - self._asked_at < self._lease_s

    def handle(self, heartbeat: Heartbeat) -> HttpResponse | DeferredResponse | None:
        """Pass a report to the leader, or its worker to another relay; None if none is relayed now."""
        if not self._link.is_open():
            return None
        other = self._overflow.send_on(heartbeat.machine)
        if other is not None:
            return http_response(HTTPStatus.MISDIRECTED_REQUEST, Redirect(other).body())

        def defer(send: Callable[[HttpResponse], None]) -> None:
            def respond(relayed: RelayedAnswer | None) -> None:
                send(self._answer(heartbeat, relayed))

            if not self._link.offer(heartbeat, respond):
                send(http_response(HTTPStatus.SERVICE_UNAVAILABLE, {"error": "too many reports wait"}))

        return defer

    def _answer(self, heartbeat: Heartbeat, relayed: RelayedAnswer | None) -> HttpResponse:
        """What a worker is told behind the leader's answer, or without one."""
        if relayed is None:
            return self._without_leader(heartbeat) or self._unanswered()
        if relayed.outcome is Outcome.ANSWERED:
            return http_response(
                HTTPStatus.OK, HeartbeatResponse(relayed.fencing_token, relayed.commands).body()
            )
        if relayed.outcome is Outcome.MOVED:
            return http_response(HTTPStatus.MISDIRECTED_REQUEST, Redirect(relayed.controller).body())
        return http_response(HTTPStatus.SERVICE_UNAVAILABLE, {"error": "not entitled now"})

    def _unanswered(self) -> HttpResponse:
        """Where a worker goes that we had no answer for.

        Behind a change of leader to another relay, for the next leader reads what is durable before it takes
        any: sent to it by the hundred, workers took most of its connections. That is said for one patience
        only, lest a worker go from relay to relay that are all cut off from a leader that it reaches itself.
        """
        if self._link.is_regaining():
            return http_response(HTTPStatus.SERVICE_UNAVAILABLE, {"error": "no leader to pass this on to"})
        return self._elsewhere()

    def _target(self) -> str | None:
        """The leader, if it takes relays: by its own word, or by that of the one before it."""
        leader = self._leader()
        return leader.member if self.is_wanted() and leader is not None and not self._leads() else None

    def _seen_fencing_token(self) -> int:
        """The highest token that we know of."""
        leader = self._leader()
        return max(self._highest_fencing_token, leader.fencing_token if leader is not None else 0)
