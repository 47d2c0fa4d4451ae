"""Codec of the external protocols' bodies: CBOR maps, validated against message types."""

from __future__ import annotations

from typing import Any, TypeVar

import cbor2
import msgspec

MAX_BODY_BYTES = 64 * 1024

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
        raise MalformedError(str(error)) from error
