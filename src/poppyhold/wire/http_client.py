"""HTTP/1.1: a pooled client with deadlines."""

from __future__ import annotations

import http.client
import socket
import threading
import time
from typing import Any

from poppyhold.wire.codec import MalformedError, decode, encode
from poppyhold.wire.http_fields import read_fields

# A connection that has been idle so long is not used again: the other side may close it meanwhile.
_KEEP_S = 15.0


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
