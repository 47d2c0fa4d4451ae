"""The leader's commands to workers: POST /do requests, each sent once."""

from __future__ import annotations

import logging
import threading
import time
from collections import deque
from collections.abc import Callable
from http import HTTPStatus
from typing import NamedTuple

from poppyhold.configuration_checks import ConfigError, split_address
from poppyhold.model.invariants import Invariant, violations
from poppyhold.model.outbound import Data
from poppyhold.model.outcome import RequestOutcome
from poppyhold.model.start_grant import StartGrant, may_send
from poppyhold.settings import Settings
from poppyhold.wire import field_names
from poppyhold.wire.codec import MalformedError
from poppyhold.wire.http_client import HttpClient, NoResponseError, NotSentError
from poppyhold.wire.worker_messages import CommandKind, Heartbeat, parse_heartbeat

log = logging.getLogger(__name__)

ResponseCallback = Callable[[RequestOutcome, Heartbeat | None], None]

# Maximum threads of a pool: the controller's thread limit divided by its divisor, at least the minimum.
_MIN_POOL_THREADS = 4
_FAST_POOL_DIVISOR, _SLOW_POOL_DIVISOR = 20, 10


class WorkerRequest(NamedTuple):
    """A request with commands for one worker."""

    endpoint: str
    body: Data
    on_response: ResponseCallback
    # Needed by a request with starts; None without any.
    start_grant: StartGrant | None = None


class PoolSizes(NamedTuple):
    """Maximum threads of the two pools."""

    fast: int
    slow: int


def pool_sizes(threads: int) -> PoolSizes:
    """Divide a controller's thread limit between the pools."""
    return PoolSizes(
        max(_MIN_POOL_THREADS, threads // _FAST_POOL_DIVISOR),
        max(_MIN_POOL_THREADS, threads // _SLOW_POOL_DIVISOR),
    )


def _has_start(request: WorkerRequest) -> bool:
    commands = request.body.get(field_names.COMMANDS, ())
    return any(command[field_names.COMMAND_KIND] == CommandKind.START for command in commands)


def _log_expired(request: WorkerRequest, now: float) -> None:
    grant = request.start_grant
    if grant is not None:
        log.info(
            "starts not sent, grant expired: endpoint=%s late_s=%.1f evidence_age_s=%.1f",
            request.endpoint,
            now - grant.expires_at,
            now - grant.cancellations_applied_until,
        )


class SenderPool:
    """Threads that send commands: added on demand up to a limit, and ended when idle.

    A command waits only while all threads are busy. Each unresponsive machine occupies a thread until the
    timeout. With a small fixed pool, 300 unreachable machines of a partitioned zone delay the commands to
    all other machines by minutes.
    """

    def __init__(self, max_threads: int, idle_s: float, send: Callable[[WorkerRequest], None]) -> None:
        self._max_threads, self._idle_s, self._send = max_threads, idle_s, send
        self._queue: deque[WorkerRequest] = deque()
        self._wake = threading.Condition(threading.Lock())
        self._thread_count = self._idle_count = 0
        self._stopped = False

    def submit(self, request: WorkerRequest) -> None:
        """Queue a request, and add a thread if none is idle and the limit allows it."""
        with self._wake:
            if self._stopped:
                return
            self._queue.append(request)
            if len(self._queue) <= self._idle_count or self._thread_count >= self._max_threads:
                self._wake.notify()
                return
            self._thread_count += 1
        threading.Thread(target=self._run, name="sender", daemon=True).start()

    def remove_expired(self, now: float) -> list[WorkerRequest]:
        """Remove the queued requests whose grants have expired: none of them is sent."""
        with self._wake:
            expired = [request for request in self._queue if not may_send(request.start_grant, now)]
            if expired:
                self._queue = deque(request for request in self._queue if may_send(request.start_grant, now))
            return expired

    def stop(self) -> None:
        """Drop queued commands, and end each thread after its current command."""
        with self._wake:
            self._stopped = True
            self._queue.clear()
            self._wake.notify_all()

    def _next_request(self) -> WorkerRequest | None:
        """Return the next request; None if the thread must end, idle for too long or stopped."""
        with self._wake:
            if not self._queue and not self._stopped:
                self._idle_count += 1
                self._wake.wait(self._idle_s)
                self._idle_count -= 1
            if self._queue:
                return self._queue.popleft()
            self._thread_count -= 1
            return None

    def _run(self) -> None:
        while (request := self._next_request()) is not None:
            self._send(request)


class CommandDispatcher:
    """Sends commands to workers; those to possibly unresponsive workers use a separate pool."""

    def __init__(self, settings: Settings, timeout_s: float) -> None:
        workers = settings.deployment.workers
        self._timeout_s = timeout_s
        sizes = pool_sizes(settings.deployment.machine_limits.threads)
        self._fast_pool = SenderPool(sizes.fast, workers.lease_s, self._send)
        self._slow_pool = SenderPool(sizes.slow, workers.lease_s, self._send)

    def send(self, request: WorkerRequest, slow_lane: bool) -> None:
        """Queue a request. Those of the slow lane do not delay the others."""
        (self._slow_pool if slow_lane else self._fast_pool).submit(request)

    def drop_expired_starts(self) -> None:
        """Report queued requests whose grants have expired as not sent, without waiting for a sender."""
        now = time.monotonic()
        for request in (*self._fast_pool.remove_expired(now), *self._slow_pool.remove_expired(now)):
            _log_expired(request, now)
            request.on_response(RequestOutcome.NOT_SENT, None)

    def stop(self) -> None:
        """Drop the queued commands of both pools, and end each thread after its current command."""
        self._fast_pool.stop()
        self._slow_pool.stop()

    def _send(self, request: WorkerRequest) -> None:
        try:
            request.on_response(*self._post_if_granted(request))
        except Exception:
            # Every command needs an outcome, and the sender thread must continue.
            log.exception("command or its callback failed, outcome unknown: endpoint=%s", request.endpoint)
            request.on_response(RequestOutcome.UNKNOWN, None)

    def _post_if_granted(self, request: WorkerRequest) -> tuple[RequestOutcome, Heartbeat | None]:
        """Send a request, unless it has starts whose grant expired while it waited for this thread."""
        now = time.monotonic()
        if request.start_grant is None and _has_start(request):
            violations.record(Invariant.START_NEEDS_GRANT, request.endpoint, "grant=none")
            return RequestOutcome.NOT_SENT, None
        if not may_send(request.start_grant, now):
            _log_expired(request, now)
            return RequestOutcome.NOT_SENT, None
        return self._post(request.endpoint, request.body)

    def _post(self, endpoint: str, body: Data) -> tuple[RequestOutcome, Heartbeat | None]:
        try:
            host, port = split_address(endpoint)
        except ConfigError:
            return RequestOutcome.NOT_SENT, None
        # A new connection per command: on a reused one, a lost command can't be told from a closed
        # connection, and the outcome of a lost command stays unknown until its timeout.
        client = HttpClient(host, port, max_idle=0)
        try:
            status, data = client.request("POST", "/do", body, timeout_s=self._timeout_s)
        except NotSentError as error:
            log.debug("command not sent: endpoint=%s error=%s", endpoint, error)
            return RequestOutcome.NOT_SENT, None
        except NoResponseError as error:
            log.debug("command not answered: endpoint=%s error=%s", endpoint, error)
            return RequestOutcome.UNKNOWN, None
        if status not in (HTTPStatus.OK, HTTPStatus.CONFLICT):
            return RequestOutcome.REJECTED, None
        try:
            heartbeat = parse_heartbeat(data)
        except MalformedError as error:
            log.debug("command answered with a malformed heartbeat: endpoint=%s error=%s", endpoint, error)
            heartbeat = None
        return (RequestOutcome.OK if status == HTTPStatus.OK else RequestOutcome.REJECTED), heartbeat
