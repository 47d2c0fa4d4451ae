"""How long a cell holds back what a team used: longer for teams whose shares would be traded to and fro.

A short hold lets an idle share move at once to where work waits. Loads that alternate between cells would
then trade it with each turn, and each move costs durable writes. So each team's hold begins short, grows
whenever the cell needs a share again that it gave away lately, and halves with each longest hold without
that, as a router dampens a route that flaps.
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

# Ratio of the shortest hold to the longest one, and by how much a return lengthens a hold.
_SHORTEST = 1 / 8
_GROWTH = 4.0


class _TeamHold(msgspec.Struct):
    """A team's hold, in seconds, since when it is that long, and when its share was given away last."""

    hold_s: float
    since: float
    gave_at: float | None = None


class HoldTimes:
    """The hold of each team whose share was ever given away here; the shortest one for all others."""

    def __init__(self, longest_s: float) -> None:
        """``longest_s`` bounds all holds, and is how long ago a gift may be that was a mistake."""
        self._longest_s = longest_s
        self._shortest_s = longest_s * _SHORTEST
        self._teams: dict[str, _TeamHold] = {}

    def seconds(self, team: str, now: float) -> float:
        """For how long what a team used is held back."""
        hold = self._teams.get(team)
        return self._shortest_s if hold is None else self._decayed(hold, now)

    def gave(self, team: str, now: float) -> None:
        """Some of the team's share was given away."""
        hold = self._teams.setdefault(team, _TeamHold(self._shortest_s, now))
        hold.gave_at = now

    def lacked(self, teams: Iterable[str], now: float) -> None:
        """Work of these teams lacks a share: what was given away lately should have been held longer."""
        for team in teams:
            hold = self._teams.get(team)
            if hold is None or hold.gave_at is None:
                continue
            if now - hold.gave_at <= self._longest_s:
                hold.hold_s = min(self._longest_s, _GROWTH * self._decayed(hold, now))
                hold.since = now
            # Each gift counts once.
            hold.gave_at = None

    def _decayed(self, hold: _TeamHold, now: float) -> float:
        quiet_periods = int((now - hold.since) / self._longest_s)
        halved_s: float = hold.hold_s / 2**quiet_periods
        return max(self._shortest_s, halved_s)
