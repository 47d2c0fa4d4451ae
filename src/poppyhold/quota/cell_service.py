"""A cell's part in the teams' limits, for one term of its leader.

It runs on the decision thread and does no I/O. It keeps the quotas that starts are planned against equal to
the cell's allocations (`ledger`), requests what its teams lack from other cells, and transfers idle amounts
to them. It never waits for another cell: without the others it continues with its own allocations.
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
from poppyhold.options import Cells
from poppyhold.quota.alarms import AlarmKind, Alarms
from poppyhold.quota.amounts import TeamAmount, from_units, to_units
from poppyhold.quota.apportionment import (
    InitialAllocation,
    has_quota,
    initial_allocation,
    initial_reserve,
    total_allocation,
)
from poppyhold.quota.cell_view import CellViewBuilder
from poppyhold.quota.consistency import RESOURCES, parts_of
from poppyhold.quota.demand import TeamDemand
from poppyhold.quota.demand_monitor import DemandMonitor
from poppyhold.quota.ledger import AllocationLedger
from poppyhold.quota.message_checks import MessageChecks
from poppyhold.quota.messages import (
    CellView,
    StatusResponse,
    TransferRequest,
    TransferResponse,
    UnmetDemand,
)
from poppyhold.quota.retention import RetentionTimes
from poppyhold.quota.transfer_offers import TransferOffers
from poppyhold.quota.transfer_requests import TransferRequester
from poppyhold.scheduling.quotas import Quotas
from poppyhold.wire.user_messages import Submission

log = logging.getLogger(__name__)

# Changes of a transfer in addition to one for each team: the peer's record, before and after it is applied.
_PEER_CHANGES_PER_TRANSFER = 2


class QuotaHealth(NamedTuple):
    """Active alarms, and teams whose work has lacked an allocation for more than a lease.

    The readiness check's response has these names.
    """

    alarms: list[str]
    short: list[str]


class CellQuotaService:
    """The allocations, requests and responses of the cell that this node leads."""

    def __init__(
        self,
        ctx: Context,
        cells: Cells,
        quotas: Quotas,
        unaccounted_resources: Callable[[], Resources],
        can_launch: Callable[[Submission], bool],
        on_changed: Callable[[], None],
    ) -> None:
        """``on_changed`` is called when the quotas that starts are planned against have changed."""
        self._ctx, self._cells, self._quotas, self._on_changed = ctx, cells, quotas, on_changed
        self._totals = {
            team.name: total
            for team in ctx.settings.deployment.teams
            if has_quota(total := total_allocation(team))
        }
        weights = cells.weights
        self._initial_allocations = {
            team: InitialAllocation(initial_allocation(total, weights, cells.name), total)
            for team, total in self._totals.items()
        }
        reserves = {
            team: initial_reserve(initial.allocation, cells.reserve)
            for team, initial in self._initial_allocations.items()
        }
        self.alarms = Alarms()
        self.ledger = AllocationLedger(
            cells.name, self._new_incarnation, self._commit, self._apply_allocation, ctx.outbound.resign
        )
        self._checks = MessageChecks(cells, self.ledger, self.alarms)
        self._requester = TransferRequester(cells, self.ledger, ctx.clock)
        self._offers = TransferOffers(cells.name, reserves)
        self._views = CellViewBuilder(cells.name, self.ledger, ctx.fleet, self._offers, self.alarms)
        retention_s = ctx.durations.lease_s * cells.keep_leases
        self._retention = RetentionTimes(retention_s)
        self._monitor = DemandMonitor(ctx, retention_s, self._retention, unaccounted_resources, can_launch)
        limits = ctx.settings.deployment.state.lowest
        self._max_teams_per_commit = max(1, limits.txn_ops // 2)
        self._rate_limiter = RateLimiter(limits.write_rps * cells.moves_share, burst=1.0)
        self._demands: dict[str, TeamDemand] = {}
        # Lines on the credits being committed, logged when they are durable.
        self._credit_log_lines: list[str] = []
        # Until the allocations are known, nothing starts.
        self._block_all_starts()

    def _block_all_starts(self) -> None:
        for team, total in self._totals.items():
            self._quotas.set(team, total.zeroed().quota(total))

    def _new_incarnation(self) -> str:
        return f"{self._ctx.rng.getrandbits(64):016x}"

    def _commit(
        self, conditions: dict[str, int], writes: Sequence[Write], on_result: Callable[[bool], None]
    ) -> None:
        def on_committed(succeeded: bool) -> None:
            on_result(succeeded)
            for line in self._credit_log_lines if succeeded else ():
                log.info("%s", line)
            self._credit_log_lines = []
            self._views.invalidate()
            # Other cells wait for the acknowledgement.
            self._prepare_requests()

        self._ctx.outbound.commit(conditions, writes, on_committed, CommitPriority.NORMAL)

    def _apply_allocation(self, team: str) -> None:
        """Plan starts against a team's allocation from now on."""
        record = self.ledger.records[team]
        self._quotas.set(team, record.allocation.quota(record.total))
        self._views.invalidate()
        self._on_changed()

    # -- events ----------------------------------------------------------------------------------------

    def load(self, entries: Iterable[Entry]) -> None:
        """Load what earlier leaders made durable."""
        self.ledger.load(entries)
        if self._checks.is_wrong_cell():
            self._block_all_starts()
        for team in self.teams_with_other_settings():
            log.warning("team settings differ from the allocation record, which holds: team=%s", team)

    def tick(self) -> None:
        """Measure demand, check use and renew the requests."""
        if self._checks.is_wrong_cell():
            self._block_all_starts()
            return
        if self.ledger.create_missing(self._initial_allocations, self._max_teams_per_commit):
            return
        allocations = {team: record.allocation for team, record in self.ledger.records.items()}
        self._demands = self._monitor.measure(allocations)
        self._check_use()
        self._views.invalidate()
        self._prepare_requests()

    def answer(self, request: TransferRequest) -> TransferResponse:
        """Answer another cell's leader, and start a transfer of what it requests and is idle here."""
        rejection = self._checks.rejection(request)
        if not rejection:
            rejection = self._checks.run_guarded(request.cell, lambda: self._serve(request))
        transfer = None if rejection else self.ledger.transfer_in_transit_to(request.cell)
        view = self._view()
        return TransferResponse(
            self._cells.name,
            self.ledger.incarnation,
            transfer,
            self.ledger.commit_in_progress,
            view,
            rejection,
        )

    def handle_response(self, response: TransferResponse) -> None:
        """Handle another cell's response: apply the transfer that it carries."""
        if response.rejection:
            log.debug("transfer request rejected: cell=%s reason=%r", response.cell, response.rejection)
        self._requester.note_view(response.cell, response.view)
        self._checks.run_guarded(response.cell, lambda: self._apply_transfer(response))
        self._prepare_requests()

    def requests(self) -> dict[str, TransferRequest]:
        """The request to each other cell; the same objects for as long as nothing changes."""
        return self._requester.requests

    # -- transfers -------------------------------------------------------------------------------------

    def _serve(self, request: TransferRequest) -> None:
        self.ledger.check_peer(request.cell, request.incarnation)
        self._requester.note_view(request.cell, request.view)
        self.ledger.acknowledge(request.cell, request.incarnation, request.applied)
        now = self._ctx.clock()
        if (
            not request.unmet_demands
            or not self.ledger.can_debit(request.cell)
            or self._rate_limiter.ready_at() > now
        ):
            return
        self._monitor.update_may_run(self._demands)
        offers: dict[str, TeamAmount] = {}
        for unmet in sorted(request.unmet_demands, key=lambda unmet: not unmet.is_guaranteed):
            amount = self._offer(unmet, request.cell)
            if not amount.is_zero and len(offers) < self._max_teams_per_commit:
                offers[unmet.team] = amount
        if self.ledger.debit(request.cell, request.incarnation, offers):
            self._rate_limiter.consume(len(offers) + _PEER_CHANGES_PER_TRANSFER, now)
            for team, amount in offers.items():
                self._retention.note_debit(team, now)
                log.info("debit: team=%s %s destination_cell=%s", team, _log_values(amount), request.cell)

    def _offer(self, unmet: UnmetDemand, destination: str) -> TeamAmount:
        allocation, demand = self.ledger.allocation(unmet.team), self._demands.get(unmet.team)
        if allocation is None or demand is None:
            return TeamAmount()
        return self._offers.offer(unmet, destination, allocation, demand)

    def _apply_transfer(self, response: TransferResponse) -> None:
        if not response.incarnation:
            return
        self.ledger.check_peer(response.cell, response.incarnation)
        transfer = response.transfer
        if transfer is not None and self.ledger.credit(response.cell, response.incarnation, transfer):
            self._credit_log_lines = [
                f"credit: team={team} {_log_values(amount)} source_cell={response.cell} "
                f"unmet_s={self._requester.waited_s(team):.3f}"
                for team, amount in transfer.amounts.items()
            ]

    def _prepare_requests(self) -> None:
        """Make the requests to other cells from what is known now."""
        if self.ledger.incarnation:
            self._requester.prepare(self._demands, self._view())
            self._retention.note_unmet_demand(self._requester.teams_with_unmet_demand(), self._ctx.clock())

    # -- what operators see ----------------------------------------------------------------------------

    def _check_use(self) -> None:
        """Alarm on use above an allocation.

        It can only come from a version, or options, without knowledge of allocations.
        """
        for team, record in self.ledger.records.items():
            used = self._ctx.fleet.used_by_team.get(team, [0.0, 0.0])
            above = [
                f"{name} {amount:g} of {from_units(part.limit):g}"
                for name, amount, part in zip(RESOURCES, used, parts_of(record.allocation), strict=True)
                if part.limit is not None and to_units(amount) > part.limit
            ]
            self.alarms.set(AlarmKind.USE_ABOVE_ALLOCATION, team, ", ".join(above) or None)

    def teams_with_other_settings(self) -> list[str]:
        """Teams whose settings differ from those that their records were made from; the records hold."""
        records = self.ledger.records
        return sorted(team for team, record in records.items() if self._totals.get(team) != record.total)

    def teams_short_of_allocation(self) -> list[str]:
        """Teams whose work has lacked an allocation for more than a lease."""
        return self._requester.unmet_for_longer_than(self._ctx.durations.lease_s)

    def health(self) -> QuotaHealth:
        """What a readiness check shows."""
        return QuotaHealth(self.alarms.texts(), self.teams_short_of_allocation())

    def status(self) -> StatusResponse:
        """Everything that this cell's leader knows of all cells."""
        views, uncontacted = self._requester.remote_views()
        return StatusResponse(
            self._view(),
            views,
            uncontacted,
            self.teams_short_of_allocation(),
            self.teams_with_other_settings(),
        )

    def _view(self) -> CellView:
        return self._views.current(self._demands)


def _log_values(amount: TeamAmount) -> str:
    accelerators, cpus = from_units(amount.accelerators.limit), from_units(amount.cpus.limit)
    return f"accelerators={accelerators:g} cpus={cpus:g}"
