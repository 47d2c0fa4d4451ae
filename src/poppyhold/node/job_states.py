"""The job states that users receive, read from the state service."""

from __future__ import annotations

from collections.abc import Callable

from poppyhold.cluster.cancellations import Cancellations
from poppyhold.concurrency.bounded_dict import BoundedDict
from poppyhold.durable.errors import OutcomeUnknownError
from poppyhold.durable.keys import ACTIVE_JOB_PREFIX, FINAL_JOB_PREFIX
from poppyhold.durable.store import Store
from poppyhold.model.invariants import Invariant, violations
from poppyhold.model.job_status import FinalState, JobStatus, TaskCounts
from poppyhold.wire import field_names

# Maximum number of cached IDs of accepted jobs: that of cached final states divided by this.
_ACCEPTED_DIVISOR = 10


class JobStates:
    """Reads and caches job states. Thread-safe."""

    def __init__(
        self,
        store: Store,
        cancellations: Cancellations,
        task_counts: Callable[[str], TaskCounts | None],
        max_final_states: int,
    ) -> None:
        """``task_counts`` returns a job's done and running tasks, for display."""
        self._store, self._cancellations, self._task_counts = store, cancellations, task_counts
        # Durable final states, which never change. No other cached state is sent to users, so no node can
        # return an older state than another node has returned before.
        self.final_states: BoundedDict[FinalState] = BoundedDict(max_final_states)
        # Some accepted jobs. If their submission is repeated, their state is read before any commit.
        self._accepted: BoundedDict[bool] = BoundedDict(max_final_states // _ACCEPTED_DIVISOR)

    def record_accepted(self, job_id: str) -> None:
        """Record that a job was accepted, for repeats of its submission."""
        self._accepted.put(job_id, True)

    def probably_accepted(self, job_id: str) -> bool:
        """Whether a submission of this job is probably a repeat; False if that is unknown."""
        return job_id in self._accepted or self._task_counts(job_id) is not None

    def read_status(self, job_id: str) -> dict[str, object] | None:
        """Return a job's state for its user; None if the job was never accepted."""
        final = self.final_states.get(job_id)
        if final is None:
            # The active key is read first: a job that is finalized in between is then found as final.
            if self._store.get(ACTIVE_JOB_PREFIX + job_id) is not None:
                return self.describe_active(job_id)
            final = self.read_final(job_id)
            if final is None:
                return None
        return self.describe_final(job_id, final)

    def read_final(self, job_id: str) -> FinalState | None:
        """Read the final state of a job that is not active; None if the job was never accepted."""
        entry = self._store.get(FINAL_JOB_PREFIX + job_id)
        if entry is None:
            return None
        final = FinalState(entry.data["s"], entry.data["n"])
        self.record_final(job_id, final, entry.revision)
        return final

    def record_final(self, job_id: str, final: FinalState, revision: int) -> None:
        """Cache a durable final state before it is sent to the user.

        Raises:
            OutcomeUnknownError: ``revision`` is not that of a record, so the state may not be durable.

        """
        if revision <= 0:
            violations.record(Invariant.FINAL_ANSWER_IS_DURABLE, job_id, f"revision={revision}")
            raise OutcomeUnknownError(f"no durable record of the final state of {job_id}")
        # Before the state is cached, and so sent to users: from then on, pongs must include the cancellation.
        if final.status == JobStatus.CANCELLED:
            self._cancellations.add(job_id, revision)
        self.final_states.put(job_id, final)

    def describe_active(self, job_id: str) -> dict[str, object]:
        """Return the response body for an active job."""
        self.record_accepted(job_id)
        done, running = self._task_counts(job_id) or TaskCounts(0, 0)
        status = JobStatus.RUNNING if running else JobStatus.PENDING
        return {field_names.NAME: job_id, "status": status, "done": done, "running": running}

    @staticmethod
    def describe_final(job_id: str, final: FinalState) -> dict[str, object]:
        """Return the response body for a finalized job."""
        done = final.tasks if final.status == JobStatus.DONE else 0
        return {field_names.NAME: job_id, "status": final.status, "done": done, "running": 0}
