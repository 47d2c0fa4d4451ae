"""The allocation ledger of one cell for one term of its leader: initial records, debits and credits.

It does no I/O and reads no clock: ``commit`` starts a commit and calls back on the same thread. One commit is
in progress at a time, and the committer retries one of unknown outcome under a new write fence until it is
certainly committed (`durable.fenced_writer`). The allocation in force, which scheduling enforces, never
exceeds the durable one:

- a debit lowers the allocation in force before its write is sent;
- a credit raises it only once its write is durable.

An amount in transit, debited from the source's record and not yet credited to the destination's, belongs to
no cell.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping

import msgspec

from poppyhold.durable.changes import Entry, Put, Write, put_record
from poppyhold.quota.amounts import TeamAllocation, TeamAmount
from poppyhold.quota.apportionment import InitialAllocation
from poppyhold.quota.errors import SequenceError, UnknownIncarnationError, WrongCellError
from poppyhold.quota.ledger_commits import Commit, LedgerCommits
from poppyhold.quota.records import (
    ALLOCATION_PREFIX,
    IDENTITY_KEY,
    PEER_PREFIX,
    AllocationRecord,
    IdentityRecord,
    PeerRecord,
    Transfer,
    allocation_key,
)
from poppyhold.wire.codec import convert


class AllocationLedger:
    """All allocations of this cell, and the transfers between it and the other cells."""

    def __init__(
        self,
        cell: str,
        new_incarnation: Callable[[], str],
        commit: Commit,
        on_changed: Callable[[str], None],
        on_inconsistent: Callable[[str], None],
    ) -> None:
        """``on_changed`` is called with each team whose allocation in force has changed.

        ``on_inconsistent`` is called when the durable records are not the expected ones, for the next leader
        to read them again.
        """
        self.cell = cell
        self._new_incarnation, self._on_changed = new_incarnation, on_changed
        self._commits = LedgerCommits(commit, on_inconsistent)
        self.identity: IdentityRecord | None = None
        # Allocations in force, by team.
        self._records: dict[str, AllocationRecord] = {}
        self._peers: dict[str, PeerRecord] = {}
        # Destination cells of transfers that are not yet durable, and so not sent.
        self._uncommitted_transfers: set[str] = set()

    @property
    def commit_in_progress(self) -> bool:
        """Whether a commit is in progress, so that no other can start."""
        return self._commits.in_progress

    @property
    def committed_changes(self) -> int:
        """The number of records written in this term, for display."""
        return self._commits.committed_changes

    @property
    def incarnation(self) -> str:
        """The incarnation of this cell's records; empty until they are durable."""
        return self.identity.incarnation if self.identity is not None else ""

    @property
    def records(self) -> Mapping[str, AllocationRecord]:
        """The allocations in force, by team."""
        return self._records

    @property
    def peers(self) -> Mapping[str, PeerRecord]:
        """The records of transfers, by peer cell."""
        return self._peers

    def allocation(self, team: str) -> TeamAllocation | None:
        """A team's allocation in force; None before its record is created."""
        record = self._records.get(team)
        return record.allocation if record is not None else None

    def last_applied_from(self, peer: str) -> int:
        """The number of the last transfer from a cell whose credit is durable here."""
        record = self._peers.get(peer)
        return record.last_applied if record is not None else 0

    def transfer_in_transit_to(self, peer: str) -> Transfer | None:
        """The durable transfer in transit to a cell."""
        record = self._peers.get(peer)
        return record.in_transit if record is not None and peer not in self._uncommitted_transfers else None

    def load(self, entries: Iterable[Entry]) -> None:
        """Load the durable records at the start of a term."""
        for entry in entries:
            if entry.key == IDENTITY_KEY:
                self.identity = convert(entry.data, IdentityRecord)
            elif entry.key.startswith(ALLOCATION_PREFIX):
                record = convert(entry.data, AllocationRecord)
                self._records[record.team] = record
            elif entry.key.startswith(PEER_PREFIX):
                self._peers[entry.key.removeprefix(PEER_PREFIX)] = convert(entry.data, PeerRecord)
        for team in self._records:
            self._on_changed(team)

    def check_identity(self) -> None:
        """Raise `WrongCellError` if the records belong to a cell with another name."""
        if self.identity is not None and self.identity.cell != self.cell:
            raise WrongCellError(f"the records here are those of cell {self.identity.cell!r}")

    def create_missing(self, initial: Mapping[str, InitialAllocation], max_records: int) -> bool:
        """Create up to ``max_records`` missing records, each on the condition that it is absent.

        Returns False if none is missing. An existing record takes precedence over the current settings.
        """
        missing = [team for team in initial if team not in self._records]
        if self.identity is not None and not missing:
            return False
        if self.commit_in_progress:
            return True
        conditions: dict[str, int] = {}
        writes: list[Write] = []
        identity = self.identity
        if identity is None:
            identity = IdentityRecord(self.cell, self._new_incarnation())
            conditions[IDENTITY_KEY] = 0
            writes.append(put_record(IDENTITY_KEY, identity))
        created = missing[: max(0, max_records - len(writes))]
        records = [AllocationRecord(team, *initial[team]) for team in created]
        for record in records:
            conditions[allocation_key(record.team)] = 0
            writes.append(_put_allocation(record))

        def on_committed() -> None:
            self.identity = identity
            self._set_in_force(records)

        self._commits.start(conditions, writes, on_committed)
        return True

    def check_peer(self, peer: str, incarnation: str) -> None:
        """Raise `UnknownIncarnationError` if a cell's incarnation is not that of the earlier transfers."""
        known = self._peers.get(peer)
        if not incarnation or (known is not None and known.incarnation != incarnation):
            raise UnknownIncarnationError(f"cell {peer} has other records than before")

    def can_debit(self, peer: str) -> bool:
        """Whether a transfer to a cell may start now: only one is in transit to each cell at a time."""
        known = self._peers.get(peer)
        return not self.commit_in_progress and (known is None or known.in_transit is None)

    def debit(self, peer: str, incarnation: str, amounts: Mapping[str, TeamAmount]) -> bool:
        """Start a transfer of amounts of teams' allocations to a cell; False if that is not possible now.

        The allocations in force are lowered at once. The caller ensures that each team's possible use stays
        within its remaining allocation.
        """
        records = {team: self._records[team] for team in amounts if team in self._records}
        covered = all(record.allocation.covers(amounts[team]) for team, record in records.items())
        if not self.can_debit(peer) or not amounts or len(records) < len(amounts) or not covered:
            return False
        self.check_peer(peer, incarnation)
        before = self._peers.get(peer) or PeerRecord(incarnation)
        transfer = Transfer(before.last_sent + 1, dict(amounts))
        debited = [
            _changed(record, record.allocation.minus(amounts[team])) for team, record in records.items()
        ]
        peer_record = msgspec.structs.replace(before, last_sent=transfer.number, in_transit=transfer)
        self._apply_debits(debited)
        self._peers[peer] = peer_record
        self._uncommitted_transfers.add(peer)
        writes = [*map(_put_allocation, debited), _put_peer(peer, peer_record)]
        self._commits.start({}, writes, lambda: self._uncommitted_transfers.discard(peer))
        return True

    def _apply_debits(self, debited: Iterable[AllocationRecord]) -> None:
        """Lower the allocations in force before the debit is written."""
        self._set_in_force(debited)

    def acknowledge(self, peer: str, incarnation: str, last_applied: int) -> None:
        """Handle a cell's acknowledgement up to ``last_applied``; an acknowledged transfer is no longer kept.

        Raises:
            QuotaProtocolError: that transfer was not sent, or the cell's records are of another incarnation.

        """
        known = self._peers.get(peer)
        if known is None:
            if last_applied:
                raise SequenceError(
                    f"cell {peer} has applied transfer {last_applied}, and none is known here"
                )
            return
        self.check_peer(peer, incarnation)
        if last_applied > known.last_sent or (
            peer in self._uncommitted_transfers and last_applied == known.last_sent
        ):
            raise SequenceError(f"cell {peer} has applied transfer {last_applied} of {known.last_sent}")
        if known.in_transit is None or last_applied < known.last_sent or self.commit_in_progress:
            return
        peer_record = msgspec.structs.replace(known, in_transit=None)

        def on_committed() -> None:
            self._peers[peer] = peer_record

        self._commits.start({}, [_put_peer(peer, peer_record)], on_committed)

    def credit(self, peer: str, incarnation: str, transfer: Transfer) -> bool:
        """Apply a cell's transfer exactly once; False if it was applied before, or must be sent again.

        The allocations in force are raised once the credit is durable.

        Raises:
            QuotaProtocolError: an earlier transfer is missing, or the records are of another incarnation.

        """
        known = self._peers.get(peer)
        self.check_peer(peer, incarnation)
        before = known or PeerRecord(incarnation)
        if not self._is_next_in_sequence(before, transfer):
            return False
        if self.commit_in_progress or not transfer.amounts.keys() <= self._records.keys():
            return False
        records = [self._records[team] for team in transfer.amounts]
        credited = [_changed(each, each.allocation.plus(transfer.amounts[each.team])) for each in records]
        peer_record = msgspec.structs.replace(before, last_applied=transfer.number)

        def on_committed() -> None:
            self._peers[peer] = peer_record
            self._set_in_force(credited)

        self._commit_credits(credited, peer_record, peer, on_committed)
        return True

    @staticmethod
    def _is_next_in_sequence(before: PeerRecord, transfer: Transfer) -> bool:
        """Whether a transfer is the next one; a number up to the last applied one is a duplicate."""
        if transfer.number > before.last_applied + 1:
            raise SequenceError(f"transfer {transfer.number} came after {before.last_applied}")
        return transfer.number == before.last_applied + 1

    def _commit_credits(
        self,
        credited: Iterable[AllocationRecord],
        peer_record: PeerRecord,
        peer: str,
        on_committed: Callable[[], None],
    ) -> None:
        """Commit credits with the transfer's number; they are put in force only once they are durable."""
        self._commits.start({}, [*map(_put_allocation, credited), _put_peer(peer, peer_record)], on_committed)

    def _set_in_force(self, records: Iterable[AllocationRecord]) -> None:
        for record in records:
            self._records[record.team] = record
            self._on_changed(record.team)


def _changed(record: AllocationRecord, allocation: TeamAllocation) -> AllocationRecord:
    return msgspec.structs.replace(record, allocation=allocation, version=record.version + 1)


def _put_allocation(record: AllocationRecord) -> Put:
    return put_record(allocation_key(record.team), record)


def _put_peer(peer: str, record: PeerRecord) -> Put:
    return put_record(PEER_PREFIX + peer, record)
