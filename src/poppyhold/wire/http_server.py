"""A controller's threaded HTTP/1.1 server, with CBOR bodies."""

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
from typing import Any, NamedTuple

from poppyhold.wire.codec import MAX_BODY_BYTES, encode
from poppyhold.wire.http_fields import read_fields

log = logging.getLogger(__name__)


class HttpResponse(NamedTuple):
    """A response before it is encoded."""

    status: int
    body: dict[str, Any]
    headers: dict[str, str]


# A response from another thread: it is called with a function that sends the response without blocking.
DeferredResponse = Callable[[Callable[[HttpResponse], None]], None]
# Handles a request's method, path and body.
RequestHandler = Callable[[str, str, bytes], HttpResponse | DeferredResponse]

# A client that gets a 200 on this path is a worker: its connection is not closed in favour of another one.
_HEARTBEAT_PATH = "/hello"
# Method, path and version.
_REQUEST_LINE_PARTS = 3
# A connection that sends nothing for this multiple of a worker's grace is abandoned, and is closed.
_IDLE_TIMEOUT_GRACES = 4


def http_response(status: int, body: dict[str, Any] | None = None, **headers: str) -> HttpResponse:
    """Build a response; header names are written with underscores."""
    if headers:
        headers = {name.replace("_", "-"): value for name, value in headers.items()}
    return HttpResponse(status, body or {}, headers)


class _Handler(http.server.BaseHTTPRequestHandler):
    """Serves one connection's requests, on its thread."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    server: HttpServer
    raw_requestline: bytes

    def setup(self) -> None:
        super().setup()
        self.connection.settimeout(self.server.idle_timeout_s)

    def do_GET(self) -> None:
        self._serve()

    def do_POST(self) -> None:
        self._serve()

    do_PUT = do_DELETE = do_PATCH = do_HEAD = do_OPTIONS = do_GET  # noqa: N815 (names of the base class)

    def parse_request(self) -> bool:
        """Read the request line and the header fields."""
        self.requestline = str(self.raw_requestline, "iso-8859-1").rstrip("\r\n")
        self.close_connection = True
        parts = self.requestline.split()
        if len(parts) != _REQUEST_LINE_PARTS or parts[2] not in ("HTTP/1.1", "HTTP/1.0"):
            self.command, self.request_version = "", "HTTP/1.0"
            self.send_error(HTTPStatus.BAD_REQUEST, "Bad request syntax")
            return False
        self.command, self.path, self.request_version = parts
        fields = read_fields(self.rfile)
        if fields is None:
            self.send_error(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, "Too many header fields")
            return False
        self.fields = fields
        connection_option = fields.get("connection", "").lower()
        self.close_connection = connection_option == "close" or (
            parts[2] == "HTTP/1.0" and connection_option != "keep-alive"
        )
        return True

    def _serve(self) -> None:
        body = self._read_body()
        if body is None:
            return
        self.server.record_activity(self.connection, is_worker=False)
        try:
            response = self.server.handle_http(self.command, self.path, body)
        except Exception:
            # Thread boundary: whatever a client sends, it gets a response and the process goes on.
            log.exception("request failed: method=%s path=%s", self.command, self.path)
            response = http_response(HTTPStatus.SERVICE_UNAVAILABLE, {"error": "internal"}, Retry_After="1")
        if not callable(response):
            self.wfile.write(self._encode(response))
        elif not self.close_connection:
            # The other thread sends the response: at hundreds of heartbeats per second (650 machines), waking
            # this thread for each one would take a large part of a leader's time.
            response(self._send_without_waiting)
        else:
            self._await_response(response)

    def _read_body(self) -> bytes | None:
        """Read the request's body; None if it can't be read: the connection is then closed."""
        try:
            length = int(self.fields.get("content-length") or 0)
        except ValueError:
            length = -1
        if length < 0 or length > MAX_BODY_BYTES or self.fields.get("transfer-encoding"):
            self.close_connection = True
            status = (
                HTTPStatus.REQUEST_ENTITY_TOO_LARGE if length > MAX_BODY_BYTES else HTTPStatus.BAD_REQUEST
            )
            self.wfile.write(self._encode(http_response(status, {"error": "body"})))
            return None
        body = self.rfile.read(length) if length else b""
        if len(body) < length:
            self.close_connection = True
            return None
        return body

    def _await_response(self, deferred: DeferredResponse) -> None:
        """Wait for a deferred response before the connection is closed."""
        sent = threading.Event()

        def send(response: HttpResponse) -> None:
            self._send_without_waiting(response)
            sent.set()

        deferred(send)
        sent.wait(self.server.idle_timeout_s)

    def _send_without_waiting(self, response: HttpResponse) -> None:
        """Send without blocking; a connection that can't take the whole response is shut down."""
        data = self._encode(response)
        try:
            if os.write(self.connection.fileno(), data) == len(data):
                return
            self.connection.shutdown(socket.SHUT_RDWR)
        except OSError as error:
            log.debug("response not sent: client=%s: %s", self.client_address, error)

    def _encode(self, response: HttpResponse) -> bytes:
        status, body, headers = response
        if status == HTTPStatus.OK and self.path == _HEARTBEAT_PATH:
            # Other responses, to malformed heartbeats or from a controller that doesn't lead, don't mark the
            # client as a worker.
            self.server.record_activity(self.connection, is_worker=True)
        payload = encode(body)
        head = (
            f"HTTP/1.1 {status} {http.client.responses.get(status, '')}\r\n"
            f"Content-Type: application/cbor\r\nContent-Length: {len(payload)}\r\n"
        )
        for name, value in headers.items():
            head += f"{name}: {value}\r\n"
        if self.close_connection:
            head += "Connection: close\r\n"
        return head.encode("latin-1") + b"\r\n" + payload

    def log_message(self, format: str, *args: Any) -> None:  # noqa: A002 (name of the base class)
        log.debug("client=%s: %s", self.address_string(), format % args)

    def address_string(self) -> str:
        return str(self.client_address[0])


class HttpServer(socketserver.ThreadingMixIn, http.server.HTTPServer):
    """Serves at most ``max_connections`` connections, with one thread each.

    At the limit, the connection that has been idle longest is closed for a new one, except workers': idle or
    half-open connections could otherwise lock workers out until their leases expire. A worker's connection
    loses this protection when idle for ``worker_grace_s``: after a network partition of a zone its workers
    open new connections, and never close the old ones.
    """

    daemon_threads = True
    block_on_close = False
    allow_reuse_address = True

    def __init__(
        self,
        address: tuple[str, int],
        handler: RequestHandler,
        max_connections: int,
        worker_grace_s: float = 15.0,
    ) -> None:
        self.handle_http = handler
        self._max_connections, self._worker_grace_s = max_connections, worker_grace_s
        self.idle_timeout_s = worker_grace_s * _IDLE_TIMEOUT_GRACES
        # After a restart all workers and users connect at once.
        self.request_queue_size = max_connections
        # When each connection becomes closable: a worker's after its grace, others' at their last request.
        self._protected_until: dict[socket.socket, float] = {}
        self._lock = threading.Lock()
        super().__init__(address, _Handler)

    def server_bind(self) -> None:
        """Bind without the host name look-up of the base class, as these networks have no DNS."""
        socketserver.TCPServer.server_bind(self)
        self.server_name, self.server_port = str(self.server_address[0]), int(self.server_address[1])

    def verify_request(self, request: Any, client_address: Any) -> bool:
        """Whether to accept a connection; at the limit, the longest idle unprotected one is closed for it."""
        with self._lock:
            if len(self._protected_until) >= self._max_connections:
                oldest = min(self._protected_until, key=lambda connection: self._protected_until[connection])
                if self._protected_until[oldest] > time.monotonic():
                    return False
                del self._protected_until[oldest]
                try:
                    # Its thread wakes up and closes it.
                    oldest.shutdown(socket.SHUT_RDWR)
                except OSError:
                    log.debug("idle connection not shut down: already closed")
            self._protected_until[request] = time.monotonic()
        return True

    def record_activity(self, connection: socket.socket, is_worker: bool) -> None:
        """Record a request on a connection; ``is_worker``: it is being answered as a worker's heartbeat."""
        with self._lock:
            if connection in self._protected_until:
                grace_s = self._worker_grace_s if is_worker else 0.0
                self._protected_until[connection] = time.monotonic() + grace_s

    def shutdown_request(self, request: Any) -> None:
        """Close a connection."""
        with self._lock:
            self._protected_until.pop(request, None)
        super().shutdown_request(request)

    def handle_error(self, request: Any, client_address: Any) -> None:
        """Log the exception that ended a connection, at debug level, as clients may send anything."""
        # The base class calls this in its exception handler.
        log.debug("connection ended: client=%s", client_address, exc_info=True)  # noqa: LOG014

    def close_all(self) -> None:
        """Stop accepting connections and close all."""
        self.shutdown()
        self.server_close()
        with self._lock:
            connections = list(self._protected_until)
        for connection in connections:
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                continue
