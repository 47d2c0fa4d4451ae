"""Planning of a job: a dynamic program over slots, and a greedy fill of each slot (OASiS, Alg. 2)."""

from __future__ import annotations

import math
from typing import NamedTuple

import msgspec

from poppyhold.model.constraints import allows_machine, zone_limit
from poppyhold.model.entities import Job
from poppyhold.model.resources import ACCELERATORS, CPUS, HEARTBEAT_BYTES, MEMORY_GB, Resources, max_copies
from poppyhold.scheduling.ledger import EVERY_SLOT, Ledger, MachineBookings, MachineGroup
from poppyhold.scheduling.pricing import Pricing, machine_shares, price_of

INFINITE_COST = float("inf")
# Lower bound of the fraction of a slot that a task takes.
_MIN_SLOT_FRACTION = 0.01
# A span that ends within this much after a slot's end does not touch the next slot.
_ROUNDING_TOLERANCE_SLOTS = 1e-9


class Plan(msgspec.Struct, eq=False):
    """Task starts by slot and machine, and the payoff of the plan."""

    payoff: float
    starts: dict[int, dict[str, int]] = msgspec.field(default_factory=dict)

    def tasks_by_zone(self, ledger: Ledger) -> dict[int, dict[str, int]]:
        """Return task counts by slot and zone, as plan records hold them."""
        result: dict[int, dict[str, int]] = {}
        for slot, machines in self.starts.items():
            counts = result.setdefault(slot, {})
            for name, number in machines.items():
                zone = ledger.machines[name].zone
                counts[zone] = counts.get(zone, 0) + number
        return result


class Offer(msgspec.Struct, frozen=True):
    """Capacity for up to ``max_tasks`` tasks on a machine; ``cost`` is that of one task in all its slots."""

    cost: float
    machine: str
    zone: str
    max_tasks: int


class _GroupOffer(NamedTuple):
    """Like `Offer`, for each machine of a group."""

    cost: float
    first_machine: str
    max_tasks: int
    group: MachineGroup


class _WorkUnits(NamedTuple):
    """The tasks of a job divided into work units for the dynamic program; the last may be partial."""

    tasks: int
    tasks_per_unit: int
    unit_count: int


class Planner:
    """Computes plans from a ledger without changing it."""

    def __init__(self, pricing: Pricing, ledger: Ledger, slot_s: float, max_units: int) -> None:
        self._pricing, self._ledger, self._slot_s, self._max_units = pricing, ledger, slot_s, max_units

    def span_slots(self, estimate_s: float) -> int:
        """Return the number of slots of a task with this estimate that starts at the start of a slot."""
        return max(1, math.ceil(estimate_s / self._slot_s - _ROUNDING_TOLERANCE_SLOTS))

    def plan(self, job: Job, tasks: int, estimate_s: float, now: float) -> Plan | None:
        """Return the plan with the highest payoff, or None if the job does not fit at all."""
        groups = self._groups(job)
        if not groups or tasks <= 0:
            return None
        machine_shares_per_task = max(
            machine_shares(job.task_resources, group.bookings.capacity) for group in groups
        )
        best: Plan | None = None
        for zone in self._candidate_zones(job, groups):
            in_zone = [group for group in groups if zone is None or group.bookings.zone == zone]
            found = (
                self._plan_service(job, tasks, in_zone, machine_shares_per_task)
                if job.is_service
                else self._plan_array(job, tasks, estimate_s, now, in_zone, machine_shares_per_task)
            )
            if found is not None and (best is None or found.payoff > best.payoff):
                best = found
        return best

    def _groups(self, job: Job) -> list[MachineGroup]:
        """Return the machines that a job may use, in groups of equivalent ones.

        Most machines of a large fleet are equivalent, and pricing each of 650 machines in each slot takes
        13 ms per plan.
        """
        return [
            group
            for group in self._ledger.groups()
            if allows_machine(job.spec, group.bookings.machine_type, group.bookings.zone, group.bookings.spot)
        ]

    def _candidate_zones(self, job: Job, groups: list[MachineGroup]) -> list[str | None]:
        """Return the zones to make a plan for each; None stands for one plan across all zones.

        The active tasks of a one-zone job keep it in their zone.
        """
        if not job.spec.one_zone:
            return [None]
        occupied = [zone for zone, count in job.active_by_zone.items() if count > 0]
        zones: list[str | None] = []
        zones += occupied or sorted({group.bookings.zone for group in groups})
        return zones

    def offers(
        self,
        job: Job,
        groups: list[MachineGroup],
        first: int,
        last: int,
        tasks: int,
        slot_fraction: float = 1.0,
    ) -> list[Offer]:
        """Return offers for tasks that take the slots ``first`` to ``last``, cheapest first.

        Tasks are priced and placed as if they needed ``slot_fraction`` of their resources for the whole slot:
        several short ones can run one after another.
        Offers of a zone that already offers capacity for all ``tasks`` are omitted.
        """
        need = job.task_resources
        if slot_fraction != 1.0:
            need = (
                need[CPUS] * slot_fraction,
                need[ACCELERATORS] * slot_fraction,
                need[MEMORY_GB] * slot_fraction,
                need[HEARTBEAT_BYTES] * slot_fraction,
            )
        group_offers: list[_GroupOffer] = []
        for group in groups:
            max_tasks, cost = self._capacity_on(group.bookings, need, first, last, tasks)
            if max_tasks:
                group_offers.append(_GroupOffer(cost, group.names[0], max_tasks, group))
        group_offers.sort(key=lambda offer: offer[:2])
        offers: list[Offer] = []
        offered_by_zone: dict[str, int] = {}
        for cost, _, max_tasks, (bookings, names) in group_offers:
            zone = bookings.zone
            for name in names:
                if offered_by_zone.get(zone, 0) >= tasks:
                    break
                offered_by_zone[zone] = offered_by_zone.get(zone, 0) + max_tasks
                offers.append(Offer(cost, name, zone, max_tasks))
        return offers

    def _capacity_on(
        self, machine: MachineBookings, need: Resources, first: int, last: int, tasks: int
    ) -> tuple[int, float]:
        """Return how many tasks fit on a machine in all of the slots, and the cost of one in all."""
        max_tasks, cost = tasks, 0.0
        own_slots: list[int] = []
        if machine.slots:
            own_slots = [slot for slot in range(first, last + 1) if slot in machine.slots]
        for slot in own_slots:
            free, prices = machine.free_and_prices(slot, self._pricing.unit_prices)
            max_tasks = max_copies(need, free, max_tasks)
            if not max_tasks:
                return 0, 0.0
            cost += price_of(need, prices)
        # Slots without bookings of their own have only those made for `EVERY_SLOT`, and cost the same.
        other_slots = last - first + 1 - len(own_slots)
        if other_slots:
            free, prices = machine.free_and_prices(EVERY_SLOT, self._pricing.unit_prices)
            max_tasks = max_copies(need, free, max_tasks)
            cost += other_slots * price_of(need, prices)
        return max_tasks, cost

    def fill(self, job: Job, offers: list[Offer], tasks: int) -> dict[str, int]:
        """Return task counts by machine, filled greedily within the zone limit; maybe less than ``tasks``."""
        limit = zone_limit(job.spec)
        tasks_by_zone = dict(job.active_by_zone)
        tasks_by_machine: dict[str, int] = {}
        for offer in offers:
            if tasks <= 0:
                break
            count = min(tasks, offer.max_tasks, limit - tasks_by_zone.get(offer.zone, 0))
            if count > 0:
                tasks_by_machine[offer.machine] = count
                tasks_by_zone[offer.zone] = tasks_by_zone.get(offer.zone, 0) + count
                tasks -= count
        return tasks_by_machine

    def _plan_service(
        self, job: Job, tasks: int, groups: list[MachineGroup], machine_shares_per_task: float
    ) -> Plan | None:
        """Return the plan that starts all replicas in the current slot and books the whole horizon."""
        first, horizon = self._ledger.current_slot, self._ledger.horizon_slots
        offers = self.offers(job, groups, first, first + horizon - 1, tasks)
        chosen = self.fill(job, offers, tasks)
        if sum(chosen.values()) < tasks:
            return None
        cost_by_machine = {offer.machine: offer.cost for offer in offers}
        cost = sum(cost_by_machine[name] * count for name, count in chosen.items())
        value = self._pricing.weights[job.priority] * machine_shares_per_task * tasks * horizon
        return Plan(value - cost, {first: chosen})

    def _plan_array(
        self,
        job: Job,
        tasks: int,
        estimate_s: float,
        now: float,
        groups: list[MachineGroup],
        machine_shares_per_task: float,
    ) -> Plan | None:
        """Return the best plan, by a dynamic program over slots and the work units that start in each."""
        span = self.span_slots(estimate_s)
        slot_fraction = min(1.0, max(estimate_s / self._slot_s, _MIN_SLOT_FRACTION)) if span == 1 else 1.0
        units = self._units(job, tasks)
        offers = self._offers_by_slot(job, groups, span, tasks, slot_fraction)
        costs_by_slot = [self._unit_costs(job, offered, units) for offered in offers]
        # cheapest[n]: least cost of starting n units in the slots so far; choices[s][n]: how many of n
        # units in the slots up to s start in s. `_starts` derives the plan from the choices.
        cheapest = [0.0] + [INFINITE_COST] * units.unit_count
        choices: list[list[int]] = []
        best_payoff, best_last_offset = -INFINITE_COST, -1
        for offset, unit_costs in enumerate(costs_by_slot):
            cheapest, choice = self._add_slot(cheapest, unit_costs)
            choices.append(choice)
            if cheapest[units.unit_count] < INFINITE_COST and choice[units.unit_count]:
                end_at = now + (offset + max(slot_fraction, span)) * self._slot_s
                if offset == 0:
                    end_at = now + estimate_s
                value = self._pricing.value(
                    job, machine_shares_per_task * tasks * span * slot_fraction, end_at, self._slot_s
                )
                payoff = value - cheapest[units.unit_count]
                if payoff > best_payoff:
                    best_payoff, best_last_offset = payoff, offset
        if best_last_offset < 0:
            return None
        return Plan(best_payoff, self._starts(job, offers, choices[: best_last_offset + 1], units))

    def _units(self, job: Job, tasks: int) -> _WorkUnits:
        # A gang is a single work unit, since all its tasks start in one slot.
        per_unit = tasks if job.is_gang else max(1, math.ceil(tasks / self._max_units))
        return _WorkUnits(tasks, per_unit, math.ceil(tasks / per_unit))

    def _offers_by_slot(
        self, job: Job, groups: list[MachineGroup], span: int, tasks: int, slot_fraction: float
    ) -> list[list[Offer]]:
        """Return the offers for tasks that start in each slot of the horizon.

        Spans are cut off at the end of the horizon, and their rest is not priced.
        """
        first, horizon = self._ledger.current_slot, self._ledger.horizon_slots
        end = first + horizon - 1
        return [
            self.offers(job, groups, slot, min(slot + span - 1, end), tasks, slot_fraction)
            for slot in range(first, first + horizon)
        ]

    def _unit_costs(self, job: Job, offers: list[Offer], units: _WorkUnits) -> list[float]:
        """Return the cost of starting 0, 1, ... units in a slot; infinite where they don't fit."""
        costs = [0.0] + [INFINITE_COST] * units.unit_count
        cost_by_machine = {offer.machine: offer.cost for offer in offers}
        total_cost, placed, unit = 0.0, 0, 1
        for name, chosen in self.fill(job, offers, units.tasks).items():
            remaining = chosen
            while remaining and unit <= units.unit_count:
                goal = min(unit * units.tasks_per_unit, units.tasks)
                count = min(remaining, goal - placed)
                total_cost += count * cost_by_machine[name]
                placed += count
                remaining -= count
                if placed == goal:
                    costs[unit] = total_cost
                    unit += 1
        return costs

    @staticmethod
    def _add_slot(cheapest: list[float], unit_costs: list[float]) -> tuple[list[float], list[int]]:
        """Add a slot to the dynamic program; return least costs by unit count, and units started in it."""
        updated = list(cheapest)
        choice = [0] * len(cheapest)
        for units_started in range(1, len(cheapest)):
            for units_here in range(1, units_started + 1):
                cost = unit_costs[units_here]
                if cost == INFINITE_COST:
                    break
                total_cost = cheapest[units_started - units_here] + cost
                if total_cost < updated[units_started]:
                    updated[units_started], choice[units_started] = total_cost, units_here
        return updated, choice

    def _starts(
        self, job: Job, offers: list[list[Offer]], choices: list[list[int]], units: _WorkUnits
    ) -> dict[int, dict[str, int]]:
        """Return tasks by slot and machine from the unit counts that the dynamic program chose."""
        starts: dict[int, dict[str, int]] = {}
        remaining = units.unit_count
        for offset in range(len(choices) - 1, -1, -1):
            units_here = choices[offset][remaining]
            if units_here:
                count = min(units_here * units.tasks_per_unit, units.tasks)
                starts[self._ledger.current_slot + offset] = self.fill(job, offers[offset], count)
                remaining -= units_here
        self._trim_excess(starts, units.tasks)
        return starts

    @staticmethod
    def _trim_excess(starts: dict[int, dict[str, int]], tasks: int) -> None:
        """Remove the tasks by which whole work units exceed the job, from the last slots first."""
        excess = sum(sum(machines.values()) for machines in starts.values()) - tasks
        for slot in sorted(starts, reverse=True):
            for name in list(starts[slot]):
                if excess <= 0:
                    return
                cut = min(excess, starts[slot][name])
                starts[slot][name] -= cut
                excess -= cut
                if not starts[slot][name]:
                    del starts[slot][name]
