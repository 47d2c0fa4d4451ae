"""A cell's quota service, for one term of its leader.

It runs on the decision thread and does no I/O. It keeps the quotas that scheduling enforces equal to the
cell's allocations (`ledger`), requests amounts that its teams lack from other cells, and transfers idle
amounts to them. It never waits for another cell: if none responds, its own allocations stay in force.
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
from poppyhold.quota.amounts import TeamAmount, from_thousandths, to_thousandths
from poppyhold.quota.apportionment import (
    InitialAllocation,
    has_quota,
    initial_allocation,
    initial_reserve,
    total_allocation,
)
from poppyhold.quota.cell_view import CellViewBuilder
from poppyhold.quota.consistency import RESOURCES, allocations_by_resource
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

# Record changes of a transfer besides one per team: the peer record, at debit and at acknowledgement.
_PEER_CHANGES_PER_TRANSFER = 2


class QuotaHealth(NamedTuple):
    """Active alarms, and teams whose demand has been unmet for longer than a lease.

    The response of the readiness check has fields of these names.
    """

    alarms: list[str]
    short: list[str]


class CellQuotaService:
    """The allocations of the cell that this node leads, and its requests and responses to other cells."""

    def __init__(
        self,
        ctx: Context,
        cells: Cells,
        quotas: Quotas,
        unaccounted_resources: Callable[[], Resources],
        can_launch: Callable[[Submission], bool],
        on_changed: Callable[[], None],
    ) -> None:
        """``on_changed`` is called when the quotas that scheduling enforces have changed."""
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
        # Log lines of the credits being committed, logged once they are durable.
        self._credit_log_lines: list[str] = []
        # Nothing under a limit starts until the allocations are loaded.
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
            # Requests acknowledge applied transfers, for which other cells wait.
            self._prepare_requests()

        self._ctx.outbound.commit(conditions, writes, on_committed, CommitPriority.NORMAL)

    def _apply_allocation(self, team: str) -> None:
        """Make scheduling enforce a team's current allocation."""
        record = self.ledger.records[team]
        self._quotas.set(team, record.allocation.quota(record.total))
        self._views.invalidate()
        self._on_changed()

    def load(self, entries: Iterable[Entry]) -> None:
        """Load the durable records of earlier leaders."""
        self.ledger.load(entries)
        if self._checks.is_wrong_cell():
            self._block_all_starts()
        for team in self.teams_with_differing_settings():
            log.warning("team settings ignored, the allocation record has other totals: team=%s", team)

    def tick(self) -> None:
        """Measure demand, check use and update the requests."""
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

    def handle_request(self, request: TransferRequest) -> TransferResponse:
        """Respond to another cell's leader, and start a transfer of requested amounts that are idle here."""
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
        """Handle another cell's response, and apply its transfer."""
        if response.rejection:
            log.debug("transfer request rejected: cell=%s reason=%r", response.cell, response.rejection)
        self._requester.record_view(response.cell, response.view)
        self._checks.run_guarded(response.cell, lambda: self._apply_transfer(response))
        self._prepare_requests()

    def requests(self) -> dict[str, TransferRequest]:
        """The request to each other cell; the same objects until something changes."""
        return self._requester.requests

    def _serve(self, request: TransferRequest) -> None:
        self.ledger.check_peer(request.cell, request.incarnation)
        self._requester.record_view(request.cell, request.view)
        self.ledger.acknowledge(request.cell, request.incarnation, request.last_applied)
        now = self._ctx.clock()
        if (
            not request.unmet_demands
            or not self.ledger.can_debit(request.cell)
            or self._rate_limiter.ready_at() > now
        ):
            return
        self._monitor.update_possible_use(self._demands)
        offers: dict[str, TeamAmount] = {}
        for unmet in sorted(request.unmet_demands, key=lambda unmet: not unmet.is_guaranteed):
            amount = self._offer(unmet, request.cell)
            if not amount.is_zero and len(offers) < self._max_teams_per_commit:
                offers[unmet.team] = amount
        if self.ledger.debit(request.cell, request.incarnation, offers):
            self._rate_limiter.consume(len(offers) + _PEER_CHANGES_PER_TRANSFER, now)
            for team, amount in offers.items():
                self._retention.record_debit(team, now)
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
                f"unmet_s={self._requester.unmet_s(team):.3f}"
                for team, amount in transfer.amounts.items()
            ]

    def _prepare_requests(self) -> None:
        """Make the requests to other cells from the current demand and records."""
        if self.ledger.incarnation:
            self._requester.prepare(self._demands, self._view())
            self._retention.record_unmet_demand(self._requester.teams_with_unmet_demand(), self._ctx.clock())

    def _check_use(self) -> None:
        """Raise an alarm for each team whose use exceeds its allocation.

        Only a leader of a version without allocations, or with options that name no cells, can cause that.
        """
        for team, record in self.ledger.records.items():
            used = self._ctx.fleet.used_by_team.get(team, [0.0, 0.0])
            above = [
                f"{name} {amount:g} of {from_thousandths(part.limit):g}"
                for name, amount, part in zip(
                    RESOURCES, used, allocations_by_resource(record.allocation), strict=True
                )
                if part.limit is not None and to_thousandths(amount) > part.limit
            ]
            self.alarms.set(AlarmKind.USE_ABOVE_ALLOCATION, team, ", ".join(above) or None)

    def teams_with_differing_settings(self) -> list[str]:
        """Teams whose settings differ from the totals in their records; the records take precedence."""
        records = self.ledger.records
        return sorted(team for team, record in records.items() if self._totals.get(team) != record.total)

    def teams_short_of_allocation(self) -> list[str]:
        """Teams whose demand has been unmet for longer than a lease."""
        return self._requester.unmet_for_longer_than(self._ctx.durations.lease_s)

    def health(self) -> QuotaHealth:
        """The part of the readiness check's response on quotas."""
        return QuotaHealth(self.alarms.texts(), self.teams_short_of_allocation())

    def status(self) -> StatusResponse:
        """The own view of this cell, and the last views of the other cells."""
        views, uncontacted = self._requester.remote_views()
        return StatusResponse(
            self._view(),
            views,
            uncontacted,
            self.teams_short_of_allocation(),
            self.teams_with_differing_settings(),
        )

    def _view(self) -> CellView:
        return self._views.current(self._demands)


def _log_values(amount: TeamAmount) -> str:
    accelerators, cpus = from_thousandths(amount.accelerators.limit), from_thousandths(amount.cpus.limit)
    return f"accelerators={accelerators:g} cpus={cpus:g}"
