"""The view of a cell that is sent to other cells and to operators."""

from __future__ import annotations

from collections.abc import Mapping

from poppyhold.model.fleet import Fleet
from poppyhold.model.resources import ACCELERATORS, CPUS
from poppyhold.quota.alarms import Alarms
from poppyhold.quota.amounts import TeamAmount, to_thousandths
from poppyhold.quota.demand import TeamDemand
from poppyhold.quota.ledger import AllocationLedger
from poppyhold.quota.messages import CellView, PeerView, TeamView
from poppyhold.quota.records import AllocationRecord
from poppyhold.quota.transfer_offers import TransferOffers


class CellViewBuilder:
    """Builds the view of this cell, and caches it until something changes."""

    def __init__(
        self, cell: str, ledger: AllocationLedger, fleet: Fleet, offers: TransferOffers, alarms: Alarms
    ) -> None:
        self._cell, self._ledger, self._fleet = cell, ledger, fleet
        self._offers, self._alarms = offers, alarms
        self._current: CellView | None = None

    def invalidate(self) -> None:
        """Discard the cached view after a change."""
        self._current = None

    def current(self, demands: Mapping[str, TeamDemand]) -> CellView:
        """The view as of the last change."""
        if self._current is None:
            self._current = self._build(demands)
        return self._current

    def _build(self, demands: Mapping[str, TeamDemand]) -> CellView:
        teams = [
            self._team_view(team, record, demands.get(team)) for team, record in self._ledger.records.items()
        ]
        peers = [
            PeerView(cell, peer.last_sent, peer.last_applied, peer.in_transit)
            for cell, peer in self._ledger.peers.items()
        ]
        return CellView(self._cell, self._ledger.incarnation, teams, peers, self._alarms.texts())

    def _team_view(self, team: str, record: AllocationRecord, demand: TeamDemand | None) -> TeamView:
        used = self._fleet.used_by_team.get(team, [0.0, 0.0])
        spare = TeamAmount()
        if demand is not None:
            spare = self._offers.spare(team, record.allocation, demand, demand.is_stalled)
        return TeamView(
            team,
            record.allocation,
            record.total,
            to_thousandths(used[CPUS]),
            to_thousandths(used[ACCELERATORS]),
            spare.cpus,
            spare.accelerators,
        )
