"""Rules of the protocol, checked during the run."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable
from typing import Any

from poppyhold.scale.violations import RuleViolations
from poppyhold.scale.worker_standin import WorkerStandIn

Data = dict[str, Any]
FINAL_STATUSES = ("done", "cancelled")
_TOLERANCE = 1e-6


class RuleChecks:
    """Checks the rules on tasks and jobs; any violation fails the run."""

    def __init__(
        self,
        workers: Callable[[], Iterable[WorkerStandIn]],
        limits: dict[str, float],
        cancel_s: float,
        clock: Callable[[], float],
    ) -> None:
        self._workers, self._limits, self._cancel_s, self._clock = workers, limits, cancel_s, clock
        self.jobs: dict[str, Data] = {}
        self.violations = RuleViolations()
        self._cancelled_at: dict[str, float] = {}
        self._reported_status: dict[str, str] = {}
        self._finished: Counter[str] = Counter()
        # Jobs of which a task has started.
        self._started_jobs: set[str] = set()
        self._placed: dict[str, WorkerStandIn] = {}
        # Upper bounds of the accelerators that teams use: the last exact count, plus tasks started since.
        self._used: Counter[str] = Counter()

    def started(self, worker: WorkerStandIn, task: str) -> None:
        """Check a task that has its image and starts on its machine."""
        job_id = task.rpartition("/")[0]
        before = self._placed.get(task)
        if before is not None and before is not worker and not before.gone and task in before.on_machine():
            self.violations.add(f"ran_twice: {task} on {before.name} and {worker.name}")
        self._placed[task] = worker
        self._started_jobs.add(job_id)
        job = self.jobs[job_id]
        team = job["crew"]
        self._used[team] += job["accelerators"]
        if self._used[team] > self._limits[team] + _TOLERANCE:
            # The upper bound includes tasks that ended since the last count.
            self.count()
        self._check_cancelled(job_id, task)

    def completed(self, task: str) -> None:
        """Record a task that ran to completion."""
        self._placed.pop(task, None)
        self._finished[task.rpartition("/")[0]] += 1

    @property
    def used(self) -> Counter[str]:
        """Upper bound of what each team uses: the last count, plus all tasks started since."""
        return self._used

    def count(self) -> int:
        """Count the tasks on all machines and check limits and cancellations; returns the number of tasks."""
        used: Counter[str] = Counter()
        running = 0
        for worker in self._workers():
            for task in worker.on_machine():
                running += 1
                job_id = task.rpartition("/")[0]
                job = self.jobs[job_id]
                used[job["crew"]] += job["accelerators"]
                self._check_cancelled(job_id, task)
        for team, amount in used.items():
            if amount > self._limits[team] + _TOLERANCE:
                self.violations.add(f"quota: {team} uses {amount:g} of {self._limits[team]:g}")
        self._used = used
        return running

    def _check_cancelled(self, job_id: str, task: str) -> None:
        deadline = self._cancelled_at.get(job_id, float("inf")) + self._cancel_s
        if self._clock() > deadline:
            self.violations.add(f"ran_cancelled: {task} runs {self._clock() - deadline:.1f} s past cancel_s")

    def accepted(self, job: Data) -> None:
        """Record an accepted job."""
        self._reported_status.setdefault(job["nameId"], "pending")

    def answered(self, job_id: str, status: int, body: Data) -> None:
        """Check the response to a user who polled or cancelled an accepted job."""
        if status in (400, 404, 422):
            self.violations.add(f"forgotten: {job_id} got HTTP status {status}")
        if status != 200:  # noqa: PLR2004 (HTTP's own number)
            return
        reported, before = body["status"], self._reported_status.get(job_id)
        if before in FINAL_STATUSES and reported != before:
            self.violations.add(f"went_back: {job_id} from {before} to {reported}")
        if reported == "done" and self._finished[job_id] < self.jobs[job_id]["chores"]:
            self.violations.add(
                f"not_done: {job_id} reported done after {self._finished[job_id]} completed tasks"
            )
        if reported == "cancelled":
            self._cancelled_at.setdefault(job_id, self._clock())
        self._reported_status[job_id] = reported

    def waits(self, job_id: str) -> bool:
        """Whether a job is accepted and pending, and no task of it has started yet."""
        return self._reported_status.get(job_id) == "pending" and job_id not in self._started_jobs

    def is_final(self, job_id: str) -> bool:
        """Whether a final status of the job was reported to its user."""
        return self._reported_status.get(job_id) in FINAL_STATUSES
