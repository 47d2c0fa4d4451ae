"""The states of jobs as users are told of them, read from the state service."""

from __future__ import annotations

from collections.abc import Callable

from poppyhold.cluster.cancellations import Cancellations
from poppyhold.concurrency.bounded_dict import BoundedDict
from poppyhold.durable.keys import ACTIVE_JOB_PREFIX, FINAL_JOB_PREFIX
from poppyhold.durable.store import Store
from poppyhold.model.job_status import FinalState, JobStatus, TaskCounts
from poppyhold.wire import field_names

# Accepted jobs that are remembered, as a share of the final states that are.
_ACCEPTED_DIVISOR = 10


class JobStates:
    """Reads jobs' states. Safe for all threads that answer users."""

    def __init__(
        self,
        store: Store,
        cancellations: Cancellations,
        task_counts: Callable[[str], TaskCounts | None],
        max_final_states: int,
    ) -> None:
        """``task_counts`` tells a job's done and running tasks, for display."""
        self._store, self._cancellations, self._task_counts = store, cancellations, task_counts
        # Final states that the state service told: they never change. Nothing else that a user is told comes
        # from what is kept here, so no node can give an older answer than another gave before.
        self.final_states: BoundedDict[FinalState] = BoundedDict(max_final_states)
        # Jobs that were accepted: only a hint for what to do first with a repeat.
        self._accepted: BoundedDict[bool] = BoundedDict(max_final_states // _ACCEPTED_DIVISOR)

    def record_accepted(self, job_id: str) -> None:
        """Remember that a job was accepted, for repeats of its submission."""
        self._accepted.put(job_id, True)

    def probably_accepted(self, job_id: str) -> bool:
        """Whether a submission of this active job is likely to be a repeat. It is only a hint."""
        return job_id in self._accepted or self._task_counts(job_id) is not None

    def read_status(self, job_id: str) -> dict[str, object] | None:
        """A job's state as its user is told; None if the job was never accepted."""
        final = self.final_states.get(job_id)
        if final is None:
            # In this order: a job moves from the active ones to the final ones, and never back.
            if self._store.get(ACTIVE_JOB_PREFIX + job_id) is not None:
                return self.describe_active(job_id)
            final = self.read_final(job_id)
            if final is None:
                return None
        return self.describe_final(job_id, final)

    def read_final(self, job_id: str) -> FinalState | None:
        """The final state of a job that was found not to be active; None if it was never accepted."""
        entry = self._store.get(FINAL_JOB_PREFIX + job_id)
        if entry is None:
            return None
        final = FinalState(entry.data["s"], entry.data["n"])
        self.record_final(job_id, final, entry.revision)
        return final

    def record_final(self, job_id: str, final: FinalState, revision: int) -> None:
        """Remember a durable final state that its user is about to be told."""
        # Before anybody is told, here or from what is kept: a leader that asks must be told of it first.
        if final.status == JobStatus.CANCELLED:
            self._cancellations.add(job_id, revision)
        self.final_states.put(job_id, final)

    def describe_active(self, job_id: str) -> dict[str, object]:
        """What the user of an active job is told."""
        self.record_accepted(job_id)
        done, running = self._task_counts(job_id) or TaskCounts(0, 0)
        status = JobStatus.RUNNING if running else JobStatus.PENDING
        return {field_names.NAME: job_id, "status": status, "done": done, "running": running}

    @staticmethod
    def describe_final(job_id: str, final: FinalState) -> dict[str, object]:
        """What the user of a finalized job is told."""
        done = final.tasks if final.status == JobStatus.DONE else 0
        return {field_names.NAME: job_id, "status": final.status, "done": done, "running": 0}
