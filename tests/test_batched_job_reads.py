"""Batched reads by threads: what they share, what they cost, and what fails with the store."""

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


def _ask_at_once(reads: BatchedJobReads, count: int) -> list[bool | str]:
    answers: list[bool | str] = []

    def ask(index: int) -> None:
        try:
            answers.append(reads.is_active(JOBS[index % 2]))
        except StoreRejectedError as error:
            answers.append(str(error))

    threads = [threading.Thread(target=ask, args=(index,)) for index in range(count)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join(20.0)
    return answers


def test_questions_that_wait_share_one_read() -> None:
    store = CountingStore()
    store.gate.clear()
    reads = BatchedJobReads(store, gather_s=0.05, timeout_s=10.0)
    threading.Timer(0.3, store.gate.set).start()
    assert _ask_at_once(reads, 60) == [True] * 60
    # The first ones may ask alone; the rest are a few rounds of two requests, and one reading of all jobs.
    assert len(store.requests) <= 12, store.requests


def test_a_question_alone_is_one_request() -> None:
    store = CountingStore()
    reads = BatchedJobReads(store, gather_s=0.05, timeout_s=10.0)
    assert reads.is_active(JOBS[0])
    assert not reads.is_active(NO_JOB)
    assert store.requests == ["get", "get"]


def test_nothing_is_answered_from_memory_while_the_store_is_unsure() -> None:
    store = CountingStore()
    reads = BatchedJobReads(store, gather_s=0.0, timeout_s=10.0, min_batch_size=1)
    assert reads.is_active(JOBS[0])
    store.refuses = True
    with pytest.raises(StoreRejectedError):
        reads.is_active(JOBS[0])
    store.refuses = False
    assert reads.is_active(JOBS[0])


def test_who_waits_for_a_slow_read_is_told_to_come_back() -> None:
    store = CountingStore()
    store.gate.clear()
    reads = BatchedJobReads(store, gather_s=0.0, timeout_s=0.05, min_batch_size=1)
    runner = threading.Thread(target=reads.is_active, args=(JOBS[0],))
    runner.start()
    while not store.requests:
        runner.join(0.01)
    with pytest.raises(StoreRejectedError):
        reads.is_active(JOBS[0])
    store.gate.set()
    runner.join(10.0)


class StoreThatStaysBehind(CountingStore):
    """Its follows never come up to its own revision."""

    def revision(self) -> int:
        return super().revision() + 100


def test_where_follows_stay_behind_each_question_asks_for_its_key() -> None:
    store = StoreThatStaysBehind()
    reads = BatchedJobReads(store, gather_s=0.0, timeout_s=10.0, min_batch_size=1)
    assert reads.is_active(JOBS[0])
    assert not reads.is_active(NO_JOB)
    assert store.requests.count("follow") <= 16
    assert store.requests.count("get") == 2


class VirtualCondition(threading.Condition):
    """Waits by moving a clock on."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def wait(self, timeout: float | None = None) -> bool:
        assert timeout is not None
        self.now += max(timeout, 1e-6)
        return False


@pytest.mark.parametrize("min_batch_size", [1, 3])
def test_questions_ask_the_store_no_faster_than_their_pace(min_batch_size: int) -> None:
    store, waiting, pace = CountingStore(), VirtualCondition(), RateLimiter(5.0, burst=4.0)
    reads = BatchedJobReads(store, 0.0, 10.0, min_batch_size, lambda: waiting.now, pace)
    reads._changed = waiting
    for _ in range(200):
        reads.is_active(JOBS[0])
    # The first read of all jobs is one request more than rounds are taken to cost.
    assert len(store.requests) <= 5.0 * waiting.now + 4.0 + 3.0
    assert len(store.requests) >= 200
