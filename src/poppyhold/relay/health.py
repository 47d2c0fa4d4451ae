"""Health of relays: only healthy ones are assigned workers."""

from __future__ import annotations

from collections.abc import Callable

from poppyhold.model.durations import Durations

# A relay from which this many workers returned within a lease is assigned no more of them for a lease.
_FAILURE_THRESHOLD = 2
# A relay is slow if its batches take longer than this share of a heartbeat interval: a relayed heartbeat
# crosses twice as many links as a direct one, and its worker waits only 4 s.
_SLOW_ROUND_TRIP_RATIO = 0.25


class RelayHealth:
    """Round trips and recent failures of the relays; only the decision thread uses it."""

    def __init__(self, durations: Durations, clock: Callable[[], float]) -> None:
        self._durations, self._clock = durations, clock
        # Relays with a known round trip, and when each relay's round trip was last too long.
        self._measured: set[str] = set()
        self._slow_at: dict[str, float] = {}
        # When workers returned from each relay, within the last lease.
        self._failures: dict[str, list[float]] = {}

    def record_round_trip(self, member: str, round_trip_s: float, is_connected: bool) -> None:
        """Record the shortest recent round trip of a relay's batches; 0: none is known yet."""
        if round_trip_s > 0 and is_connected:
            self._measured.add(member)
        if round_trip_s > self._durations.heartbeat_interval_s * _SLOW_ROUND_TRIP_RATIO:
            self._slow_at[member] = self._clock()

    def forget_round_trip(self, member: str) -> None:
        """Require a new measurement from a relay whose connection was lost."""
        self._measured.discard(member)

    def record_failure(self, member: str, now: float) -> None:
        """Record that a worker returned from the relay without a response."""
        self._failures.setdefault(member, []).append(now)

    def is_healthy(self, member: str, now: float) -> bool:
        """Whether a relay may be assigned workers: measured, not slow, and with few recent failures."""
        recent = [at for at in self._failures.get(member, ()) if now - at < self._durations.lease_s]
        self._failures[member] = recent
        return member in self._measured and len(recent) < _FAILURE_THRESHOLD and not self.is_slow(member, now)

    def is_slow(self, member: str, now: float) -> bool:
        """Whether a relay's batches took too long within the last lease."""
        return now - self._slow_at.get(member, float("-inf")) < self._durations.lease_s
