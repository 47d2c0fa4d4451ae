"""How many workers may be redirected at once, and at what rate."""

from __future__ import annotations

# Workers that may be redirected at one moment, as a share of all.
_BURST_SHARE = 1 / 16


class RedirectBudget:
    """A token bucket: all workers can be redirected within a lease, and no faster."""

    def __init__(self, lease_s: float, now: float) -> None:
        self._lease_s = lease_s
        self._available, self._refilled_at = 0.0, now

    def allows_redirect(self, worker_count: int, now: float) -> bool:
        """Whether a worker may be redirected now, with a fleet of ``worker_count`` workers."""
        burst = max(1.0, worker_count * _BURST_SHARE)
        rate = max(1.0, worker_count / self._lease_s)
        self._available = min(burst, self._available + (now - self._refilled_at) * rate)
        self._refilled_at = now
        return self._available >= 1

    def consume(self) -> None:
        """A worker is redirected."""
        self._available -= 1
