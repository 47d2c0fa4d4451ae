"""The sender threads of a simulated leader: commands wait while all of them are busy."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import NamedTuple

from poppyhold.model.start_grant import StartGrant, may_send
from poppyhold.node.command_dispatcher import pool_sizes

# Sends one command; it calls its argument once the command's outcome is known.
SendCommand = Callable[[Callable[[], None]], None]


class SimRequest(NamedTuple):
    """A command that waits for a sender."""

    send: SendCommand
    # Called instead of ``send`` if the grant of its starts expires.
    on_expired: Callable[[], None]
    start_grant: StartGrant | None


class SimSenderPool:
    """A pool of `node.command_dispatcher`, in virtual time."""

    def __init__(self, senders: int, clock: Callable[[], float]) -> None:
        self._idle, self._clock = senders, clock
        self._queue: deque[SimRequest] = deque()

    def submit(self, request: SimRequest) -> None:
        """Send a command as soon as a sender is idle."""
        self._queue.append(request)
        self._send_next()

    def drop_expired(self) -> None:
        """Drop the commands whose grants have expired."""
        now = self._clock()
        expired = [request for request in self._queue if not may_send(request.start_grant, now)]
        self._queue = deque(request for request in self._queue if may_send(request.start_grant, now))
        for request in expired:
            request.on_expired()

    def _send_next(self) -> None:
        while self._idle and self._queue:
            request = self._queue.popleft()
            if may_send(request.start_grant, self._clock()):
                self._idle -= 1
                request.send(self._on_outcome)
            else:
                request.on_expired()

    def _on_outcome(self) -> None:
        self._idle += 1
        self._send_next()


class SimSenders:
    """Both pools of a leader."""

    def __init__(self, threads: int, clock: Callable[[], float]) -> None:
        sizes = pool_sizes(threads)
        self._fast, self._slow = SimSenderPool(sizes.fast, clock), SimSenderPool(sizes.slow, clock)

    def submit(self, request: SimRequest, slow_lane: bool) -> None:
        """Send a command through the pool of its lane."""
        (self._slow if slow_lane else self._fast).submit(request)

    def drop_expired(self) -> None:
        """Drop the commands of both pools whose grants have expired."""
        self._fast.drop_expired()
        self._slow.drop_expired()
