"""Several cells that divide a team's limit, with failing leaders, stores and links, in virtual time."""

from __future__ import annotations

from collections.abc import Sequence

import pytest

from guards import Guard, violations_without
from poppyhold.durable.changes import Write
from poppyhold.durable.fenced_writer import FencedWriter
from poppyhold.durable.keys import LEADER_KEY
from poppyhold.model.fleet import Fleet
from poppyhold.model.resources import NO_RESOURCES, Resources
from poppyhold.quota.amounts import ResourceAllocation, ResourceAmount
from poppyhold.quota.cell_service import CellQuotaService
from poppyhold.quota.demand import ResourceDemand
from poppyhold.quota.demand_monitor import DemandMonitor
from poppyhold.quota.ledger import AllocationLedger
from poppyhold.quota.message_checks import MessageChecks
from poppyhold.quota.recent_peak import RecentPeak
from poppyhold.quota.retention import RetentionTimes
from poppyhold.scheduling.gang_scheduler import GangScheduler
from poppyhold.scheduling.quotas import Quotas, TeamQuota
from quota_model import always_next, credit_before_durable, send_before_durable
from scenario import FOLDER, play, variants

CELLS = FOLDER / "cells"
PLAYS = [
    pytest.param(text, seed, id=f"{name}-{seed}")
    for path in sorted(CELLS.glob("*.txt"))
    for name, text in variants(path)
    for seed in (1, 2)
]


@pytest.mark.parametrize(("text", "seed"), PLAYS)
def test_cells(text: str, seed: int) -> None:
    assert play(text, seed) == []


def _ignore_allocation(self: Quotas, team: str, quota: TeamQuota) -> None:
    """Starts use the whole limit, regardless of the allocation."""


def _retain_nothing(self: ResourceDemand, pending: int, is_stalled: bool) -> int:
    return 0


def _no_unaccounted_resources(self: Fleet, unreconciled: object) -> Resources:
    return NO_RESOURCES


def _never(*_: object) -> bool:
    return False


def _always(*_: object) -> bool:
    return True


def _no_acknowledgement(self: AllocationLedger, peer: str, incarnation: str, applied: int) -> None:
    """Transfers that another cell has applied are not acknowledged."""


def _accept_any_peer(self: AllocationLedger, peer: str, incarnation: str) -> None:
    """Another cell's records count as unchanged, whatever they are."""


def _no_recent_peak(self: RecentPeak, value: int, now: float, window_s: float) -> int:
    return 0


def _unchecked(self: CellQuotaService) -> None:
    return None


def _commit_unfenced(writer: FencedWriter, conditions: dict[str, int], writes: Sequence[Write]) -> None:
    own = {key: stamp for key, stamp in conditions.items() if key != LEADER_KEY}
    writer._store.commit(own, writes)


def _retain_all_pending(self: ResourceDemand, pending: int, is_stalled: bool) -> int:
    return max(self.possible_use + self.pending, self.peak)


def _ignore_reserve(self: ResourceAllocation, reserved: ResourceAllocation) -> ResourceAmount:
    return ResourceAmount(self.guaranteed, self.borrowable or 0)


def _shortest_retention(self: RetentionTimes, team: str, now: float) -> float:
    return self._min_s


# Scenario that must fail, and the guard that is replaced.
GUARDS = [
    Guard("limit_reached_concurrently", Quotas, "set", _ignore_allocation),
    Guard("cancelled_task_counts_until_stopped", ResourceDemand, "retained", _retain_nothing),
    Guard("unreconciled_machine_counts", Fleet, "unaccounted_resources", _no_unaccounted_resources),
    Guard("two_gangs_with_half_the_limit_each", DemandMonitor, "_is_stalled", _never),
    Guard("missing_cells_file", CellQuotaService, "_check_use", _unchecked),
    Guard("delayed_commits_and_messages", AllocationLedger, "_is_next_in_sequence", always_next),
    Guard("leader_crash_in_transfer", AllocationLedger, "_commit_credits", credit_before_durable),
    Guard("leader_frozen_in_transfer", FencedWriter, "commit", _commit_unfenced),
    Guard("two_leaders", AllocationLedger, "transfer_in_transit_to", send_before_durable),
    Guard("state_outage_in_transfer", AllocationLedger, "_commit_credits", credit_before_durable),
    Guard("one_way_link_cut", AllocationLedger, "acknowledge", _no_acknowledgement),
    Guard("idle_allocation_moves", AllocationLedger, "acknowledge", _no_acknowledgement),
    Guard("gang_above_allocation", GangScheduler, "_within_limit", _always),
    Guard("steady_and_alternating_load", RecentPeak, "record", _no_recent_peak),
    Guard("steady_and_alternating_load", RetentionTimes, "seconds", _shortest_retention),
    Guard("pending_work_without_capacity", ResourceDemand, "retained", _retain_all_pending),
    Guard("reserve_while_disconnected", ResourceAllocation, "excess_over", _ignore_reserve),
    Guard("wrong_cell", MessageChecks, "is_wrong_cell", _never),
    Guard("lost_quota_records", AllocationLedger, "check_peer", _accept_any_peer),
]


@pytest.mark.parametrize("guard", GUARDS, ids=str)
def test_cells_fail_without_a_guard(guard: Guard, monkeypatch: pytest.MonkeyPatch) -> None:
    assert violations_without(guard, CELLS, seeds=(1, 2), monkeypatch=monkeypatch) != []
