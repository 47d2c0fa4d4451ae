"""Users of a soak run, whose behaviour its schedule holds."""

from __future__ import annotations

import asyncio
import random
import time

from poppyhold.scale.async_http import Connection, NoResponseError
from poppyhold.scale.checks import FINAL_STATUSES
from poppyhold.scale.jobs import submission, wire
from poppyhold.scale.profile import Profile
from poppyhold.scale.responses import Data, Status
from poppyhold.scale.soak.checks import SoakChecks
from poppyhold.scale.soak.schedule import SoakJob, SoakSchedule
from poppyhold.scale.users import Users

# Class of all jobs, the longest pause between two questions of a user, and a user's timeout, in seconds.
JOB_CLASS = "soak"
_POLL_S, _TIMEOUT_S = 2.0, 2.0


class SoakUsers(Users):
    """Submits the schedule's jobs; each user polls, cancels and repeats requests as the schedule says."""

    def __init__(
        self,
        profile: Profile,
        nodes: dict[str, int],
        checks: SoakChecks,
        rng: random.Random,
        schedule: SoakSchedule,
    ) -> None:
        super().__init__(profile, nodes, checks, rng)
        self._soak_checks, self._schedule = checks, schedule
        # By job: set to have its user cancel it now.
        self._cancel_now: dict[str, asyncio.Event] = {}

    async def run(self) -> None:
        """Submit each job at its time after the warm-up."""
        began_at = time.monotonic() + self._profile.warm_up_s
        for number, job in enumerate(self._schedule.jobs, start=1):
            await asyncio.sleep(max(0.0, began_at + job.at_s - time.monotonic()))
            task = asyncio.create_task(self._follow_job(f"job-{number:06d}", job))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def cancel_some(self, share: float) -> None:
        """Have the users of a share of the unfinished jobs cancel them now."""
        unfinished = [job_id for job_id in self._cancel_now if not self._checks.is_final(job_id)]
        for job_id in self._rng.sample(unfinished, int(len(unfinished) * share)):
            self._cancel_now[job_id].set()

    async def _follow_job(self, job_id: str, job: SoakJob) -> None:
        body = self._describe(job_id, job)
        self._checks.jobs[job_id] = body
        if not await self._submit(body):
            return
        cancel_now = self._cancel_now[job_id] = asyncio.Event()
        if job.repeats:
            await self._query(job_id, "POST", "", wire(body))
        if job.queries_all:
            await self._query_all(job_id)
        cancel_at = float("inf") if job.cancel_after_s is None else time.monotonic() + job.cancel_after_s
        while not self._checks.is_final(job_id):
            if cancel_now.is_set() or time.monotonic() >= cancel_at:
                await self._query(job_id, "POST", f"/{job_id}/abort", {})
            else:
                await self._query(job_id, "GET", f"/{job_id}", None)
            if self._checks.is_final(job_id):
                break
            await self._pause(cancel_now, cancel_at)
        if job.repeats:
            await self._query(job_id, "POST", "", wire(body))
        if job.queries_all:
            await self._query_all(job_id)

    @staticmethod
    async def _pause(cancel_now: asyncio.Event, cancel_at: float) -> None:
        """Wait for the next question, or for the time to cancel; a request to cancel is repeated soon."""
        now = time.monotonic()
        pause_s = min(_POLL_S, cancel_at - now) if cancel_at > now else _POLL_S / 4
        try:
            async with asyncio.timeout(pause_s):
                if cancel_now.is_set():
                    await asyncio.sleep(_POLL_S / 4)
                else:
                    await cancel_now.wait()
        except TimeoutError:
            return

    async def _query_all(self, job_id: str) -> None:
        """Ask every controller at the same moment: none may answer something older than was told before."""
        answers = await asyncio.gather(
            *(self._request_at(node, "GET", f"/api/jobs/{job_id}", None) for node in self._nodes)
        )
        # The answers are concurrent, so those that are not final may have been given first.
        for status, answer in sorted(answers, key=lambda each: each[1].get("status") in FINAL_STATUSES):
            self._checks.answered(job_id, status, answer)

    async def _query(self, job_id: str, method: str, path: str, body: Data | None) -> None:
        """Send a request about a job to any controller."""
        node = self._rng.choice(list(self._nodes))
        status, answer = await self._request_at(node, method, f"/api/jobs{path}", body)
        # A repeated submission is answered with 200, as is everything else about an accepted job.
        self._checks.answered(job_id, status, answer)

    async def _request_at(self, node: str, method: str, path: str, body: Data | None) -> Status:
        connection = Connection(self._nodes[node])
        try:
            return await connection.request(method, path, body, _TIMEOUT_S)
        except NoResponseError:
            return 0, {}
        finally:
            connection.close()

    def _describe(self, job_id: str, job: SoakJob) -> Data:
        fields = {
            "lot": JOB_CLASS,
            "crew": f"team-{self._rng.randrange(self._profile.teams)}",
            "shape": "service" if job.is_service else "array",
            "rank": "critical" if job.is_service else "high",
            "chores": job.tasks,
            "cpus": 1.0,
            "accelerators": 1.0,
            "memGb": 1.0,
            "bundle": "img-0",
            "sizeGb": 0.1,
            "guessS": job.run_s,
        }
        return submission(job_id, fields)
