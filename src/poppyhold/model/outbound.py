"""The outbound port of the decision core: what it asks of the threads that do I/O for it."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from enum import IntEnum
from typing import Any, NamedTuple, Protocol

from poppyhold.durable.changes import Write
from poppyhold.model.outcome import RequestOutcome
from poppyhold.wire.worker_messages import Heartbeat

Data = dict[str, Any]


class CommitPriority(IntEnum):
    """Order of the leader's commits; those of one priority go in the order of their requests."""

    # What begins the longest waits, or holds up everything else: launches, fencing tokens, machines' records.
    HIGHEST = 0
    # Plans of urgent jobs. A swarm of short jobs needs more changes than the state service takes, and the
    # plans of critical replicas waited for a minute until its plans were written.
    URGENT = 1
    # What else somebody waits for: plans and ends of jobs; those of teams without a guarantee come later.
    NORMAL = 2
    UNGUARANTEED = 3
    BACKGROUND = 4


class MisdirectedWorker(NamedTuple):
    """A worker whose heartbeat reached a controller that does not lead, and which heartbeat that was."""

    machine: str
    incarnation: int
    sequence: int


class OutboundPort(Protocol):
    """Everything that the core asks of other systems. Each callback is called on the decision thread."""

    def commit(
        self,
        conditions: dict[str, int],
        writes: Sequence[Write],
        on_committed: Callable[[bool], None],
        priority: CommitPriority = CommitPriority.BACKGROUND,
    ) -> None:
        """Carry out a transaction under our leadership, and repeat it until its outcome is certain.

        Args:
            conditions: Keys and the revisions that they must have; 0 for a key that must not exist.
            writes: What to write.
            on_committed: Called with whether the writes are durable.
            priority: What goes first where several commits wait.

        """

    def send_commands(
        self,
        machine: str,
        endpoint: str,
        body: Data,
        on_response: Callable[[RequestOutcome, Heartbeat | None], None],
        slow_lane: bool,
    ) -> None:
        """POST commands to a worker, once.

        Requests of the slow lane don't hold up the others.
        """

    def launch_machines(self, body: Data, on_response: Callable[[RequestOutcome, list[str]], None]) -> None:
        """Ask the cloud for machines, once; ``on_response`` gets their names."""

    def delete_machines(self, names: list[str], on_deleted: Callable[[bool], None]) -> None:
        """Ask the cloud to delete machines, once; ``on_deleted`` gets whether it has."""

    def leadership_lost(self, fencing_token: int) -> None:
        """Note that a higher fencing token than ours was seen."""

    def fencing_token_raised(self, fencing_token: int) -> None:
        """Note that our fencing token was raised."""

    def resign(self, reason: str) -> None:
        """Give up leadership, so that another controller leads."""

    def job_finalized(self, job_id: str, status: str, tasks: int) -> None:
        """Note that the final state of a job is durable."""

    def misdirected_workers(self) -> list[list[MisdirectedWorker]]:
        """Return the workers that have turned to another controller lately, for each of those controllers."""

    def may_start_tasks(self) -> bool:
        """Whether our leadership was confirmed recently enough to start tasks."""

    def leadership_confirmed_at(self) -> float:
        """Return the last moment at which certainly nobody else led."""

    def delegated_leases_expire_at(self) -> float:
        """Return the moment after which no delegate renewed a worker's lease in our name."""
