"""Quotas of teams: limits and guarantees that scheduling enforces."""

from __future__ import annotations

import math
from collections.abc import Iterable
from typing import NamedTuple

import msgspec

from poppyhold.model.entities import Job
from poppyhold.model.resources import ACCELERATORS, CPUS, EPSILON, Resources
from poppyhold.settings import Team


class TeamQuota(msgspec.Struct, frozen=True):
    """Limits and guarantees of one team in CPUs and accelerators.

    A limit of ``math.inf`` means unlimited, and one of 0 lets nothing start. A guarantee of None leaves the
    resource unrestricted, and one of 0 covers none of it.
    """

    cpus_guaranteed: float | None = None
    cpus_limit: float = math.inf
    accelerators_guaranteed: float | None = None
    accelerators_limit: float = math.inf

    @classmethod
    def from_settings(cls, team: Team) -> TeamQuota:
        """Return a team's quota from the platform's settings, where 0 stands for no limit or guarantee."""
        return cls(
            team.cpus or None,
            team.cpus_max or math.inf,
            team.accelerators or None,
            team.accelerators_max or math.inf,
        )

    @property
    def has_guarantee(self) -> bool:
        """Return whether the team has any guarantee."""
        return bool(self.cpus_guaranteed or self.accelerators_guaranteed)

    def covers(self, cpus: float, accelerators: float) -> bool:
        """Return whether an amount is within the team's guarantee."""
        # A guarantee of accelerators alone also covers work that needs no accelerators.
        return (
            self.has_guarantee
            and (accelerators > 0 or cpus > 0)
            and _fits(accelerators, self.accelerators_guaranteed)
            and _fits(cpus, self.cpus_guaranteed)
        )


def _fits(amount: float, guaranteed: float | None) -> bool:
    return guaranteed is None or amount <= guaranteed + EPSILON


class QuotaExcess(NamedTuple):
    """Amounts by which one more task would exceed a team's limit."""

    cpus: float
    accelerators: float


class RemainingQuota(NamedTuple):
    """The part of a team's limit that is not in use."""

    cpus: float
    accelerators: float


class Quotas:
    """The quotas of all teams."""

    def __init__(self, teams: Iterable[Team]) -> None:
        self._teams = {team.name: TeamQuota.from_settings(team) for team in teams}

    def set(self, team: str, quota: TeamQuota) -> None:
        """Replace the quota of a team."""
        self._teams[team] = quota

    def is_known(self, team: str) -> bool:
        """Return whether the team exists."""
        return team in self._teams

    def has_guarantee(self, team: str) -> bool:
        """Return whether the team has any guarantee."""
        quota = self._teams.get(team)
        return quota is not None and quota.has_guarantee

    def fits_limit(self, team: str, need: Resources, tasks: int) -> bool:
        """Return whether ``tasks`` tasks fit the limit of a team that uses nothing else."""
        quota = self._teams[team]
        return (
            need[CPUS] * tasks <= quota.cpus_limit + EPSILON
            and need[ACCELERATORS] * tasks <= quota.accelerators_limit + EPSILON
        )

    def allows(self, team: str, used: tuple[float, float], need: Resources) -> bool:
        """Return whether one more task stays within the team's limit.

        Resources that the task does not need are not checked. After a change of leader, accelerators of
        unreconciled machines count against every team, and urgent work that needs none would wait until the
        last of 4,000 machines is reconciled.
        """
        quota = self._teams.get(team)
        if quota is None:
            return False
        return not (
            (need[CPUS] > 0 and used[CPUS] + need[CPUS] > quota.cpus_limit + EPSILON)
            or (
                need[ACCELERATORS] > 0
                and used[ACCELERATORS] + need[ACCELERATORS] > quota.accelerators_limit + EPSILON
            )
        )

    def remaining(self, team: str, used: list[float]) -> RemainingQuota:
        """Return the part of the team's limit beyond ``used``."""
        quota = self._teams.get(team)
        if quota is None:
            return RemainingQuota(0.0, 0.0)
        return RemainingQuota(quota.cpus_limit - used[CPUS], quota.accelerators_limit - used[ACCELERATORS])

    def excess(self, team: str, used: tuple[float, float], need: Resources) -> QuotaExcess:
        """Return the amounts by which one more task would exceed the team's limit."""
        quota = self._teams[team]
        return QuotaExcess(
            max(0.0, used[CPUS] + need[CPUS] - quota.cpus_limit) if need[CPUS] > 0 else 0.0,
            max(0.0, used[ACCELERATORS] + need[ACCELERATORS] - quota.accelerators_limit)
            if need[ACCELERATORS] > 0
            else 0.0,
        )

    def within_guarantee(self, team: str, cpus: float, accelerators: float) -> bool:
        """Return whether an amount is within the team's guarantee."""
        quota = self._teams.get(team)
        return quota is not None and quota.covers(cpus, accelerators)

    def mark_guaranteed(self, jobs: Iterable[Job]) -> None:
        """Mark the jobs within their team's guarantee, in order of priority, submission time and id.

        Once the jobs of a team exceed its guarantee, no later one is marked. So within a team no job is
        guaranteed while one of higher priority is not, and preemption has no cycles.
        """
        sums: dict[str, list[float]] = {}
        full: set[str] = set()
        for job in sorted(jobs, key=lambda job: (job.priority, job.submitted_at, job.id)):
            team = job.spec.team
            total = sums.setdefault(team, [0.0, 0.0])
            total[CPUS] += job.task_resources[CPUS] * job.spec.tasks
            total[ACCELERATORS] += job.task_resources[ACCELERATORS] * job.spec.tasks
            if team not in full and not self.within_guarantee(team, total[CPUS], total[ACCELERATORS]):
                full.add(team)
            job.within_guarantee = team not in full
