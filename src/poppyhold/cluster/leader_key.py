"""The leader's key in the state service: decoding it, and claiming leadership by writing it."""

from __future__ import annotations

from typing import NamedTuple

from poppyhold.durable.changes import Entry, put_record
from poppyhold.durable.errors import OutcomeUnknownError
from poppyhold.durable.keys import FENCING_TOKEN_KEY, LEADER_KEY
from poppyhold.durable.records import FencingTokenRecord, LeaderRecord
from poppyhold.durable.store import Store
from poppyhold.model.fencing_tokens import highest_reserved_fencing_token
from poppyhold.wire import field_names as names
from poppyhold.wire.codec import convert


class Leader(NamedTuple):
    """The leader's key as last read."""

    member: str
    # The lowest token of its term.
    fencing_token: int
    lease_id: int
    # Revision of the last change of the key.
    key_revision: int


def decode_leader(entry: Entry) -> Leader:
    """Decode the leader's key."""
    record = convert(entry.data, LeaderRecord)
    return Leader(record.member, record.fencing_token, record.lease_id, entry.revision)


def claim_leadership(store: Store, member: str, lease_id: int) -> Leader:
    """Write the leader's key, on a lease, and reserve the next fencing tokens, if there is no leader.

    The key names the lowest of them; `highest_reserved_fencing_token` tells the highest.

    Raises:
        ConditionFailedError: another controller leads, or reserved fencing tokens in the meantime.
        OutcomeUnknownError: the claim may still be committed, but only while the lease is valid.
        StoreRejectedError, LeaseExpiredError: the claim was not committed.

    """
    reserved = store.get(FENCING_TOKEN_KEY)
    fencing_token = (convert(reserved.data, FencingTokenRecord).fencing_token if reserved else 0) + 1
    conditions = {LEADER_KEY: 0, FENCING_TOKEN_KEY: reserved.revision if reserved else 0}
    writes = [
        put_record(LEADER_KEY, LeaderRecord(member, fencing_token, lease_id), lease_id),
        put_record(FENCING_TOKEN_KEY, FencingTokenRecord(highest_reserved_fencing_token(fencing_token))),
    ]
    try:
        key_revision = store.commit(conditions, writes)
    except OutcomeUnknownError:
        # The key shows whether the claim was committed: no other claim uses this lease.
        entry = store.get(LEADER_KEY)
        if entry is None or entry.data.get(names.LEASE_ID) != lease_id:
            raise
        key_revision = entry.revision
    return Leader(member, fencing_token, lease_id, key_revision)
