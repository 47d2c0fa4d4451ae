"""What a cell asks the others for, by what they said last."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from typing import NamedTuple

from poppyhold.options import Cells
from poppyhold.quota.demand import TeamDemand
from poppyhold.quota.messages import (
    PROTOCOL_VERSION,
    CellView,
    HeardView,
    ShareRequest,
    TeamView,
    Want,
)
from poppyhold.quota.share_book import ShareBook

# Teams that a request names at the most: the next one names the rest.
_MOST_WANTS = 64


class _Heard(NamedTuple):
    """What another cell said last, and when."""

    view: CellView
    # Its teams by name.
    teams: dict[str, TeamView]
    at: float


class Asking:
    """The requests to all other cells, made anew whenever something has changed."""

    def __init__(self, cells: Cells, book: ShareBook, clock: Callable[[], float]) -> None:
        self._cells, self._book, self._clock = cells, book, clock
        self._heard: dict[str, _Heard] = {}
        # Since when a team's work waits for a larger share.
        self._short_since: dict[str, float] = {}
        # What to ask each other cell now.
        self.requests: dict[str, ShareRequest] = {}

    def heard(self, cell: str, view: CellView | None) -> None:
        """Another cell told how it stands."""
        if view is not None:
            teams = {team.team: team for team in view.teams}
            self._heard[cell] = _Heard(view, teams, self._clock())

    def others(self) -> tuple[list[HeardView], list[str]]:
        """The other cells as they were heard last, and those that never were."""
        now = self._clock()
        names = [cell.name for cell in self._cells.others]
        heard = [(name, self._heard[name]) for name in names if name in self._heard]
        views = [HeardView(last.view, now - last.at) for _, last in heard]
        return views, [name for name in names if name not in self._heard]

    def short_teams(self) -> Iterable[str]:
        """Teams whose work waits for a larger share."""
        return self._short_since

    def waited_s(self, team: str) -> float:
        """How many seconds a team's work has waited for a larger share."""
        now = self._clock()
        return now - self._short_since.get(team, now)

    def short(self, longer_than_s: float) -> list[str]:
        """Teams whose work has waited for longer than that."""
        return sorted(team for team in self._short_since if self.waited_s(team) > longer_than_s)

    def prepare(self, demands: Mapping[str, TeamDemand], view: CellView) -> None:
        """Ask each cell for what it can spare of what is wanted here; ``view`` is how this cell stands."""
        wants = self._by_cell(self._wants(demands))
        self.requests = {cell.name: self._request(cell.name, wants, view) for cell in self._cells.others}

    def _request(self, cell: str, wants: Mapping[str, list[Want]], view: CellView) -> ShareRequest:
        peer = self._book.peers.get(cell)
        return ShareRequest(
            PROTOCOL_VERSION,
            self._cells.name,
            cell,
            self._cells.layout,
            self._book.incarnation,
            peer.incarnation if peer is not None else "",
            self._book.applied(cell),
            wants.get(cell, [])[:_MOST_WANTS],
            view,
        )

    def _wants(self, demands: Mapping[str, TeamDemand]) -> list[Want]:
        """What waits for a larger share: guaranteed need first, then what has waited longest."""
        now = self._clock()
        wants: list[Want] = []
        for team, record in self._book.records.items():
            demand = demands.get(team)
            want = demand.want(team, record.share, record.whole) if demand is not None else None
            if want is not None:
                wants.append(want)
        self._short_since = {want.team: self._short_since.get(want.team, now) for want in wants}
        wants.sort(key=lambda want: (not want.is_guaranteed, self._short_since[want.team], want.team))
        return wants

    def _by_cell(self, wants: list[Want]) -> dict[str, list[Want]]:
        by_cell: dict[str, list[Want]] = {}
        for want in wants:
            for cell, part in self._dealt(want):
                by_cell.setdefault(cell, []).append(part)
        return by_cell

    def _dealt(self, want: Want) -> list[tuple[str, Want]]:
        """A want dealt out to the cells that could spare some of it when they were last heard."""
        dealt = []
        for cell, view in self._with_spare(want.team):
            dealt.append((cell, want))
            want = _rest(want, view)
            if want.is_nothing:
                break
        return dealt

    def _with_spare(self, team: str) -> list[tuple[str, TeamView]]:
        """The cells that can spare some of a team's share, the most first."""
        spares = []
        for cell, heard in self._heard.items():
            view = heard.teams.get(team)
            if view is not None and (view.cpus_spare.limit or view.accelerators_spare.limit):
                spares.append((cell, view))
        return sorted(
            spares,
            key=lambda pair: (-pair[1].accelerators_spare.limit, -pair[1].cpus_spare.limit, pair[0]),
        )


def _rest(want: Want, view: TeamView) -> Want:
    """What is still wanted when a cell gives all that it can spare."""
    return Want(
        want.team,
        max(0, want.cpus_guaranteed - view.cpus_spare.guaranteed),
        max(0, want.cpus_limit - view.cpus_spare.limit),
        max(0, want.accelerators_guaranteed - view.accelerators_spare.guaranteed),
        max(0, want.accelerators_limit - view.accelerators_spare.limit),
    )
