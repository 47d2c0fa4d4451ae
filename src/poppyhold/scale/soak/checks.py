"""The rules in a soak run, and progress once its faults are over."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator

from poppyhold.scale.checks import RuleChecks
from poppyhold.scale.worker_standin import WorkerStandIn


class SoakChecks(RuleChecks):
    """Adds starts after a confirmed cancellation, and jobs that do not get on."""

    # Tasks that started after their user was told of the cancellation: allowed within `cancel_s`.
    starts_after_cancellation = 0

    def started(self, worker: WorkerStandIn, task: str) -> None:
        """Check a task that has its image and starts on its machine."""
        if self.is_cancelled(task.rpartition("/")[0]):
            self.starts_after_cancellation += 1
        super().started(worker, task)

    def count(self) -> int:
        """Count the tasks on all machines, after ending the leases that have expired by now."""
        for worker in self._workers():
            worker.expire()
        return super().count()

    def is_cancelled(self, job_id: str) -> bool:
        """Whether the job's user was told that it is cancelled."""
        return job_id in self._cancelled_at

    def unsettled(self) -> Iterator[str]:
        """Yield the accepted jobs that are neither final nor, as services, running with all their tasks."""
        running = Counter(
            task.rpartition("/")[0] for worker in self._workers() for task in worker.on_machine()
        )
        for job_id in self._reported_status:
            job = self.jobs[job_id]
            is_up = job["shape"] == "service" and running[job_id] == job["chores"]
            if not is_up and not self.is_final(job_id):
                yield job_id

    def check_settled(self) -> None:
        """Record a violation for each job that has not got on although all faults are over."""
        for job_id in self.unsettled():
            self.violations.add(f"no_progress: {job_id} is {self._reported_status[job_id]} after all faults")
