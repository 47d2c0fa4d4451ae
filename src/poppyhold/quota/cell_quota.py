"""A cell's part in the teams' limits, for one term of its leader.

It runs on the decision thread and does no I/O. It keeps what starts are planned against in step with the
cell's shares (`share_book`), tells other cells what is wanted here, and gives them what is idle. It waits
for no cell: without the others it goes on with what it has.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable, Sequence
from typing import NamedTuple

from poppyhold.concurrency.rate_limiter import RateLimiter
from poppyhold.durable.changes import Entry, Write
from poppyhold.model.context import Context
from poppyhold.model.outbound import CommitPriority
from poppyhold.model.resources import Resources
from poppyhold.quota.alarms import AlarmKind, Alarms
from poppyhold.quota.amounts import (
    ResourceAmount,
    TeamAmount,
    TeamShare,
    from_units,
    is_shared,
    reserve,
    seed,
    to_units,
    whole_share,
)
from poppyhold.quota.asking import Asking
from poppyhold.quota.cells import Cells
from poppyhold.quota.demand import DemandMonitor, TeamDemand
from poppyhold.quota.hold_times import HoldTimes
from poppyhold.quota.messages import (
    CellView,
    PeerView,
    ShareReply,
    ShareRequest,
    StatusReply,
    TeamView,
    Want,
)
from poppyhold.quota.share_book import (
    OtherCellError,
    ProtocolError,
    ShareBook,
    UnknownIncarnationError,
)
from poppyhold.quota.totals import RESOURCES, parts_of
from poppyhold.scheduling.quotas import Quotas
from poppyhold.wire.user_messages import Submission

log = logging.getLogger(__name__)

# Changes of a transfer beside one for each team's share: its note, and that note's removal.
_CHANGES_A_TRANSFER = 2


class QuotaHealth(NamedTuple):
    """Alarms that stand, and teams whose work has waited for a larger share for more than a lease."""

    alarms: list[str]
    short: list[str]


class CellQuota:
    """Shares, requests and answers of the cell that we lead."""

    def __init__(
        self,
        ctx: Context,
        cells: Cells,
        quotas: Quotas,
        unknown_use: Callable[[], Resources],
        can_rent: Callable[[Submission], bool],
        on_changed: Callable[[], None],
    ) -> None:
        """``on_changed`` hears that what starts are planned against has changed."""
        self._ctx, self._cells, self._quotas, self._on_changed = ctx, cells, quotas, on_changed
        self._wholes = {
            team.name: whole for team in ctx.settings.settings.teams if is_shared(whole := whole_share(team))
        }
        weights = cells.weights
        self._seeds = {
            team: (seed(whole, weights, cells.name), whole) for team, whole in self._wholes.items()
        }
        self._reserves = {team: reserve(first, cells.reserve) for team, (first, _) in self._seeds.items()}
        self.book = ShareBook(
            cells.name, self._new_incarnation, self._commit, self._in_force, ctx.outbound.resign
        )
        self._asking = Asking(cells, self.book, ctx.clock)
        keep_s = ctx.durations.lease_s * cells.keep_leases
        self._holds = HoldTimes(keep_s)
        self._monitor = DemandMonitor(ctx, keep_s, self._holds, unknown_use, can_rent)
        limits = ctx.settings.settings.state.lowest
        self._teams_at_once = max(1, limits.txn_ops // 2)
        self._pace = RateLimiter(limits.write_rps * cells.moves_share, burst=1.0)
        self._demands: dict[str, TeamDemand] = {}
        self._current_view: CellView | None = None
        # What is being taken, for the log as it is durable.
        self._taking: list[str] = []
        self.alarms = Alarms()
        # Until the shares are known, nothing starts.
        self._stop_all_starts()

    def _stop_all_starts(self) -> None:
        for team, whole in self._wholes.items():
            self._quotas.set(team, whole.nothing().quota(whole))

    def _new_incarnation(self) -> str:
        return f"{self._ctx.rng.getrandbits(64):016x}"

    def _commit(
        self, conditions: dict[str, int], writes: Sequence[Write], done: Callable[[bool], None]
    ) -> None:
        def durable(result: bool) -> None:
            done(result)
            for line in self._taking if result else ():
                log.info("%s", line)
            self._taking = []
            self._current_view = None
            # Other cells wait to hear of it.
            self._prepare_requests()

        self._ctx.outbound.commit(conditions, writes, durable, CommitPriority.AWAITED)

    def _in_force(self, team: str) -> None:
        """Plan starts against a team's share from now on."""
        record = self.book.records[team]
        self._quotas.set(team, record.share.quota(record.whole))
        self._current_view = None
        self._on_changed()

    # -- events ----------------------------------------------------------------------------------------

    def load(self, entries: Iterable[Entry]) -> None:
        """Begin with what earlier leaders made durable."""
        self.book.load(entries)
        if self._is_other_cell():
            self._stop_all_starts()
        for team in self.differing():
            log.warning("team %s: the settings differ from its share's record, which holds", team)

    def tick(self) -> None:
        """What time alone brings about."""
        if self._is_other_cell():
            self._stop_all_starts()
            return
        if self.book.seed(self._seeds, self._teams_at_once):
            return
        shares = {team: record.share for team, record in self.book.records.items()}
        self._demands = self._monitor.look(shares)
        self._check_use()
        self._current_view = None
        self._prepare_requests()

    def answer(self, request: ShareRequest) -> ShareReply:
        """Answer another cell's leader, and begin to give it what it wants and is idle here."""
        refused = self._refusal(request)
        if not refused:
            refused = self._guarded(request.cell, lambda: self._serve(request))
        transfer = None if refused else self.book.transfer_to(request.cell)
        view = self._view()
        return ShareReply(self._cells.name, self.book.incarnation, transfer, self.book.busy, view, refused)

    def replied(self, reply: ShareReply) -> None:
        """Take another cell's answer."""
        if reply.refused:
            log.debug("cell %s refuses: %s", reply.cell, reply.refused)
        self._asking.heard(reply.cell, reply.view)
        self._guarded(reply.cell, lambda: self._take(reply))
        self._prepare_requests()

    def requests(self) -> dict[str, ShareRequest]:
        """What to ask each other cell now; the same objects for as long as nothing changes."""
        return self._asking.requests

    # -- messages --------------------------------------------------------------------------------------

    def _is_other_cell(self) -> bool:
        """Whether the records here are another cell's: then nothing moves and nothing may start."""
        try:
            self.book.check_identity()
        except OtherCellError as error:
            self.alarms.set(AlarmKind.OTHER_CELL, self._cells.name, str(error))
            return True
        return False

    def _refusal(self, request: ShareRequest) -> str:
        """Why a request can't be served at all; empty if it can."""
        differ = request.layout != self._cells.layout
        text = "its operators name other cells or parts" if differ else None
        self.alarms.set(AlarmKind.CELLS_DIFFER, request.cell, text)
        if differ:
            return "the cells and their parts differ"
        if not self.book.incarnation or self._is_other_cell():
            return "no shares are known here"
        if request.to_incarnation not in ("", self.book.incarnation):
            return "other records are meant than those that are here"
        return ""

    def _guarded(self, cell: str, work: Callable[[], None]) -> str:
        """Do what a message asks for; what can't be raises an alarm, and is returned as a text."""
        try:
            work()
        except UnknownIncarnationError as error:
            self.alarms.set(AlarmKind.UNKNOWN_RECORDS, cell, str(error))
            return str(error)
        except ProtocolError as error:
            self.alarms.set(AlarmKind.BROKEN_SEQUENCE, cell, str(error))
            return str(error)
        self.alarms.set(AlarmKind.UNKNOWN_RECORDS, cell, None)
        self.alarms.set(AlarmKind.BROKEN_SEQUENCE, cell, None)
        return ""

    def _serve(self, request: ShareRequest) -> None:
        self.book.check_peer(request.cell, request.incarnation)
        self._asking.heard(request.cell, request.view)
        self.book.acknowledged(request.cell, request.incarnation, request.applied)
        now = self._ctx.clock()
        if not request.wants or not self.book.can_give(request.cell) or self._pace.ready_at() > now:
            return
        self._monitor.count_may_run(self._demands)
        offers: dict[str, TeamAmount] = {}
        for want in sorted(request.wants, key=lambda want: not want.is_guaranteed):
            amount = self._offer(want, request.cell)
            if not amount.is_nothing and len(offers) < self._teams_at_once:
                offers[want.team] = amount
        if self.book.give(request.cell, request.incarnation, offers):
            self._pace.consume(len(offers) + _CHANGES_A_TRANSFER, now)
            for team, amount in offers.items():
                self._holds.gave(team, now)
                log.info("team %s: gives %s to cell %s", team, _in_words(amount), request.cell)

    def _take(self, reply: ShareReply) -> None:
        if not reply.incarnation:
            return
        self.book.check_peer(reply.cell, reply.incarnation)
        if reply.transfer is not None and self.book.receive(reply.cell, reply.incarnation, reply.transfer):
            self._taking = [
                f"team {team}: took {_in_words(amount)} from cell {reply.cell}, "
                f"asked for {self._asking.waited_s(team):.3f} s"
                for team, amount in reply.transfer.amounts.items()
            ]

    # -- giving ----------------------------------------------------------------------------------------

    def _offer(self, want: Want, cell: str) -> TeamAmount:
        """The part of what a cell wants that is idle here, by what runs and waits at this very moment."""
        share, demand = self.book.share(want.team), self._demands.get(want.team)
        if share is None or demand is None:
            return TeamAmount()
        is_stuck = demand.is_stuck and cell < self._cells.name
        spare = self._spare(want.team, share, demand, is_stuck)
        return TeamAmount(
            _part(spare.cpus, want.cpus_guaranteed, want.cpus_limit),
            _part(spare.accelerators, want.accelerators_guaranteed, want.accelerators_limit),
        )

    def _spare(self, team: str, share: TeamShare, demand: TeamDemand, is_stuck: bool) -> TeamAmount:
        """What the cell can give of both resources of a share: neither what it needs nor its reserve."""
        reserved = self._reserves.get(team, TeamShare())
        return TeamAmount(
            demand.cpus.spare(share.cpus, is_stuck).at_most(share.cpus.beyond(reserved.cpus)),
            demand.accelerators.spare(share.accelerators, is_stuck).at_most(
                share.accelerators.beyond(reserved.accelerators)
            ),
        )

    def _prepare_requests(self) -> None:
        """Ask the other cells by what is known now."""
        if self.book.incarnation:
            self._asking.prepare(self._demands, self._view())
            self._holds.lacked(self._asking.short_teams(), self._ctx.clock())

    # -- what operators see ----------------------------------------------------------------------------

    def _check_use(self) -> None:
        """More in use than the share can only come from a version, or a file, that knows of no shares."""
        for team, record in self.book.records.items():
            used = self._ctx.fleet.used_by_team.get(team, [0.0, 0.0])
            above = [
                f"{name} {amount:g} of {from_units(part.limit):g}"
                for name, amount, part in zip(RESOURCES, used, parts_of(record.share), strict=True)
                if part.limit is not None and to_units(amount) > part.limit
            ]
            self.alarms.set(AlarmKind.USE_ABOVE_SHARE, team, ", ".join(above) or None)

    def differing(self) -> list[str]:
        """Teams whose settings are not those that their shares were made from; the records hold."""
        records = self.book.records
        return sorted(team for team, record in records.items() if self._wholes.get(team) != record.whole)

    def short(self) -> list[str]:
        """Teams whose work has waited for a larger share for more than a lease."""
        return self._asking.short(self._ctx.durations.lease_s)

    def health(self) -> QuotaHealth:
        """What a readiness check shows."""
        return QuotaHealth(self.alarms.texts(), self.short())

    def status(self) -> StatusReply:
        """All that this cell's leader knows."""
        heard, unreconciled = self._asking.others()
        return StatusReply(self._view(), heard, unreconciled, self.short(), self.differing())

    def _view(self) -> CellView:
        """This cell as others are told of it, made anew once something has changed."""
        if self._current_view is None:
            self._current_view = self._make_view()
        return self._current_view

    def _make_view(self) -> CellView:
        teams = []
        for team, record in self.book.records.items():
            demand = self._demands.get(team)
            used = self._ctx.fleet.used_by_team.get(team, [0.0, 0.0])
            spare = TeamAmount()
            if demand is not None:
                spare = self._spare(team, record.share, demand, demand.is_stuck)
            amounts = to_units(used[0]), to_units(used[1])
            teams.append(TeamView(team, record.share, record.whole, *amounts, spare.cpus, spare.accelerators))
        peers = [
            PeerView(cell, peer.sent, peer.applied, peer.in_transit) for cell, peer in self.book.peers.items()
        ]
        return CellView(self._cells.name, self.book.incarnation, teams, peers, self.alarms.texts())


def _part(spare: ResourceAmount, guaranteed: int, limit: int) -> ResourceAmount:
    """The part of a spare amount that is wanted: guaranteed first, then what is borrowable."""
    given = min(spare.guaranteed, max(0, guaranteed))
    rest = max(0, limit - given)
    borrowable = min(spare.borrowable, rest)
    # The limit may be guaranteed as a whole: then the guarantee goes with it.
    given += min(spare.guaranteed - given, rest - borrowable)
    return ResourceAmount(given, borrowable)


def _in_words(amount: TeamAmount) -> str:
    cpus, accelerators = from_units(amount.cpus.limit), from_units(amount.accelerators.limit)
    return f"{accelerators:g} accelerators and {cpus:g} CPUs"
