"""Messages between controllers: tagged msgspec arrays in MessagePack, each preceded by its length."""

from __future__ import annotations

import contextlib
import socket
import struct
from typing import TypeVar

import msgspec

_LENGTH = struct.Struct("!I")
MAX_MESSAGE_BYTES = 1 << 20
# What entries of a message with many of them may take in JSON form. The rest is for other fields, and for
# entries that are larger in MessagePack.
MAX_MESSAGE_ENTRIES_BYTES = MAX_MESSAGE_BYTES // 2

T = TypeVar("T")


class MalformedMessageError(ValueError):
    """The received bytes are no message of the protocol: the connection must be closed."""


def open_connection(address: tuple[str, int], timeout_s: float) -> socket.socket:
    """Open a connection for messages, with TCP_NODELAY so that small ones are sent without delay.

    Raises:
        OSError: the peer cannot be reached within the timeout, which also applies to each later operation.

    """
    connection = socket.create_connection(address, timeout=timeout_s)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return connection


def send_message(connection: socket.socket, message: msgspec.Struct) -> None:
    """Send one message.

    Raises:
        OSError: the connection was lost, or the send timed out.

    """
    connection.sendall(encode_message(message))


def shut_down(connection: socket.socket) -> None:
    """Shut a connection down: threads blocked on it wake up. Its owner still has to close it."""
    with contextlib.suppress(OSError):
        connection.shutdown(socket.SHUT_RDWR)


def receive_message(connection: socket.socket, decoder: msgspec.msgpack.Decoder[T]) -> T:
    """Receive one message.

    Raises:
        MalformedMessageError: it is too large, or not of the decoder's types.
        OSError: the connection was lost, or the receive timed out.

    """
    size = _LENGTH.unpack(_receive_bytes(connection, _LENGTH.size))[0]
    if size > MAX_MESSAGE_BYTES:
        raise MalformedMessageError(f"message of {size} bytes exceeds the limit of 1 MiB")
    body = _receive_bytes(connection, size)
    try:
        return decoder.decode(body)
    except msgspec.MsgspecError as error:
        raise MalformedMessageError(str(error)) from error


def encode_message(message: msgspec.Struct) -> bytes:
    """Encode one message, with its length before it."""
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
