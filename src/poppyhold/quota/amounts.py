"""Amounts of limits and guarantees: whole numbers of thousandths, so that sums over cells are exact."""

from __future__ import annotations

import math
from collections.abc import Mapping

import msgspec

from poppyhold.configuration_checks import ConfigError
from poppyhold.scheduling.quotas import TeamQuota
from poppyhold.settings import Settings, Team

# One CPU or accelerator.
UNIT = 1000


def to_units(amount: float) -> int:
    """Thousandths of a CPU or an accelerator."""
    return round(amount * UNIT)


def from_units(units: int) -> float:
    """CPUs or accelerators of so many thousandths."""
    return units / UNIT


class ResourceAmount(msgspec.Struct, frozen=True, array_like=True):
    """An amount of one resource that moves: guaranteed, and borrowable beyond any guarantee."""

    guaranteed: int = 0
    borrowable: int = 0

    @property
    def limit(self) -> int:
        """By how much the limit changes with it."""
        return self.guaranteed + self.borrowable

    def at_most(self, most: ResourceAmount) -> ResourceAmount:
        """What of it is within another amount."""
        return ResourceAmount(min(self.guaranteed, most.guaranteed), min(self.borrowable, most.borrowable))


class ResourceShare(msgspec.Struct, frozen=True, array_like=True):
    """A cell's part of a team's guarantee and limit of one resource.

    It is kept as the guarantee and what may be borrowed above it, neither of which is ever negative: whatever
    moves, the guarantee stays within the limit. ``borrowable`` None means that there is no limit.
    """

    guaranteed: int = 0
    borrowable: int | None = None

    @property
    def limit(self) -> int | None:
        """The most that may be used; None: no limit."""
        return None if self.borrowable is None else self.guaranteed + self.borrowable

    def has(self, amount: ResourceAmount) -> bool:
        """Whether an amount can be taken out of it."""
        if min(amount.guaranteed, amount.borrowable) < 0 or amount.guaranteed > self.guaranteed:
            return False
        return amount.borrowable <= (self.borrowable or 0)

    def beyond(self, reserved: ResourceShare) -> ResourceAmount:
        """The part of a share that is not reserved; without a limit nothing is borrowed."""
        borrowable = (self.borrowable or 0) - (reserved.borrowable or 0)
        return ResourceAmount(max(0, self.guaranteed - reserved.guaranteed), max(0, borrowable))

    def plus(self, amount: ResourceAmount, sign: int = 1) -> ResourceShare:
        """The share with an amount more, or less."""
        borrowable = None if self.borrowable is None else self.borrowable + sign * amount.borrowable
        return ResourceShare(self.guaranteed + sign * amount.guaranteed, borrowable)


class TeamAmount(msgspec.Struct, frozen=True, array_like=True):
    """An amount of both resources that moves."""

    cpus: ResourceAmount = ResourceAmount()
    accelerators: ResourceAmount = ResourceAmount()

    @property
    def is_nothing(self) -> bool:
        """Whether nothing moves with it."""
        return not (self.cpus.limit or self.accelerators.limit)


class TeamShare(msgspec.Struct, frozen=True, array_like=True):
    """A cell's part of what one team is guaranteed and may use."""

    cpus: ResourceShare = ResourceShare()
    accelerators: ResourceShare = ResourceShare()

    def has(self, amount: TeamAmount) -> bool:
        """Whether an amount can be taken out of it."""
        return self.cpus.has(amount.cpus) and self.accelerators.has(amount.accelerators)

    def plus(self, amount: TeamAmount) -> TeamShare:
        """The share with an amount more."""
        return TeamShare(self.cpus.plus(amount.cpus), self.accelerators.plus(amount.accelerators))

    def minus(self, amount: TeamAmount) -> TeamShare:
        """The share with an amount less."""
        return TeamShare(self.cpus.plus(amount.cpus, -1), self.accelerators.plus(amount.accelerators, -1))

    def nothing(self) -> TeamShare:
        """A share of the same limits that lets nothing start."""
        return TeamShare(_nothing_of(self.cpus), _nothing_of(self.accelerators))

    def quota(self, whole: TeamShare) -> TeamQuota:
        """What starts are planned against, given what the team has in all cells together."""
        return TeamQuota(
            _guaranteed(self.cpus, whole.cpus),
            _limit(self.cpus),
            _guaranteed(self.accelerators, whole.accelerators),
            _limit(self.accelerators),
        )


def _nothing_of(share: ResourceShare) -> ResourceShare:
    return ResourceShare(0, None if share.borrowable is None else 0)


def _guaranteed(share: ResourceShare, whole: ResourceShare) -> float | None:
    return from_units(share.guaranteed) if whole.guaranteed else None


def _limit(share: ResourceShare) -> float:
    return math.inf if share.limit is None else from_units(share.limit)


def whole_share(team: Team) -> TeamShare:
    """What the platform's settings give a team over all cells.

    Raises:
        ConfigError: it is guaranteed more than it may use.
    """
    return TeamShare(
        _whole(f"settings.teams.{team.name}.cpus", team.cpus, team.cpus_max),
        _whole(f"settings.teams.{team.name}.gpus", team.accelerators, team.accelerators_max),
    )


def _whole(field: str, guaranteed: float, limit: float) -> ResourceShare:
    if not limit:
        return ResourceShare(to_units(guaranteed), None)
    if guaranteed > limit:
        raise ConfigError(f"{field}: {guaranteed:g} guaranteed is above the limit of {limit:g}")
    return ResourceShare(to_units(guaranteed), to_units(limit) - to_units(guaranteed))


def check_limits(settings: Settings) -> None:
    """Raise `ConfigError` if a team's limit and guarantee can't be dealt out to cells."""
    for team in settings.deployment.teams:
        whole_share(team)


def reserve(first: TeamShare, part: float) -> TeamShare:
    """A part of a cell's first share, in whole CPUs and accelerators."""
    return TeamShare(_reserve(first.cpus, part), _reserve(first.accelerators, part))


def _reserve(first: ResourceShare, part: float) -> ResourceShare:
    borrowable = None if first.borrowable is None else _whole_units(first.borrowable * part)
    return ResourceShare(_whole_units(first.guaranteed * part), borrowable)


def _whole_units(amount: float) -> int:
    return int(amount) // UNIT * UNIT


def is_shared(whole: TeamShare) -> bool:
    """Whether the team has a limit or a guarantee at all."""
    return any(part.guaranteed or part.limit is not None for part in (whole.cpus, whole.accelerators))


def split(amount: int, weights: Mapping[str, int]) -> dict[str, int]:
    """Deal an amount out to cells by their weights, in whole units by largest remainder.

    What is below a whole unit goes to the cell that would get the next one.
    """
    units, fraction = divmod(amount, UNIT)
    total = sum(weights.values())
    dealt = {cell: units * weight // total for cell, weight in weights.items()}
    by_remainder = sorted(weights, key=lambda cell: (-(units * weights[cell] % total), cell))
    rest = units - sum(dealt.values())
    for cell in by_remainder[:rest]:
        dealt[cell] += 1
    result = {cell: count * UNIT for cell, count in dealt.items()}
    result[by_remainder[rest % len(by_remainder)]] += fraction
    return result


def seed(whole: TeamShare, weights: Mapping[str, int], cell: str) -> TeamShare:
    """The share that a cell begins with. Those of all cells add up to the whole exactly.

    Guarantees are dealt out first, and what may be borrowed above them by itself: largest remainders of the
    limit as a whole could leave a cell with a guarantee above its limit.
    """
    return TeamShare(_seed(whole.cpus, weights, cell), _seed(whole.accelerators, weights, cell))


def _seed(whole: ResourceShare, weights: Mapping[str, int], cell: str) -> ResourceShare:
    guaranteed = split(whole.guaranteed, weights)[cell]
    borrowable = None if whole.borrowable is None else split(whole.borrowable, weights)[cell]
    return ResourceShare(guaranteed, borrowable)
