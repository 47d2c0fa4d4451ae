"""The outcome of one request to another system, as far as the sender can tell."""

from __future__ import annotations

from enum import StrEnum


class RequestOutcome(StrEnum):
    """What is known of a request once it was answered or timed out."""

    OK = "ok"
    # It was answered, and nothing of it was or will be carried out.
    REJECTED = "rejected"
    # It never left this process: nothing of it was or will be carried out.
    NOT_SENT = "not sent"
    # It was sent and not answered: it may have been carried out, or may be later.
    UNKNOWN = "unknown"
