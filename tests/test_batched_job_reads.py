"""Batched reads by threads: requests that queries share, their rate, and failures of the store."""

from __future__ import annotations

import threading

import pytest

from poppyhold.concurrency.rate_limiter import RateLimiter
from poppyhold.durable.errors import StoreRejectedError
from poppyhold.reads.batched_job_reads import BatchedJobReads
from reads_model import (
    JOBS,
    NO_JOB,
    CountingStore,
)


def query_at_once(reads: BatchedJobReads, count: int) -> list[bool | str]:
    answers: list[bool | str] = []

    def query(index: int) -> None:
        try:
            answers.append(reads.is_active(JOBS[index % 2]))
        except StoreRejectedError as error:
            answers.append(str(error))

    threads = [threading.Thread(target=query, args=(index,)) for index in range(count)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join(20.0)
    return answers


def test_queries_that_wait_share_one_read() -> None:
    store = CountingStore()
    store.gate.clear()
    reads = BatchedJobReads(store, batch_window_s=0.05, timeout_s=10.0)
    threading.Timer(0.3, store.gate.set).start()
    assert query_at_once(reads, 60) == [True] * 60
    # The first queries may read alone; the rest are a few batches of two requests, and one read of all jobs.
    assert len(store.requests) <= 12, store.requests


def test_a_query_alone_is_one_request() -> None:
    store = CountingStore()
    reads = BatchedJobReads(store, batch_window_s=0.05, timeout_s=10.0)
    assert reads.is_active(JOBS[0])
    assert not reads.is_active(NO_JOB)
    assert store.requests == ["get", "get"]


def test_no_query_is_answered_from_the_view_while_the_store_rejects_requests() -> None:
    store = CountingStore()
    reads = BatchedJobReads(store, batch_window_s=0.0, timeout_s=10.0, min_batch_size=1)
    assert reads.is_active(JOBS[0])
    store.refuses = True
    with pytest.raises(StoreRejectedError):
        reads.is_active(JOBS[0])
    store.refuses = False
    assert reads.is_active(JOBS[0])


def test_a_query_times_out_while_a_read_is_slow() -> None:
    store = CountingStore()
    store.gate.clear()
    reads = BatchedJobReads(store, batch_window_s=0.0, timeout_s=0.05, min_batch_size=1)
    runner = threading.Thread(target=reads.is_active, args=(JOBS[0],))
    runner.start()
    while not store.requests:
        runner.join(0.01)
    with pytest.raises(StoreRejectedError):
        reads.is_active(JOBS[0])
    store.gate.set()
    runner.join(10.0)


class LaggingStore(CountingStore):
    """A store whose polls of changes never reach its revision."""

    def revision(self) -> int:
        return super().revision() + 100


def test_where_changes_lag_each_query_reads_its_own_key() -> None:
    store = LaggingStore()
    reads = BatchedJobReads(store, batch_window_s=0.0, timeout_s=10.0, min_batch_size=1)
    assert reads.is_active(JOBS[0])
    assert not reads.is_active(NO_JOB)
    assert store.requests.count("follow") <= 16
    assert store.requests.count("get") == 2


class VirtualCondition(threading.Condition):
    """A condition whose wait advances a virtual clock."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def wait(self, timeout: float | None = None) -> bool:
        assert timeout is not None
        self.now += max(timeout, 1e-6)
        return False


@pytest.mark.parametrize("min_batch_size", [1, 3])
def test_queries_send_requests_no_faster_than_their_rate(min_batch_size: int) -> None:
    store, waiting, rate_limiter = CountingStore(), VirtualCondition(), RateLimiter(5.0, burst=4.0)
    reads = BatchedJobReads(store, 0.0, 10.0, min_batch_size, lambda: waiting.now, rate_limiter)
    reads._batch_ended = waiting
    for _ in range(200):
        reads.is_active(JOBS[0])
    # The first read of all jobs is one request above the cost that the limiter charges for a batch.
    assert len(store.requests) <= 5.0 * waiting.now + 4.0 + 3.0
    assert len(store.requests) >= 200
