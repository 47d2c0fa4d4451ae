"""The decision thread's queue: bounded, by priority."""

from __future__ import annotations

import threading
import time
from collections import deque
from collections.abc import Callable

Work = Callable[[], None]

# What the decision thread does first, in the order that the operators ask for.
HEARTBEATS, DECISIONS, SUBMISSIONS = 0, 1, 2


class PriorityQueue:
    """Work for one thread, lowest number first, and in order within a priority.

    After some work the thread naps for a moment instead of being woken for the next: where hundreds of
    events come each second, waking it for every one costs more than what it then does.
    """

    def __init__(self, max_heartbeats: int, coalescing_s: float) -> None:
        """Above ``max_heartbeats`` that wait, further heartbeats are refused; other work never is."""
        self._max_heartbeats, self._coalescing_s = max_heartbeats, coalescing_s
        self._queues: tuple[deque[Work], ...] = (deque(), deque(), deque())
        self._wake = threading.Condition(threading.Lock())
        self._waiting = self._closed = False
        self._coalesced = True

    def put(self, priority: int, work: Work) -> bool:
        """Queue work; False if the queue is closed, or if it is a heartbeat and too many of them wait."""
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
        """The next work, or None when the time is up."""
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
        """Take nothing more, and drop what waits; returns the heartbeats, as workers wait for them."""
        with self._wake:
            self._closed = True
            heartbeats = list(self._queues[HEARTBEATS])
            for queue in self._queues:
                queue.clear()
            self._wake.notify()
        return heartbeats

    def __len__(self) -> int:
        return sum(map(len, self._queues))
