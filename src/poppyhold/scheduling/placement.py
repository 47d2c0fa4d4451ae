"""Which machine a task starts on, and what has to be preempted for it."""

from __future__ import annotations

import math
from collections.abc import Callable, Collection, Iterable
from typing import NamedTuple

import msgspec

from poppyhold.model.constraints import zone_limit
from poppyhold.model.entities import Attempt, Job, Machine
from poppyhold.model.resources import (
    ACCELERATORS,
    CPUS,
    EPSILON,
    NO_RESOURCES,
    Resources,
    add_scaled,
    fits,
    max_copies,
)
from poppyhold.scheduling.free_capacity import FreeCapacityView, Ranking, RankingCache
from poppyhold.scheduling.quotas import QuotaExcess
from poppyhold.wire.worker_messages import BEFORE_IMAGE, STOPPABLE

# Fetches take a third longer at times, as PROTOCOL says.
_MAX_FETCH_SLOWDOWN = 4 / 3
# A rate for machines whose type gives none.
_MIN_FETCH_GB_PER_S = 1e-3

# Weights of a score, in seconds: of a wait for the image that is short enough; of fetching fast, as a part of
# what users expect; and parts of a boot time for what stays free, for a spot task on an ordinary machine, for
# another replica of the job on the machine.
_IN_TIME_WAIT_WEIGHT = 0.3
_FAST_FETCH_WEIGHT = 0.2
_FREE_SHARE_WEIGHT = 0.02
_SPOT_TASK_ON_REGULAR_WEIGHT = 0.2
_COLOCATED_REPLICA_WEIGHT = 0.05
# Weights of the cost of a preemption: of each second that is lost, and seconds for each victim.
_LOST_SECONDS_WEIGHT = 0.05
_VICTIM_COST_S = 0.5


class Choice(msgspec.Struct, eq=False):
    """A machine for a task, with the attempts that must be stopped first."""

    machine: Machine
    victims: list[Attempt] = msgspec.field(default_factory=list)


class PreemptionOption(NamedTuple):
    """A choice that preempts, what it costs, and its machine's place in the order of the machines."""

    cost: float
    machine_index: int
    choice: Choice


class _CachedVictims(NamedTuple):
    """The victims on a machine for a kind of job, as long as the machine's version stays the same."""

    machine_version: int
    victims: list[Attempt] | None


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
    if job.spec.one_zone and any(
        count > 0 and occupied != zone for occupied, count in job.active_by_zone.items()
    ):
        return False
    return job.active_by_zone.get(zone, 0) < zone_limit(job.spec)


def copies_that_fit(job: Job, machine: Machine, reserved: dict[str, Resources]) -> int:
    """How many of the job's pending tasks fit on a machine now, beside what is reserved."""
    return max_copies(job.task_resources, machine.free_after_reservations(reserved), job.pending)


def in_best_zone(job: Job, machines: Collection[Machine], reserved: dict[str, Resources]) -> list[Machine]:
    """The machines of the zone that fits most tasks, for a job that has to stay in one."""
    counts: dict[str, int] = {}
    for machine in machines:
        if may_use(job, machine):
            counts[machine.zone] = counts.get(machine.zone, 0) + copies_that_fit(job, machine, reserved)
    best = max(counts, key=lambda zone: (counts[zone], zone), default=None)
    return [machine for machine in machines if machine.zone == best]


def image_wait_s(machine: Machine, job: Job) -> float:
    """Seconds until the machine has the job's image, as far as we can know."""
    image = job.spec.image
    if image in machine.images:
        return 0.0
    rate_gb_per_s = max(machine.machine_type.fetch_gb_per_s, _MIN_FETCH_GB_PER_S)
    # Sizes of the images that the machine fetches, by name.
    fetching: dict[str, float] = {}
    for attempt in machine.attempts.values():
        if attempt.status in BEFORE_IMAGE and attempt.job.spec.image not in machine.images:
            fetching[attempt.job.spec.image] = attempt.job.spec.image_gb
    has_begun = image in fetching
    fetching[image] = job.spec.image_gb
    # Fetches share the rate; one that has begun is on average half done.
    return sum(fetching.values()) / rate_gb_per_s * (0.5 if has_begun else 1.0)


class Placement:
    """Scores machines by the wait for their image, then by how tasks pack; and chooses whom to preempt."""

    def __init__(self, objectives_s: dict[str, float], preemption_cost_s: Callable[[Attempt], float]) -> None:
        # Within how many seconds the tasks of a class should have started.
        self._objectives_s = objectives_s
        self._fastest_fetch_gb_per_s = 0.0
        # Seconds of work, or of waiting, that are lost with an attempt.
        self._preemption_cost_s = preemption_cost_s
        # What jobs may preempt, by machine, for each team, priority and guarantee.
        self._preemptible_cache: dict[tuple[str, int, bool], dict[str, list[Attempt]]] = {}
        # For each kind of job and machine.
        self._victims_cache: dict[tuple[object, ...], _CachedVictims] = {}
        # What preemptions of this cycle will have freed before anything else that it starts there.
        self._freed_by_preemption: dict[str, Resources] = {}
        self._active_jobs: list[Job] = []
        self._rankings = RankingCache()

    def begin_cycle(self, machines: list[Machine], active_jobs: list[Job]) -> None:
        """Begin a scheduling cycle on these machines, with these jobs on them."""
        self._active_jobs = active_jobs
        fastest = max((machine.machine_type.fetch_gb_per_s for machine in machines), default=0.0)
        if fastest != self._fastest_fetch_gb_per_s:
            self._fastest_fetch_gb_per_s = fastest
            self._rankings.clear()
        self._preemptible_cache.clear()
        self._victims_cache.clear()
        self._freed_by_preemption.clear()

    def record_preemptions(self, choice: Choice) -> None:
        """Note that a choice was carried out: its stops come before any later start on the machine."""
        name = choice.machine.name
        for victim in choice.victims:
            self._freed_by_preemption[name] = add_scaled(
                self._freed_by_preemption.get(name, NO_RESOURCES), victim.job.task_resources
            )

    def meets_objective(self, job: Job, wait_s: float) -> bool:
        """Whether a task that waits so long for its image starts within what its users expect."""
        return wait_s * _MAX_FETCH_SLOWDOWN <= self._objectives_s.get(job.spec.job_class, math.inf)

    def _shared_score(self, job: Job, machine: Machine, free: Resources) -> float:
        """Seconds that a placement costs any job alike: waits, and parts of a boot time. Lower is better."""
        boot_s = machine.machine_type.boot_s
        score = image_wait_s(machine, job)
        objective_s = self._objectives_s.get(job.spec.job_class)
        if objective_s is not None and self.meets_objective(job, score):
            # Soon enough is as good as at once. Machines that fetch fast are left to images that need it:
            # once they were full of small ones, every large image took twice as long as is expected.
            fetch_gb_per_s = machine.machine_type.fetch_gb_per_s
            fastest_gb_per_s = max(self._fastest_fetch_gb_per_s, _MIN_FETCH_GB_PER_S)
            score = (
                score * _IN_TIME_WAIT_WEIGHT
                + objective_s * _FAST_FETCH_WEIGHT * fetch_gb_per_s / fastest_gb_per_s
            )
        # Packing: machines that are nearly full first, so that others empty.
        free_share = max(
            (
                (available - needed) / capacity
                for available, needed, capacity in zip(
                    free, job.task_resources, machine.capacity, strict=True
                )
                if capacity > 0 and needed > 0
            ),
            default=0.0,
        )
        score += free_share * boot_s * _FREE_SHARE_WEIGHT
        # Work that may run on spot machines leaves the ordinary ones to work that may not.
        if job.spec.spot and not machine.spot:
            score += boot_s * _SPOT_TASK_ON_REGULAR_WEIGHT
        return score

    @staticmethod
    def machines_with_own_score(job: Job) -> set[str]:
        """Machines whose score is another for this very job than for others like it."""
        if job.is_service and job.spec.tasks > 1:
            return job.avoided_machines | {attempt.machine.name for attempt in job.active.values()}
        return job.avoided_machines

    @staticmethod
    def _job_score(job: Job, machine: Machine) -> float:
        """What a placement costs this very job beyond others like it."""
        boot_s = machine.machine_type.boot_s
        score = boot_s if machine.name in job.avoided_machines else 0.0
        # Replicas on one machine are lost together.
        if job.is_service and job.spec.tasks > 1:
            score += (
                boot_s
                * _COLOCATED_REPLICA_WEIGHT
                * sum(1 for attempt in machine.attempts.values() if attempt.job is job)
            )
        return score

    def score_if_fits(self, job: Job, machine: Machine, reserved: dict[str, Resources]) -> float | None:
        """The score of a machine for this very job; None if a task does not fit beside what is reserved."""
        score = self._shared_score_if_fits(job, machine, reserved)
        return None if score is None else score + self._job_score(job, machine)

    def _shared_score_if_fits(
        self, job: Job, machine: Machine, reserved: dict[str, Resources]
    ) -> float | None:
        """The same for any job like this one, without what its own tasks and failures make of it."""
        # The bulk of all machines is full: they cost three comparisons each.
        free, need = machine.free, job.task_resources
        if not fits(need, free) or not may_use(job, machine):
            return None
        free = machine.free_after_reservations(reserved)
        return self._shared_score(job, machine, free) if fits(need, free) else None

    def ranking(self, job: Job, view: FreeCapacityView) -> Ranking:
        """Machines on which a task of the job, or of any like it, fits now; best first."""
        return self._rankings.ranking(
            view, job, lambda machine: self._shared_score_if_fits(job, machine, view.reserved)
        )

    def preemption_on(
        self, job: Job, machine: Machine, machine_index: int, excess: QuotaExcess | None = None
    ) -> PreemptionOption | None:
        """The option to preempt on a machine for a task of the job, if that is allowed there at all.

        Where the team is at its limit, its own lower work has to free the ``excess``. The stops and the start
        reach the worker in one command, so the limit holds all the while.
        """
        candidates = self._preemptible_by_machine(job).get(machine.name)
        if candidates is None or not may_use(job, machine):
            return None
        victims = self._cached_victims(job, machine, candidates, excess)
        if victims is None:
            return None
        lost_s = sum(self._preemption_cost_s(victim) for victim in victims)
        cost = image_wait_s(machine, job) + lost_s * _LOST_SECONDS_WEIGHT + len(victims) * _VICTIM_COST_S
        return PreemptionOption(cost, machine_index, Choice(machine, victims))

    def preemptions(
        self, job: Job, machines: Iterable[Machine], excess: QuotaExcess | None = None
    ) -> list[PreemptionOption]:
        """Machines where preemption lets a task of the job start, least cost first."""
        found = []
        if self._preemptible_by_machine(job):
            for machine_index, machine in enumerate(machines):
                option = self.preemption_on(job, machine, machine_index, excess)
                if option is not None:
                    found.append(option)
        found.sort(key=lambda entry: entry[:2])
        return found

    def preemptible_on(self, job: Job, machine: Machine) -> list[Attempt]:
        """What the job may preempt on a machine where nothing was stopped in this cycle, least loss first."""
        if machine.name in self._freed_by_preemption or not may_use(job, machine):
            return []
        found = [
            attempt
            for attempt in self._preemptible_by_machine(job).get(machine.name, ())
            if not attempt.job.is_gang
        ]
        found.sort(key=self._victim_order)
        return found

    def _victim_order(self, attempt: Attempt) -> tuple[int, float, float]:
        return -attempt.job.priority, self._preemption_cost_s(attempt), -attempt.sent_at

    def preemption_cost_s(self, attempt: Attempt) -> float:
        """Seconds of work, or of waiting, that are lost with an attempt."""
        return self._preemption_cost_s(attempt)

    def _preemptible_by_machine(self, job: Job) -> dict[str, list[Attempt]]:
        """What the job may preempt, by machine. Within a cycle it only gets less."""
        key = (job.spec.team, job.priority, job.within_guarantee)
        found = self._preemptible_cache.get(key)
        if found is None:
            found = {}
            for other in self._active_jobs:
                if not self._may_preempt(job, other):
                    continue
                for attempt in other.active.values():
                    if attempt.stopping_at is None and attempt.status in STOPPABLE:
                        found.setdefault(attempt.machine.name, []).append(attempt)
            self._preemptible_cache[key] = found
        return found

    def _cached_victims(
        self, job: Job, machine: Machine, candidates: list[Attempt], excess: QuotaExcess | None
    ) -> list[Attempt] | None:
        """The victims on a machine; jobs alike share them as long as nothing starts there.

        Every waiting job once chose them anew on every machine for each of its tasks: at 650 machines a cycle
        after a burst took seconds.
        """
        if excess is not None:
            return self._choose_victims(job, machine, candidates, excess)
        key = (job.spec.team, job.priority, job.within_guarantee, job.task_resources, machine.name)
        known = self._victims_cache.get(key)
        if known is None or known.machine_version != machine.version:
            known = _CachedVictims(machine.version, self._choose_victims(job, machine, candidates, None))
            self._victims_cache[key] = known
        return known.victims

    def _choose_victims(
        self, job: Job, machine: Machine, candidates: list[Attempt], excess: QuotaExcess | None
    ) -> list[Attempt] | None:
        """The attempts to stop, least loss first; None if that would not do, or is not needed."""
        free = machine.free
        if excess is None and fits(job.task_resources, free):
            return None
        # A second start beside an earlier one's victims: were what they free not counted, it would take as
        # many victims again, and a third one more than that.
        free = add_scaled(free, self._freed_by_preemption.get(machine.name, NO_RESOURCES))
        if excess is None and fits(job.task_resources, free):
            return []
        stoppable = [
            attempt
            for attempt in candidates
            if attempt.stopping_at is None and (excess is None or attempt.job.spec.team == job.spec.team)
        ]
        max_free = free
        for attempt in stoppable:
            max_free = add_scaled(max_free, attempt.job.task_resources)
        if not fits(job.task_resources, max_free):
            return None
        stoppable.sort(key=self._victim_order)
        chosen: list[Attempt] = []
        cpus, accelerators = excess or (0.0, 0.0)
        for attempt in stoppable:
            free = add_scaled(free, attempt.job.task_resources)
            cpus -= attempt.job.task_resources[CPUS]
            accelerators -= attempt.job.task_resources[ACCELERATORS]
            chosen.append(attempt)
            if fits(job.task_resources, free) and (
                excess is None or (cpus <= EPSILON and accelerators <= EPSILON)
            ):
                return chosen
        return None

    @staticmethod
    def _may_preempt(job: Job, other: Job) -> bool:
        if other.spec.team == job.spec.team or other.within_guarantee == job.within_guarantee:
            return other.priority > job.priority
        # Between teams the guarantee goes before priority. Were it not so both ways, two jobs could
        # preempt one another for ever: one by its priority, the other by its guarantee.
        return job.within_guarantee
