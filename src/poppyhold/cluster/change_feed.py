"""Changes that have not yet been sent to another controller, in batches that fit into a message."""

from __future__ import annotations

from itertools import islice
from typing import Generic, TypeVar

V = TypeVar("V")


class ChangeFeed(Generic[V]):
    """Changes of a map of values by name, for one receiver. Removals are not sent."""

    def __init__(self, max_entries: int) -> None:
        """A batch has at most ``max_entries`` entries."""
        self._max_entries = max_entries
        self._sent: dict[str, V] = {}
        # Whether changes may remain after the last batch.
        self.has_more = False

    def next_batch(self, values: dict[str, V]) -> list[tuple[str, V]]:
        """The next entries that differ from those sent."""
        changed = (entry for entry in values.items() if self._sent.get(entry[0]) != entry[1])
        batch = list(islice(changed, self._max_entries))
        self.has_more = len(batch) == self._max_entries
        for name in self._sent.keys() - values.keys():
            del self._sent[name]
        self._sent.update(batch)
        return batch
