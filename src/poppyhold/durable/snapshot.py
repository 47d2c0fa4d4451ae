"""What the state service holds when a term of leading begins."""

from __future__ import annotations

from collections.abc import Iterable

from poppyhold.durable.keys import (
    ACTIVE_JOB_PREFIX,
    COMPLETION_RANGES_PREFIX,
    COMPLETIONS_PREFIX,
    LAUNCH_PREFIX,
    MACHINE_PREFIX,
    PLAN_PREFIX,
    QUOTA_PREFIX,
)
from poppyhold.durable.prefix_reader import PrefixReader
from poppyhold.durable.store import Data, Entry, Store, grouped

# The active jobs come first: what is known of one that ends meanwhile is dropped.
_PREFIXES = (
    ACTIVE_JOB_PREFIX,
    PLAN_PREFIX,
    COMPLETIONS_PREFIX,
    COMPLETION_RANGES_PREFIX,
    LAUNCH_PREFIX,
    MACHINE_PREFIX,
)


class Snapshot:
    """Every durable record that a new leader builds on, by the rest of its key."""

    def __init__(
        self,
        active: Iterable[Entry] = (),
        plans: dict[str, Data] | None = None,
        done: dict[str, dict[str, Data]] | None = None,
        launches: dict[str, Data] | None = None,
        machines: dict[str, Data] | None = None,
        quota: Iterable[Entry] = (),
    ) -> None:
        self.active = list(active)
        self.plans = plans or {}
        # By the prefix of the records.
        self.done = done or {}
        self.launches = launches or {}
        self.machines = machines or {}
        self.quota = list(quota)


class SnapshotReader:
    """Reads all of it, page by page. Behind a page that failed it goes on where it was.

    Only the leader writes what comes behind the active jobs, so that nothing of it changes while it is read;
    the active jobs are read once more by the watch that goes on from here.
    """

    def __init__(self, store: Store, with_quota: bool = False) -> None:
        """``with_quota``: this is one cell of several, and has shares of teams' limits."""
        prefixes = (*_PREFIXES, QUOTA_PREFIX) if with_quota else _PREFIXES
        self._readers = {prefix: PrefixReader(store, prefix) for prefix in prefixes}

    def read(self) -> Snapshot:
        """Read what is left; behind an error, call it again to go on."""
        for reader in self._readers.values():
            reader.read()
        return Snapshot(
            self._readers[ACTIVE_JOB_PREFIX].entries,
            self._records(PLAN_PREFIX),
            {prefix: self._records(prefix) for prefix in (COMPLETIONS_PREFIX, COMPLETION_RANGES_PREFIX)},
            self._records(LAUNCH_PREFIX),
            self._records(MACHINE_PREFIX),
            self._readers[QUOTA_PREFIX].entries if QUOTA_PREFIX in self._readers else (),
        )

    def _records(self, prefix: str) -> dict[str, Data]:
        return grouped(self._readers[prefix].entries, prefix)
