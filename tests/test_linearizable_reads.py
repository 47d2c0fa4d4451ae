"""Linearizable reads: no answer is older than any that was given before its query arrived."""

from __future__ import annotations

from typing import Any

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

from poppyhold.durable.changes import DeletedKey, Entry
from poppyhold.durable.errors import WatchCompactedError
from poppyhold.durable.keys import ACTIVE_JOB_PREFIX
from poppyhold.durable.store import Changes, Page
from poppyhold.reads.active_jobs_view import ActiveJobsView
from poppyhold.reads.read_batches import ReadBatches
from poppyhold.reads.read_index import (
    LaggingChangesError,
    PollChanges,
    ReadPage,
    ReadRevision,
    StoreRequest,
    advance_view,
    execute,
)
from reads_model import (
    ACCEPTED,
    JOBS,
    NO_JOB,
    NODES,
    OVER,
    UNKNOWN,
    CountingStore,
    History,
    NodeModel,
    Query,
    StoreModel,
)


class Reads(RuleBasedStateMachine):
    """Writes, follows, cuts and queries on several controllers, in any order."""

    def batches(self) -> ReadBatches:
        return ReadBatches()

    plan = staticmethod(advance_view)

    @initialize()
    def begin(self) -> None:
        self.store, self.history = StoreModel(), History()
        self.nodes = [NodeModel(self.batches(), self.plan) for _ in range(NODES)]

    @rule(job_id=st.sampled_from(JOBS), lost=st.booleans())
    def write(self, job_id: str, lost: bool) -> None:
        """A submission, or an end; its answer may be lost, while others read what it wrote."""
        if self.store.states[job_id] == OVER:
            return
        state = self.store.write(job_id)
        self.history.possible[job_id] = state
        if not lost:
            self.history.observe(job_id, state)

    @rule(job_id=st.sampled_from(JOBS), index=st.integers(0, NODES - 1))
    def query(self, job_id: str, index: int) -> None:
        node = self.nodes[index]
        self.history.time += 1
        node.waiting.append(Query(job_id, self.history.time, node.batches.join()))

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
                # Each query asks for its own key instead, which is a write's own order.
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
        """A request or its answer is lost: the batch fails."""
        node = self.nodes[index]
        if node.running is not None:
            node.running.close()
            self._finish(node, answered=False)

    def _finish(self, node: NodeModel, answered: bool) -> None:
        assert node.started is not None
        mine = [q for q in node.waiting if q.number <= node.started.number]
        node.waiting = [q for q in node.waiting if q.number > node.started.number]
        node.running, node.answer = None, None
        node.batches.finish()
        if not answered:
            return
        node.view = node.fresh
        for query in mine:
            if query.job_id in node.view:
                self.history.check(query, ACCEPTED)
            else:
                node.finals.append(query)

    def _read_final(self, node: NodeModel) -> None:
        """The final record of a job that was not active is read, after the batch."""
        query = node.finals.pop(0)
        is_over = self.store.states[query.job_id] == OVER
        self.history.check(query, OVER if is_over else UNKNOWN)

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


def test_no_answer_is_older_than_one_before_its_query() -> None:
    _search(Reads, 250)


# -- the checker finds each guard that is taken out --------------------------------------------------


class JoinsRunningBatch(ReadBatches):
    """A query joins the batch that is under way."""

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
        view.apply((yield PollChanges(view.revision)))
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
            view.apply((yield PollChanges(view.revision)))
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
            view.apply((yield PollChanges(view.revision)))
        except WatchCompactedError:
            view.apply(Changes([], present))


def query_after_a_write(machine: Reads, lag: int, kept: int) -> None:
    """A controller that has read all jobs is asked for one that was accepted elsewhere since.

    Its next follow is ``lag`` changes late, and the store has kept only its last ``kept`` changes.
    """
    machine.begin()
    machine.query(JOBS[1], 0)
    machine.advance(0, lag=0, halves=6)
    machine.write(JOBS[0], lost=False)
    machine.compact(kept)
    machine.query(JOBS[0], 0)
    machine.advance(0, lag=lag, halves=20)


# Plans without a guard, and the late changes and changes kept that show it.
BROKEN_PLANS = [
    pytest.param(_without_revision, 0, 9, id="without-revision"),
    pytest.param(_one_follow, 3, 9, id="one-follow"),
    pytest.param(_gap_is_skipped, 0, 0, id="gap-is-skipped"),
]


@pytest.mark.parametrize(("broken", "lag", "kept"), BROKEN_PLANS)
def test_checker_finds_a_plan_without_a_guard(broken: Any, lag: int, kept: int) -> None:
    # A search for the sequence came out differently with what other modules were loaded: it draws constants
    # from their sources as well. These sequences are the ones that it found.
    query_after_a_write(Reads(), lag, kept)
    machine = type("Broken", (Reads,), {"plan": staticmethod(broken)})
    with pytest.raises(AssertionError):
        query_after_a_write(machine(), lag, kept)


def query_during_a_batch(machine: Reads) -> None:
    """A job is accepted at one controller while another's batch has read the revision; then a query."""
    machine.begin()
    # A first batch reads all jobs; the second finds nothing new behind its revision.
    machine.query(JOBS[1], 0)
    machine.advance(0, lag=0, halves=6)
    machine.query(JOBS[1], 0)
    machine.advance(0, lag=0, halves=2)
    machine.write(JOBS[0], lost=False)
    machine.query(JOBS[0], 0)
    machine.advance(0, lag=0, halves=12)


def test_a_query_does_not_join_a_running_batch() -> None:
    query_during_a_batch(Reads())
    broken = type("Broken", (Reads,), {"batches": lambda self: JoinsRunningBatch()})
    with pytest.raises(AssertionError):
        query_during_a_batch(broken())


def _through_a_change_between_pages(plan: Any) -> bool:
    """Whether a job is active in the view that a read of two pages leaves behind."""
    view = ActiveJobsView()
    running = plan(view)
    assert isinstance(next(running), ReadRevision)
    assert isinstance(running.send(1), ReadPage)
    # A job of the second page is accepted at 2 and over at 3, between the pages.
    first = Page([Entry(ACTIVE_JOB_PREFIX + JOBS[0], {}, 1)], True, 1)
    assert isinstance(running.send(first), ReadPage)
    step = _send(running, Page([], False, 3))
    if step is not None:
        assert step == PollChanges(1)
        # A follow that is late shows the job's beginning and not its end: another one must come.
        late = Changes([Entry(ACTIVE_JOB_PREFIX + JOBS[1], {}, 2)], 2)
        assert _send(running, late) == PollChanges(2)
        assert _send(running, Changes([DeletedKey(ACTIVE_JOB_PREFIX + JOBS[1], 3)], 3)) is None
    else:
        # The next query's batch meets the late follow.
        view.apply(Changes([Entry(ACTIVE_JOB_PREFIX + JOBS[1], {}, 2)], 2))
    return JOBS[1] in view


def _send(running: Any, answer: Any) -> StoreRequest | None:
    try:
        step: StoreRequest = running.send(answer)
    except StopIteration:
        return None
    return step


def test_pages_that_are_not_a_snapshot_are_followed_to_the_newest_of_them() -> None:
    assert not _through_a_change_between_pages(advance_view)
    assert _through_a_change_between_pages(_pages_as_snapshot)


def test_the_requests_of_a_plan_are_sent_one_after_the_other() -> None:
    store, view = CountingStore(), ActiveJobsView()
    execute(advance_view(view), store)
    assert (JOBS[0] in view, NO_JOB in view, view.revision) == (True, False, 7)
    assert store.requests == ["revision", "page"]
