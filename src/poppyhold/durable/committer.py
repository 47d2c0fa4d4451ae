"""The leader's group commit: its durable steps, many to a transaction, each void once it leads no more."""

from __future__ import annotations

import logging
import threading
import time
from collections import deque
from collections.abc import Callable
from typing import NamedTuple

from poppyhold.concurrency.rate_limiter import RateLimiter
from poppyhold.durable.errors import (
    ConditionFailedError,
    InvalidRequestError,
    LeaseExpiredError,
    OutcomeUnknownError,
    StoreRejectedError,
)
from poppyhold.durable.keys import LEADER_KEY, WRITE_FENCE_KEY
from poppyhold.durable.store import Data, Store, put
from poppyhold.model.outbound import CommitPriority
from poppyhold.settings import Settings

log = logging.getLogger(__name__)

# Units of a transaction, at the most: one whose condition fails makes all of them go one by one.
_MOST_UNITS = 8


class Writer:
    """A leader's transactions, one at a time: each is conditional on its key and on its fence.

    One without an answer may be carried out late, behind newer ones of the same leader: an old plan, hire,
    machine or record of completions would come back, or the token fall. So before the next transaction the
    fence is changed, and what was tried before is void.
    """

    def __init__(self, store: Store, lead_version: int) -> None:
        self._store, self._lead_version = store, lead_version
        self._fence: int | None = None
        self._unsure = False

    def commit(self, conditions: dict[str, int], writes: list[Data]) -> None:
        """Try a transaction once. Behind `OutcomeUnknownError` it may be repeated.

        If it went through after all, the repeat is the same again, or fails conditions of its own.
        """
        if self._fence is None or self._unsure:
            self._raise_fence()
        own = {LEADER_KEY: self._lead_version, WRITE_FENCE_KEY: self._fence or 0}
        try:
            self._store.commit({**own, **conditions}, writes)
        except OutcomeUnknownError:
            self._unsure = True
            raise
        except ConditionFailedError as conflict:
            if WRITE_FENCE_KEY in conflict.failed_keys and LEADER_KEY not in conflict.failed_keys:
                # It is ours alone to change: whoever did, look at it again.
                self._fence = None
                raise StoreRejectedError("the fence has moved") from conflict
            raise

    def _raise_fence(self) -> None:
        if self._unsure and self._fence is not None:
            own = {LEADER_KEY: self._lead_version, WRITE_FENCE_KEY: self._fence}
            try:
                self._fence = self._store.commit(own, [put(WRITE_FENCE_KEY, {"behind": self._fence})])
                self._unsure = False
                return
            except ConditionFailedError as conflict:
                if LEADER_KEY in conflict.failed_keys:
                    raise
                # A try of this very step that had no answer was carried out: that has the same effect.
        entry = self._store.get(WRITE_FENCE_KEY)
        self._fence = entry.version if entry is not None else 0
        self._unsure = False


class Unit(NamedTuple):
    """One durable step of the leader: it is carried out whole or not at all."""

    conditions: dict[str, int]
    writes: list[Data]
    done: Callable[[bool], None]


class Committer:
    """The leader's writes, many units to a transaction, each conditional on the leader's key."""

    def __init__(
        self, store: Store, settings: Settings, lead_version: int, on_deposed: Callable[[], None]
    ) -> None:
        self._writer, self._on_deposed = Writer(store, lead_version), on_deposed
        limits = settings.settings.state.lowest
        self._ops = limits.txn_ops
        # Two thirds of the writes: the rest is for the users' nodes and the election. A burst of a third of a
        # second's worth goes out at once.
        self._pace = RateLimiter(limits.write_rps / 1.5, burst=self._ops / 2)
        self._pause_s = 2 / limits.rps
        self._longest_pause_s = max(self._pause_s, settings.settings.workers.heartbeat_interval_s / 8)
        # By rank; each in order, lest the oldest starve in a burst.
        self._queues: dict[CommitPriority, deque[Unit]] = {priority: deque() for priority in CommitPriority}
        self._wake = threading.Condition()
        self._stopped = False
        self._thread = threading.Thread(target=self._run, name="committer", daemon=True)
        self._thread.start()

    def submit(self, unit: Unit, priority: CommitPriority = CommitPriority.BACKGROUND) -> None:
        """Queue a unit; its ``done`` is called with True once durable, False if a condition failed."""
        with self._wake:
            self._queues[priority].append(unit)
            self._wake.notify()

    def stop(self) -> None:
        """End the thread; units that are queued are dropped."""
        with self._wake:
            self._stopped = True
            self._wake.notify()

    def _next_queue(self) -> deque[Unit] | None:
        """The first queue that holds anything."""
        return next((self._queues[priority] for priority in CommitPriority if self._queues[priority]), None)

    def _take(self) -> list[Unit]:
        with self._wake:
            while not (self._next_queue() or self._stopped):
                self._wake.wait()
            units: list[Unit] = []
            writes = conditions = 0
            keys: set[str] = set()
            while (waiting := self._next_queue()) and not self._stopped:
                unit = waiting[0]
                writes += len(unit.writes)
                conditions += len(unit.conditions)
                own = {str(write.get("set") or write.get("remove")) for write in unit.writes}
                if units and (
                    writes > self._ops
                    or conditions + 2 > 4 * self._ops
                    or len(units) >= _MOST_UNITS
                    # What order two changes of a key have within a transaction is not said.
                    or not keys.isdisjoint(own)
                ):
                    break
                keys |= own
                units.append(waiting.popleft())
            return units

    def _run(self) -> None:
        while not self._stopped:
            units = self._take()
            wait_s = self._pace.ready_at() - time.monotonic()
            if wait_s > 0:
                time.sleep(wait_s)
            self._pace.consume(sum(len(unit.writes) for unit in units), time.monotonic())
            self._carry_out(units)

    def _carry_out(self, units: list[Unit]) -> None:
        conditions: dict[str, int] = {}
        writes: list[Data] = []
        for unit in units:
            conditions.update(unit.conditions)
            writes += unit.writes
        pause_s = self._pause_s
        while units and not self._stopped:
            try:
                self._writer.commit(conditions, writes)
            except ConditionFailedError as conflict:
                self._conflicted(units, conflict)
            except InvalidRequestError as error:
                log.warning("commit of %d changes: %s", len(writes), error)
                self._rejected(units)
            except (StoreRejectedError, OutcomeUnknownError, LeaseExpiredError) as error:
                # Every unit may be repeated: its writes are the same each time, and its conditions
                # fail if the first try went through after all, which the unit's owner looks into.
                log.debug("commit: %s", error)
                # At the same pace all through an outage, this alone took half of the requests that the state
                # service allows, from renewals and users as well.
                time.sleep(pause_s)
                pause_s = min(2 * pause_s, self._longest_pause_s)
                continue
            else:
                for unit in units:
                    unit.done(True)
            return

    def _conflicted(self, units: list[Unit], conflict: ConditionFailedError) -> None:
        """A condition failed: ours to lead, or one of a unit's own."""
        if LEADER_KEY in conflict.failed_keys:
            self._stopped = True
            self._on_deposed()
        elif len(units) == 1:
            units[0].done(False)
        else:
            self._one_by_one(units)

    def _rejected(self, units: list[Unit]) -> None:
        """The transaction is above a limit, perhaps one that was lowered without notice."""
        if len(units) > 1:
            self._one_by_one(units)
            return
        # It can't be dropped: whoever waits for it goes by whether it is durable. But nothing else may wait
        # for it, so it goes to the end of the line.
        time.sleep(self._longest_pause_s)
        self.submit(units[0])

    def _one_by_one(self, units: list[Unit]) -> None:
        for unit in units:
            self._carry_out([unit])
