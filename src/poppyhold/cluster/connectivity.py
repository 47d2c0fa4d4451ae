"""Which controllers reach which others, and whether a peer is better connected to lead.

Where two zones cannot reach each other while both reach a third, a leader in one of the two receives no
heartbeats from the other: leases there expire, although a controller in the third zone would receive all
heartbeats.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import NamedTuple


class _PeerReachability(NamedTuple):
    """The controllers that a peer reached when it last responded."""

    received_at: float
    reachable_peers: frozenset[str]


class Connectivity:
    """The links between all controllers, as known to one of them."""

    def __init__(self, member: str, fresh_s: float, clock: Callable[[], float]) -> None:
        """A peer counts as reachable for ``fresh_s`` after a response."""
        self._member, self._fresh_s, self._clock = member, fresh_s, clock
        self._began_at = clock()
        # The last response of each peer whose connection has not broken since.
        self._reachability: dict[str, _PeerReachability] = {}
        # When each peer last responded, also those whose connection broke.
        self._responded_at: dict[str, float] = {}
        # Peers whose last connection timed out; one that refuses connections is not among them.
        self._unreachable: set[str] = set()

    def record_response(self, member: str, reachable_peers: Iterable[str]) -> None:
        """Record a peer's response, with the controllers that the peer reaches."""
        now = self._clock()
        self._reachability[member] = _PeerReachability(now, frozenset(reachable_peers))
        self._responded_at[member] = now
        self._unreachable.discard(member)

    def connection_lost(self, member: str, timed_out: bool) -> None:
        """Record that the connection to a peer broke; after a time-out the peer counts as unreachable."""
        self._reachability.pop(member, None)
        if timed_out:
            self._unreachable.add(member)
        else:
            self._unreachable.discard(member)

    def is_unreachable(self, member: str) -> bool:
        """Whether the last connection to a peer timed out. A peer that refuses connections is reachable."""
        return member in self._unreachable

    def reachable_peers(self) -> list[str]:
        """Peers that responded recently."""
        oldest = self._clock() - self._fresh_s
        return [
            member
            for member, reachability in list(self._reachability.items())
            if reachability.received_at >= oldest
        ]

    def better_connected_peer(self, unreachable_s: float = 0.0) -> str | None:
        """A peer that reaches this controller, all that this one reaches, and at least one other.

        The other one must not have responded to this controller for ``unreachable_s``.
        """
        reached = set(self.reachable_peers())
        since = self._clock() - unreachable_s
        for member in sorted(reached):
            reachability = self._reachability.get(member)
            if reachability is None or self._member not in reachability.reachable_peers:
                continue
            others = reachability.reachable_peers - {self._member}
            missed = {other for other in others - reached if self._last_response_at(other) <= since}
            if reached - {member} <= others and missed:
                return member
        return None

    def _last_response_at(self, member: str) -> float:
        return self._responded_at.get(member, self._began_at)
