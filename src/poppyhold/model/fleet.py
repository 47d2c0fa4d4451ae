"""All jobs and machines of the fleet, and the resource usage that every placement must respect."""

from __future__ import annotations

from collections.abc import Container

from poppyhold.model.entities import TASK_ACTIVE, Attempt, Job, Machine
from poppyhold.model.resources import ACCELERATORS, CPUS, NO_RESOURCES, Resources, add_scaled


class Fleet:
    """Machines, jobs, and the resource usage of teams."""

    def __init__(self) -> None:
        self.machines: dict[str, Machine] = {}
        self.jobs: dict[str, Job] = {}
        # Cpus and accelerators of each team's attempts, at the indices ``CPUS`` and ``ACCELERATORS``.
        self.used_by_team: dict[str, list[float]] = {}

    def add_attempt(self, attempt: Attempt) -> None:
        """Record an attempt in its job, its machine and its team's usage."""
        job, machine = attempt.job, attempt.machine
        job.states[attempt.index] = TASK_ACTIVE
        job.active[attempt.index] = attempt
        job.active_by_zone[machine.zone] = job.active_by_zone.get(machine.zone, 0) + 1
        machine.attempts[attempt.name] = attempt
        machine.set_used(add_scaled(machine.used, job.task_resources))
        used = self.used_by_team.setdefault(job.spec.team, [0.0, 0.0])
        used[CPUS] += job.task_resources[CPUS]
        used[ACCELERATORS] += job.task_resources[ACCELERATORS]

    def unaccounted_resources(self, unreconciled: Container[str]) -> Resources:
        """Return the resources of machines whose tasks are not known; they count as used by every team."""
        total = NO_RESOURCES
        for machine in self.machines.values():
            if machine.name in unreconciled or machine.unknown_tasks:
                total = add_scaled(total, machine.capacity)
        return total

    def remove_attempt(self, attempt: Attempt) -> None:
        """Remove an attempt that is proven terminated; its task is pending again unless it is done."""
        job, machine = attempt.job, attempt.machine
        del job.active[attempt.index]
        job.active_by_zone[machine.zone] -= 1
        del machine.attempts[attempt.name]
        machine.set_used(
            add_scaled(machine.used, job.task_resources, -1.0) if machine.attempts else NO_RESOURCES
        )
        used = self.used_by_team[job.spec.team]
        used[CPUS] -= job.task_resources[CPUS]
        used[ACCELERATORS] -= job.task_resources[ACCELERATORS]
        if job.states[attempt.index] == TASK_ACTIVE:
            job.release(attempt.index)
