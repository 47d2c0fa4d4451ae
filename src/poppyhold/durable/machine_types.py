"""The durable copy of the cloud's machine types, for nodes that start while the cloud is unavailable."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from poppyhold.durable.changes import Put, put_record
from poppyhold.durable.keys import MACHINE_TYPES_KEY, MORE_MACHINE_TYPES_PREFIX
from poppyhold.durable.prefix_reader import PrefixReader
from poppyhold.durable.store import Store, stored_bytes
from poppyhold.wire.cloud_messages import MachineType, MachineTypes
from poppyhold.wire.codec import convert


def machine_type_writes(machine_types: Iterable[MachineType], max_bytes: int) -> list[Put]:
    """The writes that store machine types: as many in the first record as fit, the rest in further ones."""
    batches: list[list[MachineType]] = []
    batch: list[MachineType] = []
    for machine_type in machine_types:
        if batch and _record_bytes([*batch, machine_type]) > max_bytes:
            batches.append(batch)
            batch = []
        batch.append(machine_type)
    batches.append(batch)
    keys = [MACHINE_TYPES_KEY, *(f"{MORE_MACHINE_TYPES_PREFIX}{number}" for number in range(1, len(batches)))]
    return [put_record(key, MachineTypes(batch)) for key, batch in zip(keys, batches, strict=True)]


def _record_bytes(machine_types: list[MachineType]) -> int:
    return stored_bytes(msgspec.to_builtins(MachineTypes(machine_types)))


def read_machine_types(store: Store) -> list[MachineType] | None:
    """The stored machine types, or None if none were stored yet."""
    first = store.get(MACHINE_TYPES_KEY)
    if first is None:
        return None
    records = [first, *PrefixReader(store, MORE_MACHINE_TYPES_PREFIX).read()]
    return [each for record in records for each in convert(record.data, MachineTypes).machine_types]
