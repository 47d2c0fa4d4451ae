"""What another controller was not sent yet, in pieces that fit into a message."""

from __future__ import annotations

from itertools import islice
from typing import Generic, TypeVar

V = TypeVar("V")


class ChangeFeed(Generic[V]):
    """Follows a map of values by name for one listener. Names that are gone are not sent."""

    def __init__(self, most: int) -> None:
        """At most ``most`` entries go at a time."""
        self._most = most
        self._sent: dict[str, V] = {}
        # Whether the last piece left anything out.
        self.behind = False

    def next(self, values: dict[str, V]) -> list[tuple[str, V]]:
        """The next piece of what differs from what was sent."""
        changed = (entry for entry in values.items() if self._sent.get(entry[0]) != entry[1])
        piece = list(islice(changed, self._most))
        self.behind = len(piece) == self._most
        for name in self._sent.keys() - values.keys():
            del self._sent[name]
        self._sent.update(piece)
        return piece
