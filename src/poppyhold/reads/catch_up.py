"""Bringing a view of the jobs up to a revision that is not older than the beginning of the attempt.

The steps do no I/O themselves: they yield what is to be asked of the state service and are sent its answers,
so that tests can put any other event between two of them.
"""

from __future__ import annotations

from collections.abc import Generator

import msgspec

from poppyhold.durable.errors import WatchCompactedError
from poppyhold.durable.keys import ACTIVE_JOB_PREFIX
from poppyhold.durable.prefix_reader import PageCollector
from poppyhold.durable.store import Changes, Page, Store
from poppyhold.reads.job_view import JobView

# Follows of one attempt, at the most. One is enough but where the store's answers are late.
_MOST_FOLLOWS = 8


class BehindError(Exception):
    """The changes that the store tells do not come up to its own revision."""


class ReadRevision(msgspec.Struct, frozen=True):
    """Read the store's present revision."""

    def carry_out(self, store: Store) -> int:
        """Ask the state service."""
        return store.revision()


class ReadPage(msgspec.Struct, frozen=True):
    """Read the active jobs that come behind a key."""

    after: str

    def carry_out(self, store: Store) -> Page:
        """Ask the state service."""
        return store.page(ACTIVE_JOB_PREFIX, self.after)


class Follow(msgspec.Struct, frozen=True):
    """Read all changes of active jobs behind a revision, without waiting for any."""

    since: int

    def carry_out(self, store: Store) -> Changes:
        """Ask the state service."""
        return store.follow(ACTIVE_JOB_PREFIX, self.since, 0.0)


Step = ReadRevision | ReadPage | Follow
Steps = Generator[Step, int | Page | Changes, None]


def catch_up(view: JobView) -> Steps:
    """Bring the view to the store's revision as of the first step or later.

    That revision comes from a read which begins behind the questions that it is for: whatever any controller
    told before them was durable by then, so its revision is no higher. `follow` alone would do if its
    revision were sure to be the present one; PROTOCOL says only that it contains every change up to there.
    """
    present = yield ReadRevision()
    assert isinstance(present, int)
    follows = 0
    while view.revision < present:
        if view.revision < 0:
            last_revision = yield from _read_anew(view)
            # A later page may be newer than the revision that the view goes on from. Changes that it shows
            # come once more with the next ones; until all of them are there, the view could go back.
            present = max(present, last_revision)
            continue
        follows += 1
        if follows > _MOST_FOLLOWS:
            raise BehindError
        try:
            changes = yield Follow(view.revision)
        except WatchCompactedError:
            # The store has dropped changes that we have not seen.
            view.forget()
            continue
        assert isinstance(changes, Changes)
        view.apply(changes)


def _read_anew(view: JobView) -> Generator[Step, int | Page | Changes, int]:
    """Read all active jobs, page by page; the revision of the last page."""
    pages = PageCollector()
    while not pages.complete:
        page = yield ReadPage(pages.after)
        assert isinstance(page, Page)
        pages.add(page)
    view.reset(pages.entries, pages.revision)
    return pages.last_revision


def carry_out(steps: Steps, store: Store) -> None:
    """Carry out all steps, one after the other."""
    try:
        step = next(steps)
        while True:
            try:
                answer = step.carry_out(store)
            except WatchCompactedError as error:
                step = steps.throw(error)
            else:
                step = steps.send(answer)
    except StopIteration:
        return
