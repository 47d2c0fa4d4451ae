"""Assigns workers to relays: stable, balanced, in the same zone first, and with a limited redirect rate."""

from __future__ import annotations

import math
import random
from collections import Counter
from collections.abc import Callable, Set
from typing import NamedTuple

import msgspec

from poppyhold.model.durations import Durations
from poppyhold.options import RelayMode
from poppyhold.relay.health import RelayHealth
from poppyhold.relay.redirect_budget import RedirectBudget
from poppyhold.relay.rendezvous import rendezvous_weight

# Most workers of a relay, as a multiple of an even share.
MAX_LOAD_RATIO = 1.25
# Longest time for which a worker is not assigned to relays, in leases, before jitter.
_MAX_BACKOFF_LEASES = 8
# Relaying is disabled below this share of the number of workers that enables it.
_DISABLE_RATIO = 0.5


class LoadAdvice(NamedTuple):
    """A relay's maximum number of workers, and other healthy relays with less than an even share."""

    max_workers: int
    underloaded_relays: list[str]


class _PendingRedirect(msgspec.Struct, frozen=True):
    """A worker that was redirected to a relay but has not sent a heartbeat through it yet."""

    relay: str
    at: float


class _RelayBackoff(msgspec.Struct, eq=False):
    """Backoff of a worker that returned from a relay without a response; the leader answers it meanwhile."""

    failures: int = 0
    direct_until: float = 0.0


class Assignment:
    """The leader's assignment of workers to relays; only the decision thread uses it."""

    def __init__(
        self,
        mode: RelayMode,
        enable_threshold: float,
        max_direct_workers: float,
        member: str,
        zone: str,
        durations: Durations,
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        """Create the assignment for the leader ``member`` in ``zone``.

        With `AUTO`, relaying is enabled from ``enable_threshold`` machines on. While the leader has at most
        ``max_direct_workers`` direct workers, those of its zone aren't redirected to relays of other zones.
        """
        self._mode, self._enable_threshold, self._max_direct_workers = (
            mode,
            enable_threshold,
            max_direct_workers,
        )
        self._member, self._zone = member, zone
        self._durations, self._clock, self._rng = durations, clock, rng
        # The connected relays' zones.
        self._zone_by_relay: dict[str, str] = {}
        self._worker_count = 0
        self._relay_by_machine: dict[str, str] = {}
        self._worker_count_by_relay: Counter[str] = Counter()
        # Workers that send their heartbeats directly.
        self._direct: set[str] = set()
        self._pending_redirects: dict[str, _PendingRedirect] = {}
        self._backoffs: dict[str, _RelayBackoff] = {}
        self._health = RelayHealth(durations, clock)
        self._budget = RedirectBudget(durations.lease_s, clock())
        # Whether the leader accepts relays.
        self.accepts_relays = mode is RelayMode.FORCED

    # -- relays and machines -----------------------------------------------------------------------

    def relay_connected(self, member: str, zone: str) -> None:
        """Add a connected relay."""
        self._zone_by_relay[member] = zone

    def relay_disconnected(self, member: str) -> None:
        """Remove a relay whose connection was lost, and its assignments."""
        self._zone_by_relay.pop(member, None)
        self._health.forget_round_trip(member)
        for machine in [machine for machine, relay in self._relay_by_machine.items() if relay == member]:
            self._unassign(machine)

    def record_round_trip(self, member: str, round_trip_s: float) -> None:
        """Record the shortest recent round trip of a relay's batches; 0: none is known yet."""
        self._health.record_round_trip(member, round_trip_s, member in self._zone_by_relay)

    def update_machines(self, machines: Set[str]) -> None:
        """Update the number of workers and drop machines that no longer exist."""
        self._worker_count = len(machines)
        if self._mode is RelayMode.AUTO:
            threshold = self._enable_threshold * (_DISABLE_RATIO if self.accepts_relays else 1.0)
            self.accepts_relays = self._worker_count >= threshold
        for machine in [machine for machine in self._relay_by_machine if machine not in machines]:
            self._unassign(machine)
        self._direct &= machines
        for by_machine in (self._pending_redirects, self._backoffs):
            for machine in [machine for machine in by_machine if machine not in machines]:
                del by_machine[machine]

    def _unassign(self, machine: str) -> None:
        relay = self._relay_by_machine.pop(machine, None)
        if relay is not None:
            self._worker_count_by_relay[relay] -= 1

    # -- heartbeats --------------------------------------------------------------------------------

    def record_relayed_heartbeat(self, machine: str, relay: str) -> None:
        """Record that the leader answered a heartbeat from a relay: the worker is assigned to it."""
        self._pending_redirects.pop(machine, None)
        self._backoffs.pop(machine, None)
        self._direct.discard(machine)
        if self._relay_by_machine.get(machine) != relay:
            self._unassign(machine)
            self._relay_by_machine[machine] = relay
            self._worker_count_by_relay[relay] += 1

    def assign(self, machine: str, zone: str, answered_at: float) -> str | None:
        """Return the relay to which to redirect a worker that sent a direct heartbeat; None: answer it.

        Only a recently answered worker is redirected, so that its lease outlasts a relay that does not
        respond: 0.5 s to reach the relay, 4 s without a response, and 1 s to reach the next controller.
        """
        now = self._clock()
        self._record_return(machine, now)
        self._direct.add(machine)
        if not self.accepts_relays or not self._zone_by_relay or not self._may_redirect(answered_at, now):
            return None
        backoff = self._backoffs.get(machine)
        if backoff is not None and now < backoff.direct_until:
            return None
        relay = self._choose(machine, zone, now)
        if relay is None or self._should_stay_direct(zone, relay):
            return None
        self._budget.consume()
        self._pending_redirects[machine] = _PendingRedirect(relay, now)
        self._direct.discard(machine)
        return relay

    def reassign(self, machine: str, zone: str, relay: str, answered_at: float) -> str | None:
        """Return another controller for a worker that should leave its relay; None: it stays.

        It should leave a slow or overloaded relay, or one in another zone if the worker is in the leader's
        zone, which has no relay.
        """
        now = self._clock()
        is_slow = self._health.is_slow(relay, now)
        returns_to_leader = self._should_stay_direct(zone, relay) and zone not in self._zone_by_relay.values()
        is_overloaded = self._worker_count_by_relay[relay] > self._max_workers()
        if self._relay_by_machine.get(machine) != relay or not (
            is_slow or is_overloaded or returns_to_leader
        ):
            return None
        if not self._may_redirect(answered_at, now):
            return None
        if returns_to_leader:
            target: str | None = self._member
        else:
            target = self._choose(machine, zone, now, exclude=relay) or (self._member if is_slow else None)
        if target is None:
            return None
        self._budget.consume()
        if target != self._member:
            self._pending_redirects[machine] = _PendingRedirect(target, now)
        self._unassign(machine)
        return target

    def load_advice(self, member: str) -> LoadAdvice:
        """Return what a relay needs to redirect workers in excess of its share."""
        now = self._clock()
        even_share = self._worker_count / max(1, len(self._zone_by_relay))
        others = (
            other for other in self._zone_by_relay if other != member and self._health.is_healthy(other, now)
        )
        return LoadAdvice(
            self._max_workers(),
            [other for other in others if self._worker_count_by_relay[other] < even_share],
        )

    def _should_stay_direct(self, zone: str, relay: str) -> bool:
        """Whether a worker of the leader's zone should use no relay of another zone.

        If all relays are in a zone that is partitioned off, redirected workers lose their leases: each relay
        costs them 5 s before they try the next. So they stay while the leader has connections for them.
        """
        depends_on_other_zone = zone == self._zone and self._zone_by_relay.get(relay) != zone
        return depends_on_other_zone and len(self._direct) <= self._max_direct_workers

    def _record_return(self, machine: str, now: float) -> None:
        """Record a failure of the relay of a worker that sent a direct heartbeat instead.

        The leader's responses through that relay did not reach the worker in time.
        """
        pending = self._pending_redirects.pop(machine, None)
        relay = pending.relay if pending is not None else self._relay_by_machine.get(machine)
        self._unassign(machine)
        if relay is None:
            return
        backoff = self._backoffs.setdefault(machine, _RelayBackoff())
        backoff.failures += 1
        leases = min(2.0 ** (backoff.failures - 1), _MAX_BACKOFF_LEASES) * self._rng.uniform(1.0, 2.0)
        backoff.direct_until = now + leases * self._durations.lease_s
        self._health.record_failure(relay, now)

    # -- choice of a relay -------------------------------------------------------------------------

    def _choose(self, machine: str, zone: str, now: float, exclude: str = "") -> str | None:
        """Choose a relay below its maximum by rendezvous hashing, those of the worker's zone first.

        Each worker has its own order of relays. When a relay connects or disconnects, only workers that rank
        it first or are assigned to it move.
        """
        max_workers = self._max_workers()
        by_preference = sorted(
            (
                member
                for member in self._zone_by_relay
                if member != exclude and self._health.is_healthy(member, now)
            ),
            key=lambda member: (self._zone_by_relay[member] == zone, rendezvous_weight(member, machine)),
            reverse=True,
        )
        pending = Counter(redirect.relay for redirect in self._pending_redirects.values())
        return next(
            (
                member
                for member in by_preference
                if self._worker_count_by_relay[member] + pending[member] < max_workers
            ),
            None,
        )

    def _max_workers(self) -> int:
        return math.ceil(MAX_LOAD_RATIO * self._worker_count / max(1, len(self._zone_by_relay)))

    def _may_redirect(self, answered_at: float, now: float) -> bool:
        """Whether a worker that was last answered at ``answered_at`` may be redirected now."""
        was_answered_recently = now - answered_at <= 2 * self._durations.heartbeat_interval_s
        return self._budget.allows_redirect(self._worker_count, now) and was_answered_recently
