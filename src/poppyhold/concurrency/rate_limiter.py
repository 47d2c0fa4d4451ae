"""A rate limit with bursts: the generic cell rate algorithm (GCRA)."""

from __future__ import annotations


class RateLimiter:
    """Units may be consumed at a rate, up to ``burst`` at once. Not thread-safe.

    Units are never rejected: those beyond the rate delay the time at which the next ones may be consumed.
    """

    def __init__(self, per_second: float, burst: float) -> None:
        self._interval_s = 1.0 / per_second
        self._burst_s = burst * self._interval_s
        # When all units consumed so far would have been consumed at the rate, without a burst.
        self._theoretical_arrival_at = float("-inf")

    def ready_at(self) -> float:
        """The time from which the next units may be consumed."""
        return self._theoretical_arrival_at - self._burst_s

    def consume(self, units: float, now: float) -> None:
        """Record that units are consumed at ``now``."""
        self._theoretical_arrival_at = max(self._theoretical_arrival_at, now) + units * self._interval_s
