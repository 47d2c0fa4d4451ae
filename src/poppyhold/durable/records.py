"""The durable records, a struct for each family of keys (`durable.keys`).

Their stored names are the same in every version: fields are only added, with defaults.
"""

from __future__ import annotations

import msgspec

from poppyhold.durable.changes import Delete, Write, put_record
from poppyhold.durable.keys import ACTIVE_JOB_PREFIX, FINAL_JOB_PREFIX
from poppyhold.wire import field_names as names
from poppyhold.wire.cloud_messages import MachineType


class LeaderRecord(msgspec.Struct, frozen=True):
    """Which controller leads, with its fencing token and the lease that the key is on."""

    member: str
    fencing_token: int = msgspec.field(name=names.FENCING_TOKEN)
    lease_id: int = msgspec.field(name=names.LEASE_ID)


class FencingTokenRecord(msgspec.Struct, frozen=True):
    """The highest fencing token that is reserved for a leader: the next one begins above it."""

    fencing_token: int = msgspec.field(name=names.FENCING_TOKEN)


class WriteFenceRecord(msgspec.Struct, frozen=True):
    """The write fence: only the revision of its key matters; the previous one is stored for diagnosis."""

    previous_revision: int = msgspec.field(name="behind")


class FinalRecord(msgspec.Struct, frozen=True):
    """A job's final state, with the number of its tasks."""

    status: str = msgspec.field(name="s")
    tasks: int = msgspec.field(name="n")


class MachineRecord(msgspec.Struct, frozen=True):
    """A machine that may hold tasks."""

    endpoint: str
    machine_type: MachineType = msgspec.field(name=names.MACHINE_TYPE)
    zone: str = msgspec.field(name=names.ZONE)
    spot: bool = msgspec.field(name=names.SPOT)


class LaunchRecord(msgspec.Struct, frozen=True):
    """A launch request, with the names of its machines once they are known."""

    machine_type: str = msgspec.field(name=names.MACHINE_TYPE)
    zone: str = msgspec.field(name=names.ZONE)
    spot: bool = msgspec.field(name=names.SPOT)
    number: int
    machines: list[str] | None = msgspec.field(name=names.MACHINES, default=None)


class PlanRecord(msgspec.Struct, frozen=True):
    """Allows tasks of a job to start: numbers per slot and zone; without slots, only on spare capacity."""

    slots: dict[str, dict[str, int]] = msgspec.field(name="s")
    # Whether the job appears to fail on every machine.
    at_fault: bool = msgspec.field(name="x", default=False)


class CompletionsRecord(msgspec.Struct, frozen=True):
    """Completed tasks of a range of a job: a bit set in hexadecimal, the first task in the lowest bit."""

    bits: str = msgspec.field(name="d")


def final_writes(job_id: str, status: str, tasks: int) -> list[Write]:
    """The writes that move a job's record from the active jobs to the final ones.

    The job's plan has no effect without an active job: the leader deletes it once its watch delivers this.
    """
    return [
        Delete(ACTIVE_JOB_PREFIX + job_id),
        put_record(FINAL_JOB_PREFIX + job_id, FinalRecord(status, tasks)),
    ]
