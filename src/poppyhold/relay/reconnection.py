"""How long a relay that lost its connection continues to accept heartbeats for the next one."""

from __future__ import annotations


class ReconnectionWindow:
    """The time after a lost connection in which the next one is expected soon.

    After a change of leader the new one has to be elected, and to load the durable state. Workers that were
    redirected to it meanwhile, by the thousand, took all its connections, and the rest lost their leases.
    """

    def __init__(self, window_s: float, max_total_s: float) -> None:
        """``window_s`` for a leader that stays the same, ``max_total_s`` in total for one that changes."""
        self._window_s, self._max_total_s = window_s, max_total_s
        self._open_until = self._latest_end = float("-inf")
        self._lost_leader: str | None = None

    def connection_lost(self, leader: str | None, now: float) -> None:
        """The connection to a leader was lost."""
        self._lost_leader = leader
        self._open_until = now + self._window_s
        self._latest_end = now + self._max_total_s

    def record_leader(self, leader: str | None, now: float) -> None:
        """Note who is named as the leader now; None: nobody.

        If it is the same and remains unreachable, we may be partitioned from it. A worker must not be passed
        for long between relays that are all partitioned from a leader which it can reach itself.
        """
        if leader != self._lost_leader:
            self._extend(now)

    def connection_accepted(self, now: float) -> None:
        """A new connection was accepted: the leader is slow, but we are not partitioned from it.

        Workers that were redirected to a slow leader made it slower still.
        """
        self._extend(now)

    def _extend(self, now: float) -> None:
        """Extend an open window by its length again, up to the longest time."""
        if self.is_open(now):
            self._open_until = min(now + self._window_s, self._latest_end)

    def is_open(self, now: float) -> bool:
        """Whether heartbeats are accepted for the next connection."""
        return now < self._open_until
