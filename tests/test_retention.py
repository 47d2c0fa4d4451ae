"""Retention of what a team used: short at first, longer while its allocation moves back and forth."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from poppyhold.quota.retention import RetentionTimes

LONGEST_S = 8.0
SHORTEST_S = 1.0
TEAM, OTHER = "shipping", "billing"


def test_an_allocation_that_returns_is_retained_longer_each_time_up_to_a_bound() -> None:
    retention = RetentionTimes(LONGEST_S)
    retention_s = [retention.seconds(TEAM, 0.0)]
    for now in (1.0, 2.0, 3.0):
        retention.record_debit(TEAM, now)
        retention.record_unmet_demand([TEAM], now + 0.5)
        retention_s.append(retention.seconds(TEAM, now + 0.5))
    assert retention_s == [SHORTEST_S, 4.0, LONGEST_S, LONGEST_S]
    assert retention.seconds(OTHER, 3.5) == SHORTEST_S


def test_retention_halves_with_each_quiet_period() -> None:
    retention = RetentionTimes(LONGEST_S)
    for now in (0.0, 1.0):
        retention.record_debit(TEAM, now)
        retention.record_unmet_demand([TEAM], now)
    retention_s = [retention.seconds(TEAM, 1.0 + periods * LONGEST_S) for periods in (0.99, 1, 2, 3, 40)]
    assert retention_s == [LONGEST_S, 4.0, 2.0, SHORTEST_S, SHORTEST_S]


def test_a_debit_counts_once_and_only_if_it_is_recent() -> None:
    retention = RetentionTimes(LONGEST_S)
    retention.record_debit(TEAM, 0.0)
    retention.record_unmet_demand([TEAM, OTHER], 1.0)
    retention.record_unmet_demand([TEAM, OTHER], 1.5)
    assert retention.seconds(TEAM, 1.5) == 4.0
    retention.record_debit(OTHER, 2.0)
    retention.record_unmet_demand([OTHER], 2.1 + LONGEST_S)
    assert retention.seconds(OTHER, 2.1 + LONGEST_S) == SHORTEST_S


@given(st.lists(st.tuples(st.sampled_from(["debit", "unmet", "read"]), st.floats(0.0, 3 * LONGEST_S))))
def test_retention_stays_within_its_bounds(steps: list[tuple[str, float]]) -> None:
    retention = RetentionTimes(LONGEST_S)
    now = 0.0
    for step, pause_s in steps:
        now += pause_s
        if step == "debit":
            retention.record_debit(TEAM, now)
        elif step == "unmet":
            retention.record_unmet_demand([TEAM], now)
        assert SHORTEST_S <= retention.seconds(TEAM, now) <= LONGEST_S
