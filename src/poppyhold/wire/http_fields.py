"""Header fields of HTTP/1.1, for the server and the client."""

from __future__ import annotations

from io import BufferedIOBase

# Bounds of what a head may hold.
_MOST_FIELDS, _LONGEST_FIELD = 100, 8192


def read_fields(stream: BufferedIOBase) -> dict[str, str] | None:
    """Read header fields up to the empty line; None if there are too many or one is too long.

    The library's own way makes a mail message of them, which takes a third of all the time that a report or
    a question to the state service does. Only a few of them matter here.
    """
    fields: dict[str, str] = {}
    for _ in range(_MOST_FIELDS):
        line = stream.readline(_LONGEST_FIELD + 1)
        if line in (b"\r\n", b"\n", b""):
            return fields
        if len(line) > _LONGEST_FIELD:
            return None
        name, _, value = line.partition(b":")
        fields[str(name, "iso-8859-1").strip().lower()] = str(value, "iso-8859-1").strip()
    return None
