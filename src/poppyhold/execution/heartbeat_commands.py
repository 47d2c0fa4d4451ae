"""The commands in the response to a worker's heartbeat."""

from __future__ import annotations

import logging
from typing import NamedTuple

from poppyhold.execution.invariant_checks import start_fits_heartbeat
from poppyhold.execution.start_fencing import StartFencing
from poppyhold.model.context import Context
from poppyhold.model.entities import Attempt, JobPhase, Machine, StartChannel
from poppyhold.wire.task_names import split_task
from poppyhold.wire.worker_messages import Command, CommandKind, Heartbeat, TaskState, TaskStatus

log = logging.getLogger(__name__)

# Bound once: it is compared for every attempt that is to be stopped.
_FINALIZED = JobPhase.FINALIZED


def stop_command(attempt: Attempt, now: float) -> Command:
    """Return the command that stops an attempt, with a grace period of 0 once its own has passed."""
    grace_s = attempt.grace_s
    if attempt.stop_requested_at is not None and now > attempt.stop_requested_at + grace_s:
        grace_s = 0.0
    return Command(CommandKind.STOP, attempt.name, attempt.number, grace_s)


class ResponseCommands(NamedTuple):
    """The commands that are due in the response to a heartbeat, the most important ones first."""

    # Stops of tasks that must not run: a response without all of them must not renew the lease.
    required: list[Command]
    others: list[Command]


class HeartbeatCommands:
    """Selects commands by comparing a heartbeat with the attempts that are recorded for the machine."""

    def __init__(self, ctx: Context, fencing: StartFencing) -> None:
        self._ctx, self._fencing = ctx, fencing

    def commands_for_new_heartbeat(
        self, machine: Machine, heartbeat: Heartbeat, now: float
    ) -> ResponseCommands:
        """Return the commands that are due in the response to a heartbeat that was applied.

        A machine that lists no more tasks than it may has at most one command for each, so that all fit into
        the response. Of any other the stops come first; what does not fit is due with its next heartbeat.
        """
        required: list[Command] = []
        others: list[Command] = []
        if machine.unknown_tasks:
            required += [
                Command(CommandKind.STOP, task.task, task.attempt, 0.0)
                for task in heartbeat.tasks
                if task.status != TaskState.EXITED and task.task in machine.unknown_tasks
            ]
        starts: list[Command] = []
        for attempt in machine.attempts.values():
            if attempt.stop_requested_at is not None:
                stops = required if attempt.job.phase is _FINALIZED else others
                stops.append(stop_command(attempt, now))
            elif (
                attempt.status == TaskState.SENT
                and attempt.start_channel is StartChannel.HEARTBEAT_RESPONSE
                and attempt.response_sequence < 0
                and start_fits_heartbeat(attempt, self._fencing.fencing_token(machine))
            ):
                attempt.response_sequence = heartbeat.sequence
                starts.append(Command(CommandKind.START, attempt.name, attempt.number))
        others += self._forget_commands(machine, heartbeat)
        others += starts
        return ResponseCommands(required, others)

    def stop_commands(self, machine: Machine, heartbeat: Heartbeat, now: float) -> ResponseCommands:
        """Return stops for all tasks that must not run: every response that renews a lease carries them.

        A worker may await the response to a heartbeat that is not applied, and it may be the last to arrive:
        without these stops, a task cancelled long ago would run until the lease expires. A stop of a task
        that is not on the machine has no effect, and the response to a duplicate is dropped.
        """
        required: list[Command] = []
        others: list[Command] = []
        stopping: set[tuple[str, int]] = set()
        for attempt in machine.attempts.values():
            if attempt.stop_requested_at is not None:
                stops = required if attempt.job.phase is _FINALIZED else others
                stops.append(stop_command(attempt, now))
                stopping.add((attempt.name, attempt.number))
        for task in heartbeat.tasks:
            job = self._ctx.fleet.jobs.get(split_task(task.task)[0])
            if (
                task.status != TaskState.EXITED
                and (job is None or job.phase is _FINALIZED)
                and (task.task, task.attempt) not in stopping
            ):
                required.append(Command(CommandKind.STOP, task.task, task.attempt, 0.0))
        return ResponseCommands(required, others)

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
