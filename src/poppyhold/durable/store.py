"""The state service: a typed client for a consensus-backed key-value store with leases and watches."""

from __future__ import annotations

import json
import time
from collections.abc import Callable, Sequence
from http import HTTPStatus
from typing import Any, NamedTuple

from poppyhold.configuration_checks import split_address
from poppyhold.durable.changes import (
    Data,
    Entry,
    WatchEvent,
    Write,
    decode_entry,
    decode_event,
    encode_writes,
)
from poppyhold.durable.errors import (
    ConditionFailedError,
    InvalidRequestError,
    LeaseExpiredError,
    OutcomeUnknownError,
    StoreRejectedError,
    WatchCompactedError,
)
from poppyhold.durable.keys import EMPTY_PREFIX
from poppyhold.settings import Settings
from poppyhold.wire import field_names as names
from poppyhold.wire.http_client import HttpClient, NoResponseError, NotSentError

_MAX_PAGE_ENTRIES = 1000
# The shortest lease that the state service grants.
_MIN_LEASE_MS = 100
# Connections that are kept open between requests.
_IDLE_CONNECTIONS = 8


class Page(NamedTuple):
    """A part of the keys with a prefix, in order, and the store's revision when it was read."""

    entries: list[Entry]
    more: bool
    revision: int


class Changes(NamedTuple):
    """Every change after a revision, in order, and the revision up to which they are complete."""

    events: list[WatchEvent]
    revision: int


class Store:
    """Typed calls to the state service, without retries: only the callers know whether a retry is safe.

    Every call raises `StoreRejectedError` if it certainly had no effect, and `OutcomeUnknownError` if it may
    have had one or may still have one.
    """

    def __init__(self, settings: Settings, clock: Callable[[], float] = time.monotonic) -> None:
        host, port = split_address(settings.external_services.state)
        self._client = HttpClient(host, port, max_idle=_IDLE_CONNECTIONS)
        self._clock = clock
        # Most responses take a few milliseconds, some take hundreds.
        self.timeout_s = settings.deployment.workers.lease_s / 8
        # When the state service last responded.
        self.contact_at = float("-inf")

    def _call(self, method: str, path: str, body: Data | None, timeout_s: float) -> tuple[int, Data]:
        try:
            status, data = self._client.request(method, path, body, timeout_s=timeout_s)
        except NotSentError as error:
            raise StoreRejectedError(f"{method} {path}: not sent: {error}") from error
        except NoResponseError as error:
            raise OutcomeUnknownError(f"{method} {path}: no response: {error}") from error
        if status in (HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.SERVICE_UNAVAILABLE):
            raise StoreRejectedError(f"{method} {path}: status {status}")
        if status >= HTTPStatus.INTERNAL_SERVER_ERROR:
            raise OutcomeUnknownError(f"{method} {path}: status {status}")
        self.contact_at = self._clock()
        return status, data

    def get(self, key: str) -> Entry | None:
        """Read a key; None if it does not exist."""
        path = f"/kv/{key}"
        status, data = self._call("GET", path, None, self.timeout_s)
        if status == HTTPStatus.NOT_FOUND:
            return None
        _check_ok(status, data, path)
        return Entry(key, data["data"], data[names.KEY_REVISION])

    def page(self, prefix: str, after: str, max_entries: int = _MAX_PAGE_ENTRIES) -> Page:
        """Read keys with a prefix that sort after the key ``after``; an empty one gives the first page."""
        since = f"&since={after}" if after else ""
        path = f"/kv?prefix={prefix}{since}&most={max_entries}"
        status, data = self._call("GET", path, None, self.timeout_s * 2)
        _check_ok(status, data, path)
        entries = [decode_entry(entry) for entry in data["entries"]]
        return Page(entries, bool(data.get("more")) and bool(entries), data[names.REVISION])

    def revision(self) -> int:
        """The store's revision at some time after the call began.

        A page of keys contains it; the response for an existing key has only that key's revision.
        """
        return self.page(EMPTY_PREFIX, "", max_entries=1).revision

    def commit(self, conditions: dict[str, int], writes: Sequence[Write]) -> int:
        """Commit a transaction and return its revision.

        ``conditions`` are the revisions that keys must have, 0 for keys that must not exist.

        Raises:
            ConditionFailedError: a condition did not hold; nothing was written.
            LeaseExpiredError: the lease of a write has expired; nothing was written.
            InvalidRequestError: the state service will never accept the transaction.

        """
        status, data = self._call("POST", "/commit", transaction_body(conditions, writes), self.timeout_s)
        if status == HTTPStatus.OK:
            return int(data[names.REVISION])
        if status == HTTPStatus.CONFLICT:
            raise ConditionFailedError(data.get("failed", []))
        if data.get("error") == "no such lease":
            raise LeaseExpiredError
        raise InvalidRequestError(f"/commit: status {status}: {data}")

    def grant_lease(self, ttl_s: float) -> int:
        """Get a new lease with a time to live, and return its ID."""
        body = {names.LEASE_MS: max(_MIN_LEASE_MS, int(ttl_s * 1000))}
        status, data = self._call("POST", "/leases", body, self.timeout_s)
        _check_ok(status, data, "/leases")
        return int(data[names.LEASE_ID])

    def renew_lease(self, lease_id: int, timeout_s: float) -> None:
        """Renew a lease for its time to live.

        Raises:
            LeaseExpiredError: the lease has expired or was revoked.

        """
        path = f"/leases/{lease_id}/extend"
        status, data = self._call("POST", path, {}, timeout_s)
        if status == HTTPStatus.NOT_FOUND:
            raise LeaseExpiredError(lease_id)
        _check_ok(status, data, path)

    def revoke_lease(self, lease_id: int) -> None:
        """Revoke a lease, which deletes the keys on it; no error if it has already expired."""
        self._call("DELETE", f"/leases/{lease_id}", None, self.timeout_s)

    def poll_changes(self, prefix: str, since: int, poll_timeout_s: float) -> Changes:
        """Wait for changes after revision ``since``, for at most ``poll_timeout_s`` seconds.

        Raises:
            WatchCompactedError: the state service no longer has all of them.

        """
        path = f"/follow?prefix={prefix}&since={since}&holdMs={int(poll_timeout_s * 1000)}"
        status, data = self._call("GET", path, None, poll_timeout_s + self.timeout_s)
        if status == HTTPStatus.GONE:
            raise WatchCompactedError(prefix, since)
        _check_ok(status, data, path)
        return Changes([decode_event(event) for event in data["events"]], int(data[names.REVISION]))


def _check_ok(status: int, data: Data, path: str) -> None:
    if status != HTTPStatus.OK:
        raise StoreRejectedError(f"{path}: status {status}: {data}")


def transaction_body(conditions: dict[str, int], writes: Sequence[Write]) -> Data:
    """Encode a transaction for the state service."""
    return {
        "if": [{"key": key, names.KEY_REVISION: revision} for key, revision in conditions.items()],
        "writes": encode_writes(writes),
    }


def stored_bytes(data: Any) -> int:
    """The size of a value as JSON, the largest form in which it may be stored."""
    return len(json.dumps(data))
