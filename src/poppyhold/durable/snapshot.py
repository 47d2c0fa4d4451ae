"""The contents of the state service when a leader's term begins."""

from __future__ import annotations

from collections.abc import Iterable

from poppyhold.durable.changes import Data, Entry
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
from poppyhold.durable.store import Store

# Active jobs are read first: records of a job that ends meanwhile are dropped.
_PREFIXES = (
    ACTIVE_JOB_PREFIX,
    PLAN_PREFIX,
    COMPLETIONS_PREFIX,
    COMPLETION_RANGES_PREFIX,
    LAUNCH_PREFIX,
    MACHINE_PREFIX,
)


class Snapshot:
    """Every durable record that a new leader starts from, by its key without the prefix."""

    def __init__(
        self,
        active_jobs: Iterable[Entry] = (),
        plans: dict[str, Data] | None = None,
        completions: dict[str, dict[str, Data]] | None = None,
        launches: dict[str, Data] | None = None,
        machines: dict[str, Data] | None = None,
        quota: Iterable[Entry] = (),
    ) -> None:
        self.active_jobs = list(active_jobs)
        self.plans = plans or {}
        # Records of completions, by prefix.
        self.completions = completions or {}
        self.launches = launches or {}
        self.machines = machines or {}
        self.quota = list(quota)


class SnapshotReader:
    """Reads a snapshot page by page. After a failed page it continues with that page.

    Only the leader, which is still reading, writes the other prefixes, so they don't change meanwhile. The
    leader's watch then reads the active jobs once more.
    """

    def __init__(self, store: Store, with_quota: bool = False) -> None:
        """``with_quota``: also read quota allocations, which only a cell among several has."""
        prefixes = (*_PREFIXES, QUOTA_PREFIX) if with_quota else _PREFIXES
        self._readers = {prefix: PrefixReader(store, prefix) for prefix in prefixes}

    def read(self) -> Snapshot:
        """Read the remaining pages; after an error, call it again to continue."""
        for reader in self._readers.values():
            reader.read()
        quota = self._readers.get(QUOTA_PREFIX)
        return Snapshot(
            active_jobs=self._readers[ACTIVE_JOB_PREFIX].entries,
            plans=self._records(PLAN_PREFIX),
            completions={
                prefix: self._records(prefix) for prefix in (COMPLETIONS_PREFIX, COMPLETION_RANGES_PREFIX)
            },
            launches=self._records(LAUNCH_PREFIX),
            machines=self._records(MACHINE_PREFIX),
            quota=quota.entries if quota is not None else (),
        )

    def _records(self, prefix: str) -> dict[str, Data]:
        """The records below a prefix, by the rest of their key."""
        return {entry.key.removeprefix(prefix): entry.data for entry in self._readers[prefix].entries}
