"""The leader's handling of relayed batches: heartbeats in them are answered like direct ones."""

from __future__ import annotations

from collections.abc import Callable, Iterator

import msgspec

from poppyhold.relay.assignment import Assignment
from poppyhold.relay.connected_relay import ConnectedRelay
from poppyhold.relay.messages import HeartbeatBatch, RelayedResponse, RelayOutcome, ResponseBatch
from poppyhold.wire.frames import MAX_MESSAGE_ENTRIES_BYTES
from poppyhold.wire.message_limits import json_bytes
from poppyhold.wire.worker_messages import Heartbeat, HeartbeatResponse


def messages_for(batch: ResponseBatch) -> Iterator[ResponseBatch]:
    """Split the responses to a batch so that each message stays within its limit; mostly it is one."""
    responses: list[RelayedResponse] = []
    remaining_bytes = MAX_MESSAGE_ENTRIES_BYTES
    for response in batch.responses:
        size = json_bytes(response)
        if size > remaining_bytes and responses:
            yield msgspec.structs.replace(batch, responses=responses)
            responses, remaining_bytes = [], MAX_MESSAGE_ENTRIES_BYTES
        responses.append(response)
        remaining_bytes -= size
    yield msgspec.structs.replace(batch, responses=responses)


class BatchHandler:
    """Answers batches; used on the decision thread only."""

    def __init__(
        self,
        answer: Callable[[Heartbeat, float], HeartbeatResponse | None],
        answered_at: Callable[[str], float],
        assignment: Assignment,
        response_timeout_s: float,
    ) -> None:
        """``answer`` takes a heartbeat and the time at which its response is no longer awaited.

        ``answered_at`` returns when a machine's worker was last answered.
        """
        self._answer_heartbeat, self._answered_at = answer, answered_at
        self._assignment, self._response_timeout_s = assignment, response_timeout_s

    def handle(self, relay: ConnectedRelay, batch: HeartbeatBatch, received_at: float) -> ResponseBatch:
        """Answer each heartbeat of a batch that arrived at ``received_at``."""
        self._assignment.record_round_trip(relay.member, batch.round_trip_ms / 1000)
        responses = list(self._responses(relay, batch, received_at))
        advice = self._assignment.load_advice(relay.member)
        return ResponseBatch(responses, advice.max_workers, advice.underloaded_relays)

    def _responses(
        self, relay: ConnectedRelay, batch: HeartbeatBatch, received_at: float
    ) -> Iterator[RelayedResponse]:
        for full in batch.heartbeats:
            relay.cache_full(full.heartbeat)
            yield self._answer(relay, full.number, full.waited_ms, full.heartbeat, received_at)
        for unchanged in batch.unchanged:
            heartbeat = relay.restore(unchanged)
            if heartbeat is None:
                yield RelayedResponse(unchanged.number, RelayOutcome.FULL_HEARTBEAT_REQUIRED)
            else:
                yield self._answer(relay, unchanged.number, unchanged.waited_ms, heartbeat, received_at)

    def _answer(
        self, relay: ConnectedRelay, number: int, waited_ms: int, heartbeat: Heartbeat, received_at: float
    ) -> RelayedResponse:
        answered_at = self._answered_at(heartbeat.machine)
        target = self._assignment.reassign(heartbeat.machine, heartbeat.zone, relay.member, answered_at)
        if target is not None:
            return RelayedResponse(number, RelayOutcome.REDIRECTED, controller=target)
        # The relay sends a duration, not a time, since the two clocks may differ.
        deadline = received_at + self._response_timeout_s - waited_ms / 1000
        response = self._answer_heartbeat(heartbeat, deadline)
        if response is None:
            return RelayedResponse(number, RelayOutcome.REJECTED)
        self._assignment.record_relayed_heartbeat(heartbeat.machine, relay.member)
        return RelayedResponse(number, RelayOutcome.ANSWERED, response.fencing_token, response.commands)
