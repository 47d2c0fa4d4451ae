"""Allocations and their use over a run, cell by cell."""

from __future__ import annotations

import msgspec


class CellSample(msgspec.Struct, frozen=True, array_like=True):
    """Accelerators of all teams in one cell: allocated ones, and those in use."""

    share: float
    used: float


class Sample(msgspec.Struct, frozen=True, array_like=True):
    """All cells at one time, in seconds of the measured time; whether all links between them are up."""

    at_s: float
    links_up: bool
    cells: list[CellSample]


class LimitUse(msgspec.Struct):
    """Use and limits of teams with waiting tasks, added up over many checks."""

    used: float = 0.0
    limit: float = 0.0

    def add(self, used: float, limit: float) -> None:
        """Add one team at one check."""
        self.used += used
        self.limit += limit

    @property
    def part(self) -> float | None:
        """The part of the limits in use; None if no team had waiting tasks."""
        return self.used / self.limit if self.limit else None


class CellHistory:
    """Samples of a run, at most one per interval."""

    def __init__(self, interval_s: float) -> None:
        self._interval_s = interval_s
        self._began_at = self._next_at = 0.0
        self.samples: list[Sample] = []

    def begin(self, now: float) -> None:
        """Start the measured time: drop earlier samples."""
        self._began_at = self._next_at = now
        self.samples = []

    def record(self, now: float, links_up: bool, cells: list[CellSample]) -> None:
        """Record a sample unless the previous one is more recent than the interval."""
        if now < self._next_at:
            return
        self._next_at = now + self._interval_s
        self.samples.append(Sample(now - self._began_at, links_up, cells))
