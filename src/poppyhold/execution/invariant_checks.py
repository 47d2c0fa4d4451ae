"""Invariants of commands to workers, asserted as the commands leave the decision core."""

from __future__ import annotations

from poppyhold.model.entities import Attempt, JobPhase, Machine
from poppyhold.model.invariants import Invariant, violations


def record_start_of_finalized_job(attempt: Attempt, fencing_token: int) -> None:
    """Record a start that was about to be sent although its job is finalized."""
    violations.record(
        Invariant.NO_START_OF_FINALIZED_JOB,
        attempt.name,
        f"machine={attempt.machine.name} attempt={attempt.number} fencing_token={fencing_token}",
    )


def stops_all_finalized_jobs(machine: Machine, fencing_token: int) -> bool:
    """Whether each attempt of a finalized job on the machine is to be stopped; a violation is recorded.

    A response that renews the machine's lease carries the stops of these attempts, and of no others.
    """
    for attempt in machine.attempts.values():
        if attempt.job.phase is JobPhase.FINALIZED and attempt.stop_requested_at is None:
            violations.record(
                Invariant.RENEWAL_STOPS_FINALIZED_JOB,
                attempt.name,
                f"machine={machine.name} attempt={attempt.number} fencing_token={fencing_token}",
            )
            return False
    return True
