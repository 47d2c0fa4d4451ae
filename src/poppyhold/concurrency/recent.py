"""A bounded memory: of the newest of many entries."""

from __future__ import annotations

import threading
from typing import Generic, TypeVar

V = TypeVar("V")


class Recent(Generic[V]):
    """Entries by name; above ``most`` the one that was put first is forgotten. Any thread may use it."""

    def __init__(self, most: int) -> None:
        self._most = max(1, most)
        self._held: dict[str, V] = {}
        self._lock = threading.Lock()

    def put(self, name: str, value: V) -> None:
        """Keep an entry."""
        with self._lock:
            self._held[name] = value
            if len(self._held) > self._most:
                del self._held[next(iter(self._held))]

    def get(self, name: str) -> V | None:
        """An entry, if it is still kept."""
        with self._lock:
            return self._held.get(name)

    def __contains__(self, name: str) -> bool:
        with self._lock:
            return name in self._held
