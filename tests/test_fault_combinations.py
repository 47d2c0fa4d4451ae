"""Combinations of faults that a scenario reaches only by chance, played step by step."""

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


def fail_over(world: World) -> SimLeaderTerm:
    """Crashes the leader and returns the next leader's term, in which no worker is reconciled yet."""
    old = world.leader()
    assert old is not None
    for worker in world.workers.values():
        world.faults[worker.name] = {"drop_heartbeats", "drop_inbound"}
    old.crash(1000.0)
    while (leader := world.leader()) is None or leader.leader_term is None:
        world.run(world.now + 0.05)
    return leader.leader_term


def test_responses_to_stale_heartbeats_stop_cancelled_tasks() -> None:
    # A heartbeat with an older token proves nothing, but its response renews the lease. Without a stop of a
    # task cancelled long ago in it, the task would outlive cancel_s if the machine hung right then.
    world, _ = leading_world()
    world.cancel("job-000001")
    old = world.workers["vm-000001"].heartbeat()
    assert [chore["status"] for chore in old["chores"]] == ["running"]
    leader_term = fail_over(world)
    answer = leader_term.controller.handle_heartbeat(parse_heartbeat(old))
    assert answer is not None
    assert [(order["verb"], order["chore"]) for order in answer.body()["orders"]] == [
        ("stop", "job-000001/0")
    ]


def test_stale_heartbeat_does_not_reconcile_a_worker_with_a_new_leader() -> None:
    world, _ = leading_world()
    old = world.workers["vm-000001"].heartbeat()
    leader_term = fail_over(world)
    attempts = leader_term.controller.reconciler
    assert attempts.lease_expiry.unreconciled == {"vm-000001"}
    answer = leader_term.controller.handle_heartbeat(parse_heartbeat(old))
    machine = leader_term.controller.ctx.fleet.machines["vm-000001"]
    # No command but stops, no attempt adopted, and the worker still counts as unreconciled.
    assert answer is not None
    assert answer.body() == {"baton": leader_term.fencing_token, "orders": []}
    assert not machine.reconciled
    assert not machine.attempts
    assert attempts.lease_expiry.unreconciled == {"vm-000001"}
    assert not attempts.lease_expiry.all_reconciled()
    # A delegate of this leader does not accept the heartbeat either.
    other = next(node for node in world.nodes if node.alive and node.leader_term is None)
    other.delegated_renewal.observe_leader(
        leader_term.fencing_token, LeaseDelegation(leader_term.fencing_token, world.now, [])
    )
    world.now += 2 * other.times.delegated_renewal_after_s
    assert other.handle_heartbeat(old)[0] == 421
    assert other.handle_heartbeat({**old, "baton": leader_term.fencing_token})[0] == 200


def test_cancellation_handled_before_its_submission() -> None:
    # The decision thread handles cancellations before submissions, and other controllers announce them too.
    _, leader_term = leading_world()
    controller = leader_term.controller
    job = wire(submission("job-000007", {"chores": 1}))
    controller.handle_job_removed(ACTIVE_JOB_PREFIX + "job-000007")
    controller.handle_job_accepted(Entry(ACTIVE_JOB_PREFIX + "job-000007", {"spec": job, "at": 0.0}, 99))
    assert "job-000007" not in controller.ctx.fleet.jobs


def test_job_whose_record_was_deleted_is_removed() -> None:
    # The submission was applied after its record was deleted: the job is removed as its plan can't be made
    # durable; otherwise machines would be launched for it forever.
    world, leader_term = leading_world()
    controller = leader_term.controller
    job = wire(submission("job-000007", {"chores": 1}))
    controller.handle_job_accepted(Entry(ACTIVE_JOB_PREFIX + "job-000007", {"spec": job, "at": 0.0}, 99))
    assert "job-000007" in controller.ctx.fleet.jobs
    world.run(world.now + 2.0)
    assert "job-000007" not in controller.ctx.fleet.jobs


@pytest.mark.parametrize("via", [StartChannel.DIRECT, StartChannel.HEARTBEAT_RESPONSE])
def test_no_task_starts_on_a_machine_before_its_record_is_durable(via: StartChannel) -> None:
    # The machine is up and has free capacity while writes lag. If the leader ended now, the next one would
    # not know that the machine holds a task.
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


def test_retry_that_conflicts_with_its_own_first_attempt_succeeds() -> None:
    # The transaction is committed and its response lost: the retry fails on what the first attempt wrote.
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
    # Listed for the leader with its revision, though the lost response never delivered that revision.
    listed, _ = node.users.cancellations.summarize(0)
    assert listed == [("job-000002", world.state.keys[FINAL_JOB_PREFIX + "job-000002"][1])]
    # Lost responses to the leader's writes: the last completion still makes the job done, and the plan and
    # the token are found as written.
    third = submission("job-000003", {"chores": 1, "guessS": 2.0, "sizeGb": 0.1})
    leader_term.node.commit_responses_to_lose = 3
    world.submit(third)
    world.run(world.now + 12.0)
    assert world.observed_status["job-000003"] == "done"
    assert PLAN_PREFIX + "job-000003" not in world.state.keys
    assert world.violations == []


def candidate(store: UnreliableStore, won: list[Term]) -> Election:
    """The election of a node that campaigns."""
    world = World(1, 10.0, 30.0, [Team("alpha")])
    return Election(world.settings, Options(), store, won.append, lambda: None, lambda: False, world.rng)


def test_election_with_a_lost_commit_response_is_won() -> None:
    store = UnreliableStore("lost")
    won: list[Term] = []
    permit = store.state.lease(2500)[1]["permit"]
    candidate(store, won)._claim_leadership(permit, 0.0)
    assert [term.lease_id for term in won] == [permit]
    assert store.state.keys[LEADER_KEY][1] == won[0].key_revision


def test_claim_that_is_committed_late_does_not_replace_the_leader() -> None:
    store = UnreliableStore("late")
    won: list[Term] = []
    first, second = (store.state.lease(2500)[1]["permit"] for _ in range(2))
    with pytest.raises(OutcomeUnknownError):
        candidate(store, won)._claim_leadership(first, 0.0)
    candidate(store, won)._claim_leadership(second, 0.0)
    assert store.apply_late_transactions() == [409]
    assert [term.lease_id for term in won] == [second]
    assert store.state.keys[LEADER_KEY][0]["permit"] == second


def test_repeated_submissions_cost_no_changes() -> None:
    # Failing conditions count as changes: repeated submissions of an accepted job, at any node that knows it,
    # would use up the write rate that the leader needs.
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
    # At most one failing condition at a node that did not know the job yet.
    assert world.work["changes"] <= before + 1


class ExhaustedSlots:
    """No slot is free, and a request that waits for one fails the test."""

    def acquire(self, blocking: bool = True, timeout: float | None = None) -> bool:
        assert not blocking, "a user is kept waiting"
        assert timeout is None, "a user is kept waiting"
        return False


def test_requests_without_a_free_slot_are_rejected_at_once() -> None:
    world, _ = leading_world()
    users: Any = world.nodes[0].users
    users._user_request_slots = ExhaustedSlots()
    body = encode(wire(world.jobs["job-000001"]))
    for response in (users.abort("job-000001"), users.submit(body)):
        assert response[0] == 429
        assert int(response[2]["Retry-After"]) >= 1
    # A shared read takes no slot, for any number of queries; a query that needs its own request takes one.
    assert users.poll("job-000001")[0] == 200
    response = users.poll("job-000999")
    assert response[0] == 429
    assert int(response[2]["Retry-After"]) >= 1
