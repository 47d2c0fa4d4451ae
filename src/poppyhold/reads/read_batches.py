"""Groups queries into batches: a read answers those that arrived before it started, and no others."""

from __future__ import annotations

import msgspec


class ReadBatch(msgspec.Struct, frozen=True):
    """A read that is about to start, and the number of queries that it answers."""

    number: int
    queries: int


class ReadBatches:
    """Groups queries into batches, one running at a time. Not thread-safe."""

    def __init__(self) -> None:
        # The number of the batch that arriving queries join, and how many have joined it.
        self._next = 1
        self._joined = 0
        self.running = False

    def join(self) -> int:
        """Add a query to the first batch that starts from now on, and return the number of that batch.

        A running batch may have read the store before the query arrived, and so before another controller
        returned a newer state to the query's user.
        """
        self._joined += 1
        return self._next

    def start(self) -> ReadBatch:
        """Start the batch that queries have joined; later ones join the next batch."""
        assert not self.running
        self.running = True
        batch = ReadBatch(self._next, self._joined)
        self._next += 1
        self._joined = 0
        return batch

    def finish(self) -> None:
        """Record that the running batch has ended."""
        self.running = False
