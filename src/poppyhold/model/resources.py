"""Amounts of resources: what a task takes, what a machine has, and arithmetic on both."""

from __future__ import annotations

import math

from poppyhold.wire.cloud_messages import MachineType

# Amounts of cpus, accelerators and memory, in this order.
Resources = tuple[float, float, float]
NO_RESOURCES: Resources = (0.0, 0.0, 0.0)
# Sums of amounts may be off by rounding errors.
EPSILON = 1e-6


def fits(need: Resources, free: Resources) -> bool:
    """Whether ``need`` fits into ``free``."""
    return need[0] <= free[0] + EPSILON and need[1] <= free[1] + EPSILON and need[2] <= free[2] + EPSILON


def max_copies(need: Resources, free: Resources, most: int) -> int:
    """How many times ``need`` fits into ``free``, at most ``most``."""
    for want, have in zip(need, free, strict=True):
        if want > 0 and have != math.inf:
            most = min(most, int((have + EPSILON) / want))
    return max(0, most)


def add_scaled(a: Resources, b: Resources, times: float = 1.0) -> Resources:
    """``a + times * b``."""
    return (a[0] + times * b[0], a[1] + times * b[1], a[2] + times * b[2])


def machine_type_capacity(machine_type: MachineType) -> Resources:
    """All the room of a machine type."""
    return (machine_type.cpus, machine_type.accelerators, machine_type.memory_gb)
