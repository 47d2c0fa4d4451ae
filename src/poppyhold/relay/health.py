"""Which relays are healthy enough to be assigned workers."""

from __future__ import annotations

from collections.abc import Callable

from poppyhold.model.durations import Durations

# A relay from which so many workers returned within a lease is assigned no more of them for a lease.
_FAILURE_THRESHOLD = 2
# Batches that take longer than this share of a heartbeat interval make a relay slow: through it a heartbeat
# takes twice as many links as one that goes directly, and its worker waits only four seconds.
_SLOW_ROUND_TRIP_RATIO = 0.25


class RelayHealth:
    """Round trips and recent failures of the relays; only the decision thread uses it."""

    def __init__(self, durations: Durations, clock: Callable[[], float]) -> None:
        self._durations, self._clock = durations, clock
        # Relays with a known round trip; and when each one's was last too long.
        self._measured: set[str] = set()
        self._slow_at: dict[str, float] = {}
        # When workers returned from relays, recently.
        self._failures: dict[str, list[float]] = {}

    def record_round_trip(self, member: str, round_trip_s: float, is_connected: bool) -> None:
        """Note how long a relay's batches take at the least; 0: it does not know yet."""
        if round_trip_s > 0 and is_connected:
            self._measured.add(member)
        if round_trip_s > self._durations.heartbeat_interval_s * _SLOW_ROUND_TRIP_RATIO:
            self._slow_at[member] = self._clock()

    def forget_round_trip(self, member: str) -> None:
        """The relay's connection is lost: it has to be measured again."""
        self._measured.discard(member)

    def record_failure(self, member: str, now: float) -> None:
        """A worker returned from the relay without a response."""
        self._failures.setdefault(member, []).append(now)

    def is_healthy(self, member: str, now: float) -> bool:
        """Whether a relay may be assigned workers: it is measured, not slow, and without recent failures."""
        recent = [at for at in self._failures.get(member, ()) if now - at < self._durations.lease_s]
        self._failures[member] = recent
        return member in self._measured and len(recent) < _FAILURE_THRESHOLD and not self.is_slow(member, now)

    def is_slow(self, member: str, now: float) -> bool:
        """Whether a relay's batches took too long within the last lease."""
        return now - self._slow_at.get(member, float("-inf")) < self._durations.lease_s
