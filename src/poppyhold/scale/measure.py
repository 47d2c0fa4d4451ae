"""Measurements of a run: latency histograms, event rates and resource use of processes."""

from __future__ import annotations

import time
from collections import Counter

import msgspec
import psutil
from hdrh.histogram import HdrHistogram

_LOWEST_US, _HIGHEST_US, _SIGNIFICANT_DIGITS = 1, 600_000_000, 2


class Latency:
    """A latency histogram."""

    def __init__(self) -> None:
        self._histogram = HdrHistogram(_LOWEST_US, _HIGHEST_US, _SIGNIFICANT_DIGITS)

    def record(self, seconds: float) -> None:
        """Add a latency."""
        self._histogram.record_value(min(_HIGHEST_US, max(_LOWEST_US, int(seconds * 1e6))))

    def clear(self) -> None:
        """Remove all values, at the start of the measured time."""
        self._histogram.reset()

    def summary(self) -> dict[str, float]:
        """Count and percentiles, in seconds."""
        count = self._histogram.get_total_count()
        if not count:
            return {"count": 0}
        of = {
            f"p{percentile:g}": self._histogram.get_value_at_percentile(percentile) / 1e6
            for percentile in (50, 95, 99)
        }
        return {"count": count, **of, "max": self._histogram.get_max_value() / 1e6}


class Rate:
    """Event counts by second."""

    def __init__(self) -> None:
        self._by_second: Counter[int] = Counter()

    def record(self) -> None:
        """Count one event now."""
        self._by_second[int(time.monotonic())] += 1

    def clear(self) -> None:
        """Remove all counts."""
        self._by_second.clear()

    @property
    def total(self) -> int:
        """The number of events."""
        return sum(self._by_second.values())

    def peak(self, over_s: int = 5) -> float:
        """The highest rate per second, averaged over ``over_s`` consecutive seconds."""
        return max(
            (
                sum(self._by_second[second + offset] for offset in range(over_s)) / over_s
                for second in self._by_second
            ),
            default=0.0,
        )


class ProcessUse(msgspec.Struct):
    """Resource use of a process in the measured time."""

    processor_s: float = 0.0
    # Highest use of a core between two samples, as a share of one core.
    processor_peak: float = 0.0
    memory_mb: float = 0.0
    threads: int = 0
    connections: int = 0


class ProcessMeter:
    """Samples one process; figures accumulate across restarts."""

    def __init__(self) -> None:
        self.use = ProcessUse()
        self._process: psutil.Process | None = None
        self._last: tuple[float, float] | None = None

    def follow(self, process_id: int) -> None:
        """Sample this process from now on."""
        self._process = psutil.Process(process_id)
        self._last = None

    def clear(self) -> None:
        """Reset the figures at the start of the measured time."""
        self.use = ProcessUse()
        self._last = None

    def sample(self, with_connections: bool) -> None:
        """Sample the process once, unless it has ended."""
        if self._process is None:
            return
        try:
            with self._process.oneshot():
                times = self._process.cpu_times()
                memory_mb = self._process.memory_info().rss / 2**20
                threads = self._process.num_threads()
            connections = len(self._process.net_connections("tcp")) if with_connections else 0
        except psutil.Error:
            self._last = None
            return
        now, used = time.monotonic(), times.user + times.system
        if self._last is not None:
            spent = used - self._last[1]
            self.use.processor_s += spent
            self.use.processor_peak = max(self.use.processor_peak, spent / (now - self._last[0]))
        self._last = now, used
        self.use.memory_mb = max(self.use.memory_mb, memory_mb)
        self.use.threads = max(self.use.threads, threads)
        self.use.connections = max(self.use.connections, connections)
