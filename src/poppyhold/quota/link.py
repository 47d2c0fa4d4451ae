"""The links from this cell's leader to those of other cells: a thread for each other cell.

A link asks any controller of the other cell, and follows its word on who leads there. It asks often while
work waits for a larger share or a step is under way, else once in a report's interval. Behind a failure it
tries the next controller, waiting longer each time, with jitter.
"""

from __future__ import annotations

import logging
import random
import socket
import threading
from collections.abc import Callable

import msgspec

from poppyhold.quota.cells import Cell
from poppyhold.quota.messages import Answer, NotLeading, ShareReply, ShareRequest
from poppyhold.settings import split_address
from poppyhold.wire.frames import receive_message, send_message

log = logging.getLogger(__name__)

_answer_decoder: msgspec.msgpack.Decoder[Answer] = msgspec.msgpack.Decoder(Answer)
# Ratios to the interval of workers' reports: between requests with nothing to ask for, with something, and
# while a step is under way; and the shortest and longest wait behind a failure.
_IDLE, _WANTING, _IN_PROGRESS = 1.0, 0.25, 0.02
_SHORTEST_BACKOFF, _LONGEST_BACKOFF = 0.1, 2.0
# Controllers that say one after the other that another one leads.
_MOST_HOPS = 3


class LinkError(Exception):
    """The other side can't be talked to."""


def exchange(address: str, request: msgspec.Struct, timeout_s: float) -> Answer:
    """Send one message over a new connection, and return the answer.

    Raises:
        OSError, ValueError, msgspec.MsgspecError: there was none that can be read.
    """
    with socket.create_connection(split_address(address), timeout=timeout_s) as connection:
        send_message(connection, request)
        return receive_message(connection, _answer_decoder)


class RequestBoard:
    """The newest request to each cell: the decision thread writes it, the links' threads wait for news."""

    def __init__(self) -> None:
        self._requests: dict[str, ShareRequest] = {}
        self._changed = threading.Condition()

    def publish(self, requests: dict[str, ShareRequest]) -> None:
        """Replace the requests; whoever waits wakes up if there is something new to ask for."""
        if requests is self._requests:
            return
        with self._changed:
            before, self._requests = self._requests, requests
            if any(_is_news(before.get(cell), request) for cell, request in requests.items()):
                self._changed.notify_all()

    def latest(self, cell: str) -> ShareRequest | None:
        """The request that is to be sent to a cell now."""
        return self._requests.get(cell)

    def wait(self, cell: str, sent: ShareRequest | None, timeout_s: float) -> None:
        """Wait until there is something else to ask a cell for, or the time is over."""
        with self._changed:
            self._changed.wait_for(lambda: _is_news(sent, self._requests.get(cell)), timeout_s)

    def wake(self) -> None:
        """Let everybody look again."""
        with self._changed:
            self._changed.notify_all()


def _is_news(before: ShareRequest | None, after: ShareRequest | None) -> bool:
    if before is None or after is None:
        return after is not before
    return before.applied != after.applied or before.wants != after.wants


class CellLink:
    """The thread that talks to one other cell for one term of our leading."""

    def __init__(
        self,
        cell: Cell,
        board: RequestBoard,
        on_reply: Callable[[ShareReply], None],
        heartbeat_interval_s: float,
        timeout_s: float,
        rng: random.Random,
    ) -> None:
        self._cell, self._board, self._on_reply = cell, board, on_reply
        self._heartbeat_interval_s, self._timeout_s, self._rng = heartbeat_interval_s, timeout_s, rng
        self._next = rng.randrange(len(cell.controllers))
        self._connection: socket.socket | None = None
        self._failures = 0
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, name=f"cell {cell.name}", daemon=True)

    def start(self) -> CellLink:
        """Start the thread."""
        self._thread.start()
        return self

    def stop(self) -> None:
        """End it; a request that is under way is given up."""
        self._stop.set()
        self._board.wake()

    def _run(self) -> None:
        while not self._stop.is_set():
            request = self._board.latest(self._cell.name)
            if request is None:
                self._board.wait(self._cell.name, None, self._heartbeat_interval_s)
                continue
            try:
                reply = self._ask(request)
            except (OSError, ValueError, msgspec.MsgspecError, LinkError) as error:
                self._failed(error)
                continue
            except Exception:
                log.exception("cell %s", self._cell.name)
                self._failed(LinkError("see above"))
                continue
            self._answered()
            self._on_reply(reply)
            pause = _IN_PROGRESS if reply.in_progress else _WANTING if request.wants else _IDLE
            # The reply's effects are news by themselves; what is asked again and again keeps to a pace.
            self._stop.wait(self._heartbeat_interval_s * _IN_PROGRESS)
            self._board.wait(self._cell.name, request, self._heartbeat_interval_s * pause)
        self._close()

    def _ask(self, request: ShareRequest) -> ShareReply:
        for _ in range(_MOST_HOPS):
            answer = self._exchange(request)
            if isinstance(answer, ShareReply):
                if answer.cell != self._cell.name:
                    raise LinkError(f"cell {answer.cell!r} answered")
                return answer
            if not isinstance(answer, NotLeading):
                raise LinkError(f"answered with {type(answer).__name__}")
            self._close()
            if not self._turn_to(answer.member):
                break
        raise LinkError("nobody leads there")

    def _exchange(self, request: ShareRequest) -> Answer:
        if self._connection is None:
            address = split_address(self._cell.controllers[self._next].address)
            self._connection = socket.create_connection(address, timeout=self._timeout_s)
            self._connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        send_message(self._connection, request)
        return receive_message(self._connection, _answer_decoder)

    def _turn_to(self, member: str) -> bool:
        """Ask that controller from now on; False if it is not known here, and the next one's turn it is."""
        for index, controller in enumerate(self._cell.controllers):
            if controller.member == member and index != self._next:
                self._next = index
                return True
        return False

    def _answered(self) -> None:
        if self._failures:
            log.info("cell %s is back", self._cell.name)
        self._failures = 0

    def _failed(self, error: Exception) -> None:
        self._close()
        if not self._failures:
            log.warning("cell %s can't be reached: %s", self._cell.name, error)
        self._failures += 1
        self._next = (self._next + 1) % len(self._cell.controllers)
        most = min(_LONGEST_BACKOFF, _SHORTEST_BACKOFF * 2 ** min(self._failures, 8))
        self._stop.wait(self._heartbeat_interval_s * self._rng.uniform(most / 2, most))

    def _close(self) -> None:
        if self._connection is not None:
            self._connection.close()
            self._connection = None


class CellLinks:
    """All links of a term."""

    def __init__(
        self,
        cells: tuple[Cell, ...],
        on_reply: Callable[[ShareReply], None],
        heartbeat_interval_s: float,
        timeout_s: float,
        rng: random.Random,
    ) -> None:
        self._board = RequestBoard()
        self._links = [
            CellLink(
                cell, self._board, on_reply, heartbeat_interval_s, timeout_s, random.Random(rng.random())
            )
            for cell in cells
        ]

    def start(self) -> CellLinks:
        """Start the threads."""
        for link in self._links:
            link.start()
        return self

    def stop(self) -> None:
        """End them."""
        for link in self._links:
            link.stop()

    def publish(self, requests: dict[str, ShareRequest]) -> None:
        """What to ask the cells from now on."""
        self._board.publish(requests)
