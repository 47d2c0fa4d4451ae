"""`poppyhold quota status`: the teams' allocations in all cells, as one cell's leader knows them."""

from __future__ import annotations

from collections.abc import Iterator

import msgspec

from poppyhold.quota.amounts import from_thousandths
from poppyhold.quota.consistency import (
    RESOURCES,
    allocations_by_resource,
    amounts_by_resource,
    is_consistent_snapshot,
    problems,
    transfers_in_transit,
)
from poppyhold.quota.link import exchange
from poppyhold.quota.messages import CellView, NotLeading, StatusRequest, StatusResponse, TeamView
from poppyhold.quota.records import Transfer
from poppyhold.settings import Settings

# Exit statuses. ALARM: an alarm is active, allocations don't add up, or no leader could be reached.
OK, ALARM = 0, 1
_HEADING = f"  {'team':<24} {'':<5} {'guarantee':>10} {'limit':>10} {'used':>10} {'in transit':>10}"


class NoLeaderError(Exception):
    """No controller of the cell leads, or none could be reached."""


class ResourceStatus(msgspec.Struct, frozen=True):
    """One resource of one team in one cell, in CPUs or accelerators; a limit of None means no limit."""

    team: str
    resource: str
    guaranteed: float
    limit: float | None
    used: float
    # In transit to this cell.
    in_transit: float


class CellStatus(msgspec.Struct, frozen=True):
    """One cell, and the age of its view in seconds; 0 for the cell that responded."""

    cell: str
    age_s: float
    teams: list[ResourceStatus]
    alarms: list[str]


class QuotaStatus(msgspec.Struct, frozen=True):
    """The status of all cells, as the leader of one of them knows them."""

    cells: list[CellStatus]
    uncontacted: list[str] = msgspec.field(name="unheard")
    short: list[str]
    differing: list[str]
    problems: list[str]
    # Whether the views are a complete and consistent snapshot, so that they were added up.
    added_up: bool

    @property
    def exit_status(self) -> int:
        """The exit status of the command."""
        return ALARM if self.problems or any(cell.alarms for cell in self.cells) else OK


def fetch(settings: Settings) -> StatusResponse:
    """Fetch the status from the leader of the cell that the settings belong to.

    Raises:
        NoLeaderError: no leader responded.

    """
    addresses = {known.member: known.address for known in settings.peers}
    addresses[settings.member] = settings.peer_listen
    timeout_s = settings.deployment.workers.lease_s / 4
    tried: set[str] = set()
    candidates = [settings.member, *(known.member for known in settings.peers)]
    while candidates:
        member = candidates.pop(0)
        if member in tried or member not in addresses:
            continue
        tried.add(member)
        try:
            response = exchange(addresses[member], StatusRequest(), timeout_s)
        except (OSError, ValueError):
            continue
        if isinstance(response, StatusResponse):
            return response
        if isinstance(response, NotLeading):
            candidates.insert(0, response.member)
    raise NoLeaderError("no controller of this cell leads or answers; has it the file that names the cells?")


def summarize(response: StatusResponse) -> QuotaStatus:
    """Derive the status of all cells from a leader's response."""
    own, others = response.own, response.others
    ages = {own.cell: 0.0, **{other.view.cell: other.age_s for other in others}}
    views = {own.cell: own, **{other.view.cell: other.view for other in others}}
    incoming = _by_destination(views)
    complete = not response.uncontacted and is_consistent_snapshot(views)
    return QuotaStatus(
        [_cell_status(view, ages[name], incoming.get(name, [])) for name, view in views.items()],
        response.uncontacted,
        response.short,
        response.differing,
        problems(views) if complete else [],
        complete,
    )


def _by_destination(views: dict[str, CellView]) -> dict[str, list[Transfer]]:
    """Transfers in transit, by their destination cell."""
    in_transit = transfers_in_transit(views)
    by_destination: dict[str, list[Transfer]] = {}
    for view in views.values():
        for peer in view.peers:
            if peer.in_transit is not None and peer.in_transit in in_transit:
                by_destination.setdefault(peer.cell, []).append(peer.in_transit)
    return by_destination


def _cell_status(view: CellView, age_s: float, incoming: list[Transfer]) -> CellStatus:
    teams = [status for team in view.teams for status in _team_status(team, incoming)]
    return CellStatus(view.cell, age_s, teams, view.alarms)


def _team_status(team: TeamView, incoming: list[Transfer]) -> Iterator[ResourceStatus]:
    used = team.cpus_used, team.accelerators_used
    for index, name in enumerate(RESOURCES):
        allocation, total = (
            allocations_by_resource(team.allocation)[index],
            allocations_by_resource(team.total)[index],
        )
        if not total.guaranteed and total.limit is None:
            continue
        incoming_amount = sum(amounts_by_resource(transfer, team.team)[index].limit for transfer in incoming)
        limit = None if allocation.limit is None else from_thousandths(allocation.limit)
        guaranteed, in_use, in_transit = map(
            from_thousandths, (allocation.guaranteed, used[index], incoming_amount)
        )
        yield ResourceStatus(team.team, name, guaranteed, limit, in_use, in_transit)


def render(status: QuotaStatus) -> str:
    """Format the status as a table for operators."""
    lines = []
    for cell in status.cells:
        age = "now" if not cell.age_s else f"{cell.age_s:.0f} s ago"
        lines.append(f"cell {cell.cell} ({age})")
        lines.append(_HEADING)
        for row in cell.teams:
            limit = "none" if row.limit is None else f"{row.limit:g}"
            figures = f"{row.guaranteed:>10g} {limit:>10} {row.used:>10g} {row.in_transit:>10g}"
            lines.append(f"  {row.team:<24} {row.resource:<5} {figures}")
        lines += [f"  ALARM {alarm}" for alarm in cell.alarms]
    lines += [f"cell {cell}: never contacted by this leader" for cell in status.uncontacted]
    lines += [f"team {team}: its demand has been unmet for more than a lease" for team in status.short]
    lines += [f"team {team}: the settings differ from its record, which holds" for team in status.differing]
    lines += [f"PROBLEM {problem}" for problem in status.problems]
    if not status.added_up:
        lines.append("not added up: cells are missing, or transfers happened between their views")
    return "\n".join(lines)
