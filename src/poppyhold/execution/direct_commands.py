"""Direct requests to workers."""

from __future__ import annotations

import logging
from collections.abc import Callable

from poppyhold.execution.invariant_checks import record_start_of_finalized_job, start_fits_heartbeat
from poppyhold.execution.start_fencing import StartFencing
from poppyhold.model.context import Context
from poppyhold.model.entities import Attempt, JobPhase, Machine
from poppyhold.model.outcome import RequestOutcome
from poppyhold.model.start_grant import StartGrant, StartRefusal
from poppyhold.wire.worker_messages import Command, CommandKind, DirectCommandsRequest, Heartbeat

log = logging.getLogger(__name__)

# A machine, the attempts whose starts were sent, the outcome, and the heartbeat in the response.
OnCommandResponse = Callable[[Machine, list[Attempt], RequestOutcome, Heartbeat | None], None]


_MAX_COMMANDS_PER_REQUEST = 200
# For this many heartbeat intervals after a term began, workers are probed only if the fleet is small.
_INITIAL_PROBE_INTERVALS = 1.5


class DirectCommands:
    """Sends requests to workers, one at a time for each machine; commands queued meanwhile go in the next."""

    def __init__(
        self,
        ctx: Context,
        fencing: StartFencing,
        on_start_discarded: Callable[[Attempt], None],
        on_response: OnCommandResponse,
    ) -> None:
        """Create the queues of one term.

        Args:
            ctx: The context that the parts of the core share.
            fencing: Decides which fencing token each request carries.
            on_start_discarded: Called with an attempt that is to be stopped and whose start was not sent.
            on_response: Called with the outcome of each request.

        """
        self._ctx, self._fencing = ctx, fencing
        self._on_start_discarded, self._on_response = on_start_discarded, on_response
        self._term_began_at = ctx.clock()
        # A token bucket: how many silent workers may be probed now, and when it was last refilled.
        self._probe_credit, self._probe_credit_at = ctx.silent_probes_per_interval, self._term_began_at
        # Machines with queued commands. Iterating over all machines after every heartbeat takes a tenth of
        # the decision thread's time at 650 machines.
        self._outbox: dict[str, Machine] = {}

    def enqueue(self, machine: Machine, *commands: Command) -> None:
        """Queue commands for a worker; `send_queued` sends them."""
        machine.queued_commands += commands
        self._outbox[machine.name] = machine

    def send_queued(self) -> None:
        """Send the queued commands to workers that have no request in flight."""
        for machine in list(self._outbox.values()):
            if machine.command_in_flight:
                continue
            commands, machine.queued_commands = (
                machine.queued_commands[:_MAX_COMMANDS_PER_REQUEST],
                machine.queued_commands[_MAX_COMMANDS_PER_REQUEST:],
            )
            if not machine.queued_commands:
                del self._outbox[machine.name]
            self._send(machine, commands)

    def request_heartbeat(self, machine: Machine, now: float) -> None:
        """Probe a worker that lacks the term's fencing token, unless the fleet is large and the term new.

        After a change of leader every worker sends a heartbeat within an interval anyway. Probing each of
        4,000 workers over its own connection delays the handling of those heartbeats until leases expire.
        """
        ctx = self._ctx
        if (
            len(ctx.fleet.machines) <= ctx.max_initial_probes
            or now - self._term_began_at > _INITIAL_PROBE_INTERVALS * ctx.durations.heartbeat_interval_s
        ):
            self._probe(machine, now)

    def probe_silent_worker(self, machine: Machine, now: float) -> None:
        """Probe a silent worker, at a limited rate.

        Each request takes a connection and a thread of its own. When a leader falls behind, a thousand
        workers may look silent, and probing all of them in every interval delays the handling of their
        heartbeats.
        """
        rate = self._ctx.silent_probes_per_interval
        self._probe_credit = min(
            rate,
            self._probe_credit
            + (now - self._probe_credit_at) * rate / self._ctx.durations.heartbeat_interval_s,
        )
        self._probe_credit_at = now
        if self._probe_credit >= 1 and now >= machine.next_probe_at and not machine.command_in_flight:
            self._probe_credit -= 1
            self.request_heartbeat(machine, now)

    def _probe(self, machine: Machine, now: float) -> None:
        """Ask a worker for a heartbeat, by a request that carries the fencing token."""
        if (
            machine.command_in_flight
            or now < machine.next_probe_at
            or not machine.endpoint
            or machine.deleting
        ):
            return
        machine.next_probe_at = now + self._ctx.durations.heartbeat_interval_s
        self._send(machine, [])

    def _send(self, machine: Machine, commands: list[Command]) -> None:
        ctx = self._ctx
        start_grant = self._start_grant(commands)
        # A queued start may be obsolete: its incarnation ended and the task runs elsewhere, or its attempt is
        # to be stopped.
        commands = [
            command
            for command in commands
            if command.kind is not CommandKind.START
            or self._should_send_start(machine, command, start_grant is not None)
        ]
        machine.command_in_flight = True
        starts = [command.task for command in commands if command.kind is CommandKind.START]
        sent = [machine.attempts[name] for name in starts if name in machine.attempts]
        # An unreconciled worker's incarnation is unknown: if the request names another one, the worker
        # responds but executes nothing.
        request = DirectCommandsRequest(
            self._fencing.fencing_token(machine), machine.incarnation or 1, commands
        )
        silent = ctx.clock() - machine.last_heartbeat_at > ctx.durations.silent_s
        if starts:
            self._fencing.record_sent_starts(machine)
            log.debug(
                "starts sent: machine=%s incarnation=%d fencing_token=%d tasks=%s",
                machine.name,
                request.incarnation,
                request.fencing_token,
                starts,
            )

        def on_response(outcome: RequestOutcome, heartbeat: Heartbeat | None) -> None:
            self._on_response(machine, sent, outcome, heartbeat)

        ctx.outbound.send_commands(
            machine.name,
            machine.endpoint,
            request.body(),
            on_response,
            silent and bool(machine.reconciled),
            start_grant,
        )

    def _start_grant(self, commands: list[Command]) -> StartGrant | None:
        """Return the grant for the starts among the commands; None if there are none or they are refused."""
        if all(command.kind is not CommandKind.START for command in commands):
            return None
        grant = self._ctx.outbound.start_grant()
        if isinstance(grant, StartRefusal):
            log.info("queued starts discarded: reason=%r", grant.value)
            return None
        return grant

    def _should_send_start(self, machine: Machine, command: Command, granted: bool) -> bool:
        """Whether to send a queued start; an attempt that may not start now is removed instead."""
        attempt = machine.attempts.get(command.task)
        if attempt is None or attempt.number != command.attempt:
            return False
        if attempt.stop_requested_at is not None or not granted:
            self._on_start_discarded(attempt)
            return False
        if attempt.job.phase is JobPhase.FINALIZED:
            record_start_of_finalized_job(attempt, self._fencing.fencing_token(machine))
            self._on_start_discarded(attempt)
            return False
        if not start_fits_heartbeat(attempt, self._fencing.fencing_token(machine)):
            self._on_start_discarded(attempt)
            return False
        return True

    def discard(self, machine: Machine) -> None:
        """Drop the queued commands of a deleted machine."""
        self._outbox.pop(machine.name, None)
