"""How long a cell retains what a team used: longer for teams whose allocation would move back and forth.

A short retention lets an idle allocation move at once to where work is pending. Loads that alternate between
cells would then move it with each alternation, and each transfer costs durable writes. So each team's
retention starts short, grows whenever the cell needs an allocation again that it transferred recently, and
halves with each period of the longest retention without that: hysteresis, as route flap damping in routers.
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

# Ratio of the shortest retention to the longest, and the growth each time a recent debit was needed again.
_MIN_TO_MAX_RATIO = 1 / 8
_GROWTH_FACTOR = 4.0


class _TeamRetention(msgspec.Struct):
    """A team's retention in seconds, since when it has that length, and when its last debit was."""

    retention_s: float
    since: float
    debited_at: float | None = None


class RetentionTimes:
    """The retention of each team whose allocation was ever debited here; the shortest for all others."""

    def __init__(self, max_s: float) -> None:
        """``max_s`` bounds all retention times, and how long ago a debit may be to count as premature."""
        self._max_s = max_s
        self._min_s = max_s * _MIN_TO_MAX_RATIO
        self._teams: dict[str, _TeamRetention] = {}

    def seconds(self, team: str, now: float) -> float:
        """For how long what a team used is retained."""
        retention = self._teams.get(team)
        return self._min_s if retention is None else self._with_decay(retention, now)

    def record_debit(self, team: str, now: float) -> None:
        """A part of the team's allocation was transferred to another cell."""
        retention = self._teams.setdefault(team, _TeamRetention(self._min_s, now))
        retention.debited_at = now

    def record_unmet_demand(self, teams: Iterable[str], now: float) -> None:
        """Work of these teams lacks an allocation: a recent debit should have been retained longer."""
        for team in teams:
            retention = self._teams.get(team)
            if retention is None or retention.debited_at is None:
                continue
            if now - retention.debited_at <= self._max_s:
                grown_s = _GROWTH_FACTOR * self._with_decay(retention, now)
                retention.retention_s = min(self._max_s, grown_s)
                retention.since = now
            # Each debit counts once.
            retention.debited_at = None

    def _with_decay(self, retention: _TeamRetention, now: float) -> float:
        quiet_periods = int((now - retention.since) / self._max_s)
        halved_s: float = retention.retention_s / 2**quiet_periods
        return max(self._min_s, halved_s)
