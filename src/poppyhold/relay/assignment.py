"""Which worker sends its heartbeats to which relay: stable, balanced, near, and never many at one step."""

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

# No relay is assigned more than this times its even share of the workers.
MAX_LOAD_RATIO = 1.25
# The longest time for which a worker is not assigned to relays, in leases.
_MAX_BACKOFF_LEASES = 8
# Relaying ends below this share of the count from which on it begins.
_DISABLE_RATIO = 0.5


class LoadAdvice(NamedTuple):
    """The most workers that a relay should have, and other relays with less than an even share."""

    max_workers: int
    underloaded_relays: list[str]


class _PendingRedirect(msgspec.Struct, frozen=True):
    """A worker that was redirected to a relay, and has sent no heartbeat through it yet."""

    relay: str
    at: float


class _RelayBackoff(msgspec.Struct, eq=False):
    """A worker that returned from a relay without a response: it is answered directly for a time."""

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
        """With `AUTO`, relaying begins with ``enable_threshold`` machines.

        The leader keeps up to ``max_direct_workers`` workers that should not depend on relays of other zones.
        ``member`` and ``zone`` are the leader's own.
        """
        self._mode, self._enable_threshold, self._max_direct_workers = (
            mode,
            enable_threshold,
            max_direct_workers,
        )
        self._member, self._zone = member, zone
        self._durations, self._clock, self._rng = durations, clock, rng
        # Connected relays, and their zones.
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
        # Whether controllers are asked to relay.
        self.accepts_relays = mode is RelayMode.FORCED

    # -- relays and machines -----------------------------------------------------------------------

    def relay_connected(self, member: str, zone: str) -> None:
        """A controller connected as a relay."""
        self._zone_by_relay[member] = zone

    def relay_disconnected(self, member: str) -> None:
        """A relay's connection is lost, and with it the assignments to the relay."""
        self._zone_by_relay.pop(member, None)
        self._health.forget_round_trip(member)
        for machine in [machine for machine, relay in self._relay_by_machine.items() if relay == member]:
            self._unassign(machine)

    def record_round_trip(self, member: str, round_trip_s: float) -> None:
        """Note how long a relay's batches take at the least; 0: it does not know yet."""
        self._health.record_round_trip(member, round_trip_s, member in self._zone_by_relay)

    def update_machines(self, machines: Set[str]) -> None:
        """Adapt to the machines that exist now."""
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
        """The leader answered a heartbeat that came through a relay."""
        self._pending_redirects.pop(machine, None)
        self._backoffs.pop(machine, None)
        self._direct.discard(machine)
        if self._relay_by_machine.get(machine) != relay:
            self._unassign(machine)
            self._relay_by_machine[machine] = relay
            self._worker_count_by_relay[relay] += 1

    def assign(self, machine: str, zone: str, answered_at: float) -> str | None:
        """The relay to which to redirect a worker that sent a direct heartbeat; None: answer it.

        Only a worker that was answered recently is redirected, so that its lease lasts until it returns here
        if the relay fails it: half a second to get there, four without a response, and one to the next node.
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
        """Another controller for a worker that should leave its relay; None: it stays.

        Either its relay is slow or has more than its share, or the worker is of the leader's zone and depends
        on another zone.
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
        """What a relay needs to redirect workers that come to it beyond its share."""
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
        """Whether a worker of the leader's zone would depend on another zone, without a relay in its own.

        Where all relays were in a zone that was partitioned off, workers of the leader's own zone lost their
        leases: five seconds until they abandoned a relay, and five more for the next. So they stay, as long
        as there are connections for them.
        """
        depends_on_other_zone = zone == self._zone and self._zone_by_relay.get(relay) != zone
        return depends_on_other_zone and len(self._direct) <= self._max_direct_workers

    def _record_return(self, machine: str, now: float) -> None:
        """A worker that should be at a relay sent a direct heartbeat: the relay failed it.

        Whatever the leader answered through that relay did not reach the worker in time.
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

    # -- choice ------------------------------------------------------------------------------------

    def _choose(self, machine: str, zone: str, now: float, exclude: str = "") -> str | None:
        """By rendezvous hashing, relays of the worker's zone first; none above its share.

        Each worker orders the relays in its own way. When one connects or disconnects, only those workers
        move that order it first, or that are assigned to it.
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
        """Whether a worker that was answered at that moment may be redirected now."""
        was_answered_recently = now - answered_at <= 2 * self._durations.heartbeat_interval_s
        return self._budget.allows_redirect(self._worker_count, now) and was_answered_recently
