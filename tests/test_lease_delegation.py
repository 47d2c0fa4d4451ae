"""Lease delegation: when a delegate may renew workers' leases, and how the leader bounds such renewals."""

from __future__ import annotations

import logging

import msgspec
import pytest

from poppyhold.cluster.delegated_renewals import DelegatedRenewals
from poppyhold.cluster.lease_delegation import DelegationTracker, LeaseDelegation
from poppyhold.model.durations import Durations
from poppyhold.options import Options
from poppyhold.wire.worker_messages import Heartbeat, parse_heartbeat
from test_reconciliation import leading_world
from world import World

SKEW_S = 0.5
FENCING_TOKEN = 7
# Wall-clock time up to which the leader's delegation is confirmed.
CONFIRMED_UNTIL_WALL = 1000.0


def make_durations() -> Durations:
    return Durations(World(1, 10.0, 30.0, []).settings, Options())


def heartbeat(fencing_token: int = FENCING_TOKEN) -> Heartbeat:
    world, _ = leading_world()
    return msgspec.structs.replace(
        parse_heartbeat(world.workers["vm-000001"].heartbeat()), fencing_token=fencing_token
    )


class Clocks:
    """A monotonic clock and a wall clock that the test sets."""

    def __init__(self) -> None:
        self.now = 100.0
        self.wall = CONFIRMED_UNTIL_WALL


def delegate(clocks: Clocks) -> tuple[DelegatedRenewals, Durations]:
    """A delegate that has just received a ping of the leader."""
    durations = make_durations()
    renewals = DelegatedRenewals(durations, SKEW_S, lambda: clocks.now, lambda: clocks.wall)
    renewals.observe_leader(
        FENCING_TOKEN, LeaseDelegation(FENCING_TOKEN, CONFIRMED_UNTIL_WALL, ["vm-excluded"])
    )
    return renewals, durations


LONG_AGO = float("-inf")


def test_no_lease_is_renewed_while_pings_of_the_leader_arrive() -> None:
    clocks = Clocks()
    renewals, durations = delegate(clocks)
    worker = heartbeat()
    clocks.now += durations.delegated_renewal_after_s
    assert renewals.renewal_fencing_token(worker, LONG_AGO, FENCING_TOKEN, True) is None
    clocks.now += 0.1
    assert renewals.renewal_fencing_token(worker, LONG_AGO, FENCING_TOKEN, True) == FENCING_TOKEN
    # The leader pings again, without a delegation yet.
    renewals.observe_leader(FENCING_TOKEN, None)
    clocks.now += 2 * durations.delegated_renewal_after_s
    assert renewals.renewal_fencing_token(worker, LONG_AGO, FENCING_TOKEN, True) is None


def test_an_earlier_leader_revokes_no_delegation_of_a_newer_one() -> None:
    clocks = Clocks()
    renewals, durations = delegate(clocks)
    clocks.now += 2 * durations.delegated_renewal_after_s
    renewals.observe_leader(FENCING_TOKEN - 1, LeaseDelegation(FENCING_TOKEN - 1, CONFIRMED_UNTIL_WALL, []))
    assert renewals.renewal_fencing_token(heartbeat(), LONG_AGO, FENCING_TOKEN, True) == FENCING_TOKEN
    assert renewals.renewal_fencing_token(heartbeat(FENCING_TOKEN - 1), LONG_AGO, FENCING_TOKEN, True) is None


@pytest.mark.parametrize(
    ("known_fencing_token", "unreachable", "expected"),
    [
        pytest.param(FENCING_TOKEN, True, FENCING_TOKEN, id="partition"),
        pytest.param(FENCING_TOKEN, False, None, id="leader-can-be-reached"),
        pytest.param(FENCING_TOKEN - 1, True, None, id="another-key"),
    ],
)
def test_with_a_reachable_state_service_leases_are_renewed_only_in_a_partition(
    known_fencing_token: int, unreachable: bool, expected: int | None
) -> None:
    clocks = Clocks()
    renewals, durations = delegate(clocks)
    clocks.now += 2 * durations.delegated_renewal_after_s
    worker = heartbeat()
    assert (
        renewals.renewal_fencing_token(
            worker, clocks.now - durations.delegated_renewal_after_s, known_fencing_token, unreachable
        )
        == expected
    )
    # With the state service unreachable for as long as the leader, neither of the two conditions applies.
    assert (
        renewals.renewal_fencing_token(
            worker, clocks.now - 1.1 * durations.delegated_renewal_after_s, known_fencing_token, unreachable
        )
        == FENCING_TOKEN
    )


def test_a_delegation_expires_by_the_wall_clock() -> None:
    clocks = Clocks()
    renewals, durations = delegate(clocks)
    clocks.now += 2 * durations.delegated_renewal_after_s
    worker = heartbeat()
    clocks.wall = CONFIRMED_UNTIL_WALL + durations.unconfirmed_renewal_s - 2 * SKEW_S
    assert renewals.renewal_fencing_token(worker, LONG_AGO, FENCING_TOKEN, True) == FENCING_TOKEN
    clocks.wall += 0.1
    assert renewals.renewal_fencing_token(worker, LONG_AGO, FENCING_TOKEN, True) is None


def test_only_leases_of_that_leaders_workers_on_machines_not_excluded_are_renewed() -> None:
    clocks = Clocks()
    renewals, durations = delegate(clocks)
    clocks.now += 2 * durations.delegated_renewal_after_s
    worker = heartbeat()
    assert renewals.renewal_fencing_token(worker, LONG_AGO, FENCING_TOKEN, True) == FENCING_TOKEN
    for fencing_token in (FENCING_TOKEN - 1, FENCING_TOKEN + 1):
        assert renewals.renewal_fencing_token(heartbeat(fencing_token), LONG_AGO, FENCING_TOKEN, True) is None
    # There is a newer leader.
    assert renewals.renewal_fencing_token(worker, LONG_AGO, FENCING_TOKEN + 1, True) is None
    assert (
        renewals.renewal_fencing_token(
            msgspec.structs.replace(worker, machine="vm-excluded"), LONG_AGO, FENCING_TOKEN, True
        )
        is None
    )


def test_leases_are_renewed_with_any_token_of_that_leaders_term_and_with_no_other() -> None:
    clocks = Clocks()
    renewals, durations = delegate(clocks)
    highest_fencing_token = FENCING_TOKEN + 9
    renewals.observe_leader(
        FENCING_TOKEN, LeaseDelegation(FENCING_TOKEN, CONFIRMED_UNTIL_WALL, []), highest_fencing_token
    )
    clocks.now += 2 * durations.delegated_renewal_after_s
    for fencing_token in (FENCING_TOKEN, FENCING_TOKEN + 4, highest_fencing_token):
        # The worker's own token: it would drop a response with a lower one.
        assert (
            renewals.renewal_fencing_token(heartbeat(fencing_token), LONG_AGO, FENCING_TOKEN, True)
            == fencing_token
        )
    for fencing_token in (FENCING_TOKEN - 1, highest_fencing_token + 1):
        assert renewals.renewal_fencing_token(heartbeat(fencing_token), LONG_AGO, FENCING_TOKEN, True) is None
    # A leader of the version before uses one token, whatever the one before it used.
    renewals.observe_leader(
        highest_fencing_token + 1, LeaseDelegation(highest_fencing_token + 1, CONFIRMED_UNTIL_WALL, [])
    )
    clocks.now += 2 * durations.delegated_renewal_after_s
    for fencing_token in (FENCING_TOKEN + 4, highest_fencing_token + 2):
        worker = heartbeat(fencing_token)
        assert renewals.renewal_fencing_token(worker, LONG_AGO, highest_fencing_token + 1, True) is None


def test_the_first_renewal_after_each_ping_of_the_leader_is_logged(caplog: pytest.LogCaptureFixture) -> None:
    clocks = Clocks()
    renewals, durations = delegate(clocks)
    worker = heartbeat()
    with caplog.at_level(logging.INFO, "poppyhold.cluster.delegated_renewals"):
        for _ in range(2):
            clocks.now += 2 * durations.delegated_renewal_after_s
            for _ in range(3):
                renewals.renewal_fencing_token(worker, LONG_AGO, FENCING_TOKEN, True)
            renewals.observe_leader(FENCING_TOKEN, LeaseDelegation(FENCING_TOKEN, CONFIRMED_UNTIL_WALL, []))
    assert len(caplog.records) == 2


# -- the leader's side ----------------------------------------------------------------------------------


def test_a_controller_without_a_grant_has_renewed_no_lease() -> None:
    tracker = DelegationTracker(make_durations(), SKEW_S)
    # A response to a ping of an earlier leader.
    tracker.record_response("hive-1", 5.0)
    assert tracker.latest_possible_renewal_at(1000.0) == float("-inf")


def test_a_controller_that_responds_in_time_has_renewed_no_lease() -> None:
    durations = make_durations()
    tracker = DelegationTracker(durations, SKEW_S)
    tracker.record_grant("hive-1", 0.0)
    assert tracker.latest_possible_renewal_at(durations.delegated_renewal_after_s) == float("-inf")
    tracker.record_response("hive-1", 1.0)
    # A late response to an earlier grant does not lower the time of the last response.
    tracker.record_response("hive-1", 0.5)
    assert tracker.latest_possible_renewal_at(1.0 + durations.delegated_renewal_after_s) == float("-inf")
    # A grant does not show that it was received.
    tracker.record_grant("hive-1", 4.0)
    now = 1.2 + durations.delegated_renewal_after_s
    assert tracker.latest_possible_renewal_at(now) == now


def test_a_silent_controller_may_have_renewed_leases_for_as_long_as_its_grant_lasts() -> None:
    durations = make_durations()
    tracker = DelegationTracker(durations, SKEW_S)
    tracker.record_grant("hive-1", 0.0)
    tracker.record_grant("hive-2", 0.0)
    longest_s = durations.unconfirmed_renewal_s * 1.001 + 4 * SKEW_S
    assert tracker.latest_possible_renewal_at(longest_s - 1.0) == longest_s - 1.0
    assert tracker.latest_possible_renewal_at(longest_s + 50.0) == longest_s
    # Both respond again: the bound stays at the latest response.
    tracker.record_response("hive-1", longest_s - 2.0)
    tracker.record_response("hive-2", longest_s - 3.0)
    assert tracker.latest_possible_renewal_at(longest_s - 1.0) == longest_s - 2.0
    # Silent again without a newer grant: the bound does not go back.
    assert tracker.latest_possible_renewal_at(longest_s + 50.0) == longest_s


def test_a_renewal_while_a_ping_was_in_transit_is_within_the_bound() -> None:
    durations = make_durations()
    tracker = DelegationTracker(durations, SKEW_S)
    tracker.record_grant("hive-1", 0.0)
    sent_at = durations.delegated_renewal_after_s + 2.0
    arrived_at = sent_at + 1.0
    tracker.record_grant("hive-1", sent_at)
    renewed_at = arrived_at - 0.1
    tracker.record_response("hive-1", sent_at)
    assert tracker.latest_possible_renewal_at(arrived_at) >= renewed_at
