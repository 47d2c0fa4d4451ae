"""The demand of a team: what is unmet, what can be spared, and what is idle."""

from __future__ import annotations

import pytest

from poppyhold.quota.amounts import ResourceAllocation, ResourceAmount
from poppyhold.quota.demand import ResourceDemand


@pytest.mark.parametrize(
    ("demand", "expected"),
    [
        pytest.param(ResourceDemand(used=4, pending=3, startable=3), (5, 1), id="both"),
        pytest.param(ResourceDemand(used=4, pending=3), (5, 0), id="no-free-capacity"),
        pytest.param(ResourceDemand(used=7), (0, 0), id="nothing-pending"),
        pytest.param(ResourceDemand(used=1, pending=9, startable=9), (6, 4), id="no-more-than-is-guaranteed"),
    ],
)
def test_unmet_amount_of_pending_work(demand: ResourceDemand, expected: tuple[int, int]) -> None:
    allocation, total = ResourceAllocation(2, 4), ResourceAllocation(8, 40)
    assert demand.unmet(allocation, total) == expected


@pytest.mark.parametrize(
    ("demand", "is_stalled", "spare"),
    [
        pytest.param(ResourceDemand(possible_use=3), False, (1, 6), id="above-what-may-run"),
        pytest.param(
            ResourceDemand(possible_use=3, pending=4, startable=4), False, (0, 3), id="above-what-fits"
        ),
        # Work without free capacity here keeps the guarantee, which preempts others, and nothing borrowed.
        pytest.param(
            ResourceDemand(possible_use=3, pending=4), False, (0, 6), id="pending-that-does-not-fit"
        ),
        pytest.param(ResourceDemand(possible_use=3, pending=4, startable=4), True, (1, 6), id="stalled"),
        pytest.param(ResourceDemand(possible_use=3, peak=9), True, (0, 1), id="recent-peak"),
        pytest.param(ResourceDemand(possible_use=30), False, (0, 0), id="more-than-the-allocation"),
    ],
)
def test_spare_part_of_an_allocation(
    demand: ResourceDemand, is_stalled: bool, spare: tuple[int, int]
) -> None:
    assert demand.spare(ResourceAllocation(4, 6), is_stalled=is_stalled) == ResourceAmount(*spare)


def test_without_a_limit_only_the_guarantee_can_be_spared() -> None:
    demand = ResourceDemand(possible_use=1)
    assert demand.spare(ResourceAllocation(4, None), is_stalled=False) == ResourceAmount(3, 0)


@pytest.mark.parametrize(
    ("possible_use", "borrowable", "expected"),
    [
        pytest.param(2, 4, True, id="idle"),
        pytest.param(4, 4, False, id="used-up"),
        pytest.param(2, None, False, id="no-limit"),
    ],
)
def test_work_is_pending_despite_an_idle_allocation(
    possible_use: int, borrowable: int | None, expected: bool
) -> None:
    demand = ResourceDemand(possible_use=possible_use, pending=4)
    assert demand.is_pending_despite_idle(ResourceAllocation(0, borrowable)) is expected
