"""Frames: messages between controllers, tagged tuples (msgspec arrays), each preceded by its length."""

from __future__ import annotations

import contextlib
import os
import socket
import struct
from typing import TypeVar

import msgspec

_LENGTH = struct.Struct("!I")
_MAX_MESSAGE_BYTES = 1 << 20

T = TypeVar("T")


class MalformedMessageError(ValueError):
    """What came is no message of the protocol: the connection can't go on."""


def open_connection(address: tuple[str, int], timeout_s: float) -> socket.socket:
    """Open a connection for frames: each message is sent at once, without waiting to be joined to others.

    Raises:
        OSError: the other side cannot be reached within the timeout, which then holds for each operation.

    """
    connection = socket.create_connection(address, timeout=timeout_s)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return connection


def send_message(connection: socket.socket, message: msgspec.Struct) -> None:
    """Send one message.

    Raises:
        OSError: the connection broke, or the message was not taken in time.

    """
    connection.sendall(_encode(message))


def try_send_message(connection: socket.socket, message: msgspec.Struct) -> bool:
    """Send one message without ever waiting; False if it was not taken whole: the connection must end."""
    data = _encode(message)
    try:
        return os.write(connection.fileno(), data) == len(data)
    except OSError:
        return False


def shut_down(connection: socket.socket) -> None:
    """End a connection; threads that wait for it wake up, and whoever opened it closes it."""
    with contextlib.suppress(OSError):
        connection.shutdown(socket.SHUT_RDWR)


def receive_message(connection: socket.socket, decoder: msgspec.msgpack.Decoder[T]) -> T:
    """Receive one message.

    Raises:
        MalformedMessageError: it is too large or none of the decoder's types.
        OSError: the connection broke, or nothing came in time.

    """
    size = _LENGTH.unpack(_receive_bytes(connection, _LENGTH.size))[0]
    if size > _MAX_MESSAGE_BYTES:
        raise MalformedMessageError(f"a message of {size} bytes is too large")
    body = _receive_bytes(connection, size)
    try:
        return decoder.decode(body)
    except msgspec.MsgspecError as error:
        raise MalformedMessageError(str(error)) from error


def _encode(message: msgspec.Struct) -> bytes:
    body = msgspec.msgpack.encode(message)
    return _LENGTH.pack(len(body)) + body


def _receive_bytes(connection: socket.socket, size: int) -> bytes:
    data = bytearray()
    while len(data) < size:
        part = connection.recv(size - len(data))
        if not part:
            raise ConnectionError("the peer closed the connection")
        data += part
    return bytes(data)
