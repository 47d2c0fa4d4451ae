"""Timing of the scheduler: cycles over all waiting tasks, with pauses in between."""

from __future__ import annotations

from poppyhold.execution.reconciliation import AttemptReconciler
from poppyhold.model.context import Context
from poppyhold.model.entities import JobPhase
from poppyhold.scheduling.dispatch import Dispatcher
from poppyhold.scheduling.quotas import Quotas

# Pause after a cycle, as a multiple of the cycle's duration: within its bounds, cycles take a seventh of the
# time.
_PAUSE_RATIO = 6
# Bounds of the pause, as divisors of the heartbeat interval.
_MIN_PAUSE_DIVISOR = 25
_MAX_PAUSE_DIVISOR = 2


class SchedulingCycle:
    """Runs the dispatcher after changes, within a bounded share of the decision thread's time.

    Events accumulate between cycles. In a large fleet they are so frequent that cycles without a pause would
    take all the time that heartbeats leave.
    """

    def __init__(
        self, ctx: Context, quotas: Quotas, dispatcher: Dispatcher, reconciler: AttemptReconciler
    ) -> None:
        self._ctx, self._quotas = ctx, quotas
        self._dispatcher, self._reconciler = dispatcher, reconciler
        self._guarantees_stale = True
        self._next_cycle_at = float("-inf")

    def mark_guarantees_stale(self) -> None:
        """Recompute in the next cycle which jobs are guaranteed."""
        self._guarantees_stale = True

    def due_at(self) -> float | None:
        """Return the earliest time of the next cycle; None if there is nothing to schedule."""
        return self._next_cycle_at if self._ctx.scheduling_needed else None

    def run_if_due(self) -> None:
        """Run a cycle if something has changed and the pause after the last cycle is over."""
        ctx = self._ctx
        started_at = ctx.clock()
        if not ctx.scheduling_needed or started_at < self._next_cycle_at or not ctx.may_start_tasks():
            return
        ctx.scheduling_needed = False
        if self._guarantees_stale:
            self._guarantees_stale = False
            self._quotas.mark_guaranteed(
                job for job in ctx.fleet.jobs.values() if job.phase is not JobPhase.FINALIZED
            )
        self._dispatcher.dispatch(self._reconciler.lease_expiry.all_reconciled_or_expired())
        ended_at = ctx.clock()
        interval_s = ctx.durations.heartbeat_interval_s
        pause_s = max(_PAUSE_RATIO * (ended_at - started_at), interval_s / _MIN_PAUSE_DIVISOR)
        self._next_cycle_at = ended_at + min(pause_s, interval_s / _MAX_PAUSE_DIVISOR)
