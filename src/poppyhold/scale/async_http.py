"""HTTP/1.1 on asyncio: a server and a client for thousands of connections in one process.

Controllers use threads (`poppyhold.wire.http`). Some thousand simulated workers in one process would mostly
measure their own threads, so only the load side uses asyncio.
"""

from __future__ import annotations

import asyncio
import http.client
from collections.abc import Awaitable, Callable

from poppyhold.scale.responses import Data, Status
from poppyhold.wire.codec import MalformedError, decode, encode

# Takes method, path and body; returns the response's status and body.
Handler = Callable[[str, str, bytes], Awaitable[Status]]

_MAX_HEAD_BYTES = 16 * 1024


class NoResponseError(Exception):
    """A request got no response: connection refused or lost, malformed response, or timeout."""


async def _read_message(reader: asyncio.StreamReader) -> tuple[str, bytes, bool, int]:
    """Return the first line, the body, whether the connection closes afterwards, and the bytes read."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    length, closes = 0, False
    for line in lines[1:]:
        name, _, value = line.partition(":")
        name = name.lower()
        if name == "content-length":
            length = int(value)
        elif name == "connection":
            closes = value.strip().lower() == "close"
    body = await reader.readexactly(length) if length else b""
    return lines[0], body, closes, len(head) + length


class HttpServer:
    """Serves one handler on any number of loopback ports."""

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._server: asyncio.Server | None = None
        self.port = 0
        # Bytes in both directions, heads included.
        self.bytes = 0

    async def start(self, port: int = 0) -> int:
        """Listen on loopback; returns the port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", port, limit=_MAX_HEAD_BYTES)
        self.port = int(self._server.sockets[0].getsockname()[1])
        return self.port

    def close(self) -> None:
        """Stop accepting connections."""
        if self._server is not None:
            self._server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                line, body, closes, size = await _read_message(reader)
                method, path, _ = line.split(" ", 2)
                status, data = await self._handler(method, path, body)
                payload = encode(data)
                reason = http.client.responses.get(status, "")
                head = f"HTTP/1.1 {status} {reason}\r\nContent-Length: {len(payload)}\r\n\r\n"
                writer.write(head.encode("latin-1") + payload)
                self.bytes += size + len(head) + len(payload)
                if closes:
                    return
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, ValueError):
            return
        finally:
            writer.close()


class Connection:
    """One client connection, opened on the first request and kept alive."""

    def __init__(self, port: int) -> None:
        self.port = port
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
        self.bytes = 0

    async def request(self, method: str, path: str, body: Data | None, timeout_s: float) -> Status:
        """Send one request and wait for its response.

        Raises:
            NoResponseError: no valid response arrived within ``timeout_s`` seconds.

        """
        try:
            async with asyncio.timeout(timeout_s):
                return await self._exchange(method, path, encode(body) if body is not None else b"")
        except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError, MalformedError) as error:
            self.close()
            raise NoResponseError(str(error) or type(error).__name__) from error
        except asyncio.CancelledError:
            self.close()
            raise

    async def _exchange(self, method: str, path: str, payload: bytes) -> Status:
        if self._streams is None:
            self._streams = await asyncio.open_connection("127.0.0.1", self.port, limit=_MAX_HEAD_BYTES)
        reader, writer = self._streams
        head = f"{method} {path} HTTP/1.1\r\nContent-Length: {len(payload)}\r\n\r\n"
        writer.write(head.encode("latin-1") + payload)
        line, body, closes, size = await _read_message(reader)
        self.bytes += len(head) + len(payload) + size
        if closes:
            self.close()
        return int(line.split(" ", 2)[1]), decode(body) if body else {}

    def close(self) -> None:
        """Close the connection; the next request opens a new one."""
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None
