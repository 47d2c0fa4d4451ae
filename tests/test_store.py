"""A leader's transactions: lost responses, late commits, order, limits and loss of leadership."""

from __future__ import annotations

import threading
import time
from collections import deque
from collections.abc import Callable, Sequence
from types import SimpleNamespace
from typing import Any

import pytest

from poppyhold.durable.changes import Entry, Put, Write
from poppyhold.durable.committer import Committer, CommitUnit
from poppyhold.durable.errors import (
    ConditionFailedError,
    InvalidRequestError,
    LeaseExpiredError,
    OutcomeUnknownError,
    StoreRejectedError,
)
from poppyhold.durable.fenced_writer import FencedWriter
from poppyhold.durable.keys import (
    FENCING_TOKEN_KEY,
    LAUNCH_PREFIX,
    LEADER_KEY,
    PLAN_PREFIX,
    WRITE_FENCE_KEY,
)
from poppyhold.durable.store import Store, transaction_body
from poppyhold.model.outbound import CommitPriority
from poppyhold.scale.jobs import submission
from poppyhold.scale.state_standin import StateStandIn
from poppyhold.settings import Team
from sim_leader_term import SimLeaderTerm
from world import World

Data = dict[str, Any]


class UnreliableStore(Store):
    """A state service with a scripted outcome for each transaction: answered, refused, lost or late.

    A lost one is committed without a response; `apply_late_transactions` commits the late ones.
    """

    def __init__(self, *commit_outcomes: str) -> None:
        self.state = StateStandIn(lambda: 0.0)
        self.commit_outcomes = deque(commit_outcomes)
        self.late: list[Data] = []

    def get(self, key: str) -> Entry | None:
        status, body = self.state.get(key)
        return Entry(key, body["data"], body["stamp"]) if status == 200 else None

    def commit(self, conditions: dict[str, int], writes: Sequence[Write]) -> int:
        body = transaction_body(conditions, writes)
        outcome = self.commit_outcomes.popleft() if self.commit_outcomes else "answered"
        if outcome == "refused":
            raise StoreRejectedError("503")
        if outcome == "late":
            self.late.append(body)
            raise OutcomeUnknownError("late")
        status, answer = self.state.commit(body)
        if outcome == "lost":
            raise OutcomeUnknownError("lost")
        if status == 409:
            raise ConditionFailedError(answer["failed"])
        return int(answer["ledger"])

    def apply_late_transactions(self) -> list[int]:
        """Commits the late transactions and returns their statuses."""
        return [self.state.commit(body)[0] for body in self.late]


def leader(*commit_outcomes: str) -> tuple[UnreliableStore, FencedWriter]:
    """A store with a leader's key, and that leader's writer."""
    store = UnreliableStore()
    key_revision = store.commit({}, [Put(LEADER_KEY, {"member": "hive-0"})])
    store.commit_outcomes.extend(commit_outcomes)
    return store, FencedWriter(store, key_revision)


def write_until_certain(writer: FencedWriter, key: str, value: int) -> None:
    """Writes as the committer does: retries until the outcome is known."""
    for _ in range(10):
        try:
            writer.commit({}, [Put(key, {"v": value})])
        except (StoreRejectedError, OutcomeUnknownError):
            continue
        else:
            return
    raise AssertionError("write has no known outcome after 10 attempts")


COMMIT_OUTCOMES = [
    ["late", "answered", "answered"],
    ["late", "late", "answered", "answered"],
    ["late", "lost", "answered", "answered"],
    ["late", "refused", "late", "late", "answered"],
    ["lost", "late", "lost", "late", "answered"],
    ["answered", "late", "answered", "late", "lost"],
]


@pytest.mark.parametrize("commit_outcomes", COMMIT_OUTCOMES, ids=" ".join)
@pytest.mark.parametrize("key", [FENCING_TOKEN_KEY, PLAN_PREFIX + "job-000001"])
def test_late_transactions_overwrite_no_newer_value(commit_outcomes: list[str], key: str) -> None:
    store, writer = leader(*commit_outcomes)
    for value in (1, 2, 3):
        write_until_certain(writer, key, value)
        assert store.state.keys[key][0] == {"v": value}
    assert store.late or "late" not in commit_outcomes
    assert 200 not in store.apply_late_transactions()
    assert store.state.keys[key][0] == {"v": 3}
    # The leader can still write after them.
    write_until_certain(writer, key, 4)
    assert store.state.keys[key][0] == {"v": 4}


def test_rejected_transactions_are_retried_with_backoff(monkeypatch: pytest.MonkeyPatch) -> None:
    settings = World(1, 10.0, 30.0, []).settings
    pauses: list[float] = []
    clock = SimpleNamespace(monotonic=time.monotonic, sleep=pauses.append)
    monkeypatch.setattr("poppyhold.durable.committer.time", clock)
    store = UnreliableStore()
    key_revision = store.commit({}, [Put(LEADER_KEY, {"member": "hive-0"})])
    store.commit_outcomes.extend(["refused"] * 12)
    done = threading.Event()
    committer = Committer(store, settings, key_revision, lambda: None)
    committer.submit(CommitUnit({}, [Put(FENCING_TOKEN_KEY, {"v": 1})], lambda result: done.set()))
    assert done.wait(60.0)
    committer.stop()
    assert len(pauses) == 12
    assert pauses[1] == 2 * pauses[0]
    assert pauses[-1] == settings.deployment.workers.heartbeat_interval_s / 8


def test_transactions_do_not_exceed_the_write_rate(monkeypatch: pytest.MonkeyPatch) -> None:
    settings = World(1, 10.0, 30.0, []).settings
    now = [0.0]

    def sleep(seconds: float) -> None:
        assert seconds > 0
        now[0] += seconds

    clock = SimpleNamespace(monotonic=lambda: now[0], sleep=sleep)
    monkeypatch.setattr("poppyhold.durable.committer.time", clock)
    store = UnreliableStore()
    key_revision = store.commit({}, [Put(LEADER_KEY, {"member": "hive-0"})])
    finished = threading.Semaphore(0)
    committer = Committer(store, settings, key_revision, lambda: None)
    changes = 0
    for unit in range(20):
        writes = [Put(f"{PLAN_PREFIX}{unit}-{number}", {}) for number in range(10)]
        changes += len(writes)
        committer.submit(CommitUnit({}, writes, lambda result: finished.release()))
    for _ in range(20):
        assert finished.acquire(timeout=20.0)
    committer.stop()
    # A burst is sent at once; the last transaction waits until the rate covers those before it.
    state = settings.deployment.state
    assert now[0] >= (changes - 2 * state.txn_ops) / (state.write_rps / 1.5)


class LimitedStore(UnreliableStore):
    """A state service whose limits were lowered without notice."""

    def __init__(self, max_writes: int, max_value: int) -> None:
        super().__init__()
        self.max_writes, self.max_value = max_writes, max_value

    def commit(self, conditions: dict[str, int], writes: Sequence[Write]) -> int:
        too_large = any(
            isinstance(write, Put) and write.data.get("v", 0) > self.max_value for write in writes
        )
        if len(writes) > self.max_writes or too_large:
            raise InvalidRequestError("400")
        return super().commit(conditions, writes)


def test_a_unit_above_a_limit_blocks_no_other_unit(monkeypatch: pytest.MonkeyPatch) -> None:
    # A transaction that was rejected with 400 was retried forever and blocked every later one of the leader.
    settings = World(1, 10.0, 30.0, []).settings
    clock = SimpleNamespace(monotonic=time.monotonic, sleep=lambda seconds: time.sleep(seconds / 100))
    monkeypatch.setattr("poppyhold.durable.committer.time", clock)
    store = LimitedStore(max_writes=1, max_value=9)
    key_revision = store.commit({}, [Put(LEADER_KEY, {"member": "hive-0"})])
    committer = Committer(store, settings, key_revision, lambda: None)
    outcomes: list[tuple[int, bool]] = []
    last = threading.Event()

    def record(value: int) -> Callable[[bool], None]:
        def done(result: bool) -> None:
            outcomes.append((value, result))
            if value == 4:
                last.set()

        return done

    # The second unit is too large by itself, and together they are too many for one transaction.
    for value in (1, 10, 3, 4):
        committer.submit(CommitUnit({}, [Put(f"{PLAN_PREFIX}{value}", {"v": value})], record(value)))
    assert last.wait(60.0)
    committer.stop()
    assert outcomes == [(1, True), (3, True), (4, True)]
    assert f"{PLAN_PREFIX}10" not in store.state.keys


def test_a_new_leader_voids_transactions_of_the_old_one() -> None:
    store, old = leader("late")
    with pytest.raises(OutcomeUnknownError):
        old.commit({}, [Put(FENCING_TOKEN_KEY, {"v": 1})])
    key_revision = store.commit({}, [Put(LEADER_KEY, {"member": "hive-1"})])
    write_until_certain(FencedWriter(store, key_revision), FENCING_TOKEN_KEY, 2)
    assert store.apply_late_transactions() == [409]
    with pytest.raises(ConditionFailedError, match=LEADER_KEY):
        old.commit({}, [Put(FENCING_TOKEN_KEY, {"v": 3})])
    assert store.state.keys[FENCING_TOKEN_KEY][0] == {"v": 2}


class BlockingStore(UnreliableStore):
    """A state service that blocks a leader's first transaction until `resume` is set."""

    def __init__(self) -> None:
        super().__init__()
        self.reached, self.resume = threading.Event(), threading.Event()
        self.order: list[str] = []

    def commit(self, conditions: dict[str, int], writes: Sequence[Write]) -> int:
        if conditions:
            self.reached.set()
            assert self.resume.wait(60.0)
            self.order += [write.key for write in writes]
        return super().commit(conditions, writes)


class RecordingStore(BlockingStore):
    """Records the keys of each transaction of a leader."""

    def __init__(self) -> None:
        super().__init__()
        self.transactions: list[list[str]] = []

    def commit(self, conditions: dict[str, int], writes: Sequence[Write]) -> int:
        if conditions:
            self.transactions.append([write.key.removeprefix(PLAN_PREFIX) for write in writes])
        return super().commit(conditions, writes)


class Backlog:
    """A committer whose first transaction blocks until all units are queued; records each unit's outcome."""

    def __init__(self, store: BlockingStore) -> None:
        self.store = store
        self.outcomes: dict[str, bool] = {}
        self.leadership_lost = threading.Event()
        key_revision = store.commit({}, [Put(LEADER_KEY, {"member": "hive-0"})])
        settings = World(1, 10.0, 30.0, []).settings
        self.committer = Committer(store, settings, key_revision, self.leadership_lost.set)
        self._finished = threading.Semaphore(0)
        self.submit("first", ["first"])
        assert store.reached.wait(60.0)

    def submit(
        self, name: str, keys: list[str], conditions: dict[str, int] | None = None, data: Data | None = None
    ) -> None:
        def done(result: bool) -> None:
            self.outcomes[name] = result
            self._finished.release()

        self.committer.submit(
            CommitUnit(conditions or {}, [Put(PLAN_PREFIX + key, data or {}) for key in keys], done)
        )

    def finish(self, units: int) -> None:
        self.store.resume.set()
        for _ in range(units):
            assert self._finished.acquire(timeout=20.0)
        self.committer.stop()


def make_keys(first: str, number: int) -> list[str]:
    return [f"{first}{index}" for index in range(number)]


@pytest.mark.parametrize(
    ("units", "conditions", "sizes"),
    [
        pytest.param([make_keys(unit, 8) for unit in "abc"], 0, [16, 8], id="changes"),
        pytest.param([["a"], ["b"], ["c"]], 39, [2, 1], id="conditions"),
        pytest.param([[unit] for unit in "abcdefghi"], 0, [8, 1], id="units"),
        pytest.param([["a"], ["b", "a"], ["c"]], 0, [1, 3], id="a-key-of-both"),
        pytest.param([make_keys("a", 30), ["b"]], 0, [30, 1], id="one-unit-above-the-limit"),
    ],
)
def test_units_share_a_transaction_within_its_limits(
    units: list[list[str]], conditions: int, sizes: list[int]
) -> None:
    store = RecordingStore()
    # The service may allow more than the settings say.
    store.state.lower_limits(30, 8.0)
    backlog = Backlog(store)
    for number, keys in enumerate(units):
        absent = {f"absent/{number}/{index}": 0 for index in range(conditions)}
        backlog.submit(str(number), keys, absent)
    backlog.finish(1 + len(units))
    assert all(backlog.outcomes.values())
    assert [len(keys) for keys in store.transactions[1:]] == sizes
    assert [key for keys in store.transactions[1:] for key in keys] == [key for unit in units for key in unit]


def test_units_with_large_values_share_no_transaction_above_the_limit() -> None:
    # Guards against a transaction above 64 KiB, which is refused and then repeated unit by unit.
    store = RecordingStore()
    backlog = Backlog(store)
    value = {"s": "x" * (8 * 1024 - 20)}
    for name in "abcdefgh":
        backlog.submit(name, [name], data=value)
    backlog.finish(9)
    assert all(backlog.outcomes.values())
    assert [len(keys) for keys in store.transactions[1:]] == [7, 1]


def test_a_unit_whose_condition_fails_does_not_fail_other_units() -> None:
    store = RecordingStore()
    backlog = Backlog(store)
    backlog.submit("before", ["before"])
    backlog.submit("failing", ["failing"], {LEADER_KEY + "/other": 7})
    backlog.submit("after", ["after"])
    backlog.finish(4)
    assert backlog.outcomes == {"first": True, "before": True, "failing": False, "after": True}
    assert PLAN_PREFIX + "failing" not in store.state.keys


def test_a_committer_stops_and_signals_when_leadership_is_lost() -> None:
    store = RecordingStore()
    backlog = Backlog(store)
    store.state.commit(transaction_body({}, [Put(LEADER_KEY, {"member": "hive-1"})]))
    backlog.submit("second", ["second"])
    store.resume.set()
    assert backlog.leadership_lost.wait(20.0)
    backlog.committer._thread.join(20.0)
    assert not backlog.committer._thread.is_alive()
    # Its successor determines whether a former leader's write is durable.
    assert backlog.outcomes == {}
    assert store.transactions == [["first"]]


def test_a_transaction_whose_lease_expired_is_retried() -> None:
    class Expiring(UnreliableStore):
        tries = 0

        def commit(self, conditions: dict[str, int], writes: Sequence[Write]) -> int:
            self.tries += bool(conditions)
            if self.tries == 1 and conditions:
                raise LeaseExpiredError
            return super().commit(conditions, writes)

    store = Expiring()
    key_revision = store.commit({}, [Put(LEADER_KEY, {"member": "hive-0"})])
    committer = Committer(store, World(1, 10.0, 30.0, []).settings, key_revision, lambda: None)
    outcomes: list[bool] = []
    done = threading.Event()

    def on_outcome(result: bool) -> None:
        outcomes.append(result)
        done.set()

    committer.submit(CommitUnit({}, [Put(FENCING_TOKEN_KEY, {"v": 1})], on_outcome))
    assert done.wait(60.0)
    committer.stop()
    assert (outcomes, store.tries) == ([True], 2)


def test_a_committer_that_is_stopped_in_an_outage_stops_retrying() -> None:
    class RejectingServices(UnreliableStore):
        tried = threading.Event()

        def commit(self, conditions: dict[str, int], writes: Sequence[Write]) -> int:
            if conditions:
                self.tried.set()
                raise StoreRejectedError("503")
            return super().commit(conditions, writes)

    store = RejectingServices()
    key_revision = store.commit({}, [Put(LEADER_KEY, {"member": "hive-0"})])
    committer = Committer(store, World(1, 10.0, 30.0, []).settings, key_revision, lambda: None)
    committer.submit(CommitUnit({}, [Put(FENCING_TOKEN_KEY, {"v": 1})], lambda result: None))
    assert store.tried.wait(20.0)
    committer.stop()
    committer._thread.join(20.0)
    assert not committer._thread.is_alive()


def test_a_write_fence_that_has_changed_is_read_again() -> None:
    store, writer = leader()
    writer.commit({}, [Put(FENCING_TOKEN_KEY, {"v": 1})])
    store.commit({}, [Put(WRITE_FENCE_KEY, {"moved": True})])
    with pytest.raises(StoreRejectedError):
        writer.commit({}, [Put(FENCING_TOKEN_KEY, {"v": 2})])
    writer.commit({}, [Put(FENCING_TOKEN_KEY, {"v": 3})])
    assert store.state.keys[FENCING_TOKEN_KEY][0] == {"v": 3}
    # With a new leader key as well, the failed condition on the leader key is raised.
    store.commit({}, [Put(LEADER_KEY, {"member": "hive-1"}), Put(WRITE_FENCE_KEY, {"moved": "again"})])
    with pytest.raises(ConditionFailedError, match=LEADER_KEY):
        writer.commit({}, [Put(FENCING_TOKEN_KEY, {"v": 4})])


@pytest.mark.parametrize(
    "commit_outcomes", [["late"], ["answered", "late"], ["answered", "late", "lost"]], ids=" ".join
)
def test_the_write_fence_is_raised_once_for_each_transaction_of_unknown_outcome(
    commit_outcomes: list[str],
) -> None:
    store, writer = leader(*commit_outcomes)
    for value in range(5):
        write_until_certain(writer, FENCING_TOKEN_KEY, value)
    # The leader's key, five values, and one change of the write fence.
    assert store.state.revision == 7


def test_launches_are_committed_before_queued_plans() -> None:
    # 100 plans at two thirds of 25 changes/s delayed the first launches of a fleet by 11 s.
    settings = World(1, 10.0, 30.0, []).settings
    store = BlockingStore()
    key_revision = store.commit({}, [Put(LEADER_KEY, {"member": "hive-0"})])
    committer = Committer(store, settings, key_revision, lambda: None)
    finished = threading.Semaphore(0)

    def submit(key: str, priority: CommitPriority) -> None:
        committer.submit(CommitUnit({}, [Put(key, {})], lambda result: finished.release()), priority)

    submit(f"{PLAN_PREFIX}first", CommitPriority.NORMAL)
    assert store.reached.wait(60.0)
    submit("records", CommitPriority.BACKGROUND)
    for number in range(20):
        submit(f"{PLAN_PREFIX}{number:02d}", CommitPriority.NORMAL)
    submit(f"{LAUNCH_PREFIX}r-1", CommitPriority.HIGHEST)
    store.resume.set()
    for _ in range(23):
        assert finished.acquire(timeout=60.0)
    committer.stop()
    plans = [f"{PLAN_PREFIX}{number:02d}" for number in range(20)]
    assert store.order == [f"{PLAN_PREFIX}first", f"{LAUNCH_PREFIX}r-1", *plans, "records"]


def test_plan_commits_have_the_priority_of_their_job(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Six one-task jobs/s of a team without a guarantee delayed plans of critical replicas by a minute.
    world = World(1, 10.0, 30.0, [Team("alpha", accelerators=8), Team("gamma")])
    priorities: dict[str, CommitPriority] = {}
    inner = SimLeaderTerm.commit

    def commit(
        self: SimLeaderTerm,
        conditions: Data,
        writes: Sequence[Write],
        done: Any,
        priority: CommitPriority = CommitPriority.BACKGROUND,
    ) -> None:
        priorities.update(
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
    assert [priorities[PLAN_PREFIX + job_id] for job_id in jobs] == [
        CommitPriority.UNGUARANTEED,
        CommitPriority.NORMAL,
        CommitPriority.URGENT,
        CommitPriority.UNGUARANTEED,
    ]
