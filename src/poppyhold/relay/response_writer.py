"""Writes the responses to a relay without blocking the decision thread."""

from __future__ import annotations

import os
import socket
import threading
from collections import deque

import msgspec

from poppyhold.wire.frames import MAX_MESSAGE_BYTES, encode_message, shut_down

# The most that waits for a relay: about the responses to one batch, each of the largest size.
_MAX_BACKLOG_BYTES = 4 * MAX_MESSAGE_BYTES


class ResponseWriter:
    """Writes messages to one connection, in order.

    Mostly the socket takes a message at once. The rest of a larger one, and all that follow, are written by a
    thread that ends once nothing is left.
    """

    def __init__(self, connection: socket.socket) -> None:
        """The connection needs a timeout: it bounds how long the thread waits for the relay to read."""
        self._connection = connection
        # Guards all below, and the order of writes.
        self._lock = threading.Lock()
        self._backlog: deque[bytes] = deque()
        self._backlog_bytes = 0
        self._thread: threading.Thread | None = None
        # Nothing more is written: the connection ends.
        self._closed = False

    def send(self, message: msgspec.Struct) -> bool:
        """Write a message or queue it; False if neither is possible: the connection must be closed."""
        data = encode_message(message)
        with self._lock:
            if self._closed:
                return False
            if self._thread is None:
                try:
                    data = data[self._write_some(data) :]
                except OSError:
                    return False
            return not data or self._enqueue(data)

    def shut_down(self) -> None:
        """Shut the connection down: its reader wakes up, and closes it."""
        shut_down(self._connection)

    def close(self) -> None:
        """Shut the connection down, and wait for the thread: it must not use a closed descriptor."""
        self.shut_down()
        with self._lock:
            self._closed = True
            thread = self._thread
        if thread is not None:
            thread.join()

    def _write_some(self, data: bytes) -> int:
        """Write as much as the socket takes now; return how much that was."""
        try:
            return os.write(self._connection.fileno(), data)
        except BlockingIOError:
            return 0

    def _enqueue(self, data: bytes) -> bool:
        if self._backlog_bytes + len(data) > _MAX_BACKLOG_BYTES:
            return False
        self._backlog_bytes += len(data)
        self._backlog.append(data)
        if self._thread is None:
            self._thread = threading.Thread(
                target=self._write_backlog, name="relay response writer", daemon=True
            )
            self._thread.start()
        return True

    def _write_backlog(self) -> None:
        while True:
            with self._lock:
                if not self._backlog:
                    self._thread = None
                    return
                data = self._backlog.popleft()
            try:
                self._connection.sendall(data)
            except OSError:
                with self._lock:
                    self._closed = True
                self.shut_down()
                return
            with self._lock:
                self._backlog_bytes -= len(data)
