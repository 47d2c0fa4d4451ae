"""Simulates how the tasks of a gang act together, on any number of worker stand-ins.

They start together when the last one has its image, complete together, detect within `gang_peer_s` that one
of them is lost, and save together. Progress is recorded by job: checkpoints are stored outside the machines.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any

import msgspec

from poppyhold.scale.worker_standin import WorkerStandIn

TaskStatus = dict[str, Any]
Member = tuple[WorkerStandIn, str, TaskStatus]
# Job and attempt number.
AttemptKey = tuple[str, int]

_ON_MACHINE = ("waiting", "running", "flushing")


class _Attempt(msgspec.Struct, eq=False):
    """An attempt that has started."""

    began_at: float
    base: float
    # When one of its tasks was lost; when the first of them received the stop command.
    lost_at: float | None = None
    stopped_at: float | None = None
    saved_tasks: set[str] = msgspec.field(default_factory=set)
    over: bool = False

    def progress(self, now: float) -> float:
        """Seconds of work done; constant after the first loss or stop."""
        ends = [moment for moment in (self.lost_at, self.stopped_at) if moment is not None]
        return self.base + min([now, *ends]) - self.began_at


class GangStandIn:
    """Simulates all gangs of a deployment."""

    def __init__(
        self,
        clock: Callable[[], float],
        peer_s: float,
        workers: Callable[[], Iterable[WorkerStandIn]],
        hangs: Callable[[WorkerStandIn], bool],
        on_done: Callable[[str], None],
    ) -> None:
        self._clock, self._peer_s = clock, peer_s
        self._workers, self._hangs, self._on_done = workers, hangs, on_done
        self._started: dict[AttemptKey, _Attempt] = {}
        # Saved seconds of work, by job.
        self.saved: dict[str, float] = {}
        # Attempts that started, by job.
        self.starts: dict[str, int] = {}

    def step(self) -> list[WorkerStandIn]:
        """Advance all gangs to the current time; the workers whose tasks changed."""
        changed: list[WorkerStandIn] = []
        for key, members in self._members().items():
            attempt = self._started.get(key)
            if attempt is None:
                changed += self._try_start(key, members)
            elif not attempt.over:
                changed += self._step_started(key, attempt, members)
            else:
                # Tasks that start after their attempt ended find no peers.
                changed += [self._end(member, "mates_gone") for member in members if _runs(member)]
        return changed

    def _members(self) -> dict[AttemptKey, list[Member]]:
        found: dict[AttemptKey, list[Member]] = {}
        for worker in self._workers():
            for name, task in worker.tasks.items():
                job = task.get("job")
                if job is not None and job["shape"] == "group" and task["status"] in _ON_MACHINE:
                    found.setdefault((job["nameId"], task["try"]), []).append((worker, name, task))
        return found

    def _try_start(self, key: AttemptKey, members: list[Member]) -> list[WorkerStandIn]:
        job = members[0][2]["job"]
        names = {name for _, name, _ in members}
        ready = all(task["status"] == "waiting" for _, _, task in members)
        if len(names) < job["chores"] or not ready or any(self._hangs(worker) for worker, _, _ in members):
            return []
        self._started[key] = _Attempt(self._clock(), self.saved.get(key[0], 0.0))
        self.starts[key[0]] = self.starts.get(key[0], 0) + 1
        for _, _, task in members:
            task.update(status="running", until=None)
        return [worker for worker, _, _ in members]

    def _step_started(self, key: AttemptKey, attempt: _Attempt, members: list[Member]) -> list[WorkerStandIn]:
        now, job = self._clock(), members[0][2]["job"]
        responsive = [member for member in members if not self._hangs(member[0])]
        is_complete = len(responsive) + len(attempt.saved_tasks) >= job["chores"]
        stop_times = [task["stop_at"] for _, _, task in members if "stop_at" in task]
        if attempt.stopped_at is None and stop_times:
            attempt.stopped_at = min(stop_times)
        if not is_complete and attempt.lost_at is None and not attempt.saved_tasks:
            attempt.lost_at = now
            self._save_progress(key[0], self._checkpoint(job, attempt.progress(now)))
        if attempt.lost_at is not None:
            if now < attempt.lost_at + self._peer_s:
                return []
            attempt.over = True
            return [self._end(member, "mates_gone") for member in responsive]
        if attempt.stopped_at is not None:
            return self._step_stopped(key, attempt, responsive, attempt.stopped_at)
        if attempt.progress(now) < job["runs"]:
            return []
        attempt.over = True
        for member in responsive:
            self._on_done(member[1])
        return [self._end(member, "done") for member in responsive]

    def _step_stopped(
        self, key: AttemptKey, attempt: _Attempt, members: list[Member], first: float
    ) -> list[WorkerStandIn]:
        now, job = self._clock(), members[0][2]["job"]
        unstopped = [member for member in members if "stop_at" not in member[2]]
        if unstopped:
            if now <= first + self._peer_s:
                return []
            attempt.over = True
            self._save_progress(key[0], self._checkpoint(job, attempt.progress(now)))
            return [
                self._end(member, "stopped" if "stop_at" in member[2] else "mates_gone") for member in members
            ]
        saved = [member for member in members if member[2]["stop_at"] + job["stashS"] <= now]
        for _, name, task in saved:
            attempt.saved_tasks.add(name)
            task["kept"] = True
        if saved:
            self._save_progress(key[0], attempt.progress(now))
        return [self._end(member, "stopped") for member in saved]

    def _save_progress(self, job_id: str, progress: float) -> None:
        self.saved[job_id] = max(progress, self.saved.get(job_id, 0.0))

    @staticmethod
    def _checkpoint(job: dict[str, Any], progress: float) -> float:
        interval = float(job["bookmarkS"])
        return progress // interval * interval if interval > 0 else 0.0

    @staticmethod
    def _end(member: Member, cause: str) -> WorkerStandIn:
        worker, _, task = member
        task.update(status="ended", cause=cause, until=None)
        return worker


def _runs(member: Member) -> bool:
    return member[2]["status"] in ("running", "flushing")
