"""`quota status`: whether the allocations of all cells and the transfers between them add up."""

from __future__ import annotations

import pytest

from poppyhold.quota.amounts import UNIT, ResourceAllocation, ResourceAmount, TeamAllocation, TeamAmount
from poppyhold.quota.messages import (
    CellView,
    PeerView,
    RemoteCellView,
    StatusResponse,
    TeamView,
)
from poppyhold.quota.records import Transfer
from poppyhold.quota.status import render, summarize

WHOLE = TeamAllocation(ResourceAllocation(), ResourceAllocation(2 * UNIT, 6 * UNIT))
TRANSFER = Transfer(1, {"alpha": TeamAmount(accelerators=ResourceAmount(0, UNIT))})


def view(cell: str, borrowable: int, *peers: PeerView, alarms: list[str] | None = None) -> CellView:
    allocation = TeamAllocation(ResourceAllocation(), ResourceAllocation(UNIT, borrowable * UNIT))
    return CellView(cell, cell, [TeamView("alpha", allocation, WHOLE)], list(peers), alarms or [])


def status(own: CellView, *others: CellView) -> tuple[int, list[str], bool]:
    summary = summarize(StatusResponse(own, [RemoteCellView(other, 2.0) for other in others]))
    assert "alpha" in render(summary)
    return summary.exit_status, summary.problems, summary.added_up


IN_TRANSIT = PeerView("west", 1, 0, TRANSFER)
APPLIED = PeerView("east", 0, 1)


@pytest.mark.parametrize(
    ("east", "west"),
    [
        pytest.param(view("east", 3), view("west", 3), id="at-rest"),
        pytest.param(view("east", 2, IN_TRANSIT), view("west", 3), id="in-transit"),
        pytest.param(view("east", 2, IN_TRANSIT), view("west", 4, APPLIED), id="applied-not-acknowledged"),
    ],
)
def test_allocations_and_transfers_in_transit_add_up(east: CellView, west: CellView) -> None:
    assert status(east, west) == (0, [], True)


def test_allocations_that_do_not_add_up_are_a_problem() -> None:
    code, problems, _ = status(view("east", 3), view("west", 4))
    assert code == 1
    assert problems == ["team alpha, gpus: limits add up to 9 of 8"]


def test_views_of_different_times_are_not_added_up() -> None:
    # The source's view is from before its debit.
    assert status(view("east", 3), view("west", 4, APPLIED)) == (0, [], False)


def test_an_alarm_sets_the_exit_status() -> None:
    assert status(view("east", 3, alarms=["use above share"]), view("west", 3))[0] == 1
