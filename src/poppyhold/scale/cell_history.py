"""How the shares of limits and their use went, cell by cell, over a run."""

from __future__ import annotations

import msgspec


class CellSample(msgspec.Struct, frozen=True, array_like=True):
    """Accelerators of all teams together in one cell: its shares of their limits, and what runs."""

    share: float
    used: float


class Sample(msgspec.Struct, frozen=True, array_like=True):
    """All cells at one moment, in seconds of the measured time, and whether all links between them are up."""

    at_s: float
    links_up: bool
    cells: list[CellSample]


class LimitUse(msgspec.Struct):
    """What was in use of the limits of teams whose work waited, added up over many looks."""

    used: float = 0.0
    limit: float = 0.0

    def add(self, used: float, limit: float) -> None:
        """Note one team at one look."""
        self.used += used
        self.limit += limit

    @property
    def part(self) -> float | None:
        """The part of the limits in use; None: no work waited."""
        return self.used / self.limit if self.limit else None


class CellHistory:
    """Samples of a run, not more often than once in an interval."""

    def __init__(self, interval_s: float) -> None:
        self._interval_s = interval_s
        self._began_at = self._next_at = 0.0
        self.samples: list[Sample] = []

    def begin(self, now: float) -> None:
        """The measured time begins now: what was before is dropped."""
        self._began_at = self._next_at = now
        self.samples = []

    def record(self, now: float, links_up: bool, cells: list[CellSample]) -> None:
        """Take a sample if the last one is old enough."""
        if now < self._next_at:
            return
        self._next_at = now + self._interval_s
        self.samples.append(Sample(now - self._began_at, links_up, cells))
