"""The leader's group commit: many durable steps to a transaction, each conditional on its leadership."""

from __future__ import annotations

import logging
import threading
import time
from collections import deque
from collections.abc import Callable, Sequence
from typing import NamedTuple

from poppyhold.concurrency.rate_limiter import RateLimiter
from poppyhold.durable.changes import Write
from poppyhold.durable.errors import (
    ConditionFailedError,
    InvalidRequestError,
    LeaseExpiredError,
    OutcomeUnknownError,
    StoreRejectedError,
)
from poppyhold.durable.fenced_writer import FencedWriter
from poppyhold.durable.keys import LEADER_KEY
from poppyhold.durable.store import Store
from poppyhold.model.outbound import CommitPriority
from poppyhold.settings import Settings

log = logging.getLogger(__name__)

# Units per transaction: if a condition of one of them fails, all are committed one by one.
_MAX_UNITS = 8
# The state service's limit on conditions, as a multiple of its limit on the writes of a transaction.
_CONDITIONS_PER_WRITE = 4
# Conditions of every transaction of a leader: on its key and on its write fence.
_LEADER_CONDITIONS = 2


class CommitUnit(NamedTuple):
    """One durable step of the leader, committed atomically."""

    conditions: dict[str, int]
    writes: Sequence[Write]
    # Called with True once the step is durable, with False if one of its conditions failed.
    on_committed: Callable[[bool], None]


class Committer:
    """A thread that commits the leader's units, many to a transaction, until its leadership is lost."""

    def __init__(
        self,
        store: Store,
        settings: Settings,
        leader_key_revision: int,
        on_leadership_lost: Callable[[], None],
    ) -> None:
        self._writer = FencedWriter(store, leader_key_revision)
        self._on_leadership_lost = on_leadership_lost
        limits = settings.deployment.state.lowest
        self._max_writes = limits.txn_ops
        # Two thirds of the allowed writes: the rest is for the nodes that serve users and the election. A
        # burst of up to a third of a second's writes is sent at once.
        self._rate_limiter = RateLimiter(limits.write_rps / 1.5, burst=self._max_writes / 2)
        self._retry_pause_s = 2 / limits.rps
        self._max_retry_pause_s = max(
            self._retry_pause_s, settings.deployment.workers.heartbeat_interval_s / 8
        )
        # By priority, each in the order of submission, so that a burst does not starve the oldest units.
        self._queues: dict[CommitPriority, deque[CommitUnit]] = {
            priority: deque() for priority in CommitPriority
        }
        self._queued = threading.Condition()
        self._stopped = False
        self._thread = threading.Thread(target=self._run, name="committer", daemon=True)
        self._thread.start()

    def submit(self, unit: CommitUnit, priority: CommitPriority = CommitPriority.BACKGROUND) -> None:
        """Queue a unit; its ``on_committed`` is called on the committer's thread."""
        with self._queued:
            self._queues[priority].append(unit)
            self._queued.notify()

    def stop(self) -> None:
        """End the thread; queued units are dropped."""
        with self._queued:
            self._stopped = True
            self._queued.notify()

    def _first_queue(self) -> deque[CommitUnit] | None:
        """The non-empty queue of the highest priority."""
        return next((queue for queue in self._queues.values() if queue), None)

    def _next_batch(self) -> list[CommitUnit]:
        """Wait for units; returns those of the next transaction, or none if the thread is to end."""
        with self._queued:
            while not (self._first_queue() or self._stopped):
                self._queued.wait()
            units: list[CommitUnit] = []
            writes = conditions = 0
            keys: set[str] = set()
            while (queue := self._first_queue()) and not self._stopped:
                unit = queue[0]
                writes += len(unit.writes)
                conditions += len(unit.conditions)
                unit_keys = {write.key for write in unit.writes}
                if units and (
                    writes > self._max_writes
                    or conditions + _LEADER_CONDITIONS > _CONDITIONS_PER_WRITE * self._max_writes
                    or len(units) >= _MAX_UNITS
                    # The protocol leaves the order of two writes of the same key in a transaction undefined.
                    or not keys.isdisjoint(unit_keys)
                ):
                    break
                keys |= unit_keys
                units.append(queue.popleft())
            return units

    def _run(self) -> None:
        while not self._stopped:
            units = self._next_batch()
            wait_s = self._rate_limiter.ready_at() - time.monotonic()
            if wait_s > 0:
                time.sleep(wait_s)
            self._rate_limiter.consume(sum(len(unit.writes) for unit in units), time.monotonic())
            self._commit(units)

    def _commit(self, units: list[CommitUnit]) -> None:
        """Commit units in one transaction, and retry it until its outcome is certain."""
        conditions: dict[str, int] = {}
        writes: list[Write] = []
        for unit in units:
            conditions.update(unit.conditions)
            writes += unit.writes
        pause_s = self._retry_pause_s
        while units and not self._stopped:
            try:
                self._writer.commit(conditions, writes)
            except ConditionFailedError as error:
                self._on_condition_failed(units, error)
            except InvalidRequestError as error:
                log.warning("commit rejected: units=%d writes=%d: %s", len(units), len(writes), error)
                self._on_rejected(units)
            except (StoreRejectedError, OutcomeUnknownError, LeaseExpiredError) as error:
                # Every unit may be retried: its writes are idempotent, and its conditions fail if the first
                # attempt was committed after all, which the unit's owner resolves.
                log.debug("commit to be retried: units=%d writes=%d: %s", len(units), len(writes), error)
                # Retries at a constant rate during an outage used half of the requests that the state service
                # allows, at the expense of lease renewals and users.
                time.sleep(pause_s)
                pause_s = min(2 * pause_s, self._max_retry_pause_s)
                continue
            else:
                for unit in units:
                    unit.on_committed(True)
            return

    def _on_condition_failed(self, units: list[CommitUnit], error: ConditionFailedError) -> None:
        """Handle a failed condition: the one on the leadership, or one of a unit."""
        if LEADER_KEY in error.failed_keys:
            self._stopped = True
            self._on_leadership_lost()
        elif len(units) == 1:
            units[0].on_committed(False)
        else:
            self._commit_separately(units)

    def _on_rejected(self, units: list[CommitUnit]) -> None:
        """Handle a transaction above a limit, perhaps one that was lowered without notice."""
        if len(units) > 1:
            self._commit_separately(units)
            return
        # The unit can't be dropped: its owner relies on the outcome. It goes to the end of the queue, so that
        # no other unit waits for it.
        time.sleep(self._max_retry_pause_s)
        self.submit(units[0])

    def _commit_separately(self, units: list[CommitUnit]) -> None:
        for unit in units:
            self._commit([unit])
