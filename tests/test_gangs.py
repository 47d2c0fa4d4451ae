"""The state transitions of a gang's attempt: which events fail it, stop it or leave it as it is."""

from __future__ import annotations

import msgspec
import pytest

from poppyhold.execution.gangs import Gangs, GangState
from poppyhold.model.entities import Attempt, Job
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
    return world, leader_term.controller.reconciler.lifecycle.gangs, "job-000002"


def job_of(world: World, job_id: str) -> Job:
    """The leader's record of a job."""
    leader = world.leader()
    assert leader is not None
    assert leader.leader_term is not None
    return leader.leader_term.controller.ctx.fleet.jobs[job_id]


def test_states_of_a_gang_that_completes() -> None:
    world, gangs, job_id = assembling_world()
    job = job_of(world, job_id)
    assert gangs.state_of(job) is GangState.ASSEMBLING
    assert len({attempt.number for attempt in job.active.values()}) == 1
    # The job status counts running tasks, not waiting ones.
    assert job.running == 0
    world.run(world.now + 12.0)
    assert gangs.state_of(job) is GangState.RUNNING
    assert job.running == 3
    world.run(world.now + 25.0)
    assert world.observed_status[job_id] == "done"
    assert gangs.state_of(job) is GangState.WAITING_FOR_CAPACITY


@pytest.mark.parametrize(
    ("cause", "state"),
    [
        (ExitCause.PEER_LOST, GangState.FAILED),
        (ExitCause.GANG_INCOMPLETE, GangState.FAILED),
        (ExitCause.ERROR, GangState.FAILED),
        # These tasks are replaced in the same attempt.
        (ExitCause.INSUFFICIENT_RESOURCES, GangState.ASSEMBLING),
        (ExitCause.BUSY, GangState.ASSEMBLING),
        (ExitCause.STOPPED, GangState.ASSEMBLING),
    ],
)
def test_exit_causes_that_fail_the_attempt(cause: ExitCause, state: GangState) -> None:
    world, gangs, job_id = assembling_world()
    job = job_of(world, job_id)
    gangs.task_exited(job.active[1], cause, world.now)
    failed = state is GangState.FAILED
    assert gangs.state_of(job) is state
    assert gangs.may_start(job) is not failed
    assert all((attempt.stop_requested_at is not None) is failed for attempt in job.active.values())


def test_stop_of_a_gang_gives_every_task_time_to_save() -> None:
    world, gangs, job_id = assembling_world()
    job = job_of(world, job_id)
    world.run(world.now + 12.0)
    gangs.stop(job, world.now)
    grace = job.spec.save_s + world.settings.deployment.workers.gang_peer_s
    assert {attempt.stop_requested_at for attempt in job.active.values()} == {world.now}
    assert all(attempt.grace_s >= grace for attempt in job.active.values())
    # A saving task shows a new leader that the stop has begun, and changes nothing at this one.
    first = job.active[0]
    first.status = TaskState.SAVING
    gangs.task_status_changed(first, world.now)
    assert gangs.state_of(job) is GangState.STOPPING


# -- single conditions ---------------------------------------------------------------------------------


class AssemblingGang:
    """A gang of three tasks that are all sent, and the stops that are requested."""

    def __init__(self) -> None:
        self.world, self.gangs, job_id = assembling_world()
        self.job = job_of(self.world, job_id)
        self.now = self.world.now
        self.stops: list[tuple[int, float]] = []
        self._stop_task = self.gangs._stop_task
        self.gangs._stop_task = self._record_stop

    def _record_stop(self, attempt: Attempt, grace_s: float, now: float) -> None:
        self.stops.append((attempt.index, grace_s))
        attempt.stop_requested_at, attempt.grace_s = now, grace_s

    def state(self) -> GangState:
        return self.gangs.state_of(self.job)

    @property
    def grace_s(self) -> float:
        """The time to save, and to wait for the gang's other tasks."""
        workers = self.world.settings.deployment.workers
        return self.job.spec.save_s + workers.gang_peer_s + workers.heartbeat_interval_s

    def observe(self, index: int, status: TaskState) -> None:
        """A heartbeat shows a task's new state."""
        self.job.active[index].status = status
        self.gangs.task_status_changed(self.job.active[index], self.now)

    def lose(self, index: int) -> None:
        """A task is proven to have terminated."""
        self.gangs.task_terminated(self.job.active.pop(index), self.now)


@pytest.fixture
def assembling() -> AssemblingGang:
    gang = AssemblingGang()
    assert (gang.state(), len(gang.job.active)) == (GangState.ASSEMBLING, 3)
    return gang


def test_tasks_of_two_attempts_fail_the_attempt(assembling: AssemblingGang) -> None:
    first = assembling.job.active[0]
    assembling.gangs.adopt(first, assembling.now)
    assert assembling.state() is GangState.ASSEMBLING
    first.number += 1
    assembling.gangs.adopt(first, assembling.now)
    assert assembling.state() is GangState.FAILED
    assert assembling.stops == [(0, 0.0), (1, 0.0), (2, 0.0)]


def test_a_saving_task_shows_that_an_earlier_leader_began_to_stop_the_gang(
    assembling: AssemblingGang,
) -> None:
    assembling.observe(0, TaskState.RUNNING)
    assert assembling.state() is GangState.RUNNING
    assembling.observe(1, TaskState.SAVING)
    assert assembling.state() is GangState.STOPPING
    assert assembling.stops == [(index, assembling.grace_s) for index in range(3)]


@pytest.mark.parametrize("failed", [False, True])
def test_a_task_observed_after_the_stop_is_stopped_as_well(assembling: AssemblingGang, failed: bool) -> None:
    if failed:
        assembling.gangs.abandon(assembling.job, "no capacity", assembling.now)
    else:
        assembling.gangs.stop(assembling.job, assembling.now)
    before = assembling.state()
    assembling.stops.clear()
    assembling.job.active[1].stop_requested_at = None
    assembling.observe(1, TaskState.RUNNING)
    assert assembling.stops == [(1, 0.0 if failed else assembling.grace_s)]
    assert assembling.state() is before


def test_a_stop_is_repeated_only_with_a_shorter_grace_period(assembling: AssemblingGang) -> None:
    assembling.gangs.stop(assembling.job, assembling.now)
    assembling.stops.clear()
    assembling.gangs.stop(assembling.job, assembling.now)
    assembling.gangs.stop(assembling.job, assembling.now, grace_s=1e6)
    assert assembling.stops == []
    assembling.gangs.stop(assembling.job, assembling.now, grace_s=0.5)
    assert assembling.stops == [(0, 0.5), (1, 0.5), (2, 0.5)]


def test_a_failed_attempt_stays_failed(assembling: AssemblingGang) -> None:
    assembling.gangs.task_exited(assembling.job.active[0], ExitCause.ERROR, assembling.now)
    assembling.gangs.stop(assembling.job, assembling.now)
    assert assembling.state() is GangState.FAILED
    # Exits of its other tasks do not mark machines as avoided.
    assembling.gangs.task_exited(assembling.job.active[1], ExitCause.GANG_INCOMPLETE, assembling.now)
    assert assembling.job.avoided_machines == set()


def test_an_exit_during_a_stop_does_not_fail_the_attempt(assembling: AssemblingGang) -> None:
    assembling.gangs.stop(assembling.job, assembling.now)
    assembling.gangs.task_exited(assembling.job.active[0], ExitCause.PEER_LOST, assembling.now)
    assembling.gangs.abandon(assembling.job, "no capacity", assembling.now)
    assert assembling.state() is GangState.STOPPING


@pytest.mark.parametrize("cause", [ExitCause.GANG_INCOMPLETE, ExitCause.ERROR])
def test_machines_of_late_tasks_are_avoided_after_the_other_tasks_waited_too_long(
    assembling: AssemblingGang, cause: ExitCause
) -> None:
    first, second, third = (assembling.job.active[index] for index in range(3))
    first.status, second.status, third.status = TaskState.WAITING, TaskState.WAITING, TaskState.SENT
    # All three were put on the same machine.
    third.machine = msgspec.structs.replace(third.machine, name="vm-late")
    assembling.gangs.task_exited(first, cause, assembling.now)
    assert assembling.job.avoided_machines == ({"vm-late"} if cause is ExitCause.GANG_INCOMPLETE else set())


def test_only_a_running_gang_fails_when_it_loses_a_task(assembling: AssemblingGang) -> None:
    assembling.lose(0)
    assert assembling.state() is GangState.ASSEMBLING
    assembling.observe(1, TaskState.RUNNING)
    assembling.lose(1)
    assert assembling.state() is GangState.FAILED
    assert assembling.stops == [(2, 0.0)]


def test_a_gang_without_remaining_tasks_does_not_fail(assembling: AssemblingGang) -> None:
    assembling.observe(0, TaskState.RUNNING)
    for index in range(3):
        assembling.job.complete(index)
    assert assembling.job.remaining == 0
    assembling.lose(0)
    assert assembling.state() is GangState.RUNNING
    assert assembling.stops == []


def test_an_attempt_is_abandoned_gang_wait_s_after_its_first_task_began_to_wait(
    assembling: AssemblingGang,
) -> None:
    wait_s = assembling.world.settings.deployment.workers.gang_wait_s
    third = assembling.job.active[2]
    # All three were put on the same machine.
    third.machine = msgspec.structs.replace(third.machine, name="vm-late")
    assembling.gangs.tick(assembling.now + 10 * wait_s)
    assembling.observe(0, TaskState.WAITING)
    since = assembling.now
    assembling.now += wait_s / 2
    assembling.observe(1, TaskState.WAITING)
    assembling.gangs.tick(since + wait_s)
    assert assembling.state() is GangState.ASSEMBLING
    assembling.gangs.tick(since + wait_s + 0.1)
    assert assembling.state() is GangState.FAILED
    assert assembling.job.avoided_machines == {"vm-late"}


def test_a_running_gang_is_not_abandoned(assembling: AssemblingGang) -> None:
    assembling.observe(0, TaskState.WAITING)
    assembling.observe(1, TaskState.RUNNING)
    assembling.gangs.tick(assembling.now + 1e6)
    assembling.gangs.abandon(assembling.job, "no capacity", assembling.now)
    assert assembling.state() is GangState.RUNNING
    assert assembling.stops == []
