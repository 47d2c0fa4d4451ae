"""What runs where: starts, stops, and the proofs that an attempt is over."""

from __future__ import annotations

import logging
from collections.abc import Callable

from poppyhold.durable.changes import put_record
from poppyhold.durable.keys import MACHINE_PREFIX
from poppyhold.durable.records import MachineRecord
from poppyhold.execution.direct_commands import DirectCommands
from poppyhold.execution.failures import Failures
from poppyhold.execution.gangs import Gangs
from poppyhold.execution.heartbeat_commands import HeartbeatCommands, stop_command
from poppyhold.model.context import Context
from poppyhold.model.entities import TASK_DONE, Attempt, Job, JobPhase, Machine, RecordState, StartChannel
from poppyhold.model.outbound import CommitPriority
from poppyhold.model.outcome import RequestOutcome
from poppyhold.wire.task_names import split_task
from poppyhold.wire.worker_messages import (
    HAS_IMAGE,
    Command,
    CommandKind,
    ExitCause,
    Heartbeat,
    HeartbeatResponse,
    TaskState,
    TaskStatus,
)

log = logging.getLogger(__name__)


class AttemptReconciler:
    """Keeps the picture of every machine true to its newest report, and nothing older."""

    def __init__(
        self,
        ctx: Context,
        on_done: Callable[[Job, int], None],
        on_over: Callable[[Attempt], None],
        on_ran: Callable[[Attempt, float], None],
        failures: Failures,
    ) -> None:
        self._ctx = ctx
        self._on_task_completed, self._on_attempt_terminated, self._on_run_completed = (
            on_done,
            on_over,
            on_ran,
        )
        self.gangs = Gangs(ctx, self.stop)
        self.failures = failures
        # Machines that may hold tasks of terms before ours and have not been heard in it.
        self.unreconciled: set[str] = set()
        self._all_reconciled_logged = False
        self._heartbeat_commands = HeartbeatCommands(ctx)
        self.commands = DirectCommands(ctx, self.mark_terminated, self._handle_command_response)
        self.began_at = ctx.clock()

    # -- reports ---------------------------------------------------------------------------------

    def handle_heartbeat(self, heartbeat: Heartbeat) -> HeartbeatResponse | None:
        """Answer a worker's report; None if it can't be answered."""
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
            self.commands.request_heartbeat(machine, now)
            return None
        machine.last_response_at = now
        if not machine.is_up:
            machine.is_up = True
            machine.up_at = now
            ctx.scheduling_needed = True
        self._request_record(machine)
        # A report from before the worker saw our token may be a copy of any age, and so may one
        # whose sequence number is not above the last: it gets an answer, but proves nothing.
        if heartbeat.fencing_token < ctx.term_fencing_token:
            self.commands.request_heartbeat(machine, now)
            commands = self._heartbeat_commands.stop_commands(machine, heartbeat, now)
        elif self._is_newer(heartbeat, machine):
            self.apply_heartbeat(machine, heartbeat, now, answered=True)
            commands = self._heartbeat_commands.commands_for_new_heartbeat(machine, heartbeat, now)
        else:
            commands = self._heartbeat_commands.stop_commands(machine, heartbeat, now)
        return HeartbeatResponse(ctx.fencing_token, commands)

    @staticmethod
    def _is_newer(heartbeat: Heartbeat, machine: Machine) -> bool:
        """Whether a report is newer than all before it; copies and late ones, relayed or not, are none."""
        return (heartbeat.incarnation, heartbeat.sequence) > (machine.incarnation, machine.sequence)

    def _ignores_responses(self, machine: Machine, now: float) -> bool:
        """Whether a worker from before our term seems not to hear us, so that its lease had better end.

        Its reports arrive, but our token does not reach it: every answer would be counted as a lease that its
        tasks may live on, and tasks of all older jobs wait until it is heard or proven empty. Copies of its
        old reports alone look the same. Once its last lease is over it is answered again.
        """
        if machine.name not in self.unreconciled:
            return False
        if machine.first_heartbeat_at is None:
            machine.first_heartbeat_at = now
        # A worker waits four seconds for an answer that is lost, and a second to the next try.
        return now - machine.first_heartbeat_at > max(
            self._ctx.durations.lease_s / 2, 4 * self._ctx.durations.heartbeat_interval_s
        )

    def _add_unknown_machine(self, heartbeat: Heartbeat, now: float) -> Machine | None:
        """A machine that we did not know: a late hire, or one that was there before us."""
        ctx = self._ctx
        machine_type = ctx.machine_types.get(heartbeat.machine_type)
        if machine_type is None or heartbeat.machine in ctx.deleted_at:
            return None
        machine = Machine(heartbeat.machine, machine_type, heartbeat.zone, heartbeat.spot, known_since=now)
        machine.images.update(ctx.image_hints.get(heartbeat.machine, ()))
        ctx.fleet.machines[heartbeat.machine] = machine
        return machine

    def _request_record(self, machine: Machine) -> None:
        if machine.record_state is not RecordState.NOT_RECORDED or machine.deleting:
            return
        machine.record_state = RecordState.REQUESTED

        def durable(done: bool) -> None:
            machine.record_state = RecordState.DURABLE if done else RecordState.NOT_RECORDED
            self._ctx.scheduling_needed = True

        record = MachineRecord(machine.endpoint, machine.machine_type, machine.zone, machine.spot)
        write = put_record(MACHINE_PREFIX + machine.name, record)
        # Nothing starts on the machine before: a plan's record serves nobody without one.
        self._ctx.outbound.commit({}, [write], durable, CommitPriority.SOONEST)

    def apply_heartbeat(self, machine: Machine, heartbeat: Heartbeat, now: float, answered: bool) -> None:
        """Take a report that is newer than all before it as the truth about its machine."""
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
            machine.notice_at = now
            ctx.scheduling_needed = True
        present: set[str] = set()
        for task in heartbeat.tasks:
            if task.status == TaskState.EXITED:
                self._handle_exit(machine, task, now)
            else:
                present.add(task.task)
                self._observe_task(machine, task, now)
        for attempt in list(machine.attempts.values()):
            if attempt.name not in present and self._absence_proves_termination(attempt, heartbeat, answered):
                self._mark_absent(attempt, now)
        self.unreconciled.discard(machine.name)

    def _begin_incarnation(self, machine: Machine, incarnation: int, now: float) -> None:
        """A later session began with nothing: whatever an earlier one held is over."""
        times = self._ctx.durations
        if machine.reconciled and now - machine.last_heartbeat_at < times.lease_s / 2:
            # We answered all the while: our answers do not reach it, and it had better not be relied on.
            machine.unreliable_until = now + times.cancel_s
        for attempt in list(machine.attempts.values()):
            if attempt.incarnation < incarnation:
                self.mark_terminated(attempt)

    def _mark_absent(self, attempt: Attempt, now: float) -> None:
        """A report proves that the attempt is not on its machine."""
        if attempt.status == TaskState.SENT and attempt.stopping_at is None:
            self._back_off_machine(attempt, now)
        self.mark_terminated(attempt)

    def _back_off_machine(self, attempt: Attempt, now: float) -> None:
        """Start nothing on a machine for a while that did not take a start."""
        times = self._ctx.durations
        if attempt.start_channel is StartChannel.HEARTBEAT_RESPONSE:
            # Its answers do not come through.
            attempt.machine.unschedulable_until = now + times.lease_s / 2
        elif attempt.void_at_fencing_token is None:
            # It had the command. Most likely it holds an earlier attempt that has ended, which is removed
            # with the answer to its next report. Where the start was repeated at once, again and again, a
            # report was never its newest message.
            attempt.machine.unschedulable_until = now + 2 * times.heartbeat_interval_s

    @staticmethod
    def _absence_proves_termination(attempt: Attempt, heartbeat: Heartbeat, answered: bool) -> bool:
        """Whether a newer report without the attempt shows that it is not there and won't be."""
        if attempt.status != TaskState.SENT:
            return True
        if attempt.start_in_flight:
            return False
        if attempt.void_at_fencing_token is not None:
            # The start may be held back in the network: it is void once the worker has a higher token.
            return heartbeat.fencing_token >= attempt.void_at_fencing_token
        if attempt.start_channel is StartChannel.HEARTBEAT_RESPONSE:
            # The next report is sent only when the answer has come or was given up. What was not handed out
            # yet goes with the answer to this one: it was taken for lost, and its machine got no work.
            return answered and 0 <= attempt.response_sequence < heartbeat.sequence
        return True

    def _observe_task(self, machine: Machine, task: TaskStatus, now: float) -> None:
        job_id, index = split_task(task.task)
        job = self._ctx.fleet.jobs.get(job_id)
        attempt = machine.attempts.get(task.task)
        if attempt is not None and attempt.number == task.attempt:
            if attempt.status != task.status:
                self._handle_status_change(attempt, task.status, now)
        elif attempt is None and job is not None and 0 <= index < job.spec.tasks and index not in job.active:
            self._adopt(
                Attempt(job, index, task.attempt, machine, machine.incarnation, now), task.status, now
            )
        else:
            machine.unknown_tasks.add(task.task)

    def _handle_status_change(self, attempt: Attempt, status: str, now: float) -> None:
        self._update_status(attempt, status, now)
        if status == TaskState.RUNNING:
            log.debug("%s runs, %.1f s behind its start", attempt.name, now - attempt.sent_at)
        if attempt.job.is_gang:
            self.gangs.task_reported(attempt, now)

    @staticmethod
    def _update_status(attempt: Attempt, status: str, now: float) -> None:
        attempt.status = status
        attempt.machine.version += 1
        if status == TaskState.RUNNING:
            attempt.running_at = attempt.running_at or now
        if status in HAS_IMAGE:
            spec = attempt.job.spec
            attempt.machine.touch_image(spec.image, spec.image_gb)

    def _adopt(self, attempt: Attempt, status: str, now: float) -> None:
        """Count a task that an earlier leader started."""
        job, index = attempt.job, attempt.index
        completed = job.states[index] == TASK_DONE
        self._update_status(attempt, status, now)
        self._ctx.fleet.add_attempt(attempt)
        if completed:
            job.states[index] = TASK_DONE
        if completed or job.phase is JobPhase.FINALIZED:
            # It runs, so it counts; but nobody has a use for it any more.
            attempt.stopping_at = now
        elif job.is_gang:
            self.gangs.adopt(attempt, now)

    def _handle_exit(self, machine: Machine, task: TaskStatus, now: float) -> None:
        job_id, index = split_task(task.task)
        job = self._ctx.fleet.jobs.get(job_id)
        if job is None or not 0 <= index < job.spec.tasks:
            return
        attempt = machine.attempts.get(task.task)
        ours = attempt is not None and attempt.number == task.attempt
        if task.cause == ExitCause.DONE:
            machine.touch_image(job.spec.image, job.spec.image_gb)
            if ours and attempt is not None:
                self.failures.task_completed(attempt)
                if attempt.running_at is not None:
                    self._on_run_completed(attempt, now)
            news = job.complete(index)
            if news:
                job.undurable_completions.update(range(job.spec.tasks) if job.is_gang else (index,))
            if ours and attempt is not None:
                self.mark_terminated(attempt)
            if news:
                self._on_task_completed(job, index)
        elif ours and attempt is not None:
            self._handle_failure(attempt, task, now)
            if job.is_gang:
                self.gangs.task_exited(attempt, task.cause, now)
            self.mark_terminated(attempt)

    def _handle_failure(self, attempt: Attempt, task: TaskStatus, now: float) -> None:
        job, machine = attempt.job, attempt.machine
        log.debug("%s on %s ended: %s", attempt.name, machine.name, task.cause)
        if task.cause == ExitCause.ERROR:
            self.failures.task_failed(attempt, now)
        elif task.cause in (ExitCause.NO_ROOM, ExitCause.BUSY):
            machine.unschedulable_until = now + 2 * self._ctx.durations.heartbeat_interval_s
        elif task.cause == ExitCause.UNKNOWN_TASK:
            job.retry_at = now + self._ctx.durations.heartbeat_interval_s

    def mark_terminated(self, attempt: Attempt) -> None:
        """Remove an attempt that is proven to be over."""
        log.debug("over: %s on %s, was %s", attempt.name, attempt.machine.name, attempt.status)
        self._on_attempt_terminated(attempt)
        self._ctx.fleet.remove_attempt(attempt)
        if attempt.job.is_gang:
            self.gangs.task_terminated(attempt, self._ctx.clock())
        self._ctx.scheduling_needed = True

    # -- commands ----------------------------------------------------------------------------------

    def start(self, job: Job, index: int, machine: Machine, victims: list[Attempt]) -> Attempt:
        """Start a task, after stopping the victims on the same machine."""
        now = self._ctx.clock()
        number = self.gangs.attempt_number(job) if job.is_gang else self._ctx.next_unique_number()
        attempt = Attempt(job, index, number, machine, machine.incarnation, now)
        for victim in victims:
            self.stop(victim, 0.0, now, direct=False)
        if now < machine.unreliable_until:
            attempt.start_channel = StartChannel.HEARTBEAT_RESPONSE
        else:
            attempt.start_channel = StartChannel.DIRECT
            attempt.start_in_flight = True
            self.commands.enqueue(
                machine,
                *(stop_command(victim, now) for victim in victims),
                Command(CommandKind.START, attempt.name, attempt.number),
            )
        self._ctx.fleet.add_attempt(attempt)
        log.debug(
            "start %s of %s on %s as %d, stopping %d; %s, %.1f GB, %s",
            attempt.name,
            job.spec.job_class,
            machine.name,
            number,
            len(victims),
            job.spec.image,
            job.spec.image_gb,
            "held" if job.spec.image in machine.images else "to be fetched",
        )
        return attempt

    def stop(self, attempt: Attempt, grace_s: float, now: float, direct: bool = True) -> None:
        """Stop an attempt, and keep saying so until it is proven gone."""
        if attempt.stopping_at is None:
            attempt.stopping_at = now
            attempt.grace_s = grace_s
        else:
            attempt.grace_s = min(attempt.grace_s, grace_s)
        if (
            attempt.status == TaskState.SENT
            and attempt.start_channel is StartChannel.HEARTBEAT_RESPONSE
            and attempt.response_sequence < 0
        ):
            # Its start was never handed out.
            self.mark_terminated(attempt)
            return
        if direct:
            self.commands.enqueue(attempt.machine, stop_command(attempt, now))

    def _handle_command_response(
        self, machine: Machine, batch: list[Attempt], outcome: RequestOutcome, heartbeat: Heartbeat | None
    ) -> None:
        ctx = self._ctx
        now = ctx.clock()
        machine.command_in_flight = False
        if ctx.fleet.machines.get(machine.name) is not machine:
            return
        if heartbeat is not None and heartbeat.fencing_token > ctx.fencing_token:
            ctx.outbound.leadership_lost(heartbeat.fencing_token)
            return
        for attempt in batch:
            if machine.attempts.get(attempt.name) is attempt:
                self._handle_start_outcome(attempt, outcome)
        if outcome in (RequestOutcome.NOT_SENT, RequestOutcome.UNKNOWN):
            machine.unreliable_until = now + ctx.durations.lease_s / 2
        if (
            heartbeat is not None
            and heartbeat.machine == machine.name
            and heartbeat.fencing_token >= ctx.term_fencing_token
            and (heartbeat.incarnation, heartbeat.sequence) > (machine.incarnation, machine.sequence)
        ):
            self.apply_heartbeat(machine, heartbeat, now, answered=False)
        elif heartbeat is not None and not machine.reconciled and heartbeat.incarnation > machine.incarnation:
            # The command named another session than the worker's: ask again with the right one.
            machine.incarnation, machine.next_probe_at = heartbeat.incarnation, 0.0

    def _handle_start_outcome(self, attempt: Attempt, outcome: RequestOutcome) -> None:
        attempt.start_in_flight = False
        if attempt.status != TaskState.SENT:
            return
        if outcome in (RequestOutcome.REJECTED, RequestOutcome.NOT_SENT):
            # Nothing was executed, and nothing can be later.
            self.mark_terminated(attempt)
        elif outcome == RequestOutcome.UNKNOWN:
            attempt.void_at_fencing_token = self._ctx.fencing_token + 1

    # -- proofs by time, and machines that are gone ------------------------------------------------

    def all_reconciled(self) -> bool:
        """Whether every machine that may hold tasks of terms before ours was heard or is proven empty."""
        if self.unreconciled:
            return False
        if not self._all_reconciled_logged:
            self._all_reconciled_logged = True
            log.info("all machines heard after %.1f s", self._ctx.clock() - self.began_at)
        return True

    def expire_leases(self, machine: Machine, now: float) -> None:
        """End the attempts of a silent worker whose lease is over, whoever might have answered it."""
        times = self._ctx.durations
        if machine.reconciled:
            # It has followed our token, so only we and who stands in for us could renew its lease: as long
            # as nobody else led.
            answered_at = max(machine.last_response_at, self._ctx.outbound.delegated_leases_expire_at())
            bound = answered_at + times.lease_expired_s
        else:
            # Before our term others answered it, for as long as they could at the most.
            bound = max(
                self.began_at + times.predecessors_expired_s, machine.last_response_at + times.lease_expired_s
            )
        if now <= bound or self._ctx.outbound.leadership_confirmed_at() <= bound:
            return
        if machine.attempts:
            log.debug("%s: its last lease is over, %d tasks", machine.name, len(machine.attempts))
        for attempt in list(machine.attempts.values()):
            self.mark_terminated(attempt)
        self.unreconciled.discard(machine.name)

    def machine_deleted(self, machine: Machine) -> None:
        """A machine is gone for certain, with all that was on it."""
        now = self._ctx.clock()
        for attempt in list(machine.attempts.values()):
            self.mark_terminated(attempt)
        self.unreconciled.discard(machine.name)
        self.commands.discard(machine)
        self._ctx.fleet.machines.pop(machine.name, None)
        self._ctx.deleted_at[machine.name] = now
        self._ctx.scheduling_needed = True
