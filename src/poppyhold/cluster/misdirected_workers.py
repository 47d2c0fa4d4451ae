"""Workers that follow a leader and have lately reported to this controller, which does not lead."""

from __future__ import annotations

import time

from poppyhold.model.outbound import MisdirectedWorker
from poppyhold.wire.worker_messages import Heartbeat


class MisdirectedWorkers:
    """A bounded memory of them; the leader asks for it with its pings."""

    def __init__(self, most: int, recent_s: float) -> None:
        self._most, self._recent_s = most, recent_s
        self._reported: dict[str, tuple[float, MisdirectedWorker]] = {}

    def note(self, heartbeat: Heartbeat) -> None:
        """A worker reported here."""
        self._reported.pop(heartbeat.machine, None)
        worker = MisdirectedWorker(heartbeat.machine, heartbeat.incarnation, heartbeat.sequence)
        self._reported[heartbeat.machine] = time.monotonic(), worker
        if len(self._reported) > self._most:
            self._reported.pop(next(iter(self._reported)), None)

    def recent(self) -> list[MisdirectedWorker]:
        """Those of the last moments."""
        since = time.monotonic() - self._recent_s
        return [worker for at, worker in list(self._reported.values()) if at > since]
