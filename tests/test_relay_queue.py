"""The relay's queue: what is sent in full, which responses count, and its bounds."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest

from poppyhold.relay.messages import RelayedResponse, RelayOutcome
from poppyhold.wire.worker_messages import TaskStatus
from relay_harness import (
    FENCING_TOKEN,
    RESPONSE_TIMEOUT_S,
    RelayQueue,
    answered,
    heartbeat,
)


def test_unchanged_heartbeats_take_less_than_twenty_bytes() -> None:
    relay = RelayQueue()
    tasks = [TaskStatus(f"job-00000{index}/0", 1, "running") for index in range(8)]
    relay.put(heartbeat(sequence=1, tasks=tasks))
    assert len(relay.queue.next_batch(0.0, 64).heartbeats) == 1
    relay.put(heartbeat(sequence=2, tasks=tasks))
    batch = relay.queue.next_batch(0.0, 64)
    assert (len(batch.heartbeats), len(batch.unchanged)) == (0, 1)
    beat = batch.unchanged[0]
    assert (beat.machine, beat.incarnation, beat.sequence, beat.full_sequence) == ("vm-1", 1, 2, 1)
    assert len(msgspec.msgpack.encode(beat)) < 20


@pytest.mark.parametrize(
    "change",
    [
        {"tasks": [TaskStatus("job-000001/0", 1, "running")]},
        {"incarnation": 2},
        {"fencing_token": FENCING_TOKEN + 1},
        {"notice_s": 20.0},
        {"endpoint": "elsewhere:1"},
    ],
    ids=str,
)
def test_a_changed_heartbeat_is_sent_in_full(change: dict[str, Any]) -> None:
    relay = RelayQueue()
    relay.put(heartbeat(sequence=1))
    relay.queue.next_batch(0.0, 64)
    relay.put(heartbeat(sequence=2, **change))
    assert len(relay.queue.next_batch(0.0, 64).heartbeats) == 1


def test_a_new_connection_starts_with_full_heartbeats_and_those_in_flight() -> None:
    relay = RelayQueue()
    relay.put(heartbeat(sequence=1))
    relay.queue.next_batch(0.0, 64)
    relay.put(heartbeat(sequence=2))
    relay.queue.connection_lost()
    batch = relay.queue.next_batch(0.1, 64)
    # The first one is sent in full, and the second may refer to it.
    assert [full.heartbeat.sequence for full in batch.heartbeats] == [1]
    assert [beat.sequence for beat in batch.unchanged] == [2]


def test_a_heartbeat_unknown_to_the_leader_is_sent_again_in_full() -> None:
    relay = RelayQueue()
    relay.put(heartbeat(sequence=1))
    relay.queue.next_batch(0.0, 64)
    relay.answers(answered(1))
    relay.put(heartbeat(sequence=2))
    relay.queue.next_batch(0.0, 64)
    relay.answers(RelayedResponse(2, RelayOutcome.FULL_HEARTBEAT_REQUIRED))
    assert [full.heartbeat.sequence for full in relay.queue.next_batch(0.1, 64).heartbeats] == [2]
    relay.answers(answered(2))
    assert relay.responses == [answered(1), answered(2)]


def test_late_responses_are_dropped() -> None:
    relay = RelayQueue()
    relay.put(heartbeat(), now=0.0)
    relay.answers(answered(1), now=RESPONSE_TIMEOUT_S + 0.01)
    assert relay.responses == [None]


def test_responses_of_a_former_leader_are_dropped() -> None:
    relay = RelayQueue()
    relay.put(heartbeat(sequence=1))
    relay.put(heartbeat(sequence=2))
    relay.answers(
        answered(1, FENCING_TOKEN), answered(2, FENCING_TOKEN + 1), min_fencing_token=FENCING_TOKEN + 1
    )
    assert relay.responses == [None, answered(2, FENCING_TOKEN + 1)]


def test_each_heartbeat_has_one_response_and_only_its_own() -> None:
    relay = RelayQueue()
    relay.put(heartbeat())
    relay.answers(answered(2), answered(1), answered(1))
    assert relay.responses == [answered(1)]
    assert not len(relay.queue)


def test_the_queue_is_bounded_in_number_and_time() -> None:
    relay = RelayQueue(most=2)
    assert [relay.put(heartbeat(f"vm-{index}"), now=float(index)) for index in range(3)] == [
        True,
        True,
        False,
    ]
    for response in relay.queue.expire(RESPONSE_TIMEOUT_S + 0.5):
        response.deliver()
    assert relay.responses == [None]
    assert relay.put(heartbeat("vm-3"), now=3.0)
    # An expired heartbeat is not sent any more.
    assert [full.heartbeat.machine for full in relay.queue.next_batch(3.0, 64).heartbeats] == ["vm-1", "vm-3"]
