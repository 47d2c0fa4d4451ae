"""The outbound port of the decision core: its requests to the threads that do I/O for it."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from enum import IntEnum
from typing import Any, NamedTuple, Protocol

from poppyhold.durable.changes import Write
from poppyhold.model.outcome import RequestOutcome
from poppyhold.model.start_grant import StartGrant, StartRefusal
from poppyhold.wire.worker_messages import Heartbeat

Data = dict[str, Any]


class CommitPriority(IntEnum):
    """Order of the leader's commits; those of one priority are first in, first out."""

    # Commits that begin the longest waits or block all else: launches, fencing tokens, machine records.
    HIGHEST = 0
    # Plans of urgent jobs. Many short jobs can need more commits than the state service accepts; without this
    # priority the plans of critical services wait for a minute behind theirs.
    URGENT = 1
    # Plans and final states of other jobs; those of teams without a guarantee have the next priority.
    NORMAL = 2
    UNGUARANTEED = 3
    BACKGROUND = 4


class MisdirectedWorker(NamedTuple):
    """A worker whose heartbeat reached a controller that does not lead, and the heartbeat's numbers."""

    machine: str
    incarnation: int
    sequence: int


class OutboundPort(Protocol):
    """Requests of the core to other systems. Each callback is called on the decision thread."""

    def commit(
        self,
        conditions: dict[str, int],
        writes: Sequence[Write],
        on_committed: Callable[[bool], None],
        priority: CommitPriority = CommitPriority.BACKGROUND,
    ) -> None:
        """Commit a transaction while this controller leads, and retry until its outcome is known.

        Args:
            conditions: Keys and the revisions that they must have; 0 for a key that must not exist.
            writes: What to write.
            on_committed: Called with whether the writes are durable.
            priority: The order among commits that wait.

        """

    def send_commands(
        self,
        machine: str,
        endpoint: str,
        body: Data,
        on_response: Callable[[RequestOutcome, Heartbeat | None], None],
        slow_lane: bool,
        start_grant: StartGrant | None,
    ) -> None:
        """POST commands to a worker, once.

        Requests with ``slow_lane`` are queued apart, so that they don't delay the others. One with starts
        needs a grant: if that expires before the request is sent, the outcome is `NOT_SENT`.
        """

    def launch_machines(self, body: Data, on_response: Callable[[RequestOutcome, list[str]], None]) -> None:
        """Ask the cloud for machines, once; ``on_response`` gets their names."""

    def delete_machines(self, names: list[str], on_deleted: Callable[[bool], None]) -> None:
        """Ask the cloud to delete machines, once; ``on_deleted`` gets whether they are deleted."""

    def leadership_lost(self, fencing_token: int) -> None:
        """Record that a higher fencing token than this leader's was seen."""

    def fencing_tokens_reserved(self, highest_fencing_token: int) -> None:
        """Record that this leader's term has fencing tokens up to a higher one."""

    def resign(self, reason: str) -> None:
        """Give up leadership, so that another controller can lead."""

    def job_finalized(self, job_id: str, status: str, tasks: int) -> None:
        """Record that the final state of a job is durable."""

    def misdirected_workers(self) -> list[list[MisdirectedWorker]]:
        """Return the workers that recently sent heartbeats to other controllers, a list per controller."""

    def start_grant(self) -> StartGrant | StartRefusal:
        """Grant the sending of starts to workers, or say why they are refused."""

    def renewals_allowed_until(self) -> float:
        """Return until when workers' leases may be renewed on the present evidence."""

    def leadership_confirmed_at(self) -> float:
        """Return the latest time at which certainly no other controller led."""

    def latest_delegated_renewal_at(self) -> float:
        """Return the latest time at which a delegate may have renewed a worker's lease for this leader."""
