"""Heartbeats reconciled with the controller's state: which of them prove something, and what they prove."""

from __future__ import annotations

from collections.abc import Callable

from poppyhold.execution.attempt_lifecycle import AttemptLifecycle
from poppyhold.execution.failures import FailureTracker
from poppyhold.execution.heartbeat_commands import HeartbeatCommands
from poppyhold.execution.lease_expiry import LeaseExpiry
from poppyhold.execution.machine_records import request_machine_record
from poppyhold.execution.task_observation import TaskObserver
from poppyhold.model.context import Context
from poppyhold.model.entities import Attempt, Job, Machine, StartChannel
from poppyhold.model.outcome import RequestOutcome
from poppyhold.wire.worker_messages import Heartbeat, HeartbeatResponse, TaskState


class AttemptReconciler:
    """Keeps the picture of every machine true to its newest heartbeat, and to nothing older."""

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
        self.lifecycle = AttemptLifecycle(ctx, self._handle_command_response, on_attempt_terminated)
        self.lease_expiry = LeaseExpiry(ctx, self.lifecycle)
        self._task_observer = TaskObserver(ctx, self.lifecycle, failures, on_task_completed, on_run_completed)
        # Called for every task of every heartbeat, hence bound once.
        self._observe_task = self._task_observer.observe_task
        self._heartbeat_commands = HeartbeatCommands(ctx)

    # -- heartbeats ------------------------------------------------------------------------------

    def handle_heartbeat(self, heartbeat: Heartbeat) -> HeartbeatResponse | None:
        """Answer a worker's heartbeat; None if it can't be answered."""
        ctx = self._ctx
        now = ctx.clock()
        if heartbeat.fencing_token > ctx.fencing_token:
            ctx.outbound.leadership_lost(heartbeat.fencing_token)
            return None
        machine = ctx.fleet.machines.get(heartbeat.machine)
        if machine is None:
            machine = self._add_unknown_machine(heartbeat, now)
            if machine is None:
                return None
        machine.endpoint = heartbeat.endpoint
        if heartbeat.fencing_token < ctx.term_fencing_token and self._ignores_responses(machine, now):
            self.lifecycle.commands.request_heartbeat(machine, now)
            return None
        machine.last_response_at = now
        if not machine.is_up:
            machine.is_up = True
            machine.up_at = now
            ctx.scheduling_needed = True
        request_machine_record(ctx, machine)
        # A heartbeat from before the worker saw our token may be a copy of any age, and so may one
        # whose sequence number is not above the last: it gets a response, but proves nothing.
        if heartbeat.fencing_token < ctx.term_fencing_token:
            self.lifecycle.commands.request_heartbeat(machine, now)
            commands = self._heartbeat_commands.stop_commands(machine, heartbeat, now)
        elif self._is_newer(heartbeat, machine):
            self._apply_heartbeat(machine, heartbeat, now, is_answered=True)
            commands = self._heartbeat_commands.commands_for_new_heartbeat(machine, heartbeat, now)
        else:
            commands = self._heartbeat_commands.stop_commands(machine, heartbeat, now)
        return HeartbeatResponse(ctx.fencing_token, commands)

    @staticmethod
    def _is_newer(heartbeat: Heartbeat, machine: Machine) -> bool:
        """Whether a heartbeat is newer than all before it; copies and late ones, relayed or not, aren't."""
        return (heartbeat.incarnation, heartbeat.sequence) > (machine.incarnation, machine.sequence)

    def _ignores_responses(self, machine: Machine, now: float) -> bool:
        """Whether a worker from before our term seems not to hear us, so that its lease should end.

        Its heartbeats arrive, but our token does not reach it: every response would be counted as a lease
        that its tasks may live on, and tasks of all older jobs wait until it is reconciled or proven empty.
        Copies of its old heartbeats alone look the same. Once its last lease has expired it is answered
        again.
        """
        if machine.name not in self.lease_expiry.unreconciled:
            return False
        if machine.first_outdated_heartbeat_at is None:
            machine.first_outdated_heartbeat_at = now
        # A worker waits four seconds for a response that is lost, and a second to the next try.
        return now - machine.first_outdated_heartbeat_at > max(
            self._ctx.durations.lease_s / 2, 4 * self._ctx.durations.heartbeat_interval_s
        )

    def _add_unknown_machine(self, heartbeat: Heartbeat, now: float) -> Machine | None:
        """Add a machine that we did not know: one launched late, or one that was there before us."""
        ctx = self._ctx
        machine_type = ctx.machine_types.get(heartbeat.machine_type)
        if machine_type is None or heartbeat.machine in ctx.deleted_at:
            return None
        machine = Machine(heartbeat.machine, machine_type, heartbeat.zone, heartbeat.spot, known_since=now)
        machine.images.update(ctx.image_hints.get(heartbeat.machine, ()))
        ctx.fleet.machines[heartbeat.machine] = machine
        return machine

    def _apply_heartbeat(self, machine: Machine, heartbeat: Heartbeat, now: float, is_answered: bool) -> None:
        """Apply a heartbeat that is newer than all before it, as the truth about its machine.

        ``is_answered``: the worker sent it by itself and gets a response, rather than in answer to a command.
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
        if heartbeat.notice_s is not None and machine.preempted_at is None:
            machine.preempted_at = now + heartbeat.notice_s
            machine.preemption_notice_at = now
            ctx.scheduling_needed = True
        present: set[str] = set()
        for task in heartbeat.tasks:
            if task.status == TaskState.EXITED:
                self._task_observer.handle_exit(machine, task, now)
            else:
                present.add(task.task)
                self._observe_task(machine, task, now)
        for attempt in list(machine.attempts.values()):
            if attempt.name not in present and self._absence_proves_termination(
                attempt, heartbeat, is_answered
            ):
                self._mark_absent(attempt, now)
        self.lease_expiry.unreconciled.discard(machine.name)

    def _begin_incarnation(self, machine: Machine, incarnation: int, now: float) -> None:
        """End what earlier incarnations held: a later one began with nothing."""
        durations = self._ctx.durations
        if machine.reconciled and now - machine.last_heartbeat_at < durations.lease_s / 2:
            # We answered all the while: our responses do not reach it, and it should not be relied on.
            machine.unreliable_until = now + durations.cancel_s
        for attempt in list(machine.attempts.values()):
            if attempt.incarnation < incarnation:
                self.lifecycle.mark_terminated(attempt)

    def _mark_absent(self, attempt: Attempt, now: float) -> None:
        """End an attempt that a heartbeat proves not to be on its machine."""
        if attempt.status == TaskState.SENT and attempt.stopping_at is None:
            self._back_off_machine(attempt, now)
        self.lifecycle.mark_terminated(attempt)

    def _back_off_machine(self, attempt: Attempt, now: float) -> None:
        """Start nothing for a while on a machine that did not carry out a start."""
        durations = self._ctx.durations
        if attempt.start_channel is StartChannel.HEARTBEAT_RESPONSE:
            # Its responses do not come through.
            attempt.machine.unschedulable_until = now + durations.lease_s / 2
        elif attempt.void_at_fencing_token is None:
            # It had the command. Most likely it holds an earlier attempt that has ended, which is removed
            # with the response to its next heartbeat. Where the start was repeated at once, again and again,
            # a heartbeat was never its newest message.
            attempt.machine.unschedulable_until = now + 2 * durations.heartbeat_interval_s

    @staticmethod
    def _absence_proves_termination(attempt: Attempt, heartbeat: Heartbeat, is_answered: bool) -> bool:
        """Whether a newer heartbeat without the attempt shows that it is not there and won't be."""
        if attempt.status != TaskState.SENT:
            return True
        if attempt.start_in_flight:
            return False
        if attempt.void_at_fencing_token is not None:
            # The start may be held back in the network: it is void once the worker has a higher token.
            return heartbeat.fencing_token >= attempt.void_at_fencing_token
        if attempt.start_channel is StartChannel.HEARTBEAT_RESPONSE:
            # The next heartbeat is sent only when the response has come or was given up. What was not handed
            # out yet goes with the response to this one: it was taken for lost, and its machine got no work.
            return is_answered and 0 <= attempt.response_sequence < heartbeat.sequence
        return True

    # -- responses to commands -------------------------------------------------------------------

    def _handle_command_response(
        self, machine: Machine, starts: list[Attempt], outcome: RequestOutcome, heartbeat: Heartbeat | None
    ) -> None:
        """Handle the outcome of a request to a worker, and the heartbeat that came with its response."""
        ctx = self._ctx
        now = ctx.clock()
        machine.command_in_flight = False
        if ctx.fleet.machines.get(machine.name) is not machine:
            return
        if heartbeat is not None and heartbeat.fencing_token > ctx.fencing_token:
            ctx.outbound.leadership_lost(heartbeat.fencing_token)
            return
        for attempt in starts:
            if machine.attempts.get(attempt.name) is attempt:
                self.lifecycle.handle_start_outcome(attempt, outcome)
        if outcome in (RequestOutcome.NOT_SENT, RequestOutcome.UNKNOWN):
            machine.unreliable_until = now + ctx.durations.lease_s / 2
        if (
            heartbeat is not None
            and heartbeat.machine == machine.name
            and heartbeat.fencing_token >= ctx.term_fencing_token
            and (heartbeat.incarnation, heartbeat.sequence) > (machine.incarnation, machine.sequence)
        ):
            self._apply_heartbeat(machine, heartbeat, now, is_answered=False)
        elif heartbeat is not None and not machine.reconciled and heartbeat.incarnation > machine.incarnation:
            # The command named another incarnation than the worker's: ask again with the right one.
            machine.incarnation, machine.next_probe_at = heartbeat.incarnation, 0.0
