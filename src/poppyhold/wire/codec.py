"""Codec of the external protocols' bodies: CBOR maps, validated against message types."""

from __future__ import annotations

from typing import Any, TypeVar

import cbor2
import msgspec

# The protocol's limit on requests, and on responses to workers and users; it counts the JSON form.
MAX_BODY_BYTES = 64 * 1024
# Heartbeats are accepted up to this size. A machine with too many tasks, started by an earlier version, would
# otherwise lose its lease and all of them. A message between controllers can hold one of this size.
MAX_ACCEPTED_HEARTBEAT_BYTES = 8 * MAX_BODY_BYTES
# What a response repeats at most of the reason why a message is malformed.
_MAX_REASON_CHARACTERS = 200

T = TypeVar("T")


class MalformedError(Exception):
    """A body violates the protocol; sending it again will not help."""


class Body(msgspec.Struct, frozen=True):
    """Base of message types that are sent as the body of a request or a response."""

    def body(self) -> dict[str, Any]:
        """Return the map to be encoded."""
        body: dict[str, Any] = msgspec.to_builtins(self)
        return body


def encode(body: object) -> bytes:
    """Encode a body as CBOR."""
    return cbor2.dumps(body)


def decode(body: bytes) -> dict[str, Any]:
    """Decode a body, which must be a CBOR map.

    Raises:
        MalformedError: it is not CBOR, or not a map.

    """
    try:
        value = cbor2.loads(body)
    except Exception as error:  # cbor2 raises many types on malformed input
        raise MalformedError("not CBOR") from error
    if not isinstance(value, dict):
        raise MalformedError("not a map")
    return value


def convert(value: object, kind: type[T]) -> T:
    """Convert a decoded body to a message type.

    Raises:
        MalformedError: a field is missing or has the wrong type.

    """
    try:
        return msgspec.convert(value, kind)
    except (msgspec.ValidationError, OverflowError, RecursionError, TypeError) as error:
        # The text may repeat a value of the message, and is sent in the response.
        raise MalformedError(str(error)[:_MAX_REASON_CHARACTERS]) from error
