"""The lifecycle of jobs on the leader, from acceptance to final state."""

from __future__ import annotations

from collections.abc import Callable

from poppyhold.concurrency.bounded_dict import BoundedDict
from poppyhold.durable.changes import Entry
from poppyhold.durable.keys import ACTIVE_JOB_PREFIX
from poppyhold.durable.records import final_writes
from poppyhold.execution.completions import Completions
from poppyhold.execution.reconciliation import AttemptReconciler
from poppyhold.machines.autoscaler import Autoscaler
from poppyhold.model.context import Context
from poppyhold.model.entities import Attempt, Job, JobPhase, StartChannel, make_job
from poppyhold.model.job_status import JobStatus
from poppyhold.scheduling.admission import Admission
from poppyhold.wire.codec import MalformedError
from poppyhold.wire.user_messages import parse_submission

# Number of finalized job IDs kept per MB of the controller's memory limit.
_FINALIZED_IDS_PER_RAM_MB = 10


class JobLifecycle:
    """Accepts jobs, tracks the end of their tasks, and finalizes them. Decision thread only."""

    def __init__(
        self,
        ctx: Context,
        admission: Admission,
        reconciler: AttemptReconciler,
        completions: Completions,
        autoscaler: Autoscaler,
        on_active_jobs_changed: Callable[[], None],
    ) -> None:
        """``on_active_jobs_changed`` is called when a job is created or finalized, to update guarantees."""
        self._ctx, self._admission, self._reconciler = ctx, admission, reconciler
        self._completions, self._autoscaler = completions, autoscaler
        self._on_active_jobs_changed = on_active_jobs_changed
        # Finalized jobs, which a late submission must not create again: a cancellation may overtake it in the
        # decision queue, or because another controller's pong lists the cancellation first.
        max_ids = int(ctx.settings.deployment.machine_limits.ram_mb * _FINALIZED_IDS_PER_RAM_MB)
        self._finalized_ids: BoundedDict[bool] = BoundedDict(max_ids)

    # -- acceptance ----------------------------------------------------------------------------------

    def create(self, entry: Entry) -> Job | None:
        """Create a job from its durable record; None if the record is malformed."""
        try:
            spec = parse_submission(entry.data["spec"])
        except (KeyError, MalformedError):
            return None
        # The record holds the wall-clock time of the submission.
        age_s = max(0.0, self._ctx.wall_clock() - float(entry.data["at"]))
        job = make_job(spec, entry.revision, self._ctx.clock() - age_s, self._ctx.attempt_digits)
        self._ctx.fleet.jobs[job.id] = job
        self._on_active_jobs_changed()
        self._ctx.scheduling_needed = True
        return job

    def resume(self, job: Job) -> None:
        """Resume a job that an earlier leader accepted."""
        self._autoscaler.arrivals.record_submission(job.submitted_at, job.spec)
        if not job.plan_durable:
            self._admission.submit(job)
        if job.done == job.spec.tasks:
            self._finalize(job)

    def handle_accepted(self, entry: Entry) -> None:
        """Handle a submission that became durable."""
        job_id = entry.key.removeprefix(ACTIVE_JOB_PREFIX)
        if job_id in self._ctx.fleet.jobs or job_id in self._finalized_ids:
            return
        job = self.create(entry)
        if job is not None:
            self._autoscaler.arrivals.record_submission(self._ctx.clock(), job.spec)
            self._admission.submit(job)

    # -- ends of tasks -------------------------------------------------------------------------------

    def handle_task_completed(self, job: Job, index: int) -> None:
        """Stop any other attempt of a completed task, and finalize the job after its last task."""
        other = job.active.get(index)
        if other is not None:
            self._reconciler.lifecycle.stop(other, 0.0, self._ctx.clock())
        if job.done == job.spec.tasks:
            self._finalize(job)

    def handle_attempt_ended(self, attempt: Attempt) -> None:
        """Release the resources of an attempt that has certainly ended."""
        self._admission.attempt_ended(attempt)
        job = attempt.job
        if job.phase is JobPhase.FINALIZED and set(job.active) <= {attempt.index}:
            self._ctx.fleet.jobs.pop(job.id, None)

    def record_run_time(self, attempt: Attempt, now: float) -> None:
        """Record the run time of a completed task for the estimates."""
        # If an attempt was first observed while running, its start time is unknown.
        if attempt.start_channel is not StartChannel.OBSERVED and attempt.running_at is not None:
            self._admission.estimates.record_run(attempt.job, now - attempt.running_at)

    # -- finalization --------------------------------------------------------------------------------

    def _finalize(self, job: Job) -> None:
        """Commit the final state of a job whose tasks are all done."""
        if job.phase is not JobPhase.ACTIVE:
            return
        job.phase = JobPhase.FINALIZING

        def on_committed(committed: bool) -> None:
            if committed:
                self._ctx.outbound.job_finalized(job.id, JobStatus.DONE, job.spec.tasks)
            # Otherwise a cancellation or an earlier try of this commit finalized the job, with a final state
            # that is unknown here.
            self.handle_finalized(job.id)

        self._ctx.outbound.commit(
            {ACTIVE_JOB_PREFIX + job.id: job.record_revision},
            final_writes(job.id, JobStatus.DONE, job.spec.tasks),
            on_committed,
            self._admission.records.commit_priority(job),
        )

    def handle_finalized(self, job_id: str) -> None:
        """Stop the attempts and remove the records of a job that is cancelled or has completed all tasks."""
        self._finalized_ids.put(job_id, True)
        job = self._ctx.fleet.jobs.get(job_id)
        if job is None or job.phase is JobPhase.FINALIZED:
            return
        job.phase = JobPhase.FINALIZED
        # A cancellation that is not applied yet was confirmed after the evidence for these renewals.
        job.renewals_allowed_until = self._ctx.outbound.renewals_allowed_until()
        self._autoscaler.arrivals.record_end(self._ctx.clock(), job.spec)
        self._on_active_jobs_changed()
        self._admission.release_planned_starts(job)
        now = self._ctx.clock()
        for attempt in list(job.active.values()):
            self._reconciler.lifecycle.stop(attempt, 0.0, now)
        self._completions.remove(job)
        if job.plan_durable or job.plan_write_in_flight:
            self._admission.records.remove(job_id)
        if not job.active:
            self._ctx.fleet.jobs.pop(job_id, None)
        self._ctx.scheduling_needed = True
