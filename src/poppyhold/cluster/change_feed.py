"""Changes that have not yet been sent to another controller, in batches that fit into a message."""

from __future__ import annotations

from typing import Generic, TypeVar

from poppyhold.wire.message_limits import json_bytes

V = TypeVar("V")


class ChangeFeed(Generic[V]):
    """Changes of a map of values by name, for one receiver. Removals are not sent."""

    def __init__(self, max_entries: int, max_bytes: int) -> None:
        """A batch has at most ``max_entries`` entries of ``max_bytes`` in JSON form.

        An entry that is larger by itself is not sent.
        """
        self._max_entries, self._max_bytes = max_entries, max_bytes
        self._sent: dict[str, V] = {}
        # Whether changes may remain after the last batch.
        self.has_more = False

    def next_batch(self, values: dict[str, V]) -> list[tuple[str, V]]:
        """The next entries that differ from those sent."""
        batch: list[tuple[str, V]] = []
        remaining_bytes = self._max_bytes
        self.has_more = False
        for entry in values.items():
            name, value = entry
            if self._sent.get(name) == value:
                continue
            size = json_bytes(entry)
            if len(batch) == self._max_entries or remaining_bytes < size <= self._max_bytes:
                self.has_more = True
                break
            self._sent[name] = value
            if size <= self._max_bytes:
                remaining_bytes -= size
                batch.append(entry)
        for name in self._sent.keys() - values.keys():
            del self._sent[name]
        return batch
