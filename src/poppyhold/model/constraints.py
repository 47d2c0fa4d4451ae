"""Constraints of a submission on where the tasks of its job may be placed."""

from __future__ import annotations

from collections.abc import Iterable

from poppyhold.model.resources import fits, machine_type_capacity, task_resources
from poppyhold.wire.cloud_messages import MachineType
from poppyhold.wire.user_messages import Submission


def allowed_machine_types(spec: Submission, machine_types: Iterable[MachineType]) -> list[MachineType]:
    """Return the machine types that a task of a job may use and fits on."""
    need = task_resources(spec)
    return [
        machine_type
        for machine_type in machine_types
        if (spec.machine_types is None or machine_type.name in spec.machine_types)
        and fits(need, machine_type_capacity(machine_type))
        and (spec.zone is None or spec.zone in machine_type.zones)
    ]


def allows_machine(spec: Submission, machine_type: str, zone: str, spot: bool) -> bool:
    """Return whether a job's constraints allow a machine of this type, in this zone, spot or not."""
    return (
        (spec.machine_types is None or machine_type in spec.machine_types)
        and (spec.zone is None or zone == spec.zone)
        and (spec.spot or not spot)
    )


def zone_limit(spec: Submission) -> int:
    """Return the maximum number of a job's tasks in one zone."""
    return (spec.tasks + 1) // 2 if spec.spread else spec.tasks
