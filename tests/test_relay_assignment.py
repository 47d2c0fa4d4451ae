"""Which worker is assigned to which relay."""

from __future__ import annotations

import math
from collections import Counter

import pytest

from poppyhold.relay.relay_mode import RelayMode
from relay_harness import (
    MACHINES,
    ZONES,
    Plan,
    assignment,
)


def test_workers_are_spread_evenly_and_in_their_zone_first() -> None:
    plan = Plan()
    plan.settle()
    load = Counter(plan.at.values())
    # A few of the leader's zone may stay; nobody has more than a quarter above the even share.
    assert len(plan.at) >= len(MACHINES) - 9
    assert max(load.values()) <= 1.25 * len(MACHINES) / len(ZONES)
    near = sum(ZONES[relay] == MACHINES[machine] for machine, relay in plan.at.items())
    assert near >= 0.8 * len(plan.at)


def test_few_move_when_a_relay_goes_or_comes() -> None:
    plan = Plan()
    plan.settle()
    before = dict(plan.at)
    plan.assignment.relay_disconnected("hive-3")
    for machine in [machine for machine, relay in plan.at.items() if relay == "hive-3"]:
        del plan.at[machine]
    plan.settle()
    stayed = sum(plan.at.get(machine) == relay for machine, relay in before.items() if relay != "hive-3")
    assert stayed >= 0.95 * sum(relay != "hive-3" for relay in before.values())
    gone = dict(plan.at)
    plan.connect("hive-3", "b")
    plan.settle()
    moved = sum(plan.at.get(machine) != relay for machine, relay in gone.items())
    assert moved <= 1.25 * len(MACHINES) / len(ZONES)


def test_the_same_worker_is_sent_to_the_same_relay() -> None:
    first, second = Plan(), Plan()
    machines = list(MACHINES)[:20]
    assert [first.direct(machine) for machine in machines] == [second.direct(machine) for machine in machines]


def test_workers_are_never_sent_all_in_one_step() -> None:
    plan = Plan()
    sent = [machine for machine in MACHINES if plan.direct(machine) is not None]
    assert 0 < len(sent) <= len(MACHINES) / 16
    plan.now += 1.0
    sent = [machine for machine in MACHINES if machine not in sent and plan.direct(machine) is not None]
    assert 0 < len(sent) <= len(MACHINES) / 10


def test_only_who_was_answered_lately_is_sent() -> None:
    plan = Plan()
    machine = next(machine for machine, zone in MACHINES.items() if zone == "b")
    assert plan.direct(machine, answered_ago=5.0) is None
    assert plan.direct(machine, answered_ago=float("inf")) is None
    assert plan.direct(machine, answered_ago=1.0) is not None


@pytest.mark.parametrize("heard", [False, True], ids=["never heard there", "its answers did not arrive"])
def test_a_worker_that_comes_back_is_answered_directly(heard: bool) -> None:
    plan = Plan()
    machine = next(machine for machine, zone in MACHINES.items() if zone == "b")
    rests = []
    for _ in range(3):
        relay = plan.assignment.assign(machine, "b", plan.now)
        assert relay is not None
        if heard:
            plan.assignment.note_relayed_heartbeat(machine, relay)
        began = plan.now = plan.now + 1.0
        while plan.assignment.assign(machine, "b", plan.now) is None:
            plan.now += 1.0
        plan.assignment._pending_redirects.clear()
        rests.append(plan.now - began)
    assert min(rests) >= 10.0
    if not heard:
        # Ever longer, as long as it is not heard there at all.
        assert rests[0] < rests[1] < rests[2]


def test_a_relay_that_lets_workers_down_gets_no_more_for_a_while() -> None:
    plan = Plan()
    of_zone = [machine for machine, zone in MACHINES.items() if zone == "c"]
    for machine in of_zone[:2]:
        assert plan.assignment.assign(machine, "c", plan.now) == "hive-5"
        plan.assignment.assign(machine, "c", plan.now)
    assert plan.assignment.assign(of_zone[2], "c", plan.now) != "hive-5"


def test_slow_relays_lose_their_workers() -> None:
    plan = Plan()
    plan.settle()
    assert "hive-5" in plan.at.values()
    for _ in range(200):
        plan.assignment.note_round_trip("hive-5", 0.3)
        plan.settle(1)
    assert "hive-5" not in plan.at.values()
    for member in ZONES:
        plan.assignment.note_round_trip(member, 0.3)
    relay = next(iter(plan.at.values()))
    machine = next(machine for machine, there in plan.at.items() if there == relay)
    # No other is left: the leader takes it itself.
    assert plan.assignment.reassign(machine, MACHINES[machine], relay, plan.now) == "hive-0"


def test_relays_get_workers_once_they_know_how_long_their_way_is() -> None:
    plan = Plan()
    for member in list(ZONES):
        plan.assignment.relay_disconnected(member)
    machine = next(machine for machine, zone in MACHINES.items() if zone == "b")
    plan.assignment.relay_connected("hive-3", "b")
    plan.assignment.note_round_trip("hive-3", 0.0)
    assert plan.direct(machine) is None
    plan.assignment.note_round_trip("hive-3", 0.01)
    assert plan.direct(machine) == "hive-3"


def test_workers_of_the_leaders_zone_stay_if_all_relays_stand_elsewhere() -> None:
    plan = Plan()
    for member in ("hive-1", "hive-2"):
        plan.assignment.relay_disconnected(member)
    of_zone = [machine for machine, zone in MACHINES.items() if zone == "a"]
    assert [plan.direct(machine) for machine in of_zone[:8]] == [None] * 8
    # Above the bound connections count more.
    assert plan.direct(of_zone[8]) is not None


def test_relaying_begins_and_ends_with_the_fleets_size() -> None:
    plan = assignment(lambda: 0.0, RelayMode.AUTO, from_workers=100.0)
    wanted = []
    for count in (99, 100, 60, 50, 49, 99):
        plan.update_machines({f"vm-{index}" for index in range(count)})
        wanted.append(plan.relays_wanted)
    assert wanted == [False, True, True, True, False, False]
    off = Plan(RelayMode.OFF)
    assert not off.assignment.relays_wanted
    assert all(off.direct(machine) is None for machine in MACHINES)


def test_the_leader_tells_relays_who_has_room() -> None:
    plan = Plan()
    for number in range(math.ceil(len(MACHINES) / len(ZONES))):
        plan.assignment.note_relayed_heartbeat(f"vm-{number:04d}", "hive-1")
    most, roomy = plan.assignment.load_advice("hive-1")
    assert most == math.ceil(1.25 * len(MACHINES) / len(ZONES))
    assert set(roomy) == set(ZONES) - {"hive-1"}
    # With an even share it is nobody's next.
    assert set(plan.assignment.load_advice("hive-2")[1]) == set(ZONES) - {"hive-1", "hive-2"}
