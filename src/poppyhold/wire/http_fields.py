"""Header fields of HTTP/1.1, for the server and the client."""

from __future__ import annotations

from io import BufferedIOBase

# Bounds of the header fields that are read.
_MAX_FIELDS, _MAX_FIELD_BYTES = 100, 8192


def read_fields(stream: BufferedIOBase) -> dict[str, str] | None:
    """Read header fields up to the empty line; None if there are too many or one is too long.

    The library's own way makes a mail message of them, which takes a third of all the time that a heartbeat
    or a request to the state service does. Only a few of them matter here.
    """
    fields: dict[str, str] = {}
    for _ in range(_MAX_FIELDS):
        line = stream.readline(_MAX_FIELD_BYTES + 1)
        if line in (b"\r\n", b"\n", b""):
            return fields
        if len(line) > _MAX_FIELD_BYTES:
            return None
        name, _, value = line.partition(b":")
        fields[str(name, "iso-8859-1").strip().lower()] = str(value, "iso-8859-1").strip()
    return None
