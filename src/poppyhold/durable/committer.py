"""The leader's group commit: several units per transaction, conditional on its key and its write fence."""

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
from poppyhold.durable.store import Store, transaction_body
from poppyhold.model.outbound import CommitPriority
from poppyhold.settings import Settings
from poppyhold.wire.codec import MAX_BODY_BYTES
from poppyhold.wire.message_limits import json_bytes

log = logging.getLogger(__name__)

# Largest number of units per transaction: if a condition of one of them fails, or the transaction exceeds a
# limit, each is committed in a transaction of its own.
_MAX_UNITS = 8
# The limit on the conditions of a transaction, as a multiple of the limit on its writes (`txn_ops`).
_CONDITION_LIMIT_RATIO = 4
# Conditions that `FencedWriter` adds to every transaction: on the leader's key and on the write fence.
_LEADER_CONDITIONS = 2
# The limit on a transaction, less what these conditions take.
_MAX_TRANSACTION_BYTES = MAX_BODY_BYTES - 1024


class CommitUnit(NamedTuple):
    """Writes of the leader that are committed atomically, and their conditions."""

    conditions: dict[str, int]
    writes: Sequence[Write]
    # Called with True once the unit is durable, with False if one of its conditions failed, perhaps because
    # an earlier attempt was committed; not called if the committer stops first.
    on_committed: Callable[[bool], None]


class Committer:
    """A thread that commits the leader's units until it is stopped or the leader's key has changed."""

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
        # First attempts use two thirds of the allowed writes a second. The rest is for retries, the election
        # and the writes for users of all controllers. A transaction starts while earlier ones exceed that
        # rate by at most half of `txn_ops` writes.
        self._rate_limiter = RateLimiter(limits.write_rps / 1.5, burst=self._max_writes / 2)
        # The pause before the first retry; it doubles up to the longest one.
        self._first_retry_pause_s = 2 / limits.rps
        self._max_retry_pause_s = max(
            self._first_retry_pause_s, settings.deployment.workers.heartbeat_interval_s / 8
        )
        # Highest priority first; within one, first in, first out: new units don't delay older ones.
        self._queues: dict[CommitPriority, deque[CommitUnit]] = {
            priority: deque() for priority in CommitPriority
        }
        # Guards `_queues`; notified when a unit is queued or the thread has to end.
        self._queue_changed = threading.Condition()
        self._stopped = False
        self._thread = threading.Thread(target=self._run, name="committer", daemon=True)
        self._thread.start()

    def submit(self, unit: CommitUnit, priority: CommitPriority = CommitPriority.BACKGROUND) -> None:
        """Queue a unit, last of its priority; ``on_committed`` is called on the committer's thread."""
        with self._queue_changed:
            self._queues[priority].append(unit)
            self._queue_changed.notify()

    def stop(self) -> None:
        """Ask the thread to end after its current request or pause; queued units are dropped."""
        with self._queue_changed:
            self._stopped = True
            self._queue_changed.notify()

    def _first_queue(self) -> deque[CommitUnit] | None:
        """The non-empty queue of the highest priority."""
        return next((queue for queue in self._queues.values() if queue), None)

    def _next_batch(self) -> list[CommitUnit]:
        """Wait for units; returns those of the next transaction, an empty list if the thread has to end."""
        with self._queue_changed:
            while not (self._first_queue() or self._stopped):
                self._queue_changed.wait()
            units: list[CommitUnit] = []
            writes = conditions = 0
            remaining_bytes = _MAX_TRANSACTION_BYTES
            keys: set[str] = set()
            while (queue := self._first_queue()) and not self._stopped:
                unit = queue[0]
                writes += len(unit.writes)
                conditions += len(unit.conditions)
                remaining_bytes -= json_bytes(transaction_body(unit.conditions, unit.writes))
                unit_keys = {write.key for write in unit.writes}
                if units and (
                    writes > self._max_writes
                    or conditions + _LEADER_CONDITIONS > _CONDITION_LIMIT_RATIO * self._max_writes
                    or len(units) >= _MAX_UNITS
                    or remaining_bytes < 0
                    # The state service defines no order of two writes of the same key in a transaction.
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
        """Commit units in one transaction; retry it while it is rejected or its outcome is unknown."""
        conditions: dict[str, int] = {}
        writes: list[Write] = []
        for unit in units:
            conditions.update(unit.conditions)
            writes += unit.writes
        pause_s = self._first_retry_pause_s
        while units and not self._stopped:
            try:
                self._writer.commit(conditions, writes)
            except ConditionFailedError as error:
                self._on_condition_failed(units, error)
            except InvalidRequestError as error:
                log.warning(
                    "commit invalid or above a limit, to be split or retried: units=%d writes=%d: %s",
                    len(units),
                    len(writes),
                    error,
                )
                self._on_rejected(units)
            except (StoreRejectedError, OutcomeUnknownError, LeaseExpiredError) as error:
                # Every unit may be retried. If an earlier attempt was committed, the retry writes the same
                # values again, or fails the unit's own conditions: then the submitter finds out the outcome.
                log.debug("commit to be retried: units=%d writes=%d: %s", len(units), len(writes), error)
                # The pause doubles: in an outage, retries at a constant first pause would use half of the
                # requests that the state service allows (`rps`), which lease renewals and users need.
                time.sleep(pause_s)
                pause_s = min(2 * pause_s, self._max_retry_pause_s)
                continue
            else:
                for unit in units:
                    unit.on_committed(True)
            return

    def _on_condition_failed(self, units: list[CommitUnit], error: ConditionFailedError) -> None:
        """Stop if the leader's key has changed; else report a single unit, or commit several separately."""
        if LEADER_KEY in error.failed_keys:
            self._stopped = True
            self._on_leadership_lost()
        elif len(units) == 1:
            units[0].on_committed(False)
        else:
            self._commit_separately(units)

    def _on_rejected(self, units: list[CommitUnit]) -> None:
        """Handle an invalid transaction: most likely it exceeds a limit, which may be below the settings'."""
        if len(units) > 1:
            self._commit_separately(units)
            return
        # The unit can't be dropped: its submitter waits for the outcome. It is queued last, at the lowest
        # priority, so that other units wait only for this pause.
        time.sleep(self._max_retry_pause_s)
        self.submit(units[0])

    def _commit_separately(self, units: list[CommitUnit]) -> None:
        for unit in units:
            self._commit([unit])
