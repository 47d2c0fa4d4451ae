"""Rule violations found by a run."""

from __future__ import annotations

# Messages kept; further violations are only counted.
_MAX_KEPT_MESSAGES = 50


class RuleViolations:
    """Counts violations and keeps the first messages; any violation fails the run."""

    def __init__(self) -> None:
        self.messages: list[str] = []
        self.count = 0

    def add(self, message: str) -> None:
        """Record a violation."""
        self.count += 1
        if len(self.messages) < _MAX_KEPT_MESSAGES:
            self.messages.append(message)
