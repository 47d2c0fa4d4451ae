"""How long a team's use is held back: short at first, longer while its share goes to and fro."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from poppyhold.quota.retention import RetentionTimes

LONGEST_S = 8.0
SHORTEST_S = 1.0
TEAM, OTHER = "shipping", "billing"


def test_a_share_that_comes_back_is_held_longer_each_time_up_to_a_bound() -> None:
    holds = RetentionTimes(LONGEST_S)
    found = [holds.seconds(TEAM, 0.0)]
    for now in (1.0, 2.0, 3.0):
        holds.note_debit(TEAM, now)
        holds.note_unmet_demand([TEAM], now + 0.5)
        found.append(holds.seconds(TEAM, now + 0.5))
    assert found == [SHORTEST_S, 4.0, LONGEST_S, LONGEST_S]
    assert holds.seconds(OTHER, 3.5) == SHORTEST_S


def test_a_hold_halves_with_each_quiet_period() -> None:
    holds = RetentionTimes(LONGEST_S)
    for now in (0.0, 1.0):
        holds.note_debit(TEAM, now)
        holds.note_unmet_demand([TEAM], now)
    found = [holds.seconds(TEAM, 1.0 + periods * LONGEST_S) for periods in (0.99, 1, 2, 3, 40)]
    assert found == [LONGEST_S, 4.0, 2.0, SHORTEST_S, SHORTEST_S]


def test_a_gift_counts_once_and_not_when_it_is_long_ago() -> None:
    holds = RetentionTimes(LONGEST_S)
    holds.note_debit(TEAM, 0.0)
    holds.note_unmet_demand([TEAM, OTHER], 1.0)
    holds.note_unmet_demand([TEAM, OTHER], 1.5)
    assert holds.seconds(TEAM, 1.5) == 4.0
    holds.note_debit(OTHER, 2.0)
    holds.note_unmet_demand([OTHER], 2.1 + LONGEST_S)
    assert holds.seconds(OTHER, 2.1 + LONGEST_S) == SHORTEST_S


@given(st.lists(st.tuples(st.sampled_from(["gave", "lacked", "look"]), st.floats(0.0, 3 * LONGEST_S))))
def test_holds_stay_within_their_bounds(steps: list[tuple[str, float]]) -> None:
    holds = RetentionTimes(LONGEST_S)
    now = 0.0
    for step, pause_s in steps:
        now += pause_s
        if step == "gave":
            holds.note_debit(TEAM, now)
        elif step == "lacked":
            holds.note_unmet_demand([TEAM], now)
        assert SHORTEST_S <= holds.seconds(TEAM, now) <= LONGEST_S
