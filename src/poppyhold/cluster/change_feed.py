"""Changes that another controller was not sent yet, in batches that fit into a message."""

from __future__ import annotations

from itertools import islice
from typing import Generic, TypeVar

V = TypeVar("V")


class ChangeFeed(Generic[V]):
    """Follows a map of values by name for one receiver. Names that are gone are not sent."""

    def __init__(self, max_entries: int) -> None:
        """At most ``max_entries`` entries are sent at a time."""
        self._max_entries = max_entries
        self._sent: dict[str, V] = {}
        # Whether the last batch may have left something out.
        self.has_more = False

    def next_batch(self, values: dict[str, V]) -> list[tuple[str, V]]:
        """The next of the entries that differ from what was sent."""
        changed = (entry for entry in values.items() if self._sent.get(entry[0]) != entry[1])
        batch = list(islice(changed, self._max_entries))
        self.has_more = len(batch) == self._max_entries
        for name in self._sent.keys() - values.keys():
            del self._sent[name]
        self._sent.update(batch)
        return batch
