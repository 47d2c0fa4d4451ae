"""Prices of booked capacity, and what a job is worth (OASiS, section IV-B, as DESIGN adapts it)."""

from __future__ import annotations

from poppyhold.model.entities import Job
from poppyhold.model.resources import Resources
from poppyhold.options import Design


class Pricing:
    """Price functions P(g) = L * (U / L) ** (g / c), and values f(end - arrival)."""

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
        """Price of one machine's share of a resource in a slot, L when free and U when full."""
        if capacity <= 0:
            return self.max_price
        return float(self.min_price * self._ratio ** min(1.0, max(0.0, booked / capacity)))

    def unit_prices(self, booked: Resources, capacity: Resources) -> Resources:
        """Prices of a unit of each resource of a machine in a slot."""
        cpus, accelerators, memory = (
            self.price(used, total) / total if total > 0 else 0.0
            for used, total in zip(booked, capacity, strict=True)
        )
        return cpus, accelerators, memory

    def value(self, job: Job, shares: float, end_at: float, slot_s: float) -> float:
        """Value of ``shares`` machine shares booked for a job that ends then."""
        value = self.weights[job.priority] * shares
        if job.due_at is not None and end_at > job.due_at:
            value *= self._late_value ** ((end_at - job.due_at) / slot_s)
        return value


def price_of(need: Resources, unit_prices: Resources) -> float:
    """Price of what one task takes in one slot, at these prices of a unit of each resource."""
    # Literal indices, as in `model.resources.fits`: the planner asks for every machine and slot.
    return need[0] * unit_prices[0] + need[1] * unit_prices[1] + need[2] * unit_prices[2]


def machine_shares(need: Resources, capacity: Resources) -> float:
    """Machine shares of one task, summed over resources."""
    return sum(
        needed / total for needed, total in zip(need, capacity, strict=True) if needed > 0 and total > 0
    )
