"""Whether pending tasks could start here, on existing machines or on machines that can be launched."""

from __future__ import annotations

from collections.abc import Callable

from poppyhold.model.constraints import allowed_machine_types
from poppyhold.model.context import Context
from poppyhold.model.entities import Job
from poppyhold.model.resources import max_copies
from poppyhold.scheduling.eligibility import may_use
from poppyhold.wire.user_messages import Submission


class FreeCapacityEstimate:
    """Free capacity for pending tasks, reserved job by job; created for each measurement."""

    def __init__(self, ctx: Context, can_launch: Callable[[Submission], bool]) -> None:
        self._ctx, self._can_launch = ctx, can_launch
        self._fits: dict[tuple[object, ...], bool] = {}
        self._remaining: dict[tuple[object, ...], int] = {}

    @staticmethod
    def _requirements(job: Job) -> tuple[object, ...]:
        types = job.spec.machine_types
        return job.task_resources, None if types is None else tuple(types), job.spec.zone, job.spec.spot

    def fits_any_machine_type(self, job: Job) -> bool:
        """Whether the job's tasks fit some machine type."""
        requirements = self._requirements(job)
        if requirements not in self._fits:
            self._fits[requirements] = bool(allowed_machine_types(job.spec, self._ctx.machine_types.values()))
        return self._fits[requirements]

    def reserve(self, job: Job, tasks: int) -> int:
        """Reserve capacity for up to ``tasks`` tasks, and return how many; all or none of a gang."""
        requirements = self._requirements(job)
        if requirements not in self._remaining:
            self._remaining[requirements] = self._count_startable(job)
        found = min(tasks, self._remaining[requirements])
        if found < tasks and self._can_launch(job.spec):
            found = tasks
        elif job.is_gang and found < tasks:
            return 0
        self._remaining[requirements] -= min(found, self._remaining[requirements])
        return found

    def _count_startable(self, job: Job) -> int:
        """The number of tasks that fit on existing machines, at most the limit on machines."""
        count, max_count = 0, self._ctx.settings.deployment.machine_limits.machines
        for machine in self._ctx.fleet.machines.values():
            unavailable = machine.quarantined or machine.draining or machine.deleting
            if unavailable or machine.preemption_due_at is not None or not may_use(job, machine):
                continue
            count += max_copies(job.task_resources, machine.free, max_count - count)
            if count >= max_count:
                break
        return count
