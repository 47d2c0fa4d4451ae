"""When a peer is better connected than the leader, and when leadership is transferred to it."""

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


def test_peer_that_reaches_a_strict_superset_is_better_connected() -> None:
    links = Connectivity("a", 2.0, Clock())
    links.record_response("b", ["a", "c"])
    assert links.better_connected_peer() == "b"
    # Now "a" reaches all that "b" reaches.
    links.record_response("c", ["a", "b"])
    assert links.better_connected_peer() is None


def test_peer_that_misses_a_reachable_controller_is_not_better_connected() -> None:
    links = Connectivity("a", 2.0, Clock())
    links.record_response("b", ["a", "d"])
    links.record_response("c", ["a"])
    assert links.better_connected_peer() is None


def test_peer_that_does_not_reach_this_node_or_lists_no_peers_is_not_better_connected() -> None:
    links = Connectivity("a", 2.0, Clock())
    links.record_response("b", ["c", "d"])
    assert links.better_connected_peer() is None
    # An earlier version lists no peers.
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
    # "b" was cut off in between: its return does not restart the time that "c" has been unreachable.
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
    # "b" refuses the connection, so its host is reachable: a packet filter, or its process has just ended.
    links.connection_lost("b", timed_out=False)
    assert not links.is_unreachable("b")
    links.connection_lost("b", timed_out=True)
    links.record_response("b", ["a"])
    assert not links.is_unreachable("b")


class RevocableLeaseStore(Store):
    """A state service that revokes leases, or fails with the given error."""

    def __init__(self, error: Exception | None) -> None:
        self.error = error
        self.revoked: list[int] = []

    def revoke_lease(self, lease_id: int) -> None:
        if self.error is not None:
            raise self.error
        self.revoked.append(lease_id)


@pytest.mark.parametrize("error", [None, StoreRejectedError("503"), OutcomeUnknownError("lost")], ids=str)
def test_leadership_is_transferred_only_if_the_state_service_revokes_the_lease(
    error: Exception | None,
) -> None:
    # A leader that resigned as an outage of the state service began left the cell without a leader for 50 s.
    store, leadership_lost = RevocableLeaseStore(error), []
    world = World(1, 10.0, 30.0, [Team("alpha")])
    election = Election(
        world.settings,
        Options(),
        store,
        lambda term: None,
        lambda: leadership_lost.append(True),
        lambda: False,
        world.rng,
    )
    election.term = Term(5, 40, 7, 0.0, 5)
    election.resign_if_lease_revoked("a peer is better connected")
    assert (election.term is None, leadership_lost, store.revoked) == (
        (True, [True], [7]) if error is None else (False, [], [])
    )
