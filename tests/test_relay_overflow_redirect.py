"""Workers beyond a relay's share are redirected to other relays."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

from poppyhold.relay.overflow_redirect import OverflowRedirector


def redirect_all(overflow: OverflowRedirector, machines: Iterable[str]) -> dict[str, str | None]:
    return {machine: overflow.redirect(machine) for machine in machines}


def test_workers_beyond_a_relays_share_are_redirected_evenly() -> None:
    now = [0.0]
    overflow = OverflowRedirector(1100, 15.0, lambda: now[0])
    own = [f"vm-{number:06d}" for number in range(800)]
    assert set(redirect_all(overflow, own).values()) == {None}
    overflow.update_advice(1000, ["hive-3", "hive-4", "hive-5"])
    # Another relay ends, and its 800 workers come here one by one.
    arriving = [f"vm-{number:06d}" for number in range(1000, 1800)]
    sent = redirect_all(overflow, arriving)
    assert sum(other is None for other in sent.values()) == 200
    spread = Counter(other for other in sent.values() if other is not None)
    assert set(spread) == {"hive-3", "hive-4", "hive-5"}
    assert max(spread.values()) < 1.25 * 600 / 3
    # Those that were here stay, and so does one that returns.
    assert set(redirect_all(overflow, own).values()) == {None}
    returning = next(machine for machine, other in sent.items() if other is not None)
    assert overflow.redirect(returning) is None


def test_two_relays_do_not_redirect_a_worker_to_each_other_endlessly() -> None:
    now = [0.0]
    relays = {member: OverflowRedirector(10, 15.0, lambda: now[0]) for member in ("hive-1", "hive-2")}
    for member, other in (("hive-1", "hive-2"), ("hive-2", "hive-1")):
        redirect_all(relays[member], [f"{member}-{number}" for number in range(10)])
        relays[member].update_advice(10, [other])
    at: str | None = "hive-1"
    hops = 0
    while at is not None:
        at = relays[at].redirect("vm-000001")
        hops += 1
    assert hops == 3


def test_no_worker_is_redirected_without_advice_or_after_a_lost_connection() -> None:
    overflow = OverflowRedirector(2, 15.0, lambda: 0.0)
    assert set(redirect_all(overflow, ["vm-1", "vm-2", "vm-3", "vm-4"]).values()) == {None}
    overflow.update_advice(2, ["hive-3"])
    assert overflow.redirect("vm-5") == "hive-3"
    overflow.update_advice(0, [])
    assert overflow.redirect("vm-6") is None


def test_a_worker_that_left_frees_its_place() -> None:
    now = [0.0]
    overflow = OverflowRedirector(2, 15.0, lambda: now[0])
    overflow.update_advice(2, ["hive-3"])
    assert set(redirect_all(overflow, ["vm-1", "vm-2"]).values()) == {None}
    assert overflow.redirect("vm-3") == "hive-3"
    now[0] = 16.0
    assert overflow.redirect("vm-4") is None
