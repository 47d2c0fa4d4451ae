"""The teams' limits and guarantees that starts are planned against."""

from __future__ import annotations

import math
from collections.abc import Iterable
from typing import NamedTuple

import msgspec

from poppyhold.model.entities import Job
from poppyhold.model.resources import ACCELERATORS, CPUS, EPSILON, Resources
from poppyhold.settings import Team


class TeamQuota(msgspec.Struct, frozen=True):
    """What one team may use, in CPUs and accelerators.

    A limit of ``math.inf`` is none at all, and one of 0 lets nothing start. A guarantee of None says nothing
    of that resource, and one of 0 covers nothing of it.
    """

    cpus_guaranteed: float | None = None
    cpus_limit: float = math.inf
    accelerators_guaranteed: float | None = None
    accelerators_limit: float = math.inf

    @classmethod
    def from_settings(cls, team: Team) -> TeamQuota:
        """The quota that the platform's settings give a team; there 0 means none."""
        return cls(
            team.cpus or None,
            team.cpus_max or math.inf,
            team.accelerators or None,
            team.accelerators_max or math.inf,
        )

    @property
    def has_guarantee(self) -> bool:
        """Whether the team is guaranteed anything."""
        return bool(self.cpus_guaranteed or self.accelerators_guaranteed)

    def covers(self, cpus: float, accelerators: float) -> bool:
        """Whether an amount fits into what the team is guaranteed."""
        # A guarantee of accelerators alone covers work that needs none of them.
        return (
            self.has_guarantee
            and (accelerators > 0 or cpus > 0)
            and _fits(accelerators, self.accelerators_guaranteed)
            and _fits(cpus, self.cpus_guaranteed)
        )


def _fits(amount: float, guaranteed: float | None) -> bool:
    return guaranteed is None or amount <= guaranteed + EPSILON


class QuotaExcess(NamedTuple):
    """By how much one more task would go beyond a team's limit."""

    cpus: float
    accelerators: float


class RemainingQuota(NamedTuple):
    """What a team's limit leaves beside what the team uses."""

    cpus: float
    accelerators: float


class Quotas:
    """The quotas of all teams."""

    def __init__(self, teams: Iterable[Team]) -> None:
        self._teams = {team.name: TeamQuota.from_settings(team) for team in teams}

    def set(self, team: str, quota: TeamQuota) -> None:
        """Let another quota hold for a team."""
        self._teams[team] = quota

    def is_known(self, team: str) -> bool:
        """Whether the team exists."""
        return team in self._teams

    def has_guarantee(self, team: str) -> bool:
        """Whether the team is guaranteed anything."""
        quota = self._teams.get(team)
        return quota is not None and quota.has_guarantee

    def fits_limit(self, team: str, need: Resources, tasks: int) -> bool:
        """Whether so many tasks stay within the team's limit."""
        quota = self._teams[team]
        return (
            need[CPUS] * tasks <= quota.cpus_limit + EPSILON
            and need[ACCELERATORS] * tasks <= quota.accelerators_limit + EPSILON
        )

    def allows(self, team: str, used: tuple[float, float], need: Resources) -> bool:
        """Whether one more task stays within the team's limit.

        A task takes nothing of a resource that it does not need, whatever else may be in use of it: after a
        change of leader all accelerators of machines that are not reconciled yet count for every team, and
        urgent work that needs none waited until the last of 4,000 machines was reconciled.
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
        """What the team's limit leaves beside what is used."""
        quota = self._teams.get(team)
        if quota is None:
            return RemainingQuota(0.0, 0.0)
        return RemainingQuota(quota.cpus_limit - used[CPUS], quota.accelerators_limit - used[ACCELERATORS])

    def excess(self, team: str, used: tuple[float, float], need: Resources) -> QuotaExcess:
        """By how much one more task would go beyond the team's limit."""
        quota = self._teams[team]
        return QuotaExcess(
            max(0.0, used[CPUS] + need[CPUS] - quota.cpus_limit) if need[CPUS] > 0 else 0.0,
            max(0.0, used[ACCELERATORS] + need[ACCELERATORS] - quota.accelerators_limit)
            if need[ACCELERATORS] > 0
            else 0.0,
        )

    def within_guarantee(self, team: str, cpus: float, accelerators: float) -> bool:
        """Whether an amount fits into what the team is guaranteed."""
        quota = self._teams.get(team)
        return quota is not None and quota.covers(cpus, accelerators)

    def mark_guaranteed(self, jobs: Iterable[Job]) -> None:
        """Mark the jobs that fit into their team's guarantee, highest priority and earliest first.

        Once one does not fit, none after it is marked: so within a team no job of a lower priority is
        guaranteed what one of a higher priority is not, and preemption has no cycles.
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
