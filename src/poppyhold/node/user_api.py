"""The users' interface, served by every node. Only the state service determines which jobs exist or ended."""

from __future__ import annotations

import logging
import threading
import time
from collections.abc import Callable, Iterator
from http import HTTPStatus

from poppyhold.cluster.cancellations import Cancellations
from poppyhold.concurrency.rate_limiter import RateLimiter
from poppyhold.durable.changes import Data, Put
from poppyhold.durable.errors import (
    ConditionFailedError,
    InvalidRequestError,
    LeaseExpiredError,
    OutcomeUnknownError,
    StoreRejectedError,
)
from poppyhold.durable.keys import ACTIVE_JOB_PREFIX, FINAL_JOB_PREFIX
from poppyhold.durable.records import final_writes
from poppyhold.durable.store import Store
from poppyhold.model.job_status import FinalState, JobStatus, TaskCounts
from poppyhold.node.job_states import JobStates
from poppyhold.node.submission_policy import SubmissionPolicy
from poppyhold.reads.batched_job_reads import BatchedJobReads
from poppyhold.settings import Deployment, Settings
from poppyhold.wire import field_names
from poppyhold.wire.cloud_messages import MachineType
from poppyhold.wire.codec import MalformedError, decode
from poppyhold.wire.http_server import HttpResponse, http_response
from poppyhold.wire.task_names import JOB_ID
from poppyhold.wire.user_messages import Submission, parse_submission

log = logging.getLogger(__name__)

_MAX_ATTEMPTS = 3
# Latest start of an attempt after the request: users time out after 5 s, and an attempt takes up to 2 s.
_LAST_ATTEMPT_START_S = 2.0
# Users time out after 2 s on a query.
_QUERY_TIMEOUT_S = 1.5
# Minimum time between the starts of two batches of queries under load, in heartbeat intervals.
_BATCH_WINDOW_INTERVALS = 0.05
# Share of the state service's request limit that the queries of all controllers may take. Without it, queries
# of five controllers can take twice the limit, so that submissions, decisions and renewals are rejected.
_QUERY_REQUEST_SHARE = 0.4
# Maximum number of listed cancellations: a message between controllers must hold them.
_MAX_LISTED_CANCELLATIONS = 10_000
# Number of cached final states per MB of the controller's memory limit.
_FINAL_STATES_PER_RAM_MB = 100
# Lower bound of the limit on concurrent requests of users.
_MIN_USER_REQUEST_SLOTS = 8


def _query_rate_limiter(deployment: Deployment) -> RateLimiter:
    """Return the limiter of one controller's requests to the state service for queries."""
    per_second = deployment.state.lowest.rps * _QUERY_REQUEST_SHARE / deployment.controllers
    return RateLimiter(per_second, burst=per_second * _BATCH_WINDOW_INTERVALS * 2)


class UserApi:
    """Submissions, queries and cancellations. Thread-safe."""

    def __init__(
        self,
        settings: Settings,
        store: Store,
        machine_types: Callable[[], dict[str, MachineType]],
        task_counts: Callable[[str], TaskCounts | None],
        clock: Callable[[], float] = time.monotonic,
        reads: BatchedJobReads | None = None,
    ) -> None:
        """``task_counts`` returns a job's done and running tasks, ``reads`` whether it is active.

        By default, ``reads`` reads from ``store``.
        """
        deployment = settings.deployment
        self._store, self._machine_types, self._clock = store, machine_types, clock
        self._retry_after_s = max(1, round(deployment.workers.heartbeat_interval_s))
        self._reads = reads or BatchedJobReads(
            store,
            deployment.workers.heartbeat_interval_s * _BATCH_WINDOW_INTERVALS,
            _QUERY_TIMEOUT_S,
            rate_limiter=_query_rate_limiter(deployment),
        )
        self._policy = SubmissionPolicy(deployment)
        # No more cancellations are listed than the state service can write within `cancel_s`.
        self.cancellations = Cancellations(
            min(int(deployment.state.write_rps * deployment.workers.cancel_s), _MAX_LISTED_CANCELLATIONS)
        )
        self.job_states = JobStates(
            store,
            self.cancellations,
            task_counts,
            int(deployment.machine_limits.ram_mb * _FINAL_STATES_PER_RAM_MB),
        )
        # The requests that the state service accepts in half a second: more would only exceed its rate limit.
        self._user_request_slots = threading.BoundedSemaphore(
            max(_MIN_USER_REQUEST_SLOTS, int(deployment.state.rps / 2))
        )

    # -- submissions ---------------------------------------------------------------------------------

    def submit(self, body: bytes) -> HttpResponse:
        """POST /api/jobs."""
        try:
            spec = parse_submission(decode(body))
        except MalformedError as error:
            return http_response(HTTPStatus.BAD_REQUEST, {"error": str(error)})
        return self._with_slot(lambda: self._submit(spec))

    def _submit(self, spec: Submission) -> HttpResponse:
        machine_types = self._machine_types()
        reason = self._policy.infeasible_reason(spec, machine_types)
        if reason is not None or not machine_types:
            # If the job was accepted before, its state is returned even if it would be rejected now.
            known = self.job_states.read_status(spec.name)
            if known is not None:
                return http_response(HTTPStatus.OK, known)
            if reason is None:
                return self._try_later()
            return http_response(HTTPStatus.UNPROCESSABLE_ENTITY, {"error": reason})
        data = self._policy.make_record(spec, machine_types)
        if not self._policy.can_store(data):
            return self._answer_too_long(spec)
        return self._store_submission(spec, data)

    def _answer_too_long(self, spec: Submission) -> HttpResponse:
        """Answer a submission that is too long to be stored with status 400, so that the user does not retry.

        If the job was accepted before, under larger limits, its state is returned instead.
        """
        known = self.job_states.read_status(spec.name)
        if known is not None:
            return http_response(HTTPStatus.OK, known)
        return http_response(HTTPStatus.BAD_REQUEST, {"error": "too long"})

    def _store_submission(self, spec: Submission, data: Data) -> HttpResponse:
        # A commit counts against the state service's write limit even if its condition fails. The state of a
        # job that was probably accepted is read first, to leave the writes to decisions.
        read_status_first = self.job_states.probably_accepted(spec.name)
        for _ in self._attempts():
            if read_status_first or self.job_states.final_states.get(spec.name) is not None:
                known = self.job_states.read_status(spec.name)
                if known is not None:
                    return http_response(HTTPStatus.OK, known)
            try:
                self._store.commit(
                    {ACTIVE_JOB_PREFIX + spec.name: 0, FINAL_JOB_PREFIX + spec.name: 0},
                    [Put(ACTIVE_JOB_PREFIX + spec.name, data)],
                )
            except OutcomeUnknownError:
                # The commit may have succeeded: then the condition of the next one fails.
                continue
            except InvalidRequestError as error:
                log.warning("submission rejected by the state service: job=%s error=%s", spec.name, error)
                return self._answer_too_long(spec)
            except ConditionFailedError:
                # The job exists, perhaps from an earlier attempt: the next attempt reads its state.
                read_status_first = True
            else:
                self.job_states.record_accepted(spec.name)
                return http_response(
                    HTTPStatus.CREATED, {field_names.NAME: spec.name, "status": JobStatus.PENDING}
                )
        return self._try_later()

    # -- queries -------------------------------------------------------------------------------------

    def poll(self, job_id: str) -> HttpResponse:
        """GET /api/jobs/{id}."""
        if not JOB_ID.match(job_id):
            return _unknown_job()
        final = self.job_states.final_states.get(job_id)
        if final is not None:
            return http_response(HTTPStatus.OK, self.job_states.describe_final(job_id, final))
        # A batched read needs no slot: more queries in a batch cause no more requests to the state service.
        return self._run_or_try_later(lambda: self._poll(job_id))

    def _poll(self, job_id: str) -> HttpResponse:
        # The active key is read first: a job that is finalized in between is then found as final.
        if self._reads.is_active(job_id):
            return http_response(HTTPStatus.OK, self.job_states.describe_active(job_id))
        return self._with_slot(lambda: self._poll_final(job_id))

    def _poll_final(self, job_id: str) -> HttpResponse:
        final = self.job_states.read_final(job_id)
        if final is None:
            return _unknown_job()
        return http_response(HTTPStatus.OK, self.job_states.describe_final(job_id, final))

    # -- cancellations -------------------------------------------------------------------------------

    def abort(self, job_id: str) -> HttpResponse:
        """POST /api/jobs/{id}/abort."""
        if not JOB_ID.match(job_id):
            return _unknown_job()
        return self._with_slot(lambda: self._abort(job_id))

    def _abort(self, job_id: str) -> HttpResponse:
        for _ in self._attempts():
            final = self.job_states.final_states.get(job_id)
            if final is not None:
                return http_response(HTTPStatus.OK, {field_names.NAME: job_id, "status": final.status})
            entry = self._store.get(ACTIVE_JOB_PREFIX + job_id)
            if entry is None:
                if self.job_states.read_status(job_id) is None:
                    return _unknown_job()
                # The final state is cached now, or the job has become active: look again.
                continue
            try:
                tasks = entry.data["spec"][field_names.TASKS]
                revision = self._store.commit(
                    {ACTIVE_JOB_PREFIX + job_id: entry.revision},
                    final_writes(job_id, JobStatus.CANCELLED, tasks),
                )
            except (ConditionFailedError, OutcomeUnknownError):
                # The job changed, or this attempt may have cancelled it: read its state again.
                continue
            self.job_states.record_final(job_id, FinalState(JobStatus.CANCELLED, tasks), revision)
            return http_response(HTTPStatus.OK, {field_names.NAME: job_id, "status": JobStatus.CANCELLED})
        return self._try_later()

    # -- limits and retries --------------------------------------------------------------------------

    def _attempts(self) -> Iterator[int]:
        """Yield up to `_MAX_ATTEMPTS` numbers, none later than `_LAST_ATTEMPT_START_S` after this call."""
        began_at = self._clock()
        return (number for number in range(_MAX_ATTEMPTS) if self._clock() - began_at < _LAST_ATTEMPT_START_S)

    def _with_slot(self, work: Callable[[], HttpResponse]) -> HttpResponse:
        # Without a free slot the request is rejected at once with status 429 and a delay in `Retry-After`.
        if not self._user_request_slots.acquire(blocking=False):
            return self._try_later(HTTPStatus.TOO_MANY_REQUESTS)
        try:
            return self._run_or_try_later(work)
        finally:
            self._user_request_slots.release()

    def _run_or_try_later(self, work: Callable[[], HttpResponse]) -> HttpResponse:
        try:
            return work()
        except (StoreRejectedError, OutcomeUnknownError, LeaseExpiredError) as error:
            log.debug("user request failed: error=%s", error)
            return self._try_later()

    def _try_later(self, status: HTTPStatus = HTTPStatus.SERVICE_UNAVAILABLE) -> HttpResponse:
        return http_response(status, {"error": "try again later"}, Retry_After=str(self._retry_after_s))


def _unknown_job() -> HttpResponse:
    return http_response(HTTPStatus.NOT_FOUND, {"error": "unknown job"})
