"""The leader as last known to this controller, for threads that wait for an election."""

from __future__ import annotations

import threading
import time

from poppyhold.cluster.leader_key import Leader


class KnownLeader:
    """Which controller leads, as far as this one knows, and since when; or since when none leads."""

    def __init__(self) -> None:
        self.leader: Leader | None = None
        now = time.monotonic()
        # When this leader became known, and when the last leader's key was found absent.
        self.leader_since, self.vacant_since = now, now
        self._changed = threading.Condition()
        self._stopped = False

    def observe(self, leader: Leader | None) -> None:
        """Record the leader that the key names, and wake up waiting threads if there is one."""
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
        """Record this controller's election. `notify_waiters` wakes up threads once it can serve."""
        self.leader = leader

    def notify_waiters(self) -> None:
        """Wake up all waiting threads."""
        with self._changed:
            self._changed.notify_all()

    def stop(self) -> None:
        """Let no more threads wait; those that already wait are not woken up."""
        self._stopped = True

    def await_leader(self, timeout_s: float) -> Leader | None:
        """The leader; if there is none, wait up to ``timeout_s`` for an election."""
        with self._changed:
            if self.leader is None and not self._stopped:
                self._changed.wait(timeout_s)
            return self.leader

    def await_next_leader(self, leader: Leader, timeout_s: float) -> Leader | None:
        """Wait up to ``timeout_s`` for another leader than this one; returns the leader at that time."""
        with self._changed:
            self._changed.wait_for(lambda: self.leader not in (None, leader) or self._stopped, timeout_s)
            return self.leader
