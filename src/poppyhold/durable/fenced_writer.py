"""The leader's transactions, fenced against other leaders and against late commits of its own."""

from __future__ import annotations

from collections.abc import Sequence

from poppyhold.durable.changes import Write, put_record
from poppyhold.durable.errors import ConditionFailedError, OutcomeUnknownError, StoreRejectedError
from poppyhold.durable.keys import LEADER_KEY, WRITE_FENCE_KEY
from poppyhold.durable.records import WriteFenceRecord
from poppyhold.durable.store import Store


class FencedWriter:
    """A leader's transactions, one at a time: each is conditional on the leader's key and on the write fence.

    A transaction whose outcome is unknown could be committed late, after newer ones of the same leader, and
    restore an old plan, launch, machine or record of completions, or lower the fencing token. So the write
    fence is changed before the next transaction: the condition on it fails for every earlier attempt.
    """

    def __init__(self, store: Store, leader_key_revision: int) -> None:
        self._store, self._leader_key_revision = store, leader_key_revision
        # Revision of the write fence; None before it was read.
        self._fence_revision: int | None = None
        # Whether the last transaction may still be committed.
        self._outcome_unknown = False

    def commit(self, conditions: dict[str, int], writes: Sequence[Write]) -> None:
        """Try a transaction once. After `OutcomeUnknownError` it may be retried.

        If the first attempt was committed, the retry writes the same values again, or its conditions fail.

        Raises:
            ConditionFailedError: one of ``conditions`` failed, or the one on the leader's key: then this
                controller no longer leads.
            StoreRejectedError: the transaction was not committed, and may be retried.
            OutcomeUnknownError: the transaction may have been committed.

        """
        if self._fence_revision is None or self._outcome_unknown:
            self._advance_fence()
        leader_conditions = {
            LEADER_KEY: self._leader_key_revision,
            WRITE_FENCE_KEY: self._fence_revision or 0,
        }
        try:
            self._store.commit({**leader_conditions, **conditions}, writes)
        except OutcomeUnknownError:
            self._outcome_unknown = True
            raise
        except ConditionFailedError as error:
            if WRITE_FENCE_KEY in error.failed_keys and LEADER_KEY not in error.failed_keys:
                # Only this leader changes the fence, so a change of unknown outcome was committed late.
                self._fence_revision = None
                raise StoreRejectedError("the write fence has changed, to be read again") from error
            raise

    def _advance_fence(self) -> None:
        if self._outcome_unknown and self._fence_revision is not None:
            conditions = {LEADER_KEY: self._leader_key_revision, WRITE_FENCE_KEY: self._fence_revision}
            fence = put_record(WRITE_FENCE_KEY, WriteFenceRecord(self._fence_revision))
            try:
                self._fence_revision = self._store.commit(conditions, [fence])
            except ConditionFailedError as error:
                if LEADER_KEY in error.failed_keys:
                    raise
                # An earlier change of the fence, whose outcome was unknown, was committed: it has the same
                # effect.
            else:
                self._outcome_unknown = False
                return
        entry = self._store.get(WRITE_FENCE_KEY)
        self._fence_revision = entry.revision if entry is not None else 0
        self._outcome_unknown = False
