"""The leader as this controller last saw it, for threads that wait for one."""

from __future__ import annotations

import threading
import time

from poppyhold.cluster.leader_key import Leader


class KnownLeader:
    """Who leads, since when it is known, and since when nobody leads."""

    def __init__(self) -> None:
        self.leader: Leader | None = None
        now = time.monotonic()
        # When this leader became known, and when the last one was gone.
        self.leader_since, self.vacant_since = now, now
        self._changed = threading.Condition()
        self._stopped = False

    def observe(self, leader: Leader | None) -> None:
        """Take what the leader's key says; threads that wait wake up for a leader."""
        with self._changed:
            known = self.leader
            if leader is None and known is not None:
                self.vacant_since = time.monotonic()
            if leader is not None and (known is None or leader.fencing_token != known.fencing_token):
                self.leader_since = time.monotonic()
            self.leader = leader
            if leader is not None:
                self._changed.notify_all()

    def record_own_election(self, leader: Leader) -> None:
        """Note our own election. `announce` wakes up the threads that wait, once we can serve."""
        self.leader = leader

    def announce(self) -> None:
        """Wake up all threads that wait."""
        with self._changed:
            self._changed.notify_all()

    def stop(self) -> None:
        """From now on nobody waits."""
        self._stopped = True

    def await_leader(self, timeout_s: float) -> Leader | None:
        """The leader; if there is none, wait a moment for the election of one."""
        with self._changed:
            if self.leader is None and not self._stopped:
                self._changed.wait(timeout_s)
            return self.leader

    def await_next_leader(self, leader: Leader, timeout_s: float) -> Leader | None:
        """Wait a moment for another leader than this one; the leader as it is then."""
        with self._changed:
            self._changed.wait_for(lambda: self.leader not in (None, leader) or self._stopped, timeout_s)
            return self.leader
