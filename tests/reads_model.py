"""A state service, controllers and the history of statuses returned to users, for tests of reads."""

from __future__ import annotations

import threading
from collections.abc import Generator
from typing import Any, NamedTuple

from poppyhold.durable.changes import DeletedKey, Entry
from poppyhold.durable.errors import StoreRejectedError, WatchCompactedError
from poppyhold.durable.keys import ACTIVE_JOB_PREFIX
from poppyhold.durable.store import Changes, Page, Store
from poppyhold.reads.active_jobs_view import ActiveJobsView
from poppyhold.reads.read_batches import ReadBatch, ReadBatches
from poppyhold.reads.read_index import (
    ReadPage,
    ReadRevision,
    StoreRequest,
)

JOBS = ("job-000001", "job-000002")
NO_JOB = "job-000003"
NODES = 2
UNKNOWN, ACCEPTED, OVER = 0, 1, 2


class Write(NamedTuple):
    """A change of a job's key: it is created, or moved to the final records."""

    revision: int
    job_id: str
    state: int


class StoreModel:
    """The state service: jobs by state, and the retained changes of them."""

    def __init__(self) -> None:
        self.revision = 0
        self.states: dict[str, int] = dict.fromkeys(JOBS, UNKNOWN)
        self.log: list[Write] = []
        self.kept_from = 0

    def write(self, job_id: str) -> int:
        """Advance a job to its next state."""
        self.revision += 1
        self.states[job_id] += 1
        self.log.append(Write(self.revision, job_id, self.states[job_id]))
        return self.states[job_id]

    def answer(self, step: StoreRequest, lag: int) -> int | Page | Changes:
        """The response to a step; a follow may be ``lag`` changes behind, as PROTOCOL permits."""
        if isinstance(step, ReadRevision):
            return self.revision
        if isinstance(step, ReadPage):
            keys = sorted(ACTIVE_JOB_PREFIX + job for job, state in self.states.items() if state == ACCEPTED)
            later = [key for key in keys if key > step.after]
            return Page([Entry(key, {}, 1) for key in later[:1]], len(later) > 1, self.revision)
        if step.since < self.kept_from:
            raise WatchCompactedError(ACTIVE_JOB_PREFIX, step.since)
        upto = max(step.since, self.revision - lag)
        events = [
            Entry(ACTIVE_JOB_PREFIX + w.job_id, {}, w.revision)
            if w.state == ACCEPTED
            else DeletedKey(ACTIVE_JOB_PREFIX + w.job_id, w.revision)
            for w in self.log
            if step.since < w.revision <= upto
        ]
        return Changes(events, upto)


class Query(NamedTuple):
    """A pending query."""

    job_id: str
    queried_at: int
    number: int


class NodeModel:
    """A controller: the real batches and plan, with every message under the test's control."""

    def __init__(self, batches: ReadBatches, plan: Any) -> None:
        self.batches, self._plan = batches, plan
        self.view = ActiveJobsView()
        self.waiting: list[Query] = []
        self.started: ReadBatch | None = None
        self.fresh = self.view
        self.running: Generator[StoreRequest, Any, None] | None = None
        self.step: StoreRequest | None = None
        # A response of the store that is in flight.
        self.answer: int | Page | Changes | Exception | None = None
        # Queries whose job is not active and whose final record is to be read.
        self.finals: list[Query] = []

    def begin(self) -> bool:
        """Start a batch; True if it ends at once."""
        self.started = self.batches.start()
        self.fresh = self.view.copy()
        self.running = self._plan(self.fresh)
        self.step = next(self.running, None)
        return self.step is None

    def deliver(self) -> bool:
        """The response arrives; True if the batch has ended."""
        assert self.running is not None
        answer, self.answer = self.answer, None
        try:
            if isinstance(answer, Exception):
                self.step = self.running.throw(answer)
            else:
                self.step = self.running.send(answer)
        except StopIteration:
            return True
        return False


class History:
    """Statuses returned to users, and a checker: each job's responses must be linearizable."""

    def __init__(self) -> None:
        self.time = 0
        # Least state with which a query that arrives now may be answered, and the highest one.
        self.observed: dict[str, int] = dict.fromkeys(JOBS, UNKNOWN)
        self.possible: dict[str, int] = dict.fromkeys(JOBS, UNKNOWN)
        self._least_at: dict[str, list[tuple[int, int]]] = {job: [(0, UNKNOWN)] for job in JOBS}

    def observe(self, job_id: str, state: int) -> None:
        """A user or writer got a response: from now on no response may be a lower state."""
        self.time += 1
        if state > self.observed[job_id]:
            self.observed[job_id] = state
            self._least_at[job_id].append((self.time, state))

    def check(self, query: Query, state: int) -> None:
        """States only rise: an order exists if no response is below one that was sent before its query."""
        least = max(value for at, value in self._least_at[query.job_id] if at <= query.queried_at)
        assert least <= state <= self.possible[query.job_id], (query, least, state)
        self.observe(query.job_id, state)


class CountingStore(Store):
    """A store of two jobs that records requests, and may reject or block them."""

    def __init__(self) -> None:
        self.requests: list[str] = []
        self.refuses = False
        self.gate = threading.Event()
        self.gate.set()

    def _request(self, kind: str) -> None:
        self.requests.append(kind)
        assert self.gate.wait(10.0)
        if self.refuses:
            raise StoreRejectedError("503")

    def get(self, key: str) -> Entry | None:
        self._request("get")
        return (
            Entry(key, {}, 1) if key in (ACTIVE_JOB_PREFIX + JOBS[0], ACTIVE_JOB_PREFIX + JOBS[1]) else None
        )

    def revision(self) -> int:
        self._request("revision")
        return 7

    def page(self, prefix: str, after: str, max_entries: int = 1000) -> Page:
        self._request("page")
        return Page(
            [Entry(ACTIVE_JOB_PREFIX + JOBS[0], {}, 1), Entry(ACTIVE_JOB_PREFIX + JOBS[1], {}, 1)], False, 7
        )

    def poll_changes(self, prefix: str, since: int, poll_timeout_s: float) -> Changes:
        self._request("follow")
        return Changes([], 7)
