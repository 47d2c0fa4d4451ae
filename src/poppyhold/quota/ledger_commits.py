"""The commits of the allocation ledger: one at a time, each on the condition of the leader's key."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Protocol

from poppyhold.durable.changes import Write


class Commit(Protocol):
    """Commits on the condition of the leader's key, with retries until the outcome is certain."""

    def __call__(
        self, conditions: dict[str, int], writes: Sequence[Write], on_result: Callable[[bool], None], /
    ) -> None:
        """Start the commit; ``on_result`` is called on the same thread, with False if a condition failed."""


class LedgerCommits:
    """Starts the ledger's commits, and tracks whether one is in progress."""

    def __init__(self, commit: Commit, on_inconsistent: Callable[[str], None]) -> None:
        """``on_inconsistent`` is called when the durable records are not the expected ones.

        The next leader then reads them again.
        """
        self._commit, self._on_inconsistent = commit, on_inconsistent
        self.in_progress = False
        # The number of records written in this term, for display.
        self.committed_changes = 0

    def start(
        self, conditions: dict[str, int], writes: Sequence[Write], on_committed: Callable[[], None]
    ) -> None:
        """Start a commit; ``on_committed`` is called once it is durable."""
        self.in_progress = True

        def on_result(succeeded: bool) -> None:
            self.in_progress = False
            if succeeded:
                self.committed_changes += len(writes)
                on_committed()
            else:
                # Only the condition that a record is absent can fail, most likely because an earlier attempt
                # without a response was committed.
                self._on_inconsistent("an allocation record exists that was expected to be absent")

        self._commit(conditions, writes, on_result)
