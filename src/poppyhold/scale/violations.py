"""Broken rules that a run found."""

from __future__ import annotations

# Messages that are kept; the violations after them are only counted.
_MAX_KEPT_MESSAGES = 50


class RuleViolations:
    """Counts violations and keeps the messages of the first ones; any of them fails the run."""

    def __init__(self) -> None:
        self.messages: list[str] = []
        self.count = 0

    def add(self, message: str) -> None:
        """Record that a rule was broken."""
        self.count += 1
        if len(self.messages) < _MAX_KEPT_MESSAGES:
            self.messages.append(message)
