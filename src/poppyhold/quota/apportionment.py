"""The initial division of the teams' limits and guarantees among the cells."""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from poppyhold.configuration_checks import ConfigError
from poppyhold.quota.amounts import UNIT, ResourceAllocation, TeamAllocation, to_thousandths
from poppyhold.settings import Settings, Team


class InitialAllocation(NamedTuple):
    """A team's initial allocation in one cell, and its total over all cells."""

    allocation: TeamAllocation
    total: TeamAllocation


def total_allocation(team: Team) -> TeamAllocation:
    """A team's limits and guarantees over all cells, from the platform's settings.

    Raises:
        ConfigError: a guarantee exceeds its limit.

    """
    return TeamAllocation(
        _total(f"settings.teams.{team.name}.cpus", team.cpus, team.cpus_max),
        _total(f"settings.teams.{team.name}.gpus", team.accelerators, team.accelerators_max),
    )


def _total(field: str, guaranteed: float, limit: float) -> ResourceAllocation:
    if not limit:
        return ResourceAllocation(to_thousandths(guaranteed), None)
    if guaranteed > limit:
        raise ConfigError(f"{field}: {guaranteed:g} guaranteed is above the limit of {limit:g}")
    return ResourceAllocation(to_thousandths(guaranteed), to_thousandths(limit) - to_thousandths(guaranteed))


def check_limits(settings: Settings) -> None:
    """Raise `ConfigError` if a team's limit and guarantee cannot be divided among cells."""
    for team in settings.deployment.teams:
        total_allocation(team)


def initial_reserve(initial: TeamAllocation, ratio: float) -> TeamAllocation:
    """The part of a cell's initial allocation that it never transfers, in whole CPUs and accelerators."""
    return TeamAllocation(_reserve(initial.cpus, ratio), _reserve(initial.accelerators, ratio))


def _reserve(initial: ResourceAllocation, ratio: float) -> ResourceAllocation:
    borrowable = None if initial.borrowable is None else _whole_units(initial.borrowable * ratio)
    return ResourceAllocation(_whole_units(initial.guaranteed * ratio), borrowable)


def _whole_units(amount: float) -> int:
    return int(amount) // UNIT * UNIT


def has_quota(total: TeamAllocation) -> bool:
    """Whether the team has any limit or guarantee."""
    return any(part.guaranteed or part.limit is not None for part in (total.cpus, total.accelerators))


def apportion(amount: int, weights: Mapping[str, int]) -> dict[str, int]:
    """Divide an amount among cells by weight, in whole units by the largest remainder method.

    A fraction of a unit goes to the cell that would get the next unit.
    """
    units, fraction = divmod(amount, UNIT)
    total_weight = sum(weights.values())
    counts = {cell: units * weight // total_weight for cell, weight in weights.items()}
    by_remainder = sorted(weights, key=lambda cell: (-(units * weights[cell] % total_weight), cell))
    rest = units - sum(counts.values())
    for cell in by_remainder[:rest]:
        counts[cell] += 1
    amounts = {cell: count * UNIT for cell, count in counts.items()}
    amounts[by_remainder[rest % len(by_remainder)]] += fraction
    return amounts


def initial_allocation(total: TeamAllocation, weights: Mapping[str, int], cell: str) -> TeamAllocation:
    """A cell's initial allocation. Those of all cells add up to the total exactly.

    Guarantees and the borrowable amounts above them are apportioned separately: apportioning the whole limit
    by largest remainder could leave a cell with a guarantee above its limit.
    """
    return TeamAllocation(_initial(total.cpus, weights, cell), _initial(total.accelerators, weights, cell))


def _initial(total: ResourceAllocation, weights: Mapping[str, int], cell: str) -> ResourceAllocation:
    guaranteed = apportion(total.guaranteed, weights)[cell]
    borrowable = None if total.borrowable is None else apportion(total.borrowable, weights)[cell]
    return ResourceAllocation(guaranteed, borrowable)
