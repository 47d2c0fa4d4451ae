"""Redirects workers in excess of a relay's share to less loaded relays.

When a relay fails, all its workers go to the same next controller in their lists. That one would have twice
its share and close the connections that exceed its limit.
"""

from __future__ import annotations

import threading
from collections.abc import Callable, Sequence

from poppyhold.relay.rendezvous import rendezvous_weight


class OverflowRedirector:
    """Redirects by a relay's own count of its workers and the leader's advice on underloaded relays."""

    def __init__(self, max_workers: int, lease_s: float, clock: Callable[[], float]) -> None:
        """``max_workers``: this controller's own limit, whatever the leader advises."""
        self._max_workers, self._lease_s, self._clock = max_workers, lease_s, clock
        self._advised_max_workers, self._underloaded = 0, tuple[str, ...]()
        # When each worker's last heartbeat arrived, and when it was last redirected; oldest first.
        self._last_heartbeats: dict[str, float] = {}
        self._redirected: dict[str, float] = {}
        self._lock = threading.Lock()

    def update_advice(self, max_workers: int, underloaded: Sequence[str]) -> None:
        """Set the leader's advice: a relay's maximum number of workers (0: no advice), underloaded relays."""
        with self._lock:
            self._advised_max_workers, self._underloaded = max_workers, tuple(underloaded)

    def redirect(self, machine: str) -> str | None:
        """Return another controller for a worker that sent a heartbeat; None: accept it here.

        A known worker stays. A redirected one that returns is accepted, so that two relays can't redirect a
        worker to each other until its lease expires.
        """
        now = self._clock()
        with self._lock:
            self._expire(now)
            is_new = machine not in self._last_heartbeats
            has_returned = machine in self._redirected
            max_workers = min(self._max_workers, self._advised_max_workers)
            is_full = len(self._last_heartbeats) >= max_workers > 0
            if is_new and not has_returned and self._underloaded and is_full:
                self._redirected[machine] = now
                return max(self._underloaded, key=lambda member: rendezvous_weight(member, machine))
            self._last_heartbeats.pop(machine, None)
            self._last_heartbeats[machine] = now
            return None

    def _expire(self, now: float) -> None:
        for times in (self._last_heartbeats, self._redirected):
            while times and next(iter(times.values())) < now - self._lease_s:
                del times[next(iter(times))]
