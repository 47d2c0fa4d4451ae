"""The transfer requests to other cells, made from their last views."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from typing import NamedTuple

from poppyhold.options import Cells
from poppyhold.quota.demand import TeamDemand
from poppyhold.quota.ledger import AllocationLedger
from poppyhold.quota.messages import (
    PROTOCOL_VERSION,
    CellView,
    RemoteCellView,
    TeamView,
    TransferRequest,
    UnmetDemand,
)

# Teams per request; the following requests name the rest.
_MAX_DEMANDS_PER_REQUEST = 64


class _LastView(NamedTuple):
    """Another cell's last view, and when it was received."""

    view: CellView
    # Its teams by name.
    teams: dict[str, TeamView]
    received_at: float


class RemoteViews(NamedTuple):
    """The last views of the other cells, and the names of those without contact in this term."""

    views: list[RemoteCellView]
    uncontacted: list[str]


class _SourcedDemand(NamedTuple):
    """An unmet demand, and the cell from which to request it."""

    source: str
    unmet: UnmetDemand


class _Spare(NamedTuple):
    """A cell with a spare part of a team's allocation, and its view of that team."""

    cell: str
    view: TeamView


class TransferRequester:
    """Makes the requests to all other cells whenever something has changed."""

    def __init__(self, cells: Cells, ledger: AllocationLedger, clock: Callable[[], float]) -> None:
        self._cells, self._ledger, self._clock = cells, ledger, clock
        self._last_views: dict[str, _LastView] = {}
        # Since when each team's demand has been unmet.
        self._unmet_since: dict[str, float] = {}
        # The request to each other cell.
        self.requests: dict[str, TransferRequest] = {}

    def record_view(self, cell: str, view: CellView | None) -> None:
        """Record another cell's view of itself."""
        if view is not None:
            teams = {team.team: team for team in view.teams}
            self._last_views[cell] = _LastView(view, teams, self._clock())

    def remote_views(self) -> RemoteViews:
        """The other cells' last views, and the cells without contact in this term."""
        now = self._clock()
        names = [cell.name for cell in self._cells.others]
        contacted = [self._last_views[name] for name in names if name in self._last_views]
        views = [RemoteCellView(last.view, now - last.received_at) for last in contacted]
        return RemoteViews(views, [name for name in names if name not in self._last_views])

    def teams_with_unmet_demand(self) -> Iterable[str]:
        """Teams whose demand is unmet."""
        return self._unmet_since

    def unmet_s(self, team: str) -> float:
        """How long a team's demand has been unmet."""
        now = self._clock()
        return now - self._unmet_since.get(team, now)

    def unmet_for_longer_than(self, limit_s: float) -> list[str]:
        """Teams whose demand has been unmet for longer than ``limit_s``."""
        return sorted(team for team in self._unmet_since if self.unmet_s(team) > limit_s)

    def prepare(self, demands: Mapping[str, TeamDemand], view: CellView) -> None:
        """Make the request to each cell, for unmet demand that it may spare; ``view`` is this cell's own."""
        by_source = self._by_source(self._unmet_demands(demands))
        self.requests = {
            cell.name: self._request(cell.name, by_source.get(cell.name, []), view)
            for cell in self._cells.others
        }

    def _request(self, cell: str, unmet_demands: list[UnmetDemand], view: CellView) -> TransferRequest:
        peer = self._ledger.peers.get(cell)
        return TransferRequest(
            PROTOCOL_VERSION,
            self._cells.name,
            cell,
            self._cells.layout,
            self._ledger.incarnation,
            peer.incarnation if peer is not None else "",
            self._ledger.last_applied_from(cell),
            unmet_demands[:_MAX_DEMANDS_PER_REQUEST],
            view,
        )

    def _unmet_demands(self, demands: Mapping[str, TeamDemand]) -> list[UnmetDemand]:
        """All unmet demands: those within guarantees first, then those unmet for longest."""
        now = self._clock()
        unmet_demands: list[UnmetDemand] = []
        for team, record in self._ledger.records.items():
            demand = demands.get(team)
            unmet = demand.unmet(team, record.allocation, record.total) if demand is not None else None
            if unmet is not None:
                unmet_demands.append(unmet)
        self._unmet_since = {unmet.team: self._unmet_since.get(unmet.team, now) for unmet in unmet_demands}
        unmet_demands.sort(
            key=lambda unmet: (not unmet.is_guaranteed, self._unmet_since[unmet.team], unmet.team)
        )
        return unmet_demands

    def _by_source(self, unmet_demands: list[UnmetDemand]) -> dict[str, list[UnmetDemand]]:
        by_source: dict[str, list[UnmetDemand]] = {}
        for unmet in unmet_demands:
            for sourced in self._split_by_source(unmet):
                by_source.setdefault(sourced.source, []).append(sourced.unmet)
        return by_source

    def _split_by_source(self, unmet: UnmetDemand) -> list[_SourcedDemand]:
        """Split an unmet demand among the cells with spare amounts in their last views."""
        sourced = []
        for spare in self._cells_with_spare(unmet.team):
            sourced.append(_SourcedDemand(spare.cell, unmet))
            unmet = _rest(unmet, spare.view)
            if unmet.is_zero:
                break
        return sourced

    def _cells_with_spare(self, team: str) -> list[_Spare]:
        """The cells with a spare part of a team's allocation, the largest part first."""
        spares = []
        for cell, last in self._last_views.items():
            view = last.teams.get(team)
            if view is not None and (view.cpus_spare.limit or view.accelerators_spare.limit):
                spares.append(_Spare(cell, view))
        return sorted(
            spares,
            key=lambda spare: (
                -spare.view.accelerators_spare.limit,
                -spare.view.cpus_spare.limit,
                spare.cell,
            ),
        )


def _rest(unmet: UnmetDemand, view: TeamView) -> UnmetDemand:
    """The demand that remains unmet if a cell transfers all its spare amounts."""
    return UnmetDemand(
        unmet.team,
        max(0, unmet.cpus_guaranteed - view.cpus_spare.guaranteed),
        max(0, unmet.cpus_limit - view.cpus_spare.limit),
        max(0, unmet.accelerators_guaranteed - view.accelerators_spare.guaranteed),
        max(0, unmet.accelerators_limit - view.accelerators_spare.limit),
    )
