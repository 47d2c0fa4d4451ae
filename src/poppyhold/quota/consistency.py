"""Whether the allocations of all cells and the transfers between them add up to the teams' totals."""

from __future__ import annotations

from collections.abc import Iterator

from poppyhold.quota.amounts import (
    ResourceAllocation,
    ResourceAmount,
    TeamAllocation,
    TeamAmount,
    from_thousandths,
)
from poppyhold.quota.messages import CellView, PeerView
from poppyhold.quota.records import Transfer

# The name of each resource in settings and tables.
RESOURCES = ("cpus", "gpus")


def allocations_by_resource(allocation: TeamAllocation) -> tuple[ResourceAllocation, ResourceAllocation]:
    """The allocations of both resources, in the order of `RESOURCES`."""
    return allocation.cpus, allocation.accelerators


def amounts_by_resource(transfer: Transfer, team: str) -> tuple[ResourceAmount, ResourceAmount]:
    """A team's amounts of both resources in a transfer, in the order of `RESOURCES`."""
    amount = transfer.amounts.get(team, TeamAmount())
    return amount.cpus, amount.accelerators


def transfers_in_transit(views: dict[str, CellView]) -> list[Transfer]:
    """Transfers debited at the source and not yet credited at the destination, according to the views."""
    return [
        peer.in_transit
        for view in views.values()
        for peer in view.peers
        if peer.in_transit is not None
        and (peer.cell not in views or _last_applied(views[peer.cell], view.cell) < peer.in_transit.number)
    ]


def is_consistent_snapshot(views: dict[str, CellView]) -> bool:
    """Whether the views, which are of different times, agree on each transfer and so can be added up."""
    return all(
        _counters_match(_peer_view(source, destination.cell), _last_applied(destination, source.cell))
        for source in views.values()
        for destination in views.values()
        if source is not destination
    )


def _peer_view(view: CellView, destination: str) -> PeerView:
    return next((peer for peer in view.peers if peer.cell == destination), PeerView(destination, 0, 0))


def _counters_match(peer: PeerView, last_applied: int) -> bool:
    """Whether the numbers of the last transfer sent and applied agree, apart from one in transit."""
    if peer.in_transit is not None and last_applied == peer.last_sent - 1:
        return True
    return last_applied == peer.last_sent


def _last_applied(view: CellView, source: str) -> int:
    return next((peer.last_applied for peer in view.peers if peer.cell == source), 0)


def problems(views: dict[str, CellView]) -> list[str]:
    """Each reason why the allocations don't add up. ``views`` is a consistent snapshot of all cells."""
    in_transit = transfers_in_transit(views)
    teams = sorted({team.team for view in views.values() for team in view.teams})
    return [line for team in teams for line in _team_problems(team, views, in_transit)]


def _team_problems(team: str, views: dict[str, CellView], in_transit: list[Transfer]) -> Iterator[str]:
    team_views = [view for cell in views.values() for view in cell.teams if view.team == team]
    if len(team_views) < len(views):
        yield f"team {team}: has no allocation in {len(views) - len(team_views)} cells"
    if any(view.total != team_views[0].total for view in team_views):
        yield f"team {team}: cells began with different figures"
        return
    for index, name in enumerate(RESOURCES):
        total = allocations_by_resource(team_views[0].total)[index]
        amounts = [amounts_by_resource(transfer, team)[index] for transfer in in_transit]
        allocations = [allocations_by_resource(view.allocation)[index] for view in team_views]
        guaranteed = sum(each.guaranteed for each in allocations) + sum(each.guaranteed for each in amounts)
        borrowable = sum(each.borrowable or 0 for each in allocations)
        borrowable += sum(each.borrowable for each in amounts)
        if guaranteed != total.guaranteed:
            found, expected = from_thousandths(guaranteed), from_thousandths(total.guaranteed)
            yield f"team {team}, {name}: guarantees add up to {found:g} of {expected:g}"
        if total.limit is not None and guaranteed + borrowable != total.limit:
            found, expected = from_thousandths(guaranteed + borrowable), from_thousandths(total.limit)
            yield f"team {team}, {name}: limits add up to {found:g} of {expected:g}"
