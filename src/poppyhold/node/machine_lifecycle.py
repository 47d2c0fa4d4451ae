"""Availability of machines for new tasks, and draining of machines that will be removed."""

from __future__ import annotations

import math

from poppyhold.execution.gangs import GangState
from poppyhold.execution.reconciliation import AttemptReconciler
from poppyhold.model.context import Context
from poppyhold.model.entities import Attempt, Machine
from poppyhold.scheduling.admission import Admission
from poppyhold.wire.worker_messages import TaskState

# Share of a preemption notice that is relied on: a machine may be removed after half of it.
_USABLE_NOTICE_SHARE = 0.5


class MachineLifecycle:
    """Offers machines to the scheduler, and drains them. Decision thread only."""

    def __init__(self, ctx: Context, admission: Admission, reconciler: AttemptReconciler) -> None:
        self._ctx, self._admission, self._reconciler = ctx, admission, reconciler

    def update_availability(self, machine: Machine) -> None:
        """Offer a machine to the scheduler, or withdraw it, according to its last heartbeat."""
        usable = machine.is_up and machine.reconciled and not (machine.quarantined or machine.deleting)
        if usable and machine.preemption_due_at is None:
            self._admission.add_machine(machine)
        else:
            self._admission.remove_machine(machine)

    def handle_removed(self, machine: Machine) -> None:
        """Handle a machine that no longer exists."""
        self._admission.remove_machine(machine)

    def drain_all(self, now: float) -> None:
        """Drain every machine that has a preemption notice or is quarantined."""
        for machine in self._ctx.fleet.machines.values():
            if (machine.preemption_due_at is None and not machine.quarantined) or machine.deleting:
                continue
            self._admission.remove_machine(machine)
            self._drain(machine, now)

    def _drain(self, machine: Machine, now: float) -> None:
        remaining_s = self._remaining_s(machine, now)
        for attempt in list(machine.attempts.values()):
            if attempt.stop_requested_at is not None or not self._must_move(attempt, remaining_s, now):
                continue
            if attempt.job.is_gang:
                self._drain_gang(attempt, remaining_s, now)
            else:
                self._reconciler.lifecycle.stop(attempt, self._grace_s(attempt), now)

    @staticmethod
    def _remaining_s(machine: Machine, now: float) -> float:
        """Return how long the machine can be relied on; infinite without a preemption notice."""
        if machine.preemption_due_at is None or machine.preemption_notice_at is None:
            return math.inf
        notice_s = machine.preemption_due_at - machine.preemption_notice_at
        return notice_s * _USABLE_NOTICE_SHARE - (now - machine.preemption_notice_at)

    def _grace_s(self, attempt: Attempt) -> float:
        """Return the time that a task gets to save a checkpoint before it is stopped."""
        spec = attempt.job.spec
        if spec.checkpoint_s <= 0:
            return 0.0
        return spec.save_s + self._ctx.durations.heartbeat_interval_s

    def _drain_gang(self, attempt: Attempt, remaining_s: float, now: float) -> None:
        """Stop a single task of an assembling gang; stop a running gang as a whole."""
        gangs, job = self._reconciler.lifecycle.gangs, attempt.job
        if gangs.state_of(job) is GangState.ASSEMBLING:
            self._reconciler.lifecycle.stop(attempt, 0.0, now)
        else:
            # If a checkpoint takes longer than the time left, progress is lost anyway: restart at once.
            gangs.stop(job, now, grace_s=0.0 if remaining_s < job.spec.save_s else None)

    def _must_move(self, attempt: Attempt, remaining_s: float, now: float) -> bool:
        """Whether to stop an attempt now because it can't complete on this machine."""
        job = attempt.job
        if job.is_service or attempt.status in (TaskState.SENT, TaskState.FETCHING, TaskState.WAITING):
            return True
        if remaining_s == math.inf:
            # The machine is at fault: its tasks restart elsewhere.
            return True
        elapsed_s = now - attempt.running_at if attempt.running_at is not None else 0.0
        needed_s = max(0.0, self._admission.estimates.estimate_s(job) - elapsed_s)
        if needed_s < remaining_s:
            return False
        if job.spec.checkpoint_s > 0:
            return remaining_s < job.spec.save_s + 2 * self._ctx.durations.heartbeat_interval_s
        return True
