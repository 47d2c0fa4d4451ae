"""Whether jobs are active: concurrent queries share one read of the store's revision."""

from __future__ import annotations

import math
import threading
import time
from collections import deque
from collections.abc import Callable
from enum import Enum, auto

from poppyhold.concurrency.bounded_dict import BoundedDict
from poppyhold.concurrency.rate_limiter import RateLimiter
from poppyhold.durable.errors import OutcomeUnknownError, StoreRejectedError, WatchCompactedError
from poppyhold.durable.keys import ACTIVE_JOB_PREFIX
from poppyhold.durable.store import Store
from poppyhold.reads.active_jobs_view import ActiveJobsView
from poppyhold.reads.read_batches import ReadBatch, ReadBatches
from poppyhold.reads.read_index import LaggingChangesError, advance_view, execute

# A shared read takes two requests; with fewer queries than this, each reads its own key.
MIN_BATCH_SIZE = 3
# Requests of a batch that need not reload all jobs: the revision, and the changes up to it.
_REQUESTS_PER_BATCH = 2
# Outcomes of batches, retained for the queries that have not read theirs yet.
_MAX_OUTCOMES = 64


class BatchOutcome(Enum):
    """The result of a batch."""

    # The view is at least as new as the start of the batch.
    CURRENT = auto()
    # Too few queries for a shared read, or lagging changes: each query reads its own key.
    READ_INDIVIDUALLY = auto()
    # The state service did not respond.
    FAILED = auto()


class BatchedJobReads:
    """Returns from memory whether a job is active, as of a moment after the query arrived.

    A query waits for the first batch that starts after it arrived. Under load, batches start no more often
    than once in ``batch_window_s``, and never faster than ``rate_limiter`` allows requests to the state
    service: excess queries wait, while submissions and decisions continue. The thread of one of the queries
    runs the batch for all.
    """

    def __init__(
        self,
        store: Store,
        batch_window_s: float,
        timeout_s: float,
        min_batch_size: int = MIN_BATCH_SIZE,
        clock: Callable[[], float] = time.monotonic,
        rate_limiter: RateLimiter | None = None,
    ) -> None:
        self._store, self._batch_window_s, self._timeout_s = store, batch_window_s, timeout_s
        self._min_batch_size, self._clock = min_batch_size, clock
        self._rate_limiter = rate_limiter or RateLimiter(math.inf, burst=0)
        self._view = ActiveJobsView()
        self._batches = ReadBatches()
        self._outcomes: BoundedDict[BatchOutcome] = BoundedDict(_MAX_OUTCOMES)
        # The earliest start of the next batch under load, and the arrival times of the last queries.
        self._next_start_at = float("-inf")
        self._arrivals: deque[float] = deque(maxlen=min_batch_size)
        self._batch_ended = threading.Condition()

    def is_active(self, job_id: str) -> bool:
        """Whether a job is active, at a moment after the start of this call.

        Raises:
            StoreRejectedError: the state service did not respond in time. Memory is not used then, as
                another controller may have returned a newer state.

        """
        outcome = self._await_batch()
        if outcome is BatchOutcome.CURRENT:
            # The view is only replaced by newer ones after the batch.
            with self._batch_ended:
                return job_id in self._view
        if outcome is BatchOutcome.READ_INDIVIDUALLY:
            return self._store.get(ACTIVE_JOB_PREFIX + job_id) is not None
        raise StoreRejectedError("the batch failed to read the store's revision or changes")

    def _await_batch(self) -> BatchOutcome:
        """Wait for the first batch that starts from now on, or run it."""
        with self._batch_ended:
            number = self._batches.join()
            now = self._clock()
            deadline = now + self._timeout_s
            start_at = self._earliest_start(now)
            while (outcome := self._outcomes.get(str(number))) is None:
                if now >= deadline:
                    raise StoreRejectedError("the query timed out before its batch was done")
                # Other batches may have started, and consumed the rate, since this query arrived.
                start_at = max(start_at, self._rate_limiter.ready_at())
                if not self._batches.running and now >= start_at:
                    batch = self._start_batch(now)
                    break
                wake_at = deadline if self._batches.running else min(deadline, start_at)
                self._batch_ended.wait(wake_at - now)
                now = self._clock()
            else:
                return outcome
        return self._run_batch(batch)

    def _earliest_start(self, now: float) -> float:
        """Return when a batch may start for a query that arrives now: at once, except under load."""
        self._arrivals.append(now)
        is_busy = (
            len(self._arrivals) == self._min_batch_size and now - self._arrivals[0] < self._batch_window_s
        )
        return self._next_start_at if is_busy else now

    def _start_batch(self, now: float) -> ReadBatch:
        """Start a batch, and consume the rate of the requests that it is expected to send."""
        batch = self._batches.start()
        self._next_start_at = now + self._batch_window_s
        self._rate_limiter.consume(min(batch.queries, _REQUESTS_PER_BATCH), now)
        return batch

    def _run_batch(self, batch: ReadBatch) -> BatchOutcome:
        """Run a batch, and wake the queries that wait for it."""
        outcome = BatchOutcome.FAILED
        try:
            is_small = batch.queries < self._min_batch_size
            outcome = BatchOutcome.READ_INDIVIDUALLY if is_small else self._advance_view()
        finally:
            with self._batch_ended:
                self._batches.finish()
                self._outcomes.put(str(batch.number), outcome)
                self._batch_ended.notify_all()
        return outcome

    def _advance_view(self) -> BatchOutcome:
        """Advance the view to the store's present revision."""
        # Earlier queries read the old view until the new one replaces it as a whole.
        advanced = self._view.copy()
        try:
            execute(advance_view(advanced), self._store)
        except (StoreRejectedError, OutcomeUnknownError, WatchCompactedError):
            return BatchOutcome.FAILED
        except LaggingChangesError:
            # Reads of single keys are linearizable, even if polled changes lag.
            return BatchOutcome.READ_INDIVIDUALLY
        with self._batch_ended:
            self._view = advanced
        return BatchOutcome.CURRENT
