"""Demand for capacity, and held and expected capacity: the two sides of scaling out."""

from __future__ import annotations

import msgspec

from poppyhold.model.entities import Job, Machine
from poppyhold.model.resources import Resources
from poppyhold.wire.cloud_messages import MachineType
from poppyhold.wire.user_messages import Submission


class Demand(msgspec.Struct, eq=False):
    """Tasks with equal needs that lack capacity."""

    spec: Submission
    need: Resources
    tasks: int
    zones: dict[str, int]
    is_forecast: bool = False
    # The only zone that may be used, if all tasks have to be in one.
    required_zone: str | None = None


class CapacitySlot(msgspec.Struct, eq=False):
    """Free capacity of a machine that is held or expected; ``machine`` is None before it has a name."""

    machine: Machine | None
    machine_type: MachineType
    zone: str
    spot: bool
    free: Resources
    used: bool = False


def slot_of(machine: Machine) -> CapacitySlot:
    """Return the free capacity of a machine that is held."""
    return CapacitySlot(
        machine, machine.machine_type, machine.zone, machine.spot, machine.free, bool(machine.attempts)
    )


def demand_of(job: Job, limit: int) -> Demand:
    """Return the demand of a job's pending tasks, of at most ``limit`` of them."""
    return Demand(job.spec, job.task_resources, min(job.pending, limit), dict(job.active_by_zone))
