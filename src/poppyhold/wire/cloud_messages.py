"""The cloud's protocol: machine types, the list of machines, launches and deletions."""

from __future__ import annotations

import msgspec

from poppyhold.wire import field_names as names
from poppyhold.wire.codec import Body


class MachineType(msgspec.Struct, frozen=True):
    """A machine type: resources, prices and zones of its machines."""

    name: str
    cpus: float
    accelerators: float
    memory_gb: float = msgspec.field(name=names.MEMORY_GB)
    cache_gb: float = msgspec.field(name=names.CACHE_GB)
    fetch_gb_per_s: float = msgspec.field(name=names.FETCH_GB_PER_S)
    price: float = msgspec.field(name=names.PRICE)
    spot_price: float = msgspec.field(name=names.SPOT_PRICE)
    boot_s: float = msgspec.field(name=names.BOOT_S)
    zones: list[str] = msgspec.field(name=names.ZONES)


class MachineTypes(msgspec.Struct, frozen=True):
    """GET /machine_types."""

    machine_types: list[MachineType] = msgspec.field(name=names.MACHINE_TYPES)


class ListedMachine(msgspec.Struct, frozen=True):
    """A machine in the cloud's list."""

    name: str = msgspec.field(name=names.NAME)
    machine_type: str = msgspec.field(name=names.MACHINE_TYPE)
    zone: str = msgspec.field(name=names.ZONE)
    spot: bool = msgspec.field(name=names.SPOT)
    status: str
    endpoint: str | None = None
    age_s: float = msgspec.field(name=names.AGE_S, default=0.0)


class MachineListPage(msgspec.Struct, frozen=True):
    """GET /machines: one page of the list."""

    machines: list[ListedMachine] = msgspec.field(name=names.MACHINES)
    more: bool = False


class MachineListing(msgspec.Struct, frozen=True):
    """All pages of the cloud's list, and when the first was requested, on this node's monotonic clock.

    Reading all pages takes time, and the contents may be older than ``began_at`` by the cloud's lag.
    """

    machines: list[ListedMachine]
    began_at: float


class LaunchRequest(Body, frozen=True):
    """POST /machines: a launch; its request ID makes retries idempotent."""

    request_id: str = msgspec.field(name=names.LAUNCH_REQUEST_ID)
    machine_type: str = msgspec.field(name=names.MACHINE_TYPE)
    zone: str = msgspec.field(name=names.ZONE)
    spot: bool = msgspec.field(name=names.SPOT)
    number: int


class DeletionRequest(Body, frozen=True):
    """POST /machines/delete."""

    machines: list[str] = msgspec.field(name=names.MACHINES)


class LaunchResponse(msgspec.Struct, frozen=True):
    """The response to POST /machines."""

    machines: list[str] = msgspec.field(name=names.MACHINES)
