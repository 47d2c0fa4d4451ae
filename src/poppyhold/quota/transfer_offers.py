"""The amounts that this cell can transfer to others: the idle part of its allocations above its reserve."""

from __future__ import annotations

from collections.abc import Mapping

from poppyhold.quota.amounts import ResourceAmount, TeamAllocation, TeamAmount
from poppyhold.quota.demand import TeamDemand
from poppyhold.quota.messages import UnmetDemand


class TransferOffers:
    """Computes the spare part of an allocation, and the part of it to offer for an unmet demand."""

    def __init__(self, cell: str, reserves: Mapping[str, TeamAllocation]) -> None:
        """``reserves``: by team, the part of the initial allocation that the cell never transfers."""
        self._cell, self._reserves = cell, reserves

    def offer(
        self, unmet: UnmetDemand, destination: str, allocation: TeamAllocation, demand: TeamDemand
    ) -> TeamAmount:
        """The part of another cell's unmet demand that this cell can transfer.

        Of two cells with stalled work, only the one whose name sorts last treats its own part as idle.
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
        """The amounts above both what the cell retains and its reserve."""
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
    """The requested part of a spare amount: guaranteed first, then borrowable."""
    offered = min(spare.guaranteed, max(0, guaranteed))
    rest = max(0, limit - offered)
    borrowable = min(spare.borrowable, rest)
    # A limit may consist of the guarantee alone: transferring limit then includes spare guarantee.
    offered += min(spare.guaranteed - offered, rest - borrowable)
    return ResourceAmount(offered, borrowable)
