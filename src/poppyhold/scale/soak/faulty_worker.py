"""A simulated worker that hangs, and whose messages are lost, late or duplicated."""

from __future__ import annotations

import asyncio
import random
import time
from collections import deque
from collections.abc import Coroutine
from http import HTTPStatus
from typing import Any

from poppyhold.scale.async_http import Connection, NoResponseError
from poppyhold.scale.responses import Data, Status
from poppyhold.scale.simulated_worker import HEARTBEAT_TIMEOUT_S, SimulatedWorker, WorkerFigures
from poppyhold.scale.worker_standin import WorkerStandIn

# How late copies of heartbeats, late commands, and commands that were executed before arrive, in seconds.
_COPY_DELAY_S, _COMMAND_DELAY_S, _REPEAT_DELAY_S = (2.0, 20.0), (2.0, 24.0), (0.1, 40.0)
# The same for commands that are kept until a controller is killed.
_KEPT_COMMAND_DELAY_S = (0.0, 0.6)
_MAX_KEPT_COPIES = _MAX_KEPT_COMMANDS = 20
_COMMAND_PATH = "/do"


class FaultyWorker(SimulatedWorker):
    """Adds faults to a simulated worker. Each lasts until a time on the monotonic clock."""

    def __init__(
        self,
        standin: WorkerStandIn,
        nodes: dict[str, int],
        heartbeat_interval_s: float,
        figures: WorkerFigures,
        rng: random.Random,
    ) -> None:
        super().__init__(standin, nodes, heartbeat_interval_s, figures, rng)
        self.hangs_until = self.inbound_lost_until = self.heartbeats_lost_until = 0.0
        self.copies_until = self.copies_kept_until = self.late_commands_until = 0.0
        self.repeats_until = 0.0
        # Shares of the messages that are copied, late or repeated.
        self.copied_share = self.late_share = self.repeated_share = 0.0
        self._kept_copies: list[Data] = []
        # Bodies of the newest direct commands that were executed.
        self._kept_commands: deque[bytes] = deque(maxlen=_MAX_KEPT_COMMANDS)
        self._late: set[asyncio.Task[None]] = set()

    def close(self) -> None:
        """Stop the worker, and drop the messages that are still late."""
        super().close()
        for task in self._late:
            task.cancel()

    def hang(self, for_s: float) -> None:
        """Hang: no task goes on, nothing is sent or executed, and the lease runs out."""
        now = time.monotonic()
        self.hangs_until = max(self.hangs_until, now + for_s)
        for task in self.standin.tasks.values():
            if task["until"] is not None:
                task["until"] += for_s

    def deliver_kept_copies(self) -> None:
        """Deliver the heartbeats that were kept for the next leader, to any controllers."""
        copies, self._kept_copies = self._kept_copies, []
        for body in copies:
            self._spawn(self._deliver_copy(body, 0.0))

    def deliver_kept_commands(self) -> None:
        """Deliver direct commands again that were executed before, and keep them for the next time."""
        for body in self._kept_commands:
            self._spawn(self._repeat_command(body, self._rng.uniform(*_KEPT_COMMAND_DELAY_S)))

    # -- hooks of the simulated worker -----------------------------------------------------------------

    async def _wait(self) -> None:
        await super()._wait()
        while not self.standin.gone and (left := self.hangs_until - time.monotonic()) > 0:
            await asyncio.sleep(left)

    async def _send_heartbeat(self, body: Data) -> Status:
        sent_at = time.monotonic()
        if sent_at < self.heartbeats_lost_until:
            await asyncio.sleep(HEARTBEAT_TIMEOUT_S)
            return 0, {}
        self._copy(body, sent_at)
        response = await super()._send_heartbeat(body)
        # A worker that hangs takes the response when it goes on.
        await asyncio.sleep(max(0.0, self.hangs_until - time.monotonic()))
        if time.monotonic() < self.inbound_lost_until:
            await asyncio.sleep(max(0.0, sent_at + HEARTBEAT_TIMEOUT_S - time.monotonic()))
            return 0, {}
        return response if time.monotonic() - sent_at <= HEARTBEAT_TIMEOUT_S else (0, {})

    async def _handle_command(self, method: str, path: str, body: bytes) -> Status:
        now = time.monotonic()
        if now < self.inbound_lost_until:
            await asyncio.sleep(self.inbound_lost_until - now)
            raise ValueError("nothing reaches this worker")
        is_late = now < self.late_commands_until and self._rng.random() < self.late_share
        if is_late:
            await asyncio.sleep(self._rng.uniform(*_COMMAND_DELAY_S))
        await asyncio.sleep(max(0.0, self.hangs_until - time.monotonic()))
        # The lease may have run out meanwhile.
        self.standin.expire()
        answer = await super()._handle_command(method, path, body)
        if answer[0] == HTTPStatus.OK and now < self.repeats_until:
            self._keep_command(path, body)
        if is_late:
            raise ValueError("the answer to a late command is lost")
        return answer

    # -- repeated commands ------------------------------------------------------------------------------

    def _keep_command(self, path: str, body: bytes) -> None:
        if path != _COMMAND_PATH or self._rng.random() >= self.repeated_share:
            return
        self._kept_commands.append(body)
        self._spawn(self._repeat_command(body, self._rng.uniform(*_REPEAT_DELAY_S)))

    async def _repeat_command(self, body: bytes, delay_s: float) -> None:
        """Deliver a direct command again, and drop the response."""
        await asyncio.sleep(delay_s)
        await asyncio.sleep(max(0.0, self.hangs_until - time.monotonic()))
        if time.monotonic() < self.inbound_lost_until:
            return
        self.standin.expire()
        try:
            await super()._handle_command("POST", _COMMAND_PATH, body)
        except ValueError:
            # The worker is gone or offline.
            return

    # -- copies ----------------------------------------------------------------------------------------

    def _copy(self, body: Data, now: float) -> None:
        if now < self.copies_until and self._rng.random() < self.copied_share:
            self._spawn(self._deliver_copy(body, self._rng.uniform(*_COPY_DELAY_S)))
        if now < self.copies_kept_until and len(self._kept_copies) < _MAX_KEPT_COPIES:
            self._kept_copies.append(body)

    async def _deliver_copy(self, body: Data, delay_s: float) -> None:
        """Deliver a heartbeat again; no worker takes the response."""
        await asyncio.sleep(delay_s)
        connection = Connection(self._nodes[self._rng.choice(self._names)])
        try:
            status, answer = await connection.request("POST", "/hello", body, HEARTBEAT_TIMEOUT_S)
            leader = answer.get("foreman")
            if status == HTTPStatus.MISDIRECTED_REQUEST and leader in self._nodes:
                connection.close()
                connection = Connection(self._nodes[leader])
                await connection.request("POST", "/hello", body, HEARTBEAT_TIMEOUT_S)
        except NoResponseError:
            pass
        finally:
            connection.close()

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(coroutine)
        self._late.add(task)
        task.add_done_callback(self._late.discard)
