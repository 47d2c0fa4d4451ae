"""Apportionment of limits and guarantees to cells: exact sums, whole units, reserves."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from poppyhold.configuration_checks import ConfigError
from poppyhold.quota.amounts import UNIT, ResourceAllocation, ResourceAmount, TeamAllocation
from poppyhold.quota.apportionment import (
    apportion,
    initial_allocation,
    initial_reserve,
    total_allocation,
)
from poppyhold.scheduling.quotas import Quotas, TeamQuota
from poppyhold.settings import Team

WEIGHTS = st.dictionaries(st.sampled_from("abcde"), st.integers(1, 10**9), min_size=1)


@given(st.integers(0, 10**7), WEIGHTS)
def test_apportioned_parts_add_up_and_are_whole(amount: int, weights: dict[str, int]) -> None:
    parts = apportion(amount, weights)
    assert sum(parts.values()) == amount
    assert sum(part % UNIT != 0 for part in parts.values()) <= 1
    total_weight = sum(weights.values())
    whole_units = amount // UNIT * UNIT
    fraction = amount - whole_units
    for cell, part in parts.items():
        # Only one cell's part holds the fraction of a unit.
        units = part if part % UNIT == 0 else part - fraction
        assert abs(units - whole_units * weights[cell] / total_weight) < UNIT


@given(st.integers(0, 10**6), st.integers(0, 10**6), WEIGHTS)
def test_initial_allocations_add_up_with_guarantees_within_limits(
    guaranteed: int, borrowable: int, weights: dict[str, int]
) -> None:
    total = TeamAllocation(ResourceAllocation(), ResourceAllocation(guaranteed, borrowable))
    allocations = [initial_allocation(total, weights, cell).accelerators for cell in weights]
    assert sum(allocation.guaranteed for allocation in allocations) == guaranteed
    assert sum(allocation.limit or 0 for allocation in allocations) == guaranteed + borrowable
    assert all(0 <= allocation.guaranteed <= (allocation.limit or 0) for allocation in allocations)


def test_no_limit_and_a_zero_allocation_differ() -> None:
    quotas = Quotas([Team("free"), Team("bound", accelerators=2, accelerators_max=4)])
    task = (1.0, 1.0, 1.0, 1.0)
    assert quotas.allows("free", (100.0, 100.0), task)
    total = total_allocation(Team("bound", accelerators=2, accelerators_max=4))
    quotas.set("bound", total.zeroed().quota(total))
    assert not quotas.allows("bound", (0.0, 0.0), task)
    assert not quotas.has_guarantee("bound")
    assert not quotas.within_guarantee("bound", 1.0, 1.0)
    # CPUs have no limit: a task without accelerators is allowed.
    assert quotas.allows("bound", (100.0, 0.0), (1.0, 0.0, 1.0, 1.0))


def test_a_zero_guarantee_covers_no_accelerator() -> None:
    quota = TeamQuota(cpus_guaranteed=8.0, accelerators_guaranteed=0.0)
    assert quota.covers(4.0, 0.0)
    assert not quota.covers(4.0, 1.0)


def test_a_guarantee_above_the_limit_is_rejected() -> None:
    with pytest.raises(ConfigError, match=r"settings\.teams\.alpha\.gpus"):
        total_allocation(Team("alpha", accelerators=5, accelerators_max=4))


def test_a_reserve_is_whole_units_of_the_initial_allocation() -> None:
    first = TeamAllocation(ResourceAllocation(3 * UNIT, None), ResourceAllocation(2 * UNIT, 5 * UNIT))
    reserved = initial_reserve(first, 0.5)
    assert reserved == TeamAllocation(ResourceAllocation(UNIT, None), ResourceAllocation(UNIT, 2 * UNIT))
    assert initial_reserve(first, 0.0) == first.zeroed()
    assert first.cpus.excess_over(reserved.cpus) == ResourceAmount(2 * UNIT, 0)
    assert first.accelerators.excess_over(reserved.accelerators) == ResourceAmount(UNIT, 3 * UNIT)
    # An allocation below its reserve, or older than the reserve, has no excess.
    assert ResourceAllocation(0, UNIT).excess_over(reserved.accelerators) == ResourceAmount(0, 0)
