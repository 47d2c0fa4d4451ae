"""The leader's side of relays: batches of heartbeats and their responses."""

from __future__ import annotations

import msgspec

from poppyhold.durable.keys import LEADER_KEY
from poppyhold.relay.connected_relay import ConnectedRelay
from poppyhold.relay.messages import RelayOutcome, ResponseBatch
from poppyhold.wire.worker_messages import Command, CommandKind, HeartbeatResponse, TaskStatus
from relay_harness import (
    FENCING_TOKEN,
    RESPONSE_TIMEOUT_S,
    LeadingNode,
    RelayQueue,
    heartbeat,
)
from scenario import Scenario


def test_unchanged_heartbeats_are_expanded_from_the_last_full_one() -> None:
    leader, relay = LeadingNode(), RelayQueue()
    tasks = [TaskStatus("job-000001/0", 1, "running")]
    for sequence in (1, 2):
        relay.put(heartbeat(sequence=sequence, tasks=tasks))
        assert [answer.outcome for answer in leader.handle(relay)] == [RelayOutcome.ANSWERED]
    assert leader.taken == [heartbeat(sequence=1, tasks=tasks), heartbeat(sequence=2, tasks=tasks)]


def test_an_unchanged_heartbeat_without_its_full_one_is_requested_in_full() -> None:
    leader, relay = LeadingNode(), RelayQueue()
    relay.put(heartbeat(sequence=1))
    leader.handle(relay)
    relay.put(heartbeat(sequence=2))
    # A new leader, or one that received another full heartbeat of the machine meanwhile.
    for state in (ConnectedRelay("hive-1", "a"), ConnectedRelay("hive-1", "a")):
        leader.relay = state
    leader.relay.cache_full(heartbeat(sequence=9, incarnation=2))
    assert [answer.outcome for answer in leader.handle(relay)] == [RelayOutcome.FULL_HEARTBEAT_REQUIRED]
    assert [taken.sequence for taken in leader.taken] == [1]


def test_commands_are_part_of_the_response() -> None:
    leader, relay = LeadingNode(), RelayQueue()
    command = Command(CommandKind.STOP, "job-000001/0", 3, 4.0)
    leader.answer = HeartbeatResponse(FENCING_TOKEN + 1, [command])
    relay.put(heartbeat())
    answers = ResponseBatch(leader.handle(relay))
    received = msgspec.msgpack.decode(msgspec.msgpack.encode(answers), type=ResponseBatch)
    assert received == answers
    assert (received.responses[0].fencing_token, received.responses[0].commands) == (
        FENCING_TOKEN + 1,
        [command],
    )


def test_heartbeats_that_waited_too_long_at_the_relay_are_rejected() -> None:
    leader, relay = LeadingNode(), RelayQueue()
    relay.put(heartbeat(), now=0.0)
    leader.now = RESPONSE_TIMEOUT_S
    assert [answer.outcome for answer in leader.handle(relay)] == [RelayOutcome.REJECTED]
    assert leader.taken == []


def test_a_leader_that_may_not_answer_rejects_heartbeats() -> None:
    leader, relay = LeadingNode(), RelayQueue()
    leader.answer = None
    relay.put(heartbeat())
    assert [answer.outcome for answer in leader.handle(relay)] == [RelayOutcome.REJECTED]


def test_a_relay_drops_responses_of_a_leader_that_has_since_lost_leadership() -> None:
    scenario = Scenario("world relays=forced\nmachines small a on_demand 2\nmachines small b on_demand 2", 1)
    scenario.play()
    world = scenario.world
    world.run(10.0)
    leader = world.leader()
    assert leader is not None
    assert leader.leader_term is not None
    term = leader.leader_term
    node = next(node for node in world.nodes if node.relay._term is term)
    worker = next(iter(world.workers.values()))
    responses: list[int] = []
    node.relay.take(worker.heartbeat(), lambda status, body: responses.append(status))
    batch = node.relay._queue.next_batch(world.now, 64)
    state = node.relay._state
    assert state is not None
    answers = term.batch_handler.handle(state, batch, world.now)
    assert [answer.outcome for answer in answers.responses] == [RelayOutcome.ANSWERED]
    # Another one takes the lead while the answers are on their way.
    held = world.state.keys[LEADER_KEY]
    world.state.keys[LEADER_KEY] = ({**held[0], "baton": held[0]["baton"] + 1}, *held[1:])
    node.relay._answered(state, term, answers)
    assert responses
    assert responses[0] != 200
