"""Reads single fields from the beginning of a CBOR body that is too large to be read whole."""

from __future__ import annotations

import io

import cbor2

# Initial bytes of CBOR maps: with up to 23 entries; with a count of one, two or four bytes, or without one.
_SMALL_MAP, _MAX_SMALL_ENTRIES = 0xA0, 23
_COUNT_BYTES_OF_MAP = {0xB8: 1, 0xB9: 2, 0xBA: 4, 0xBF: 0}
# No message of the protocols has as many fields.
_MAX_FIELDS = 64


def text_field(beginning: bytes, name: str) -> str | None:
    """Return a text field of a map of which only the beginning is known; None if it is not within that."""
    if not beginning:
        return None
    stream = io.BytesIO(beginning)
    initial = stream.read(1)[0]
    if not _SMALL_MAP <= initial <= _SMALL_MAP + _MAX_SMALL_ENTRIES:
        if initial not in _COUNT_BYTES_OF_MAP:
            return None
        stream.read(_COUNT_BYTES_OF_MAP[initial])
    decoder = cbor2.CBORDecoder(stream)
    try:
        for _ in range(_MAX_FIELDS):
            key, value = decoder.decode(), decoder.decode()
            if key == name:
                return value if isinstance(value, str) else None
    except Exception:  # noqa: BLE001 (cbor2 raises many types on malformed or incomplete input)
        return None
    return None
