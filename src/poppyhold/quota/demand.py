"""The demand of teams in one cell: used, pending, spare and unmet amounts.

All amounts are in thousandths of a CPU or an accelerator.
"""

from __future__ import annotations

import math
from typing import NamedTuple

import msgspec

from poppyhold.quota.amounts import ResourceAllocation, ResourceAmount, TeamAllocation
from poppyhold.quota.messages import UnmetDemand


class UnmetAmount(NamedTuple):
    """The amounts of one resource that pending work lacks: of the guarantee, and of the limit in total."""

    guaranteed: int
    limit: int


class ResourceDemand(msgspec.Struct):
    """One resource of one team, in thousandths."""

    # Use by known tasks; and its upper bound, which includes what unreconciled machines may run.
    used: int = 0
    possible_use: int = 0
    # Pending tasks that fit some machine type; and those of them that fit free capacity or machines that can
    # be launched.
    pending: int = 0
    startable: int = 0
    # The recent peak of use.
    peak: int = 0

    def retained(self, pending: int, is_stalled: bool) -> int:
        """The amount to keep: possible use, plus ``pending`` unless stalled; at least the recent peak."""
        return max(self.possible_use if is_stalled else self.possible_use + pending, self.peak)

    def spare(self, allocation: ResourceAllocation, is_stalled: bool) -> ResourceAmount:
        """The part of an allocation that can be transferred to other cells."""
        # Pending work without free capacity can't use more of the limit now; a guarantee preempts other work.
        retained = self.retained(self.startable, is_stalled)
        retained_guarantee = self.retained(self.pending, is_stalled)
        idle = math.inf if allocation.limit is None else max(0, allocation.limit - retained)
        guaranteed = int(min(max(0, allocation.guaranteed - retained_guarantee), idle))
        return ResourceAmount(guaranteed, int(min(allocation.borrowable or 0, idle - guaranteed)))

    def unmet(self, allocation: ResourceAllocation, total: ResourceAllocation) -> UnmetAmount:
        """The amounts that pending work lacks."""
        guaranteed = min(self.used + self.pending, total.guaranteed) - allocation.guaranteed
        limit = 0 if allocation.limit is None else self.used + self.startable - allocation.limit
        return UnmetAmount(max(0, guaranteed) if self.pending else 0, max(0, limit) if self.startable else 0)

    def is_pending_despite_idle(self, allocation: ResourceAllocation) -> bool:
        """Whether work is pending although a part of the allocation is idle."""
        return self.pending > 0 and allocation.limit is not None and allocation.limit > self.possible_use


class TeamDemand(msgspec.Struct):
    """Both resources of one team."""

    cpus: ResourceDemand = msgspec.field(default_factory=ResourceDemand)
    accelerators: ResourceDemand = msgspec.field(default_factory=ResourceDemand)
    # Work has long been pending although a part of the allocation is idle, as with a gang that needs more.
    is_stalled: bool = False

    def unmet(self, team: str, allocation: TeamAllocation, total: TeamAllocation) -> UnmetDemand | None:
        """The amounts to request from other cells; None if there are none."""
        cpus = self.cpus.unmet(allocation.cpus, total.cpus)
        accelerators = self.accelerators.unmet(allocation.accelerators, total.accelerators)
        unmet = UnmetDemand(team, cpus.guaranteed, cpus.limit, accelerators.guaranteed, accelerators.limit)
        return None if unmet.is_zero else unmet
