"""Life cycle of gang attempts: the tasks of a gang run all at the same time, or none does.

A gang is a job; a gang attempt is one joint start of its tasks. Their attempts share its number, by which the
tasks find one another. The states below are the controller's view of a gang attempt; the status of a single
task is known only from its worker's heartbeats, as for tasks of any other job.
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
    """The state of a gang attempt, or that a gang has none."""

    # No task is or may be on a machine; the scheduler searches for capacity for all of them.
    WAITING_FOR_CAPACITY = "waiting for capacity"
    # Tasks were started and none is known to run; one that is proven terminated is started again with the
    # same attempt number.
    ASSEMBLING = "assembling"
    # A task is known to run: the attempt fails if a task terminates before the job is done.
    RUNNING = "running"
    # Every task is being stopped, with a grace period (possibly 0) to save.
    STOPPING = "stopping"
    # The attempt can't complete: every task is being stopped without grace; no attempt begins until all are
    # terminated.
    FAILED = "failed"


# If one task exits for one of these causes, its gang attempt fails, whatever the status of the other tasks.
_FATAL_CAUSES = frozenset(
    {ExitCause.PEER_LOST, ExitCause.GANG_INCOMPLETE, ExitCause.ERROR, ExitCause.UNKNOWN_TASK}
)

# An attempt, the grace period in seconds that its task has to save, and the current time.
StopTask = Callable[[Attempt, float, float], None]


class GangAttempt(msgspec.Struct, eq=False):
    """A gang attempt, from its first start command until every task is proven terminated."""

    job: Job
    number: int
    state: GangState = GangState.ASSEMBLING
    # When a heartbeat first showed a task that has its image and waits for the others.
    first_task_ready_at: float | None = None


class Gangs:
    """Tracks the gang attempts."""

    def __init__(self, ctx: Context, stop_task: StopTask) -> None:
        """Create the tracker of one term; ``stop_task`` stops a single task."""
        self._ctx, self._stop_task = ctx, stop_task
        self._gang_attempts: dict[str, GangAttempt] = {}

    def state_of(self, job: Job) -> GangState:
        """Return the state of a gang's attempt."""
        gang_attempt = self._gang_attempts.get(job.id)
        return GangState.WAITING_FOR_CAPACITY if gang_attempt is None else gang_attempt.state

    def may_start(self, job: Job) -> bool:
        """Whether tasks may be started: those of a new attempt, or replacements in one that is assembling."""
        return self.state_of(job) in (GangState.WAITING_FOR_CAPACITY, GangState.ASSEMBLING)

    def attempt_number(self, job: Job) -> int:
        """Return the attempt number for a task that is about to start; begin an attempt if there is none."""
        gang_attempt = self._gang_attempts.get(job.id)
        if gang_attempt is None:
            gang_attempt = self._gang_attempts[job.id] = GangAttempt(job, self._ctx.next_unique_number())
            log.debug(
                "gang attempt begins: job=%s attempt=%d tasks=%d", job.id, gang_attempt.number, job.spec.tasks
            )
        return gang_attempt.number

    def adopt(self, attempt: Attempt, now: float) -> None:
        """Add a task that an earlier leader started and that a heartbeat has shown."""
        job = attempt.job
        gang_attempt = self._gang_attempts.setdefault(job.id, GangAttempt(job, attempt.number))
        if attempt.number != gang_attempt.number:
            # Not expected, as no attempt begins before the previous one is proven terminated. Neither of the
            # two is known to be complete, so all tasks are stopped.
            log.warning(
                "task of another gang attempt seen, failing the attempt: job=%s attempt=%d seen_attempt=%d",
                job.id,
                gang_attempt.number,
                attempt.number,
            )
            self._fail(gang_attempt, "tasks of two attempts", now)
            return
        self.task_status_changed(attempt, now)

    def task_status_changed(self, attempt: Attempt, now: float) -> None:
        """Handle a change of a task's status that a heartbeat shows."""
        gang_attempt = self._gang_attempts.get(attempt.job.id)
        if gang_attempt is None:
            return
        if gang_attempt.state is GangState.FAILED:
            self._stop_tasks(gang_attempt, 0.0, now)
        elif attempt.status == TaskState.SAVING and gang_attempt.state is not GangState.STOPPING:
            # This leader did not stop the gang, so an earlier one began to: stop all tasks, so that they save
            # their work.
            self.stop(attempt.job, now)
        elif gang_attempt.state is GangState.STOPPING:
            self._stop_tasks(gang_attempt, self._grace_s(gang_attempt.job), now)
        elif attempt.status == TaskState.RUNNING:
            gang_attempt.state = GangState.RUNNING
        elif attempt.status == TaskState.WAITING and gang_attempt.first_task_ready_at is None:
            gang_attempt.first_task_ready_at = now

    def task_exited(self, attempt: Attempt, cause: str | None, now: float) -> None:
        """Handle a task that ended without completing; `task_terminated` follows once it is removed."""
        gang_attempt = self._gang_attempts.get(attempt.job.id)
        if gang_attempt is None or gang_attempt.state in (GangState.STOPPING, GangState.FAILED):
            return
        if cause in _FATAL_CAUSES:
            if cause == ExitCause.GANG_INCOMPLETE:
                # Workers use the same time-out as `tick`, so an exit for this cause may come before it.
                self._avoid_late_machines(gang_attempt)
            self._fail(gang_attempt, f"{attempt.name} ended: {cause}", now)

    def task_terminated(self, attempt: Attempt, now: float) -> None:
        """Handle a task that is proven terminated and has been removed from its job."""
        job = attempt.job
        gang_attempt = self._gang_attempts.get(job.id)
        if gang_attempt is None:
            return
        if not job.active:
            del self._gang_attempts[job.id]
        elif gang_attempt.state is GangState.RUNNING and job.remaining:
            self._fail(gang_attempt, f"{attempt.name} terminated", now)

    def stop(self, job: Job, now: float, grace_s: float | None = None) -> None:
        """Stop all tasks at once, with ``grace_s`` to save; `_grace_s` if it is None."""
        gang_attempt = self._gang_attempts.get(job.id)
        if gang_attempt is None or gang_attempt.state is GangState.FAILED:
            return
        grace = self._grace_s(job) if grace_s is None else grace_s
        log.debug("stopping gang: job=%s attempt=%d grace_s=%.1f", job.id, gang_attempt.number, grace)
        gang_attempt.state = GangState.STOPPING
        self._stop_tasks(gang_attempt, grace, now)

    def abandon(self, job: Job, reason: str, now: float) -> None:
        """Fail an attempt that can't be assembled, so that its capacity is released."""
        gang_attempt = self._gang_attempts.get(job.id)
        if gang_attempt is not None and gang_attempt.state is GangState.ASSEMBLING:
            self._fail(gang_attempt, reason, now)

    def tick(self, now: float) -> None:
        """Fail assembling attempts in which a task has waited for the others longer than ``gang_wait_s``."""
        wait_s = self._ctx.settings.deployment.workers.gang_wait_s
        for gang_attempt in list(self._gang_attempts.values()):
            since = gang_attempt.first_task_ready_at
            if gang_attempt.state is GangState.ASSEMBLING and since is not None and now - since > wait_s:
                self._avoid_late_machines(gang_attempt)
                self._fail(gang_attempt, "tasks not ready in time", now)

    def _avoid_late_machines(self, gang_attempt: GangAttempt) -> None:
        """Make this gang avoid machines whose tasks kept the others waiting."""
        for attempt in gang_attempt.job.active.values():
            if attempt.status in BEFORE_IMAGE:
                gang_attempt.job.avoided_machines.add(attempt.machine.name)

    def _grace_s(self, job: Job) -> float:
        """Return the seconds for a task to save and to wait for the others.

        Those may get their stop up to a heartbeat interval later.
        """
        workers = self._ctx.settings.deployment.workers
        return job.spec.save_s + workers.gang_peer_s + workers.heartbeat_interval_s

    def _fail(self, gang_attempt: GangAttempt, reason: str, now: float) -> None:
        log.debug(
            "gang attempt failed: job=%s attempt=%d reason=%s",
            gang_attempt.job.id,
            gang_attempt.number,
            reason,
        )
        gang_attempt.state = GangState.FAILED
        self._stop_tasks(gang_attempt, 0.0, now)

    def _stop_tasks(self, gang_attempt: GangAttempt, grace_s: float, now: float) -> None:
        for attempt in list(gang_attempt.job.active.values()):
            if attempt.stop_requested_at is None or attempt.grace_s > grace_s:
                self._stop_task(attempt, grace_s, now)
