"""The state service: the keys that are stored there, and a typed client."""

from __future__ import annotations

import json
import time
from collections.abc import Callable, Iterable
from http import HTTPStatus
from typing import Any, NamedTuple

from poppyhold.durable.errors import (
    ConditionFailedError,
    InvalidRequestError,
    LeaseExpiredError,
    OutcomeUnknownError,
    StoreRejectedError,
    WatchCompactedError,
)
from poppyhold.durable.keys import ACTIVE_JOB_PREFIX, EMPTY_PREFIX, FINAL_JOB_PREFIX
from poppyhold.settings import Settings, split_address
from poppyhold.wire.http_client import Client, NoAnswerError, NotSentError

Data = dict[str, Any]


class Entry(NamedTuple):
    """A key with its data and the revision of its last change."""

    key: str
    data: Data
    version: int


class Page(NamedTuple):
    """A part of the keys with a prefix, in their order, and the store's revision as it was read."""

    entries: list[Entry]
    more: bool
    revision: int


class Changes(NamedTuple):
    """Every change behind a revision, in order, and the revision that they go up to."""

    events: list[Data]
    revision: int


def put(key: str, data: Data, lease_id: int | None = None) -> Data:
    """Build the write that sets a key."""
    write: Data = {"set": key, "data": data}
    if lease_id is not None:
        write["permit"] = lease_id
    return write


def remove(key: str) -> Data:
    """Build the write that removes a key."""
    return {"remove": key}


class Store:
    """Typed calls to the state service. It never retries: the callers know what a repeat means."""

    def __init__(self, settings: Settings, clock: Callable[[], float] = time.monotonic) -> None:
        host, port = split_address(settings.outside.state)
        self._client = Client(host, port, keep=8)
        self._clock = clock
        # An answer usually takes milliseconds, now and then some hundreds.
        self.timeout = settings.settings.workers.lease_s / 8
        self.contact_at = float("-inf")

    def _call(self, method: str, path: str, body: Data | None, timeout: float) -> tuple[int, Data]:
        try:
            status, data = self._client.request(method, path, body, timeout=timeout)
        except NotSentError as error:
            raise StoreRejectedError(str(error)) from error
        except NoAnswerError as error:
            raise OutcomeUnknownError(str(error)) from error
        if status in (HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.SERVICE_UNAVAILABLE):
            raise StoreRejectedError(str(status))
        if status >= HTTPStatus.INTERNAL_SERVER_ERROR:
            raise OutcomeUnknownError(str(status))
        self.contact_at = self._clock()
        return status, data

    def get(self, key: str) -> Entry | None:
        """Read a key."""
        status, data = self._call("GET", f"/kv/{key}", None, self.timeout)
        if status == HTTPStatus.NOT_FOUND:
            return None
        if status != HTTPStatus.OK:
            raise StoreRejectedError(f"{status} {data}")
        return Entry(key, data["data"], data["stamp"])

    def page(self, prefix: str, after: str, most: int = 1000) -> Page:
        """Read the keys with a prefix that come behind one of them; the first ones behind the empty text."""
        since = f"&since={after}" if after else ""
        status, data = self._call("GET", f"/kv?prefix={prefix}{since}&most={most}", None, self.timeout * 2)
        if status != HTTPStatus.OK:
            raise StoreRejectedError(f"{status} {data}")
        entries = [Entry(e["key"], e["data"], e["stamp"]) for e in data["entries"]]
        return Page(entries, bool(data.get("more")) and bool(entries), data["ledger"])

    def revision(self) -> int:
        """The store's revision at a moment behind the beginning of this call.

        A list of keys tells it, as PROTOCOL says; the answer for a key that exists tells only that key's.
        """
        return self.page(EMPTY_PREFIX, "", most=1).revision

    def commit(self, conditions: dict[str, int], writes: list[Data]) -> int:
        """Carry out a transaction and return its revision."""
        body = {"if": [{"key": k, "stamp": s} for k, s in conditions.items()], "writes": writes}
        status, data = self._call("POST", "/commit", body, self.timeout)
        if status == HTTPStatus.OK:
            return int(data["ledger"])
        if status == HTTPStatus.CONFLICT:
            raise ConditionFailedError(data.get("failed", []))
        if data.get("error") == "no such lease":
            raise LeaseExpiredError
        raise InvalidRequestError(f"{status} {data}")

    def lease(self, life_s: float) -> int:
        """Get a lease."""
        status, data = self._call("POST", "/leases", {"lifeMs": max(100, int(life_s * 1000))}, self.timeout)
        if status != HTTPStatus.OK:
            raise StoreRejectedError(f"{status} {data}")
        return int(data["permit"])

    def extend(self, lease_id: int, timeout: float) -> None:
        """Renew a lease."""
        status, data = self._call("POST", f"/leases/{lease_id}/extend", {}, timeout)
        if status == HTTPStatus.NOT_FOUND:
            raise LeaseExpiredError(lease_id)
        if status != HTTPStatus.OK:
            raise StoreRejectedError(f"{status} {data}")

    def end_lease(self, lease_id: int) -> None:
        """End a lease at once, with the keys on it."""
        self._call("DELETE", f"/leases/{lease_id}", None, self.timeout)

    def follow(self, prefix: str, since: int, hold_s: float) -> Changes:
        """Wait for changes behind ``since``, for ``hold_s`` seconds at the most."""
        path = f"/follow?prefix={prefix}&since={since}&holdMs={int(hold_s * 1000)}"
        status, data = self._call("GET", path, None, hold_s + self.timeout)
        if status == HTTPStatus.GONE:
            raise WatchCompactedError(prefix, since)
        if status != HTTPStatus.OK:
            raise StoreRejectedError(f"{status} {data}")
        return Changes(data["events"], int(data["ledger"]))


def stored_bytes(data: Data) -> int:
    """The size of a value as JSON, the way of writing it that takes the most."""
    return len(json.dumps(data))


def final_writes(job_id: str, status: str, tasks: int) -> list[Data]:
    """The writes that move a job's record to the final ones.

    Its plan means nothing without it, and is removed by the leader when nobody waits for changes.
    """
    return [remove(ACTIVE_JOB_PREFIX + job_id), put(FINAL_JOB_PREFIX + job_id, {"s": status, "n": tasks})]


def grouped(entries: Iterable[Entry], prefix: str) -> dict[str, Data]:
    """Data by the rest of the key behind a prefix."""
    return {entry.key.removeprefix(prefix): entry.data for entry in entries}
