"""Life cycle of a gang's attempt: the tasks of the job run all at the same time, or none does.

Tasks of a gang find one another by their attempt number. Each state below says what the controller may do;
the status of a single task is known only from its worker's heartbeats, as for tasks of any other job.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from enum import Enum

import msgspec

from poppyhold.model.context import Context
from poppyhold.model.entities import Attempt, Job
from poppyhold.wire.worker_messages import BEFORE_IMAGE, ExitCause, TaskState

log = logging.getLogger(__name__)


class GangState(Enum):
    """The state of a gang's attempt."""

    # No task is or may be on a machine; the scheduler searches for capacity for all of them.
    WAITING_FOR_CAPACITY = "waiting for capacity"
    # Tasks were started and none is known to run; one that is proven lost is replaced under the same number.
    ASSEMBLING = "assembling"
    # A task is known to run: the gang fails if it loses a task.
    RUNNING = "running"
    # Every task is being stopped, with a grace period to save.
    STOPPING = "stopping"
    # The attempt can't complete: every task is stopped; the next attempt waits until all are terminated.
    FAILED = "failed"


# Exit causes of a task that fail its gang's attempt, whatever the status of the others.
_FATAL_CAUSES = frozenset(
    {ExitCause.PEER_LOST, ExitCause.GANG_INCOMPLETE, ExitCause.ERROR, ExitCause.UNKNOWN_TASK}
)

# An attempt, the grace period in seconds that its task has to save, and the current time.
StopTask = Callable[[Attempt, float, float], None]


class Gang(msgspec.Struct, eq=False):
    """An attempt of a gang, from its first start command until every task is proven terminated."""

    job: Job
    number: int
    state: GangState = GangState.ASSEMBLING
    # When a heartbeat first showed a task that waits for the others.
    waiting_since: float | None = None


class Gangs:
    """Tracks the attempts of all gangs."""

    def __init__(self, ctx: Context, stop_task: StopTask) -> None:
        """Create the gangs of one term; ``stop_task`` stops a single task."""
        self._ctx, self._stop_task = ctx, stop_task
        self._gangs: dict[str, Gang] = {}

    def state_of(self, job: Job) -> GangState:
        """The state of a gang's attempt."""
        gang = self._gangs.get(job.id)
        return GangState.WAITING_FOR_CAPACITY if gang is None else gang.state

    def may_start(self, job: Job) -> bool:
        """Whether tasks may be started: those of a new attempt, or replacements in one that is assembling."""
        return self.state_of(job) in (GangState.WAITING_FOR_CAPACITY, GangState.ASSEMBLING)

    def attempt_number(self, job: Job) -> int:
        """Return the attempt number for a task that is about to start; the first one begins an attempt."""
        gang = self._gangs.get(job.id)
        if gang is None:
            gang = self._gangs[job.id] = Gang(job, self._ctx.next_unique_number())
            log.debug("gang attempt begins: job=%s attempt=%d tasks=%d", job.id, gang.number, job.spec.tasks)
        return gang.number

    def adopt(self, attempt: Attempt, now: float) -> None:
        """Adopt a task that an earlier leader started, as a heartbeat showed it."""
        job = attempt.job
        gang = self._gangs.setdefault(job.id, Gang(job, attempt.number))
        if attempt.number != gang.number:
            # Not expected, as no attempt begins before the last is proven terminated. Either may lack tasks.
            log.warning(
                "gang has tasks of two attempts, failing it: job=%s attempt=%d other_attempt=%d",
                job.id,
                gang.number,
                attempt.number,
            )
            self._fail(gang, "tasks of two attempts", now)
            return
        self.task_status_changed(attempt, now)

    def task_status_changed(self, attempt: Attempt, now: float) -> None:
        """Handle a change of a task's status that a heartbeat shows."""
        gang = self._gangs.get(attempt.job.id)
        if gang is None:
            return
        if gang.state is GangState.FAILED:
            self._stop_tasks(gang, 0.0, now)
        elif attempt.status == TaskState.SAVING and gang.state is not GangState.STOPPING:
            # An earlier leader began to stop the gang: stop all tasks, so that its progress is saved.
            self.stop(attempt.job, now)
        elif gang.state is GangState.STOPPING:
            self._stop_tasks(gang, self._grace_s(gang.job), now)
        elif attempt.status == TaskState.RUNNING:
            gang.state = GangState.RUNNING
        elif attempt.status == TaskState.WAITING and gang.waiting_since is None:
            gang.waiting_since = now

    def task_exited(self, attempt: Attempt, cause: str | None, now: float) -> None:
        """Handle a task that ended without completing; it still counts as part of the attempt."""
        gang = self._gangs.get(attempt.job.id)
        if gang is None or gang.state in (GangState.STOPPING, GangState.FAILED):
            return
        if cause in _FATAL_CAUSES:
            if cause == ExitCause.GANG_INCOMPLETE:
                # Workers use the same time-out as `tick`, so either may notice first.
                self._avoid_late_machines(gang)
            self._fail(gang, f"{attempt.name} ended: {cause}", now)

    def task_terminated(self, attempt: Attempt, now: float) -> None:
        """Handle a task that is proven terminated and is no longer part of the attempt."""
        job = attempt.job
        gang = self._gangs.get(job.id)
        if gang is None:
            return
        if not job.active:
            del self._gangs[job.id]
        elif gang.state is GangState.RUNNING and job.remaining:
            self._fail(gang, f"{attempt.name} terminated", now)

    def stop(self, job: Job, now: float, grace_s: float | None = None) -> None:
        """Stop all tasks in one step, with the time to save unless another grace period is given."""
        gang = self._gangs.get(job.id)
        if gang is None or gang.state is GangState.FAILED:
            return
        grace = self._grace_s(job) if grace_s is None else grace_s
        log.debug("stopping gang: job=%s attempt=%d grace_s=%.1f", job.id, gang.number, grace)
        gang.state = GangState.STOPPING
        self._stop_tasks(gang, grace, now)

    def abandon(self, job: Job, reason: str, now: float) -> None:
        """Fail an attempt that can't be assembled, so that its capacity is released."""
        gang = self._gangs.get(job.id)
        if gang is not None and gang.state is GangState.ASSEMBLING:
            self._fail(gang, reason, now)

    def tick(self, now: float) -> None:
        """Fail the attempts that waited too long for one of their tasks."""
        wait_s = self._ctx.settings.deployment.workers.gang_wait_s
        for gang in list(self._gangs.values()):
            since = gang.waiting_since
            if gang.state is GangState.ASSEMBLING and since is not None and now - since > wait_s:
                self._avoid_late_machines(gang)
                self._fail(gang, "tasks not ready in time", now)

    def _avoid_late_machines(self, gang: Gang) -> None:
        """Make this gang avoid machines whose tasks kept the others waiting."""
        for attempt in gang.job.active.values():
            if attempt.status in BEFORE_IMAGE:
                gang.job.avoided_machines.add(attempt.machine.name)

    def _grace_s(self, job: Job) -> float:
        """Time for a task to save and to wait for the others, which may get their stop a moment later."""
        workers = self._ctx.settings.deployment.workers
        return job.spec.save_s + workers.gang_peer_s + workers.heartbeat_interval_s

    def _fail(self, gang: Gang, reason: str, now: float) -> None:
        log.debug("gang failed: job=%s attempt=%d reason=%s", gang.job.id, gang.number, reason)
        gang.state = GangState.FAILED
        self._stop_tasks(gang, 0.0, now)

    def _stop_tasks(self, gang: Gang, grace_s: float, now: float) -> None:
        for attempt in list(gang.job.active.values()):
            if attempt.stopping_at is None or attempt.grace_s > grace_s:
                self._stop_task(attempt, grace_s, now)
