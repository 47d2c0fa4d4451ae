"""Leader election: a key on a lease in the state service, and a fencing token that only increases."""

from __future__ import annotations

import logging
import random
import threading
import time
from collections.abc import Callable
from typing import NamedTuple

from poppyhold.cluster.known_leader import KnownLeader
from poppyhold.cluster.leader_key import Leader, claim_leadership, decode_leader
from poppyhold.durable.changes import Entry, WatchEvent
from poppyhold.durable.errors import (
    ConditionFailedError,
    LeaseExpiredError,
    OutcomeUnknownError,
    StoreRejectedError,
)
from poppyhold.durable.keys import LEADER_KEY, LEADER_PREFIX
from poppyhold.durable.store import Store
from poppyhold.durable.watch import Watch
from poppyhold.model.durations import Durations
from poppyhold.model.fencing_tokens import highest_reserved_fencing_token
from poppyhold.options import Options
from poppyhold.settings import Settings

log = logging.getLogger(__name__)

# Bounds of the random pause after a claim of leadership, as ratios to the renewal interval: two controllers
# whose claims made each other fail then claim at different times.
_CAMPAIGN_PAUSE_RATIOS = 0.3, 0.7


class Term(NamedTuple):
    """A term of this controller as the leader."""

    # The lowest of its fencing tokens, which the leader's key names.
    fencing_token: int
    # Revision of the leader's key as this controller wrote it.
    key_revision: int
    lease_id: int
    began_at: float
    # The highest fencing token that is reserved for it.
    highest_fencing_token: int


class Election:
    """One thread that campaigns and renews the lease, and another that watches the leader's key.

    To campaign is to get a lease and write the leader's key on it, while no leader is known. ``on_elected``
    is called on the election thread, ``on_term_ended`` on the thread that ends the term. While
    ``should_yield`` returns that a better connected controller (`cluster.connectivity`) should campaign
    first, this one does not, for at most `leader_lease_s` after the last leader's key was gone.
    """

    def __init__(
        self,
        settings: Settings,
        options: Options,
        store: Store,
        on_elected: Callable[[Term], None],
        on_term_ended: Callable[[], None],
        should_yield: Callable[[], bool],
        rng: random.Random,
    ) -> None:
        self._member = settings.member
        self._store, self._rng = store, rng
        self._on_elected, self._on_term_ended = on_elected, on_term_ended
        self._should_yield = should_yield
        worker_lease_s = settings.deployment.workers.lease_s
        self.leader_lease_s = Durations(settings, options).leader_lease_s
        self._renewal_interval_s = self.leader_lease_s / options.leadership.renewals
        # Pause in this controller's campaigns after it resigned, as a leader or not.
        self._campaign_backoff_s = worker_lease_s
        self._campaign_backoff_until = 0.0
        self._lock = threading.Lock()
        self._wake = threading.Event()
        self._stopped = False
        self.known_leader = KnownLeader()
        # While False, `leader` being None does not mean that no controller leads.
        self._leader_key_read = False
        self.term: Term | None = None
        # When the last successful claim or renewal began, on the monotonic clock: the lease was valid then.
        # -inf without a term.
        self.confirmed_at = float("-inf")
        self.watch = Watch(store, LEADER_PREFIX, worker_lease_s / 5, self._on_snapshot, self._on_change)
        self._thread = threading.Thread(target=self._run, name="election", daemon=True)

    @property
    def leader(self) -> Leader | None:
        """The leader that the key named when it was last read or changed; None if there was no key."""
        return self.known_leader.leader

    def start(self) -> None:
        """Start to campaign. The caller starts `watch` earlier, to know the leader and forward requests."""
        self._thread.start()

    def stop(self) -> None:
        """Resign, and ask both threads to end without waiting for them."""
        self._stopped = True
        self.known_leader.stop()
        self.watch.stop()
        self.resign("stopped")

    def resign(self, reason: str) -> None:
        """End any term and revoke its lease, so that another controller can lead.

        With or without a term, this controller does not campaign for the length of a worker's lease.
        """
        self._campaign_backoff_until = time.monotonic() + self._campaign_backoff_s
        term = self.term
        self.step_down(reason)
        if term is not None:
            self._revoke_lease(term.lease_id)
        self._wake.set()

    def resign_if_lease_revoked(self, reason: str) -> None:
        """Revoke the term's lease, and end the term only if that succeeded.

        Otherwise a leader that resigns as an outage of the state service begins would leave the fleet
        without a leader until the outage ends: no other controller can be elected meanwhile.
        """
        term = self.term
        if term is None:
            return
        try:
            self._store.revoke_lease(term.lease_id)
        except (StoreRejectedError, OutcomeUnknownError) as error:
            log.debug("lease not confirmed as revoked, term continues: lease=%d: %s", term.lease_id, error)
            return
        self._campaign_backoff_until = time.monotonic() + self._campaign_backoff_s
        self.step_down(reason)

    def step_down(self, reason: str) -> None:
        """End this controller's term, if any, without revoking its lease and without a pause in campaigns."""
        with self._lock:
            term = self.term
            if term is None:
                return
            self.term = None
            self.confirmed_at = float("-inf")
        log.info("stepped down: fencing_token=%d reason=%r", term.fencing_token, reason)
        self._on_term_ended()
        self._wake.set()

    def observe_fencing_token(self, fencing_token: int) -> None:
        """Step down if a fencing token that a peer or a worker sent is higher than all of this term's."""
        term = self.term
        if term is not None and fencing_token > term.highest_fencing_token:
            self.step_down(f"higher fencing token {fencing_token} was observed")

    def record_highest_fencing_token(self, fencing_token: int) -> None:
        """Record that more fencing tokens, up to this one, are durably reserved for this term."""
        with self._lock:
            if self.term is not None:
                self.term = self.term._replace(highest_fencing_token=fencing_token)

    def revoke_leader_lease(self, leader: Leader) -> None:
        """Revoke the lease of the known leader, whose process is presumably gone; other leaders are ignored.

        This is safe even if the process still runs: each transaction of a leader is conditional on the
        leader's key, and workers accept commands only with the highest fencing token that they received.
        During its pause after a resignation this controller revokes no lease.
        """
        if self.leader == leader and time.monotonic() >= self._campaign_backoff_until:
            log.info("revoking the leader's lease, its process is presumably gone: member=%s", leader.member)
            self._revoke_lease(leader.lease_id)

    def _revoke_lease(self, lease_id: int) -> None:
        try:
            self._store.revoke_lease(lease_id)
        except (StoreRejectedError, OutcomeUnknownError) as error:
            log.debug("lease not confirmed as revoked, left to expire: lease=%d: %s", lease_id, error)

    def _on_snapshot(self, entries: list[Entry]) -> None:
        self._leader_key_read = True
        self._observe_key(next((entry for entry in entries if entry.key == LEADER_KEY), None))

    def _on_change(self, change: WatchEvent) -> None:
        if isinstance(change, Entry):
            self._observe_key(change)
        elif change.key == LEADER_KEY:
            term = self.term
            if term is None or change.revision > term.key_revision:
                self._observe_key(None)

    def _observe_key(self, entry: Entry | None) -> None:
        """Handle the leader's key as read or changed; one older than this term is ignored.

        None, for an absent key, ends a term.
        """
        leader = decode_leader(entry) if entry is not None else None
        term = self.term
        if term is not None and (leader is None or leader.key_revision > term.key_revision):
            self.known_leader.observe(leader)
            self.step_down("the leader's key changed or was deleted")
        elif term is None or (leader is not None and leader.key_revision == term.key_revision):
            self.known_leader.observe(leader)
        self._wake.set()

    def _run(self) -> None:
        while not self._stopped:
            try:
                pause_s = self._renew() if self.term is not None else self._campaign()
            except Exception:
                # Thread boundary: without this thread the controller would neither renew its lease nor
                # campaign.
                log.exception(
                    "campaign or renewal failed, to be retried: pause_s=%.1f", self._renewal_interval_s
                )
                pause_s = self._renewal_interval_s
            self._wake.wait(pause_s)
            self._wake.clear()

    def _renew(self) -> float:
        """Renew the lease if that is due; returns how long to pause."""
        term = self.term
        if term is None:
            return 0.0
        requested_at = time.monotonic()
        if requested_at - self.confirmed_at < self._renewal_interval_s * 0.9:
            return self._renewal_interval_s - (requested_at - self.confirmed_at)
        try:
            self._store.renew_lease(term.lease_id, self._renewal_interval_s * 2)
        except LeaseExpiredError:
            self.step_down("lease expired")
            return 0.0
        except (StoreRejectedError, OutcomeUnknownError) as error:
            # This controller can't tell an outage from a rejection of its requests alone: the term continues
            # until the key changes or the lease is found expired. Meanwhile `RenewalAuthority` bounds the
            # renewals of workers' leases, and its grants the starts of tasks.
            log.debug("lease not renewed: lease=%d: %s", term.lease_id, error)
            return self._renewal_interval_s / 2
        if self.term is term or (self.term is not None and self.term.lease_id == term.lease_id):
            self.confirmed_at = requested_at
        return self._renewal_interval_s

    def _campaign(self) -> float:
        """Campaign if there is no leader; returns how long to pause."""
        now = time.monotonic()
        if now < self._campaign_backoff_until:
            return self._campaign_backoff_until - now
        if not self._leader_key_read:
            return self._renewal_interval_s / 4
        leader = self.leader
        if leader is not None:
            if leader.member == self._member:
                # The key is of an earlier process or term of this controller, or of a claim whose outcome
                # was unknown.
                self._revoke_lease(leader.lease_id)
                return self._renewal_interval_s / 2
            return self.leader_lease_s
        if now - self.known_leader.vacant_since < self.leader_lease_s and self._should_yield():
            return self._renewal_interval_s / 2
        try:
            lease_id = self._store.grant_lease(self.leader_lease_s)
            claim_started_at = time.monotonic()
            self._claim_leadership(lease_id, claim_started_at)
        except (StoreRejectedError, OutcomeUnknownError, LeaseExpiredError, ConditionFailedError) as error:
            log.debug("claim of leadership failed, or its outcome is unknown: %s", error)
        return self._renewal_interval_s * self._rng.uniform(*_CAMPAIGN_PAUSE_RATIOS)

    def _claim_leadership(self, lease_id: int, claim_started_at: float) -> None:
        """Try to become the leader; `confirmed_at` is then ``claim_started_at``, after the lease's grant."""
        leader = claim_leadership(self._store, self._member, lease_id)
        term = Term(
            leader.fencing_token,
            leader.key_revision,
            lease_id,
            time.monotonic(),
            highest_reserved_fencing_token(leader.fencing_token),
        )
        with self._lock:
            self.known_leader.record_own_election(leader)
            self.term = term
            self.confirmed_at = claim_started_at
        log.info("elected: fencing_token=%d", term.fencing_token)
        self._on_elected(term)
        self.known_leader.notify_waiters()
