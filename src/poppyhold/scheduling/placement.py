"""Which machine a task starts on, and what has to make room for it."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable

import msgspec

from poppyhold.model.constraints import zone_limit
from poppyhold.model.entities import Attempt, Job, Machine
from poppyhold.model.resources import EPSILON, NO_RESOURCES, Resources, add_scaled, fits
from poppyhold.scheduling.free_capacity import FreeCapacityView, Ranking, RankingCache
from poppyhold.wire.messages import BEFORE_IMAGE, STOPPABLE

# Fetches take a third longer at times, as PROTOCOL says.
_FETCH_SPREAD = 4 / 3


class Choice(msgspec.Struct, eq=False):
    """A machine for a task, with the attempts that must go first."""

    machine: Machine
    victims: list[Attempt] = msgspec.field(default_factory=list)


def may_use(job: Job, machine: Machine) -> bool:
    """Whether the job's own terms allow the machine, other tasks aside."""
    spec = job.spec
    return (
        (spec.machine_types is None or machine.machine_type.name in spec.machine_types)
        and (spec.zone is None or machine.zone == spec.zone)
        and (spec.spot or not machine.spot)
    )


def zone_allows(job: Job, zone: str) -> bool:
    """Whether one more task of the job may be in the zone, given all that may be on a machine."""
    if job.spec.one_zone and any(count > 0 and held != zone for held, count in job.active_by_zone.items()):
        return False
    return job.active_by_zone.get(zone, 0) < zone_limit(job.spec)


def image_wait_s(machine: Machine, job: Job) -> float:
    """Seconds until the machine has the job's image, as far as we can know."""
    image = job.spec.image
    if image in machine.images:
        return 0.0
    price = max(machine.machine_type.fetch_gb_per_s, 1e-3)
    pulling: dict[str, float] = {}
    for attempt in machine.attempts.values():
        if attempt.status in BEFORE_IMAGE and attempt.job.spec.image not in machine.images:
            pulling[attempt.job.spec.image] = attempt.job.spec.image_gb
    already = image in pulling
    pulling[image] = job.spec.image_gb
    # Fetches share the rate; one that has begun is on average half done.
    return sum(pulling.values()) / price * (0.5 if already else 1.0)


class Placement:
    """Chooses machines by the wait for their image, then by how they pack."""

    def __init__(self, aims: dict[str, float], loss: Callable[[Attempt], float]) -> None:
        self._objectives_s = aims
        self._fastest_fetch_gb_per_s = 0.0
        # Seconds of work, or of waiting, that are lost with an attempt.
        self._preemption_cost_s = loss
        # Team, priority and guarantee of whoever needs room -> what it may preempt, by machine.
        self._preemptible_cache: dict[tuple[str, int, bool], dict[str, list[Attempt]]] = {}
        self._victims_cache: dict[tuple[object, ...], tuple[int, list[Attempt] | None]] = {}
        # Room that stops of this pass will have freed before anything else that it starts there.
        self._freed_by_preemption: dict[str, Resources] = {}
        self._active_jobs: list[Job] = []
        self._rankings = RankingCache()

    def begin_cycle(self, machines: list[Machine], running: list[Job]) -> None:
        """A new pass over the jobs that wait, on these machines and with these jobs on them."""
        self._active_jobs = running
        fastest = max((machine.machine_type.fetch_gb_per_s for machine in machines), default=0.0)
        if fastest != self._fastest_fetch_gb_per_s:
            self._fastest_fetch_gb_per_s = fastest
            self._rankings.clear()
        self._preemptible_cache.clear()
        self._victims_cache.clear()
        self._freed_by_preemption.clear()

    def record_preemptions(self, choice: Choice) -> None:
        """A choice was carried out: the stops come before any later start on the machine."""
        name = choice.machine.name
        for victim in choice.victims:
            self._freed_by_preemption[name] = add_scaled(
                self._freed_by_preemption.get(name, NO_RESOURCES), victim.job.task_resources
            )

    def meets_objective(self, job: Job, wait: float) -> bool:
        """Whether a task that waits so long for its image starts within what its users expect."""
        return wait * _FETCH_SPREAD <= self._objectives_s.get(job.spec.job_class, math.inf)

    def _shared_score(self, job: Job, machine: Machine, free: Resources) -> float:
        """Seconds that a placement costs any job alike; beside waits, parts of a boot time."""
        boot = machine.machine_type.boot_s
        score = image_wait_s(machine, job)
        aim = self._objectives_s.get(job.spec.job_class)
        if aim is not None and self.meets_objective(job, score):
            # Soon enough is as good as at once. Machines that fetch fast are left to images that need it:
            # once they were full of small ones, every large image took twice as long as is expected.
            score = score * 0.3 + aim * 0.2 * machine.machine_type.fetch_gb_per_s / max(
                self._fastest_fetch_gb_per_s, 1e-3
            )
        # Packing: machines that are nearly full first, so that others empty.
        capacity = machine.capacity
        left = max(
            (
                (free[i] - job.task_resources[i]) / capacity[i]
                for i in range(3)
                if capacity[i] > 0 and job.task_resources[i] > 0
            ),
            default=0.0,
        )
        score += left * boot * 0.02
        # Work that may run on spot machines leaves the ordinary ones to work that may not.
        if job.spec.spot and not machine.spot:
            score += boot * 0.2
        return score

    @staticmethod
    def machines_scored_per_job(job: Job) -> set[str]:
        """Machines that count differently for this very job than for others like it."""
        if job.is_service and job.spec.tasks > 1:
            return job.failed_machines | {attempt.machine.name for attempt in job.active.values()}
        return job.failed_machines

    @staticmethod
    def _job_score(job: Job, machine: Machine) -> float:
        """What a placement costs this very job beyond others like it."""
        boot = machine.machine_type.boot_s
        score = boot if machine.name in job.failed_machines else 0.0
        # Replicas on one machine are lost together.
        if job.is_service and job.spec.tasks > 1:
            score += boot * 0.05 * sum(1 for attempt in machine.attempts.values() if attempt.job is job)
        return score

    def score_if_fits(self, job: Job, machine: Machine, reserved: dict[str, Resources]) -> float | None:
        """The score of a machine with free room beside what is reserved for plans; None if it has none."""
        score = self._shared_score_if_fits(job, machine, reserved)
        return None if score is None else score + self._job_score(job, machine)

    def _shared_score_if_fits(
        self, job: Job, machine: Machine, reserved: dict[str, Resources]
    ) -> float | None:
        """The same for any job alike, without what this one's own tasks and failures make of it."""
        # The bulk of all machines is full: they are passed over at the price of three comparisons.
        free, need = machine.free, job.task_resources
        if not fits(need, free) or not may_use(job, machine):
            return None
        free = machine.free_after_reservations(reserved)
        return self._shared_score(job, machine, free) if fits(need, free) else None

    def ranking(self, job: Job, view: FreeCapacityView) -> Ranking:
        """Machines with free room for a task of the job or any like it, best first."""
        return self._rankings.ranking(
            view, job, lambda machine: self._shared_score_if_fits(job, machine, view.reserved)
        )

    def preemption_on(
        self, job: Job, machine: Machine, owed: tuple[float, float] | None = None
    ) -> tuple[float, Choice] | None:
        """What it costs to make room on a machine, if preemption is allowed there at all.

        Where the team is at its limit, its own lower work has to free ``owed`` cpus and accelerators. The
        stops and the start reach the worker in one command, so the limit holds all the while.
        """
        candidates = self._preemptible_by_machine(job).get(machine.name)
        if candidates is None or not may_use(job, machine):
            return None
        victims = self._cached_victims(job, machine, candidates, owed)
        if victims is None:
            return None
        lost = sum(self._preemption_cost_s(victim) for victim in victims)
        return image_wait_s(machine, job) + lost * 0.05 + len(victims) * 0.5, Choice(machine, victims)

    def preemptions(
        self, job: Job, machines: Iterable[Machine], owed: tuple[float, float] | None = None
    ) -> list[tuple[float, int, Choice]]:
        """Machines where room can be made for a task of the job, least loss first."""
        found = []
        if self._preemptible_by_machine(job):
            for order, machine in enumerate(machines):
                place = self.preemption_on(job, machine, owed)
                if place is not None:
                    found.append((place[0], order, place[1]))
        found.sort(key=lambda entry: entry[:2])
        return found

    def preemptible_on(self, job: Job, machine: Machine) -> list[Attempt]:
        """What the job may preempt on a machine where nothing was stopped in this pass, least loss first."""
        if machine.name in self._freed_by_preemption or not may_use(job, machine):
            return []
        found = [
            attempt
            for attempt in self._preemptible_by_machine(job).get(machine.name, ())
            if not attempt.job.is_gang
        ]
        found.sort(key=self._least_cost_first)
        return found

    def _least_cost_first(self, attempt: Attempt) -> tuple[int, float, float]:
        return -attempt.job.priority, self._preemption_cost_s(attempt), -attempt.sent_at

    def preemption_cost_s(self, attempt: Attempt) -> float:
        """Seconds of work, or of waiting, that are lost with an attempt."""
        return self._preemption_cost_s(attempt)

    def _preemptible_by_machine(self, job: Job) -> dict[str, list[Attempt]]:
        """What the job may preempt, by machine. Within a pass it only gets less."""
        claim = (job.spec.team, job.priority, job.within_guarantee)
        found = self._preemptible_cache.get(claim)
        if found is None:
            found = {}
            for other in self._active_jobs:
                if not self._may_preempt(job, other):
                    continue
                for attempt in other.active.values():
                    if attempt.stopping_at is None and attempt.status in STOPPABLE:
                        found.setdefault(attempt.machine.name, []).append(attempt)
            self._preemptible_cache[claim] = found
        return found

    def _cached_victims(
        self, job: Job, machine: Machine, candidates: list[Attempt], owed: tuple[float, float] | None
    ) -> list[Attempt] | None:
        """The victims on a machine; jobs alike share them as long as nothing starts there.

        Every waiting job once chose them anew on every machine for each of its tasks: at 650 machines a pass
        behind a burst took seconds.
        """
        if owed is not None:
            return self._choose_victims(job, machine, candidates, owed)
        claim = (job.spec.team, job.priority, job.within_guarantee, job.task_resources, machine.name)
        known = self._victims_cache.get(claim)
        if known is None or known[0] != machine.version:
            known = (machine.version, self._choose_victims(job, machine, candidates, None))
            self._victims_cache[claim] = known
        return known[1]

    def _choose_victims(
        self, job: Job, machine: Machine, candidates: list[Attempt], owed: tuple[float, float] | None
    ) -> list[Attempt] | None:
        free = machine.free
        if owed is None and fits(job.task_resources, free):
            return None
        # A second start beside an earlier one's victims: were their room not counted, it would take as many
        # victims again, and a third one more than that.
        free = add_scaled(free, self._freed_by_preemption.get(machine.name, NO_RESOURCES))
        if owed is None and fits(job.task_resources, free):
            return []
        left = [
            attempt
            for attempt in candidates
            if attempt.stopping_at is None and (owed is None or attempt.job.spec.team == job.spec.team)
        ]
        most = free
        for attempt in left:
            most = add_scaled(most, attempt.job.task_resources)
        if not fits(job.task_resources, most):
            return None
        left.sort(key=self._least_cost_first)
        chosen: list[Attempt] = []
        cpus, gpus = owed or (0.0, 0.0)
        for attempt in left:
            free = add_scaled(free, attempt.job.task_resources)
            cpus -= attempt.job.task_resources[0]
            gpus -= attempt.job.task_resources[1]
            chosen.append(attempt)
            if fits(job.task_resources, free) and (owed is None or (cpus <= EPSILON and gpus <= EPSILON)):
                return chosen
        return None

    @staticmethod
    def _may_preempt(job: Job, other: Job) -> bool:
        if other.spec.team == job.spec.team or other.within_guarantee == job.within_guarantee:
            return other.priority > job.priority
        # Between teams the guarantee goes before priority. Were it not so both ways, two jobs could
        # preempt one another for ever: one by its priority, the other by its guarantee.
        return job.within_guarantee
