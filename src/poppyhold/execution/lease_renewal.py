"""Responses to heartbeats: whether a worker's lease may be renewed, and the commands that go with it."""

from __future__ import annotations

import logging

from poppyhold.execution.direct_commands import DirectCommands
from poppyhold.execution.heartbeat_commands import HeartbeatCommands
from poppyhold.execution.invariant_checks import has_stop, without_premature_forgets
from poppyhold.execution.start_fencing import StartFencing
from poppyhold.model.context import Context
from poppyhold.model.entities import Attempt, JobPhase, Machine
from poppyhold.wire.message_limits import commands_that_fit
from poppyhold.wire.worker_messages import Command, Heartbeat, HeartbeatResponse

log = logging.getLogger(__name__)

# Bound once: it is compared for every attempt of every heartbeat.
_FINALIZED = JobPhase.FINALIZED


class LeaseRenewal:
    """Responds to heartbeats; every response renews the lease of the machine's worker."""

    def __init__(self, ctx: Context, fencing: StartFencing, direct_commands: DirectCommands) -> None:
        self._fencing, self._direct_commands = fencing, direct_commands
        self._heartbeat_commands = HeartbeatCommands(ctx, fencing)

    def respond(
        self, machine: Machine, heartbeat: Heartbeat, is_applied: bool, now: float
    ) -> HeartbeatResponse | None:
        """Return the response to a heartbeat; None if the lease is left to expire.

        ``is_applied``: the heartbeat is newer than all before, and the machine's attempts are up to date.
        """
        if not self._may_renew(machine, now):
            return None
        if is_applied:
            due = self._heartbeat_commands.commands_for_new_heartbeat(machine, heartbeat, now)
        else:
            due = self._heartbeat_commands.stop_commands(machine, heartbeat, now)
        commands = due.required + due.others
        if commands:
            commands = commands_that_fit(commands)
            if len(commands) < len(due.required):
                self._stop_directly(machine, due.required)
                return None
        machine.last_answered_at = now
        fencing_token = self._fencing.fencing_token(machine)
        return HeartbeatResponse(fencing_token, without_premature_forgets(machine, fencing_token, commands))

    def _stop_directly(self, machine: Machine, stops: list[Command]) -> None:
        """Stop tasks of a machine above the limit, whose stops are too many for one response.

        A response without all of them would renew the lease of the others. Direct commands don't.
        """
        log.info("lease not renewed, too many tasks to stop: machine=%s stops=%d", machine.name, len(stops))
        queued = set(machine.queued_commands)
        self._direct_commands.enqueue(machine, *(stop for stop in stops if stop not in queued))

    def _may_renew(self, machine: Machine, now: float) -> bool:
        """Whether a response may renew the machine's lease, given its attempts of finalized jobs."""
        for attempt in machine.attempts.values():
            if attempt.job.phase is _FINALIZED and (
                self._lease_must_expire(attempt, now)
                or not has_stop(attempt, self._fencing.fencing_token(machine))
            ):
                return False
        return True

    def _lease_must_expire(self, attempt: Attempt, now: float) -> bool:
        """Whether only the end of the worker's lease can void a late start of a finalized job in time.

        A stop is executed before such a start, and has no effect. A higher fencing token voids the start, but
        none can be reserved without the state service.
        """
        if now <= attempt.job.renewals_allowed_until or not attempt.start_may_follow_response(
            self._fencing.fencing_token(attempt.machine)
        ):
            return False
        log.info(
            "lease not renewed, finalized job may be started late: machine=%s task=%s attempt=%d",
            attempt.machine.name,
            attempt.name,
            attempt.number,
        )
        return True
