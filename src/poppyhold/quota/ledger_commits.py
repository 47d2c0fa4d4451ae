"""The durable steps of the allocation ledger: one at a time, each under the leader's key."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Protocol

from poppyhold.durable.changes import Write


class Commit(Protocol):
    """Writes under the leader's key, repeated until the outcome is certain; False if a condition failed."""

    def __call__(
        self, conditions: dict[str, int], writes: Sequence[Write], on_result: Callable[[bool], None], /
    ) -> None:
        """Start the commit; the result comes on the same thread."""


class LedgerCommits:
    """Sends the ledger's writes, and tracks whether one is in progress."""

    def __init__(self, commit: Commit, on_inconsistent: Callable[[str], None]) -> None:
        """``on_inconsistent`` is called when the records are not the expected ones.

        The next leader then reads them again.
        """
        self._commit, self._on_inconsistent = commit, on_inconsistent
        self.in_progress = False
        # Records written in this term, for display.
        self.committed_changes = 0

    def start(
        self, conditions: dict[str, int], writes: Sequence[Write], on_committed: Callable[[], None]
    ) -> None:
        """Start one commit; ``on_committed`` is called when it is durable."""
        self.in_progress = True

        def on_result(succeeded: bool) -> None:
            self.in_progress = False
            if succeeded:
                self.committed_changes += len(writes)
                on_committed()
            else:
                # Only the condition that a record is absent can fail, most likely because an earlier try
                # without a response was carried out.
                self._on_inconsistent("an allocation record exists that was expected to be absent")

        self._commit(conditions, writes, on_result)
