"""Advances a view of the jobs to a revision that is not older than the start of the attempt (read index).

The plan does no I/O itself: it yields requests to the state service and is sent the responses, so that tests
can interleave any other event.
"""

from __future__ import annotations

from collections.abc import Generator

import msgspec

from poppyhold.durable.errors import WatchCompactedError
from poppyhold.durable.keys import ACTIVE_JOB_PREFIX
from poppyhold.durable.prefix_reader import PageCollector
from poppyhold.durable.store import Changes, Page, Store
from poppyhold.reads.active_jobs_view import ActiveJobsView

# Maximum number of polls in one attempt. One is enough unless the store's responses lag.
_MAX_POLLS = 8


class LaggingChangesError(Exception):
    """The changes that the store returns do not reach its own revision."""


class ReadRevision(msgspec.Struct, frozen=True):
    """Read the store's present revision."""

    def execute(self, store: Store) -> int:
        """Send the request to the state service."""
        return store.revision()


class ReadPage(msgspec.Struct, frozen=True):
    """Read a page of the active jobs after a key."""

    after: str

    def execute(self, store: Store) -> Page:
        """Send the request to the state service."""
        return store.page(ACTIVE_JOB_PREFIX, self.after)


class PollChanges(msgspec.Struct, frozen=True):
    """Read all changes of active jobs after a revision, without waiting for new ones."""

    since: int

    def execute(self, store: Store) -> Changes:
        """Send the request to the state service."""
        return store.poll_changes(ACTIVE_JOB_PREFIX, self.since, 0.0)


StoreRequest = ReadRevision | ReadPage | PollChanges
ReadPlan = Generator[StoreRequest, int | Page | Changes, None]


def advance_view(view: ActiveJobsView) -> ReadPlan:
    """Advance the view to the store's revision as of the first request or later.

    That revision is read after the queries that it answers arrived: every state that a controller returned
    before them was durable by then, so its revision is no higher. `poll_changes` alone would suffice if its
    revision were certain to be the present one; PROTOCOL says only that it contains every change up to there.

    Raises:
        LaggingChangesError: the changes do not reach the revision within `_MAX_POLLS` polls.

    """
    present = yield ReadRevision()
    assert isinstance(present, int)
    polls = 0
    while view.revision < present:
        if view.revision < 0:
            last_revision = yield from _reload(view)
            # A later page may be newer than the revision from which the view continues. Changes that it shows
            # are polled again; until all of them are applied, the view could go back to an older state.
            present = max(present, last_revision)
            continue
        polls += 1
        if polls > _MAX_POLLS:
            raise LaggingChangesError
        try:
            changes = yield PollChanges(view.revision)
        except WatchCompactedError:
            # The store has compacted changes that the view does not contain.
            view.invalidate()
            continue
        assert isinstance(changes, Changes)
        view.apply(changes)


def _reload(view: ActiveJobsView) -> Generator[StoreRequest, int | Page | Changes, int]:
    """Read all active jobs, page by page; return the revision of the last page."""
    pages = PageCollector()
    while not pages.complete:
        page = yield ReadPage(pages.after)
        assert isinstance(page, Page)
        pages.add(page)
    view.reset(pages.entries, pages.revision)
    return pages.last_revision


def execute(plan: ReadPlan, store: Store) -> None:
    """Send the requests of a plan one after the other."""
    try:
        request = next(plan)
        while True:
            try:
                response = request.execute(store)
            except WatchCompactedError as error:
                request = plan.throw(error)
            else:
                request = plan.send(response)
    except StopIteration:
        return
