"""Life cycle of attempts: start, stop, and removal once they are proven terminated."""

from __future__ import annotations

import logging
from collections.abc import Callable

from poppyhold.execution.direct_commands import DirectCommands, OnCommandResponse
from poppyhold.execution.gangs import Gangs
from poppyhold.execution.heartbeat_commands import stop_command
from poppyhold.execution.start_fencing import StartFencing
from poppyhold.model.context import Context
from poppyhold.model.entities import Attempt, Job, Machine, StartChannel
from poppyhold.model.outcome import RequestOutcome
from poppyhold.wire.worker_messages import Command, CommandKind, TaskState

log = logging.getLogger(__name__)


class AttemptLifecycle:
    """Starts, stops and removes attempts, and notifies their gang attempts."""

    def __init__(
        self,
        ctx: Context,
        fencing: StartFencing,
        on_command_response: OnCommandResponse,
        on_attempt_terminated: Callable[[Attempt], None],
    ) -> None:
        """Create the life cycle of one term's attempts.

        Args:
            ctx: The context that the parts of the core share.
            fencing: Voids starts whose outcome is unknown.
            on_command_response: Called with the outcome of each request to a worker.
            on_attempt_terminated: Called before an attempt that is proven terminated is removed.

        """
        self._ctx, self._fencing, self._on_attempt_terminated = ctx, fencing, on_attempt_terminated
        self.gangs = Gangs(ctx, self.stop)
        self.commands = DirectCommands(ctx, fencing, self.mark_terminated, on_command_response)

    def start(self, job: Job, index: int, machine: Machine, victims: list[Attempt]) -> Attempt:
        """Start a task on a machine, after stopping the victims there."""
        now = self._ctx.clock()
        number = self.gangs.attempt_number(job) if job.is_gang else self._ctx.next_unique_number()
        attempt = Attempt(job, index, number, machine, machine.incarnation, now)
        for victim in victims:
            self.stop(victim, 0.0, now, direct=False)
        if now < machine.connection_unreliable_until:
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
            "start task: task=%s class=%s machine=%s attempt=%d victims=%d image=%s image_gb=%.1f cached=%s",
            attempt.name,
            job.spec.job_class,
            machine.name,
            number,
            len(victims),
            job.spec.image,
            job.spec.image_gb,
            job.spec.image in machine.images,
        )
        return attempt

    def stop(self, attempt: Attempt, grace_s: float, now: float, direct: bool = True) -> None:
        """Stop an attempt; heartbeat responses repeat the command until the attempt is proven terminated.

        Args:
            attempt: The attempt.
            grace_s: Seconds that its task has to save; an earlier, shorter grace period stays.
            now: The current time.
            direct: Whether to also send the command directly; heartbeat responses carry it in any case.

        """
        if attempt.stop_requested_at is None:
            attempt.stop_requested_at = now
            attempt.grace_s = grace_s
        else:
            attempt.grace_s = min(attempt.grace_s, grace_s)
        if (
            attempt.status == TaskState.SENT
            and attempt.start_channel is StartChannel.HEARTBEAT_RESPONSE
            and attempt.response_sequence < 0
        ):
            # Its start was never sent.
            self.mark_terminated(attempt)
            return
        if direct:
            self.commands.enqueue(attempt.machine, stop_command(attempt, now))

    def handle_start_outcome(self, attempt: Attempt, outcome: RequestOutcome) -> None:
        """Handle the outcome of the request that carried an attempt's start."""
        attempt.start_in_flight = False
        if attempt.status != TaskState.SENT:
            return
        if outcome in (RequestOutcome.REJECTED, RequestOutcome.NOT_SENT):
            # The start was not executed, and won't be.
            self.mark_terminated(attempt)
        elif outcome == RequestOutcome.UNKNOWN:
            attempt.void_at_fencing_token = self._fencing.void_sent_starts(attempt.machine)

    def void_ignored_start(self, attempt: Attempt, now: float) -> None:
        """Void a start that its worker answered and ignored: a copy of it may still be executed.

        Most likely the worker still lists an earlier, exited attempt of the task, until a heartbeat response
        tells it to forget that. With immediate retries, its newest heartbeat would always come in the
        response to a direct request, and get no response itself.
        """
        machine = attempt.machine
        attempt.void_at_fencing_token = self._fencing.void_sent_starts(machine)
        machine.unschedulable_until = now + 2 * self._ctx.durations.heartbeat_interval_s
        # A request without commands brings the token at once.
        self.commands.enqueue(machine)

    def mark_terminated(self, attempt: Attempt) -> None:
        """Remove an attempt that is proven terminated."""
        log.debug(
            "attempt terminated: task=%s machine=%s attempt=%d status=%s",
            attempt.name,
            attempt.machine.name,
            attempt.number,
            attempt.status,
        )
        self._on_attempt_terminated(attempt)
        self._ctx.fleet.remove_attempt(attempt)
        if attempt.job.is_gang:
            self.gangs.task_terminated(attempt, self._ctx.clock())
        self._ctx.scheduling_needed = True
