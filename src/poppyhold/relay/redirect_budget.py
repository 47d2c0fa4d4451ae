"""Limits how many workers are redirected at once, and at what rate."""

from __future__ import annotations

# Most workers that may be redirected at once, as a share of all.
_BURST_SHARE = 1 / 16


class RedirectBudget:
    """A token bucket that refills at the rate at which all workers are redirected within one lease."""

    def __init__(self, lease_s: float, now: float) -> None:
        self._lease_s = lease_s
        self._available, self._refilled_at = 0.0, now

    def allows_redirect(self, worker_count: int, now: float) -> bool:
        """Whether one of ``worker_count`` workers may be redirected now."""
        burst = max(1.0, worker_count * _BURST_SHARE)
        rate = max(1.0, worker_count / self._lease_s)
        self._available = min(burst, self._available + (now - self._refilled_at) * rate)
        self._refilled_at = now
        return self._available >= 1

    def consume(self) -> None:
        """Count one redirected worker."""
        self._available -= 1
