"""HTTP/1.1: the threaded server of this node and a pooled client with deadlines."""

from __future__ import annotations

import http.client
import http.server
import logging
import os
import socket
import socketserver
import threading
import time
from collections.abc import Callable
from http import HTTPStatus
from io import BufferedIOBase
from typing import Any

from poppyhold.messages import BODY_LIMIT, MalformedError, decode, encode

log = logging.getLogger(__name__)

Answer = tuple[int, dict[str, Any], dict[str, str]]
# An answer that another thread will give: it is handed the means to send it, and never has to wait for that.
Deferred = Callable[[Callable[[Answer], None]], None]
Route = Callable[[str, str, bytes], Answer | Deferred]

# A connection of ours that has been idle so long is not used again: the other side may close it meanwhile.
_KEEP_S = 15.0
# Bounds of what a request's head may hold.
_MOST_FIELDS, _LONGEST_FIELD = 100, 8192
# Who is answered on this path is a worker: its connection is not closed for another's sake.
_REPORTS = "/hello"
# Method, path and version.
_REQUEST_LINE_WORDS = 3


def answer(status: int, body: dict[str, Any] | None = None, **headers: str) -> Answer:
    """Build an answer; header names are written with underscores."""
    return status, body or {}, {k.replace("_", "-"): v for k, v in headers.items()}


def _read_fields(stream: BufferedIOBase) -> dict[str, str] | None:
    """Read header fields up to the empty line; None if there are too many or one is too long.

    The library's own way makes a mail message of them, which takes a third of all the time that a report or
    a question to the state service does. Only a few of them matter here.
    """
    fields: dict[str, str] = {}
    for _ in range(_MOST_FIELDS):
        line = stream.readline(_LONGEST_FIELD + 1)
        if line in (b"\r\n", b"\n", b""):
            return fields
        if len(line) > _LONGEST_FIELD:
            return None
        name, _, value = line.partition(b":")
        fields[str(name, "iso-8859-1").strip().lower()] = str(value, "iso-8859-1").strip()
    return None


class _Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    server: Server
    raw_requestline: bytes

    def setup(self) -> None:
        super().setup()
        self.connection.settimeout(self.server.idle_s)

    def do_GET(self) -> None:
        self._serve()

    def do_POST(self) -> None:
        self._serve()

    do_PUT = do_DELETE = do_PATCH = do_HEAD = do_OPTIONS = do_GET  # noqa: N815 (the library's names)

    def parse_request(self) -> bool:
        """Read the request line and the header fields."""
        self.requestline = str(self.raw_requestline, "iso-8859-1").rstrip("\r\n")
        self.close_connection = True
        words = self.requestline.split()
        if len(words) != _REQUEST_LINE_WORDS or words[2] not in ("HTTP/1.1", "HTTP/1.0"):
            self.command, self.request_version = "", "HTTP/1.0"
            self.send_error(400, "Bad request syntax")
            return False
        self.command, self.path, self.request_version = words
        fields = _read_fields(self.rfile)
        if fields is None:
            self.send_error(431, "Too many header fields")
            return False
        self.fields = fields
        kept = fields.get("connection", "").lower()
        self.close_connection = kept == "close" or (words[2] == "HTTP/1.0" and kept != "keep-alive")
        return True

    def _serve(self) -> None:
        try:
            length = int(self.fields.get("content-length") or 0)
        except ValueError:
            length = -1
        if length < 0 or length > BODY_LIMIT or self.fields.get("transfer-encoding"):
            self.close_connection = True
            self._send(answer(413 if length > BODY_LIMIT else 400, {"error": "body"}))
            return
        body = self.rfile.read(length) if length else b""
        if len(body) < length:
            self.close_connection = True
            return
        self.server.used(self.connection, False)
        try:
            result = self.server.route(self.command, self.path, body)
        except Exception:
            # Nothing that a peer sends may end the process or go unanswered.
            log.exception("%s %s", self.command, self.path)
            result = answer(503, {"error": "internal"}, Retry_After="1")
        if not callable(result):
            self._send(result)
        elif not self.close_connection:
            # Reports come by the hundred a second: to wait here for the decision thread, be woken by it and
            # only then answer took a good part of a leader's time at 650 machines.
            result(self._send_at_once)
        else:
            sent = threading.Event()

            def send(late: Answer) -> None:
                self._send_at_once(late)
                sent.set()

            result(send)
            sent.wait(self.server.idle_s)

    def _send_at_once(self, result: Answer) -> None:
        """Send without ever waiting: whoever does not take its answers loses the connection."""
        data = self._encoded(result)
        try:
            if os.write(self.connection.fileno(), data) == len(data):
                return
            self.connection.shutdown(socket.SHUT_RDWR)
        except OSError as error:
            log.debug("%s: %s", self.client_address, error)

    def _send(self, result: Answer) -> None:
        self.wfile.write(self._encoded(result))

    def _encoded(self, result: Answer) -> bytes:
        status, body, headers = result
        if status == HTTPStatus.OK and self.path == _REPORTS:
            # Whatever else is sent there, malformed or to a node that leads nobody, makes nobody a worker.
            self.server.used(self.connection, True)
        payload = encode(body)
        lines = [
            f"HTTP/1.1 {status} {http.client.responses.get(status, '')}",
            "Content-Type: application/cbor",
            f"Content-Length: {len(payload)}",
            *(f"{name}: {value}" for name, value in headers.items()),
        ]
        if self.close_connection:
            lines.append("Connection: close")
        return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + payload

    def log_message(self, format: str, *args: Any) -> None:
        log.debug("%s %s", self.address_string(), format % args)

    def address_string(self) -> str:
        return str(self.client_address[0])


class Server(socketserver.ThreadingMixIn, http.server.HTTPServer):
    """One thread per connection, at most ``limit`` connections.

    At the limit the connection that has been silent longest makes room, reporting workers' aside: many silent
    or half-open ones would otherwise keep the workers out, and their leases would end. A worker's connection
    that has been silent for ``worker_s`` is one like any other: when a zone that was cut off is back, its
    workers come over new connections, and the old ones are never closed by them.
    """

    daemon_threads = True
    block_on_close = False
    allow_reuse_address = True

    def __init__(self, address: tuple[str, int], route: Route, limit: int, worker_s: float = 15.0) -> None:
        self.route = route
        self._limit, self._worker_s = limit, worker_s
        # What is silent for longer was left by whoever opened it.
        self.idle_s = worker_s * 4
        # Behind a restart all workers and users come at one moment.
        self.request_queue_size = limit
        # Until when each is spared, at the least: a worker's for a while behind its report.
        self._open: dict[socket.socket, float] = {}
        self._lock = threading.Lock()
        super().__init__(address, _Handler)

    def server_bind(self) -> None:
        """Bind without a name look-up."""
        # HTTPServer looks up the host's name here; these networks have no name look-ups.
        socketserver.TCPServer.server_bind(self)
        self.server_name, self.server_port = str(self.server_address[0]), int(self.server_address[1])

    def verify_request(self, request: Any, client_address: Any) -> bool:
        """Take a connection; above the limit the one that is silent longest makes room."""
        with self._lock:
            if len(self._open) >= self._limit:
                oldest = min(self._open, key=lambda held: self._open[held])
                if self._open[oldest] > time.monotonic():
                    return False
                del self._open[oldest]
                try:
                    # Its thread wakes up, and closes it.
                    oldest.shutdown(socket.SHUT_RDWR)
                except OSError:
                    log.debug("a silent connection was gone already")
            self._open[request] = time.monotonic()
        return True

    def used(self, request: socket.socket, by_worker: bool) -> None:
        """A request came in on a connection."""
        with self._lock:
            if request in self._open:
                self._open[request] = time.monotonic() + (self._worker_s if by_worker else 0.0)

    def shutdown_request(self, request: Any) -> None:
        """End a connection."""
        with self._lock:
            self._open.pop(request, None)
        super().shutdown_request(request)

    def handle_error(self, request: Any, client_address: Any) -> None:
        """Note what ended a connection; its client may have sent anything."""
        log.debug("connection of %s ended", client_address, exc_info=True)

    def close_all(self) -> None:
        """Stop accepting and end every connection."""
        self.shutdown()
        self.server_close()
        with self._lock:
            connections = list(self._open)
        for connection in connections:
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                continue


class NotSentError(Exception):
    """The request certainly did not reach the other side."""


class NoAnswerError(Exception):
    """No answer came; the request may have been or may still be carried out."""


class _Response(http.client.HTTPResponse):
    """The library's response, but for how its head is read."""

    def begin(self) -> None:
        version, status, reason = self._read_status()  # type: ignore[attr-defined]
        self.code = self.status = status
        self.reason, self.version = reason.strip(), 10 if version == "HTTP/1.0" else 11
        fields = _read_fields(self.fp)
        if fields is None:
            raise http.client.HTTPException("too many header fields")
        self.chunked = fields.get("transfer-encoding", "").lower() == "chunked"
        self.chunk_left = None
        size = fields.get("content-length", "")
        self.length = int(size) if size.isascii() and size.isdigit() and not self.chunked else None
        unbounded = self.length is None and not self.chunked
        self.will_close = (
            unbounded or version == "HTTP/1.0" or fields.get("connection", "").lower() == "close"
        )


class Client:
    """Connections to one address, kept open between requests and never pipelined."""

    def __init__(self, host: str, port: int, keep: int = 4) -> None:
        self._host, self._port, self._keep = host, port, keep
        self._idle: list[tuple[socket.socket, float]] = []
        self._lock = threading.Lock()
        self._closed = False

    def request(
        self, method: str, path: str, body: dict[str, Any] | None = None, *, timeout: float
    ) -> tuple[int, dict[str, Any]]:
        """Send one request and wait for its answer, at most ``timeout`` seconds in all."""
        deadline = time.monotonic() + timeout
        payload = encode(body) if body is not None else b""
        connection = self._take()
        if connection is None:
            try:
                connection = socket.create_connection((self._host, self._port), timeout)
                connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            except OSError as error:
                raise NotSentError(str(error)) from error
        try:
            connection.settimeout(max(0.01, deadline - time.monotonic()))
            connection.sendall(self._head(method, path, payload) + payload)
            response = _Response(connection, method=method)
            response.begin()
            data = response.read()
        except (OSError, http.client.HTTPException) as error:
            connection.close()
            raise NoAnswerError(str(error) or type(error).__name__) from error
        if response.will_close:
            connection.close()
        else:
            self._give(connection)
        try:
            return response.status, decode(data) if data else {}
        except MalformedError as error:
            raise NoAnswerError(str(error)) from error

    def _head(self, method: str, path: str, payload: bytes) -> bytes:
        lines = [f"{method} {path} HTTP/1.1", f"Host: {self._host}:{self._port}"]
        if payload or method == "POST":
            lines += ["Content-Type: application/cbor", f"Content-Length: {len(payload)}"]
        return "\r\n".join(lines).encode("ascii") + b"\r\n\r\n"

    def _take(self) -> socket.socket | None:
        now = time.monotonic()
        with self._lock:
            while self._idle:
                connection, since = self._idle.pop()
                if now - since < _KEEP_S:
                    return connection
                connection.close()
        return None

    def _give(self, connection: socket.socket) -> None:
        with self._lock:
            if len(self._idle) < self._keep and not self._closed:
                self._idle.append((connection, time.monotonic()))
                return
        connection.close()

    def close(self) -> None:
        """Close what is kept open."""
        with self._lock:
            self._closed = True
            idle, self._idle = self._idle, []
        for connection, _ in idle:
            connection.close()
