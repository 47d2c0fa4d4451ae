"""Faults of the state service, between it and each controller."""

from __future__ import annotations

import asyncio
import random
import time
from collections import Counter

from poppyhold.scale.async_http import HttpServer
from poppyhold.scale.external_services import StateService
from poppyhold.scale.responses import Status

# How late a late transaction is carried out, and how often an end of an outage is looked for, in seconds.
_LATE_S, _POLL_S = (2.0, 12.0), 0.05
# Share of the transactions that get no answer, while some do.
_LOST_SHARE = 0.5
# Added to each answer of a slow state service, in seconds.
_SLOW_S = (0.1, 0.6)


class StateGate:
    """A port of the state service for each controller, with faults. Faults of one kind may overlap."""

    def __init__(self, service: StateService, rng: random.Random) -> None:
        self._service, self._rng = service, rng
        self._servers: dict[str, HttpServer] = {}
        self._out = self._slow = self._answers_lost = self._late = 0
        self._refused: Counter[str] = Counter()
        self._late_commits: set[asyncio.Task[None]] = set()

    async def open(self, member: str) -> int:
        """Open a controller's port."""

        async def handle(method: str, path: str, body: bytes) -> Status:
            return await self._handle(member, method, path, body)

        server = self._servers[member] = HttpServer(handle)
        return await server.start()

    def close(self) -> None:
        """Close all ports, and drop the transactions that are still late."""
        for server in self._servers.values():
            server.close()
        for task in self._late_commits:
            task.cancel()

    # -- faults ----------------------------------------------------------------------------------------

    def begin_outage(self) -> None:
        """Begin an outage for all."""
        self._out += 1
        self._service.standin.down = True

    def end_outage(self) -> None:
        """End an outage; leases have their full time again once none is left."""
        self._out -= 1
        if not self._out:
            self._service.standin.end_outage()

    def refuse(self, member: str, change: int) -> None:
        """Begin (1) or end (-1) to refuse a controller."""
        self._refused[member] += change

    def slow(self, change: int) -> None:
        """Begin or end to answer slowly."""
        self._slow += change

    def lose_answers(self, change: int) -> None:
        """Begin or end to carry out transactions without an answer."""
        self._answers_lost += change

    def delay_commits(self, change: int) -> None:
        """Begin or end to carry out some transactions late, without an answer."""
        self._late += change

    # -- requests --------------------------------------------------------------------------------------

    def _is_shut(self, member: str) -> bool:
        return self._out > 0 or self._refused[member] > 0

    async def _handle(self, member: str, method: str, path: str, body: bytes) -> Status:
        if self._is_shut(member):
            return 503, {}
        if self._slow:
            await asyncio.sleep(self._rng.uniform(*_SLOW_S))
        is_commit = path == "/commit"
        if is_commit and self._late and self._rng.random() < _LOST_SHARE:
            self._delay_commit(method, path, body)
            raise ValueError("no answer to a late transaction")
        status, answer = await self._service.handle(method, path, body)
        if is_commit and self._answers_lost and self._rng.random() < _LOST_SHARE:
            raise ValueError("answer lost")
        # A watch that was open when an outage began stays open.
        while path.startswith("/follow") and self._is_shut(member):
            await asyncio.sleep(_POLL_S)
        return status, answer

    def _delay_commit(self, method: str, path: str, body: bytes) -> None:
        due_at = time.monotonic() + self._rng.uniform(*_LATE_S)

        async def commit() -> None:
            while time.monotonic() < due_at or self._out:
                await asyncio.sleep(_POLL_S)
            await self._service.handle(method, path, body)

        task = asyncio.create_task(commit())
        self._late_commits.add(task)
        task.add_done_callback(self._late_commits.discard)
