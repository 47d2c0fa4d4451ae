"""The rate limiter: a burst, and then an even rate."""

from __future__ import annotations

from poppyhold.concurrency.rate_limiter import RateLimiter


def test_a_pace_lets_a_burst_go_and_then_an_even_rate() -> None:
    pace, gone = RateLimiter(2.0, burst=3.0), []
    for now in range(10):
        while pace.ready_at() <= now:
            pace.consume(1.0, now)
            gone.append(now)
    assert [gone.count(now) for now in range(4)] == [4, 2, 2, 2]
