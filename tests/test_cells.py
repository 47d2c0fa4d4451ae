"""Several cells that share a team's limit, with leaders, stores and links that fail, in virtual time."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from guards import take_out
from poppyhold.durable.committer import Writer
from poppyhold.durable.store import LEAD, Data
from poppyhold.model.fleet import NOTHING, Fleet, Room
from poppyhold.quota.cell_quota import CellQuota
from poppyhold.quota.demand import DemandMonitor, RecentPeak, ResourceDemand
from poppyhold.quota.share_book import ShareBook
from poppyhold.scheduling.dispatch import Dispatcher
from poppyhold.scheduling.quotas import Quotas, TeamQuota
from quota_model import always_next, join_at_once, told_at_once
from scenario import FOLDER, Scenario, variants

CELLS = FOLDER / "cells"
PLAYS = [
    pytest.param(text, seed, id=f"{name}-{seed}")
    for path in sorted(CELLS.glob("*.txt"))
    for name, text in variants(path)
    for seed in (1, 2)
]


def play(text: str, seed: int) -> list[str]:
    """What went wrong."""
    scenario = Scenario(text, seed)
    scenario.play()
    return scenario.world.broken + scenario.failures


@pytest.mark.parametrize(("text", "seed"), PLAYS)
def test_cells(text: str, seed: int) -> None:
    assert play(text, seed) == []


# -- guards, each taken out ----------------------------------------------------------------------------


def _settings_alone(self: Quotas, team: str, quota: TeamQuota) -> None:
    """Starts go by the whole limit, whatever the share is."""


def _nothing_kept(self: ResourceDemand, is_stuck: bool) -> int:
    return 0


def _nothing_may_run(self: DemandMonitor, team: str) -> tuple[int, int]:
    return 0, 0


def _no_unknown_use(self: Fleet, unheard: object) -> Room:
    return NOTHING


def _never(*_: object) -> bool:
    return False


def _always(*_: object) -> bool:
    return True


def _unheard(self: ShareBook, peer: str, incarnation: str, applied: int) -> None:
    """What another cell has applied is not taken note of."""


def _any_peer(self: ShareBook, peer: str, incarnation: str) -> None:
    """Another cell's records are taken for those of before, whatever they are."""


def _nothing_of_late(self: RecentPeak, value: int, now: float) -> int:
    return 0


def _unchecked(self: CellQuota) -> None:
    return None


def _without_lead(writer: Writer, conditions: dict[str, int], writes: list[Data]) -> None:
    own = {key: stamp for key, stamp in conditions.items() if key != LEAD}
    writer._store.commit(own, writes)


# Guard that is taken out -> scenario that must then break a rule or miss what it expects.
GUARDS: list[tuple[str, type, str, Callable[..., object]]] = [
    ("last_accelerator", Quotas, "set", _settings_alone),
    ("cancelled_still_counts", ResourceDemand, "kept", _nothing_kept),
    ("unheard_machine_counts", Fleet, "unknown_use", _no_unknown_use),
    ("two_gangs_with_half_each", DemandMonitor, "_is_stuck", _never),
    ("without_the_file", CellQuota, "_check_use", _unchecked),
    ("late_writes_and_messages", ShareBook, "_is_next", always_next),
    ("leader_killed_in_transfer", ShareBook, "_join", join_at_once),
    ("leader_frozen_in_transfer", Writer, "commit", _without_lead),
    ("two_leaders", ShareBook, "transfer_to", told_at_once),
    ("state_outage_in_transfer", ShareBook, "_join", join_at_once),
    ("cut_in_one_direction", ShareBook, "acknowledged", _unheard),
    ("share_moves", ShareBook, "acknowledged", _unheard),
    ("gang_at_the_edge", Dispatcher, "_gang_within_limit", _always),
    ("steady_and_alternating", RecentPeak, "note", _nothing_of_late),
    ("wrong_cell", CellQuota, "_is_other_cell", _never),
    ("lost_cell", ShareBook, "check_peer", _any_peer),
]


@pytest.mark.parametrize("guard", GUARDS, ids=lambda guard: f"{guard[0]}-{guard[1].__name__}.{guard[2]}")
def test_cells_fail_without_a_guard(
    guard: tuple[str, type, str, Callable[..., object]], monkeypatch: pytest.MonkeyPatch
) -> None:
    name, owner, method, stub = guard
    take_out(monkeypatch, owner, method, stub)
    outcomes = [
        found for _, text in variants(CELLS / f"{name}.txt") for seed in (1, 2) for found in play(text, seed)
    ]
    assert outcomes != []
