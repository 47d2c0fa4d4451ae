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

    A transaction whose outcome is unknown may be committed late, after newer ones of the same leader: it
    would restore an old plan, launch, machine or record of completions, or lower the fencing token. So the
    write fence is changed before the next transaction, which voids every earlier attempt.
    """

    def __init__(self, store: Store, leader_key_revision: int) -> None:
        self._store, self._leader_key_revision = store, leader_key_revision
        # Revision of the write fence; None before it was read.
        self._fence_revision: int | None = None
        # Whether the last transaction may still be committed.
        self._outcome_unknown = False

    def commit(self, conditions: dict[str, int], writes: Sequence[Write]) -> None:
        """Try a transaction once. After `OutcomeUnknownError` it may be retried.

        If it was committed after all, the retry writes the same values again, or fails its own conditions.

        Raises:
            ConditionFailedError: a condition of the transaction failed, or the one on the leader's key: then
                another controller leads.
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
                # Only this leader changes the fence, so an earlier attempt of it did: read it again.
                self._fence_revision = None
                raise StoreRejectedError("the write fence has changed") from error
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
                # An earlier attempt to change the fence, whose outcome was unknown, was committed: that has
                # the same effect.
            else:
                self._outcome_unknown = False
                return
        entry = self._store.get(WRITE_FENCE_KEY)
        self._fence_revision = entry.revision if entry is not None else 0
        self._outcome_unknown = False
