"""The best plan of a job: a DP over slots per end slot, and a greedy fill of each (OASiS, Alg. 2)."""

from __future__ import annotations

import math

import msgspec

from poppyhold.model.constraints import zone_limit
from poppyhold.model.entities import Job
from poppyhold.model.resources import Resources, max_copies
from poppyhold.scheduling.ledger import EVERY_SLOT, Ledger, MachineBookings, MachineGroup
from poppyhold.scheduling.pricing import Pricing, machine_shares, price_of

INFINITE = float("inf")


class Plan(msgspec.Struct, eq=False):
    """Tasks per slot and machine, with the payoff of booking them."""

    payoff: float
    starts: dict[int, dict[str, int]] = msgspec.field(default_factory=dict)

    def tasks_by_zone(self, ledger: Ledger) -> dict[int, dict[str, int]]:
        """Task counts per slot and zone: what is durable of a plan."""
        result: dict[int, dict[str, int]] = {}
        for slot, machines in self.starts.items():
            counts = result.setdefault(slot, {})
            for name, number in machines.items():
                zone = ledger.machines[name].zone
                counts[zone] = counts.get(zone, 0) + number
        return result


class Offer(msgspec.Struct, frozen=True):
    """Room for up to ``most`` tasks on a machine, at a price for each."""

    cost: float
    machine: str
    zone: str
    max_tasks: int


class Planner:
    """Computes plans against a ledger; it changes nothing."""

    def __init__(self, pricing: Pricing, ledger: Ledger, slot_s: float, units: int) -> None:
        self._pricing, self._ledger, self._slot_s, self._max_units = pricing, ledger, slot_s, units

    def span_slots(self, estimate_s: float) -> int:
        """Slots that a task with this estimate touches when it starts at a slot's begin."""
        return max(1, math.ceil(estimate_s / self._slot_s - 1e-9))

    def plan(self, job: Job, tasks: int, estimate_s: float, now: float) -> Plan | None:
        """The plan with the highest payoff, or None if there is no room for the job at all."""
        groups = self._groups(job)
        if not groups or tasks <= 0:
            return None
        shares = max(machine_shares(job.task_resources, row.capacity) for row, _ in groups)
        best: Plan | None = None
        for zone in self._candidate_zones(job, groups):
            chosen = [group for group in groups if zone is None or group[0].zone == zone]
            found = (
                self._plan_service(job, tasks, chosen, shares)
                if job.is_service
                else self._plan_array(job, tasks, estimate_s, now, chosen, shares)
            )
            if found is not None and (best is None or found.payoff > best.payoff):
                best = found
        return best

    def _groups(self, job: Job) -> list[MachineGroup]:
        """The machines that a job may use, those alike together.

        Most of a large fleet is full or empty in few ways: with a price for each machine and slot, a plan
        for 650 machines took 13 ms.
        """
        return [group for group in self._ledger.groups() if self._allowed(job, group[0])]

    def _allowed(self, job: Job, row: MachineBookings) -> bool:
        spec = job.spec
        return (
            (spec.machine_types is None or row.machine_type in spec.machine_types)
            and (spec.zone is None or row.zone == spec.zone)
            and (spec.spot or not row.spot)
        )

    def _candidate_zones(self, job: Job, groups: list[MachineGroup]) -> list[str | None]:
        if not job.spec.one_zone:
            return [None]
        held = [zone for zone, count in job.active_by_zone.items() if count > 0]
        found: list[str | None] = []
        found += held or sorted({row.zone for row, _ in groups})
        return found

    def offers(
        self, job: Job, groups: list[MachineGroup], first: int, last: int, tasks: int, part: float = 1.0
    ) -> list[Offer]:
        """Room for tasks that hold all the slots from ``first`` to ``last``, cheapest first.

        ``part`` is the part of a slot that a task takes, where several fit one after another. What a zone
        offers beyond all the tasks is left out.
        """
        need = (
            job.task_resources
            if part == 1.0
            else (job.task_resources[0] * part, job.task_resources[1] * part, job.task_resources[2] * part)
        )
        alike: list[tuple[float, str, int, MachineGroup]] = []
        for group in groups:
            most, cost = self._capacity_on(group[0], need, first, last, tasks)
            if most:
                alike.append((cost, group[1][0], most, group))
        alike.sort(key=lambda entry: entry[:2])
        found: list[Offer] = []
        offered: dict[str, int] = {}
        for cost, _, most, (row, names) in alike:
            for name in names:
                if offered.get(row.zone, 0) >= tasks:
                    break
                offered[row.zone] = offered.get(row.zone, 0) + most
                found.append(Offer(cost, name, row.zone, most))
        return found

    def _capacity_on(
        self, row: MachineBookings, need: Resources, first: int, last: int, tasks: int
    ) -> tuple[int, float]:
        """How many tasks fit on a machine in all of the slots, and the price of one."""
        most, cost = tasks, 0.0
        own_slots = [slot for slot in range(first, last + 1) if slot in row.slots] if row.slots else []
        for slot in own_slots:
            free, prices = row.free_and_prices(slot, self._pricing.unit_prices)
            most = max_copies(need, free, most)
            if not most:
                return 0, 0.0
            cost += price_of(need, prices)
        # The other slots hold nothing but what is booked in every slot.
        standing = last - first + 1 - len(own_slots)
        if standing:
            free, prices = row.free_and_prices(EVERY_SLOT, self._pricing.unit_prices)
            most = max_copies(need, free, most)
            cost += standing * price_of(need, prices)
        return most, cost

    def fill(self, job: Job, offers: list[Offer], tasks: int, held: dict[str, int]) -> dict[str, int]:
        """Greedy fill, cheapest first, within what one zone may hold; may be less than asked."""
        limit = zone_limit(job.spec)
        zones = dict(held)
        chosen: dict[str, int] = {}
        for offer in offers:
            if tasks <= 0:
                break
            take = min(tasks, offer.max_tasks, limit - zones.get(offer.zone, 0))
            if take > 0:
                chosen[offer.machine] = take
                zones[offer.zone] = zones.get(offer.zone, 0) + take
                tasks -= take
        return chosen

    def _plan_service(self, job: Job, tasks: int, groups: list[MachineGroup], shares: float) -> Plan | None:
        first, horizon = self._ledger.current_slot, self._ledger.horizon_slots
        offers = self.offers(job, groups, first, first + horizon - 1, tasks)
        chosen = self.fill(job, offers, tasks, job.active_by_zone)
        if sum(chosen.values()) < tasks:
            return None
        price = {offer.machine: offer.cost for offer in offers}
        cost = sum(price[name] * number for name, number in chosen.items())
        value = self._pricing.weights[job.priority] * shares * tasks * horizon
        return Plan(value - cost, {first: chosen})

    def _plan_array(
        self,
        job: Job,
        tasks: int,
        estimate_s: float,
        now: float,
        groups: list[MachineGroup],
        shares: float,
    ) -> Plan | None:
        first, horizon = self._ledger.current_slot, self._ledger.horizon_slots
        span = self.span_slots(estimate_s)
        part = min(1.0, max(estimate_s / self._slot_s, 0.01)) if span == 1 else 1.0
        # A gang is one unit of work: it starts whole in a slot.
        unit = tasks if job.is_gang else max(1, math.ceil(tasks / self._max_units))
        steps = math.ceil(tasks / unit)
        # What lies beyond the horizon is carried forward: the last slots take a cut-off span.
        tables: list[list[float]] = []
        offers: list[list[Offer]] = []
        for slot in range(first, first + horizon):
            last = min(slot + span - 1, first + horizon - 1)
            offered = self.offers(job, groups, slot, last, tasks, part)
            offers.append(offered)
            tables.append(self._unit_costs(job, offered, tasks, unit, steps))
        # cheapest[d]: least cost of starting d units up to the slot looked at; choices recover them.
        cheapest = [0.0] + [INFINITE] * steps
        choices: list[list[int]] = []
        best_payoff, best_end = -INFINITE, -1
        for offset, table in enumerate(tables):
            cheapest, choice = self._add_slot(cheapest, table)
            choices.append(choice)
            if cheapest[steps] < INFINITE and choice[steps]:
                end_at = now + (offset + max(part, span)) * self._slot_s
                if offset == 0:
                    end_at = now + estimate_s
                value = self._pricing.value(job, shares * tasks * span * part, end_at, self._slot_s)
                payoff = value - cheapest[steps]
                if payoff > best_payoff:
                    best_payoff, best_end = payoff, offset
        if best_end < 0:
            return None
        starts: dict[int, dict[str, int]] = {}
        left = steps
        for offset in range(best_end, -1, -1):
            here = choices[offset][left]
            if here:
                number = min(here * unit, tasks)
                chosen = self.fill(job, offers[offset], number, job.active_by_zone)
                starts[first + offset] = chosen
                left -= here
        self._trim_excess(starts, tasks)
        return Plan(best_payoff, starts)

    @staticmethod
    def _add_slot(cheapest: list[float], table: list[float]) -> tuple[list[float], list[int]]:
        """One more slot of the dynamic program: the least cost of each amount, and how much starts here."""
        following = list(cheapest)
        choice = [0] * len(cheapest)
        for done in range(1, len(cheapest)):
            for here in range(1, done + 1):
                cost = table[here]
                if cost == INFINITE:
                    break
                total = cheapest[done - here] + cost
                if total < following[done]:
                    following[done], choice[done] = total, here
        return following, choice

    def _unit_costs(self, job: Job, offers: list[Offer], tasks: int, unit: int, steps: int) -> list[float]:
        """Cost of starting 0, 1, ... units in a slot; infinite where they don't fit."""
        costs = [0.0] + [INFINITE] * steps
        chosen = self.fill(job, offers, tasks, job.active_by_zone)
        price = {offer.machine: offer.cost for offer in offers}
        total, placed, step = 0.0, 0, 1
        for name, chosen_here in chosen.items():
            number = chosen_here
            while number and step <= steps:
                goal = min(step * unit, tasks)
                take = min(number, goal - placed)
                total += take * price[name]
                placed += take
                number -= take
                if placed == goal:
                    costs[step] = total
                    step += 1
        return costs

    @staticmethod
    def _trim_excess(starts: dict[int, dict[str, int]], tasks: int) -> None:
        """Whole units may add up to more than the tasks: take the excess from the last slot."""
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
