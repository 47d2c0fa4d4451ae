"""Simulated workers: many in one process, which implement the workers' protocol with timers as tasks.

A simulated worker has incarnations, sequence numbers, leases, fencing tokens and tasks. It sends heartbeats
at the interval and on changes, follows redirects, and executes direct commands on its own port. It has no
network of its own, fetches no images, computes nothing, and shares its event loop with all other workers.
"""

from __future__ import annotations

import asyncio
import random
import time
from http import HTTPStatus

from poppyhold.scale.async_http import Connection, HttpServer, NoResponseError
from poppyhold.scale.measure import Latency, Rate
from poppyhold.scale.responses import Data, Status
from poppyhold.scale.worker_standin import WorkerStandIn
from poppyhold.wire.codec import decode

# Fixed by the protocol: request timeout, delay before the next node, minimum time between two heartbeats, and
# maximum delay before following a redirect.
HEARTBEAT_TIMEOUT_S, _NEXT_NODE_DELAY_S, _MIN_HEARTBEAT_GAP_S, _MAX_REDIRECT_DELAY_S = 4.0, 1.0, 0.5, 0.5


class WorkerFigures:
    """Figures of all simulated workers together."""

    def __init__(self) -> None:
        self.heartbeats = Latency()
        self.answered, self.redirected, self.failed = Rate(), Rate(), Rate()
        self.direct_commands = Rate()
        self.bytes = 0
        self.leases_lost = 0
        self.tasks_lost = 0

    def clear(self) -> None:
        """Reset the figures at the start of the measured time."""
        self.heartbeats.clear()
        for rate in (self.answered, self.redirected, self.failed, self.direct_commands):
            rate.clear()
        self.bytes = self.leases_lost = self.tasks_lost = 0


class SimulatedWorker:
    """Connects one worker stand-in to the controllers over HTTP."""

    def __init__(
        self,
        standin: WorkerStandIn,
        nodes: dict[str, int],
        heartbeat_interval_s: float,
        figures: WorkerFigures,
        rng: random.Random,
    ) -> None:
        self.standin = standin
        self._nodes, self._heartbeat_interval_s, self._figures, self._rng = (
            nodes,
            heartbeat_interval_s,
            figures,
            rng,
        )
        self._names = list(nodes)
        self._node = rng.choice(self._names)
        self._connection = Connection(nodes[self._node])
        self._server = HttpServer(self._handle_command)
        self._wake = asyncio.Event()
        self._next_heartbeat = time.monotonic() + rng.uniform(0.0, heartbeat_interval_s)
        self._earliest_heartbeat = 0.0
        self._offline_until = 0.0
        self._fencing_token_sent_at = float("-inf")

    async def listen(self) -> None:
        """Listen for direct commands; heartbeats carry the address."""
        port = await self._server.start()
        self.standin.endpoint = f"127.0.0.1:{port}"

    def close(self) -> None:
        """Stop the worker and close its connections."""
        self.standin.gone = True
        self._server.close()
        self._connection.close()
        self._wake.set()

    def restart(self, away_s: float) -> None:
        """Restart the machine: its tasks are lost, and it is offline for ``away_s`` seconds."""
        self._figures.tasks_lost += len(self.standin.on_machine())
        self._offline_until = time.monotonic() + away_s
        self._connection.close()
        self.standin.restart()
        self.standin.answered_sent_at = self._offline_until

    async def _handle_command(self, method: str, path: str, body: bytes) -> Status:
        if time.monotonic() < self._offline_until or self.standin.gone:
            raise ValueError("worker is offline")
        if path == "/show":
            return HTTPStatus.OK, self.standin.heartbeat()
        self._figures.direct_commands.record()
        status, heartbeat = self.standin.handle_command(decode(body))
        self._wake.set()
        return status, heartbeat

    async def run(self) -> None:
        """Send heartbeats until the worker is closed."""
        while not self.standin.gone:
            await self._wait()
            now = time.monotonic()
            if now < self._offline_until or self.standin.gone:
                continue
            tasks, incarnation = len(self.standin.on_machine()), self.standin.incarnation
            changed = self.standin.step()
            if self.standin.incarnation != incarnation:
                self._figures.leases_lost += 1
                self._figures.tasks_lost += tasks
            if changed:
                self._next_heartbeat = min(self._next_heartbeat, now)
            if now >= max(self._next_heartbeat, self._earliest_heartbeat):
                await self._heartbeat()

    async def _wait(self) -> None:
        """Sleep until a heartbeat, a task status change or the lease expiry is due, or a wake-up."""
        due = max(self._next_heartbeat, self._earliest_heartbeat)
        due = max(min(due, self.standin.next_change_at()), self._offline_until)
        self._wake.clear()
        try:
            async with asyncio.timeout(max(0.001, due - time.monotonic())):
                await self._wake.wait()
        except TimeoutError:
            return

    async def _heartbeat(self) -> None:
        now = time.monotonic()
        self._next_heartbeat = now + self._heartbeat_interval_s * self._rng.uniform(0.75, 1.25)
        self._earliest_heartbeat = now + _MIN_HEARTBEAT_GAP_S
        body, incarnation = self.standin.heartbeat(), self.standin.incarnation
        before = self._connection.bytes
        status, answer = await self._send_heartbeat(body)
        self._figures.bytes += self._connection.bytes - before
        if status == HTTPStatus.OK:
            self._figures.heartbeats.record(time.monotonic() - now)
            self._figures.answered.record()
            self._apply_response(answer, now, incarnation)
        elif status == HTTPStatus.MISDIRECTED_REQUEST and self._is_other_node(answer.get("foreman")):
            self._figures.redirected.record()
            self._switch_node(answer["foreman"], self._rng.uniform(0.0, _MAX_REDIRECT_DELAY_S))
        else:
            self._figures.failed.record()
            next_node = self._names[(self._names.index(self._node) + 1) % len(self._names)]
            self._switch_node(next_node, _NEXT_NODE_DELAY_S)

    async def _send_heartbeat(self, body: Data) -> Status:
        """Send a heartbeat, and return the response; status 0 without one in time."""
        try:
            return await self._connection.request("POST", "/hello", body, HEARTBEAT_TIMEOUT_S)
        except NoResponseError:
            return 0, {}

    def _is_other_node(self, node: object) -> bool:
        return node in self._nodes and node != self._node

    def _switch_node(self, node: str, pause_s: float) -> None:
        self._connection.close()
        self._node = node
        self._connection = Connection(self._nodes[node])
        self._next_heartbeat = self._earliest_heartbeat = time.monotonic() + pause_s

    def _apply_response(self, answer: Data, sent_at: float, incarnation: int) -> None:
        fencing_token, tasks = self.standin.fencing_token, len(self.standin.tasks)
        self.standin.handle_response(answer, sent_at, incarnation)
        now = time.monotonic()
        if (
            self.standin.fencing_token > fencing_token
            and now - self._fencing_token_sent_at > self._heartbeat_interval_s
        ):
            self._fencing_token_sent_at = now
            self._next_heartbeat = now
        if answer["orders"] or len(self.standin.tasks) != tasks:
            self._next_heartbeat = now
