"""Placement: the machine on which a task starts, and the attempts that are preempted for it."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable
from typing import NamedTuple

import msgspec

from poppyhold.model.entities import Attempt, Job, Machine
from poppyhold.model.resources import (
    ACCELERATORS,
    CPUS,
    EPSILON,
    HEARTBEAT_BYTES,
    NO_RESOURCES,
    Resources,
    add_scaled,
    fits,
)
from poppyhold.scheduling.eligibility import MIN_FETCH_GB_PER_S, image_wait_s, may_use
from poppyhold.scheduling.free_capacity import FreeCapacityView, Ranking, RankingCache
from poppyhold.scheduling.quotas import QuotaExcess
from poppyhold.wire.worker_messages import STOPPABLE

# An image fetch may take up to a third longer than estimated.
_MAX_FETCH_SLOWDOWN = 4 / 3

# Factor on the image wait in a score if the wait meets the objective of the job's class.
_IN_TIME_WAIT_WEIGHT = 0.3
# Penalty for the fastest fetch rate, as a fraction of the objective; for slower rates it is proportional.
_FAST_FETCH_WEIGHT = 0.2
# Penalties in boot times: for the largest fraction of a needed resource that stays free; for a machine that
# is not a spot machine, if the task may run on those; for each replica of the job on the machine already.
_FREE_SHARE_WEIGHT = 0.02
_NON_SPOT_MACHINE_WEIGHT = 0.2
_COLOCATED_REPLICA_WEIGHT = 0.05
# Cost of a preemption in seconds, beside the image wait: per second lost, and per victim.
_LOST_SECONDS_WEIGHT = 0.05
_VICTIM_COST_S = 0.5


class PlacementChoice(msgspec.Struct, eq=False):
    """A machine for a task, and the attempts that must be stopped first."""

    machine: Machine
    victims: list[Attempt] = msgspec.field(default_factory=list)


class PreemptionOption(NamedTuple):
    """A choice that preempts, its cost, and its machine's position in the search, which breaks ties."""

    cost: float
    machine_index: int
    choice: PlacementChoice


class _CachedVictims(NamedTuple):
    """The victims on a machine for one cache key, valid for one version of the machine."""

    machine_version: int
    victims: list[Attempt] | None


class Placement:
    """Scores machines by image wait and packing, and chooses the victims of preemptions."""

    def __init__(self, objectives_s: dict[str, float], preemption_cost_s: Callable[[Attempt], float]) -> None:
        # Wait objectives in seconds, by job class; compared with image waits alone.
        self._objectives_s = objectives_s
        self._fastest_fetch_gb_per_s = 0.0
        # Returns the cost in seconds of preempting an attempt: `PreemptionCost.cost_s`.
        self._preemption_cost_s = preemption_cost_s
        # Attempts by machine name that a job may preempt, by the job's team, priority and guarantee.
        self._preemptible_cache: dict[tuple[str, int, bool], dict[str, list[Attempt]]] = {}
        # By team, priority, guarantee and resources of the preempting job, and machine name.
        self._victims_cache: dict[tuple[object, ...], _CachedVictims] = {}
        # By machine name: resources that preemptions of this cycle will have freed before its later starts.
        self._freed_by_preemption: dict[str, Resources] = {}
        self._active_jobs: list[Job] = []
        self._rankings = RankingCache()

    def begin_cycle(self, machines: list[Machine], active_jobs: list[Job]) -> None:
        """Begin a scheduling cycle on these machines; ``active_jobs`` have attempts on machines."""
        self._active_jobs = active_jobs
        fastest = max((machine.machine_type.fetch_gb_per_s for machine in machines), default=0.0)
        if fastest != self._fastest_fetch_gb_per_s:
            self._fastest_fetch_gb_per_s = fastest
            self._rankings.clear()
        self._preemptible_cache.clear()
        self._victims_cache.clear()
        self._freed_by_preemption.clear()

    def record_preemptions(self, choice: PlacementChoice) -> None:
        """Count the resources of a choice's victims as free for later starts of this cycle on the machine."""
        name = choice.machine.name
        for victim in choice.victims:
            self._freed_by_preemption[name] = add_scaled(
                self._freed_by_preemption.get(name, NO_RESOURCES), victim.job.task_resources
            )

    def meets_objective(self, job: Job, wait_s: float) -> bool:
        """Return whether an image wait, at the largest slowdown, is within the class's objective, if any."""
        return wait_s * _MAX_FETCH_SLOWDOWN <= self._objectives_s.get(job.spec.job_class, math.inf)

    def _shared_score(self, job: Job, machine: Machine, free: Resources) -> float:
        """Return the part of a score in seconds that jobs with equal ranking keys share; lower is better."""
        boot_s = machine.machine_type.boot_s
        score = image_wait_s(machine, job)
        objective_s = self._objectives_s.get(job.spec.job_class)
        if objective_s is not None and self.meets_objective(job, score):
            # Waits within the objective count less. Fast fetch rates are penalized to keep those machines for
            # large images: with small images on them, each large one takes twice its objective.
            fetch_gb_per_s = machine.machine_type.fetch_gb_per_s
            fastest_gb_per_s = max(self._fastest_fetch_gb_per_s, MIN_FETCH_GB_PER_S)
            score = (
                score * _IN_TIME_WAIT_WEIGHT
                + objective_s * _FAST_FETCH_WEIGHT * fetch_gb_per_s / fastest_gb_per_s
            )
        # Bin packing: nearly full machines are preferred, so that others become empty.
        free_share = max(
            (
                (available - needed) / capacity
                for available, needed, capacity in zip(
                    free[:HEARTBEAT_BYTES],
                    job.task_resources[:HEARTBEAT_BYTES],
                    machine.capacity[:HEARTBEAT_BYTES],
                    strict=True,
                )
                if capacity > 0 and needed > 0
            ),
            default=0.0,
        )
        score += free_share * boot_s * _FREE_SHARE_WEIGHT
        # Machines that are not spot machines are kept free for tasks that may not run on those.
        if job.spec.spot and not machine.spot:
            score += boot_s * _NON_SPOT_MACHINE_WEIGHT
        return score

    @staticmethod
    def machines_with_job_specific_score(job: Job) -> set[str]:
        """Return the names of machines whose score for this job differs from the shared score."""
        if job.is_service and job.spec.tasks > 1:
            return job.avoided_machines | {attempt.machine.name for attempt in job.active.values()}
        return job.avoided_machines

    @staticmethod
    def _job_score(job: Job, machine: Machine) -> float:
        """Return the part of a score that applies to this job alone."""
        boot_s = machine.machine_type.boot_s
        score = boot_s if machine.name in job.avoided_machines else 0.0
        # The loss of a machine stops all replicas on it, so they are spread.
        if job.is_service and job.spec.tasks > 1:
            score += (
                boot_s
                * _COLOCATED_REPLICA_WEIGHT
                * sum(1 for attempt in machine.attempts.values() if attempt.job is job)
            )
        return score

    def score_if_fits(self, job: Job, machine: Machine, reserved: dict[str, Resources]) -> float | None:
        """Return the full score of a machine for the job; None if no task fits in unreserved resources."""
        score = self._shared_score_if_fits(job, machine, reserved)
        return None if score is None else score + self._job_score(job, machine)

    def _shared_score_if_fits(
        self, job: Job, machine: Machine, reserved: dict[str, Resources]
    ) -> float | None:
        """Return the shared part of a score; None if no task fits in unreserved resources."""
        # Most machines are full, and excluded here by at most three comparisons each.
        free, need = machine.free, job.task_resources
        if not fits(need, free) or not may_use(job, machine):
            return None
        free = machine.free_after_reservations(reserved)
        return self._shared_score(job, machine, free) if fits(need, free) else None

    def ranking(self, job: Job, view: FreeCapacityView) -> Ranking:
        """Return the machines on which a task of the job fits, best shared score first."""
        return self._rankings.ranking(
            view, job, lambda machine: self._shared_score_if_fits(job, machine, view.reserved)
        )

    def preemption_on(
        self, job: Job, machine: Machine, machine_index: int, excess: QuotaExcess | None = None
    ) -> PreemptionOption | None:
        """Return the option to preempt on a machine for a task of the job, or None.

        ``excess`` is set if the team is at its limit: then the victims are the team's own and must cover it.
        The worker receives the stops and the start together, so the limit holds throughout.
        """
        candidates = self._preemptible_by_machine(job).get(machine.name)
        if candidates is None or not may_use(job, machine) or not machine.can_list(job.task_resources):
            return None
        victims = self._cached_victims(job, machine, candidates, excess)
        if victims is None:
            return None
        lost_s = sum(self._preemption_cost_s(victim) for victim in victims)
        cost = image_wait_s(machine, job) + lost_s * _LOST_SECONDS_WEIGHT + len(victims) * _VICTIM_COST_S
        return PreemptionOption(cost, machine_index, PlacementChoice(machine, victims))

    def preemptions(
        self, job: Job, machines: Iterable[Machine], excess: QuotaExcess | None = None
    ) -> list[PreemptionOption]:
        """Return the options to preempt for a task of the job, least cost first."""
        found = []
        if self._preemptible_by_machine(job):
            for machine_index, machine in enumerate(machines):
                option = self.preemption_on(job, machine, machine_index, excess)
                if option is not None:
                    found.append(option)
        found.sort(key=lambda entry: entry[:2])
        return found

    def preemptible_on(self, job: Job, machine: Machine) -> list[Attempt]:
        """Return the attempts on a machine that the job may preempt, in the order in which to stop them.

        Attempts of gangs are left out, and all if this cycle has preempted on the machine already.
        """
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
        """Return the sort key of victims: lowest priority, then least cost, then newest first."""
        return -attempt.job.priority, self._preemption_cost_s(attempt), -attempt.created_at

    def preemption_cost_s(self, attempt: Attempt) -> float:
        """Return the cost in seconds of preempting an attempt."""
        return self._preemption_cost_s(attempt)

    def _preemptible_by_machine(self, job: Job) -> dict[str, list[Attempt]]:
        """Return by machine name the attempts that the job may preempt; cached, as a cycle adds none."""
        key = (job.spec.team, job.priority, job.within_guarantee)
        found = self._preemptible_cache.get(key)
        if found is None:
            found = {}
            for other in self._active_jobs:
                if not self._may_preempt(job, other):
                    continue
                for attempt in other.active.values():
                    if attempt.stop_requested_at is None and attempt.status in STOPPABLE:
                        found.setdefault(attempt.machine.name, []).append(attempt)
            self._preemptible_cache[key] = found
        return found

    def _cached_victims(
        self, job: Job, machine: Machine, candidates: list[Attempt], excess: QuotaExcess | None
    ) -> list[Attempt] | None:
        """Return the victims on a machine; without ``excess`` they are cached for a version of the machine.

        Choosing them again on every machine for each pending task made a cycle take seconds after a burst of
        jobs on a fleet of 650 machines.
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
        """Return the attempts to stop, in order; None if preemption is insufficient or not needed.

        Empty if the task fits in what earlier preemptions of this cycle free.
        """
        free = machine.free
        if excess is None and fits(job.task_resources, free):
            return None
        # Add what earlier preemptions of this cycle free; otherwise each further start on the machine would
        # stop more victims than it needs.
        free = add_scaled(free, self._freed_by_preemption.get(machine.name, NO_RESOURCES))
        if excess is None and fits(job.task_resources, free):
            return []
        stoppable = [
            attempt
            for attempt in candidates
            if attempt.stop_requested_at is None
            and (excess is None or attempt.job.spec.team == job.spec.team)
        ]
        max_free = free
        for attempt in stoppable:
            max_free = add_scaled(max_free, attempt.job.task_resources)
        if not fits(job.task_resources, max_free):
            return None
        stoppable.sort(key=self._victim_order)
        chosen: list[Attempt] = []
        excess_cpus, excess_accelerators = excess or (0.0, 0.0)
        for attempt in stoppable:
            free = add_scaled(free, attempt.job.task_resources)
            excess_cpus -= attempt.job.task_resources[CPUS]
            excess_accelerators -= attempt.job.task_resources[ACCELERATORS]
            chosen.append(attempt)
            if fits(job.task_resources, free) and (
                excess is None or (excess_cpus <= EPSILON and excess_accelerators <= EPSILON)
            ):
                return chosen
        return None

    @staticmethod
    def _may_preempt(job: Job, other: Job) -> bool:
        if other.spec.team == job.spec.team or other.within_guarantee == job.within_guarantee:
            # The larger number is the lower priority.
            return other.priority > job.priority
        # Between teams the job within its guarantee may preempt the other one, whatever their priorities, and
        # never the reverse. Otherwise two jobs could preempt each other forever: one by its priority, the
        # other by its guarantee.
        return job.within_guarantee
