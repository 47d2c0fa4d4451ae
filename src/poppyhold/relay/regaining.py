"""How long a relay that lost its connection goes on taking reports for the next one."""

from __future__ import annotations


class Regaining:
    """The time behind a lost connection in which the next one is most likely near.

    Behind a change of leader the next one has to be elected, and to read what is durable. Workers that were
    sent to it meanwhile, by the thousand, took all its connections, and the rest lost their leases.
    """

    def __init__(self, patience_s: float, longest_s: float) -> None:
        """``patience_s`` for a leader that stays the same, ``longest_s`` in all for one that changes."""
        self._patience_s, self._longest_s = patience_s, longest_s
        self._until = self._longest_until = float("-inf")
        self._lost_leader: str | None = None

    def lost(self, leader: str | None, now: float) -> None:
        """The connection to a leader was lost."""
        self._lost_leader = leader
        self._until = now + self._patience_s
        self._longest_until = now + self._longest_s

    def look(self, leader: str | None, now: float) -> None:
        """Who is named as the leader now; None: nobody.

        One and the same that stays away may be cut off from us. A worker must not go for long from relay to
        relay that are all cut off from a leader which it reaches itself.
        """
        if leader != self._lost_leader:
            self._extend(now)

    def reached(self, now: float) -> None:
        """A new connection was accepted: the leader is not cut off from us, but slow.

        Workers that were sent to a slow leader made it slower still.
        """
        self._extend(now)

    def _extend(self, now: float) -> None:
        """Wait for another patience, as long as we wait at all, and within the longest time."""
        if self.is_on(now):
            self._until = min(now + self._patience_s, self._longest_until)

    def is_on(self, now: float) -> bool:
        """Whether reports are taken for the next connection."""
        return now < self._until
