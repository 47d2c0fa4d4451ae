"""The recent peak of a value, in windows of variable length."""

from __future__ import annotations


class RecentPeak:
    """The highest value of the current window and the one before it."""

    def __init__(self) -> None:
        self._window_started_at = float("-inf")
        self._previous_peak = self._current_peak = 0

    def record(self, value: int, now: float, window_s: float) -> int:
        """Record a value and return the peak; the length of the window may differ between calls."""
        elapsed_s = now - self._window_started_at
        if elapsed_s >= window_s:
            self._previous_peak = self._current_peak if elapsed_s < 2 * window_s else 0
            self._current_peak = 0
            self._window_started_at = now
        self._current_peak = max(self._current_peak, value)
        return max(self._current_peak, self._previous_peak)
