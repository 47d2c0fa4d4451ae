"""How long a relay that lost its connection to the leader accepts heartbeats for the next connection."""

from __future__ import annotations


class ReconnectionWindow:
    """The time after a lost connection during which a relay expects the next one soon.

    A new leader has to be elected and to load the durable state. Thousands of workers redirected to it
    meanwhile would take all its connections, and the leases of the others would expire.
    """

    def __init__(self, window_s: float, max_total_s: float) -> None:
        """``window_s``: length while the leader stays the same; ``max_total_s``: with all extensions."""
        self._window_s, self._max_total_s = window_s, max_total_s
        self._open_until = self._latest_end = float("-inf")
        self._lost_leader: str | None = None

    def connection_lost(self, leader: str | None, now: float) -> None:
        """Open the window after the connection to a leader was lost."""
        self._lost_leader = leader
        self._open_until = now + self._window_s
        self._latest_end = now + self._max_total_s

    def record_leader(self, leader: str | None, now: float) -> None:
        """Record the current leader (None: there is none); a change extends the window.

        If the leader stays the same and unreachable, this relay may be partitioned from it. A worker must not
        be passed around for long between partitioned relays while it could reach the leader itself.
        """
        if leader != self._lost_leader:
            self._extend(now)

    def connection_accepted(self, now: float) -> None:
        """Extend the window as the leader accepted a connection: it is slow, but not partitioned from here.

        Workers redirected to a slow leader would slow it down further.
        """
        self._extend(now)

    def _extend(self, now: float) -> None:
        """Restart an open window from ``now``, up to its maximum total length."""
        if self.is_open(now):
            self._open_until = min(now + self._window_s, self._latest_end)

    def is_open(self, now: float) -> bool:
        """Whether heartbeats are still accepted for the next connection."""
        return now < self._open_until
