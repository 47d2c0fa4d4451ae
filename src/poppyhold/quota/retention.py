"""How long a cell retains an allocation that a team used recently: longer for alternating loads.

With a short retention, an idle allocation moves at once to the cell where work is pending. A load that
alternates between cells would then move it at each alternation, and each transfer costs durable writes. So a
team's retention starts at the minimum, grows whenever the cell needs an amount again that it transferred
recently, and halves with each maximum retention time without that: hysteresis, as in route flap damping.
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

# Ratio of the minimum retention to the maximum, and the growth when a recent debit is needed again.
_MIN_TO_MAX_RATIO = 1 / 8
_GROWTH_FACTOR = 4.0


class _TeamRetention(msgspec.Struct):
    """A team's retention, since when it has that length, and the time of a debit not yet counted."""

    retention_s: float
    since: float
    debited_at: float | None = None


class RetentionTimes:
    """The retention of each team whose allocation was debited in this term; the minimum for all others."""

    def __init__(self, max_s: float) -> None:
        """``max_s`` bounds all retention times, and the age of a debit that counts as premature."""
        self._max_s = max_s
        self._min_s = max_s * _MIN_TO_MAX_RATIO
        self._teams: dict[str, _TeamRetention] = {}

    def seconds(self, team: str, now: float) -> float:
        """How long an allocation that a team used is retained."""
        retention = self._teams.get(team)
        return self._min_s if retention is None else self._with_decay(retention, now)

    def record_debit(self, team: str, now: float) -> None:
        """Record that a part of the team's allocation was transferred to another cell."""
        retention = self._teams.setdefault(team, _TeamRetention(self._min_s, now))
        retention.debited_at = now

    def record_unmet_demand(self, teams: Iterable[str], now: float) -> None:
        """Record unmet demand of teams: a recent debit was premature, and their retention grows."""
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
