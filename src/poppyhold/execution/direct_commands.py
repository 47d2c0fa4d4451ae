"""Commands that go straight to workers: what waits to be sent, and the token that makes lost ones void."""

from __future__ import annotations

from collections.abc import Callable

from poppyhold.durable.changes import put_record
from poppyhold.durable.keys import FENCING_TOKEN_KEY
from poppyhold.durable.records import FencingTokenRecord
from poppyhold.model.context import Context
from poppyhold.model.entities import Attempt, Machine
from poppyhold.model.outbound import CommitPriority
from poppyhold.model.outcome import RequestOutcome
from poppyhold.wire.worker_messages import Command, CommandKind, DirectCommandsRequest, Heartbeat

# A machine, the attempts whose starts were sent, the outcome, and the report that came with the answer.
OnAnswered = Callable[[Machine, list[Attempt], RequestOutcome, Heartbeat | None], None]


class DirectCommands:
    """One request to a machine at a time; what comes meanwhile waits and goes with the next."""

    def __init__(self, ctx: Context, on_void: Callable[[Attempt], None], on_answered: OnAnswered) -> None:
        """``on_void``: a start that waited here is not sent any more."""
        self._ctx, self._on_start_discarded, self._on_response = ctx, on_void, on_answered
        self._raise_in_flight = False
        self._began_at = ctx.clock()
        # How many silent workers may be asked now, and as of when.
        self._probe_credit, self._probe_credit_at = ctx.silent_probe_rate, self._began_at
        # Machines with commands to be sent. A walk over all machines behind every report took a tenth of the
        # decision thread's time at 650 of them.
        self._outbox: dict[str, Machine] = {}

    def enqueue(self, machine: Machine, *commands: Command) -> None:
        """Queue commands for a worker."""
        machine.queued_commands += commands
        self._outbox[machine.name] = machine

    def send_queued(self) -> None:
        """Send what is to be said to workers directly."""
        for machine in list(self._outbox.values()):
            if machine.command_in_flight:
                continue
            commands, machine.queued_commands = machine.queued_commands[:200], machine.queued_commands[200:]
            if not machine.queued_commands:
                del self._outbox[machine.name]
            self._send(machine, commands)

    def request_heartbeat(self, machine: Machine, now: float) -> None:
        """Ask a worker that has not taken our token yet for a report, unless there are very many of them.

        Behind a change of leader every worker reports by itself within an interval. With 4,000 of them,
        asking each over a connection of its own kept the leader from those reports, and leases ended.
        """
        ctx = self._ctx
        if (
            len(ctx.fleet.machines) <= ctx.max_initial_probes
            or now - self._began_at > 1.5 * ctx.durations.heartbeat_interval_s
        ):
            self._probe(machine, now)

    def probe_silent_worker(self, machine: Machine, now: float) -> None:
        """Ask a worker that is silent for a report, within a pace.

        Each question is a connection and a thread of its own. Where a leader fell behind, a thousand workers
        looked silent to it, and asking each of them anew in every interval kept it from their reports.
        """
        pace = self._ctx.silent_probe_rate
        self._probe_credit = min(
            pace,
            self._probe_credit
            + (now - self._probe_credit_at) * pace / self._ctx.durations.heartbeat_interval_s,
        )
        self._probe_credit_at = now
        if self._probe_credit >= 1 and now >= machine.next_probe_at and not machine.command_in_flight:
            self._probe_credit -= 1
            self.request_heartbeat(machine, now)

    def _probe(self, machine: Machine, now: float) -> None:
        """Ask a worker for a report, and hand it our token."""
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
        # A start that waited here may be void by now: its session ended and the task runs elsewhere, or it
        # is to be stopped. What was never sent is over.
        commands = [
            command
            for command in commands
            if command.kind is not CommandKind.START or self._is_still_wanted(machine, command)
        ]
        machine.command_in_flight = True
        starts = [command.task for command in commands if command.kind is CommandKind.START]
        batch = [machine.attempts[name] for name in starts if name in machine.attempts]
        # An unheard worker's session is unknown: a command for none is not executed, but answered.
        request = DirectCommandsRequest(ctx.fencing_token, machine.incarnation or 1, commands)
        silent = ctx.clock() - machine.last_heartbeat_at > ctx.durations.silent_s

        def answered(outcome: RequestOutcome, heartbeat: Heartbeat | None) -> None:
            self._on_response(machine, batch, outcome, heartbeat)

        ctx.outbound.send_commands(
            machine.name, machine.endpoint, request.body(), answered, silent and bool(machine.reconciled)
        )

    def _is_still_wanted(self, machine: Machine, command: Command) -> bool:
        attempt = machine.attempts.get(command.task)
        if attempt is None or attempt.number != command.attempt:
            return False
        if attempt.stopping_at is not None:
            self._on_start_discarded(attempt)
            return False
        return True

    def discard(self, machine: Machine) -> None:
        """A machine is gone."""
        self._outbox.pop(machine.name, None)

    def raise_fencing_token(self) -> None:
        """Raise our token if a start is in limbo: commands under the old one then are void."""
        ctx = self._ctx
        if self._raise_in_flight:
            return
        wanted = max(
            (
                attempt.void_at_fencing_token or 0
                for machine in ctx.fleet.machines.values()
                for attempt in machine.attempts.values()
            ),
            default=0,
        )
        if wanted <= ctx.fencing_token:
            return
        self._raise_in_flight = True
        fencing_token = ctx.fencing_token + 1

        def raised(done: bool) -> None:
            self._raise_in_flight = False
            if done:
                ctx.fencing_token = fencing_token
                ctx.outbound.fencing_token_raised(fencing_token)

        ctx.outbound.commit(
            {},
            [put_record(FENCING_TOKEN_KEY, FencingTokenRecord(fencing_token))],
            raised,
            CommitPriority.SOONEST,
        )
