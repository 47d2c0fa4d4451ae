"""The relay of a simulated node: the real queue, and a connection to the leader that can be cut or slow."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from poppyhold.relay.connected_relay import ConnectedRelay
from poppyhold.relay.messages import HeartbeatBatch, RelayedResponse, RelayOutcome, ResponseBatch
from poppyhold.relay.queue import Delivery, HeartbeatQueue
from poppyhold.relay.reconnection import ReconnectionWindow
from poppyhold.relay.timings import RelayTimings, heartbeat_response_timeout_s
from poppyhold.scale.responses import Data
from poppyhold.wire.worker_messages import HeartbeatResponse, parse_heartbeat

if TYPE_CHECKING:
    from sim_leader_term import SimLeaderTerm
    from sim_node import SimNode

Respond = Callable[[int, Data], None]
_MOST = 1000
_MOST_IN_BATCH = 64
_LATEST_COPY_S = 4.0


class SimRelay:
    """A process's side of the connection to the leader, as `relay.link` maintains it."""

    def __init__(self, node: SimNode) -> None:
        self._node, self._world = node, node.world
        workers = node.settings.deployment.workers
        self._timings = RelayTimings(
            workers.heartbeat_interval_s, heartbeat_response_timeout_s(workers), workers.lease_s
        )
        self._queue = HeartbeatQueue(_MOST, self._timings.response_timeout_s)
        self._term: SimLeaderTerm | None = None
        self._state: ConnectedRelay | None = None
        self._reconnection = ReconnectionWindow(
            self._timings.reconnect_window_s, self._timings.max_reconnect_window_s
        )
        self._sent_at: float | None = None
        self._round_trip_s = 0.0
        self._gathering = False

    def is_open(self) -> bool:
        """Whether heartbeats are relayed now."""
        return self._term is not None or self._reconnection.is_open(self._world.now)

    def take(self, body: Data, respond: Respond) -> None:
        """Queue a worker's heartbeat; its response is sent once the leader's has arrived."""
        heartbeat = parse_heartbeat(body)

        def relayed(answer: RelayedResponse | None) -> None:
            if answer is None:
                respond(*self._unanswered(body))
            elif answer.outcome is RelayOutcome.ANSWERED:
                respond(200, HeartbeatResponse(answer.fencing_token, answer.commands).body())
            elif answer.outcome is RelayOutcome.REDIRECTED:
                respond(421, {"foreman": answer.controller})
            else:
                respond(503, {})

        if not self._queue.put(heartbeat, self._world.now, relayed):
            respond(503, {})
            return
        self._gather()

    def _unanswered(self, body: Data) -> tuple[int, Data]:
        """As `relay.forwarding` answers heartbeats that the leader did not."""
        status, answer = self._node.handle_heartbeat(body)
        regaining = self._term is None and self._reconnection.is_open(self._world.now)
        return (503, {}) if status == 421 and regaining else (status, answer)

    def close(self) -> None:
        """The process ended, and its connection with it."""
        self._disconnect()

    def step(self) -> None:
        """Connect, detect lost connections, and expire heartbeats that waited too long."""
        now = self._world.now
        if self._term is not None and not self._is_sound(self._term):
            self._lost()
        leader = self._world.leader()
        if self._term is not None and self._node.reaches_state() and leader not in (None, self._term.node):
            # The key names another leader.
            self._lost()
        if self._sent_at is not None and now - self._sent_at > self._timings.stall_timeout_s:
            self._lost()
        if self._term is None:
            self._reconnection.record_leader(leader.member if leader is not None else None, now)
            self._connect()
        if self._term is not None and self._sent_at is None and not self._queue.unsent_count:
            self._send_batch(self._term)
        self._deliver(self._queue.expire(now))
        if not self.is_open():
            self._deliver(self._queue.fail_all())
        if self._queue.unsent_count:
            self._gather()

    def _reaches(self, other: SimNode) -> bool:
        cut = (
            self._node.lost_peers
            or other.lost_peers
            or self._world.is_partitioned(self._node.zone, other.zone)
        )
        return other.alive and not cut

    def _is_sound(self, term: SimLeaderTerm) -> bool:
        # A cut link is detected only by missing responses; a crash or the end of a term closes it.
        return term.alive and term.node.alive and self._state is not None and self._state.alive

    def _connect(self) -> None:
        leader = self._world.leader()
        if leader is None or leader is self._node or leader.leader_term is None or not self._reaches(leader):
            return
        term = leader.leader_term
        if not term.assignment.accepts_relays or leader.frozen or not self._node.relays:
            return
        self._round_trip_s = 0.0
        self._term, self._state = term, ConnectedRelay(self._node.member, self._node.zone)
        before = term.relays.get(self._node.member)
        if before is not None:
            before.alive = False
        term.relays[self._node.member] = self._state
        term.assignment.relay_connected(self._node.member, self._node.zone)

    def _lost(self) -> None:
        member = self._term.node.member if self._term is not None else None
        self._disconnect()
        self._reconnection.connection_lost(member, self._world.now)
        self._queue.connection_lost()

    def _disconnect(self) -> None:
        term, state = self._term, self._state
        self._term = self._state = self._sent_at = None
        if state is not None:
            state.alive = False
        if term is not None and state is not None and term.relays.get(self._node.member) is state:
            del term.relays[self._node.member]
            term.assignment.relay_disconnected(self._node.member)

    def _gather(self) -> None:
        if not self._gathering:
            self._gathering = True
            self._world.after(self._timings.batch_delay_s, self._send)

    def _send(self) -> None:
        self._gathering = False
        if not self._node.alive or self._term is None or not self._queue.unsent_count:
            return
        if self._node.frozen:
            self._gather()
            return
        self._send_batch(self._term)

    def _send_batch(self, term: SimLeaderTerm) -> None:
        batch = self._queue.next_batch(self._world.now, _MOST_IN_BATCH, self._round_trip_s)
        self._sent_at = self._sent_at if self._sent_at is not None else self._world.now
        self._carry(term, self._state, batch)
        if self._world.duplicates_batches:
            self._carry(term, self._state, batch, self._world.rng.uniform(0.0, _LATEST_COPY_S))

    def _carry(
        self, term: SimLeaderTerm, state: ConnectedRelay | None, batch: HeartbeatBatch, later_s: float = 0.0
    ) -> None:
        delay = 0.001 + self._world.link_delay_s + self._world.batch_delay_s + later_s

        def arrive() -> None:
            if state is None or not state.alive or not term.alive:
                return
            if term.node.frozen or not self._reaches(term.node):
                # Held back in the network, or by a frozen process.
                self._world.after(0.1, arrive)
                return
            answers = term.batch_handler.handle(state, batch, self._world.now)
            term.settle()
            back = 0.001 + self._world.link_delay_s + self._world.batch_delay_s
            self._world.after(back, lambda: self._answered(state, term, answers))

        self._world.after(delay, arrive)

    def _answered(self, state: ConnectedRelay, term: SimLeaderTerm, answers: ResponseBatch) -> None:
        if self._state is not state or not self._node.alive:
            return
        if self._node.frozen or not self._reaches(term.node):
            self._world.after(0.1, lambda: self._answered(state, term, answers))
            return
        now = self._world.now
        if self._sent_at is not None:
            self._round_trip_s = now - self._sent_at
        self._sent_at = None
        self._deliver(self._queue.match_responses(answers, now, self._node.lowest_fencing_token()))

    @staticmethod
    def _deliver(deliveries: list[Delivery]) -> None:
        for delivery in deliveries:
            delivery.deliver()
