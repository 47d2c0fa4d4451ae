"""When a controller may renew workers' leases for the leader, and until when the leader counts on that."""

from __future__ import annotations

import logging

import msgspec
import pytest

from poppyhold.cluster.lease_proxy import LeaseProxies, LeaseProxy, Trust
from poppyhold.model.context import Times
from poppyhold.options import Options
from poppyhold.wire.messages import Report, parse_report
from test_attempts import leading_world
from world import World

SKEW_S = 0.5
TOKEN = 7
# When the leader was last sure of everything.
KNOWN_WALL = 1000.0


def make_times() -> Times:
    return Times(World(1, 10.0, 30.0, []).settings, Options())


def report(token: int = TOKEN) -> Report:
    world, _ = leading_world()
    return msgspec.structs.replace(parse_report(world.workers["vm-000001"].report()), token=token)


class Clocks:
    """A monotonic clock and a time of day that the test sets."""

    def __init__(self) -> None:
        self.now = 100.0
        self.wall = KNOWN_WALL


def proxy(clocks: Clocks) -> tuple[LeaseProxy, Times]:
    """A controller that hears the leader just now."""
    times = make_times()
    made = LeaseProxy(times, SKEW_S, lambda: clocks.now, lambda: clocks.wall)
    made.heard(TOKEN, Trust(TOKEN, KNOWN_WALL, ["vm-excluded"]))
    return made, times


LONG_AGO = float("-inf")


def test_nobody_stands_in_while_the_leader_is_heard() -> None:
    clocks = Clocks()
    made, times = proxy(clocks)
    worker = report()
    clocks.now += times.proxy_after_s
    assert made.may_answer(worker, LONG_AGO, TOKEN, True) is None
    clocks.now += 0.1
    assert made.may_answer(worker, LONG_AGO, TOKEN, True) == TOKEN
    # It is heard again, and vouches for nothing yet.
    made.heard(TOKEN, None)
    clocks.now += 2 * times.proxy_after_s
    assert made.may_answer(worker, LONG_AGO, TOKEN, True) is None


def test_a_leader_of_before_takes_back_nothing_that_a_newer_one_vouched_for() -> None:
    clocks = Clocks()
    made, times = proxy(clocks)
    clocks.now += 2 * times.proxy_after_s
    made.heard(TOKEN - 1, Trust(TOKEN - 1, KNOWN_WALL, []))
    assert made.may_answer(report(), LONG_AGO, TOKEN, True) == TOKEN
    assert made.may_answer(report(TOKEN - 1), LONG_AGO, TOKEN, True) is None


@pytest.mark.parametrize(
    ("known_token", "unreachable", "expected"),
    [
        pytest.param(TOKEN, True, TOKEN, id="partition"),
        pytest.param(TOKEN, False, None, id="leader-can-be-reached"),
        pytest.param(TOKEN - 1, True, None, id="another-key"),
    ],
)
def test_with_the_state_service_only_a_partition_makes_one_stand_in(
    known_token: int, unreachable: bool, expected: int | None
) -> None:
    clocks = Clocks()
    made, times = proxy(clocks)
    clocks.now += 2 * times.proxy_after_s
    worker = report()
    assert made.may_answer(worker, clocks.now - times.proxy_after_s, known_token, unreachable) == expected
    # Without it for as long as without the leader nothing else is asked for.
    assert made.may_answer(worker, clocks.now - 1.1 * times.proxy_after_s, known_token, unreachable) == TOKEN


def test_what_the_leader_vouched_for_ends_by_its_own_time_of_day() -> None:
    clocks = Clocks()
    made, times = proxy(clocks)
    clocks.now += 2 * times.proxy_after_s
    worker = report()
    clocks.wall = KNOWN_WALL + times.blind_answers_s - 2 * SKEW_S
    assert made.may_answer(worker, LONG_AGO, TOKEN, True) == TOKEN
    clocks.wall += 0.1
    assert made.may_answer(worker, LONG_AGO, TOKEN, True) is None


def test_only_workers_of_that_leader_whose_machine_holds_nothing_to_be_stopped_are_answered() -> None:
    clocks = Clocks()
    made, times = proxy(clocks)
    clocks.now += 2 * times.proxy_after_s
    worker = report()
    assert made.may_answer(worker, LONG_AGO, TOKEN, True) == TOKEN
    for token in (TOKEN - 1, TOKEN + 1):
        assert made.may_answer(report(token), LONG_AGO, TOKEN, True) is None
    # There is a leader behind that one.
    assert made.may_answer(worker, LONG_AGO, TOKEN + 1, True) is None
    assert (
        made.may_answer(msgspec.structs.replace(worker, machine="vm-excluded"), LONG_AGO, TOKEN, True) is None
    )


def test_standing_in_is_logged_once_for_each_time(caplog: pytest.LogCaptureFixture) -> None:
    clocks = Clocks()
    made, times = proxy(clocks)
    worker = report()
    with caplog.at_level(logging.INFO, "poppyhold.cluster.lease_proxy"):
        for _ in range(2):
            clocks.now += 2 * times.proxy_after_s
            for _ in range(3):
                made.may_answer(worker, LONG_AGO, TOKEN, True)
            made.heard(TOKEN, Trust(TOKEN, KNOWN_WALL, []))
    assert len(caplog.records) == 2


# -- the leader's side ----------------------------------------------------------------------------------


def test_nobody_stood_in_who_was_never_told() -> None:
    proxies = LeaseProxies(make_times(), SKEW_S)
    # An answer to a leader of before.
    proxies.answered("hive-1", 5.0)
    assert proxies.until(1000.0) == float("-inf")


def test_who_answers_in_time_stood_in_for_nobody() -> None:
    times = make_times()
    proxies = LeaseProxies(times, SKEW_S)
    proxies.telling("hive-1", 0.0)
    assert proxies.until(times.proxy_after_s) == float("-inf")
    proxies.answered("hive-1", 1.0)
    # An answer to a question of before that comes late takes nothing back.
    proxies.answered("hive-1", 0.5)
    assert proxies.until(1.0 + times.proxy_after_s) == float("-inf")
    # Being told says nothing of whether it hears that.
    proxies.telling("hive-1", 4.0)
    now = 1.2 + times.proxy_after_s
    assert proxies.until(now) == now


def test_who_was_silent_may_have_stood_in_for_as_long_as_it_was_vouched_for() -> None:
    times = make_times()
    proxies = LeaseProxies(times, SKEW_S)
    proxies.telling("hive-1", 0.0)
    proxies.telling("hive-2", 0.0)
    longest_s = times.blind_answers_s * 1.001 + 4 * SKEW_S
    assert proxies.until(longest_s - 1.0) == longest_s - 1.0
    assert proxies.until(longest_s + 50.0) == longest_s
    # It is heard again: what was so far stays, and ends there.
    proxies.answered("hive-1", longest_s - 2.0)
    proxies.answered("hive-2", longest_s - 3.0)
    assert proxies.until(longest_s - 1.0) == longest_s - 2.0
    # Silent once more, without a newer word: never earlier than what was found before.
    assert proxies.until(longest_s + 50.0) == longest_s
