"""Workers with a leader's fencing token that recently sent a heartbeat to this controller, not the leader."""

from __future__ import annotations

import time

from poppyhold.model.outbound import MisdirectedWorker
from poppyhold.wire.worker_messages import Heartbeat


class MisdirectedWorkers:
    """The last ``max_workers`` misdirected workers, for the responses to the leader's pings."""

    def __init__(self, max_workers: int, recent_s: float) -> None:
        self._max_workers, self._recent_s = max_workers, recent_s
        # By machine, the oldest heartbeat first.
        self._received: dict[str, tuple[float, MisdirectedWorker]] = {}

    def record(self, heartbeat: Heartbeat) -> None:
        """Record a heartbeat that a worker sent here."""
        self._received.pop(heartbeat.machine, None)
        worker = MisdirectedWorker(heartbeat.machine, heartbeat.incarnation, heartbeat.sequence)
        self._received[heartbeat.machine] = time.monotonic(), worker
        if len(self._received) > self._max_workers:
            self._received.pop(next(iter(self._received)), None)

    def recent(self) -> list[MisdirectedWorker]:
        """Workers whose last heartbeat came within ``recent_s``."""
        since = time.monotonic() - self._recent_s
        return [worker for received_at, worker in list(self._received.values()) if received_at > since]
