"""The cost of preempting an attempt."""

from __future__ import annotations

from poppyhold.model.context import Context
from poppyhold.model.entities import Attempt
from poppyhold.scheduling.estimates import RunTimeEstimates


class PreemptionCost:
    """Computes the cost of a preemption in seconds.

    It is the lost work, plus a boot time for replicas, gangs and tasks that would miss their deadline.
    """

    def __init__(self, ctx: Context, estimates: RunTimeEstimates) -> None:
        self._ctx, self._estimates = ctx, estimates

    def cost_s(self, victim: Attempt) -> float:
        """Return the cost in seconds of preempting an attempt now."""
        job, boot_s = victim.job, victim.machine.machine_type.boot_s
        if job.is_service:
            # Users need a replica all the time, but a task of an array only at its end.
            return boot_s
        if job.is_gang:
            return boot_s + self._gang_cost_s(victim)
        if victim.running_at is None:
            return 0.0
        now = self._ctx.clock()
        ran_s = now - victim.running_at
        lost_s = ran_s % job.spec.checkpoint_s if job.spec.checkpoint_s > 0 else ran_s
        if job.due_at is not None:
            # A task that would miss its deadline because of the preemption costs more than the lost work; one
            # that misses it anyway does not.
            remaining_s = max(
                0.0, self._estimates.estimate_s(job) - job.saved_work_s.get(victim.index, 0.0) - ran_s
            )
            slack_s = job.due_at - now - remaining_s
            if 0 <= slack_s < lost_s + self._ctx.durations.lease_s:
                lost_s += boot_s
        return lost_s

    def _gang_cost_s(self, victim: Attempt) -> float:
        """Return the seconds of work that all tasks of a gang lose if one of them is preempted."""
        job, now = victim.job, self._ctx.clock()
        if victim.running_at is None:
            return 0.0
        ran_s = now - victim.running_at
        if job.spec.checkpoint_s <= 0:
            return ran_s * job.spec.tasks
        silent_s = self._ctx.durations.silent_s
        # A gang saves a checkpoint before it stops only if all of its machines are reachable.
        reachable = all(now - member.machine.last_heartbeat_at <= silent_s for member in job.active.values())
        lost_s = min(ran_s, job.spec.save_s) if reachable else ran_s % job.spec.checkpoint_s
        return lost_s * job.spec.tasks
