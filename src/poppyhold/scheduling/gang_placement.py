"""Machines for all tasks of a gang at once: few of them, with the image, in one zone where that is asked."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

import msgspec

from poppyhold.model.constraints import zone_limit
from poppyhold.model.entities import Attempt, Job, Machine
from poppyhold.model.resources import NO_RESOURCES, Resources, add_scaled, max_copies
from poppyhold.scheduling.placement import Choice, Placement, image_wait_s, may_use

# A machine and how many tasks have room on it.
GangOption = tuple[int, Machine]


class GangCandidate(msgspec.Struct, frozen=True):
    """Machines for every task, in the order of the starts, and what speaks against them."""

    uses_accelerator_companions: bool
    machines: list[Machine]

    def sort_key(self) -> tuple[bool, int]:
        """Candidates with less come first."""
        return self.uses_accelerator_companions, len({machine.name for machine in self.machines})


def accelerator_companions(jobs: Iterable[Job]) -> Resources:
    """The most of each resource that a task takes beside one accelerator, among these jobs."""
    cpus = memory = 0.0
    for job in jobs:
        accelerators = job.task_resources[1]
        if accelerators > 0:
            cpus = max(cpus, job.task_resources[0] / accelerators)
            memory = max(memory, job.task_resources[2] / accelerators)
    return cpus, 0.0, memory


class GangPreemption(msgspec.Struct, eq=False):
    """Room for some tasks on a machine, with the attempts that must be stopped first."""

    machine: Machine
    count: int
    victims: list[Attempt]
    # Seconds that are lost by the stops, for each task that starts.
    cost: float


class GangPlacement:
    """Chooses machines for gangs within one pass over the jobs that wait."""

    def __init__(self, placement: Placement) -> None:
        self._placement = placement
        self._jobs: Iterable[Job] = ()
        # What goes with an accelerator, once a gang of this pass asks for it.
        self._companions: Resources | None = None

    def begin_cycle(self, jobs: Iterable[Job]) -> None:
        """A new pass; what is kept free for accelerators goes by the jobs that there are."""
        self._jobs, self._companions = jobs, None

    def choose(
        self, job: Job, machines: list[Machine], reserved: dict[str, Resources]
    ) -> list[Machine] | None:
        """A machine for each pending task, or None if they don't all have room now."""
        usable = [machine for machine in machines if may_use(job, machine)]
        found: list[GangCandidate] = []
        for group in self._zone_groups(job, usable):
            candidate = self._choose_among(job, group, reserved)
            if candidate is not None:
                found.append(candidate)
        return min(found, key=GangCandidate.sort_key).machines if found else None

    def preempt_for(
        self, job: Job, machines: list[Machine], reserved: dict[str, Resources]
    ) -> list[Choice] | None:
        """A machine for each pending task where lower work makes room for all of them, least loss first."""
        usable = [machine for machine in machines if may_use(job, machine)]
        found: list[tuple[float, list[Choice]]] = []
        for group in self._zone_groups(job, usable):
            made = (self._preemption_on(job, machine, reserved, job.pending) for machine in group)
            chosen = self._cheapest_preemptions(job, [room for room in made if room is not None], reserved)
            if chosen is not None:
                found.append(chosen)
        return min(found, key=lambda entry: entry[0])[1] if found else None

    def _preemption_on(
        self, job: Job, machine: Machine, reserved: dict[str, Resources], most: int
    ) -> GangPreemption | None:
        """Room for up to so many tasks, with no more stops than that takes."""
        free = machine.free_after_reservations(reserved)
        count = max_copies(job.task_resources, free, most)
        victims: list[Attempt] = []
        lost = 0.0
        stops: list[Attempt] = []
        for attempt in self._placement.preemptible_on(job, machine):
            if count >= most:
                break
            free = add_scaled(free, attempt.job.task_resources)
            stops.append(attempt)
            more = max_copies(job.task_resources, free, most)
            if more > count:
                count = more
                victims += stops
                lost += sum(self._placement.preemption_cost_s(victim) for victim in stops)
                stops = []
        return GangPreemption(machine, count, victims, lost / count) if count else None

    def _cheapest_preemptions(
        self, job: Job, rooms: list[GangPreemption], reserved: dict[str, Resources]
    ) -> tuple[float, list[Choice]] | None:
        left = job.pending
        total = 0.0
        chosen: list[Choice] = []
        zones = dict(job.active_by_zone)
        limit = zone_limit(job.spec)
        for room in sorted(rooms, key=lambda room: (room.cost, -room.count)):
            take = min(room.count, left, limit - zones.get(room.machine.zone, 0))
            if take <= 0:
                continue
            needed = room if take == room.count else self._preemption_on(job, room.machine, reserved, take)
            if needed is None:
                continue
            zones[room.machine.zone] = zones.get(room.machine.zone, 0) + take
            # All stops come before the first start on the machine.
            chosen.append(Choice(room.machine, needed.victims))
            chosen += [Choice(room.machine) for _ in range(take - 1)]
            total += needed.cost * take
            left -= take
        return None if left else (total, chosen)

    @staticmethod
    def _zone_groups(job: Job, machines: list[Machine]) -> Iterator[list[Machine]]:
        """The sets of machines that the gang may be spread over."""
        if not job.spec.one_zone:
            yield machines
            return
        held = {zone for zone, count in job.active_by_zone.items() if count > 0}
        zones = held or {machine.zone for machine in machines}
        if len(held) > 1:
            return
        for zone in sorted(zones):
            yield [machine for machine in machines if machine.zone == zone]

    def _choose_among(
        self, job: Job, machines: list[Machine], reserved: dict[str, Resources]
    ) -> GangCandidate | None:
        # Room that accelerators need comes second: without it they would stand idle.
        for keeps_companions in (True, False) if job.task_resources[1] <= 0 else (False,):
            chosen = self._fill(job, self._options(job, machines, reserved, keeps_companions))
            if chosen is not None:
                return GangCandidate(not keeps_companions and job.task_resources[1] <= 0, chosen)
        return None

    def _accelerator_companions(self) -> Resources:
        if self._companions is None:
            self._companions = accelerator_companions(self._jobs)
        return self._companions

    def _options(
        self, job: Job, machines: list[Machine], reserved: dict[str, Resources], keeps_companions: bool
    ) -> list[GangOption]:
        options: list[GangOption] = []
        companions = self._accelerator_companions() if keeps_companions else NO_RESOURCES
        for machine in machines:
            free = machine.free_after_reservations(reserved)
            if keeps_companions:
                free = add_scaled(free, companions, -max(0.0, free[1]))
            count = max_copies(job.task_resources, free, job.pending)
            if count:
                options.append((count, machine))
        return options

    def _fill(self, job: Job, options: list[GangOption]) -> list[Machine] | None:
        left = job.pending
        if sum(count for count, _ in options) < left:
            return None
        chosen: list[Machine] = []
        zones = dict(job.active_by_zone)
        limit = zone_limit(job.spec)
        while left and options:
            best = self._best(job, options, left)
            options.remove(best)
            count, machine = best
            take = min(count, left, limit - zones.get(machine.zone, 0))
            if take > 0:
                zones[machine.zone] = zones.get(machine.zone, 0) + take
                chosen += [machine] * take
                left -= take
        return None if left else chosen

    def _best(self, job: Job, options: list[GangOption], left: int) -> GangOption:
        return min(options, key=lambda option: self._option_key(job, option, left))

    def _option_key(self, job: Job, option: GangOption, left: int) -> tuple[object, ...]:
        """Machines that come first are those that hold all tasks that are left, or else the most of them."""
        count, machine = option
        wait = image_wait_s(machine, job)
        holds_all = count >= left
        return (
            machine.name in job.failed_machines,
            not self._placement.meets_objective(job, wait),
            not holds_all,
            machine.spot,
            not machine.attempts,
            0 if holds_all else -count,
            wait,
            count,
        )
