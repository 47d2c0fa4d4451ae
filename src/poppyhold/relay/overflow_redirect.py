"""Redirects workers that come to a relay beyond its share to less loaded relays.

When a relay ends, all its workers go to one and the same next controller, the one after it in their lists.
That one then had twice its share, and closed connections for which it had no capacity.
"""

from __future__ import annotations

import threading
from collections.abc import Callable, Sequence

from poppyhold.relay.rendezvous import rendezvous_weight


class OverflowRedirector:
    """A relay's own count of its workers, and the leader's advice on which relays are underloaded."""

    def __init__(self, max_workers: int, lease_s: float, clock: Callable[[], float]) -> None:
        """``max_workers``: the most workers that this controller may have at all."""
        self._max_workers, self._lease_s, self._clock = max_workers, lease_s, clock
        self._advised_max_workers, self._underloaded = 0, tuple[str, ...]()
        # When each worker's last heartbeat came here, and when it was last redirected; oldest first.
        self._last_heartbeats: dict[str, float] = {}
        self._redirected: dict[str, float] = {}
        self._lock = threading.Lock()

    def update_advice(self, max_workers: int, underloaded: Sequence[str]) -> None:
        """Take the leader's advice: a relay's maximum of workers, and relays with fewer; 0: no advice."""
        with self._lock:
            self._advised_max_workers, self._underloaded = max_workers, tuple(underloaded)

    def redirect(self, machine: str) -> str | None:
        """Another controller for a worker that sent a heartbeat; None: it is accepted here.

        A worker that is here already stays. One that was redirected and returns is accepted, so that no two
        relays redirect a worker to each other until its lease expires.
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
