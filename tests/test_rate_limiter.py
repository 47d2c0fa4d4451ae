"""The rate limiter: a burst, and then a constant rate."""

from __future__ import annotations

from poppyhold.concurrency.rate_limiter import RateLimiter


def test_a_burst_is_allowed_and_then_a_constant_rate() -> None:
    rate_limiter, consumed_at = RateLimiter(2.0, burst=3.0), []
    for now in range(10):
        while rate_limiter.ready_at() <= now:
            rate_limiter.consume(1.0, now)
            consumed_at.append(now)
    assert [consumed_at.count(now) for now in range(4)] == [4, 2, 2, 2]
