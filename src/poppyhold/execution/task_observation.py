"""Handling of single tasks in a heartbeat: those that are on its machine, and those that have exited."""

from __future__ import annotations

import logging
from collections.abc import Callable

from poppyhold.execution.attempt_lifecycle import AttemptLifecycle
from poppyhold.execution.failures import FailureTracker
from poppyhold.model.context import Context
from poppyhold.model.entities import TASK_DONE, Attempt, Job, JobPhase, Machine
from poppyhold.wire.task_names import split_task
from poppyhold.wire.worker_messages import HAS_IMAGE, ExitCause, TaskState, TaskStatus

log = logging.getLogger(__name__)


class TaskObserver:
    """Updates attempts and jobs from the tasks of a heartbeat that is newer than all applied before."""

    def __init__(
        self,
        ctx: Context,
        lifecycle: AttemptLifecycle,
        failures: FailureTracker,
        on_task_completed: Callable[[Job, int], None],
        on_run_completed: Callable[[Attempt, float], None],
    ) -> None:
        """Create the observer of one term.

        Args:
            ctx: The context that the parts of the core share.
            lifecycle: Removes the attempts that have exited.
            failures: Tracks the tasks that ended with an error.
            on_task_completed: Called with a job and a task index once that task is known to be completed.
            on_run_completed: Called with a completed attempt, before it is removed, and the current time.

        """
        self._ctx, self._lifecycle, self._failures = ctx, lifecycle, failures
        self._on_task_completed, self._on_run_completed = on_task_completed, on_run_completed

    def observe_task(self, machine: Machine, task: TaskStatus, now: float) -> None:
        """Record the status of a task that is on the machine."""
        job_id, index = split_task(task.task)
        job = self._ctx.fleet.jobs.get(job_id)
        attempt = machine.attempts.get(task.task)
        if attempt is not None and attempt.number == task.attempt:
            if attempt.status != task.status:
                self._handle_status_change(attempt, task.status, now)
        elif attempt is None and job is not None and 0 <= index < job.spec.tasks and index not in job.active:
            self._adopt(
                Attempt(job, index, task.attempt, machine, machine.incarnation, now), task.status, now
            )
        else:
            machine.unknown_tasks.add(task.task)

    def _handle_status_change(self, attempt: Attempt, status: str, now: float) -> None:
        self._update_status(attempt, status, now)
        if status == TaskState.RUNNING:
            log.debug(
                "task running: task=%s attempt=%d since_start_s=%.1f",
                attempt.name,
                attempt.number,
                now - attempt.created_at,
            )
        if attempt.job.is_gang:
            self._lifecycle.gangs.task_status_changed(attempt, now)

    @staticmethod
    def _update_status(attempt: Attempt, status: str, now: float) -> None:
        attempt.status = status
        attempt.machine.version += 1
        if status == TaskState.RUNNING:
            attempt.running_at = attempt.running_at or now
        if status in HAS_IMAGE:
            spec = attempt.job.spec
            attempt.machine.record_image_use(spec.image, spec.image_gb)

    def _adopt(self, attempt: Attempt, status: str, now: float) -> None:
        """Add an attempt that an earlier leader started."""
        job, index = attempt.job, attempt.index
        completed = job.states[index] == TASK_DONE
        self._update_status(attempt, status, now)
        self._ctx.fleet.add_attempt(attempt)
        if completed:
            job.states[index] = TASK_DONE
        if completed or job.phase is JobPhase.FINALIZED:
            # It uses resources until it has stopped, but its result is not needed.
            attempt.stop_requested_at = now
        elif job.is_gang:
            self._lifecycle.gangs.adopt(attempt, now)

    def handle_exit(self, machine: Machine, task: TaskStatus, now: float) -> None:
        """Handle a task that has exited: it is completed, or its attempt failed."""
        job_id, index = split_task(task.task)
        job = self._ctx.fleet.jobs.get(job_id)
        if job is None or not 0 <= index < job.spec.tasks:
            return
        attempt = machine.attempts.get(task.task)
        if attempt is not None and attempt.number != task.attempt:
            # The exit of another attempt of the same task proves nothing about the recorded one.
            attempt = None
        if task.cause == ExitCause.DONE:
            self._handle_completion(machine, job, index, attempt, now)
        elif attempt is not None:
            self._handle_failure(attempt, task, now)
            if job.is_gang:
                self._lifecycle.gangs.task_exited(attempt, task.cause, now)
            self._lifecycle.mark_terminated(attempt)

    def _handle_completion(
        self, machine: Machine, job: Job, index: int, attempt: Attempt | None, now: float
    ) -> None:
        machine.record_image_use(job.spec.image, job.spec.image_gb)
        if attempt is not None:
            self._failures.task_completed(attempt)
            if attempt.running_at is not None:
                self._on_run_completed(attempt, now)
        newly_completed = job.complete(index)
        if newly_completed:
            job.undurable_completions.update(range(job.spec.tasks) if job.is_gang else (index,))
        if attempt is not None:
            self._lifecycle.mark_terminated(attempt)
        if newly_completed:
            self._on_task_completed(job, index)

    def _handle_failure(self, attempt: Attempt, task: TaskStatus, now: float) -> None:
        job, machine = attempt.job, attempt.machine
        log.debug(
            "task failed: task=%s machine=%s attempt=%d cause=%s",
            attempt.name,
            machine.name,
            attempt.number,
            task.cause,
        )
        if task.cause == ExitCause.ERROR:
            self._failures.task_failed(attempt, now)
        elif task.cause in (ExitCause.INSUFFICIENT_RESOURCES, ExitCause.BUSY):
            machine.unschedulable_until = now + 2 * self._ctx.durations.heartbeat_interval_s
        elif task.cause == ExitCause.UNKNOWN_TASK:
            job.retry_at = now + self._ctx.durations.heartbeat_interval_s
