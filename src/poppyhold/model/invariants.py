"""Safety invariants, asserted where an action leaves the process or a proof is used."""

from __future__ import annotations

import logging
import threading
from collections import Counter
from enum import Enum

log = logging.getLogger(__name__)

# Every violation is an error line that begins with this.
VIOLATION_PREFIX = "invariant violated:"


class Invariant(Enum):
    """What must always hold; the value names the rule in the log."""

    START_NEEDS_GRANT = "start needs grant"
    NO_START_OF_FINALIZED_JOB = "no start of finalized job"
    RENEWAL_STOPS_FINALIZED_JOB = "renewal stops finalized job"
    FORGETTING_VOIDS_STARTS = "forgetting voids starts"
    START_FITS_HEARTBEAT = "start fits heartbeat"
    FINAL_ANSWER_IS_DURABLE = "final answer is durable"


class InvariantViolations:
    """Counts and logs violations. Thread-safe."""

    def __init__(self) -> None:
        self._counts: Counter[Invariant] = Counter()
        self._lock = threading.Lock()

    def record(self, invariant: Invariant, subject: str, evidence: str) -> None:
        """Log and count a violation; the caller refuses the action.

        Args:
            invariant: What does not hold.
            subject: The job, task or machine.
            evidence: On what the action was decided, as `key=value` pairs.

        """
        with self._lock:
            self._counts[invariant] += 1
        log.error("%s rule=%r subject=%s %s", VIOLATION_PREFIX, invariant.value, subject, evidence)

    @property
    def total(self) -> int:
        """Number of violations in this process."""
        with self._lock:
            return self._counts.total()


# Of this process: violations are counted over all terms.
violations = InvariantViolations()
