"""The right to send starts of tasks to workers: granted from dated evidence, for a limited time."""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple


class StartRefusal(Enum):
    """Why a leader may not start tasks now."""

    TERM_ENDED = "term ended"
    LEADERSHIP_UNCONFIRMED = "leadership unconfirmed"
    CANCELLATIONS_UNKNOWN = "cancellations unknown"


class StartGrant(NamedTuple):
    """Permits a request with starts to leave the process until it expires."""

    # Evidence: the leader had applied every cancellation that was confirmed before this time.
    cancellations_applied_until: float
    # On the leader's monotonic clock. A request may wait for a sender thread for longer than that.
    expires_at: float

    def allows_sending(self, now: float) -> bool:
        """Whether the starts may still be sent."""
        return now < self.expires_at


def may_send(start_grant: StartGrant | None, now: float) -> bool:
    """Whether a request may leave the process now; None is the grant of a request without starts."""
    return start_grant is None or start_grant.allows_sending(now)
