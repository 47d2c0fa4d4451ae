"""Which queries one read answers: those that had arrived when it started, and no later ones."""

from __future__ import annotations

import msgspec


class ReadBatch(msgspec.Struct, frozen=True):
    """A read that is about to start, and how many queries it answers."""

    number: int
    queries: int


class ReadBatches:
    """Groups queries into batches, one running at a time. Not safe for use by several threads at a time."""

    def __init__(self) -> None:
        # The number of the batch that queries join which arrive now, and how many have joined it.
        self._next = 1
        self._joined = 0
        self.running = False

    def join(self) -> int:
        """A query arrived: the number of its batch, the first that starts from now on.

        A running batch may have read the store before the query came, and so before another controller told
        its user something newer.
        """
        self._joined += 1
        return self._next

    def start(self) -> ReadBatch:
        """Start the batch that queries have joined; those that arrive from now on join the next one."""
        assert not self.running
        self.running = True
        started = ReadBatch(self._next, self._joined)
        self._next += 1
        self._joined = 0
        return started

    def finish(self) -> None:
        """The running batch has ended."""
        self.running = False
