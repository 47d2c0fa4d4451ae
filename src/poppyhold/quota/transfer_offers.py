"""What this cell can transfer to others: the idle part of its allocations beyond its reserve."""

from __future__ import annotations

from collections.abc import Mapping

from poppyhold.quota.amounts import ResourceAmount, TeamAllocation, TeamAmount
from poppyhold.quota.demand import TeamDemand
from poppyhold.quota.messages import UnmetDemand


class TransferOffers:
    """Computes what can be spared of an allocation, and what of it to offer for an unmet demand."""

    def __init__(self, cell: str, reserves: Mapping[str, TeamAllocation]) -> None:
        """``reserves``: by team, the part of its first allocation that the cell keeps."""
        self._cell, self._reserves = cell, reserves

    def offer(
        self, unmet: UnmetDemand, destination: str, allocation: TeamAllocation, demand: TeamDemand
    ) -> TeamAmount:
        """The part of a cell's unmet demand that is idle here.

        Of two cells whose work is stalled, only the one whose name sorts last treats its part as idle.
        """
        is_stalled = demand.is_stalled and destination < self._cell
        spare = self.spare(unmet.team, allocation, demand, is_stalled)
        return TeamAmount(
            _offered(spare.cpus, unmet.cpus_guaranteed, unmet.cpus_limit),
            _offered(spare.accelerators, unmet.accelerators_guaranteed, unmet.accelerators_limit),
        )

    def spare(
        self, team: str, allocation: TeamAllocation, demand: TeamDemand, is_stalled: bool
    ) -> TeamAmount:
        """What can be transferred of both resources: neither what the cell retains nor its reserve."""
        reserved = self._reserves.get(team, TeamAllocation())
        return TeamAmount(
            demand.cpus.spare(allocation.cpus, is_stalled).capped_at(
                allocation.cpus.excess_over(reserved.cpus)
            ),
            demand.accelerators.spare(allocation.accelerators, is_stalled).capped_at(
                allocation.accelerators.excess_over(reserved.accelerators)
            ),
        )


def _offered(spare: ResourceAmount, guaranteed: int, limit: int) -> ResourceAmount:
    """The part of a spare amount that is requested: guaranteed first, then borrowable."""
    offered = min(spare.guaranteed, max(0, guaranteed))
    rest = max(0, limit - offered)
    borrowable = min(spare.borrowable, rest)
    # The limit may be guaranteed as a whole: then the guarantee is transferred with it.
    offered += min(spare.guaranteed - offered, rest - borrowable)
    return ResourceAmount(offered, borrowable)
