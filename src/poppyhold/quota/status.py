"""`poppyhold quota status`: what a cell's leader knows of the teams' shares, for operators."""

from __future__ import annotations

from collections.abc import Iterator

import msgspec

from poppyhold.quota.amounts import from_units
from poppyhold.quota.link import exchange
from poppyhold.quota.messages import CellView, NotLeading, StatusReply, StatusRequest, TeamView
from poppyhold.quota.records import Transfer
from poppyhold.quota.totals import (
    RESOURCES,
    amounts_of,
    are_of_one_moment,
    parts_of,
    problems,
    transfers_in_transit,
)
from poppyhold.settings import Settings

# Exit statuses: all is well; an alarm stands, shares don't add up, or nobody could be asked.
OK, ALARM = 0, 1
_HEADING = f"  {'team':<24} {'':<5} {'guarantee':>10} {'limit':>10} {'used':>10} {'in transit':>10}"


class NoLeaderError(Exception):
    """No controller of the cell leads, or none could be reached."""


class ResourceStatus(msgspec.Struct, frozen=True):
    """One resource of one team in one cell, in CPUs or accelerators; a limit of None is none."""

    team: str
    resource: str
    guaranteed: float
    limit: float | None
    used: float
    # On its way to this cell.
    in_transit: float


class CellStatus(msgspec.Struct, frozen=True):
    """One cell, and how many seconds ago it was heard; 0: it answered itself."""

    cell: str
    age_s: float
    teams: list[ResourceStatus]
    alarms: list[str]


class QuotaStatus(msgspec.Struct, frozen=True):
    """All cells as the leader of one of them knows them."""

    cells: list[CellStatus]
    uncontacted: list[str] = msgspec.field(name="unheard")
    short: list[str]
    differing: list[str]
    problems: list[str]
    # Whether the cells' views are complete and of one moment, so that they can be added up.
    added_up: bool

    @property
    def exit_status(self) -> int:
        """What the command ends with."""
        return ALARM if self.problems or any(cell.alarms for cell in self.cells) else OK


def fetch(settings: Settings) -> StatusReply:
    """Ask the leader of the cell that the settings are of.

    Raises:
        NoLeaderError: it was not found.
    """
    addresses = {known.member: known.address for known in settings.known}
    addresses[settings.member] = settings.back
    timeout_s = settings.settings.workers.lease_s / 4
    asked: set[str] = set()
    waiting = [settings.member, *(known.member for known in settings.known)]
    while waiting:
        member = waiting.pop(0)
        if member in asked or member not in addresses:
            continue
        asked.add(member)
        try:
            answer = exchange(addresses[member], StatusRequest(), timeout_s)
        except (OSError, ValueError, msgspec.MsgspecError):
            continue
        if isinstance(answer, StatusReply):
            return answer
        if isinstance(answer, NotLeading):
            waiting.insert(0, answer.member)
    raise NoLeaderError("no controller of this cell leads or answers; has it the file that names the cells?")


def summarize(reply: StatusReply) -> QuotaStatus:
    """What a leader's answer means."""
    ages = {reply.own.cell: 0.0, **{heard.view.cell: heard.age_s for heard in reply.others}}
    views = {reply.own.cell: reply.own, **{heard.view.cell: heard.view for heard in reply.others}}
    moving = _by_taker(views)
    complete = not reply.uncontacted and are_of_one_moment(views)
    return QuotaStatus(
        [_cell_status(view, ages[name], moving.get(name, [])) for name, view in views.items()],
        reply.uncontacted,
        reply.short,
        reply.differing,
        problems(views) if complete else [],
        complete,
    )


def _by_taker(views: dict[str, CellView]) -> dict[str, list[Transfer]]:
    """Transfers that are on their way, by the cell that they go to."""
    under_way = transfers_in_transit(views)
    moving: dict[str, list[Transfer]] = {}
    for view in views.values():
        for peer in view.peers:
            if peer.in_transit is not None and peer.in_transit in under_way:
                moving.setdefault(peer.cell, []).append(peer.in_transit)
    return moving


def _cell_status(view: CellView, age_s: float, moving: list[Transfer]) -> CellStatus:
    teams = [status for team in view.teams for status in _team_status(team, moving)]
    return CellStatus(view.cell, age_s, teams, view.alarms)


def _team_status(team: TeamView, moving: list[Transfer]) -> Iterator[ResourceStatus]:
    used = team.cpus_used, team.accelerators_used
    for index, name in enumerate(RESOURCES):
        share, whole = parts_of(team.share)[index], parts_of(team.whole)[index]
        if not whole.guaranteed and whole.limit is None:
            continue
        coming = sum(amounts_of(each, team.team)[index].limit for each in moving)
        limit = None if share.limit is None else from_units(share.limit)
        guaranteed, in_use, in_transit = map(from_units, (share.guaranteed, used[index], coming))
        yield ResourceStatus(team.team, name, guaranteed, limit, in_use, in_transit)


def render(status: QuotaStatus) -> str:
    """A table for people."""
    lines = []
    for cell in status.cells:
        heard = "now" if not cell.age_s else f"{cell.age_s:.0f} s ago"
        lines.append(f"cell {cell.cell} ({heard})")
        lines.append(_HEADING)
        for row in cell.teams:
            limit = "none" if row.limit is None else f"{row.limit:g}"
            figures = f"{row.guaranteed:>10g} {limit:>10} {row.used:>10g} {row.in_transit:>10g}"
            lines.append(f"  {row.team:<24} {row.resource:<5} {figures}")
        lines += [f"  ALARM {alarm}" for alarm in cell.alarms]
    lines += [f"cell {cell}: never heard by this leader" for cell in status.uncontacted]
    lines += [
        f"team {team}: its work has waited for a larger share for more than a lease" for team in status.short
    ]
    lines += [f"team {team}: the settings differ from its record, which holds" for team in status.differing]
    lines += [f"PROBLEM {problem}" for problem in status.problems]
    if not status.added_up:
        lines.append("not added up: cells are missing, or shares moved while they were heard")
    return "\n".join(lines)
