"""The durable records of the core, a struct for each family of keys.

Their stored names are those of every version: fields are only added, with defaults.
"""

from __future__ import annotations

import msgspec

from poppyhold.wire.cloud_messages import MachineType


class MachineRecord(msgspec.Struct, frozen=True):
    """A machine that may hold tasks."""

    endpoint: str
    machine_type: MachineType = msgspec.field(name="build")
    zone: str = msgspec.field(name="paddock")
    spot: bool = msgspec.field(name="loaners")


class LaunchRecord(msgspec.Struct, frozen=True):
    """A rental request, and its machines' names once they are known."""

    machine_type: str = msgspec.field(name="build")
    zone: str = msgspec.field(name="paddock")
    spot: bool = msgspec.field(name="loaners")
    number: int
    machines: list[str] | None = msgspec.field(name="boxes", default=None)


class PlanRecord(msgspec.Struct, frozen=True):
    """That tasks of a job may start: counts per slot and zone. With no slots, on spare room alone."""

    slots: dict[str, dict[str, int]] = msgspec.field(name="s")
    # The job fails on every machine, as far as one can tell.
    at_fault: bool = msgspec.field(name="x", default=False)


class CompletionsRecord(msgspec.Struct, frozen=True):
    """Completed tasks of a stretch of a job: a bit each, the first the lowest, in hexadecimal."""

    bits: str = msgspec.field(name="d")
