"""The steps of an election: when a node campaigns, what changes of the leader key do, how a term ends."""

from __future__ import annotations

from types import SimpleNamespace

import pytest

from poppyhold.cluster.election import Election, Term
from poppyhold.cluster.leader_key import Leader
from poppyhold.durable.changes import Delete, DeletedKey, Entry, Put, WatchEvent
from poppyhold.durable.errors import LeaseExpiredError, StoreRejectedError
from poppyhold.durable.keys import FENCING_TOKEN_KEY, LEADER_KEY
from poppyhold.options import Options
from poppyhold.settings import Team
from test_store import UnreliableStore
from world import World

TERM = Term(5, 40, 7, 0.0, 5)
OTHERS_KEY = Entry(LEADER_KEY, {"member": "hive-1", "baton": 6, "permit": 8}, 41)
OWN_KEY = Entry(LEADER_KEY, {"member": "hive-0", "baton": 5, "permit": 7}, 40)


class LeaseStore(UnreliableStore):
    """A state service with leases that records the granted, renewed and revoked ones."""

    def __init__(self) -> None:
        super().__init__()
        self.granted: list[int] = []
        self.renewed: list[int] = []
        self.revoked: list[int] = []
        self.error: Exception | None = None

    def grant_lease(self, ttl_s: float) -> int:
        lease_id = int(self.state.lease(int(ttl_s * 1000))[1]["permit"])
        self.granted.append(lease_id)
        return lease_id

    def renew_lease(self, lease_id: int, timeout_s: float) -> None:
        if self.error is not None:
            raise self.error
        self.renewed.append(lease_id)

    def revoke_lease(self, lease_id: int) -> None:
        if self.error is not None:
            raise self.error
        self.revoked.append(lease_id)
        self.state.end(lease_id)


class Candidate:
    """A node's election whose threads are not started, on a clock that the test sets."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, yields: bool = False) -> None:
        self.now = 1000.0
        self.yields = yields
        monkeypatch.setattr("poppyhold.cluster.election.time", SimpleNamespace(monotonic=lambda: self.now))
        monkeypatch.setattr(
            "poppyhold.cluster.known_leader.time", SimpleNamespace(monotonic=lambda: self.now)
        )
        self.store = LeaseStore()
        self.won: list[Term] = []
        self.terms_lost = 0
        world = World(1, 10.0, 30.0, [Team("alpha")])
        self.election = Election(
            world.settings,
            Options(),
            self.store,
            self.won.append,
            self._on_leadership_lost,
            lambda: self.yields,
            world.rng,
        )

    def _on_leadership_lost(self) -> None:
        self.terms_lost += 1

    def campaign(self) -> bool:
        """Runs one campaign step and returns whether it requested a leader lease."""
        before = len(self.store.granted)
        assert self.election._campaign() > 0
        return len(self.store.granted) > before

    def lead(self) -> Term:
        """Wins an election and returns the term."""
        self.election._on_snapshot([])
        assert self.campaign()
        term = self.election.term
        assert term is not None
        return term


@pytest.fixture
def candidate(monkeypatch: pytest.MonkeyPatch) -> Candidate:
    return Candidate(monkeypatch)


# -- campaigning ----------------------------------------------------------------------------------------


def test_a_candidate_that_has_not_seen_the_leaders_key_does_not_campaign(candidate: Candidate) -> None:
    assert not candidate.campaign()
    candidate.election._on_snapshot([OTHERS_KEY])
    assert not candidate.campaign()
    candidate.election._on_change(DeletedKey(LEADER_KEY, 42))
    assert candidate.campaign()
    assert [term.fencing_token for term in candidate.won] == [1]
    assert candidate.election.leader == Leader(
        "hive-0", 1, candidate.store.granted[0], candidate.won[0].key_revision
    )


def test_a_stale_leader_key_of_this_node_is_deleted_before_it_campaigns(candidate: Candidate) -> None:
    candidate.election._on_snapshot([OWN_KEY])
    assert not candidate.campaign()
    assert candidate.store.revoked == [7]
    candidate.election._on_snapshot([OTHERS_KEY])
    assert not candidate.campaign()
    assert candidate.store.revoked == [7]


def test_a_yielding_candidate_waits_one_leader_lease_before_it_campaigns(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    candidate = Candidate(monkeypatch, yields=True)
    candidate.now += 10 * candidate.election.leader_lease_s
    candidate.election._on_snapshot([OTHERS_KEY])
    candidate.election._on_change(DeletedKey(LEADER_KEY, 42))
    # A second deletion of the leader key does not restart the wait, which began with the first one.
    candidate.now += candidate.election.leader_lease_s * 0.9
    assert not candidate.campaign()
    candidate.election._on_change(DeletedKey(LEADER_KEY, 43))
    candidate.now += candidate.election.leader_lease_s * 0.2
    assert candidate.campaign()


def test_a_leader_that_resigned_does_not_campaign_for_one_worker_lease(candidate: Candidate) -> None:
    term = candidate.lead()
    candidate.election.resign("requested")
    assert (candidate.election.term, candidate.terms_lost) == (None, 1)
    assert candidate.store.revoked == [term.lease_id]
    candidate.election._on_change(DeletedKey(LEADER_KEY, term.key_revision + 1))
    assert not candidate.campaign()
    # During that time it does not revoke another leader's lease either.
    candidate.election._on_snapshot([OTHERS_KEY])
    candidate.election.revoke_leader_lease(Leader("hive-1", 6, 8, 41))
    assert candidate.store.revoked == [term.lease_id]
    candidate.now += 10.0
    candidate.election.revoke_leader_lease(Leader("hive-1", 6, 8, 41))
    assert candidate.store.revoked == [term.lease_id, 8]
    candidate.election._on_change(DeletedKey(LEADER_KEY, 42))
    assert candidate.campaign()


def test_a_resignation_without_leading_revokes_no_lease(candidate: Candidate) -> None:
    candidate.election.resign("stopped")
    candidate.election.resign_if_lease_revoked("a peer is better connected")
    assert (candidate.store.revoked, candidate.terms_lost) == ([], 0)


def test_a_leader_that_transferred_leadership_does_not_campaign_for_one_worker_lease(
    candidate: Candidate,
) -> None:
    term = candidate.lead()
    candidate.election.resign_if_lease_revoked("a peer is better connected")
    candidate.election._on_change(DeletedKey(LEADER_KEY, term.key_revision + 1))
    assert not candidate.campaign()
    candidate.now += 10.0
    assert candidate.campaign()


def test_only_the_lease_of_the_known_leader_is_revoked(candidate: Candidate) -> None:
    candidate.election._on_snapshot([OTHERS_KEY])
    candidate.election.revoke_leader_lease(Leader("hive-2", 5, 7, 40))
    assert candidate.store.revoked == []


def test_a_claim_is_conditional_on_the_leaders_key_and_on_the_fencing_token(candidate: Candidate) -> None:
    candidate.election._on_snapshot([])
    # Another node leads, and this node's watch has not delivered its key yet.
    candidate.store.commit({}, [Put(LEADER_KEY, {"member": "hive-1", "baton": 3, "permit": 99})])
    assert candidate.campaign()
    assert (candidate.won, candidate.election.term) == ([], None)
    assert candidate.store.state.keys[LEADER_KEY][0]["member"] == "hive-1"
    # The fencing token is raised between the read of it and the claim.
    candidate.store.commit({}, [Delete(LEADER_KEY)])
    read_key = candidate.store.get

    def get(key: str) -> Entry | None:
        entry = read_key(key)
        candidate.store.commit({}, [Put(FENCING_TOKEN_KEY, {"baton": 9})])
        return entry

    candidate.store.get = get  # type: ignore[method-assign]
    assert candidate.campaign()
    assert candidate.won == []
    candidate.store.get = read_key  # type: ignore[method-assign]
    assert candidate.campaign()
    assert [term.fencing_token for term in candidate.won] == [10]


def test_a_claim_of_unknown_outcome_is_won_only_if_the_key_names_this_node(candidate: Candidate) -> None:
    candidate.election._on_snapshot([])
    # The claim was not committed, and another node leads.
    candidate.store.commit({}, [Put(LEADER_KEY, {"member": "hive-1", "baton": 3, "permit": 99})])
    candidate.store.commit_outcomes.append("late")
    assert candidate.campaign()
    assert candidate.won == []


# -- changes that the watch delivers --------------------------------------------------------------------


def test_changes_older_than_the_claim_do_not_end_the_term(candidate: Candidate) -> None:
    candidate.election.term = TERM
    candidate.election.known_leader.observe(Leader("hive-0", 5, 7, 40))
    for old in (
        Entry(LEADER_KEY, {"member": "hive-2", "baton": 4, "permit": 3}, 39),
        DeletedKey(LEADER_KEY, 39),
    ):
        candidate.election._on_change(old)
        assert candidate.election.term == TERM
        assert candidate.election.leader == Leader("hive-0", 5, 7, 40)
    candidate.election._on_change(OWN_KEY)
    assert (candidate.election.term, candidate.terms_lost) == (TERM, 0)
    # A key that only begins with the leader key is not the leader key.
    candidate.election._on_change(DeletedKey(LEADER_KEY + "er", 50))
    assert candidate.election.term == TERM


@pytest.mark.parametrize(
    "change", [OTHERS_KEY, DeletedKey(LEADER_KEY, 41)], ids=["another-leader", "deleted"]
)
def test_a_change_after_the_claim_ends_the_term(candidate: Candidate, change: WatchEvent) -> None:
    candidate.election.term = TERM
    candidate.election.known_leader.observe(Leader("hive-0", 5, 7, 40))
    candidate.election.confirmed_at = candidate.now
    candidate.election._on_change(change)
    assert candidate.terms_lost == 1
    assert candidate.election.confirmed_at == float("-inf")
    leader = candidate.election.leader
    assert (leader.member if leader is not None else None) == ("hive-1" if change is OTHERS_KEY else None)
    assert candidate.election.term is None
    # A repeated step-down does not end the term twice.
    candidate.election.step_down("once more")
    assert candidate.terms_lost == 1


def test_a_snapshot_without_the_leader_key_ends_the_term(candidate: Candidate) -> None:
    candidate.lead()
    candidate.election._on_snapshot([])
    assert (candidate.election.term, candidate.election.leader, candidate.terms_lost) == (None, None, 1)


def test_only_a_higher_fencing_token_ends_the_term(candidate: Candidate) -> None:
    candidate.election.observe_fencing_token(9)
    candidate.election.term = TERM
    candidate.election.observe_fencing_token(TERM.fencing_token)
    assert candidate.terms_lost == 0
    candidate.election.record_highest_fencing_token(6)
    candidate.election.observe_fencing_token(6)
    assert candidate.terms_lost == 0
    candidate.election.observe_fencing_token(7)
    assert candidate.terms_lost == 1
    candidate.election.record_highest_fencing_token(8)
    assert candidate.election.term is None


def test_leader_since_is_when_the_leader_was_first_observed(candidate: Candidate) -> None:
    candidate.election._on_snapshot([OTHERS_KEY])
    assert candidate.election.known_leader.leader_since == 1000.0
    candidate.now += 5.0
    candidate.election._on_snapshot([OTHERS_KEY])
    assert candidate.election.known_leader.leader_since == 1000.0
    candidate.election._on_change(Entry(LEADER_KEY, {"member": "hive-1", "baton": 7, "permit": 8}, 50))
    assert candidate.election.known_leader.leader_since == 1005.0


def test_await_leader_returns_a_known_leader_without_waiting(candidate: Candidate) -> None:
    candidate.election._on_snapshot([OTHERS_KEY])
    waited: list[float | None] = []

    def wait(timeout: float | None = None) -> bool:
        waited.append(timeout)
        return True

    candidate.election.known_leader._changed.wait = wait  # type: ignore[method-assign]
    assert candidate.election.known_leader.await_leader(5.0) == Leader("hive-1", 6, 8, 41)
    assert waited == []
    candidate.election._on_change(DeletedKey(LEADER_KEY, 42))
    assert candidate.election.known_leader.await_leader(5.0) is None
    assert waited == [5.0]
    candidate.election.stop()
    assert candidate.election.known_leader.await_leader(5.0) is None
    assert waited == [5.0]


# -- lease renewal --------------------------------------------------------------------------------------


def test_a_renewal_confirms_the_term_as_of_its_request_and_is_not_sent_early(
    candidate: Candidate,
) -> None:
    term = candidate.lead()
    assert candidate.election.confirmed_at == 1000.0
    candidate.election._renew()
    assert candidate.store.renewed == []
    candidate.now += candidate.election.leader_lease_s / 2
    requested_at = candidate.now
    renew_lease = candidate.store.renew_lease

    def slow(lease_id: int, timeout_s: float) -> None:
        renew_lease(lease_id, timeout_s)
        candidate.now += 0.2

    candidate.store.renew_lease = slow  # type: ignore[method-assign]
    candidate.election._renew()
    assert candidate.store.renewed == [term.lease_id]
    assert candidate.election.confirmed_at == requested_at


@pytest.mark.parametrize(
    ("error", "leads"), [(LeaseExpiredError(7), False), (StoreRejectedError("503"), True)], ids=str
)
def test_only_an_expired_lease_ends_the_term(candidate: Candidate, error: Exception, leads: bool) -> None:
    candidate.lead()
    confirmed_at = candidate.election.confirmed_at
    candidate.now += candidate.election.leader_lease_s / 2
    candidate.store.error = error
    candidate.election._renew()
    assert candidate.election.confirmed_at == (confirmed_at if leads else float("-inf"))
    assert (candidate.election.term is not None, candidate.terms_lost) == (leads, 0 if leads else 1)


@pytest.mark.parametrize("change", ["raised", "lost", "next-term"])
def test_a_response_confirms_only_the_term_that_was_to_be_renewed(candidate: Candidate, change: str) -> None:
    candidate.lead()
    candidate.now += candidate.election.leader_lease_s / 2
    requested_at = candidate.now

    def renew_lease(lease_id: int, timeout_s: float) -> None:
        if change == "raised":
            candidate.election.record_highest_fencing_token(9)
            return
        candidate.election.step_down("the leader's key changed")
        if change == "next-term":
            candidate.election.term = Term(9, 50, 99, 0.0, 9)

    candidate.store.renew_lease = renew_lease  # type: ignore[method-assign]
    candidate.election._renew()
    assert candidate.election.confirmed_at == (requested_at if change == "raised" else float("-inf"))
