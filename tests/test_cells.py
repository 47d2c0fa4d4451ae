"""Several cells that divide a team's limit, with leaders, stores and links that fail, in virtual time."""

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


# -- guards, each taken out ----------------------------------------------------------------------------


def _settings_alone(self: Quotas, team: str, quota: TeamQuota) -> None:
    """Starts go by the whole limit, whatever the allocation is."""


def _nothing_kept(self: ResourceDemand, pending: int, is_stalled: bool) -> int:
    return 0


def _no_unknown_use(self: Fleet, unreconciled: object) -> Resources:
    return NO_RESOURCES


def _never(*_: object) -> bool:
    return False


def _always(*_: object) -> bool:
    return True


def _unreconciled(self: AllocationLedger, peer: str, incarnation: str, applied: int) -> None:
    """What another cell has applied is not taken note of."""


def _any_peer(self: AllocationLedger, peer: str, incarnation: str) -> None:
    """Another cell's records are taken for those of before, whatever they are."""


def _nothing_of_late(self: RecentPeak, value: int, now: float, window_s: float) -> int:
    return 0


def _unchecked(self: CellQuotaService) -> None:
    return None


def _without_lead(writer: FencedWriter, conditions: dict[str, int], writes: Sequence[Write]) -> None:
    own = {key: stamp for key, stamp in conditions.items() if key != LEADER_KEY}
    writer._store.commit(own, writes)


def _all_that_waits_kept(self: ResourceDemand, pending: int, is_stalled: bool) -> int:
    return max(self.may_run + self.pending, self.peak)


def _all_of_it(self: ResourceAllocation, reserved: ResourceAllocation) -> ResourceAmount:
    return ResourceAmount(self.guaranteed, self.borrowable or 0)


def _shortest_retention(self: RetentionTimes, team: str, now: float) -> float:
    return self._shortest_s


# Guard that is taken out -> scenario that must then break a rule or miss what it expects.
GUARDS = [
    Guard("limit_reached_concurrently", Quotas, "set", _settings_alone),
    Guard("cancelled_task_counts_until_stopped", ResourceDemand, "retained", _nothing_kept),
    Guard("unreconciled_machine_counts", Fleet, "unaccounted_resources", _no_unknown_use),
    Guard("two_gangs_with_half_the_limit_each", DemandMonitor, "_is_stalled", _never),
    Guard("missing_cells_file", CellQuotaService, "_check_use", _unchecked),
    Guard("delayed_commits_and_messages", AllocationLedger, "_is_next_in_sequence", always_next),
    Guard("leader_crash_in_transfer", AllocationLedger, "_commit_credits", credit_before_durable),
    Guard("leader_frozen_in_transfer", FencedWriter, "commit", _without_lead),
    Guard("two_leaders", AllocationLedger, "transfer_in_transit_to", send_before_durable),
    Guard("state_outage_in_transfer", AllocationLedger, "_commit_credits", credit_before_durable),
    Guard("one_way_link_cut", AllocationLedger, "acknowledge", _unreconciled),
    Guard("idle_allocation_moves", AllocationLedger, "acknowledge", _unreconciled),
    Guard("gang_above_allocation", GangScheduler, "_within_limit", _always),
    Guard("steady_and_alternating_load", RecentPeak, "note", _nothing_of_late),
    Guard("steady_and_alternating_load", RetentionTimes, "seconds", _shortest_retention),
    Guard("pending_work_without_capacity", ResourceDemand, "retained", _all_that_waits_kept),
    Guard("reserve_while_disconnected", ResourceAllocation, "excess_over", _all_of_it),
    Guard("wrong_cell", MessageChecks, "is_wrong_cell", _never),
    Guard("lost_quota_records", AllocationLedger, "check_peer", _any_peer),
]


@pytest.mark.parametrize("guard", GUARDS, ids=str)
def test_cells_fail_without_a_guard(guard: Guard, monkeypatch: pytest.MonkeyPatch) -> None:
    assert violations_without(guard, CELLS, seeds=(1, 2), monkeypatch=monkeypatch) != []
