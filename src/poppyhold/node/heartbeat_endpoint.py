"""The leader's answers to heartbeats, whether they come from workers directly or through relays."""

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
    """Has heartbeats answered on the decision thread, for as long as leases may be renewed."""

    def __init__(
        self,
        loop: DecisionLoop,
        controller: Controller,
        assignment: Assignment,
        may_renew_leases: Callable[[], bool],
        make_rejection: Callable[[], HttpResponse],
    ) -> None:
        """``make_rejection`` returns the answer to a heartbeat that the leader can't answer."""
        self._loop, self._controller, self._assignment = loop, controller, assignment
        self._may_renew_leases, self._make_rejection = may_renew_leases, make_rejection
        self._ready = threading.Event()

    def mark_ready(self) -> None:
        """The state is rebuilt: heartbeats can be answered from now on."""
        self._ready.set()

    def handle(self, heartbeat: Heartbeat, timeout_s: float) -> DeferredResponse | None:
        """Have a direct heartbeat answered by the decision thread; None if the term is not ready in time."""
        # A worker that is rejected comes back a second later, when its lease may be over: while the fleet's
        # state is read it had better wait.
        if not self._ready.wait(timeout_s):
            return None
        # Nobody waits for the answer after this: work on it would only hold up the heartbeats that follow.
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
        """The answer to a direct heartbeat, which may be the name of a relay; None: no lease is renewed."""
        relay = self._assignment.assign(
            heartbeat.machine, heartbeat.zone, self._controller.last_response_at(heartbeat.machine)
        )
        if relay is not None:
            return http_response(HTTPStatus.MISDIRECTED_REQUEST, Redirect(relay).body())
        response = self.answer(heartbeat, deadline)
        return http_response(HTTPStatus.OK, response.body()) if response is not None else None

    def answer(self, heartbeat: Heartbeat, deadline: float) -> HeartbeatResponse | None:
        """On the decision thread: answer a heartbeat, whichever way it came; None if it can't be answered.

        After ``deadline`` nobody waits for the answer.
        """
        if not self._loop.alive or time.monotonic() >= deadline or not self._may_renew_leases():
            return None
        return self._controller.handle_heartbeat(heartbeat)
