"""The status of a job as users see it, and the state that is stored when it is finalized."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple


class JobStatus(StrEnum):
    """The status of a job as users see it; the last two are final, and are stored by these names."""

    PENDING = "pending"
    RUNNING = "running"
    DONE = "done"
    CANCELLED = "cancelled"


class FinalState(NamedTuple):
    """The state of a finalized job. It never changes."""

    # Not a `JobStatus`: a later version may store states that this one does not know.
    status: str
    tasks: int


class TaskCounts(NamedTuple):
    """How many tasks of a job are done and running, for display."""

    done: int
    running: int
