"""What the state service holds when a term of leading begins."""

from __future__ import annotations

from collections.abc import Iterable

from poppyhold.durable.store import (
    ACTIVE,
    DONE_STRETCHES,
    DONE_TASKS,
    HIRE,
    MACHINE,
    PLAN,
    Data,
    Entry,
    Store,
    grouped,
)


class Snapshot:
    """Every durable record that a new leader builds on, by the rest of its key."""

    def __init__(
        self,
        active: Iterable[Entry] = (),
        plans: dict[str, Data] | None = None,
        done: dict[str, dict[str, Data]] | None = None,
        hires: dict[str, Data] | None = None,
        machines: dict[str, Data] | None = None,
    ) -> None:
        self.active = list(active)
        self.plans = plans or {}
        # By the prefix of the records.
        self.done = done or {}
        self.hires = hires or {}
        self.machines = machines or {}


def read_snapshot(store: Store) -> Snapshot:
    """Read all of it. The active jobs come first: what is known of one that ends meanwhile is dropped."""

    def records(prefix: str) -> dict[str, Data]:
        return grouped(store.scan(prefix)[0], prefix)

    return Snapshot(
        store.scan(ACTIVE)[0],
        records(PLAN),
        {prefix: records(prefix) for prefix in (DONE_TASKS, DONE_STRETCHES)},
        records(HIRE),
        records(MACHINE),
    )
