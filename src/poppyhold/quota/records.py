"""The durable records of a cell's allocations. Stored names stay; new fields need defaults."""

from __future__ import annotations

from urllib.parse import quote

import msgspec

from poppyhold.durable.keys import QUOTA_PREFIX
from poppyhold.quota.amounts import TeamAllocation, TeamAmount

# The key of the identity record: the cell, and the incarnation of its records.
IDENTITY_KEY = QUOTA_PREFIX + "i"
# One record per team.
ALLOCATION_PREFIX = QUOTA_PREFIX + "s/"
# One record per other cell.
PEER_PREFIX = QUOTA_PREFIX + "c/"


class IdentityRecord(msgspec.Struct, frozen=True):
    """The cell that the records belong to; the incarnation is random, drawn at their creation."""

    cell: str = msgspec.field(name="c")
    incarnation: str = msgspec.field(name="i")


class AllocationRecord(msgspec.Struct, frozen=True):
    """A team's allocation in this cell."""

    team: str = msgspec.field(name="t")
    allocation: TeamAllocation = msgspec.field(name="s")
    # The team's total over all cells when this record was created.
    total: TeamAllocation = msgspec.field(name="w")
    # Incremented with each change.
    version: int = msgspec.field(name="v", default=0)


class Transfer(msgspec.Struct, frozen=True, array_like=True):
    """Amounts of teams' allocations on their way to another cell, numbered in sequence per destination."""

    number: int
    # By team.
    amounts: dict[str, TeamAmount]


class PeerRecord(msgspec.Struct, frozen=True):
    """The transfers between this cell and another one."""

    # The incarnation of the other cell's records at the first transfer.
    incarnation: str = msgspec.field(name="i")
    # The number of the last transfer to the other cell, and that transfer until it is acknowledged.
    last_sent: int = msgspec.field(name="s", default=0)
    in_transit: Transfer | None = msgspec.field(name="t", default=None)
    # The number of the last transfer from the other cell that was applied here.
    last_applied: int = msgspec.field(name="a", default=0)


def allocation_key(team: str) -> str:
    """The key of a team's allocation; the name is quoted, because keys contain no spaces."""
    return ALLOCATION_PREFIX + quote(team, safe="")
