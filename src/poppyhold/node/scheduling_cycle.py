"""When the scheduler runs: cycles over all that waits, with rests in between."""

from __future__ import annotations

from poppyhold.execution.reconciliation import AttemptReconciler
from poppyhold.model.context import Context
from poppyhold.model.entities import JobPhase
from poppyhold.scheduling.dispatch import Dispatcher
from poppyhold.scheduling.quotas import Quotas

# A cycle is followed by a rest of so many times its own duration: cycles take a seventh of the time at most.
_PAUSE_RATIO = 6
# Bounds of that rest: the heartbeat interval divided by these.
_MIN_PAUSE_DIVISOR = 25
_MAX_PAUSE_DIVISOR = 2


class SchedulingCycle:
    """Runs the dispatcher when something has changed, at a bounded share of the decision thread's time.

    Events gather between cycles. Those of a large fleet come so fast that cycles without a rest would take
    all the time that heartbeats leave.
    """

    def __init__(
        self, ctx: Context, quotas: Quotas, dispatcher: Dispatcher, reconciler: AttemptReconciler
    ) -> None:
        self._ctx, self._quotas = ctx, quotas
        self._dispatcher, self._reconciler = dispatcher, reconciler
        self._guarantees_stale = True
        self._next_cycle_at = float("-inf")

    def mark_guarantees_stale(self) -> None:
        """Which jobs are guaranteed is found out anew in the next cycle."""
        self._guarantees_stale = True

    def due_at(self) -> float | None:
        """The moment from which on the next cycle may run; None if nothing is to be scheduled."""
        return self._next_cycle_at if self._ctx.scheduling_needed else None

    def run_if_due(self) -> None:
        """Start what may start, if something has changed and the rest after the last cycle is over."""
        ctx = self._ctx
        started_at = ctx.clock()
        if (
            not ctx.scheduling_needed
            or started_at < self._next_cycle_at
            or not ctx.outbound.may_start_tasks()
        ):
            return
        ctx.scheduling_needed = False
        if self._guarantees_stale:
            self._guarantees_stale = False
            self._quotas.mark_guaranteed(
                job for job in ctx.fleet.jobs.values() if job.phase is not JobPhase.FINALIZED
            )
        self._dispatcher.dispatch(self._reconciler.lease_expiry.all_reconciled())
        ended_at = ctx.clock()
        interval_s = ctx.durations.heartbeat_interval_s
        pause_s = max(_PAUSE_RATIO * (ended_at - started_at), interval_s / _MIN_PAUSE_DIVISOR)
        self._next_cycle_at = ended_at + min(pause_s, interval_s / _MAX_PAUSE_DIVISOR)
