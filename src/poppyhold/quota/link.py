"""The links from this cell's leader to the leaders of other cells, with one thread per cell.

A link sends its request to any controller of the other cell, and follows redirects to the leader. It sends
more often while demand is unmet or a commit is in progress, and otherwise once per heartbeat interval. After
a failure it tries the next controller, with exponential backoff and jitter.
"""

from __future__ import annotations

import logging
import random
import socket
import threading
from collections.abc import Callable

import msgspec

from poppyhold.configuration_checks import split_address
from poppyhold.options import Cell
from poppyhold.quota.latest_requests import LatestRequests
from poppyhold.quota.messages import NotLeading, QuotaResponse, TransferRequest, TransferResponse
from poppyhold.wire.frames import open_connection, receive_message, send_message

log = logging.getLogger(__name__)

_response_decoder: msgspec.msgpack.Decoder[QuotaResponse] = msgspec.msgpack.Decoder(QuotaResponse)
# Pauses between requests, in heartbeat intervals: without unmet demand, with unmet demand, and while a commit
# is in progress at the other cell.
_IDLE_PAUSE_INTERVALS, _UNMET_PAUSE_INTERVALS, _IN_PROGRESS_PAUSE_INTERVALS = 1.0, 0.25, 0.02
# Backoff after failures, in heartbeat intervals.
_MIN_BACKOFF_INTERVALS, _MAX_BACKOFF_INTERVALS = 0.1, 2.0
# Bounds the backoff factor.
_MAX_BACKOFF_DOUBLINGS = 8
# Controllers tried per request, each named as the leader by the one before it.
_MAX_CONTROLLERS_PER_REQUEST = 3


class LinkError(Exception):
    """The other cell's leader cannot be reached, or its response does not match the request."""


def exchange(address: str, request: msgspec.Struct, timeout_s: float) -> QuotaResponse:
    """Send one request over a new connection, and return the response.

    Raises:
        OSError: the connection failed, or the response timed out.
        MalformedMessageError: the response cannot be decoded.

    """
    with socket.create_connection(split_address(address), timeout=timeout_s) as connection:
        send_message(connection, request)
        return receive_message(connection, _response_decoder)


class CellLink:
    """The thread that sends requests to one other cell, for one term of this cell's leader."""

    def __init__(
        self,
        cell: Cell,
        latest_requests: LatestRequests,
        on_response: Callable[[TransferResponse], None],
        heartbeat_interval_s: float,
        timeout_s: float,
        rng: random.Random,
    ) -> None:
        self._cell, self._latest_requests, self._on_response = cell, latest_requests, on_response
        self._heartbeat_interval_s, self._timeout_s, self._rng = heartbeat_interval_s, timeout_s, rng
        # The index of the controller to which the next request goes.
        self._controller_index = rng.randrange(len(cell.controllers))
        self._connection: socket.socket | None = None
        self._failures = 0
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, name=f"cell {cell.name}", daemon=True)

    def start(self) -> CellLink:
        """Start the thread."""
        self._thread.start()
        return self

    def stop(self) -> None:
        """Stop the thread; a request in progress is abandoned."""
        self._stop.set()
        self._latest_requests.wake_all()

    def _run(self) -> None:
        while not self._stop.is_set():
            request = self._latest_requests.get(self._cell.name)
            if request is None:
                self._latest_requests.wait_for_change(self._cell.name, None, self._heartbeat_interval_s)
                continue
            try:
                response = self._request(request)
            except (OSError, ValueError, LinkError) as error:
                self._record_failure(error)
                continue
            except Exception:
                # The thread must run for the whole term: without it, no transfers from that cell arrive.
                log.exception("request to cell failed unexpectedly, will retry: cell=%s", self._cell.name)
                self._record_failure(LinkError("unexpected error, logged with its traceback"))
                continue
            self._record_success()
            self._on_response(response)
            self._pause(request, response)
        self._close()

    def _pause(self, request: TransferRequest, response: TransferResponse) -> None:
        """Wait until the next request is due, or the request to the cell has changed."""
        if response.in_progress:
            intervals = _IN_PROGRESS_PAUSE_INTERVALS
        else:
            intervals = _UNMET_PAUSE_INTERVALS if request.unmet_demands else _IDLE_PAUSE_INTERVALS
        # Handling a response changes the request at once; this pause limits the rate of requests.
        self._stop.wait(self._heartbeat_interval_s * _IN_PROGRESS_PAUSE_INTERVALS)
        self._latest_requests.wait_for_change(
            self._cell.name, request, self._heartbeat_interval_s * intervals
        )

    def _request(self, request: TransferRequest) -> TransferResponse:
        for _ in range(_MAX_CONTROLLERS_PER_REQUEST):
            response = self._exchange(request)
            if isinstance(response, TransferResponse):
                if response.cell != self._cell.name:
                    raise LinkError(f"response is from cell {response.cell!r}")
                return response
            if not isinstance(response, NotLeading):
                raise LinkError(f"unexpected response: {type(response).__name__}")
            self._close()
            if not self._select_controller(response.member):
                break
        raise LinkError("no leader found among the controllers tried")

    def _exchange(self, request: TransferRequest) -> QuotaResponse:
        if self._connection is None:
            address = split_address(self._cell.controllers[self._controller_index].address)
            self._connection = open_connection(address, self._timeout_s)
        send_message(self._connection, request)
        return receive_message(self._connection, _response_decoder)

    def _select_controller(self, member: str) -> bool:
        """Send the next request to a controller; False if it is unknown, or sent the redirect itself."""
        for index, controller in enumerate(self._cell.controllers):
            if controller.member == member and index != self._controller_index:
                self._controller_index = index
                return True
        return False

    def _record_success(self) -> None:
        if self._failures:
            log.info("link to cell restored: cell=%s failures=%d", self._cell.name, self._failures)
        self._failures = 0

    def _record_failure(self, error: Exception) -> None:
        self._close()
        if not self._failures:
            log.warning("link to cell lost: cell=%s error=%r", self._cell.name, str(error))
        self._failures += 1
        self._controller_index = (self._controller_index + 1) % len(self._cell.controllers)
        max_intervals = min(
            _MAX_BACKOFF_INTERVALS, _MIN_BACKOFF_INTERVALS * 2 ** min(self._failures, _MAX_BACKOFF_DOUBLINGS)
        )
        self._stop.wait(self._heartbeat_interval_s * self._rng.uniform(max_intervals / 2, max_intervals))

    def _close(self) -> None:
        if self._connection is not None:
            self._connection.close()
            self._connection = None


class CellLinks:
    """All links of a term."""

    def __init__(
        self,
        cells: tuple[Cell, ...],
        on_response: Callable[[TransferResponse], None],
        heartbeat_interval_s: float,
        timeout_s: float,
        rng: random.Random,
    ) -> None:
        self._latest_requests = LatestRequests()
        self._links = [
            CellLink(
                cell,
                self._latest_requests,
                on_response,
                heartbeat_interval_s,
                timeout_s,
                random.Random(rng.random()),
            )
            for cell in cells
        ]

    def start(self) -> CellLinks:
        """Start the threads."""
        for link in self._links:
            link.start()
        return self

    def stop(self) -> None:
        """Stop the threads."""
        for link in self._links:
            link.stop()

    def publish(self, requests: dict[str, TransferRequest]) -> None:
        """Replace the request to each cell."""
        self._latest_requests.publish(requests)
