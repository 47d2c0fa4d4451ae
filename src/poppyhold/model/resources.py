"""Amounts of resources of tasks and machines, and arithmetic on them."""

from __future__ import annotations

import math
from typing import Final

from poppyhold.wire.cloud_messages import MachineType
from poppyhold.wire.message_limits import MAX_ATTEMPT_DIGITS, MAX_STARTED_ENTRIES_BYTES, max_entry_bytes
from poppyhold.wire.user_messages import Submission

# Amounts of cpus, accelerators, memory in GB and bytes of the heartbeat, at the indices below. The last is a
# resource of a machine like the others, as its heartbeat has to list all tasks (`wire.message_limits`). This
# is a plain tuple because the interpreter has fast paths for indexing and building exact tuples only: as a
# NamedTuple, ``fits`` takes 1.6 times as long and ``add_scaled`` 2.9 times, and each scheduling cycle calls
# them for every machine.
Resources = tuple[float, float, float, float]
CPUS: Final = 0
ACCELERATORS: Final = 1
MEMORY_GB: Final = 2
HEARTBEAT_BYTES: Final = 3

NO_RESOURCES: Resources = (0.0, 0.0, 0.0, 0.0)
# Tolerance for rounding errors in sums of amounts.
EPSILON = 1e-6


def fits(need: Resources, free: Resources) -> bool:
    """Whether ``need`` fits into ``free``."""
    # Literal indices, in the order of the constants: reading the constants takes a tenth longer.
    return (
        need[0] <= free[0] + EPSILON
        and need[1] <= free[1] + EPSILON
        and need[2] <= free[2] + EPSILON
        and need[3] <= free[3] + EPSILON
    )


def max_copies(need: Resources, free: Resources, limit: int) -> int:
    """How many times ``need`` fits into ``free``, at most ``limit``."""
    for needed, available in zip(need, free, strict=True):
        if needed > 0 and available != math.inf:
            limit = min(limit, int((available + EPSILON) / needed))
    return max(0, limit)


def add_scaled(base: Resources, addend: Resources, factor: float = 1.0) -> Resources:
    """``base + factor * addend``, resource by resource."""
    cpus, accelerators, memory_gb, heartbeat_bytes = base
    more_cpus, more_accelerators, more_memory_gb, more_bytes = addend
    return (
        cpus + factor * more_cpus,
        accelerators + factor * more_accelerators,
        memory_gb + factor * more_memory_gb,
        heartbeat_bytes + factor * more_bytes,
    )


def machine_type_capacity(machine_type: MachineType) -> Resources:
    """All the resources of a machine of this type."""
    hardware = machine_type.cpus, machine_type.accelerators, machine_type.memory_gb
    return (*hardware, float(MAX_STARTED_ENTRIES_BYTES))


def task_resources(spec: Submission, attempt_digits: int = MAX_ATTEMPT_DIGITS) -> Resources:
    """What one task of a job takes of its machine, if the numbers of attempts have so many digits."""
    heartbeat_bytes = max_entry_bytes(spec.name, spec.shape == "group", attempt_digits)
    return (spec.cpus, spec.accelerators, spec.memory_gb, float(heartbeat_bytes))
