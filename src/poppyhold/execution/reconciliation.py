"""Applies heartbeats to the controller's state: which are new, and what a task missing in one proves."""

from __future__ import annotations

import logging
from collections.abc import Callable

from poppyhold.execution.attempt_lifecycle import AttemptLifecycle
from poppyhold.execution.failures import FailureTracker
from poppyhold.execution.heartbeat_limit import excess_attempts
from poppyhold.execution.lease_expiry import LeaseExpiry
from poppyhold.execution.lease_renewal import LeaseRenewal
from poppyhold.execution.machine_records import request_machine_record
from poppyhold.execution.start_fencing import StartFencing
from poppyhold.execution.task_observation import TaskObserver
from poppyhold.model.context import Context
from poppyhold.model.entities import Attempt, Job, Machine, StartChannel
from poppyhold.model.outcome import RequestOutcome
from poppyhold.model.resources import HEARTBEAT_BYTES
from poppyhold.wire.message_limits import entry_bytes
from poppyhold.wire.worker_messages import Heartbeat, HeartbeatResponse, TaskState

log = logging.getLogger(__name__)

# Where no more than this is free of what a machine's heartbeat can list, starts may wait for exits to be
# forgotten. Elsewhere a scheduling cycle for that would find nothing new.
_NEARLY_FULL_BYTES = 4096


class AttemptReconciler:
    """Updates the tasks of every machine from its newest heartbeat only; older ones get a response."""

    def __init__(
        self,
        ctx: Context,
        on_task_completed: Callable[[Job, int], None],
        on_attempt_terminated: Callable[[Attempt], None],
        on_run_completed: Callable[[Attempt, float], None],
        failures: FailureTracker,
    ) -> None:
        self._ctx = ctx
        self.failures = failures
        self.fencing = StartFencing(ctx)
        self.lifecycle = AttemptLifecycle(
            ctx, self.fencing, self._handle_command_response, on_attempt_terminated
        )
        self.lease_expiry = LeaseExpiry(ctx, self.lifecycle)
        self._task_observer = TaskObserver(ctx, self.lifecycle, failures, on_task_completed, on_run_completed)
        # Called for every task of every heartbeat, hence bound once.
        self._observe_task = self._task_observer.observe_task
        self._lease_renewal = LeaseRenewal(ctx, self.fencing, self.lifecycle.commands)

    def handle_heartbeat(self, heartbeat: Heartbeat) -> HeartbeatResponse | None:
        """Return the response to a worker's heartbeat; None if it gets none.

        It gets none if another controller leads, if its machine is deleted or of an unknown type, or if its
        lease is left to expire.
        """
        ctx = self._ctx
        now = ctx.clock()
        if heartbeat.fencing_token > ctx.highest_fencing_token:
            ctx.outbound.leadership_lost(heartbeat.fencing_token)
            return None
        machine = ctx.fleet.machines.get(heartbeat.machine)
        if machine is None:
            machine = self._add_unknown_machine(heartbeat, now)
            if machine is None:
                return None
        machine.endpoint = heartbeat.endpoint
        self.fencing.observe_fencing_token(machine, heartbeat.fencing_token)
        if heartbeat.fencing_token < ctx.term_fencing_token and self._seems_to_miss_responses(machine, now):
            self.lifecycle.commands.request_heartbeat(machine, now)
            return None
        if not machine.is_up:
            machine.is_up = True
            machine.up_at = now
            ctx.scheduling_needed = True
        request_machine_record(ctx, machine)
        # A heartbeat with an earlier term's fencing token, or whose incarnation and sequence number are not
        # above the machine's, may be a duplicate of any age: it gets a response, but its tasks are not
        # applied.
        is_outdated = heartbeat.fencing_token < ctx.term_fencing_token
        is_applied = not is_outdated and self._is_newer(heartbeat, machine)
        if is_outdated:
            self.lifecycle.commands.request_heartbeat(machine, now)
        elif is_applied:
            self._apply_heartbeat(machine, heartbeat, now, is_unsolicited=True)
        return self._lease_renewal.respond(machine, heartbeat, is_applied, now)

    @staticmethod
    def _is_newer(heartbeat: Heartbeat, machine: Machine) -> bool:
        """Whether a heartbeat is newer than all applied before; duplicates and late ones are not."""
        return (heartbeat.incarnation, heartbeat.sequence) > (machine.incarnation, machine.sequence)

    def _seems_to_miss_responses(self, machine: Machine, now: float) -> bool:
        """Whether responses seem not to reach an unreconciled worker, so that its lease is left to expire.

        Its heartbeats still carry an earlier term's fencing token. Each response counts as a renewal of its
        lease, and tasks of jobs that an earlier leader may have started wait until it is reconciled or its
        lease has expired. Late duplicates of its heartbeats have the same effect. After the expiry it is no
        longer unreconciled, and gets responses again.
        """
        if machine.name not in self.lease_expiry.unreconciled:
            return False
        if machine.first_outdated_heartbeat_at is None:
            machine.first_outdated_heartbeat_at = now
        # One lost response does not count: the worker waits 4 s for it, and sends the next heartbeat 1 s
        # later.
        return now - machine.first_outdated_heartbeat_at > max(
            self._ctx.durations.lease_s / 2, 4 * self._ctx.durations.heartbeat_interval_s
        )

    def _add_unknown_machine(self, heartbeat: Heartbeat, now: float) -> Machine | None:
        """Add a machine that was not known: its launch took effect late, or was made in an earlier term."""
        ctx = self._ctx
        machine_type = ctx.machine_types.get(heartbeat.machine_type)
        if machine_type is None or heartbeat.machine in ctx.deleted_at:
            return None
        machine = Machine(
            heartbeat.machine, machine_type, heartbeat.zone, heartbeat.spot, estimated_launch_at=now
        )
        machine.images.update(ctx.image_hints.get(heartbeat.machine, ()))
        ctx.fleet.machines[heartbeat.machine] = machine
        return machine

    def _apply_heartbeat(
        self, machine: Machine, heartbeat: Heartbeat, now: float, is_unsolicited: bool
    ) -> None:
        """Update a machine from a heartbeat that is newer than all applied before.

        ``is_unsolicited``: the worker sent it on its own schedule, so it gets a response with commands;
        otherwise it came in the response to a direct request.
        """
        ctx = self._ctx
        if heartbeat.incarnation > machine.incarnation:
            self._begin_incarnation(machine, heartbeat.incarnation, now)
        machine.incarnation, machine.sequence = heartbeat.incarnation, heartbeat.sequence
        machine.last_heartbeat_at = now
        machine.unknown_tasks = set()
        if not machine.reconciled:
            machine.reconciled = True
            ctx.scheduling_needed = True
        if heartbeat.notice_s is not None and machine.preemption_due_at is None:
            machine.preemption_due_at = now + heartbeat.notice_s
            machine.preemption_notice_at = now
            ctx.scheduling_needed = True
        present: set[str] = set()
        exited_bytes = 0
        for task in heartbeat.tasks:
            if task.status == TaskState.EXITED:
                exited_bytes += entry_bytes(task)
                self._task_observer.handle_exit(machine, task, now)
            else:
                present.add(task.task)
                self._observe_task(machine, task, now)
        self._update_listed_bytes(machine, heartbeat, exited_bytes, now)
        for attempt in list(machine.attempts.values()):
            if attempt.name not in present:
                self._handle_absence(attempt, heartbeat, is_unsolicited, now)
        self.lease_expiry.unreconciled.discard(machine.name)

    def _update_listed_bytes(
        self, machine: Machine, heartbeat: Heartbeat, exited_bytes: int, now: float
    ) -> None:
        """Record what listed tasks without an attempt take, and stop attempts beyond what may be listed."""
        unrecorded_bytes = exited_bytes
        if machine.unknown_tasks:
            unrecorded_bytes += sum(
                entry_bytes(task) for task in heartbeat.tasks if task.task in machine.unknown_tasks
            )
        if unrecorded_bytes != machine.unrecorded_bytes:
            if (
                unrecorded_bytes < machine.unrecorded_bytes
                and machine.free[HEARTBEAT_BYTES] < _NEARLY_FULL_BYTES
            ):
                self._ctx.scheduling_needed = True
            machine.set_unrecorded_bytes(unrecorded_bytes)
        if machine.unlisted_bytes < 0:
            for attempt in excess_attempts(machine, heartbeat):
                self.lifecycle.stop(attempt, attempt.job.spec.save_s, now, direct=False)

    def _begin_incarnation(self, machine: Machine, incarnation: int, now: float) -> None:
        """Remove the attempts of earlier incarnations, as each incarnation begins with no tasks."""
        durations = self._ctx.durations
        if machine.reconciled and now - machine.last_heartbeat_at < durations.lease_s / 2:
            # Its heartbeats arrived until now: if it lost its lease, the responses did not reach it. A start
            # in a response reaches it only together with a renewal of its lease.
            machine.connection_unreliable_until = now + durations.cancel_s
        for attempt in list(machine.attempts.values()):
            if attempt.incarnation < incarnation:
                self.lifecycle.mark_terminated(attempt)

    def _handle_absence(
        self, attempt: Attempt, heartbeat: Heartbeat, is_unsolicited: bool, now: float
    ) -> None:
        """Handle that a newer heartbeat does not list an attempt: it is terminated, or may still start."""
        if self._absence_proves_termination(attempt, heartbeat, is_unsolicited):
            self._mark_absent(attempt, now)
        elif attempt.direct_start_was_answered:
            self.lifecycle.void_ignored_start(attempt, now)

    def _mark_absent(self, attempt: Attempt, now: float) -> None:
        """Remove an attempt that a heartbeat proves not to be on its machine."""
        if (
            attempt.status == TaskState.SENT
            and attempt.stop_requested_at is None
            and attempt.start_channel is StartChannel.HEARTBEAT_RESPONSE
        ):
            # The response that carried the start seems not to have reached the machine.
            attempt.machine.unschedulable_until = now + self._ctx.durations.lease_s / 2
        self.lifecycle.mark_terminated(attempt)

    @staticmethod
    def _absence_proves_termination(attempt: Attempt, heartbeat: Heartbeat, is_unsolicited: bool) -> bool:
        """Whether a newer heartbeat without the attempt proves that it is not on the machine and won't be."""
        if attempt.status != TaskState.SENT:
            return True
        if attempt.start_in_flight:
            return False
        if attempt.start_channel is StartChannel.HEARTBEAT_RESPONSE:
            # A worker sends the next heartbeat only once the response has come or timed out. A start that was
            # not sent yet (sequence -1) goes in the response to this heartbeat; counting it as lost would
            # leave the machine idle.
            return is_unsolicited and 0 <= attempt.response_sequence < heartbeat.sequence
        # The start, or a copy of it, may be delayed in the network; a worker that has seen this token or a
        # higher one rejects it.
        void_at = attempt.void_at_fencing_token
        return void_at is not None and heartbeat.fencing_token >= void_at

    def _handle_command_response(
        self,
        machine: Machine,
        started_attempts: list[Attempt],
        outcome: RequestOutcome,
        heartbeat: Heartbeat | None,
    ) -> None:
        """Handle the outcome of a request to a worker, and the heartbeat that came with its response."""
        ctx = self._ctx
        now = ctx.clock()
        machine.command_in_flight = False
        if ctx.fleet.machines.get(machine.name) is not machine:
            return
        if heartbeat is not None and heartbeat.fencing_token > ctx.highest_fencing_token:
            ctx.outbound.leadership_lost(heartbeat.fencing_token)
            return
        if heartbeat is not None and heartbeat.machine == machine.name:
            self.fencing.observe_fencing_token(machine, heartbeat.fencing_token)
        for attempt in started_attempts:
            if machine.attempts.get(attempt.name) is attempt:
                self.lifecycle.handle_start_outcome(attempt, outcome)
        if outcome in (RequestOutcome.NOT_SENT, RequestOutcome.UNKNOWN):
            machine.connection_unreliable_until = now + ctx.durations.lease_s / 2
        if (
            heartbeat is not None
            and heartbeat.machine == machine.name
            and heartbeat.fencing_token >= ctx.term_fencing_token
            and (heartbeat.incarnation, heartbeat.sequence) > (machine.incarnation, machine.sequence)
        ):
            self._apply_heartbeat(machine, heartbeat, now, is_unsolicited=False)
        elif heartbeat is not None and not machine.reconciled and heartbeat.incarnation > machine.incarnation:
            # The request named another incarnation than the worker's, so it was not executed. The next probe
            # names the right one, and may be sent at once.
            machine.incarnation, machine.next_probe_at = heartbeat.incarnation, 0.0
