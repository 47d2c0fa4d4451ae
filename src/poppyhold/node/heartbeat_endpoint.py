"""The leader's answers to heartbeats, sent by workers directly or through relays."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable
from http import HTTPStatus

from poppyhold.concurrency.priority_queue import HEARTBEATS
from poppyhold.node.controller import Controller
from poppyhold.node.decision_loop import DecisionLoop
from poppyhold.relay.assignment import Assignment
from poppyhold.wire.http_server import DeferredResponse, HttpResponse, http_response
from poppyhold.wire.worker_messages import Heartbeat, HeartbeatResponse, Redirect


class HeartbeatEndpoint:
    """Answers heartbeats on the decision thread while the leader may renew leases."""

    def __init__(
        self,
        loop: DecisionLoop,
        controller: Controller,
        assignment: Assignment,
        may_renew_leases: Callable[[], bool],
        make_rejection: Callable[[], HttpResponse],
    ) -> None:
        """``make_rejection`` returns the response to a heartbeat whose lease the leader can't renew now."""
        self._loop, self._controller, self._assignment = loop, controller, assignment
        self._may_renew_leases, self._make_rejection = may_renew_leases, make_rejection
        self._ready = threading.Event()

    def mark_ready(self) -> None:
        """Accept heartbeats from now on: the state is rebuilt."""
        self._ready.set()

    def handle(self, heartbeat: Heartbeat, timeout_s: float) -> DeferredResponse | None:
        """Queue a direct heartbeat for the decision thread; None if the term isn't ready in time."""
        # A rejected worker retries after a second, when its lease may have expired, so heartbeats wait while
        # the leader reads the fleet's state.
        if not self._ready.wait(timeout_s):
            return None
        # After this the worker has timed out; a response would only delay the following heartbeats.
        deadline = time.monotonic() + timeout_s

        def defer(send: Callable[[HttpResponse], None]) -> None:
            def work() -> None:
                result = self._make_rejection()
                try:
                    result = self._answer_direct_heartbeat(heartbeat, deadline) or result
                finally:
                    send(result)

            if not self._loop.post(HEARTBEATS, work):
                send(self._make_rejection())

        return defer

    def _answer_direct_heartbeat(self, heartbeat: Heartbeat, deadline: float) -> HttpResponse | None:
        """Answer a direct heartbeat or redirect it to a relay; None if the lease can't be renewed."""
        relay = self._assignment.assign(
            heartbeat.machine, heartbeat.zone, self._controller.last_response_at(heartbeat.machine)
        )
        if relay is not None:
            return http_response(HTTPStatus.MISDIRECTED_REQUEST, Redirect(relay).body())
        response = self.answer(heartbeat, deadline)
        return http_response(HTTPStatus.OK, response.body()) if response is not None else None

    def answer(self, heartbeat: Heartbeat, deadline: float) -> HeartbeatResponse | None:
        """Answer a direct or relayed heartbeat, on the decision thread; None if it can't renew the lease.

        After ``deadline`` the worker has timed out.
        """
        if not self._loop.alive or time.monotonic() >= deadline or not self._may_renew_leases():
            return None
        return self._controller.handle_heartbeat(heartbeat)
