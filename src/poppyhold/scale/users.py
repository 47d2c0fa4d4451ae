"""Simulated users: submit, poll and cancel jobs through any controller, and retry failed requests."""

from __future__ import annotations

import asyncio
import random
import time
from collections import Counter
from http import HTTPStatus

from poppyhold.scale.async_http import Connection, NoResponseError
from poppyhold.scale.checks import RuleChecks
from poppyhold.scale.jobs import submission, wire
from poppyhold.scale.measure import Latency, Rate
from poppyhold.scale.profile import JobClass, Profile
from poppyhold.scale.responses import Data, Status

_SUBMISSION_TIMEOUT_S, _POLL_TIMEOUT_S, _POLL_INTERVAL_S = 5.0, 2.0, 5.0
_RETRY_S, _MAX_RETRY_S, _SUBMISSION_DEADLINE_S = 1.0, 30.0, 60.0
_UNAVAILABLE = (429, 503, 504)
_IMAGES, _IMAGE_GB = 4, 1.0
# Connections that users have open at the same time.
_MAX_CONNECTIONS = 128


class Users:
    """All users of a run."""

    def __init__(
        self, profile: Profile, nodes: dict[str, int], checks: RuleChecks, rng: random.Random
    ) -> None:
        self._profile, self._nodes, self._checks, self._rng = profile, nodes, checks, rng
        self._idle: list[Connection] = []
        self._connection_slots = asyncio.Semaphore(_MAX_CONNECTIONS)
        self._job_count = 0
        self._tasks: set[asyncio.Task[None]] = set()
        # Probability that an arrival is submitted to this cell; with `wander_s` one cell at a time gets most.
        self.arrival_share = 1.0
        self._sent_at: dict[str, float] = {}
        self._started_tasks: set[str] = set()
        self.submissions, self.polls = Latency(), Latency()
        self.starts = {job.name: Latency() for job in profile.jobs}
        self.started = Rate()
        self.statuses: Counter[int] = Counter()
        self.given_up = 0

    def clear(self) -> None:
        """Reset the figures at the start of the measured time."""
        for latency in (self.submissions, self.polls, *self.starts.values()):
            latency.clear()
        self.started.clear()
        self.statuses.clear()

    def close(self) -> None:
        """Cancel all requests and close all connections."""
        for task in self._tasks:
            task.cancel()
        for connection in self._idle:
            connection.close()

    def task_started(self, task: str) -> None:
        """Record a task's first start, and the time from the first attempt to submit its job until then."""
        self.started.record()
        if task in self._started_tasks:
            return
        self._started_tasks.add(task)
        job_id = task.rpartition("/")[0]
        self.starts[self._checks.jobs[job_id]["lot"]].record(time.monotonic() - self._sent_at[job_id])

    async def run(self) -> None:
        """Submit the initial jobs, then jobs as they arrive."""
        for job in self._profile.jobs:
            for _ in range(job.initial):
                self._create_job(job)
        arrivals = [self._generate_arrivals(job) for job in self._profile.jobs if job.per_second > 0]
        await asyncio.gather(*arrivals)

    async def _generate_arrivals(self, job: JobClass) -> None:
        while True:
            await asyncio.sleep(self._rng.expovariate(job.per_second))
            if self._rng.random() < self.arrival_share:
                self._create_job(job)

    def burst(self, count: int) -> None:
        """Submit ``count`` jobs of the first class at once."""
        for _ in range(count):
            self._create_job(self._profile.jobs[0])

    def _create_job(self, job: JobClass) -> None:
        self._job_count += 1
        fields = {
            "lot": job.name,
            "crew": f"team-{self._rng.randrange(self._profile.teams)}",
            "shape": job.shape,
            "rank": job.priority,
            "chores": job.tasks,
            "cpus": job.cpus,
            "accelerators": job.accelerators,
            "memGb": 1.0,
            "bundle": f"img-{self._rng.randrange(_IMAGES)}",
            "sizeGb": _IMAGE_GB,
            "guessS": job.run_s,
            "runs": job.run_s * self._rng.uniform(0.67, 1.33),
        }
        body = submission(f"job-{self._job_count:06d}", fields)
        self._checks.jobs[body["nameId"]] = body
        task = asyncio.create_task(self._track_job(body, self._rng.random() < job.cancelled))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _track_job(self, job: Data, cancels: bool) -> None:
        job_id = job["nameId"]
        if not await self._submit(job):
            return
        cancel_at = time.monotonic() + job["runs"] * self._rng.uniform(0.1, 1.0) if cancels else float("inf")
        while not self._checks.is_final(job_id):
            await asyncio.sleep(_POLL_INTERVAL_S * self._rng.uniform(0.8, 1.2))
            if time.monotonic() >= cancel_at:
                await self._request_job(job_id, "POST", "/abort")
            else:
                await self._request_job(job_id, "GET", "")

    async def _submit(self, job: Data) -> bool:
        began = self._sent_at[job["nameId"]] = time.monotonic()
        while time.monotonic() - began < _SUBMISSION_DEADLINE_S:
            status, _ = await self._request("POST", "/api/jobs", wire(job), _SUBMISSION_TIMEOUT_S)
            self.statuses[status] += 1
            if status in (HTTPStatus.OK, HTTPStatus.CREATED):
                self.submissions.record(time.monotonic() - began)
                self._checks.accepted(job)
                return True
            await asyncio.sleep(_RETRY_S * self._rng.uniform(1.0, 1.5))
        self.given_up += 1
        return False

    async def _request_job(self, job_id: str, method: str, action: str) -> None:
        began = time.monotonic()
        body: Data | None = {} if method == "POST" else None
        status, answer = await self._request(method, f"/api/jobs/{job_id}{action}", body, _POLL_TIMEOUT_S)
        if status == HTTPStatus.OK:
            self.polls.record(time.monotonic() - began)
        self._checks.answered(job_id, status, answer)

    async def _request(self, method: str, path: str, body: Data | None, timeout_s: float) -> Status:
        """Send one request over an idle connection or to a random controller; status 0 without a response."""
        async with self._connection_slots:
            connection = self._idle.pop() if self._idle else self._connect()
            try:
                status, answer = await connection.request(method, path, body, timeout_s)
            except NoResponseError:
                return 0, {}
            if status in _UNAVAILABLE:
                connection.close()
            else:
                self._idle.append(connection)
            return status, answer

    def _connect(self) -> Connection:
        return Connection(self._nodes[self._rng.choice(list(self._nodes))])
