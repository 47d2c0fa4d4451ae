"""The machine types known to a controller, read from the state service or the cloud."""

from __future__ import annotations

import logging
import random
import threading
from collections.abc import Iterable

from poppyhold.durable.errors import (
    ConditionFailedError,
    LeaseExpiredError,
    OutcomeUnknownError,
    StoreRejectedError,
)
from poppyhold.durable.machine_types import machine_type_writes, read_machine_types
from poppyhold.durable.store import Store
from poppyhold.node.cloud_client import CloudClient
from poppyhold.wire.cloud_messages import MachineType
from poppyhold.wire.codec import MalformedError

log = logging.getLogger(__name__)

# Minimum pause between attempts to read machine types: the state service's timeout divided by this.
_MIN_PAUSE_DIVISOR = 4
# Maximum pause, as a multiple of the minimum.
_MAX_PAUSE_RATIO = 3


class MachineCatalog:
    """Machine types by name; without them a controller can neither validate jobs nor identify machines."""

    def __init__(self, store: Store, cloud: CloudClient, max_value_bytes: int, rng: random.Random) -> None:
        self._store, self._cloud, self._rng = store, cloud, rng
        self._max_value_bytes = max_value_bytes
        self.types: dict[str, MachineType] = {}
        # The fields of each type that were last written to the state service; prices are not stored.
        self._persisted: object = None

    def await_machine_types(self, stop: threading.Event) -> None:
        """Query the state service and the cloud in turn until machine types are known or ``stop`` is set."""
        min_pause_s = self._store.timeout_s / _MIN_PAUSE_DIVISOR
        while not self.types and not stop.is_set():
            try:
                stored = read_machine_types(self._store)
                if stored is not None:
                    self.update(stored)
                    return
            except (StoreRejectedError, OutcomeUnknownError, MalformedError) as error:
                log.debug("reading machine types from the state service failed: error=%s", error)
            machine_types = self._cloud.fetch_machine_types()
            if machine_types:
                self.update(machine_types)
                return
            stop.wait(self._rng.uniform(min_pause_s, min_pause_s * _MAX_PAUSE_RATIO))

    def update(self, machine_types: Iterable[MachineType]) -> None:
        """Add or replace machine types, with their current prices."""
        self.types = {**self.types, **{machine_type.name: machine_type for machine_type in machine_types}}

    def persist(self) -> None:
        """Store the types if they have changed, for nodes that start while the cloud is unavailable."""
        persistent_fields = [
            (each.name, each.cpus, each.accelerators, each.memory_gb, tuple(each.zones))
            for each in self.types.values()
        ]
        if persistent_fields == self._persisted:
            return
        try:
            for write in machine_type_writes(self.types.values(), self._max_value_bytes):
                self._store.commit({}, [write])
            self._persisted = persistent_fields
        except (StoreRejectedError, OutcomeUnknownError, ConditionFailedError, LeaseExpiredError) as error:
            log.debug("storing machine types failed: error=%s", error)
