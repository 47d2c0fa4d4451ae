"""The leader's transactions, each void once somebody else leads or a later one was begun in its place."""

from __future__ import annotations

from collections.abc import Sequence

from poppyhold.durable.changes import Write, put_record
from poppyhold.durable.errors import ConditionFailedError, OutcomeUnknownError, StoreRejectedError
from poppyhold.durable.keys import LEADER_KEY, WRITE_FENCE_KEY
from poppyhold.durable.records import WriteFenceRecord
from poppyhold.durable.store import Store


class FencedWriter:
    """A leader's transactions, one at a time: each is conditional on the leader's key and on the write fence.

    A transaction whose outcome is unknown may be carried out late, after newer ones of the same leader: an
    old plan, launch, machine or record of completions would come back, or the fencing token fall. So before
    the next transaction the write fence is changed, and whatever was tried before is void.
    """

    def __init__(self, store: Store, leader_key_revision: int) -> None:
        self._store, self._leader_key_revision = store, leader_key_revision
        # Revision of the write fence; None before it was read.
        self._fence_revision: int | None = None
        # Whether the last transaction may still be carried out.
        self._outcome_unknown = False

    def commit(self, conditions: dict[str, int], writes: Sequence[Write]) -> None:
        """Try a transaction once. After `OutcomeUnknownError` it may be repeated.

        If it was carried out after all, the repeat writes the same again, or fails conditions of its own.

        Raises:
            ConditionFailedError: a condition of the transaction failed, or the one on the leader's key: then
                somebody else leads.
            StoreRejectedError: it was not carried out, and may be repeated.
            OutcomeUnknownError: it may have been carried out.

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
                # Only we change it, so an earlier try of ours did: read it again.
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
                # An earlier try of this very step, whose outcome was unknown, was carried out: that has the
                # same effect.
            else:
                self._outcome_unknown = False
                return
        entry = self._store.get(WRITE_FENCE_KEY)
        self._fence_revision = entry.revision if entry is not None else 0
        self._outcome_unknown = False
