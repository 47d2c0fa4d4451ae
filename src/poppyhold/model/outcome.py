"""The outcome of one request to another system, as known to the sender."""

from __future__ import annotations

from enum import StrEnum


class RequestOutcome(StrEnum):
    """What is known of a request once it was answered or timed out."""

    OK = "ok"
    # Answered: nothing of it was or will be executed.
    REJECTED = "rejected"
    # It never left this process: nothing of it was or will be executed.
    NOT_SENT = "not sent"
    # Sent and not answered: it may have been executed, or may be later.
    UNKNOWN = "unknown"
