"""Which worker is assigned to which relay."""

from __future__ import annotations

import math
from collections import Counter

import pytest

from poppyhold.options import RelayMode
from relay_harness import (
    MACHINES,
    ZONES,
    AssignedFleet,
    assignment,
)


def test_workers_are_spread_evenly_and_in_their_zone_first() -> None:
    fleet = AssignedFleet()
    fleet.settle()
    load = Counter(fleet.at.values())
    # A few of the leader's zone may stay; no relay has more than a quarter above the even share.
    assert len(fleet.at) >= len(MACHINES) - 9
    assert max(load.values()) <= 1.25 * len(MACHINES) / len(ZONES)
    in_zone = sum(ZONES[relay] == MACHINES[machine] for machine, relay in fleet.at.items())
    assert in_zone >= 0.8 * len(fleet.at)


def test_few_workers_are_reassigned_when_a_relay_disconnects_or_connects() -> None:
    fleet = AssignedFleet()
    fleet.settle()
    before = dict(fleet.at)
    fleet.assignment.relay_disconnected("hive-3")
    for machine in [machine for machine, relay in fleet.at.items() if relay == "hive-3"]:
        del fleet.at[machine]
    fleet.settle()
    stayed = sum(fleet.at.get(machine) == relay for machine, relay in before.items() if relay != "hive-3")
    assert stayed >= 0.95 * sum(relay != "hive-3" for relay in before.values())
    after_disconnect = dict(fleet.at)
    fleet.connect("hive-3", "b")
    fleet.settle()
    moved = sum(fleet.at.get(machine) != relay for machine, relay in after_disconnect.items())
    assert moved <= 1.25 * len(MACHINES) / len(ZONES)


def test_a_worker_is_always_redirected_to_the_same_relay() -> None:
    first, second = AssignedFleet(), AssignedFleet()
    machines = list(MACHINES)[:20]
    assert [first.direct(machine) for machine in machines] == [second.direct(machine) for machine in machines]


def test_workers_are_never_redirected_all_in_one_step() -> None:
    fleet = AssignedFleet()
    sent = [machine for machine in MACHINES if fleet.direct(machine) is not None]
    assert 0 < len(sent) <= len(MACHINES) / 16
    fleet.now += 1.0
    sent = [machine for machine in MACHINES if machine not in sent and fleet.direct(machine) is not None]
    assert 0 < len(sent) <= len(MACHINES) / 10


def test_only_recently_answered_workers_are_redirected() -> None:
    fleet = AssignedFleet()
    machine = next(machine for machine, zone in MACHINES.items() if zone == "b")
    assert fleet.direct(machine, answered_ago=5.0) is None
    assert fleet.direct(machine, answered_ago=float("inf")) is None
    assert fleet.direct(machine, answered_ago=1.0) is not None


@pytest.mark.parametrize(
    "is_relayed", [False, True], ids=["no heartbeat through it", "its responses did not arrive"]
)
def test_a_worker_that_returns_is_answered_directly(is_relayed: bool) -> None:
    fleet = AssignedFleet()
    machine = next(machine for machine, zone in MACHINES.items() if zone == "b")
    direct_periods_s = []
    for _ in range(3):
        relay = fleet.assignment.assign(machine, "b", fleet.now)
        assert relay is not None
        if is_relayed:
            fleet.assignment.record_relayed_heartbeat(machine, relay)
        began = fleet.now = fleet.now + 1.0
        while fleet.assignment.assign(machine, "b", fleet.now) is None:
            fleet.now += 1.0
        fleet.assignment._pending_redirects.clear()
        direct_periods_s.append(fleet.now - began)
    assert min(direct_periods_s) >= 10.0
    if not is_relayed:
        # Ever longer, as long as no heartbeat of it comes through the relay.
        assert direct_periods_s[0] < direct_periods_s[1] < direct_periods_s[2]


def test_a_relay_from_which_workers_return_is_not_assigned_workers_for_a_time() -> None:
    fleet = AssignedFleet()
    of_zone = [machine for machine, zone in MACHINES.items() if zone == "c"]
    for machine in of_zone[:2]:
        assert fleet.assignment.assign(machine, "c", fleet.now) == "hive-5"
        fleet.assignment.assign(machine, "c", fleet.now)
    assert fleet.assignment.assign(of_zone[2], "c", fleet.now) != "hive-5"


def test_slow_relays_lose_their_workers() -> None:
    fleet = AssignedFleet()
    fleet.settle()
    assert "hive-5" in fleet.at.values()
    for _ in range(200):
        fleet.assignment.record_round_trip("hive-5", 0.3)
        fleet.settle(1)
    assert "hive-5" not in fleet.at.values()
    for member in ZONES:
        fleet.assignment.record_round_trip(member, 0.3)
    relay = next(iter(fleet.at.values()))
    machine = next(machine for machine, there in fleet.at.items() if there == relay)
    # No other is left: the worker returns to the leader.
    assert fleet.assignment.reassign(machine, MACHINES[machine], relay, fleet.now) == "hive-0"


def test_relays_are_assigned_workers_once_their_round_trip_is_known() -> None:
    fleet = AssignedFleet()
    for member in list(ZONES):
        fleet.assignment.relay_disconnected(member)
    machine = next(machine for machine, zone in MACHINES.items() if zone == "b")
    fleet.assignment.relay_connected("hive-3", "b")
    fleet.assignment.record_round_trip("hive-3", 0.0)
    assert fleet.direct(machine) is None
    fleet.assignment.record_round_trip("hive-3", 0.01)
    assert fleet.direct(machine) == "hive-3"


def test_workers_of_the_leaders_zone_stay_if_all_relays_are_in_other_zones() -> None:
    fleet = AssignedFleet()
    for member in ("hive-1", "hive-2"):
        fleet.assignment.relay_disconnected(member)
    of_zone = [machine for machine, zone in MACHINES.items() if zone == "a"]
    assert [fleet.direct(machine) for machine in of_zone[:8]] == [None] * 8
    # Above the bound connections count more.
    assert fleet.direct(of_zone[8]) is not None


def test_relaying_begins_and_ends_with_the_fleets_size() -> None:
    fleet = assignment(lambda: 0.0, RelayMode.AUTO, enable_threshold=100.0)
    accepted = []
    for count in (99, 100, 60, 50, 49, 99):
        fleet.update_machines({f"vm-{index}" for index in range(count)})
        accepted.append(fleet.accepts_relays)
    assert accepted == [False, True, True, True, False, False]
    off = AssignedFleet(RelayMode.OFF)
    assert not off.assignment.accepts_relays
    assert all(off.direct(machine) is None for machine in MACHINES)


def test_the_leader_advises_relays_of_underloaded_ones() -> None:
    fleet = AssignedFleet()
    for number in range(math.ceil(len(MACHINES) / len(ZONES))):
        fleet.assignment.record_relayed_heartbeat(f"vm-{number:04d}", "hive-1")
    max_workers, underloaded = fleet.assignment.load_advice("hive-1")
    assert max_workers == math.ceil(1.25 * len(MACHINES) / len(ZONES))
    assert set(underloaded) == set(ZONES) - {"hive-1"}
    # With an even share it is not advised.
    assert set(fleet.assignment.load_advice("hive-2")[1]) == set(ZONES) - {"hive-1", "hive-2"}
