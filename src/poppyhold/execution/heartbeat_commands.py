"""The commands in the response to a worker's heartbeat."""

from __future__ import annotations

import logging

from poppyhold.execution.start_fencing import StartFencing
from poppyhold.model.context import Context
from poppyhold.model.entities import Attempt, JobPhase, Machine, StartChannel
from poppyhold.wire.task_names import split_task
from poppyhold.wire.worker_messages import Command, CommandKind, Heartbeat, TaskState, TaskStatus

log = logging.getLogger(__name__)


def stop_command(attempt: Attempt, now: float) -> Command:
    """Return the command that stops an attempt, with a grace period of 0 once its own has passed."""
    grace_s = attempt.grace_s
    if attempt.stop_requested_at is not None and now > attempt.stop_requested_at + grace_s:
        grace_s = 0.0
    return Command(CommandKind.STOP, attempt.name, attempt.number, grace_s)


class HeartbeatCommands:
    """Selects commands by comparing a heartbeat with the attempts that are recorded for the machine."""

    def __init__(self, ctx: Context, fencing: StartFencing) -> None:
        self._ctx, self._fencing = ctx, fencing

    def commands_for_new_heartbeat(self, machine: Machine, heartbeat: Heartbeat, now: float) -> list[Command]:
        """Return all commands that are due in the response to a heartbeat that was applied."""
        commands = self._forget_commands(machine, heartbeat)
        if machine.unknown_tasks:
            commands += [
                Command(CommandKind.STOP, task.task, task.attempt, 0.0)
                for task in heartbeat.tasks
                if task.status != TaskState.EXITED and task.task in machine.unknown_tasks
            ]
        for attempt in machine.attempts.values():
            if attempt.stop_requested_at is not None:
                commands.append(stop_command(attempt, now))
            elif (
                attempt.status == TaskState.SENT
                and attempt.start_channel is StartChannel.HEARTBEAT_RESPONSE
                and attempt.response_sequence < 0
            ):
                attempt.response_sequence = heartbeat.sequence
                commands.append(Command(CommandKind.START, attempt.name, attempt.number))
        return commands

    def stop_commands(self, machine: Machine, heartbeat: Heartbeat, now: float) -> list[Command]:
        """Return stops for all tasks that must not run: every response that renews a lease carries them.

        A worker may await the response to a heartbeat that is not applied, and it may be the last to arrive:
        without these stops, a task cancelled long ago would run until the lease expires. A stop of a task
        that is not on the machine has no effect, and the response to a duplicate is dropped.
        """
        commands = [
            stop_command(attempt, now)
            for attempt in machine.attempts.values()
            if attempt.stop_requested_at is not None
        ]
        for task in heartbeat.tasks:
            job = self._ctx.fleet.jobs.get(split_task(task.task)[0])
            if task.status != TaskState.EXITED and (job is None or job.phase is JobPhase.FINALIZED):
                commands.append(Command(CommandKind.STOP, task.task, task.attempt, 0.0))
        return commands

    def _forget_commands(self, machine: Machine, heartbeat: Heartbeat) -> list[Command]:
        """Return the commands that let the worker forget its exited attempts, as far as it may now."""
        exits = [
            task
            for task in heartbeat.tasks
            if task.status == TaskState.EXITED and self._may_forget_exit(task)
        ]
        if not exits or not self._fencing.may_forget_exits(machine, len(exits)):
            return []
        log.debug(
            "exits forgotten: machine=%s incarnation=%d fencing_token=%d newest_start=%d tasks=%s",
            machine.name,
            machine.incarnation,
            self._fencing.fencing_token(machine),
            machine.newest_start_fencing_token,
            [task.task for task in exits],
        )
        return [Command(CommandKind.FORGET, task.task, task.attempt) for task in exits]

    def _may_forget_exit(self, task: TaskStatus) -> bool:
        """Whether a worker may forget a task that ended.

        A completion must be durable first, as until then only the worker stores it.
        """
        job_id, index = split_task(task.task)
        job = self._ctx.fleet.jobs.get(job_id)
        return job is None or job.phase is JobPhase.FINALIZED or index not in job.undurable_completions
