"""Failed tasks, and whether the job or the machine is at fault.

A job at fault is retried with exponential backoff, one task at a time, until its user cancels it. A machine
at fault is deleted. A completed task shows that its job and its machine are healthy; a task that has run for
much longer on another machine than the failed ones ran shows that its job is.
"""

from __future__ import annotations

import logging
from collections.abc import Callable

from poppyhold.model.durations import Durations
from poppyhold.model.entities import Attempt, Job, JobPhase, Machine, TaskError

log = logging.getLogger(__name__)

# A job that fails on more machines than this without any success is at fault.
_MAX_FAILED_MACHINES = 2
# Healthy jobs that fail on a machine before it is at fault; a single one may fail for another reason.
_MIN_HEALTHY_JOBS = 2
# The same, if jobs that may be healthy count too.
_MIN_UNPROVEN_JOBS = 3
# A task that runs this many times as long as the failed ones did shows that its job is healthy.
_HEALTHY_RUN_FACTOR = 2
_MAX_BACKOFF_DOUBLINGS = 8


class FailureTracker:
    """Tracks failed tasks. The failures of a job are kept in the job, so that they are dropped with it."""

    def __init__(
        self, durations: Durations, clock: Callable[[], float], on_fault_status_changed: Callable[[Job], None]
    ) -> None:
        """Create the tracker of one term.

        ``on_fault_status_changed`` is called when a job is found to be at fault, or healthy again.
        """
        self._durations, self._clock, self._on_fault_status_changed = (
            durations,
            clock,
            on_fault_status_changed,
        )
        # Jobs whose tasks have failed and that have not been found healthy since.
        self._suspected: dict[str, Job] = {}

    def task_failed(self, attempt: Attempt, now: float) -> None:
        """Handle a task that ended with an error."""
        job, machine = attempt.job, attempt.machine
        machine.task_errors[job.id] = TaskError(job, now)
        job.avoided_machines.add(machine.name)
        record = job.failures
        if attempt.running_at is not None:
            record.longest_run_s = max(record.longest_run_s, now - attempt.running_at)
        record.failed_machines.add(machine.name)
        if attempt.created_at > record.last_failed_at:
            # Tasks that were started together count once: backoff doesn't depend on the width of the array.
            record.failure_rounds += 1
        record.last_failed_at = now
        # The backoff of a job with a completed task is not doubled: its task only has to avoid the machine.
        doublings = 0 if job.done else min(record.failure_rounds, _MAX_BACKOFF_DOUBLINGS)
        job.retry_at = now + min(
            self._durations.heartbeat_interval_s * 2**doublings, self._durations.cancel_s
        )
        self._suspected[job.id] = job
        if not record.at_fault and self._fails_everywhere(job):
            log.info(
                "job at fault, starting one task at a time: job=%s failed_machines=%d",
                job.id,
                len(record.failed_machines),
            )
            record.at_fault = True
            self._on_fault_status_changed(job)

    @staticmethod
    def _fails_everywhere(job: Job) -> bool:
        return not job.done and len(job.failures.failed_machines) > _MAX_FAILED_MACHINES

    def load(self, job: Job) -> None:
        """Track a job that an earlier leader found to be at fault."""
        if job.failures.at_fault:
            job.failures.failure_rounds = _MAX_BACKOFF_DOUBLINGS
            self._suspected[job.id] = job

    def task_completed(self, attempt: Attempt) -> None:
        """Handle a completed task.

        Its job is healthy, and so is its machine if the task was started after the last error there.
        """
        errors = attempt.machine.task_errors
        if errors and attempt.created_at > max(error.occurred_at for error in errors.values()):
            errors.clear()
        if attempt.job.id in self._suspected:
            self._mark_healthy(attempt.job)

    def tick(self) -> None:
        """Mark jobs as healthy whose tasks have outlasted the failed ones."""
        now = self._clock()
        for job in list(self._suspected.values()):
            if job.phase is JobPhase.FINALIZED:
                del self._suspected[job.id]
            elif any(self._outlasts(attempt, now) for attempt in job.active.values()):
                self._mark_healthy(job)

    def _outlasts(self, attempt: Attempt, now: float) -> bool:
        record = attempt.job.failures
        if attempt.running_at is None or attempt.machine.name in record.failed_machines:
            return False
        return now - attempt.running_at > _HEALTHY_RUN_FACTOR * (
            record.longest_run_s + self._durations.heartbeat_interval_s
        )

    def _mark_healthy(self, job: Job) -> None:
        """Clear a job's failures, but not the longest failed run: the success may have been chance."""
        del self._suspected[job.id]
        record = job.failures
        record.last_healthy_at = self._clock()
        record.failure_rounds = 0
        record.failed_machines.clear()
        job.retry_at = 0.0
        if record.at_fault:
            record.at_fault = False
            self._on_fault_status_changed(job)

    def machine_at_fault(self, machine: Machine) -> bool:
        """Whether different jobs that are healthy elsewhere fail on a machine.

        Two faulty jobs must not cause the deletion of a machine on which both start, nor of the whole fleet.
        """
        healthy = unproven = 0
        settled_at = self._clock() - self._durations.cancel_s
        for error in machine.task_errors.values():
            healthy += error.job_is_healthy
            unproven += error.machine_may_be_at_fault and error.occurred_at < settled_at
        return healthy >= _MIN_HEALTHY_JOBS or healthy + unproven >= _MIN_UNPROVEN_JOBS

    def is_suspect(self, machine: Machine) -> bool:
        """Whether recent errors on a machine may be its own fault; placement then uses it last."""
        recent = self._clock() - self._durations.cancel_s
        return any(
            error.machine_may_be_at_fault and error.occurred_at > recent
            for error in machine.task_errors.values()
        )
