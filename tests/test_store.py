"""A leader's transactions when answers are lost and old ones are carried out late."""

from __future__ import annotations

import threading
import time
from collections import deque
from collections.abc import Callable, Sequence
from types import SimpleNamespace
from typing import Any

import pytest

from poppyhold.durable.changes import Entry, Put, Write
from poppyhold.durable.committer import Committer, CommitUnit, FencedWriter
from poppyhold.durable.errors import (
    ConditionFailedError,
    InvalidRequestError,
    OutcomeUnknownError,
    StoreRejectedError,
)
from poppyhold.durable.keys import FENCING_TOKEN_KEY, LAUNCH_PREFIX, LEADER_KEY, PLAN_PREFIX
from poppyhold.durable.store import Store, transaction_body
from poppyhold.model.outbound import CommitPriority
from poppyhold.scale.jobs import submission
from poppyhold.scale.state_standin import StateStandIn
from poppyhold.settings import Team
from sim_node import SimLeaderTerm
from world import World

Data = dict[str, Any]


class UnreliableStore(Store):
    """A state service that does with each transaction what it is told to."""

    def __init__(self, *fates: str) -> None:
        self.state = StateStandIn(lambda: 0.0)
        self.fates = deque(fates)
        self.late: list[Data] = []

    def get(self, key: str) -> Entry | None:
        status, body = self.state.get(key)
        return Entry(key, body["data"], body["stamp"]) if status == 200 else None

    def commit(self, conditions: dict[str, int], writes: Sequence[Write]) -> int:
        body = transaction_body(conditions, writes)
        fate = self.fates.popleft() if self.fates else "answered"
        if fate == "refused":
            raise StoreRejectedError("503")
        if fate == "late":
            self.late.append(body)
            raise OutcomeUnknownError("late")
        status, answer = self.state.commit(body)
        if fate == "lost":
            raise OutcomeUnknownError("lost")
        if status == 409:
            raise ConditionFailedError(answer["failed"])
        return int(answer["ledger"])

    def carry_out_late(self) -> list[int]:
        """What had no answer reaches the service now."""
        return [self.state.commit(body)[0] for body in self.late]


def leader(*fates: str) -> tuple[UnreliableStore, FencedWriter]:
    """A store with a leader's key, and that leader's writer."""
    store = UnreliableStore()
    stamp = store.commit({}, [Put(LEADER_KEY, {"member": "hive-0"})])
    store.fates.extend(fates)
    return store, FencedWriter(store, stamp)


def write_until_certain(writer: FencedWriter, key: str, value: int) -> None:
    """Write as the committer does: repeat what had no answer."""
    for _ in range(10):
        try:
            writer.commit({}, [Put(key, {"v": value})])
            return
        except (StoreRejectedError, OutcomeUnknownError):
            continue
    raise AssertionError("never certain")


FATES = [
    ["late", "answered", "answered"],
    ["late", "late", "answered", "answered"],
    ["late", "lost", "answered", "answered"],
    ["late", "refused", "late", "late", "answered"],
    ["lost", "late", "lost", "late", "answered"],
    ["answered", "late", "answered", "late", "lost"],
]


@pytest.mark.parametrize("fates", FATES, ids=" ".join)
@pytest.mark.parametrize("key", [FENCING_TOKEN_KEY, PLAN_PREFIX + "job-000001"])
def test_late_transactions_undo_nothing_newer(fates: list[str], key: str) -> None:
    store, writer = leader(*fates)
    for value in (1, 2, 3):
        write_until_certain(writer, key, value)
        assert store.state.keys[key][0] == {"v": value}
    assert store.late or "late" not in fates
    assert 200 not in store.carry_out_late()
    assert store.state.keys[key][0] == {"v": 3}
    # The leader goes on behind them.
    write_until_certain(writer, key, 4)
    assert store.state.keys[key][0] == {"v": 4}


def test_rejected_transactions_are_retried_with_backoff(monkeypatch: pytest.MonkeyPatch) -> None:
    settings = World(1, 10.0, 30.0, []).settings
    pauses: list[float] = []
    clock = SimpleNamespace(monotonic=time.monotonic, sleep=pauses.append)
    monkeypatch.setattr("poppyhold.durable.committer.time", clock)
    store = UnreliableStore()
    stamp = store.commit({}, [Put(LEADER_KEY, {"member": "hive-0"})])
    store.fates.extend(["refused"] * 12)
    done = threading.Event()
    committer = Committer(store, settings, stamp, lambda: None)
    committer.submit(CommitUnit({}, [Put(FENCING_TOKEN_KEY, {"v": 1})], lambda result: done.set()))
    assert done.wait(60.0)
    committer.stop()
    assert len(pauses) == 12
    assert pauses[1] == 2 * pauses[0]
    assert pauses[-1] == settings.settings.workers.heartbeat_interval_s / 8


class LimitedStore(UnreliableStore):
    """A state service whose limits were lowered without notice."""

    def __init__(self, most_changes: int, largest: int) -> None:
        super().__init__()
        self.most_changes, self.largest = most_changes, largest

    def commit(self, conditions: dict[str, int], writes: Sequence[Write]) -> int:
        too_large = any(isinstance(write, Put) and write.data.get("v", 0) > self.largest for write in writes)
        if len(writes) > self.most_changes or too_large:
            raise InvalidRequestError("400")
        return super().commit(conditions, writes)


def test_a_unit_above_a_limit_holds_up_no_other_unit(monkeypatch: pytest.MonkeyPatch) -> None:
    # By reading: a transaction that got 400 was repeated for ever, and every later one of the leader waited.
    settings = World(1, 10.0, 30.0, []).settings
    clock = SimpleNamespace(monotonic=time.monotonic, sleep=lambda seconds: time.sleep(seconds / 100))
    monkeypatch.setattr("poppyhold.durable.committer.time", clock)
    store = LimitedStore(most_changes=1, largest=9)
    stamp = store.commit({}, [Put(LEADER_KEY, {"member": "hive-0"})])
    committer = Committer(store, settings, stamp, lambda: None)
    outcomes: list[tuple[int, bool]] = []
    last = threading.Event()

    def note(value: int) -> Callable[[bool], None]:
        def done(result: bool) -> None:
            outcomes.append((value, result))
            if value == 4:
                last.set()

        return done

    # The second is too large by itself, and all of them are too many for one transaction.
    for value in (1, 10, 3, 4):
        committer.submit(CommitUnit({}, [Put(f"{PLAN_PREFIX}{value}", {"v": value})], note(value)))
    assert last.wait(60.0)
    committer.stop()
    assert outcomes == [(1, True), (3, True), (4, True)]
    assert f"{PLAN_PREFIX}10" not in store.state.keys


def test_a_new_leader_voids_transactions_of_the_old_one() -> None:
    store, old = leader("late")
    with pytest.raises(OutcomeUnknownError):
        old.commit({}, [Put(FENCING_TOKEN_KEY, {"v": 1})])
    stamp = store.commit({}, [Put(LEADER_KEY, {"member": "hive-1"})])
    write_until_certain(FencedWriter(store, stamp), FENCING_TOKEN_KEY, 2)
    assert store.carry_out_late() == [409]
    with pytest.raises(ConditionFailedError, match=LEADER_KEY):
        old.commit({}, [Put(FENCING_TOKEN_KEY, {"v": 3})])
    assert store.state.keys[FENCING_TOKEN_KEY][0] == {"v": 2}


class BlockingStore(UnreliableStore):
    """A state service that keeps the first transaction of a leader waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.reached, self.go_on = threading.Event(), threading.Event()
        self.order: list[str] = []

    def commit(self, conditions: dict[str, int], writes: Sequence[Write]) -> int:
        if conditions:
            self.reached.set()
            assert self.go_on.wait(60.0)
            self.order += [write.key for write in writes]
        return super().commit(conditions, writes)


def test_launches_go_before_the_plans_of_a_backlog() -> None:
    # A hundred plans at two thirds of 25 changes a second kept the first hires of a fleet back for 11 s.
    settings = World(1, 10.0, 30.0, []).settings
    store = BlockingStore()
    stamp = store.commit({}, [Put(LEADER_KEY, {"member": "hive-0"})])
    committer = Committer(store, settings, stamp, lambda: None)
    left = threading.Semaphore(0)

    def submit(key: str, priority: CommitPriority) -> None:
        committer.submit(CommitUnit({}, [Put(key, {})], lambda result: left.release()), priority)

    submit(f"{PLAN_PREFIX}first", CommitPriority.AWAITED)
    assert store.reached.wait(60.0)
    submit("records", CommitPriority.BACKGROUND)
    for number in range(20):
        submit(f"{PLAN_PREFIX}{number:02d}", CommitPriority.AWAITED)
    submit(f"{LAUNCH_PREFIX}r-1", CommitPriority.SOONEST)
    store.go_on.set()
    for _ in range(23):
        assert left.acquire(timeout=60.0)
    committer.stop()
    plans = [f"{PLAN_PREFIX}{number:02d}" for number in range(20)]
    assert store.order == [f"{PLAN_PREFIX}first", f"{LAUNCH_PREFIX}r-1", *plans, "records"]


def test_plans_of_urgent_jobs_go_first_and_those_without_a_guarantee_last(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Six one-task jobs a second of a guest team kept plans of critical replicas back for a minute.
    world = World(1, 10.0, 30.0, [Team("alpha", gpus=8), Team("gamma")])
    ranks: dict[str, CommitPriority] = {}
    inner = SimLeaderTerm.commit

    def commit(
        self: SimLeaderTerm,
        conditions: Data,
        writes: Sequence[Write],
        done: Any,
        priority: CommitPriority = CommitPriority.BACKGROUND,
    ) -> None:
        ranks.update(
            {
                write.key: priority
                for write in writes
                if isinstance(write, Put) and write.key.startswith(PLAN_PREFIX)
            }
        )
        inner(self, conditions, writes, done, priority)

    monkeypatch.setattr(SimLeaderTerm, "commit", commit)
    world.run(5.0)
    jobs = {"job-000001": ("gamma", "best_effort"), "job-000002": ("alpha", "standard")}
    jobs |= {"job-000003": ("alpha", "critical"), "job-000004": ("gamma", "high")}
    for job_id, (team, priority) in jobs.items():
        world.submit(submission(job_id, {"crew": team, "rank": priority}))
    world.run(8.0)
    assert [ranks[PLAN_PREFIX + job_id] for job_id in jobs] == [
        CommitPriority.UNGUARANTEED,
        CommitPriority.AWAITED,
        CommitPriority.URGENT,
        CommitPriority.UNGUARANTEED,
    ]
