"""Who leads: a key on a lease in the state service, and the token that only ever rises."""

from __future__ import annotations

import logging
import random
import threading
import time
from collections.abc import Callable
from typing import NamedTuple

from poppyhold.durable.changes import Entry, WatchEvent, put_record
from poppyhold.durable.errors import (
    ConditionFailedError,
    LeaseExpiredError,
    OutcomeUnknownError,
    StoreRejectedError,
)
from poppyhold.durable.keys import FENCING_TOKEN_KEY, LEADER_KEY, LEADER_PREFIX
from poppyhold.durable.records import FencingTokenRecord, LeaderRecord
from poppyhold.durable.store import Store
from poppyhold.durable.watch import Watch
from poppyhold.options import Options
from poppyhold.settings import Settings
from poppyhold.wire import field_names as names
from poppyhold.wire.codec import convert

log = logging.getLogger(__name__)


class Leader(NamedTuple):
    """The leader's key as last seen."""

    member: str
    fencing_token: int
    lease_id: int
    key_revision: int


class Term(NamedTuple):
    """Our own term of leading."""

    fencing_token: int
    key_revision: int
    lease_id: int
    began_at: float


class Election:
    """One thread that campaigns, renews and steps down; another that watches the leader's key."""

    def __init__(
        self,
        settings: Settings,
        options: Options,
        store: Store,
        on_elected: Callable[[Term], None],
        on_deposed: Callable[[], None],
        yields: Callable[[], bool],
        rng: random.Random,
    ) -> None:
        self._member = settings.member
        self._store, self._rng = store, rng
        self._on_elected, self._on_leadership_lost = on_elected, on_deposed
        # Whether a controller that is placed better should campaign before us.
        self._should_yield = yields
        lease_s = settings.settings.workers.lease_s
        self.lease_ttl_s = lease_s * options.leadership.term_leases
        self._renew_s = self.lease_ttl_s / options.leadership.renewals
        self._stand_back_s = lease_s
        self._lock = threading.Lock()
        self._wake = threading.Event()
        self._stopped = False
        self._standing_back_until = 0.0
        self._vacant_since = time.monotonic()
        self.leader: Leader | None = None
        # When we learnt of this leader.
        self.leader_since = time.monotonic()
        self._named = threading.Condition()
        self._snapshot_seen = False
        self.term: Term | None = None
        # The term was certainly ours at this moment.
        self.confirmed_at = float("-inf")
        self.watch = Watch(store, LEADER_PREFIX, lease_s / 5, self._on_snapshot, self._on_change)
        self._thread = threading.Thread(target=self._run, name="election", daemon=True)

    def start(self) -> None:
        """Start to campaign. The watch is started before, for requests to be passed on to the leader."""
        self._thread.start()

    def stop(self) -> None:
        """Step down and end the threads."""
        self._stopped = True
        self.watch.stop()
        self.resign("stopped")

    def resign(self, why: str) -> None:
        """Give the term up, for another node to lead, and stand back for a lease."""
        self._standing_back_until = time.monotonic() + self._stand_back_s
        term = self.term
        self.step_down(why)
        if term is not None:
            self._revoke_lease(term.lease_id)
        self._wake.set()

    def transfer_leadership(self, why: str) -> None:
        """Give the term up only if the state service takes it back: in an outage nobody else could have it.

        A leader that resigned just as an outage began left the fleet without one to its end.
        """
        term = self.term
        if term is None:
            return
        try:
            self._store.revoke_lease(term.lease_id)
        except (StoreRejectedError, OutcomeUnknownError) as error:
            log.debug("handing over: %s", error)
            return
        self._standing_back_until = time.monotonic() + self._stand_back_s
        self.step_down(why)

    def step_down(self, why: str) -> None:
        """Our term is over."""
        with self._lock:
            if self.term is None:
                return
            self.term = None
            self.confirmed_at = float("-inf")
        log.info("no longer leading: %s", why)
        self._on_leadership_lost()
        self._wake.set()

    def observe_fencing_token(self, fencing_token: int) -> None:
        """Step down at once if somebody holds a higher token than ours."""
        term = self.term
        if term is not None and fencing_token > term.fencing_token:
            self.step_down(f"baton {fencing_token} was seen")

    def record_fencing_token(self, fencing_token: int) -> None:
        """Our own token was raised within the term."""
        with self._lock:
            if self.term is not None:
                self.term = self.term._replace(fencing_token=fencing_token)

    def await_leader(self, timeout: float) -> Leader | None:
        """The leader; if there is none, wait a moment for the election to name one."""
        with self._named:
            if self.leader is None and not self._stopped:
                self._named.wait(timeout)
            return self.leader

    def await_next_leader(self, leader: Leader, timeout: float) -> Leader | None:
        """Wait a moment for another leader than this one; the leader as it is then."""
        with self._named:
            self._named.wait_for(lambda: self.leader not in (None, leader) or self._stopped, timeout)
            return self.leader

    def _name(self, leader: Leader | None) -> None:
        with self._named:
            if leader is None and self.leader is not None:
                self._vacant_since = time.monotonic()
            if leader is not None and (
                self.leader is None or leader.fencing_token != self.leader.fencing_token
            ):
                self.leader_since = time.monotonic()
            self.leader = leader
            if leader is not None:
                self._named.notify_all()

    def expire_lease(self, leader: Leader) -> None:
        """End the lease of a leader whose process is gone. This is safe even if it is not:

        every step of a leader is conditional on its key, and workers follow the higher token.
        """
        if self.leader == leader and time.monotonic() >= self._standing_back_until:
            log.info("deposing %s", leader.member)
            self._revoke_lease(leader.lease_id)

    def _revoke_lease(self, lease_id: int) -> None:
        try:
            self._store.revoke_lease(lease_id)
        except (StoreRejectedError, OutcomeUnknownError) as error:
            log.debug("lease %s: %s", lease_id, error)

    def _on_snapshot(self, entries: list[Entry]) -> None:
        self._snapshot_seen = True
        self._seen(next((entry for entry in entries if entry.key == LEADER_KEY), None))

    def _on_change(self, change: WatchEvent) -> None:
        if isinstance(change, Entry):
            self._seen(change)
        elif change.key == LEADER_KEY:
            term = self.term
            if term is None or change.revision > term.key_revision:
                self._seen(None)

    def _seen(self, entry: Entry | None) -> None:
        leader = None
        if entry is not None:
            record = convert(entry.data, LeaderRecord)
            leader = Leader(record.member, record.fencing_token, record.lease_id, entry.revision)
        term = self.term
        if term is not None and (leader is None or leader.key_revision > term.key_revision):
            self._name(leader)
            self.step_down("the leader's key changed")
        elif term is None or (leader is not None and leader.key_revision == term.key_revision):
            self._name(leader)
        self._wake.set()

    def _run(self) -> None:
        while not self._stopped:
            try:
                wait = self._renew() if self.term is not None else self._campaign()
            except Exception:
                log.exception("election")
                wait = self._renew_s
            self._wake.wait(wait)
            self._wake.clear()

    def _renew(self) -> float:
        term = self.term
        if term is None:
            return 0.0
        asked = time.monotonic()
        if asked - self.confirmed_at < self._renew_s * 0.9:
            return self._renew_s - (asked - self.confirmed_at)
        try:
            self._store.renew_lease(term.lease_id, self._renew_s * 2)
        except LeaseExpiredError:
            self.step_down("our lease ended")
            return 0.0
        except (StoreRejectedError, OutcomeUnknownError) as error:
            # An outage and a refusal of us alone look the same: go on for now. What we may still do
            # without confirmation is bounded in `authority`.
            log.debug("renewal: %s", error)
            return self._renew_s / 2
        if self.term is term or (self.term is not None and self.term.lease_id == term.lease_id):
            self.confirmed_at = asked
        return self._renew_s

    def _campaign(self) -> float:
        now = time.monotonic()
        if now < self._standing_back_until:
            return self._standing_back_until - now
        if not self._snapshot_seen:
            return self._renew_s / 4
        leader = self.leader
        if leader is not None:
            if leader.member == self._member:
                # A process of ours before this one held it.
                self._revoke_lease(leader.lease_id)
                return self._renew_s / 2
            return self.lease_ttl_s
        if now - self._vacant_since < self.lease_ttl_s and self._should_yield():
            return self._renew_s / 2
        try:
            lease_id = self._store.lease(self.lease_ttl_s)
            asked = time.monotonic()
            self._claim_leadership(lease_id, asked)
        except (StoreRejectedError, OutcomeUnknownError, LeaseExpiredError, ConditionFailedError) as error:
            log.debug("campaign: %s", error)
        return self._renew_s * self._rng.uniform(0.3, 0.7)

    def _claim_leadership(self, lease_id: int, asked: float) -> None:
        held = self._store.get(FENCING_TOKEN_KEY)
        fencing_token = (convert(held.data, FencingTokenRecord).fencing_token if held else 0) + 1
        claim = LeaderRecord(self._member, fencing_token, lease_id)
        conditions = {LEADER_KEY: 0, FENCING_TOKEN_KEY: held.revision if held else 0}
        try:
            version = self._store.commit(
                conditions,
                [
                    put_record(LEADER_KEY, claim, lease_id),
                    put_record(FENCING_TOKEN_KEY, FencingTokenRecord(fencing_token)),
                ],
            )
        except OutcomeUnknownError:
            # Perhaps it went through: the key itself tells. The permit is ours alone.
            entry = self._store.get(LEADER_KEY)
            if entry is None or entry.data.get(names.LEASE_ID) != lease_id:
                raise
            version = entry.revision
        term = Term(fencing_token, version, lease_id, time.monotonic())
        with self._lock:
            self.leader = Leader(self._member, fencing_token, lease_id, version)
            self.term = term
            self.confirmed_at = asked
        log.info("leading with token %d", fencing_token)
        self._on_elected(term)
        with self._named:
            self._named.notify_all()
