"""The decision core's way out: what it asks of the threads that do I/O for it."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from enum import IntEnum
from typing import Any, NamedTuple, Protocol

from poppyhold.durable.changes import Write
from poppyhold.model.outcome import RequestOutcome
from poppyhold.wire.worker_messages import Heartbeat

Data = dict[str, Any]


class CommitPriority(IntEnum):
    """Order of the leader's durable steps; those of one rank go in the order of their requests."""

    # What takes the longest behind it, or holds up everything else: hires, tokens, machines' records.
    SOONEST = 0
    # Plans of urgent jobs. A swarm of short jobs takes more changes than there are, and behind its plans
    # those of critical replicas waited for a minute.
    URGENT = 1
    # What else somebody waits for: plans and ends of jobs; those of teams without a guarantee come behind.
    AWAITED = 2
    UNGUARANTEED = 3
    BACKGROUND = 4


class MisdirectedWorker(NamedTuple):
    """A worker whose report reached a controller that does not lead, and what that report was."""

    machine: str
    incarnation: int
    sequence: int


class OutboundPort(Protocol):
    """Everything that the core asks of the outside. Each callback comes back on the core's thread."""

    def commit(
        self,
        conditions: dict[str, int],
        writes: Sequence[Write],
        on_committed: Callable[[bool], None],
        priority: CommitPriority = CommitPriority.BACKGROUND,
    ) -> None:
        """Carry out a transaction under our leadership, and repeat it until its outcome is certain."""

    def send_commands(
        self,
        machine: str,
        endpoint: str,
        body: Data,
        on_response: Callable[[RequestOutcome, Heartbeat | None], None],
        slow_lane: bool,
    ) -> None:
        """POST /do to a worker, once. Commands of the slow lane don't hold up the others."""

    def launch_machines(self, body: Data, on_response: Callable[[RequestOutcome, list[str]], None]) -> None:
        """POST /machines, once."""

    def delete_machines(self, names: list[str], on_deleted: Callable[[bool], None]) -> None:
        """POST /machines/delete, once."""

    def leadership_lost(self, fencing_token: int) -> None:
        """A higher token than ours was seen."""

    def fencing_token_raised(self, fencing_token: int) -> None:
        """Our token was raised."""

    def resign(self, why: str) -> None:
        """Let another node lead."""

    def job_finalized(self, job_id: str, status: str, tasks: int) -> None:
        """The final state of a job is durable."""

    def misdirected_workers(self) -> list[list[MisdirectedWorker]]:
        """Workers that have turned to another controller lately, for each of those."""

    def may_start_tasks(self) -> bool:
        """Whether our leadership was confirmed lately enough to start tasks."""

    def leadership_confirmed_at(self) -> float:
        """Moment at which nobody else can have led yet."""

    def delegated_leases_expire_at(self) -> float:
        """Moment behind which no other controller answered a worker in our name."""
