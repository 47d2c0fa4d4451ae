"""The durable copy of the cloud's machine types, for nodes that start while the cloud is away."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from poppyhold.durable.keys import MACHINE_TYPES_KEY, MORE_MACHINE_TYPES_PREFIX
from poppyhold.durable.prefix_reader import PrefixReader
from poppyhold.durable.store import Data, Store, put, stored_bytes
from poppyhold.wire.cloud_messages import MachineType, MachineTypes
from poppyhold.wire.codec import convert


def machine_type_records(machine_types: Iterable[MachineType], most_bytes: int) -> list[Data]:
    """The writes that make machine types durable: as many in the first record as fit, the rest in more."""
    records: list[Data] = []
    held: list[Data] = []
    for machine_type in machine_types:
        data: Data = msgspec.to_builtins(machine_type)
        if held and stored_bytes({"builds": [*held, data]}) > most_bytes:
            records.append({"builds": held})
            held = []
        held.append(data)
    records.append({"builds": held})
    keys = [MACHINE_TYPES_KEY, *(f"{MORE_MACHINE_TYPES_PREFIX}{number}" for number in range(1, len(records)))]
    return [put(key, record) for key, record in zip(keys, records, strict=True)]


def read_machine_types(store: Store) -> list[MachineType] | None:
    """The stored machine types, or None if none were stored yet."""
    first = store.get(MACHINE_TYPES_KEY)
    if first is None:
        return None
    records = [first, *PrefixReader(store, MORE_MACHINE_TYPES_PREFIX).read()]
    return [known for record in records for known in convert(record.data, MachineTypes).machine_types]
