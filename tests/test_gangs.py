"""The states of a gang's attempt, step by step."""

from __future__ import annotations

import pytest

from poppyhold.execution.gangs import Gangs, GangState
from poppyhold.model.entities import Job
from poppyhold.scale.jobs import submission
from poppyhold.wire.worker_messages import ExitCause, TaskState
from test_reconciliation import leading_world
from world import World


def assembling_world() -> tuple[World, Gangs, str]:
    """A world whose leader has just sent the starts of a gang of three tasks."""
    world, leader_term = leading_world()
    gang = {"shape": "group", "chores": 3, "bundle": "img-9", "sizeGb": 40.0, "guessS": 20.0}
    world.submit(submission("job-000002", gang))
    world.run(world.now + 1.0)
    return world, leader_term.controller.reconciler.gangs, "job-000002"


def job_of(world: World, job_id: str) -> Job:
    """The leader's picture of a job."""
    leader = world.leader()
    assert leader is not None and leader.leader_term is not None
    return leader.leader_term.controller.ctx.fleet.jobs[job_id]


def test_states_of_a_gang_that_completes() -> None:
    world, gangs, job_id = assembling_world()
    job = job_of(world, job_id)
    assert gangs.state_of(job) is GangState.ASSEMBLING
    assert len({attempt.number for attempt in job.active.values()}) == 1
    # Users are told of tasks that run, not of those that wait.
    assert job.running == 0
    world.run(world.now + 12.0)
    assert gangs.state_of(job) is GangState.RUNNING
    assert job.running == 3
    world.run(world.now + 25.0)
    assert world.told[job_id] == "done"
    assert gangs.state_of(job) is GangState.WAITING_FOR_CAPACITY


@pytest.mark.parametrize(
    ("cause", "state"),
    [
        (ExitCause.PEER_LOST, GangState.FAILED),
        (ExitCause.GANG_INCOMPLETE, GangState.FAILED),
        (ExitCause.ERROR, GangState.FAILED),
        # These tasks are replaced in the same attempt.
        (ExitCause.NO_ROOM, GangState.ASSEMBLING),
        (ExitCause.BUSY, GangState.ASSEMBLING),
        (ExitCause.STOPPED, GangState.ASSEMBLING),
    ],
)
def test_ends_of_a_task_that_end_the_attempt(cause: ExitCause, state: GangState) -> None:
    world, gangs, job_id = assembling_world()
    job = job_of(world, job_id)
    gangs.task_exited(job.active[1], cause, world.now)
    failed = state is GangState.FAILED
    assert gangs.state_of(job) is state
    assert gangs.may_start(job) is not failed
    assert all((attempt.stopping_at is not None) is failed for attempt in job.active.values())


def test_whole_stop_gives_every_task_the_time_to_save() -> None:
    world, gangs, job_id = assembling_world()
    job = job_of(world, job_id)
    world.run(world.now + 12.0)
    gangs.stop(job, world.now)
    grace = job.spec.save_s + world.settings.settings.workers.gang_peer_s
    assert {attempt.stopping_at for attempt in job.active.values()} == {world.now}
    assert all(attempt.grace_s >= grace for attempt in job.active.values())
    # A task that is seen to save shows a new leader that the stop has begun, and changes nothing here.
    first = job.active[0]
    first.status = TaskState.SAVING
    gangs.task_reported(first, world.now)
    assert gangs.state_of(job) is GangState.STOPPING
