"""Requests to workers, transactions and messages between controllers stay within their size limits."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest

from poppyhold.cluster.cancellations import Cancellation
from poppyhold.cluster.change_feed import ChangeFeed
from poppyhold.cluster.lease_delegation import LeaseDelegation
from poppyhold.cluster.peer_client import (
    _MAX_IMAGE_HINT_BYTES,
    _MAX_IMAGE_HINTS,
    _MAX_TASK_COUNT_BYTES,
    _MAX_TASK_COUNTS,
)
from poppyhold.cluster.peer_messages import Ping, Pong
from poppyhold.execution.direct_commands import _MAX_COMMANDS_PER_REQUEST
from poppyhold.model.outbound import MisdirectedWorker
from poppyhold.node.cancellation_tracker import _MAX_EXCLUDED_BYTES
from poppyhold.node.peer_handler import _MAX_MISDIRECTED_BYTES
from poppyhold.node.user_api import _MAX_LISTED_CANCELLATIONS
from poppyhold.relay.batch_handler import messages_for
from poppyhold.relay.messages import RelayedResponse, RelayOutcome, ResponseBatch
from poppyhold.scale.jobs import submission, wire
from poppyhold.wire.codec import MAX_ACCEPTED_HEARTBEAT_BYTES, MAX_BODY_BYTES, MalformedError
from poppyhold.wire.frames import MAX_MESSAGE_BYTES
from poppyhold.wire.message_limits import commands_that_fit, json_bytes, newest_that_fit
from poppyhold.wire.user_messages import parse_submission
from poppyhold.wire.worker_messages import Command, CommandKind, DirectCommandsRequest, TaskStatus
from relay_harness import RelayQueue
from relay_harness import heartbeat as relayed_heartbeat


def test_a_direct_request_is_within_the_limit() -> None:
    command = Command(CommandKind.STOP, f"job-{'9' * 18}/99999", 2**64 - 1, 1.7976931348623157e308)
    request = DirectCommandsRequest(2**64 - 1, 2**64 - 1, [command] * _MAX_COMMANDS_PER_REQUEST)
    assert json_bytes(request) <= MAX_BODY_BYTES


def tasks_of(heartbeat_bytes: int) -> list[TaskStatus]:
    """Tasks that take about so many bytes of a heartbeat."""
    status = TaskStatus("job-000001/12345", 1 << 40, "running")
    return [status] * (heartbeat_bytes // json_bytes(status))


def sizes_over_the_wire(messages: list[Any]) -> list[int]:
    return [len(msgspec.msgpack.encode(message)) for message in messages]


def test_relayed_heartbeats_of_the_largest_size_fit_into_their_messages() -> None:
    # Guards against a connection between controllers that breaks each time a large batch is sent.
    relay = RelayQueue(200)
    for number in range(64):
        relay.put(relayed_heartbeat(f"vm-{number}", tasks=tasks_of(MAX_BODY_BYTES)))
    relay.put(relayed_heartbeat("vm-64", tasks=tasks_of(MAX_ACCEPTED_HEARTBEAT_BYTES)))
    batches = []
    while relay.queue.unsent_count:
        batches.append(relay.queue.next_batch(0.0, 64))
    assert max(sizes_over_the_wire(batches)) <= MAX_MESSAGE_BYTES
    assert [full.heartbeat.machine for batch in batches for full in batch.heartbeats] == [
        f"vm-{number}" for number in range(65)
    ]
    # Unchanged ones are short, however large they are in full.
    for number in range(64):
        relay.put(relayed_heartbeat(f"vm-{number}", sequence=2, tasks=tasks_of(MAX_BODY_BYTES)))
    assert len(relay.queue.next_batch(0.0, 64).unchanged) == 64


def test_responses_of_the_largest_size_fit_into_their_messages() -> None:
    stop = Command(CommandKind.STOP, f"job-{'9' * 18}/99999", 2**64 - 1, 1234.5)
    responses = [
        RelayedResponse(number, RelayOutcome.ANSWERED, 7, commands_that_fit([stop] * 1000))
        for number in range(64)
    ]
    messages = list(messages_for(ResponseBatch(responses, 40, ["hive-1"])))
    assert max(sizes_over_the_wire(messages)) <= MAX_MESSAGE_BYTES
    assert [response for message in messages for response in message.responses] == responses
    assert {message.max_workers for message in messages} == {40}
    small = ResponseBatch([RelayedResponse(1, RelayOutcome.ANSWERED, 7, [stop])], 40, ["hive-1"])
    assert list(messages_for(small)) == [small]
    assert list(messages_for(ResponseBatch())) == [ResponseBatch()]


def test_pings_of_machines_with_many_images_fit_into_their_messages() -> None:
    images = {
        f"{number:04}{'m' * 116}": tuple((f"{kind}{'i' * 190}", 0.0) for kind in range(100))
        for number in range(300)
    }
    images["huge"] = tuple((f"{kind}{'i' * 190}", 0.0) for kind in range(10_000))
    counts = {f"job-{number:018}": (99_999, 99_999) for number in range(10_000)}
    image_feed: ChangeFeed[Any] = ChangeFeed(_MAX_IMAGE_HINTS, _MAX_IMAGE_HINT_BYTES)
    count_feed: ChangeFeed[Any] = ChangeFeed(_MAX_TASK_COUNTS, _MAX_TASK_COUNT_BYTES)
    excluded = ["m" * 120] * (_MAX_EXCLUDED_BYTES // 123)
    received: dict[str, Any] = {}
    image_feed.has_more = True
    while image_feed.has_more:
        batch = image_feed.next_batch(images)
        task_counts = [(job, *pair) for job, pair in count_feed.next_batch(counts)]
        delegation = LeaseDelegation(2**64 - 1, 1e9, excluded)
        ping = Ping("hive-0", 1, True, 0.0, 0, 0, task_counts, batch, delegation)
        assert sizes_over_the_wire([ping])[0] <= MAX_MESSAGE_BYTES
        received.update(batch)
    # Hints are dropped where one machine's would fill a message.
    assert received == {name: value for name, value in images.items() if name != "huge"}


def test_pongs_with_many_workers_and_cancellations_fit_into_their_messages() -> None:
    workers = [MisdirectedWorker(f"{number:05}{'m' * 115}", 9, 2**40) for number in range(20_000)]
    sent = newest_that_fit(workers, _MAX_MISDIRECTED_BYTES)
    assert sent == workers[-len(sent) :]
    assert json_bytes(sent) > _MAX_MISDIRECTED_BYTES // 4
    cancellations = [Cancellation(f"job-{number:018}", 2**40) for number in range(_MAX_LISTED_CANCELLATIONS)]
    pong = Pong("hive-0", 1, False, 0.0, 0, 20_000, cancellations, 0, sent, ["hive-1"])
    assert sizes_over_the_wire([pong])[0] <= MAX_MESSAGE_BYTES
    assert newest_that_fit(workers[:3], _MAX_MISDIRECTED_BYTES) == workers[:3]
    assert newest_that_fit(workers[:1], 10) == []


def test_a_reason_does_not_repeat_a_large_value() -> None:
    body = submission("job-000001", {"rank": "x" * 60_000})
    with pytest.raises(MalformedError) as caught:
        parse_submission(wire(body))
    assert len(str(caught.value)) <= 200
