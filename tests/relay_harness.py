"""A relay's queue, the leader's batch handler and an assignment, for tests of relays."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

import msgspec

from poppyhold.model.durations import Durations
from poppyhold.options import Options, RelayMode
from poppyhold.relay.assignment import Assignment
from poppyhold.relay.batch_handler import BatchHandler
from poppyhold.relay.connected_relay import ConnectedRelay
from poppyhold.relay.messages import HeartbeatBatch, RelayedResponse, RelayOutcome, ResponseBatch
from poppyhold.relay.queue import HeartbeatQueue
from poppyhold.wire.worker_messages import Heartbeat, HeartbeatResponse
from world import World

RESPONSE_TIMEOUT_S = 2.5
FENCING_TOKEN = 7


def heartbeat(machine: str = "vm-1", sequence: int = 1, **changes: Any) -> Heartbeat:
    """A worker's heartbeat."""
    plain = Heartbeat(machine, f"{machine}:1", "small", "a", False, 1, sequence, FENCING_TOKEN)
    return msgspec.structs.replace(plain, **changes)


def sent_over_the_wire(batch: HeartbeatBatch) -> HeartbeatBatch:
    """A batch as it is received."""
    return msgspec.msgpack.decode(msgspec.msgpack.encode(batch), type=HeartbeatBatch)


class RelayQueue:
    """A relay's queue, and the responses that it delivered to its workers."""

    def __init__(self, most: int = 100) -> None:
        self.queue = HeartbeatQueue(most, RESPONSE_TIMEOUT_S)
        self.responses: list[RelayedResponse | None] = []

    def put(self, taken: Heartbeat, now: float = 0.0) -> bool:
        """A heartbeat arrives."""
        return self.queue.put(taken, now, self.responses.append)

    def answers(
        self, *answers: RelayedResponse, now: float = 0.1, min_fencing_token: int = FENCING_TOKEN
    ) -> None:
        """The leader's responses arrive."""
        for response in self.queue.match_responses(ResponseBatch(list(answers)), now, min_fencing_token):
            response.deliver()


def answered(number: int, fencing_token: int = FENCING_TOKEN) -> RelayedResponse:
    """The leader's response to a heartbeat."""
    return RelayedResponse(number, RelayOutcome.ANSWERED, fencing_token)


class LeadingNode:
    """The batch handler with a simulated decision core."""

    def __init__(self) -> None:
        self.now = 0.0
        self.taken: list[Heartbeat] = []
        self.answer: HeartbeatResponse | None = HeartbeatResponse(FENCING_TOKEN, [])
        self.assignment = assignment(lambda: self.now)
        self.assignment.relay_connected("hive-1", "a")
        self.handler = BatchHandler(self._answer, lambda _: self.now, self.assignment, RESPONSE_TIMEOUT_S)
        self.relay = ConnectedRelay("hive-1", "a")

    def _answer(self, taken: Heartbeat, deadline: float) -> HeartbeatResponse | None:
        if self.now >= deadline:
            return None
        self.taken.append(taken)
        return self.answer

    def handle(self, relay: RelayQueue) -> list[RelayedResponse]:
        """Handle the next batch of a relay."""
        batch = sent_over_the_wire(relay.queue.next_batch(self.now, 64))
        return self.handler.handle(self.relay, batch, self.now).responses


def assignment(
    clock: Callable[[], float], mode: RelayMode = RelayMode.FORCED, enable_threshold: float = 8.0
) -> Assignment:
    """An assignment of a leader in zone a."""
    times = Durations(World(1, 10.0, 30.0, []).settings, Options())
    return Assignment(mode, enable_threshold, 8.0, "hive-0", "a", times, clock, random.Random(1))


ZONES = {"hive-1": "a", "hive-2": "a", "hive-3": "b", "hive-4": "b", "hive-5": "c"}
MACHINES = {f"vm-{index:04d}": "abc"[index % 3] for index in range(600)}


class AssignedFleet:
    """An assignment, and workers that follow its redirects."""

    def __init__(self, mode: RelayMode = RelayMode.FORCED, enable_threshold: float = 8.0) -> None:
        self.now = 100.0
        self.assignment = assignment(lambda: self.now, mode, enable_threshold)
        for member, zone in ZONES.items():
            self.connect(member, zone)
        self.assignment.update_machines(set(MACHINES))
        # The redirect budget has been refilled by now.
        self.now += 5.0
        self.at: dict[str, str] = {}

    def connect(self, member: str, zone: str) -> None:
        """A relay connects, and its round trip is known."""
        self.assignment.relay_connected(member, zone)
        self.assignment.record_round_trip(member, 0.01)

    def direct(self, machine: str, answered_ago: float = 1.0) -> str | None:
        """A worker sends a direct heartbeat; it follows a redirect."""
        relay = self.assignment.assign(machine, MACHINES[machine], self.now - answered_ago)
        if relay is not None:
            self.at[machine] = relay
            self.assignment.record_relayed_heartbeat(machine, relay)
        return relay

    def settle(self, spans: int = 200) -> None:
        """Let every worker send heartbeats, a tenth of a second at a time."""
        for _ in range(spans):
            self.now += 0.1
            for machine, zone in MACHINES.items():
                relay = self.at.get(machine)
                if relay is None:
                    self.direct(machine)
                    continue
                target = self.assignment.reassign(machine, zone, relay, self.now - 1.0)
                if target is not None:
                    self.at.pop(machine)
                    if target != "hive-0":
                        self.at[machine] = target
                        self.assignment.record_relayed_heartbeat(machine, target)
