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
        self._began_at = clock()
        self._reaches: dict[str, _Reach] = {}
        # When each controller answered last, also those whose connection broke.
        self._heard_at: dict[str, float] = {}
        # Those that gave no answer at all, not even a refusal.
        self._unreachable: set[str] = set()

    def answered(self, member: str, hears: Iterable[str]) -> None:
        """Another controller answered, and named those that it hears itself."""
        now = self._clock()
        self._reaches[member] = _Reach(now, frozenset(hears))
        self._heard_at[member] = now
        self._unreachable.discard(member)

    def lost(self, member: str, timed_out: bool) -> None:
        """The connection to another controller broke; a time-out says that nothing gets through."""
        self._reaches.pop(member, None)
        if timed_out:
            self._unreachable.add(member)
        else:
            self._unreachable.discard(member)

    def unreachable(self, member: str) -> bool:
        """Whether nothing gets through to another controller. One that refuses connections is not cut off."""
        return member in self._unreachable

    def hears(self) -> list[str]:
        """Controllers that answered lately."""
        oldest = self._clock() - self._fresh_s
        return [member for member, reach in list(self._reaches.items()) if reach.at >= oldest]

    def better_placed(self, unheard_s: float = 0.0) -> str | None:
        """A controller that hears us, all that we hear, and others that we have not heard for so long."""
        heard = set(self.hears())
        since = self._clock() - unheard_s
        for member in sorted(heard):
            reach = self._reaches.get(member)
            if reach is None or self._member not in reach.hears:
                continue
            others = reach.hears - {self._member}
            missed = {other for other in others - heard if self._last_heard(other) <= since}
            if heard - {member} <= others and missed:
                return member
        return None

    def _last_heard(self, member: str) -> float:
        return self._heard_at.get(member, self._began_at)
