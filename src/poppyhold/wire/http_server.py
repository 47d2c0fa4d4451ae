"""A controller's threaded HTTP/1.1 server, with CBOR bodies."""

from __future__ import annotations

import contextlib
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

from poppyhold.wire import field_names
from poppyhold.wire.codec import MAX_ACCEPTED_HEARTBEAT_BYTES, MAX_BODY_BYTES, encode
from poppyhold.wire.http_fields import read_fields
from poppyhold.wire.partial_body import text_field

log = logging.getLogger(__name__)


class HttpResponse(NamedTuple):
    """A response before it is encoded."""

    status: int
    body: dict[str, Any]
    headers: dict[str, str]


# Returned by a handler whose response another thread computes. The server calls it once, with a function that
# sends the response without blocking.
DeferredResponse = Callable[[Callable[[HttpResponse], None]], None]
# Handles a request's method, path and body.
RequestHandler = Callable[[str, str, bytes], HttpResponse | DeferredResponse]

# A client that gets a 200 on this path is a worker: its connection is protected for `worker_protection_s`.
_HEARTBEAT_PATH = "/hello"
# Method, path and version.
_REQUEST_LINE_PARTS = 3
# A connection on which nothing arrives for this multiple of `worker_protection_s` is closed as abandoned.
_IDLE_TIMEOUT_RATIO = 4
# How much of a refused body is read to name its sender in the log, and for how long it is waited for.
_BEGINNING_BYTES, _BEGINNING_TIMEOUT_S = 1024, 0.2


def http_response(status: int, body: dict[str, Any] | None = None, **headers: str) -> HttpResponse:
    """Build a response; ``headers`` have underscores in place of hyphens."""
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
            # Whatever a client sends, it gets a response: any error of the handler is answered with 503.
            log.exception("request failed: method=%s path=%s", self.command, self.path)
            response = http_response(HTTPStatus.SERVICE_UNAVAILABLE, {"error": "internal"}, Retry_After="1")
        if not callable(response):
            self.wfile.write(self._encode(response))
        elif not self.close_connection:
            # The other thread sends the response: at hundreds of heartbeats per second (650 machines), waking
            # this thread for each heartbeat would take a large part of the leader's processor time.
            response(self._send_without_blocking)
        else:
            self._await_response(response)

    def _read_body(self) -> bytes | None:
        """Read the request's body; None if it is incomplete or refused: the connection is then closed."""
        try:
            length = int(self.fields.get("content-length") or 0)
        except ValueError:
            length = -1
        limit = MAX_ACCEPTED_HEARTBEAT_BYTES if self.path == _HEARTBEAT_PATH else MAX_BODY_BYTES
        if length < 0 or length > limit or self.fields.get("transfer-encoding"):
            self.close_connection = True
            is_too_large = length > limit
            status = HTTPStatus.REQUEST_ENTITY_TOO_LARGE if is_too_large else HTTPStatus.BAD_REQUEST
            self.wfile.write(self._encode(http_response(status, {"error": "body"})))
            if is_too_large:
                self._log_too_large(length, limit)
            return None
        body = self.rfile.read(length) if length else b""
        if len(body) < length:
            self.close_connection = True
            return None
        return body

    def _log_too_large(self, length: int, limit: int) -> None:
        """Log a body that is refused for its size, with the machine whose heartbeat it is."""
        self.connection.settimeout(_BEGINNING_TIMEOUT_S)
        beginning = b""
        with contextlib.suppress(OSError):
            beginning = self.rfile.read1(_BEGINNING_BYTES)
        log.warning(
            "request refused, body too large: path=%s machine=%s client=%s bytes=%d limit=%d",
            self.path,
            text_field(beginning, field_names.MACHINE),
            self.address_string(),
            length,
            limit,
        )

    def _await_response(self, deferred: DeferredResponse) -> None:
        """Wait for a deferred response before the connection is closed."""
        sent = threading.Event()

        def send(response: HttpResponse) -> None:
            self._send_without_blocking(response)
            sent.set()

        deferred(send)
        sent.wait(self.server.idle_timeout_s)

    def _send_without_blocking(self, response: HttpResponse) -> None:
        """Send without blocking; if only a part could be sent, the connection is shut down."""
        data = self._encode(response)
        try:
            if os.write(self.connection.fileno(), data) == len(data):
                return
            self.connection.shutdown(socket.SHUT_RDWR)
        except OSError as error:
            log.debug("sending a response failed: client=%s error=%s", self.client_address, error)

    def _encode(self, response: HttpResponse) -> bytes:
        status, body, headers = response
        if status == HTTPStatus.OK and self.path == _HEARTBEAT_PATH:
            # Only a 200 marks the client as a worker: malformed heartbeats, and those that this controller
            # can't answer, get another status.
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

    At the limit, the longest idle connection that isn't a worker's is closed to accept a new one: idle or
    half-open connections could keep workers from connecting until their leases expire. A worker's connection
    may be closed too once ``worker_protection_s`` have passed since its last 200: after a network partition
    of a zone its workers open new connections, and never close the old ones.
    """

    daemon_threads = True
    block_on_close = False
    allow_reuse_address = True

    def __init__(
        self,
        address: tuple[str, int],
        handler: RequestHandler,
        max_connections: int,
        worker_protection_s: float = 15.0,
    ) -> None:
        self.handle_http = handler
        self._max_connections, self._worker_protection_s = max_connections, worker_protection_s
        self.idle_timeout_s = worker_protection_s * _IDLE_TIMEOUT_RATIO
        # The listen backlog: after a restart of this controller all workers and users may connect at once.
        self.request_queue_size = max_connections
        # From when each connection may be closed for a new one: ``worker_protection_s`` after a worker's 200,
        # else the time of the last request, or of the accept.
        self._protected_until: dict[socket.socket, float] = {}
        self._lock = threading.Lock()
        super().__init__(address, _Handler)

    def server_bind(self) -> None:
        """Bind without the host name look-up of the base class, as these networks have no DNS."""
        socketserver.TCPServer.server_bind(self)
        self.server_name, self.server_port = str(self.server_address[0]), int(self.server_address[1])

    def verify_request(self, request: Any, client_address: Any) -> bool:
        """Whether to accept a connection; at the limit, the longest unprotected one is closed for it."""
        with self._lock:
            if len(self._protected_until) >= self._max_connections:
                oldest = min(self._protected_until, key=lambda connection: self._protected_until[connection])
                if self._protected_until[oldest] > time.monotonic():
                    return False
                del self._protected_until[oldest]
                try:
                    # The thread that serves the connection wakes up and closes it.
                    oldest.shutdown(socket.SHUT_RDWR)
                except OSError:
                    log.debug("idle connection not shut down: already closed")
            self._protected_until[request] = time.monotonic()
        return True

    def record_activity(self, connection: socket.socket, is_worker: bool) -> None:
        """Record a request on a connection; ``is_worker``: a heartbeat that is answered with 200."""
        with self._lock:
            if connection in self._protected_until:
                protection_s = self._worker_protection_s if is_worker else 0.0
                self._protected_until[connection] = time.monotonic() + protection_s

    def shutdown_request(self, request: Any) -> None:
        """Close a connection."""
        with self._lock:
            self._protected_until.pop(request, None)
        super().shutdown_request(request)

    def handle_error(self, request: Any, client_address: Any) -> None:
        """Log the exception that ended a connection, at debug level, as clients may send anything."""
        # `exc_info` is set here, as the base class calls this in its exception handler.
        log.debug("connection ended: client=%s", client_address, exc_info=True)  # noqa: LOG014

    def close_all(self) -> None:
        """Stop accepting connections and shut all down; their threads then close them."""
        self.shutdown()
        self.server_close()
        with self._lock:
            connections = list(self._protected_until)
        for connection in connections:
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                continue
