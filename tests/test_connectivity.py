"""Which controller is placed best to lead."""

from __future__ import annotations

import pytest

from poppyhold.cluster.connectivity import Connectivity
from poppyhold.cluster.election import Election, Term
from poppyhold.durable.errors import OutcomeUnknownError, StoreRejectedError
from poppyhold.durable.store import Store
from poppyhold.options import Options
from poppyhold.settings import Team
from world import World


class Clock:
    """A clock that the test sets."""

    def __init__(self) -> None:
        self.now = 0.0

    def __call__(self) -> float:
        return self.now


def test_peer_that_reaches_all_that_we_reach_and_more_is_better_connected() -> None:
    links = Connectivity("a", 2.0, Clock())
    links.record_response("b", ["a", "c"])
    assert links.better_connected_peer() == "b"
    # Now we reach all that it reaches.
    links.record_response("c", ["a", "b"])
    assert links.better_connected_peer() is None


def test_peer_that_reaches_others_but_not_all_of_ours_is_not_better_connected() -> None:
    links = Connectivity("a", 2.0, Clock())
    links.record_response("b", ["a", "d"])
    links.record_response("c", ["a"])
    assert links.better_connected_peer() is None


def test_peer_that_does_not_reach_us_or_lists_nobody_is_not_better_connected() -> None:
    links = Connectivity("a", 2.0, Clock())
    links.record_response("b", ["c", "d"])
    assert links.better_connected_peer() is None
    # A version before this one.
    links.record_response("b", [])
    assert links.better_connected_peer() is None


def test_responses_expire_and_lost_connections_count_at_once() -> None:
    clock = Clock()
    links = Connectivity("a", 2.0, clock)
    links.record_response("b", ["a", "c"])
    links.connection_lost("b", timed_out=False)
    assert links.reachable_peers() == []
    links.record_response("b", ["a", "c"])
    clock.now = 2.5
    assert links.better_connected_peer() is None


def test_only_a_controller_unreachable_for_a_while_makes_a_peer_better_connected() -> None:
    clock = Clock()
    links = Connectivity("a", 2.0, clock)
    links.record_response("b", ["a", "c"])
    links.record_response("c", ["a", "b"])
    clock.now = 1.0
    links.connection_lost("c", timed_out=False)
    links.record_response("b", ["a", "c"])
    assert links.better_connected_peer() == "b"
    assert links.better_connected_peer(unreachable_s=2.5) is None
    clock.now = 2.5
    links.record_response("b", ["a", "c"])
    assert links.better_connected_peer(unreachable_s=2.5) == "b"
    # Who comes back just then, after a cut of its own, has not to be waited for once more.
    links.connection_lost("b", timed_out=False)
    clock.now = 10.0
    assert links.better_connected_peer(unreachable_s=2.5) is None
    links.record_response("b", ["a", "c"])
    assert links.better_connected_peer(unreachable_s=2.5) == "b"
    links.record_response("c", ["a", "b"])
    assert links.better_connected_peer() is None


def test_a_controller_that_never_responded_counts_as_unreachable_from_the_start() -> None:
    clock = Clock()
    links = Connectivity("a", 2.0, clock)
    clock.now = 1.0
    links.record_response("b", ["a", "c"])
    assert links.better_connected_peer(unreachable_s=2.5) is None
    clock.now = 2.5
    links.record_response("b", ["a", "c"])
    assert links.better_connected_peer(unreachable_s=2.5) == "b"


def test_only_a_peer_that_times_out_is_unreachable() -> None:
    links = Connectivity("a", 2.0, Clock())
    links.connection_lost("b", timed_out=True)
    links.connection_lost("c", timed_out=False)
    assert (links.is_unreachable("b"), links.is_unreachable("c")) == (True, False)
    # It is there, and refuses us: perhaps a packet filter, or its process has just ended.
    links.connection_lost("b", timed_out=False)
    assert not links.is_unreachable("b")
    links.connection_lost("b", timed_out=True)
    links.record_response("b", ["a"])
    assert not links.is_unreachable("b")


class RevocableLeaseStore(Store):
    """A state service that takes back leases, or does not."""

    def __init__(self, error: Exception | None) -> None:
        self.error = error
        self.ended: list[int] = []

    def revoke_lease(self, lease_id: int) -> None:
        if self.error is not None:
            raise self.error
        self.ended.append(lease_id)


@pytest.mark.parametrize("error", [None, StoreRejectedError("503"), OutcomeUnknownError("lost")], ids=str)
def test_leadership_is_transferred_only_if_the_state_service_revokes_the_lease(
    error: Exception | None,
) -> None:
    # In a run a leader resigned as an outage began, and nobody led for 50 s.
    store, deposed = RevocableLeaseStore(error), []
    world = World(1, 10.0, 30.0, [Team("alpha")])
    election = Election(
        world.settings,
        Options(),
        store,
        lambda term: None,
        lambda: deposed.append(True),
        lambda: False,
        world.rng,
    )
    election.term = Term(5, 40, 7, 0.0)
    election.resign_if_lease_revoked("another one reaches more")
    assert (election.term is None, deposed, store.ended) == (
        (True, [True], [7]) if error is None else (False, [], [])
    )
