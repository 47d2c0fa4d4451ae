"""Execution of a placement choice: stops the victims, starts the task and books it."""

from __future__ import annotations

from poppyhold.execution.reconciliation import AttemptReconciler
from poppyhold.model.context import Context
from poppyhold.model.entities import Job
from poppyhold.scheduling.bookings import Bookings
from poppyhold.scheduling.placement import Placement, PlacementChoice


class TaskStarter:
    """Starts tasks on their chosen machines."""

    def __init__(
        self, ctx: Context, reconciler: AttemptReconciler, bookings: Bookings, placement: Placement
    ) -> None:
        self._ctx, self._reconciler, self._bookings, self._placement = ctx, reconciler, bookings, placement

    def start(self, job: Job, index: int, choice: PlacementChoice) -> None:
        """Start a task, unless gangs among its victims must save their checkpoints first."""
        if self._stop_gangs_first(job, choice):
            return
        attempt = self._reconciler.lifecycle.start(job, index, choice.machine, choice.victims)
        self._placement.record_preemptions(choice)
        self._bookings.consume_start(job, choice.machine.name)
        self._bookings.book_attempt(attempt)

    def _stop_gangs_first(self, job: Job, choice: PlacementChoice) -> bool:
        """Stop gangs among the victims, which save checkpoints first; return whether the start must wait."""
        gangs = {victim.job.id: victim.job for victim in choice.victims if victim.job.is_gang}
        if not gangs:
            return False
        now = self._ctx.clock()
        for gang in gangs.values():
            self._reconciler.lifecycle.gangs.stop(gang, now)
        save_s = max(gang.spec.save_s for gang in gangs.values())
        job.preemption_allowed_at = now + save_s + 2 * self._ctx.durations.heartbeat_interval_s
        return True
