"""Shared reads: no answer is older than any that was given before its question arrived."""

from __future__ import annotations

import threading
from collections.abc import Generator
from typing import Any, NamedTuple

import pytest
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    precondition,
    rule,
    run_state_machine_as_test,
)

from poppyhold.concurrency.rate_limiter import RateLimiter
from poppyhold.durable.changes import DeletedKey, Entry
from poppyhold.durable.errors import StoreRejectedError, WatchCompactedError
from poppyhold.durable.keys import ACTIVE_JOB_PREFIX
from poppyhold.durable.store import Changes, Page, Store
from poppyhold.reads.active_jobs_view import ActiveJobsView
from poppyhold.reads.batched_job_reads import BatchedJobReads
from poppyhold.reads.read_batches import ReadBatch, ReadBatches
from poppyhold.reads.read_index import (
    Follow,
    LaggingChangesError,
    ReadPage,
    ReadRevision,
    StoreRequest,
    advance_view,
    execute,
)

JOBS = ("job-000001", "job-000002")
NO_JOB = "job-000003"
NODES = 2
UNKNOWN, ACCEPTED, OVER = 0, 1, 2


class Write(NamedTuple):
    """A change of a job's key: it comes into being, or is moved to the final ones."""

    revision: int
    job_id: str
    state: int


class StoreModel:
    """The state service: jobs by state, and the changes that are kept of them."""

    def __init__(self) -> None:
        self.revision = 0
        self.states: dict[str, int] = dict.fromkeys(JOBS, UNKNOWN)
        self.log: list[Write] = []
        self.kept_from = 0

    def write(self, job_id: str) -> int:
        """The job's next state."""
        self.revision += 1
        self.states[job_id] += 1
        self.log.append(Write(self.revision, job_id, self.states[job_id]))
        return self.states[job_id]

    def answer(self, step: StoreRequest, lag: int) -> int | Page | Changes:
        """A step's answer as of now; a follow may be ``lag`` changes late, as PROTOCOL does not rule out."""
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


class Question(NamedTuple):
    """A question that waits."""

    job_id: str
    asked_at: int
    number: int


class NodeModel:
    """A controller: the real rounds and steps, with every message of theirs in the test's hands."""

    def __init__(self, rounds: ReadBatches, steps: Any) -> None:
        self.rounds, self._steps = rounds, steps
        self.view = ActiveJobsView()
        self.waiting: list[Question] = []
        self.begun: ReadBatch | None = None
        self.fresh = self.view
        self.running: Generator[StoreRequest, Any, None] | None = None
        self.step: StoreRequest | None = None
        # An answer of the store that is on its way.
        self.answer: int | Page | Changes | Exception | None = None
        # Questions whose job is not active and whose final record is to be read.
        self.finals: list[Question] = []

    def begin(self) -> bool:
        """Begin a round; True if it is over at once."""
        self.begun = self.rounds.start()
        self.fresh = self.view.copy()
        self.running = self._steps(self.fresh)
        self.step = next(self.running, None)
        return self.step is None

    def deliver(self) -> bool:
        """The answer arrives; True if the round is over."""
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
    """What users were told, and a checker: each job's answers must fit into one order in real time."""

    def __init__(self) -> None:
        self.time = 0
        # Least state that a question which arrives now may be answered with, and the highest there can be.
        self.told: dict[str, int] = dict.fromkeys(JOBS, UNKNOWN)
        self.possible: dict[str, int] = dict.fromkeys(JOBS, UNKNOWN)
        self._least_at: dict[str, list[tuple[int, int]]] = {job: [(0, UNKNOWN)] for job in JOBS}

    def tell(self, job_id: str, state: int) -> None:
        """A user was told, or a transaction's answer arrived: from now on nobody may answer less."""
        self.time += 1
        if state > self.told[job_id]:
            self.told[job_id] = state
            self._least_at[job_id].append((self.time, state))

    def check(self, question: Question, state: int) -> None:
        """States only rise: an order exists if no answer is below what was told before its question."""
        least = max(value for at, value in self._least_at[question.job_id] if at <= question.asked_at)
        assert least <= state <= self.possible[question.job_id], (question, least, state)
        self.tell(question.job_id, state)


class Reads(RuleBasedStateMachine):
    """Writes, follows, cuts and questions on several controllers, in any order."""

    def rounds(self) -> ReadBatches:
        return ReadBatches()

    steps = staticmethod(advance_view)

    @initialize()
    def begin(self) -> None:
        self.store, self.history = StoreModel(), History()
        self.nodes = [NodeModel(self.rounds(), self.steps) for _ in range(NODES)]

    @rule(job_id=st.sampled_from(JOBS), lost=st.booleans())
    def write(self, job_id: str, lost: bool) -> None:
        """A submission, or an end; its answer may be lost, while others read what it wrote."""
        if self.store.states[job_id] == OVER:
            return
        state = self.store.write(job_id)
        self.history.possible[job_id] = state
        if not lost:
            self.history.tell(job_id, state)

    @rule(job_id=st.sampled_from(JOBS), index=st.integers(0, NODES - 1))
    def ask(self, job_id: str, index: int) -> None:
        node = self.nodes[index]
        self.history.time += 1
        node.waiting.append(Question(job_id, self.history.time, node.rounds.join()))

    @rule(index=st.integers(0, NODES - 1), lag=st.integers(0, 3), halves=st.integers(1, 8))
    def advance(self, index: int, lag: int, halves: int) -> None:
        """A controller comes so many half steps further; half of a step is a request, half its answer."""
        for _ in range(halves):
            self._advance(self.nodes[index], lag)

    def _advance(self, node: NodeModel, lag: int) -> None:
        if node.finals:
            self._read_final(node)
        elif node.running is None:
            if node.waiting and node.begin():
                self._finish(node, answered=True)
        elif node.answer is not None:
            try:
                over = node.deliver()
            except LaggingChangesError:
                # Each question asks for its own key instead, which is a write's own order.
                self._finish(node, answered=False)
                return
            if over:
                self._finish(node, answered=True)
        elif node.step is not None:
            try:
                node.answer = self.store.answer(node.step, lag)
            except WatchCompactedError as error:
                node.answer = error

    @rule(index=st.integers(0, NODES - 1))
    def cut(self, index: int) -> None:
        """A request or its answer is lost: the round fails."""
        node = self.nodes[index]
        if node.running is not None:
            node.running.close()
            self._finish(node, answered=False)

    def _finish(self, node: NodeModel, answered: bool) -> None:
        assert node.begun is not None
        mine = [q for q in node.waiting if q.number <= node.begun.number]
        node.waiting = [q for q in node.waiting if q.number > node.begun.number]
        node.running, node.answer = None, None
        node.rounds.finish()
        if not answered:
            return
        node.view = node.fresh
        for question in mine:
            if question.job_id in node.view:
                self.history.check(question, ACCEPTED)
            else:
                node.finals.append(question)

    def _read_final(self, node: NodeModel) -> None:
        """The final record of a job that was not active is read, behind the round."""
        question = node.finals.pop(0)
        is_over = self.store.states[question.job_id] == OVER
        self.history.check(question, OVER if is_over else UNKNOWN)

    @precondition(lambda self: self.store.log)
    @rule(kept=st.integers(0, 3))
    def compact(self, kept: int) -> None:
        """The store drops changes but the last few."""
        self.store.kept_from = max(self.store.kept_from, self.store.revision - kept)


def _search(machine: type[Reads], examples: int) -> None:
    # The same examples each time: the verdict must not depend on chance. One that fails is shown as it is.
    run_state_machine_as_test(
        machine,
        settings=settings(
            max_examples=examples,
            stateful_step_count=50,
            derandomize=True,
            deadline=None,
            database=None,
            phases=[Phase.generate],
        ),
    )


def test_no_answer_is_older_than_one_before_its_question() -> None:
    _search(Reads, 250)


# -- the checker finds each guard that is taken out --------------------------------------------------


class JoinsRunningBatch(ReadBatches):
    """A question joins the round that is under way."""

    def join(self) -> int:
        number = super().join()
        return number - 1 if self.running else number


def _without_revision(view: ActiveJobsView) -> Any:
    """A view that is there is taken for current."""
    if view.revision < 0:
        yield from advance_view(view)


def _one_follow(view: ActiveJobsView) -> Any:
    """One follow is taken for enough, however late it is."""
    yield ReadRevision()
    if view.revision < 0:
        yield from advance_view(view)
        return
    try:
        view.apply((yield Follow(view.revision)))
    except WatchCompactedError:
        view.invalidate()
        yield from advance_view(view)


def _pages_as_snapshot(view: ActiveJobsView) -> Any:
    """Several pages are taken for a snapshot as of the first one, and replayed from there in part."""
    present = yield ReadRevision()
    while view.revision < present:
        if view.revision < 0:
            entries: list[Entry] = []
            first, after = -1, ""
            while True:
                page = yield ReadPage(after)
                first = page.revision if first < 0 else first
                entries += page.entries
                if not page.more:
                    break
                after = page.entries[-1].key
            view.reset(entries, first)
            continue
        try:
            view.apply((yield Follow(view.revision)))
        except WatchCompactedError:
            view.invalidate()


def _gap_is_skipped(view: ActiveJobsView) -> Any:
    """Changes that the store has dropped are taken for none."""
    present = yield ReadRevision()
    while view.revision < present:
        if view.revision < 0:
            yield from advance_view(view)
            return
        try:
            view.apply((yield Follow(view.revision)))
        except WatchCompactedError:
            view.apply(Changes([], present))


def _ask_behind_a_write(machine: Reads, lag: int, kept: int) -> None:
    """A controller that has read all jobs is asked for one that was accepted elsewhere since.

    Its next follow is ``lag`` changes late, and the store has kept only its last ``kept`` changes.
    """
    machine.begin()
    machine.ask(JOBS[1], 0)
    machine.advance(0, lag=0, halves=6)
    machine.write(JOBS[0], lost=False)
    machine.compact(kept)
    machine.ask(JOBS[0], 0)
    machine.advance(0, lag=lag, halves=20)


# Steps without a guard, and the late changes and changes kept that show it.
BROKEN_STEPS = [(_without_revision, 0, 9), (_one_follow, 3, 9), (_gap_is_skipped, 0, 0)]


@pytest.mark.parametrize(("broken", "lag", "kept"), BROKEN_STEPS)
def test_checker_finds_steps_without_a_guard(broken: Any, lag: int, kept: int) -> None:
    # A search for the sequence came out differently with what other modules were loaded: it draws constants
    # from their sources as well. These sequences are the ones that it found.
    _ask_behind_a_write(Reads(), lag, kept)
    machine = type("Broken", (Reads,), {"steps": staticmethod(broken)})
    with pytest.raises(AssertionError):
        _ask_behind_a_write(machine(), lag, kept)


def _ask_during_a_round(machine: Reads) -> None:
    """A job is accepted at one controller while another's round has read the revision; then a question."""
    machine.begin()
    # A first round reads all jobs; the second finds nothing new behind its revision.
    machine.ask(JOBS[1], 0)
    machine.advance(0, lag=0, halves=6)
    machine.ask(JOBS[1], 0)
    machine.advance(0, lag=0, halves=2)
    machine.write(JOBS[0], lost=False)
    machine.ask(JOBS[0], 0)
    machine.advance(0, lag=0, halves=12)


def test_a_question_does_not_join_a_running_round() -> None:
    _ask_during_a_round(Reads())
    broken = type("Broken", (Reads,), {"rounds": lambda self: JoinsRunningBatch()})
    with pytest.raises(AssertionError):
        _ask_during_a_round(broken())


def _through_a_change_between_pages(steps: Any) -> bool:
    """Whether a job is active in the view that a read of two pages leaves behind."""
    view = ActiveJobsView()
    running = steps(view)
    assert isinstance(next(running), ReadRevision)
    assert isinstance(running.send(1), ReadPage)
    # A job of the second page is accepted at 2 and over at 3, between the pages.
    first = Page([Entry(ACTIVE_JOB_PREFIX + JOBS[0], {}, 1)], True, 1)
    assert isinstance(running.send(first), ReadPage)
    step = _send(running, Page([], False, 3))
    if step is not None:
        assert step == Follow(1)
        # A follow that is late shows the job's beginning and not its end: another one must come.
        late = Changes([Entry(ACTIVE_JOB_PREFIX + JOBS[1], {}, 2)], 2)
        assert _send(running, late) == Follow(2)
        assert _send(running, Changes([DeletedKey(ACTIVE_JOB_PREFIX + JOBS[1], 3)], 3)) is None
    else:
        # The next question's round meets the late follow.
        view.apply(Changes([Entry(ACTIVE_JOB_PREFIX + JOBS[1], {}, 2)], 2))
    return JOBS[1] in view


def _send(running: Any, answer: Any) -> StoreRequest | None:
    try:
        step: StoreRequest = running.send(answer)
    except StopIteration:
        return None
    return step


def test_pages_that_are_no_snapshot_are_followed_to_the_newest_of_them() -> None:
    assert not _through_a_change_between_pages(advance_view)
    assert _through_a_change_between_pages(_pages_as_snapshot)


# -- threads -----------------------------------------------------------------------------------------


class CountingStore(Store):
    """A store of two jobs that counts requests, and may refuse them or hold them up."""

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

    def page(self, prefix: str, after: str, most: int = 1000) -> Page:
        self._request("page")
        return Page(
            [Entry(ACTIVE_JOB_PREFIX + JOBS[0], {}, 1), Entry(ACTIVE_JOB_PREFIX + JOBS[1], {}, 1)], False, 7
        )

    def follow(self, prefix: str, since: int, hold_s: float) -> Changes:
        self._request("follow")
        return Changes([], 7)


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


def test_steps_are_carried_out_one_after_the_other() -> None:
    store, view = CountingStore(), ActiveJobsView()
    execute(advance_view(view), store)
    assert (JOBS[0] in view, NO_JOB in view, view.revision) == (True, False, 7)
    assert store.requests == ["revision", "page"]


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


def test_a_pace_lets_a_burst_go_and_then_an_even_rate() -> None:
    pace, gone = RateLimiter(2.0, burst=3.0), []
    for now in range(10):
        while pace.ready_at() <= now:
            pace.consume(1.0, now)
            gone.append(now)
    assert [gone.count(now) for now in range(4)] == [4, 2, 2, 2]
