"""The workers' edge: their reports to us, and our commands to them."""

from __future__ import annotations

import logging
import threading
from collections import deque
from collections.abc import Callable
from http import HTTPStatus

from poppyhold.model.outbound import Data
from poppyhold.model.outcome import RequestOutcome
from poppyhold.settings import ConfigError, Settings, split_address
from poppyhold.wire.codec import MalformedError
from poppyhold.wire.http_client import HttpClient, NoResponseError, NotSentError
from poppyhold.wire.worker_messages import Heartbeat, parse_heartbeat

log = logging.getLogger(__name__)

Done = Callable[[RequestOutcome, Heartbeat | None], None]


class Lane:
    """Commands that wait for one another only as long as all of the lane's threads are busy.

    Each machine that does not answer holds a thread until its time is up. With a fixed few of them, 300
    silent machines of a zone that is cut off kept the commands to all others waiting for minutes.
    """

    def __init__(self, most: int, idle_s: float, carry_out: Callable[[str, Data, Done], None]) -> None:
        self._most, self._idle_s, self._carry_out = most, idle_s, carry_out
        self._queue: deque[tuple[str, Data, Done]] = deque()
        self._wake = threading.Condition(threading.Lock())
        self._threads = self._idle = 0
        self._stopped = False

    def put(self, endpoint: str, body: Data, done: Done) -> None:
        """Queue a command; a thread is added if none is free for it."""
        with self._wake:
            if self._stopped:
                return
            self._queue.append((endpoint, body, done))
            if len(self._queue) <= self._idle or self._threads >= self._most:
                self._wake.notify()
                return
            self._threads += 1
        threading.Thread(target=self._run, name="sender", daemon=True).start()

    def stop(self) -> None:
        """Drop what is queued, and end the threads behind what they are sending."""
        with self._wake:
            self._stopped = True
            self._queue.clear()
            self._wake.notify_all()

    def _take(self) -> tuple[str, Data, Done] | None:
        with self._wake:
            if not self._queue and not self._stopped:
                self._idle += 1
                self._wake.wait(self._idle_s)
                self._idle -= 1
            if self._queue:
                return self._queue.popleft()
            self._threads -= 1
            return None

    def _run(self) -> None:
        while (item := self._take()) is not None:
            self._carry_out(*item)


class Senders:
    """POST /do; requests that may take their time have a lane of their own."""

    def __init__(self, settings: Settings) -> None:
        workers = settings.settings.workers
        # A worker that does not answer in this time is treated as one that may still get the command.
        self._timeout = workers.heartbeat_interval_s * 1.5
        threads = settings.settings.machine_limits.threads
        idle_s = workers.lease_s
        self._quick = Lane(max(4, threads // 20), idle_s, self._carry_out)
        self._patient = Lane(max(4, threads // 10), idle_s, self._carry_out)

    def send(self, endpoint: str, body: Data, done: Done, patient: bool) -> None:
        """Queue a command."""
        (self._patient if patient else self._quick).put(endpoint, body, done)

    def stop(self) -> None:
        """End the threads."""
        self._quick.stop()
        self._patient.stop()

    def _carry_out(self, endpoint: str, body: Data, done: Done) -> None:
        try:
            done(*self._post(endpoint, body))
        except Exception:
            log.exception("command to %s", endpoint)
            done(RequestOutcome.UNKNOWN, None)

    def _post(self, endpoint: str, body: Data) -> tuple[RequestOutcome, Heartbeat | None]:
        try:
            host, port = split_address(endpoint)
        except ConfigError:
            return RequestOutcome.NOT_SENT, None
        # A new connection each time: on one that was kept open, a lost command and a closed
        # connection look alike, and a lost command has to be waited out.
        client = HttpClient(host, port, most_idle=0)
        try:
            status, data = client.request("POST", "/do", body, timeout=self._timeout)
        except NotSentError as error:
            log.debug("%s: %s", endpoint, error)
            return RequestOutcome.NOT_SENT, None
        except NoResponseError as error:
            log.debug("%s: %s", endpoint, error)
            return RequestOutcome.UNKNOWN, None
        if status not in (HTTPStatus.OK, HTTPStatus.CONFLICT):
            return RequestOutcome.REJECTED, None
        try:
            heartbeat = parse_heartbeat(data)
        except MalformedError as error:
            log.debug("%s: %s", endpoint, error)
            heartbeat = None
        return (RequestOutcome.OK if status == HTTPStatus.OK else RequestOutcome.REJECTED), heartbeat
