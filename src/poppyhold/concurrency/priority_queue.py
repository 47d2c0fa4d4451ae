"""The decision thread's queue: bounded, by rank."""

from __future__ import annotations

import threading
import time
from collections import deque
from collections.abc import Callable

Work = Callable[[], None]

# What the decision thread does first: the ranks that the operators ask for.
HEARTBEATS, DECISIONS, SUBMISSIONS = 0, 1, 2


class PriorityQueue:
    """Work for the decision thread, bounded, lowest rank first, and in order within a rank.

    Behind some work the thread naps for a moment instead of being woken for the next: where hundreds of
    events come each second, waking it for every one costs more than what it then does.
    """

    def __init__(self, most: int, nap_s: float) -> None:
        self._most, self._nap_s = most, nap_s
        self._queues: tuple[deque[Work], ...] = (deque(), deque(), deque())
        self._wake = threading.Condition(threading.Lock())
        self._waiting = self._closed = False
        self._napped = True

    def put(self, priority: int, work: Work) -> bool:
        """Queue work; False if it is closed, or too much of a rank that may be turned away is waiting."""
        with self._wake:
            if self._closed or (priority == HEARTBEATS and len(self._queues[priority]) >= self._most):
                return False
            self._queues[priority].append(work)
            if self._waiting:
                self._wake.notify()
        return True

    def get(self, timeout: float) -> Work | None:
        """The next work, or None when the time is up."""
        work = self._next()
        if work is None and not self._napped:
            self._napped = True
            nap_s = min(self._nap_s, timeout)
            time.sleep(nap_s)
            timeout -= nap_s
            work = self._next()
        if work is None and timeout > 0:
            with self._wake:
                if not any(self._queues):
                    self._waiting = True
                    self._wake.wait(timeout)
                    self._waiting = False
            work = self._next()
        if work is not None:
            self._napped = False
        return work

    def _next(self) -> Work | None:
        with self._wake:
            return next((waiting.popleft() for waiting in self._queues if waiting), None)

    def close(self) -> list[Work]:
        """Take nothing more, and drop what is left but reports, which somebody waits for."""
        with self._wake:
            self._closed = True
            heartbeats = list(self._queues[HEARTBEATS])
            for waiting in self._queues:
                waiting.clear()
            self._wake.notify()
        return heartbeats

    def __len__(self) -> int:
        return sum(map(len, self._queues))
