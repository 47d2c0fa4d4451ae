"""Messages between controllers: tagged tuples (msgspec arrays), each behind its length."""

from __future__ import annotations

import contextlib
import os
import socket
import struct
from typing import TypeVar

import msgspec

_LENGTH = struct.Struct("!I")
_LARGEST = 1 << 20

T = TypeVar("T")


def _encode(message: msgspec.Struct) -> bytes:
    body = msgspec.msgpack.encode(message)
    return _LENGTH.pack(len(body)) + body


def send(connection: socket.socket, message: msgspec.Struct) -> None:
    """Send one message."""
    connection.sendall(_encode(message))


def send_at_once(connection: socket.socket, message: msgspec.Struct) -> bool:
    """Send one message without ever waiting; False if it was not taken whole: the connection must end."""
    data = _encode(message)
    try:
        return os.write(connection.fileno(), data) == len(data)
    except OSError:
        return False


def shut(connection: socket.socket) -> None:
    """End a connection; threads that wait for it wake up, and whoever opened it closes it."""
    with contextlib.suppress(OSError):
        connection.shutdown(socket.SHUT_RDWR)


def receive(connection: socket.socket, decoder: msgspec.msgpack.Decoder[T]) -> T:
    """Receive one message; a malformed one raises ValueError, and the connection must end."""
    size = _LENGTH.unpack(_read(connection, _LENGTH.size))[0]
    if size > _LARGEST:
        raise ValueError("message is too large")
    return decoder.decode(_read(connection, size))


def _read(connection: socket.socket, size: int) -> bytes:
    data = bytearray()
    while len(data) < size:
        part = connection.recv(size - len(data))
        if not part:
            raise ConnectionError("closed")
        data += part
    return bytes(data)
