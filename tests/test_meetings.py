"""Meetings of troubles that a scenario would reach only by luck: each step by itself."""

from __future__ import annotations

from typing import Any

import pytest

from poppyhold.cluster.election import Election, Term
from poppyhold.cluster.lease_delegation import LeaseDelegation
from poppyhold.durable.changes import Entry
from poppyhold.durable.errors import OutcomeUnknownError
from poppyhold.durable.keys import ACTIVE_JOB_PREFIX, FINAL_JOB_PREFIX, LEADER_KEY, PLAN_PREFIX
from poppyhold.model.entities import RecordState, StartChannel
from poppyhold.options import Options
from poppyhold.scale.jobs import submission, wire
from poppyhold.settings import Team
from poppyhold.wire.codec import encode
from poppyhold.wire.worker_messages import parse_heartbeat
from sim_node import SimLeaderTerm
from test_reconciliation import leading_world
from test_store import UnreliableStore
from world import World


def next_leader(world: World) -> SimLeaderTerm:
    """The leader ends, and another node leads; its machines have not been heard yet."""
    old = world.leader()
    assert old is not None
    for worker in world.workers.values():
        world.faults[worker.name] = {"drop_heartbeats", "drop_inbound"}
    old.crash(1000.0)
    while (leader := world.leader()) is None or leader.leader_term is None:
        world.run(world.now + 0.05)
    return leader.leader_term


def test_answers_that_renew_a_lease_stop_what_must_be_gone() -> None:
    # A report with an older token proves nothing, but its answer renews a lease: were a task that was
    # cancelled long ago left out of it, and the machine to hang right then, the task would outlive cancel_s.
    world, _ = leading_world()
    world.cancel("job-000001")
    old = world.workers["vm-000001"].heartbeat()
    assert [chore["status"] for chore in old["chores"]] == ["running"]
    leader_term = next_leader(world)
    answer = leader_term.controller.handle_heartbeat(parse_heartbeat(old))
    assert answer is not None
    assert [(order["verb"], order["chore"]) for order in answer.body()["orders"]] == [
        ("stop", "job-000001/0")
    ]


def test_old_heartbeat_at_a_new_leader_proves_nothing() -> None:
    world, _ = leading_world()
    old = world.workers["vm-000001"].heartbeat()
    leader_term = next_leader(world)
    attempts = leader_term.controller.reconciler
    assert attempts.lease_expiry.unreconciled == {"vm-000001"}
    answer = leader_term.controller.handle_heartbeat(parse_heartbeat(old))
    machine = leader_term.controller.ctx.fleet.machines["vm-000001"]
    # No order but stops, nothing adopted, not heard, and what it holds still counts as unknown.
    assert answer is not None
    assert answer.body() == {"baton": leader_term.fencing_token, "orders": []}
    assert not machine.reconciled
    assert not machine.attempts
    assert attempts.lease_expiry.unreconciled == {"vm-000001"}
    assert not attempts.lease_expiry.all_reconciled()
    # Nor does a node that may stand in for this leader take it.
    other = next(node for node in world.nodes if node.alive and node.leader_term is None)
    other.delegated_renewal.observe_leader(
        leader_term.fencing_token, LeaseDelegation(leader_term.fencing_token, world.now, [])
    )
    world.now += 2 * other.times.delegated_renewal_after_s
    assert other.handle_heartbeat(old)[0] == 421
    assert other.handle_heartbeat({**old, "baton": leader_term.fencing_token})[0] == 200


def test_cancellation_that_overtakes_its_submission() -> None:
    # The decision thread takes cancellations before submissions, and other controllers tell of them.
    _, leader_term = leading_world()
    controller = leader_term.controller
    job = wire(submission("job-000007", {"chores": 1}))
    controller.handle_job_removed(ACTIVE_JOB_PREFIX + "job-000007")
    controller.handle_job_accepted(Entry(ACTIVE_JOB_PREFIX + "job-000007", {"spec": job, "at": 0.0}, 99))
    assert "job-000007" not in controller.ctx.fleet.jobs


def test_job_whose_record_is_gone_is_over() -> None:
    # Its news came in an order that let it come into being: the plan that can't be made durable ends it, or
    # machines would be rented for it for ever.
    world, leader_term = leading_world()
    controller = leader_term.controller
    job = wire(submission("job-000007", {"chores": 1}))
    controller.handle_job_accepted(Entry(ACTIVE_JOB_PREFIX + "job-000007", {"spec": job, "at": 0.0}, 99))
    assert "job-000007" in controller.ctx.fleet.jobs
    world.run(world.now + 2.0)
    assert "job-000007" not in controller.ctx.fleet.jobs


@pytest.mark.parametrize("via", [StartChannel.DIRECT, StartChannel.HEARTBEAT_RESPONSE])
def test_nothing_starts_on_a_machine_before_its_record_is_durable(via: StartChannel) -> None:
    # It is up at once and has room, while writes lag; the leader may end at any moment, and the next one
    # would not know that the machine holds anything.
    world, leader_term = leading_world()
    world.submit(submission("job-000010", {"chores": 7, "sizeGb": 0.1, "guessS": 200.0}))
    world.run(world.now + 2.0)
    job = leader_term.controller.ctx.fleet.jobs["job-000010"]
    assert (job.plan_durable, job.pending) == (True, 4)
    world.delayed_commit_share = 1.0
    new = world.add_worker(world.cloud.add("small", "a", False, "running"))
    world.run(world.now + 2.5)
    machine = leader_term.controller.ctx.fleet.machines[new.name]
    if via is StartChannel.HEARTBEAT_RESPONSE:
        machine.connection_unreliable_until = world.now + 1000.0
    world.run(world.now + 6.0)
    assert (machine.reconciled, new.tasks) == (True, {})
    assert machine.record_state is RecordState.REQUESTED
    world.delayed_commit_share = 0.0
    world.run(world.now + 30.0)
    assert len(new.on_machine()) == 4
    assert {attempt.start_channel for attempt in machine.attempts.values()} == {via}
    assert world.violations == []


def test_conflict_with_ones_own_first_try() -> None:
    # The transaction is carried out and its answer lost: the repeat fails on what the first try wrote.
    world, leader_term = leading_world()
    node = next(node for node in world.nodes if node.leader_term is None)
    job = submission("job-000002", {"chores": 2, "guessS": 3.0})
    world.jobs["job-000002"] = job
    node.commit_responses_to_lose = 1
    status, body, _ = node.users.submit(encode(wire(job)))
    assert (status, body["status"]) == (200, "pending")
    node.commit_responses_to_lose = 1
    status, body, _ = node.users.abort("job-000002")
    assert (status, body["status"]) == (200, "cancelled")
    # Named to the leader by the revision that it has, though its own commit never told it.
    named, _ = node.users.cancellations.summarize(0)
    assert named == [("job-000002", world.state.keys[FINAL_JOB_PREFIX + "job-000002"][1])]
    # The leader's writes: the last completion is told as done, a plan and the token are simply there.
    third = submission("job-000003", {"chores": 1, "guessS": 2.0, "sizeGb": 0.1})
    leader_term.node.commit_responses_to_lose = 3
    world.submit(third)
    world.run(world.now + 12.0)
    assert world.observed_status["job-000003"] == "done"
    assert PLAN_PREFIX + "job-000003" not in world.state.keys
    assert world.violations == []


def candidate(store: UnreliableStore, won: list[Term]) -> Election:
    """A node that stands for the lead."""
    world = World(1, 10.0, 30.0, [Team("alpha")])
    return Election(world.settings, Options(), store, won.append, lambda: None, lambda: False, world.rng)


def test_election_whose_answer_is_lost_is_won() -> None:
    store = UnreliableStore("lost")
    won: list[Term] = []
    permit = store.state.lease(2500)[1]["permit"]
    candidate(store, won)._claim_leadership(permit, 0.0)
    assert [term.lease_id for term in won] == [permit]
    assert store.state.keys[LEADER_KEY][1] == won[0].key_revision


def test_claim_that_is_carried_out_late_takes_the_lead_from_nobody() -> None:
    store = UnreliableStore("late")
    won: list[Term] = []
    first, second = (store.state.lease(2500)[1]["permit"] for _ in range(2))
    with pytest.raises(OutcomeUnknownError):
        candidate(store, won)._claim_leadership(first, 0.0)
    candidate(store, won)._claim_leadership(second, 0.0)
    assert store.carry_out_late() == [409]
    assert [term.lease_id for term in won] == [second]
    assert store.state.keys[LEADER_KEY][0]["permit"] == second


def test_repeats_cost_no_changes() -> None:
    # Failing conditions count as changes: users that repeat what is accepted, at any node that knows of it,
    # would eat up what the leader needs.
    world, leader_term = leading_world()
    world.run(world.now + 1.0)
    before = world.work["changes"]
    body = encode(wire(world.jobs["job-000001"]))
    for _ in range(20):
        assert leader_term.node.users.submit(body)[0] == 200
    assert world.work["changes"] == before
    other = next(node for node in world.nodes if node.leader_term is None)
    for _ in range(20):
        assert other.users.submit(body)[0] == 200
    # One failing condition at the most at a node that had not heard of the job.
    assert world.work["changes"] <= before + 1


class NoSlot:
    """Every slot is taken, and nobody may wait for one."""

    def acquire(self, blocking: bool = True, timeout: float | None = None) -> bool:
        assert not blocking, "a user is kept waiting"
        assert timeout is None, "a user is kept waiting"
        return False


def test_what_cannot_be_taken_is_answered_at_once() -> None:
    world, _ = leading_world()
    users: Any = world.nodes[0].users
    users._user_request_slots = NoSlot()
    body = encode(wire(world.jobs["job-000001"]))
    for answer in (users.abort("job-000001"), users.submit(body)):
        assert answer[0] == 429
        assert int(answer[2]["Retry-After"]) >= 1
    # A shared read takes no slot, for any number of questions; one that needs a request of its own does.
    assert users.poll("job-000001")[0] == 200
    answer = users.poll("job-000999")
    assert answer[0] == 429
    assert int(answer[2]["Retry-After"]) >= 1
