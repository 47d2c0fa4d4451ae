"""Reading every key with a prefix, page by page."""

from __future__ import annotations

from poppyhold.durable.store import Entry, Store


class PrefixReader:
    """Reads all keys with a prefix once. A page that fails is asked for again, not those before it.

    Several pages are no snapshot: a key of a later page may show a newer state than the revision. Whoever
    goes on from that revision with a watch sees every change from there on, some for the second time.
    """

    def __init__(self, store: Store, prefix: str) -> None:
        self._store, self._prefix = store, prefix
        self._after = ""
        self._complete = False
        self.entries: list[Entry] = []
        # Revision of the first page; all that is read is at least as new.
        self.revision = -1
        # Revision of the last page: behind a watch that has come so far, nothing that was read is newer.
        self.last_revision = -1

    def read(self) -> list[Entry]:
        """Read what is left, and return all entries; behind an error, call it again to go on."""
        while not self._complete:
            page = self._store.page(self._prefix, self._after)
            if self.revision < 0:
                self.revision = page.revision
            self.last_revision = page.revision
            self.entries += page.entries
            self._complete = not page.more
            if page.entries:
                self._after = page.entries[-1].key
        return self.entries
