"""Rare sequences of events, produced step by step since random scenarios seldom reach them."""

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
from sim_leader_term import SimLeaderTerm
from test_reconciliation import leading_world
from test_store import UnreliableStore
from world import World


def fail_over(world: World) -> SimLeaderTerm:
    """Drop the workers' messages, crash the leader, and return the next leader's term."""
    crashed_leader = world.leader()
    assert crashed_leader is not None
    for worker in world.workers.values():
        world.faults[worker.name] = {"drop_heartbeats", "drop_inbound"}
    crashed_leader.crash(1000.0)
    while (leader := world.leader()) is None or leader.leader_term is None:
        world.run(world.now + 0.05)
    return leader.leader_term


def test_responses_to_stale_heartbeats_stop_cancelled_tasks() -> None:
    # A heartbeat with an older token doesn't show which tasks run now, but its response renews the lease.
    # If the response lacked the stop of a cancelled task, a machine that hangs next would run the task beyond
    # cancel_s.
    world, _ = leading_world()
    world.cancel("job-000001")
    stale_heartbeat = world.workers["vm-000001"].heartbeat()
    assert [chore["status"] for chore in stale_heartbeat["chores"]] == ["running"]
    leader_term = fail_over(world)
    answer = leader_term.controller.handle_heartbeat(parse_heartbeat(stale_heartbeat))
    assert answer is not None
    assert [(order["verb"], order["chore"]) for order in answer.body()["orders"]] == [
        ("stop", "job-000001/0")
    ]


def test_stale_heartbeat_does_not_reconcile_a_worker_with_a_new_leader() -> None:
    world, _ = leading_world()
    stale_heartbeat = world.workers["vm-000001"].heartbeat()
    leader_term = fail_over(world)
    reconciler = leader_term.controller.reconciler
    assert reconciler.lease_expiry.unreconciled == {"vm-000001"}
    answer = leader_term.controller.handle_heartbeat(parse_heartbeat(stale_heartbeat))
    machine = leader_term.controller.ctx.fleet.machines["vm-000001"]
    # The response has no commands, no attempt is adopted, and the worker stays unreconciled.
    assert answer is not None
    assert answer.body() == {"baton": leader_term.fencing_token, "orders": []}
    assert not machine.reconciled
    assert not machine.attempts
    assert reconciler.lease_expiry.unreconciled == {"vm-000001"}
    assert not reconciler.lease_expiry.all_reconciled_or_expired()
    # A delegate of this leader does not accept the heartbeat either.
    other = next(node for node in world.nodes if node.alive and node.leader_term is None)
    other.delegated_renewal.observe_leader(
        leader_term.fencing_token, LeaseDelegation(leader_term.fencing_token, world.now, [])
    )
    world.now += 2 * other.times.delegated_renewal_after_s
    assert other.handle_heartbeat(stale_heartbeat)[0] == 421
    assert other.handle_heartbeat({**stale_heartbeat, "baton": leader_term.fencing_token})[0] == 200


def test_cancellation_handled_before_its_submission() -> None:
    # A cancellation may be handled before its submission: the decision thread handles cancellations first,
    # and other controllers announce cancellations too.
    _, leader_term = leading_world()
    controller = leader_term.controller
    job = wire(submission("job-000007", {"chores": 1}))
    controller.handle_job_removed(ACTIVE_JOB_PREFIX + "job-000007")
    controller.handle_job_accepted(Entry(ACTIVE_JOB_PREFIX + "job-000007", {"spec": job, "at": 0.0}, 99))
    assert "job-000007" not in controller.ctx.fleet.jobs


def test_job_without_a_record_is_removed_from_the_fleet() -> None:
    # The submission is handled after its record was deleted, so the job's plan can't be committed. If the
    # leader kept the job, it would launch machines for it forever.
    world, leader_term = leading_world()
    controller = leader_term.controller
    job = wire(submission("job-000007", {"chores": 1}))
    controller.handle_job_accepted(Entry(ACTIVE_JOB_PREFIX + "job-000007", {"spec": job, "at": 0.0}, 99))
    assert "job-000007" in controller.ctx.fleet.jobs
    world.run(world.now + 2.0)
    assert "job-000007" not in controller.ctx.fleet.jobs


@pytest.mark.parametrize("via", [StartChannel.DIRECT, StartChannel.HEARTBEAT_RESPONSE])
def test_no_task_starts_before_the_machine_record_is_durable(via: StartChannel) -> None:
    # The machine is up and has free capacity while its record isn't committed. If the leader crashed then,
    # the next leader would not know that the machine has a task.
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
    # The transaction is committed and its response lost, so the conditions of the retry fail because of the
    # first attempt's own writes. The request still succeeds.
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
    # The cancellation is listed for the leader with the revision of its commit, which the lost response held.
    listed, _ = node.users.cancellations.summarize(0)
    assert listed == [("job-000002", world.state.keys[FINAL_JOB_PREFIX + "job-000002"][1])]
    # Three responses to the leader's writes are lost: the last completion still makes the job done, and
    # retries accept the plan and the token as already written.
    next_job = submission("job-000003", {"chores": 1, "guessS": 2.0, "sizeGb": 0.1})
    leader_term.node.commit_responses_to_lose = 3
    world.submit(next_job)
    world.run(world.now + 12.0)
    assert world.observed_status["job-000003"] == "done"
    assert PLAN_PREFIX + "job-000003" not in world.state.keys
    assert world.violations == []


def candidate(store: UnreliableStore, won: list[Term]) -> Election:
    """The election of a node that tries to become the leader."""
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


def test_repeated_submissions_use_none_of_the_write_rate() -> None:
    # The write rate also counts transactions whose conditions fail. If nodes that know an accepted job sent
    # one for each repeated submission, these would use up the write rate that the leader needs.
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
    # At most one write fails on its condition, at a node that did not know the job yet.
    assert world.work["changes"] <= before + 1


class ExhaustedSlots:
    """A semaphore without a free slot: a call that would wait for one fails the test."""

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
    # Polls that share a read take no slot, however many they are; a poll that needs its own request to the
    # state service takes one.
    assert users.poll("job-000001")[0] == 200
    response = users.poll("job-000999")
    assert response[0] == 429
    assert int(response[2]["Retry-After"]) >= 1
