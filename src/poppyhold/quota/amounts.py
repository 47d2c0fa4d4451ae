"""Amounts of limits and guarantees: integers in thousandths, so that sums over cells are exact."""

from __future__ import annotations

import math

import msgspec

from poppyhold.scheduling.quotas import TeamQuota

# One CPU or accelerator, in thousandths.
UNIT = 1000


def to_thousandths(amount: float) -> int:
    """Convert CPUs or accelerators to thousandths."""
    return round(amount * UNIT)


def from_thousandths(amount: int) -> float:
    """Convert thousandths to CPUs or accelerators."""
    return amount / UNIT


class ResourceAmount(msgspec.Struct, frozen=True, array_like=True):
    """An amount of one resource in a transfer: a guaranteed part, and a borrowable part above guarantees."""

    guaranteed: int = 0
    borrowable: int = 0

    @property
    def limit(self) -> int:
        """The amount by which a transfer changes the limit."""
        return self.guaranteed + self.borrowable

    def capped_at(self, maximum: ResourceAmount) -> ResourceAmount:
        """The smaller of both amounts, for each part."""
        return ResourceAmount(
            min(self.guaranteed, maximum.guaranteed), min(self.borrowable, maximum.borrowable)
        )


class ResourceAllocation(msgspec.Struct, frozen=True, array_like=True):
    """A cell's part of a team's guarantee and limit of one resource.

    The limit is the sum of the guarantee and the borrowable part. Neither is ever negative, so that no
    transfer raises the guarantee above the limit. ``borrowable`` None means no limit.
    """

    guaranteed: int = 0
    borrowable: int | None = None

    @property
    def limit(self) -> int | None:
        """The maximum that may be used; None: no limit."""
        return None if self.borrowable is None else self.guaranteed + self.borrowable

    def covers(self, amount: ResourceAmount) -> bool:
        """Whether an amount can be debited."""
        if min(amount.guaranteed, amount.borrowable) < 0 or amount.guaranteed > self.guaranteed:
            return False
        return amount.borrowable <= (self.borrowable or 0)

    def excess_over(self, reserved: ResourceAllocation) -> ResourceAmount:
        """The part above the reserve; without a limit, none of it is borrowable."""
        borrowable = (self.borrowable or 0) - (reserved.borrowable or 0)
        return ResourceAmount(max(0, self.guaranteed - reserved.guaranteed), max(0, borrowable))

    def plus(self, amount: ResourceAmount, sign: int = 1) -> ResourceAllocation:
        """The allocation after a credit, or after a debit if ``sign`` is -1."""
        borrowable = None if self.borrowable is None else self.borrowable + sign * amount.borrowable
        return ResourceAllocation(self.guaranteed + sign * amount.guaranteed, borrowable)


class TeamAmount(msgspec.Struct, frozen=True, array_like=True):
    """An amount of both resources in a transfer."""

    cpus: ResourceAmount = ResourceAmount()
    accelerators: ResourceAmount = ResourceAmount()

    @property
    def is_zero(self) -> bool:
        """Whether both resources are zero."""
        return not (self.cpus.limit or self.accelerators.limit)


class TeamAllocation(msgspec.Struct, frozen=True, array_like=True):
    """A cell's part of one team's guarantees and limits."""

    cpus: ResourceAllocation = ResourceAllocation()
    accelerators: ResourceAllocation = ResourceAllocation()

    def covers(self, amount: TeamAmount) -> bool:
        """Whether an amount can be debited."""
        return self.cpus.covers(amount.cpus) and self.accelerators.covers(amount.accelerators)

    def plus(self, amount: TeamAmount) -> TeamAllocation:
        """The allocation after a credit."""
        return TeamAllocation(self.cpus.plus(amount.cpus), self.accelerators.plus(amount.accelerators))

    def minus(self, amount: TeamAmount) -> TeamAllocation:
        """The allocation after a debit."""
        return TeamAllocation(
            self.cpus.plus(amount.cpus, -1), self.accelerators.plus(amount.accelerators, -1)
        )

    def zeroed(self) -> TeamAllocation:
        """An allocation without guarantees, and with limits of zero where this one has limits."""
        return TeamAllocation(_zeroed(self.cpus), _zeroed(self.accelerators))

    def quota(self, total: TeamAllocation) -> TeamQuota:
        """The quota that scheduling enforces, given the team's total over all cells."""
        return TeamQuota(
            _guaranteed(self.cpus, total.cpus),
            _limit(self.cpus),
            _guaranteed(self.accelerators, total.accelerators),
            _limit(self.accelerators),
        )


def _zeroed(allocation: ResourceAllocation) -> ResourceAllocation:
    return ResourceAllocation(0, None if allocation.borrowable is None else 0)


def _guaranteed(allocation: ResourceAllocation, total: ResourceAllocation) -> float | None:
    return from_thousandths(allocation.guaranteed) if total.guaranteed else None


def _limit(allocation: ResourceAllocation) -> float:
    return math.inf if allocation.limit is None else from_thousandths(allocation.limit)
