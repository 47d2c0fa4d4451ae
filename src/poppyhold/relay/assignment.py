"""Which worker reports to which relay: stable, balanced, near, and never many at one step."""

from __future__ import annotations

import math
import random
from collections import Counter
from collections.abc import Callable, Set

import msgspec

from poppyhold.model.durations import Durations
from poppyhold.relay.mode import RelayMode
from poppyhold.relay.rendezvous import rendezvous_weight

# No relay takes more than this times its even share of the workers.
MOST_OF_SHARE = 1.25
# Workers that may be sent elsewhere at one moment, as a share of all.
_BURST_SHARE = 1 / 16
# Relays that let down so many workers within a lease get no more of them for a lease.
_LET_DOWN = 2
# Batches that take longer than this share of a report's interval make a relay slow: behind it a report takes
# twice as many links as one that goes directly, and its worker waits only four seconds.
_SLOW_RATIO = 0.25
# Longest time that a worker is kept from relays, in leases.
_LONGEST_REST = 8
# Relaying ends below this share of the count from which on it begins.
_OFF_SHARE = 0.5


class _Sent(msgspec.Struct, frozen=True):
    """A worker that was sent to a relay, and has not been heard through it yet."""

    relay: str
    at: float


class _LetDown(msgspec.Struct, eq=False):
    """A worker that came back from a relay unheard."""

    times: int = 0
    direct_until: float = 0.0


class Assignment:
    """The leader's plan of who relays for whom; only the decision thread touches it."""

    def __init__(
        self,
        mode: RelayMode,
        from_workers: float,
        most_direct: float,
        member: str,
        zone: str,
        times: Durations,
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        """With `AUTO`, relaying begins with ``from_workers`` machines.

        The leader keeps up to ``most_direct`` workers that had better not depend on relays.
        ``member`` and ``zone`` are the leader's own.
        """
        self._mode, self._from_workers, self._most_direct = mode, from_workers, most_direct
        self._member, self._zone = member, zone
        self._times, self._clock, self._rng = times, clock, rng
        # Connected relays, and their zones.
        self._zones: dict[str, str] = {}
        self._workers = 0
        self._relay_of: dict[str, str] = {}
        self._load: Counter[str] = Counter()
        # Workers that report directly.
        self._direct: set[str] = set()
        self._sent: dict[str, _Sent] = {}
        self._let_down: dict[str, _LetDown] = {}
        # Relays that have told how long their batches take; those that take too long, and when they last did.
        self._measured: set[str] = set()
        self._slow_at: dict[str, float] = {}
        # When relays let a worker down lately.
        self._complaints: dict[str, list[float]] = {}
        self._allowance, self._allowed_at = 0.0, clock()
        # Whether controllers are asked to relay.
        self.wanted = mode is RelayMode.FORCED

    # -- what there is -----------------------------------------------------------------------------

    def connected(self, member: str, zone: str) -> None:
        """A controller connected as a relay."""
        self._zones[member] = zone

    def disconnected(self, member: str) -> None:
        """Its connection is gone; so are the workers that it relayed for."""
        self._zones.pop(member, None)
        self._measured.discard(member)
        for machine in [machine for machine, relay in self._relay_of.items() if relay == member]:
            self._forget_relay(machine)

    def took(self, member: str, round_trip_s: float) -> None:
        """A relay tells how long its batches take at the least; 0: it does not know yet."""
        if round_trip_s > 0 and member in self._zones:
            self._measured.add(member)
        if round_trip_s > self._times.heartbeat_interval_s * _SLOW_RATIO:
            self._slow_at[member] = self._clock()

    def review(self, machines: Set[str]) -> None:
        """Go by the machines that there are now."""
        self._workers = len(machines)
        if self._mode is RelayMode.AUTO:
            least = self._from_workers * (_OFF_SHARE if self.wanted else 1.0)
            self.wanted = self._workers >= least
        for machine in [machine for machine in self._relay_of if machine not in machines]:
            self._forget_relay(machine)
        self._direct &= machines
        for kept in (self._sent, self._let_down):
            for machine in [machine for machine in kept if machine not in machines]:
                del kept[machine]

    def _forget_relay(self, machine: str) -> None:
        relay = self._relay_of.pop(machine, None)
        if relay is not None:
            self._load[relay] -= 1

    # -- reports -----------------------------------------------------------------------------------

    def heard(self, machine: str, relay: str) -> None:
        """The leader answered a report that came through a relay."""
        self._sent.pop(machine, None)
        self._let_down.pop(machine, None)
        self._direct.discard(machine)
        if self._relay_of.get(machine) != relay:
            self._forget_relay(machine)
            self._relay_of[machine] = relay
            self._load[relay] += 1

    def assign(self, machine: str, zone: str, answered_at: float) -> str | None:
        """The relay to send a worker to that reports directly; None: answer it.

        Only one that was answered lately is sent, so that its lease lasts until it is back here should the
        relay let it down: half a second to get there, four without an answer, and one to the next node.
        """
        now = self._clock()
        self._came_back(machine, now)
        self._direct.add(machine)
        if not self.wanted or not self._zones or not self._may_send(answered_at, now):
            return None
        let_down = self._let_down.get(machine)
        if let_down is not None and now < let_down.direct_until:
            return None
        relay = self._choose(machine, zone, now)
        if relay is None or self._is_better_off_here(zone, relay):
            return None
        self._allowance -= 1
        self._sent[machine] = _Sent(relay, now)
        self._direct.discard(machine)
        return relay

    def move(self, machine: str, zone: str, relay: str, answered_at: float) -> str | None:
        """Another controller for a worker that had better leave its relay; None: it stays.

        Its relay is slow or has more than its share, or it is of the leader's zone and depends on another.
        """
        now = self._clock()
        slow = self._is_slow(relay, now)
        comes_home = self._is_better_off_here(zone, relay) and zone not in self._zones.values()
        overloaded = self._load[relay] > self._most_each()
        if self._relay_of.get(machine) != relay or not (slow or overloaded or comes_home):
            return None
        if not self._may_send(answered_at, now):
            return None
        if comes_home:
            other: str | None = self._member
        else:
            other = self._choose(machine, zone, now, but=relay) or (self._member if slow else None)
        if other is None:
            return None
        self._allowance -= 1
        if other != self._member:
            self._sent[machine] = _Sent(other, now)
        self._forget_relay(machine)
        return other

    def advice(self, member: str) -> tuple[int, list[str]]:
        """How many workers a relay should have at the most, and which others have less than an even share."""
        now = self._clock()
        even = self._workers / max(1, len(self._zones))
        others = (other for other in self._zones if other != member and self._is_sound(other, now))
        return self._most_each(), [other for other in others if self._load[other] < even]

    def _is_better_off_here(self, zone: str, relay: str) -> bool:
        """Whether a worker of the leader's zone would depend on another zone for want of a relay in its own.

        Where all relays stood in a zone that was cut off, workers of the leader's own zone lost their leases:
        five seconds until they gave a relay up, and five more for the next. So they stay, as far as there are
        connections for them.
        """
        elsewhere = zone == self._zone and self._zones.get(relay) != zone
        return elsewhere and len(self._direct) <= self._most_direct

    def _came_back(self, machine: str, now: float) -> None:
        """A worker that a relay should have kept reports here: it was let down.

        Whatever we answered through that relay, the worker did not have it in time.
        """
        sent = self._sent.pop(machine, None)
        relay = sent.relay if sent is not None else self._relay_of.get(machine)
        self._forget_relay(machine)
        if relay is None:
            return
        let_down = self._let_down.setdefault(machine, _LetDown())
        let_down.times += 1
        rest = min(2.0 ** (let_down.times - 1), _LONGEST_REST) * self._rng.uniform(1.0, 2.0)
        let_down.direct_until = now + rest * self._times.lease_s
        self._complaints.setdefault(relay, []).append(now)

    # -- choice ------------------------------------------------------------------------------------

    def _choose(self, machine: str, zone: str, now: float, but: str = "") -> str | None:
        """By rendezvous hashing, those of the worker's zone first; none above its share.

        Each worker ranks the relays in an order of its own. When one comes or goes, only those move that rank
        it first, or that have it.
        """
        most = self._most_each()
        ranked = sorted(
            (member for member in self._zones if member != but and self._is_sound(member, now)),
            key=lambda member: (self._zones[member] == zone, rendezvous_weight(member, machine)),
            reverse=True,
        )
        under_way = Counter(sent.relay for sent in self._sent.values())
        return next((member for member in ranked if self._load[member] + under_way[member] < most), None)

    def _most_each(self) -> int:
        return math.ceil(MOST_OF_SHARE * self._workers / max(1, len(self._zones)))

    def _is_sound(self, member: str, now: float) -> bool:
        lately = [at for at in self._complaints.get(member, ()) if now - at < self._times.lease_s]
        self._complaints[member] = lately
        return member in self._measured and len(lately) < _LET_DOWN and not self._is_slow(member, now)

    def _is_slow(self, member: str, now: float) -> bool:
        return now - self._slow_at.get(member, float("-inf")) < self._times.lease_s

    def _may_send(self, answered_at: float, now: float) -> bool:
        """Whether a worker that was answered at that moment may be sent elsewhere now.

        They are sent at a pace that moves all of them within a lease, and no faster.
        """
        most = max(1.0, self._workers * _BURST_SHARE)
        rate = max(1.0, self._workers / self._times.lease_s)
        self._allowance = min(most, self._allowance + (now - self._allowed_at) * rate)
        self._allowed_at = now
        return self._allowance >= 1 and now - answered_at <= 2 * self._times.heartbeat_interval_s
