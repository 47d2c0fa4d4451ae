"""State service and cloud on loopback ports, with limits and latencies."""

from __future__ import annotations

import asyncio
import random
import time
from collections import Counter
from http import HTTPStatus

from poppyhold.durable.keys import QUOTA_PREFIX
from poppyhold.scale.async_http import HttpServer
from poppyhold.scale.cloud_standin import CloudStandIn
from poppyhold.scale.profile import StateLimits
from poppyhold.scale.responses import Status
from poppyhold.scale.routes import cloud_route, parse_query, state_route
from poppyhold.scale.state_standin import StateStandIn
from poppyhold.wire.codec import decode

_WATCH_POLL_S = 0.02
CLOUD_RPS, CLOUD_LATENCY_S, CLOUD_LAG_S = 4.0, 0.08, 8.0


class RateLimit:
    """A token bucket: a rate per second, with bursts of up to ``burst_s`` seconds of it."""

    def __init__(self, per_second: float, burst_s: float) -> None:
        self._per_second, self._burst = per_second, per_second * burst_s
        self._available, self._refilled_at = self._burst, time.monotonic()

    def take(self, amount: float = 1.0) -> bool:
        """Take an amount if it is within the limit, and return whether it was."""
        now = time.monotonic()
        self._available = min(self._burst, self._available + (now - self._refilled_at) * self._per_second)
        self._refilled_at = now
        if self._available < amount:
            return False
        self._available -= amount
        return True


class StateService:
    """Serves the state stand-in over HTTP."""

    def __init__(self, limits: StateLimits, rng: random.Random) -> None:
        self.standin = StateStandIn(time.monotonic, limits.txn_ops, limits.value_kb)
        self._requests = RateLimit(limits.rps, 1.0)
        self._writes = RateLimit(limits.write_rps, 1.0)
        self._latency_s, self._rng = limits.latency_ms / 1000, rng
        self.server = HttpServer(self.handle)
        self.requests: Counter[str] = Counter()
        self.writes = 0
        # Writes of quota records, and the transactions that contain any.
        self.quota_writes = self.quota_commits = 0
        self.refused: Counter[str] = Counter()

    def clear(self) -> None:
        """Reset the figures at the start of the measured time."""
        self.requests.clear()
        self.refused.clear()
        self.writes = self.server.bytes = self.quota_writes = self.quota_commits = 0

    async def handle(self, method: str, path: str, body: bytes) -> Status:
        """Answer a request."""
        kind = f"{method} {path.partition('?')[0].split('/')[1]}"
        self.requests[kind] += 1
        if not self._requests.take():
            self.refused["requests"] += 1
            return HTTPStatus.TOO_MANY_REQUESTS, {}
        if path == "/commit":
            writes = decode(body).get("writes", [])
            changes = len(writes)
            if not self._writes.take(changes):
                self.refused["changes"] += 1
                return HTTPStatus.TOO_MANY_REQUESTS, {}
            self.writes += changes
            self._count_quota_writes(writes)
        if path.startswith("/follow"):
            return await self._watch(parse_query(path)[1])
        await asyncio.sleep(self._latency_s * self._rng.uniform(0.5, 2.0))
        return state_route(self.standin, method, path, body)

    def _count_quota_writes(self, writes: list[dict[str, object]]) -> None:
        """Count writes of quota records."""
        count = sum(str(write.get("set")).startswith(QUOTA_PREFIX) for write in writes)
        self.quota_writes += count
        self.quota_commits += count > 0

    async def _watch(self, query: dict[str, str]) -> Status:
        until = time.monotonic() + float(query.get("holdMs", 0)) / 1000
        seen = int(query["since"])
        if self.standin.is_too_old(seen):
            return HTTPStatus.GONE, {}
        while True:
            events = (
                self.standin.changes(query["prefix"], int(query["since"])) if self._has_changes(seen) else []
            )
            seen = self.standin.revision
            if events or time.monotonic() >= until:
                return HTTPStatus.OK, {"ledger": self.standin.revision, "events": events}
            await asyncio.sleep(_WATCH_POLL_S)

    def _has_changes(self, seen: int) -> bool:
        self.standin.expire()
        return self.standin.revision > seen


class CloudService:
    """Serves the cloud stand-in over HTTP; `deleted` queues the names of deleted machines."""

    def __init__(self, standin: CloudStandIn) -> None:
        self.standin = standin
        self._requests = RateLimit(CLOUD_RPS, 2.0)
        self.server = HttpServer(self._handle)
        self.requests: Counter[str] = Counter()
        self.deleted: asyncio.Queue[str] = asyncio.Queue()

    async def _handle(self, method: str, path: str, body: bytes) -> Status:
        self.requests[f"{method} {path.partition('?')[0]}"] += 1
        if not self._requests.take():
            return HTTPStatus.TOO_MANY_REQUESTS, {}
        await asyncio.sleep(CLOUD_LATENCY_S)
        if path == "/machines/delete":
            # The protocol requires the machines to be gone before the response.
            for name in decode(body)["boxes"]:
                self.deleted.put_nowait(name)
            await self.deleted.join()
        return cloud_route(self.standin, method, path, body)
