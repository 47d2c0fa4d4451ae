"""Prices of booked capacity, and values of jobs (adapted from OASiS, section IV-B)."""

from __future__ import annotations

from poppyhold.model.entities import Job
from poppyhold.model.resources import ACCELERATORS, CPUS, MEMORY_GB, Resources
from poppyhold.options import Design

# The resources that have a price. The heartbeat has none: its size bounds plans, and costs nothing.
_PRICED = (CPUS, ACCELERATORS, MEMORY_GB)


class Pricing:
    """Prices P(g) = L * (U / L) ** (g / c) for g booked of capacity c, and values of jobs by their end."""

    def __init__(self, design: Design) -> None:
        self.weights = (
            design.weight_critical,
            design.weight_high,
            design.weight_standard,
            design.weight_best_effort,
        )
        self.min_price = min(self.weights) * design.lowest_price
        self.max_price = max(self.weights)
        self._ratio = self.max_price / self.min_price
        self._late_value = design.late_value

    def price(self, booked: float, capacity: float) -> float:
        """Return the price of a machine's whole capacity of a resource in a slot: L if free, U if full."""
        if capacity <= 0:
            return self.max_price
        return float(self.min_price * self._ratio ** min(1.0, max(0.0, booked / capacity)))

    def unit_prices(self, booked: Resources, capacity: Resources) -> Resources:
        """Return the unit price of each resource of a machine in a slot."""
        cpus, accelerators, memory = (
            self.price(booked[index], capacity[index]) / capacity[index] if capacity[index] > 0 else 0.0
            for index in _PRICED
        )
        return cpus, accelerators, memory, 0.0

    def value(self, job: Job, shares: float, end_at: float, slot_s: float) -> float:
        """Return the value of ``shares`` machine shares for a job that ends at ``end_at``, less if late."""
        value = self.weights[job.priority] * shares
        if job.due_at is not None and end_at > job.due_at:
            value *= self._late_value ** ((end_at - job.due_at) / slot_s)
        return value


def price_of(need: Resources, unit_prices: Resources) -> float:
    """Return the price of one task in one slot at these unit prices."""
    # Literal indices for speed, as in `model.resources.fits`: called for every machine and slot.
    return need[0] * unit_prices[0] + need[1] * unit_prices[1] + need[2] * unit_prices[2]


def machine_shares(need: Resources, capacity: Resources) -> float:
    """Return the shares of a machine's capacity that one task takes, summed over resources."""
    return sum(need[index] / capacity[index] for index in _PRICED if need[index] > 0 and capacity[index] > 0)
