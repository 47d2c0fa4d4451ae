"""Reservations of fencing tokens: a leader uses a range of them, so that most rises need no write."""

from __future__ import annotations

# Tokens that one write to the state service reserves. A machine takes a new one at most once a heartbeat,
# when its worker forgets exits.
FENCING_TOKENS_PER_RESERVATION = 4096


def highest_reserved_fencing_token(first: int) -> int:
    """Return the highest token of the reservation that begins with ``first``."""
    return first + FENCING_TOKENS_PER_RESERVATION - 1
