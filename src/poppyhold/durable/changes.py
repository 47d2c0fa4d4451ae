"""Changes of keys: the writes of a transaction, and the events of a watch."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any, NamedTuple

import msgspec

from poppyhold.wire import field_names as names

Data = dict[str, Any]


class Put(msgspec.Struct, frozen=True, omit_defaults=True):
    """A write that sets a key. A key on a lease is deleted when the lease expires or is revoked."""

    key: str = msgspec.field(name=names.PUT_KEY)
    data: Data
    lease_id: int | None = msgspec.field(name=names.LEASE_ID, default=None)


class Delete(msgspec.Struct, frozen=True):
    """A write that deletes a key."""

    key: str = msgspec.field(name=names.DELETED_KEY)


Write = Put | Delete


class Entry(NamedTuple):
    """A key with its data and the revision of its last change."""

    key: str
    data: Data
    revision: int


class DeletedKey(NamedTuple):
    """A deleted key, and the revision of its deletion."""

    key: str
    revision: int


# An event of a watch: a key was set or deleted.
WatchEvent = Entry | DeletedKey


def put_record(key: str, record: msgspec.Struct, lease_id: int | None = None) -> Put:
    """Build the write that sets a key to a record, in its stored form."""
    return Put(key, msgspec.to_builtins(record), lease_id)


def encode_writes(writes: Iterable[Write]) -> list[Data]:
    """Encode the writes of a transaction for the state service."""
    encoded: list[Data] = msgspec.to_builtins(list(writes))
    return encoded


def decode_event(event: Data) -> WatchEvent:
    """Decode a watch event of the state service."""
    if names.PUT_KEY in event:
        return Entry(event[names.PUT_KEY], event["data"], event[names.KEY_REVISION])
    return DeletedKey(event[names.DELETED_KEY], event[names.KEY_REVISION])


def decode_entry(entry: Data) -> Entry:
    """Decode an entry of a page of the state service."""
    return Entry(entry["key"], entry["data"], entry[names.KEY_REVISION])
