"""Placement of all tasks of a gang at once: on few machines, with the image, in one zone if requested."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import NamedTuple

import msgspec

from poppyhold.model.constraints import zone_limit
from poppyhold.model.entities import Attempt, Job, Machine
from poppyhold.model.resources import (
    ACCELERATORS,
    CPUS,
    HEARTBEAT_BYTES,
    MEMORY_GB,
    NO_RESOURCES,
    Resources,
    add_scaled,
    max_copies,
)
from poppyhold.scheduling.eligibility import image_wait_s, may_use
from poppyhold.scheduling.placement import Placement, PlacementChoice


class GangOption(NamedTuple):
    """A machine, and the number of a gang's tasks that fit on it."""

    tasks: int
    machine: Machine


class GangCandidate(msgspec.Struct, frozen=True):
    """Machines for all tasks, in the order of the starts, and whether accelerators may become unusable."""

    strands_accelerators: bool
    machines: list[Machine]

    def sort_key(self) -> tuple[bool, int]:
        """Return the key by which candidates compare: lower is preferred."""
        return self.strands_accelerators, len({machine.name for machine in self.machines})


def host_resources_per_accelerator(jobs: Iterable[Job]) -> Resources:
    """Return the most CPUs and memory per accelerator that a task of these jobs takes."""
    cpus = memory = 0.0
    for job in jobs:
        accelerators = job.task_resources[ACCELERATORS]
        if accelerators > 0:
            cpus = max(cpus, job.task_resources[CPUS] / accelerators)
            memory = max(memory, job.task_resources[MEMORY_GB] / accelerators)
    return cpus, 0.0, memory, 0.0


class GangPreemption(msgspec.Struct, eq=False):
    """The number of tasks that fit on a machine once the victims are stopped."""

    machine: Machine
    count: int
    victims: list[Attempt]
    # Cost of preempting the victims in seconds, per started task.
    cost_s: float


class _PreemptionPlan(NamedTuple):
    """Machines for all pending tasks of a gang, and the cost in seconds of the preemptions for them."""

    cost_s: float
    choices: list[PlacementChoice]


class GangPlacement:
    """Chooses machines for gangs within one scheduling cycle."""

    def __init__(self, placement: Placement) -> None:
        self._placement = placement
        self._jobs: Iterable[Job] = ()
        # CPUs and memory per accelerator, computed when a gang of this cycle first needs them.
        self._per_accelerator: Resources | None = None

    def begin_cycle(self, jobs: Iterable[Job]) -> None:
        """Begin a scheduling cycle; these jobs decide how much is kept free per free accelerator."""
        self._jobs, self._per_accelerator = jobs, None

    def choose(
        self, job: Job, machines: list[Machine], reserved: dict[str, Resources]
    ) -> list[Machine] | None:
        """Return a machine for each pending task, or None if they don't all fit now."""
        usable = [machine for machine in machines if may_use(job, machine)]
        found: list[GangCandidate] = []
        for group in self._zone_groups(job, usable):
            candidate = self._choose_among(job, group, reserved)
            if candidate is not None:
                found.append(candidate)
        return min(found, key=GangCandidate.sort_key).machines if found else None

    def choose_with_preemption(
        self, job: Job, machines: list[Machine], reserved: dict[str, Resources]
    ) -> list[PlacementChoice] | None:
        """Return machines and victims for all pending tasks at the least cost; None if infeasible."""
        usable = [machine for machine in machines if may_use(job, machine)]
        found: list[_PreemptionPlan] = []
        for group in self._zone_groups(job, usable):
            preemptions = (self._preemption_on(job, machine, reserved, job.pending) for machine in group)
            possible = [preemption for preemption in preemptions if preemption is not None]
            plan = self._cheapest_preemptions(job, possible, reserved)
            if plan is not None:
                found.append(plan)
        return min(found, key=lambda plan: plan.cost_s).choices if found else None

    def _preemption_on(
        self, job: Job, machine: Machine, reserved: dict[str, Resources], max_tasks: int
    ) -> GangPreemption | None:
        """Return preemption for up to ``max_tasks``, without needless victims; None if no task fits."""
        free = machine.free_after_reservations(reserved)
        max_tasks = min(max_tasks, int(machine.unlisted_bytes // job.task_resources[HEARTBEAT_BYTES]))
        count = max_copies(job.task_resources, free, max_tasks)
        victims: list[Attempt] = []
        lost_s = 0.0
        stops: list[Attempt] = []
        for attempt in self._placement.preemptible_on(job, machine):
            if count >= max_tasks:
                break
            free = add_scaled(free, attempt.job.task_resources)
            stops.append(attempt)
            more = max_copies(job.task_resources, free, max_tasks)
            if more > count:
                count = more
                victims += stops
                lost_s += sum(self._placement.preemption_cost_s(victim) for victim in stops)
                stops = []
        return GangPreemption(machine, count, victims, lost_s / count) if count else None

    def _cheapest_preemptions(
        self, job: Job, preemptions: list[GangPreemption], reserved: dict[str, Resources]
    ) -> _PreemptionPlan | None:
        """Return preemptions for all pending tasks, lowest cost per task first; None if too few tasks fit."""
        remaining = job.pending
        total_cost_s = 0.0
        chosen: list[PlacementChoice] = []
        zones = dict(job.active_by_zone)
        limit = zone_limit(job.spec)
        for preemption in sorted(preemptions, key=lambda option: (option.cost_s, -option.count)):
            machine = preemption.machine
            count = min(preemption.count, remaining, limit - zones.get(machine.zone, 0))
            if count <= 0:
                continue
            needed: GangPreemption | None = preemption
            if count != preemption.count:
                needed = self._preemption_on(job, machine, reserved, count)
            if needed is None:
                continue
            zones[machine.zone] = zones.get(machine.zone, 0) + count
            # All victims on a machine are stopped before the first start there.
            chosen.append(PlacementChoice(machine, needed.victims))
            chosen += [PlacementChoice(machine) for _ in range(count - 1)]
            total_cost_s += needed.cost_s * count
            remaining -= count
        return None if remaining else _PreemptionPlan(total_cost_s, chosen)

    @staticmethod
    def _zone_groups(job: Job, machines: list[Machine]) -> Iterator[list[Machine]]:
        """Yield the sets of machines that the gang may be spread over."""
        if not job.spec.one_zone:
            yield machines
            return
        occupied = {zone for zone, count in job.active_by_zone.items() if count > 0}
        zones = occupied or {machine.zone for machine in machines}
        if len(occupied) > 1:
            return
        for zone in sorted(zones):
            yield [machine for machine in machines if machine.zone == zone]

    def _choose_among(
        self, job: Job, machines: list[Machine], reserved: dict[str, Resources]
    ) -> GangCandidate | None:
        # CPUs and memory that free accelerators need are used last: accelerators are unusable without them.
        for keeps_accelerators_usable in (True, False) if job.task_resources[ACCELERATORS] <= 0 else (False,):
            chosen = self._fill(job, self._options(job, machines, reserved, keeps_accelerators_usable))
            if chosen is not None:
                return GangCandidate(
                    not keeps_accelerators_usable and job.task_resources[ACCELERATORS] <= 0, chosen
                )
        return None

    def _host_resources_per_accelerator(self) -> Resources:
        if self._per_accelerator is None:
            self._per_accelerator = host_resources_per_accelerator(self._jobs)
        return self._per_accelerator

    def _options(
        self,
        job: Job,
        machines: list[Machine],
        reserved: dict[str, Resources],
        keeps_accelerators_usable: bool,
    ) -> list[GangOption]:
        options: list[GangOption] = []
        per_accelerator = (
            self._host_resources_per_accelerator() if keeps_accelerators_usable else NO_RESOURCES
        )
        for machine in machines:
            free = machine.free_after_reservations(reserved)
            if keeps_accelerators_usable:
                free = add_scaled(free, per_accelerator, -max(0.0, free[ACCELERATORS]))
            count = max_copies(job.task_resources, free, job.pending)
            if count:
                options.append(GangOption(count, machine))
        return options

    def _fill(self, job: Job, options: list[GangOption]) -> list[Machine] | None:
        remaining = job.pending
        if sum(option.tasks for option in options) < remaining:
            return None
        chosen: list[Machine] = []
        zones = dict(job.active_by_zone)
        limit = zone_limit(job.spec)
        while remaining and options:
            best = self._best(job, options, remaining)
            options.remove(best)
            machine = best.machine
            count = min(best.tasks, remaining, limit - zones.get(machine.zone, 0))
            if count > 0:
                zones[machine.zone] = zones.get(machine.zone, 0) + count
                chosen += [machine] * count
                remaining -= count
        return None if remaining else chosen

    def _best(self, job: Job, options: list[GangOption], remaining: int) -> GangOption:
        return min(options, key=lambda option: self._option_key(job, option, remaining))

    def _option_key(self, job: Job, option: GangOption, remaining: int) -> tuple[object, ...]:
        """Return the sort key of an option; the lowest is preferred.

        Options that meet the same conditions are ordered by the number of tasks that fit (most first, unless
        all fit), the image wait and, if all fit, by least spare capacity.
        """
        count, machine = option
        wait_s = image_wait_s(machine, job)
        fits_all = count >= remaining
        return (
            machine.name in job.avoided_machines,
            not self._placement.meets_objective(job, wait_s),
            not fits_all,
            machine.spot,
            not machine.attempts,
            0 if fits_all else -count,
            wait_s,
            count,
        )
