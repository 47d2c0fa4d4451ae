"""The decision thread's queue: bounded, by priority."""

from __future__ import annotations

import threading
import time
from collections import deque
from collections.abc import Callable

Work = Callable[[], None]

# Priorities, in the order that operators require.
HEARTBEATS, DECISIONS, SUBMISSIONS = 0, 1, 2


class PriorityQueue:
    """Work for one thread, lowest number first, and FIFO within a priority.

    When the queue becomes empty, the thread sleeps for ``coalescing_s`` before it waits to be woken: at
    hundreds of events per second, a wake-up for each costs more than the work itself.
    """

    def __init__(self, max_heartbeats: int, coalescing_s: float) -> None:
        """Above ``max_heartbeats`` queued heartbeats, further ones are rejected; other work never is."""
        self._max_heartbeats, self._coalescing_s = max_heartbeats, coalescing_s
        self._queues: tuple[deque[Work], ...] = (deque(), deque(), deque())
        self._wake = threading.Condition(threading.Lock())
        self._waiting = self._closed = False
        self._coalesced = True

    def put(self, priority: int, work: Work) -> bool:
        """Queue work; False if the queue is closed, or if it is a heartbeat and too many are queued."""
        with self._wake:
            if self._closed or (
                priority == HEARTBEATS and len(self._queues[priority]) >= self._max_heartbeats
            ):
                return False
            self._queues[priority].append(work)
            if self._waiting:
                self._wake.notify()
        return True

    def get(self, timeout_s: float) -> Work | None:
        """The next work, or None after ``timeout_s``."""
        work = self._next()
        if work is None and not self._coalesced:
            self._coalesced = True
            coalescing_s = min(self._coalescing_s, timeout_s)
            time.sleep(coalescing_s)
            timeout_s -= coalescing_s
            work = self._next()
        if work is None and timeout_s > 0:
            with self._wake:
                if not any(self._queues):
                    self._waiting = True
                    self._wake.wait(timeout_s)
                    self._waiting = False
            work = self._next()
        if work is not None:
            self._coalesced = False
        return work

    def _next(self) -> Work | None:
        with self._wake:
            return next((queue.popleft() for queue in self._queues if queue), None)

    def close(self) -> list[Work]:
        """Accept no more work and drop the queue; returns its heartbeats, as workers wait for responses."""
        with self._wake:
            self._closed = True
            heartbeats = list(self._queues[HEARTBEATS])
            for queue in self._queues:
                queue.clear()
            self._wake.notify()
        return heartbeats

    def __len__(self) -> int:
        return sum(map(len, self._queues))
