"""A view of the active jobs as of a revision of the state service."""

from __future__ import annotations

from collections.abc import Iterable

from poppyhold.durable.changes import Entry
from poppyhold.durable.keys import ACTIVE_JOB_PREFIX
from poppyhold.durable.store import Changes


class ActiveJobsView:
    """The active jobs as of a revision. Only one thread at a time may change it."""

    def __init__(self) -> None:
        self._active: set[str] = set()
        # -1: the active jobs are unknown.
        self.revision = -1

    def copy(self) -> ActiveJobsView:
        """Return a copy, to be advanced while this one is read."""
        view = ActiveJobsView()
        view._active, view.revision = set(self._active), self.revision
        return view

    def reset(self, entries: Iterable[Entry], revision: int) -> None:
        """Start again from all active jobs; ``entries`` may already contain changes after ``revision``."""
        self._active = {entry.key.removeprefix(ACTIVE_JOB_PREFIX) for entry in entries}
        self.revision = revision

    def invalidate(self) -> None:
        """Discard the contents, as changes are missing."""
        self._active = set()
        self.revision = -1

    def apply(self, changes: Changes) -> None:
        """Apply all changes after the view's revision, in order."""
        for event in changes.events:
            job_id = event.key.removeprefix(ACTIVE_JOB_PREFIX)
            if isinstance(event, Entry):
                self._active.add(job_id)
            else:
                self._active.discard(job_id)
        self.revision = max(self.revision, changes.revision)

    def __contains__(self, job_id: str) -> bool:
        return job_id in self._active
