"""A limit on a rate, with bursts: the generic cell rate algorithm (GCRA)."""

from __future__ import annotations


class RateLimiter:
    """Units that may be consumed at a rate, up to ``burst`` at once. Not safe for use by several threads.

    Units are never refused: those beyond the rate move the moment at which the next ones may be consumed.
    """

    def __init__(self, per_second: float, burst: float) -> None:
        self._interval_s = 1.0 / per_second
        self._burst_s = burst * self._interval_s
        # The theoretical arrival time: when all units would be consumed, had they come at an even rate.
        self._theoretical_arrival_at = float("-inf")

    def ready_at(self) -> float:
        """The moment from which on the next units may be consumed."""
        return self._theoretical_arrival_at - self._burst_s

    def consume(self, units: float, now: float) -> None:
        """Note that so many units are consumed now."""
        self._theoretical_arrival_at = max(self._theoretical_arrival_at, now) + units * self._interval_s
