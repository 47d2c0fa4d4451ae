"""The shares of one cell for one term of its leader: seeding, transfers, and what is in force at each moment.

No I/O and no clock: durable steps go out through ``commit`` and come back through its callback, on the same
thread. One step is under way at a time, and a step that may or may not have been carried out is repeated by
the committer behind a new fence until it certainly was (`durable.committer.FencedWriter`). What starts are
planned against is never more than what is durable:

- an amount that is given leaves the share in force before its write goes out;
- an amount that is taken joins it only when its write is known to be durable.

What has left one cell's record and has not reached the other one's belongs to nobody.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import Protocol

import msgspec

from poppyhold.durable.changes import Entry, Put, Write, put_record
from poppyhold.quota.amounts import TeamAmount, TeamShare
from poppyhold.quota.records import (
    IDENTITY,
    PEER,
    SHARE,
    IdentityRecord,
    PeerRecord,
    ShareRecord,
    Transfer,
    share_key,
)
from poppyhold.wire.codec import convert

log = logging.getLogger(__name__)


class Commit(Protocol):
    """A durable step under the leader's key: repeated until certain, False if a condition failed."""

    def __call__(
        self, conditions: dict[str, int], writes: Sequence[Write], done: Callable[[bool], None], /
    ) -> None:
        """Carry it out."""


class ProtocolError(Exception):
    """What another cell says can't be, given this cell's records: nothing of it is applied."""


class UnknownIncarnationError(ProtocolError):
    """The other cell's records are not those that transfers passed between: they were made anew."""


class SequenceError(ProtocolError):
    """The other cell names a transfer that can't be known to it, or skips one."""


class OtherCellError(ProtocolError):
    """The records in this cell's state service are those of a cell with another name."""


class ShareBook:
    """All shares of this cell, and what is on its way between it and the other cells."""

    def __init__(
        self,
        cell: str,
        new_incarnation: Callable[[], str],
        commit: Commit,
        on_changed: Callable[[str], None],
        on_unclear: Callable[[str], None],
    ) -> None:
        """``on_changed`` hears of each team whose share in force has changed.

        ``on_unclear`` hears that the records are not what they should be: whoever leads next reads them anew.
        """
        self.cell = cell
        self._new_incarnation = new_incarnation
        self._commit, self._on_changed, self._on_unclear = commit, on_changed, on_unclear
        self.identity: IdentityRecord | None = None
        # In force, by team.
        self._records: dict[str, ShareRecord] = {}
        self._peers: dict[str, PeerRecord] = {}
        # A transfer whose write is not known to be durable is not told to anybody.
        self._unsaved: set[str] = set()
        self.busy = False
        # Changes of records in this term, for display.
        self.changes = 0

    # -- what is in force ------------------------------------------------------------------------------

    @property
    def incarnation(self) -> str:
        """Of this cell's records; empty until they are durable."""
        return self.identity.incarnation if self.identity is not None else ""

    @property
    def records(self) -> Mapping[str, ShareRecord]:
        """The shares in force, by team."""
        return self._records

    @property
    def peers(self) -> Mapping[str, PeerRecord]:
        """What passed between this cell and each other one."""
        return self._peers

    def share(self, team: str) -> TeamShare | None:
        """A team's share in force; None before it is seeded."""
        record = self._records.get(team)
        return record.share if record is not None else None

    def applied(self, peer: str) -> int:
        """The number of the last transfer from a cell that is durable here."""
        record = self._peers.get(peer)
        return record.applied if record is not None else 0

    def transfer_to(self, peer: str) -> Transfer | None:
        """The durable transfer that is on its way to a cell."""
        record = self._peers.get(peer)
        return record.in_transit if record is not None and peer not in self._unsaved else None

    # -- the beginning of a term -----------------------------------------------------------------------

    def load(self, entries: Iterable[Entry]) -> None:
        """Take what is durable, as a new leader read it."""
        for entry in entries:
            if entry.key == IDENTITY:
                self.identity = convert(entry.data, IdentityRecord)
            elif entry.key.startswith(SHARE):
                record = convert(entry.data, ShareRecord)
                self._records[record.team] = record
            elif entry.key.startswith(PEER):
                self._peers[entry.key.removeprefix(PEER)] = convert(entry.data, PeerRecord)
        for team in self._records:
            self._on_changed(team)

    def check_identity(self) -> None:
        """Raise `OtherCellError` if the records are those of a cell with another name."""
        if self.identity is not None and self.identity.cell != self.cell:
            raise OtherCellError(f"the records here are those of cell {self.identity.cell!r}")

    def seed(self, shares: Mapping[str, tuple[TeamShare, TeamShare]], most: int) -> bool:
        """Make up to ``most`` missing records, each on the condition that it is absent; False: none is
        missing.

        ``shares`` holds each team's first share here and what it has over all cells. A share that is there
        holds, whatever the settings say today.
        """
        missing = [team for team in shares if team not in self._records]
        if self.identity is not None and not missing:
            return False
        if self.busy:
            return True
        conditions: dict[str, int] = {}
        writes: list[Write] = []
        identity = self.identity
        if identity is None:
            identity = IdentityRecord(self.cell, self._new_incarnation())
            conditions[IDENTITY] = 0
            writes.append(put_record(IDENTITY, identity))
        records = [ShareRecord(team, *shares[team]) for team in missing[: max(0, most - len(writes))]]
        for record in records:
            conditions[share_key(record.team)] = 0
            writes.append(_put_share(record))

        def durable() -> None:
            self.identity = identity
            for record in records:
                self._records[record.team] = record
                self._on_changed(record.team)

        self._step(conditions, writes, durable)
        return True

    # -- transfers -------------------------------------------------------------------------------------

    def check_peer(self, peer: str, incarnation: str) -> None:
        """Raise `UnknownIncarnationError` if a cell's records are not those that transfers passed between."""
        known = self._peers.get(peer)
        if not incarnation or (known is not None and known.incarnation != incarnation):
            raise UnknownIncarnationError(f"cell {peer} has other records than before")

    def can_give(self, peer: str) -> bool:
        """Whether a transfer to a cell may begin now: one at a time to each."""
        known = self._peers.get(peer)
        return not self.busy and (known is None or known.in_transit is None)

    def give(self, peer: str, incarnation: str, amounts: Mapping[str, TeamAmount]) -> bool:
        """Begin to give parts of teams' shares to a cell; False if that can't be now.

        The amounts leave the shares in force at once. Whoever calls this has seen to it that all that may
        still run of each team stays within what is left.
        """
        records = {team: self._records[team] for team in amounts if team in self._records}
        covered = all(record.share.has(amounts[team]) for team, record in records.items())
        if not self.can_give(peer) or not amounts or len(records) < len(amounts) or not covered:
            return False
        self.check_peer(peer, incarnation)
        before = self._peers.get(peer) or PeerRecord(incarnation)
        transfer = Transfer(before.sent + 1, dict(amounts))
        lowered = [_changed(record, record.share.minus(amounts[team])) for team, record in records.items()]
        link = msgspec.structs.replace(before, sent=transfer.number, in_transit=transfer)
        self._leave(lowered)
        self._peers[peer] = link
        self._unsaved.add(peer)
        writes = [*map(_put_share, lowered), _put_peer(peer, link)]
        self._step({}, writes, lambda: self._unsaved.discard(peer))
        return True

    def _leave(self, lowered: Iterable[ShareRecord]) -> None:
        """Amounts that are given are planned against no more, before anything is written."""
        for record in lowered:
            self._records[record.team] = record
            self._on_changed(record.team)

    def acknowledged(self, peer: str, incarnation: str, applied: int) -> None:
        """A cell says up to which number it has applied our transfers: what it has needs no record here.

        Raises:
            ProtocolError: it can't have applied so many, or has other records than before.
        """
        known = self._peers.get(peer)
        if known is None:
            if applied:
                raise SequenceError(f"cell {peer} has applied transfer {applied}, and none is known here")
            return
        self.check_peer(peer, incarnation)
        if applied > known.sent or (peer in self._unsaved and applied == known.sent):
            raise SequenceError(f"cell {peer} has applied transfer {applied} of {known.sent}")
        if known.in_transit is None or applied < known.sent or self.busy:
            return
        link = msgspec.structs.replace(known, in_transit=None)

        def durable() -> None:
            self._peers[peer] = link

        self._step({}, [_put_peer(peer, link)], durable)

    def receive(self, peer: str, incarnation: str, transfer: Transfer) -> bool:
        """Apply a cell's transfer, once; False if it was applied before, or has to come again.

        The amounts join the shares in force when this is durable.

        Raises:
            ProtocolError: one before it is missing, or the cell has other records than before.
        """
        known = self._peers.get(peer)
        self.check_peer(peer, incarnation)
        before = known or PeerRecord(incarnation)
        if not self._is_next(before, transfer):
            return False
        if self.busy or not transfer.amounts.keys() <= self._records.keys():
            return False
        records = [self._records[team] for team in transfer.amounts]
        raised = [_changed(each, each.share.plus(transfer.amounts[each.team])) for each in records]
        link = msgspec.structs.replace(before, applied=transfer.number)

        def durable() -> None:
            self._peers[peer] = link
            for record in raised:
                self._records[record.team] = record
                self._on_changed(record.team)

        self._join(raised, link, peer, durable)
        return True

    @staticmethod
    def _is_next(before: PeerRecord, transfer: Transfer) -> bool:
        """Whether a transfer comes next; one at or below what was applied is a repeat."""
        if transfer.number > before.applied + 1:
            raise SequenceError(f"transfer {transfer.number} came behind {before.applied}")
        return transfer.number == before.applied + 1

    def _join(
        self, raised: Iterable[ShareRecord], link: PeerRecord, peer: str, durable: Callable[[], None]
    ) -> None:
        """What is taken counts only once it is durable, together with its number."""
        self._step({}, [*map(_put_share, raised), _put_peer(peer, link)], durable)

    # -- durable steps ---------------------------------------------------------------------------------

    def _step(self, conditions: dict[str, int], writes: Sequence[Write], durable: Callable[[], None]) -> None:
        self.busy = True

        def done(result: bool) -> None:
            self.busy = False
            if result:
                self.changes += len(writes)
                durable()
            else:
                # Only a record that was to be absent can fail, most likely by a first try without an answer.
                self._on_unclear("a record of shares appeared that was not there before")

        self._commit(conditions, writes, done)


def _changed(record: ShareRecord, share: TeamShare) -> ShareRecord:
    return msgspec.structs.replace(record, share=share, version=record.version + 1)


def _put_share(record: ShareRecord) -> Put:
    return put_record(share_key(record.team), record)


def _put_peer(peer: str, record: PeerRecord) -> Put:
    return put_record(PEER + peer, record)
