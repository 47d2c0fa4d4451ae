"""The state service as a state machine: keys, leases, conditional transactions and watches.

Like the other stand-ins it takes its clock from the caller: scenarios use virtual time, the smoke test and
the scale run use real time.
"""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Callable

import msgspec

from poppyhold.scale.responses import Data, Status
from poppyhold.wire.codec import encode

_MAX_PAGE_ENTRIES, _MAX_KEPT_CHANGES = 1000, 10_000


class StateStandIn:
    """Key-value store with revisions, conditional transactions, leases and a log of changes."""

    def __init__(self, clock: Callable[[], float], txn_ops: int = 20, value_kb: float = 8.0) -> None:
        self._clock, self._txn_ops, self._value_kb = clock, txn_ops, value_kb
        self.keys: dict[str, tuple[Data, int, int | None]] = {}
        self.revision = 0
        self.leases: dict[int, list[float]] = {}
        self.log: list[tuple[int, Data]] = []
        self.down = False
        self._last_lease_id = 0
        # Changes that a watch may lag behind.
        self.changes_kept = _MAX_KEPT_CHANGES

    def end_outage(self) -> None:
        """End an outage: every lease is renewed for its full time."""
        self.down = False
        for lease in self.leases.values():
            lease[0] = self._clock() + lease[1]

    def lower_limits(self, txn_ops: int, value_kb: float) -> None:
        """Lower the limits, without notice to clients."""
        self._txn_ops, self._value_kb = txn_ops, value_kb

    def expire(self) -> None:
        """End the leases that have expired."""
        if self.down:
            return
        for lease_id in [p for p, lease in self.leases.items() if lease[0] <= self._clock()]:
            self.end(lease_id)

    def end(self, lease_id: int) -> Status:
        """End a lease and remove its keys."""
        if self.leases.pop(lease_id, None) is None:
            return 404, {}
        attached = [key for key, (_, _, attached_lease) in self.keys.items() if attached_lease == lease_id]
        if attached:
            self.revision += 1
            for key in attached:
                del self.keys[key]
                self.log.append((self.revision, {"remove": key, "stamp": self.revision}))
        return 200, {}

    def lease(self, life_ms: int) -> Status:
        """Grant a lease."""
        self._last_lease_id += 1
        self.leases[self._last_lease_id] = [self._clock() + life_ms / 1000, life_ms / 1000]
        return 200, {"permit": self._last_lease_id}

    def extend(self, lease_id: int) -> Status:
        """Renew a lease."""
        self.expire()
        lease = self.leases.get(lease_id)
        if lease is None:
            return 404, {}
        lease[0] = self._clock() + lease[1]
        return 200, {}

    def get(self, key: str) -> Status:
        """Read a key."""
        self.expire()
        if key not in self.keys:
            return 404, {"ledger": self.revision}
        data, key_revision, lease_id = self.keys[key]
        return 200, {"key": key, "data": data, "stamp": key_revision, "permit": lease_id}

    def scan(self, prefix: str, after: str, limit: int) -> Status:
        """Read a page of keys in order."""
        self.expire()
        limit = min(limit, _MAX_PAGE_ENTRIES)
        names = sorted(key for key in self.keys if key.startswith(prefix) and key > after)
        entries = [{"key": k, "data": self.keys[k][0], "stamp": self.keys[k][1]} for k in names[:limit]]
        return 200, {"entries": entries, "more": len(names) > limit, "ledger": self.revision}

    def commit(self, body: Data) -> Status:
        """Execute a transaction; one above the limits fails an assertion."""
        self.expire()
        writes = body.get("writes", [])
        conditions = body.get("if", [])
        assert len(writes) <= self._txn_ops, f"too many writes in a transaction: {writes}"
        assert len(conditions) <= 4 * self._txn_ops, "too many conditions in a transaction"
        assert len(encode(body)) <= 64 * 1024, "transaction is too large"
        for write in writes:
            if "set" in write:
                assert len(msgspec.json.encode(write["data"])) <= self._value_kb * 1024, "value is too large"
                if write.get("permit") is not None and write["permit"] not in self.leases:
                    return 400, {"error": "no such lease"}
        failed = [c["key"] for c in conditions if self.keys.get(c["key"], ({}, 0, None))[1] != c["stamp"]]
        if failed:
            return 409, {"failed": failed, "ledger": self.revision}
        if writes:
            self.revision += 1
        for write in writes:
            if "set" in write:
                self.keys[write["set"]] = (write["data"], self.revision, write.get("permit"))
                event = {"set": write["set"], "data": write["data"], "stamp": self.revision}
                self.log.append((self.revision, event))
            elif self.keys.pop(write["remove"], None) is not None:
                self.log.append((self.revision, {"remove": write["remove"], "stamp": self.revision}))
        return 200, {"ledger": self.revision}

    def is_too_old(self, since: int) -> bool:
        """Whether changes after a revision are no longer kept."""
        return len(self.log) > self.changes_kept and since < self.log[-self.changes_kept - 1][0]

    def changes(self, prefix: str, since: int) -> list[Data]:
        """Changes after a revision to keys with a prefix."""
        self.expire()
        first = bisect_right(self.log, since, key=lambda change: change[0])
        return [
            event for _, event in self.log[first:] if (event.get("set") or event["remove"]).startswith(prefix)
        ]
