"""A bound on a rate, with bursts: the generic cell rate algorithm."""

from __future__ import annotations


class Pace:
    """Units that may be spent at a rate, up to ``burst`` at once. Not safe for use by several threads.

    Spending is never refused: what is spent beyond the rate moves the moment at which more may be spent.
    """

    def __init__(self, per_second: float, burst: float) -> None:
        self._gap_s = 1.0 / per_second
        self._burst_s = burst * self._gap_s
        # When all that was spent would be over, had it gone at an even rate.
        self._spent_until = float("-inf")

    def ready_at(self) -> float:
        """The moment from which on the next units may be spent."""
        return self._spent_until - self._burst_s

    def spend(self, units: float, now: float) -> None:
        """Note that so many units are spent now."""
        self._spent_until = max(self._spent_until, now) + units * self._gap_s
