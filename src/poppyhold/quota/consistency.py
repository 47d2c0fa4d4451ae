"""Whether the shares of all cells, and what is on its way between them, add up to what the teams have."""

from __future__ import annotations

from collections.abc import Iterator

from poppyhold.quota.amounts import ResourceAllocation, ResourceAmount, TeamAllocation, TeamAmount, from_units
from poppyhold.quota.messages import CellView, PeerView
from poppyhold.quota.records import Transfer

# Name of each resource, as settings and tables have it.
RESOURCES = ("cpus", "gpus")


def parts_of(share: TeamAllocation) -> tuple[ResourceAllocation, ResourceAllocation]:
    """Both resources of a share, in the order of `RESOURCES`."""
    return share.cpus, share.accelerators


def amounts_of(transfer: Transfer, team: str) -> tuple[ResourceAmount, ResourceAmount]:
    """Both resources of what moves of a team's share, in the order of `RESOURCES`."""
    amount = transfer.amounts.get(team, TeamAmount())
    return amount.cpus, amount.accelerators


def transfers_in_transit(views: dict[str, CellView]) -> list[Transfer]:
    """Transfers that have left one cell and have not reached the other, as far as the views tell."""
    return [
        peer.in_transit
        for view in views.values()
        for peer in view.peers
        if peer.in_transit is not None
        and (peer.cell not in views or _applied(views[peer.cell], view.cell) < peer.in_transit.number)
    ]


def are_of_one_moment(views: dict[str, CellView]) -> bool:
    """Whether the views can be added up: cells are heard at different moments, and shares move meanwhile."""
    return all(
        _agree(_given(giver, taker.cell), _applied(taker, giver.cell))
        for giver in views.values()
        for taker in views.values()
        if giver is not taker
    )


def _given(view: CellView, taker: str) -> PeerView:
    return next((peer for peer in view.peers if peer.cell == taker), PeerView(taker, 0, 0))


def _agree(peer: PeerView, applied: int) -> bool:
    """Whether what a cell gave another, and what that one took, are of one moment."""
    if peer.in_transit is not None and applied == peer.sent - 1:
        return True
    return applied == peer.sent


def _applied(view: CellView, giver: str) -> int:
    return next((peer.applied for peer in view.peers if peer.cell == giver), 0)


def problems(views: dict[str, CellView]) -> list[str]:
    """Why the cells' shares don't add up, a line each. ``views`` are those of all cells, of one moment."""
    moving = transfers_in_transit(views)
    teams = sorted({team.team for view in views.values() for team in view.teams})
    return [line for team in teams for line in _team_problems(team, views, moving)]


def _team_problems(team: str, views: dict[str, CellView], moving: list[Transfer]) -> Iterator[str]:
    held = [view for cell in views.values() for view in cell.teams if view.team == team]
    if len(held) < len(views):
        yield f"team {team}: has no share in {len(views) - len(held)} cells"
    if any(view.total != held[0].total for view in held):
        yield f"team {team}: cells began with different figures"
        return
    for index, name in enumerate(RESOURCES):
        whole = parts_of(held[0].total)[index]
        amounts = [amounts_of(each, team)[index] for each in moving]
        shares = [parts_of(view.allocation)[index] for view in held]
        guaranteed = sum(share.guaranteed for share in shares) + sum(each.guaranteed for each in amounts)
        borrowable = sum(share.borrowable or 0 for share in shares) + sum(each.borrowable for each in amounts)
        if guaranteed != whole.guaranteed:
            found, right = from_units(guaranteed), from_units(whole.guaranteed)
            yield f"team {team}, {name}: guarantees add up to {found:g} of {right:g}"
        if whole.limit is not None and guaranteed + borrowable != whole.limit:
            found, right = from_units(guaranteed + borrowable), from_units(whole.limit)
            yield f"team {team}, {name}: limits add up to {found:g} of {right:g}"
