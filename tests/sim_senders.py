"""The sender threads of a simulated leader: commands wait while all of them are busy."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from poppyhold.node.command_dispatcher import _FAST_POOL_DIVISOR, _MIN_POOL_THREADS, _SLOW_POOL_DIVISOR

# Sends one command; it calls its argument once the command's outcome is known.
SendCommand = Callable[[Callable[[], None]], None]


class SimSenderPool:
    """A pool of `node.command_dispatcher`, in virtual time."""

    def __init__(self, senders: int) -> None:
        self._idle = senders
        self._queue: deque[SendCommand] = deque()

    def submit(self, send: SendCommand) -> None:
        """Send a command as soon as a sender is idle."""
        self._queue.append(send)
        self._send_next()

    def _send_next(self) -> None:
        if self._idle and self._queue:
            self._idle -= 1
            self._queue.popleft()(self._on_outcome)

    def _on_outcome(self) -> None:
        self._idle += 1
        self._send_next()


class SimSenders:
    """Both pools of a leader."""

    def __init__(self, threads: int) -> None:
        self._fast = SimSenderPool(max(_MIN_POOL_THREADS, threads // _FAST_POOL_DIVISOR))
        self._slow = SimSenderPool(max(_MIN_POOL_THREADS, threads // _SLOW_POOL_DIVISOR))

    def submit(self, send: SendCommand, slow_lane: bool) -> None:
        """Send a command through the pool of its lane."""
        (self._slow if slow_lane else self._fast).submit(send)
