"""Invariants of commands to workers, asserted as the commands leave the decision core."""

from __future__ import annotations

from poppyhold.model.entities import Attempt
from poppyhold.model.invariants import Invariant, violations


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


def _record(invariant: Invariant, attempt: Attempt, fencing_token: int) -> None:
    evidence = f"machine={attempt.machine.name} attempt={attempt.number} fencing_token={fencing_token}"
    violations.record(invariant, attempt.name, evidence)
