"""Reads every key with a prefix, page by page."""

from __future__ import annotations

from poppyhold.durable.changes import Entry
from poppyhold.durable.store import Page, Store


class PageCollector:
    """Collects the pages of one prefix in order.

    Several pages are not a consistent snapshot: entries of later pages may be newer than `revision`. A watch
    that continues from `revision` receives every later change, some of which the entries already contain.
    """

    def __init__(self) -> None:
        self.entries: list[Entry] = []
        self.complete = False
        # The next page begins after this key.
        self.after = ""
        # Revision of the first page, -1 before it; every entry is read at this revision or later.
        self.revision = -1
        # Revision of the last page: every change in the entries has at most this revision.
        self.last_revision = -1

    def add(self, page: Page) -> None:
        """Add the next page."""
        if self.revision < 0:
            self.revision = page.revision
        self.last_revision = page.revision
        self.entries += page.entries
        self.complete = not page.more
        if page.entries:
            self.after = page.entries[-1].key


class PrefixReader(PageCollector):
    """Reads all keys with a prefix once. After an error, `read` continues with the page that failed."""

    def __init__(self, store: Store, prefix: str) -> None:
        super().__init__()
        self._store, self._prefix = store, prefix

    def read(self) -> list[Entry]:
        """Read the remaining pages, and return all entries; after an error, call it again to continue."""
        while not self.complete:
            self.add(self._store.page(self._prefix, self.after))
        return self.entries
