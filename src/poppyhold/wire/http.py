"""HTTP/1.1: the threaded server of this node."""

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
from typing import Any

from poppyhold.wire.codec import BODY_LIMIT, encode
from poppyhold.wire.http_fields import read_fields

log = logging.getLogger(__name__)

Answer = tuple[int, dict[str, Any], dict[str, str]]
# An answer that another thread will give: it is handed the means to send it, and never has to wait for that.
Deferred = Callable[[Callable[[Answer], None]], None]
Route = Callable[[str, str, bytes], Answer | Deferred]

# Who is answered on this path is a worker: its connection is not closed for another's sake.
_HEARTBEATS = "/hello"
# Method, path and version.
_REQUEST_LINE_WORDS = 3


def answer(status: int, body: dict[str, Any] | None = None, **headers: str) -> Answer:
    """Build an answer; header names are written with underscores."""
    return status, body or {}, {k.replace("_", "-"): v for k, v in headers.items()}


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
        fields = read_fields(self.rfile)
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
        if status == HTTPStatus.OK and self.path == _HEARTBEATS:
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
