"""Linearizable reads: no answer is older than an answer that was given before its query arrived."""

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
    """Writes, polls of changes, failed requests and queries on several controllers, in any order."""

    def batches(self) -> ReadBatches:
        return ReadBatches()

    plan = staticmethod(advance_view)

    @initialize()
    def begin(self) -> None:
        self.store, self.history = StoreModel(), History()
        self.nodes = [NodeModel(self.batches(), self.plan) for _ in range(NODES)]

    @rule(job_id=st.sampled_from(JOBS), lost=st.booleans())
    def write(self, job_id: str, lost: bool) -> None:
        """A submission or a final record; its answer may be lost while other nodes read what it wrote."""
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
        """Advances a controller by half steps: the request is one half of a step, its answer the other."""
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
                finished = node.deliver()
            except LaggingChangesError:
                # Each query reads its own key instead, which is linearizable with the writes of that key.
                self._finish(node, answered=False)
                return
            if finished:
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
        """The store compacts all changes but the last few."""
        self.store.kept_from = max(self.store.kept_from, self.store.revision - kept)


def _search(machine: type[Reads], examples: int) -> None:
    # The examples are the same in each run, so the result is reproducible; a failing one is not shrunk.
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


def test_no_answer_is_older_than_an_answer_given_before_its_query() -> None:
    _search(Reads, 250)


# -- the checker detects each removed guard ------------------------------------------------------------


class JoinsRunningBatch(ReadBatches):
    """Broken: a query joins the batch that is running."""

    def join(self) -> int:
        number = super().join()
        return number - 1 if self.running else number


def _without_revision(view: ActiveJobsView) -> Any:
    """Broken: an existing view is taken for current."""
    if view.revision < 0:
        yield from advance_view(view)


def _one_poll(view: ActiveJobsView) -> Any:
    """Broken: one poll of changes is taken for enough, however far it lags."""
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
    """Broken: several pages are taken for a snapshot as of the first one, and only a part is replayed."""
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
    """Broken: compacted changes are taken for no changes."""
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
    """A controller that has read all jobs gets a query for one that another node accepted since.

    Its next poll lags by ``lag`` changes, and the store has kept only its last ``kept`` changes.
    """
    machine.begin()
    machine.query(JOBS[1], 0)
    machine.advance(0, lag=0, halves=6)
    machine.write(JOBS[0], lost=False)
    machine.compact(kept)
    machine.query(JOBS[0], 0)
    machine.advance(0, lag=lag, halves=20)


# Plans without a guard, with the lag and the number of kept changes that expose each one.
BROKEN_PLANS = [
    pytest.param(_without_revision, 0, 9, id="without-revision"),
    pytest.param(_one_poll, 3, 9, id="one-poll"),
    pytest.param(_gap_is_skipped, 0, 0, id="gap-is-skipped"),
]


@pytest.mark.parametrize(("broken", "lag", "kept"), BROKEN_PLANS)
def test_checker_detects_a_plan_without_a_guard(broken: Any, lag: int, kept: int) -> None:
    # Fixed sequences that a search found: hypothesis also draws constants from the sources of loaded modules,
    # so the result of a search would depend on which modules are loaded.
    query_after_a_write(Reads(), lag, kept)
    machine = type("Broken", (Reads,), {"plan": staticmethod(broken)})
    with pytest.raises(AssertionError):
        query_after_a_write(machine(), lag, kept)


def query_during_a_batch(machine: Reads) -> None:
    """A job is accepted after a running batch has read the revision, and is then queried."""
    machine.begin()
    # The first batch reads all jobs; the second finds no change after its revision.
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
    """Whether a job is active in the view after a read of two pages."""
    view = ActiveJobsView()
    running = plan(view)
    assert isinstance(next(running), ReadRevision)
    assert isinstance(running.send(1), ReadPage)
    # A job of the second page is accepted at revision 2 and final at 3, between the pages.
    first = Page([Entry(ACTIVE_JOB_PREFIX + JOBS[0], {}, 1)], True, 1)
    assert isinstance(running.send(first), ReadPage)
    step = _send(running, Page([], False, 3))
    if step is not None:
        assert step == PollChanges(1)
        # A lagging poll returns the job's submission and not its end: another poll has to follow.
        late = Changes([Entry(ACTIVE_JOB_PREFIX + JOBS[1], {}, 2)], 2)
        assert _send(running, late) == PollChanges(2)
        assert _send(running, Changes([DeletedKey(ACTIVE_JOB_PREFIX + JOBS[1], 3)], 3)) is None
    else:
        # The lagging poll comes in the batch of the next query.
        view.apply(Changes([Entry(ACTIVE_JOB_PREFIX + JOBS[1], {}, 2)], 2))
    return JOBS[1] in view


def _send(running: Any, answer: Any) -> StoreRequest | None:
    try:
        step: StoreRequest = running.send(answer)
    except StopIteration:
        return None
    return step


def test_changes_are_polled_up_to_the_newest_revision_of_the_pages() -> None:
    assert not _through_a_change_between_pages(advance_view)
    assert _through_a_change_between_pages(_pages_as_snapshot)


def test_the_requests_of_a_plan_are_sent_one_after_the_other() -> None:
    store, view = CountingStore(), ActiveJobsView()
    execute(advance_view(view), store)
    assert (JOBS[0] in view, NO_JOB in view, view.revision) == (True, False, 7)
    assert store.requests == ["revision", "page"]
