"""Tasks that fail: whether the job is at fault, which fails everywhere, or the machine, which fails them all.

A job at fault is started ever more seldom, one task at a time, until its user cancels it. A machine at fault
is deleted. What tells them apart is success: a task that completed, or that has run for much longer
elsewhere than the failed ones ran, shows that its job is sound, and a completed one that its machine is.
"""

from __future__ import annotations

import logging
from collections.abc import Callable

from poppyhold.model.durations import Durations
from poppyhold.model.entities import Attempt, Job, JobPhase, Machine, TaskError

log = logging.getLogger(__name__)

# A job that fails on more machines than this without any success is taken to be at fault.
_MAX_FAILED_MACHINES = 2
# Sound jobs that fail on a machine before it is taken to be at fault: one may have failed for another reason.
_MIN_HEALTHY_JOBS = 2
# The same where nothing tells whether the jobs are sound.
_MIN_UNPROVEN_JOBS = 3
# A task that runs this many times as long as the failed ones did shows that its job is sound.
_HEALTHY_RUN_FACTOR = 2
# The backoff after a failure doubles up to this many times.
_MAX_BACKOFF_DOUBLINGS = 8


class FailureTracker:
    """Judges failed tasks. What it knows of a job is kept in the job, so that it is dropped with it."""

    def __init__(
        self, durations: Durations, clock: Callable[[], float], on_fault_status_changed: Callable[[Job], None]
    ) -> None:
        """Create the judge of one term.

        ``on_fault_status_changed`` is called when a job is found to be at fault, or sound after all.
        """
        self._durations, self._clock, self._on_fault_status_changed = (
            durations,
            clock,
            on_fault_status_changed,
        )
        # Jobs whose tasks have failed and have not been shown to be sound since.
        self._suspected: dict[str, Job] = {}

    def task_failed(self, attempt: Attempt, now: float) -> None:
        """Handle a task that ended with an error."""
        job, machine = attempt.job, attempt.machine
        machine.task_errors[job.id] = TaskError(job, now)
        job.avoided_machines.add(machine.name)
        record = job.failures
        if attempt.running_at is not None:
            record.longest_run_s = max(record.longest_run_s, now - attempt.running_at)
        record.machines.add(machine.name)
        if attempt.sent_at > record.last_failed_at:
            # Tasks that were started together count once: a wide array is no worse than a narrow one.
            record.rounds += 1
        record.last_failed_at = now
        # A sound job goes on at once: its task only has to avoid the machine.
        doublings = 0 if job.done else min(record.rounds, _MAX_BACKOFF_DOUBLINGS)
        job.retry_at = now + min(
            self._durations.heartbeat_interval_s * 2**doublings, self._durations.cancel_s
        )
        self._suspected[job.id] = job
        if not record.at_fault and self._fails_everywhere(job):
            log.info("job fails on every machine: job=%s machines=%d", job.id, len(record.machines))
            record.at_fault = True
            self._on_fault_status_changed(job)

    @staticmethod
    def _fails_everywhere(job: Job) -> bool:
        return not job.done and len(job.failures.machines) > _MAX_FAILED_MACHINES

    def load(self, job: Job) -> None:
        """Take the verdict of an earlier leader on a job."""
        if job.failures.at_fault:
            job.failures.rounds = _MAX_BACKOFF_DOUBLINGS
            self._suspected[job.id] = job

    def task_completed(self, attempt: Attempt) -> None:
        """Handle a completed task.

        Its job is sound, and so is its machine if the task was started after the last error there.
        """
        errors = attempt.machine.task_errors
        if errors and attempt.sent_at > max(error.occurred_at for error in errors.values()):
            errors.clear()
        if attempt.job.id in self._suspected:
            self._mark_healthy(attempt.job)

    def tick(self) -> None:
        """Look for jobs whose tasks run on where others failed."""
        now = self._clock()
        for job in list(self._suspected.values()):
            if job.phase is JobPhase.FINALIZED:
                del self._suspected[job.id]
            elif any(self._outlasts(attempt, now) for attempt in job.active.values()):
                self._mark_healthy(job)

    def _outlasts(self, attempt: Attempt, now: float) -> bool:
        record = attempt.job.failures
        if attempt.running_at is None or attempt.machine.name in record.machines:
            return False
        return now - attempt.running_at > _HEALTHY_RUN_FACTOR * (
            record.longest_run_s + self._durations.heartbeat_interval_s
        )

    def _mark_healthy(self, job: Job) -> None:
        """Clear what is held against a job, but not the time its tasks lasted: it may have been chance."""
        del self._suspected[job.id]
        record = job.failures
        record.last_healthy_at = self._clock()
        record.rounds = 0
        record.machines.clear()
        job.retry_at = 0.0
        if record.at_fault:
            record.at_fault = False
            self._on_fault_status_changed(job)

    def machine_at_fault(self, machine: Machine) -> bool:
        """Whether different jobs fail on it that are sound elsewhere.

        Two faulty jobs that begin on the same machine must not cost that machine, nor two of them the fleet.
        """
        healthy = unproven = 0
        settled_at = self._clock() - self._durations.cancel_s
        for error in machine.task_errors.values():
            healthy += error.job_is_healthy
            unproven += error.machine_may_be_at_fault and error.occurred_at < settled_at
        return healthy >= _MIN_HEALTHY_JOBS or healthy + unproven >= _MIN_UNPROVEN_JOBS

    def is_suspect(self, machine: Machine) -> bool:
        """Whether a machine should be used last, until it is clear what is at fault."""
        recent = self._clock() - self._durations.cancel_s
        return any(
            error.machine_may_be_at_fault and error.occurred_at > recent
            for error in machine.task_errors.values()
        )
