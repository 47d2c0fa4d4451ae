"""Which controllers reach which others, and whether one of them is placed better to lead.

Where two zones cannot reach each other while both reach a third, a leader in one of the two loses the workers
of the other: their leases end, though a controller in the third zone would hear all of them.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import NamedTuple


class _Reach(NamedTuple):
    """What a controller said when it answered last."""

    at: float
    hears: frozenset[str]


class Connectivity:
    """What one controller knows of the links between all of them."""

    def __init__(self, member: str, fresh_s: float, clock: Callable[[], float]) -> None:
        self._member, self._fresh_s, self._clock = member, fresh_s, clock
        self._reaches: dict[str, _Reach] = {}
        # Since when the same controller has been placed better without a break.
        self._better: str | None = None
        self._better_since = float("inf")

    def answered(self, member: str, hears: Iterable[str]) -> None:
        """Another controller answered, and named those that it hears itself."""
        self._reaches[member] = _Reach(self._clock(), frozenset(hears))

    def lost(self, member: str) -> None:
        """The connection to another controller broke."""
        self._reaches.pop(member, None)

    def hears(self) -> list[str]:
        """Controllers that answered lately."""
        oldest = self._clock() - self._fresh_s
        return [member for member, reach in list(self._reaches.items()) if reach.at >= oldest]

    def better_placed(self) -> str | None:
        """A controller that hears us, all others that we hear, and more."""
        heard = set(self.hears())
        for member in sorted(heard):
            reach = self._reaches.get(member)
            if reach is None or self._member not in reach.hears:
                continue
            if heard - {member} < reach.hears - {self._member}:
                return member
        return None

    def better_placed_for(self, span_s: float) -> str | None:
        """A controller that has been placed better for so long; to be asked again and again."""
        better, now = self.better_placed(), self._clock()
        if better is None or better != self._better:
            self._better, self._better_since = better, now
        return better if better is not None and now - self._better_since >= span_s else None
