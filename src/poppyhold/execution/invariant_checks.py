"""Invariants of commands to workers, asserted as the commands leave the decision core."""

from __future__ import annotations

from poppyhold.model.entities import Attempt, Machine
from poppyhold.model.invariants import Invariant, violations
from poppyhold.wire.worker_messages import Command, CommandKind


def record_start_of_finalized_job(attempt: Attempt, fencing_token: int) -> None:
    """Record a start that was about to be sent although its job is finalized."""
    _record(Invariant.NO_START_OF_FINALIZED_JOB, attempt, fencing_token)


def has_stop(attempt: Attempt, fencing_token: int) -> bool:
    """Whether an attempt of a finalized job is to be stopped; if not, a violation is recorded.

    A response that renews its machine's lease carries the stops of these attempts.
    """
    if attempt.stop_requested_at is not None:
        return True
    _record(Invariant.RENEWAL_STOPS_FINALIZED_JOB, attempt, fencing_token)
    return False


def start_fits_heartbeat(attempt: Attempt, fencing_token: int) -> bool:
    """Whether a machine's heartbeat can list all its tasks with a start; if not, a violation is recorded.

    The attempt is one of the machine's already. A heartbeat above the limit on bodies would be refused, and
    all tasks of the machine would end with its lease.
    """
    if attempt.machine.unlisted_bytes >= 0:
        return True
    _record(Invariant.START_FITS_HEARTBEAT, attempt, fencing_token)
    return False


def without_premature_forgets(machine: Machine, fencing_token: int, commands: list[Command]) -> list[Command]:
    """Return the commands of a response; without those to forget, if its token would not void all starts.

    The worker would execute a copy of a request with the start of an attempt that it has forgotten.
    """
    if fencing_token > machine.newest_start_fencing_token:
        return commands
    safe = [command for command in commands if command.kind is not CommandKind.FORGET]
    if len(safe) < len(commands):
        evidence = (
            f"fencing_token={fencing_token} newest_start_fencing_token={machine.newest_start_fencing_token}"
        )
        violations.record(Invariant.FORGETTING_VOIDS_STARTS, machine.name, evidence)
    return safe


def _record(invariant: Invariant, attempt: Attempt, fencing_token: int) -> None:
    evidence = f"machine={attempt.machine.name} attempt={attempt.number} fencing_token={fencing_token}"
    violations.record(invariant, attempt.name, evidence)
