"""Parser of HTTP/1.1 header fields, for the server and the client."""

from __future__ import annotations

from io import BufferedIOBase

# A header may have at most this many fields, each of at most this many bytes.
_MAX_FIELDS, _MAX_FIELD_BYTES = 100, 8192


def read_fields(stream: BufferedIOBase) -> dict[str, str] | None:
    """Read header fields up to the empty line; None if there are too many or one is too long.

    The standard library parses them as an email message, which takes a third of the time of a heartbeat or
    of a request to the state service. Only a few fields are needed here.
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
