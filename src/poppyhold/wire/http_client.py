"""HTTP/1.1 client with a connection pool and deadlines."""

from __future__ import annotations

import http.client
import socket
import threading
import time
from types import TracebackType
from typing import Any, NamedTuple

from poppyhold.wire.codec import MalformedError, decode, encode
from poppyhold.wire.http_fields import read_fields

# A connection that has been idle for this long is not reused, as the server may be closing it.
_MAX_IDLE_S = 15.0
# Least timeout of a request whose deadline has almost passed.
_MIN_TIMEOUT_S = 0.01


class HttpRequestError(Exception):
    """A request got no usable response."""


class NotSentError(HttpRequestError):
    """The request did not reach the server, and is safe to retry."""


class NoResponseError(HttpRequestError):
    """No usable response arrived: the request may have been executed, or may be later."""


class _Response(http.client.HTTPResponse):
    """The standard library's response with a faster parser of the header."""

    def begin(self) -> None:
        version, status, reason = self._read_status()  # type: ignore[attr-defined]
        self.code = self.status = status
        self.reason, self.version = reason.strip(), 10 if version == "HTTP/1.0" else 11
        fields = read_fields(self.fp)
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


class _IdleConnection(NamedTuple):
    """An open connection, and since when it has been idle."""

    connection: socket.socket
    idle_since: float


class HttpClient:
    """A pool of connections to one address, without pipelining."""

    def __init__(self, host: str, port: int, max_idle: int = 4) -> None:
        """Keep at most ``max_idle`` idle connections open."""
        self._host, self._port, self._max_idle = host, port, max_idle
        self._idle: list[_IdleConnection] = []
        self._lock = threading.Lock()
        self._closed = False

    def __enter__(self) -> HttpClient:
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        self.close()

    def request(
        self, method: str, path: str, body: dict[str, Any] | None = None, *, timeout_s: float
    ) -> tuple[int, dict[str, Any]]:
        """Send one request and wait for its response, ``timeout_s`` seconds at most.

        Returns:
            The status and the decoded body.

        Raises:
            NotSentError: the connection to the server failed.
            NoResponseError: the connection was lost, the response was malformed, or none arrived in time.

        """
        deadline = time.monotonic() + timeout_s
        payload = encode(body) if body is not None else b""
        connection = self._take_idle() or self._connect(timeout_s)
        try:
            connection.settimeout(max(_MIN_TIMEOUT_S, deadline - time.monotonic()))
            connection.sendall(self._head(method, path, payload) + payload)
            response = _Response(connection, method=method)
            response.begin()
            data = response.read()
        except (OSError, http.client.HTTPException) as error:
            connection.close()
            raise NoResponseError(str(error) or type(error).__name__) from error
        if response.will_close:
            connection.close()
        else:
            self._keep_idle(connection)
        try:
            return response.status, decode(data) if data else {}
        except MalformedError as error:
            raise NoResponseError(str(error)) from error

    def _connect(self, timeout_s: float) -> socket.socket:
        try:
            connection = socket.create_connection((self._host, self._port), timeout_s)
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        except OSError as error:
            raise NotSentError(str(error)) from error
        return connection

    def _head(self, method: str, path: str, payload: bytes) -> bytes:
        lines = [f"{method} {path} HTTP/1.1", f"Host: {self._host}:{self._port}"]
        if payload or method == "POST":
            lines += ["Content-Type: application/cbor", f"Content-Length: {len(payload)}"]
        return "\r\n".join(lines).encode("ascii") + b"\r\n\r\n"

    def _take_idle(self) -> socket.socket | None:
        now = time.monotonic()
        with self._lock:
            while self._idle:
                connection, idle_since = self._idle.pop()
                if now - idle_since < _MAX_IDLE_S:
                    return connection
                connection.close()
        return None

    def _keep_idle(self, connection: socket.socket) -> None:
        with self._lock:
            if len(self._idle) < self._max_idle and not self._closed:
                self._idle.append(_IdleConnection(connection, time.monotonic()))
                return
        connection.close()

    def close(self) -> None:
        """Close the idle connections, and keep none open from now on."""
        with self._lock:
            self._closed = True
            idle, self._idle = self._idle, []
        for connection, _ in idle:
            connection.close()
