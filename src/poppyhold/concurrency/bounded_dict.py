"""A dictionary of bounded size that evicts its oldest entries."""

from __future__ import annotations

import threading
from typing import Generic, TypeVar

V = TypeVar("V")


class BoundedDict(Generic[V]):
    """Entries by name; beyond ``max_entries`` the one that was added first is evicted. Thread-safe."""

    def __init__(self, max_entries: int) -> None:
        self._max_entries = max(1, max_entries)
        self._entries: dict[str, V] = {}
        self._lock = threading.Lock()

    def put(self, name: str, value: V) -> None:
        """Add or replace an entry."""
        with self._lock:
            self._entries[name] = value
            if len(self._entries) > self._max_entries:
                del self._entries[next(iter(self._entries))]

    def get(self, name: str) -> V | None:
        """An entry; None if it was evicted or never added."""
        with self._lock:
            return self._entries.get(name)

    def __contains__(self, name: str) -> bool:
        with self._lock:
            return name in self._entries
