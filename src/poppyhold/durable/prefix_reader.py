"""Reading every key with a prefix, page by page."""

from __future__ import annotations

from poppyhold.durable.changes import Entry
from poppyhold.durable.store import Page, Store


class PageCollector:
    """Puts the pages of one prefix together, in their order.

    Several pages are no snapshot: a key of a later page may show a newer state than the revision. Whoever
    continues from that revision with a watch sees every change from there on, some for the second time.
    """

    def __init__(self) -> None:
        self.entries: list[Entry] = []
        self.complete = False
        # The next page begins after this key.
        self.after = ""
        # Revision of the first page, -1 before it; all that is read is at least as new.
        self.revision = -1
        # Revision of the last page: after a watch that has come so far, nothing that was read is newer.
        self.last_revision = -1

    def add(self, page: Page) -> None:
        """Take the next page."""
        if self.revision < 0:
            self.revision = page.revision
        self.last_revision = page.revision
        self.entries += page.entries
        self.complete = not page.more
        if page.entries:
            self.after = page.entries[-1].key


class PrefixReader(PageCollector):
    """Reads all keys with a prefix once. A page that fails is asked for again, not those before it."""

    def __init__(self, store: Store, prefix: str) -> None:
        super().__init__()
        self._store, self._prefix = store, prefix

    def read(self) -> list[Entry]:
        """Read the pages that are left, and return all entries; after an error, call it again to continue."""
        while not self.complete:
            self.add(self._store.page(self._prefix, self.after))
        return self.entries
