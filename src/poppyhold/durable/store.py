"""The state service: the keys that are stored there, and a typed client."""

from __future__ import annotations

import json
import time
from collections.abc import Callable, Iterable
from http import HTTPStatus
from typing import Any, NamedTuple

from poppyhold.settings import Settings, split_address
from poppyhold.wire.http_client import Client, NoAnswerError, NotSentError

ROOT = "ph/"
LEAD = ROOT + "l/lead"
LEAD_PREFIX = ROOT + "l/"
FENCING_TOKEN = ROOT + "b"
# What a leader changes to make its transactions without an answer void.
FENCE = ROOT + "c"
MACHINE_TYPES = ROOT + "t"
# Machine types that don't fit into the first record; older versions don't read them.
MORE_MACHINE_TYPES = ROOT + "t/"
ACTIVE = ROOT + "a/"
FINAL = ROOT + "f/"
PLAN = ROOT + "p/"
DONE_TASKS = ROOT + "d/"
# Completed tasks of very large jobs, in stretches for a smaller value; older versions don't read them.
DONE_STRETCHES = ROOT + "e/"
LAUNCH = ROOT + "h/"
MACHINE = ROOT + "m/"
# Shares of limits of a cell among several; without others there are none.
QUOTA = ROOT + "q/"
# No key ever begins so.
NO_KEYS = ROOT + "none/"

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


class RefusedError(Exception):
    """The request was certainly not carried out."""


class UncertainError(Exception):
    """The request may have been carried out, or may be later."""


class InvalidRequestError(RefusedError):
    """The state service will never carry the request out: most likely it is above a limit."""


class ConflictError(Exception):
    """A condition of a transaction failed."""

    def __init__(self, failed: list[str]) -> None:
        super().__init__(", ".join(failed))
        self.failed = failed


class LeaseGoneError(Exception):
    """A lease is over, or a watch's start is too old."""


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
            raise RefusedError(str(error)) from error
        except NoAnswerError as error:
            raise UncertainError(str(error)) from error
        if status in (HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.SERVICE_UNAVAILABLE):
            raise RefusedError(str(status))
        if status >= HTTPStatus.INTERNAL_SERVER_ERROR:
            raise UncertainError(str(status))
        self.contact_at = self._clock()
        return status, data

    def get(self, key: str) -> Entry | None:
        """Read a key."""
        status, data = self._call("GET", f"/kv/{key}", None, self.timeout)
        if status == HTTPStatus.NOT_FOUND:
            return None
        if status != HTTPStatus.OK:
            raise RefusedError(f"{status} {data}")
        return Entry(key, data["data"], data["stamp"])

    def page(self, prefix: str, after: str, most: int = 1000) -> Page:
        """Read the keys with a prefix that come behind one of them; the first ones behind the empty text."""
        since = f"&since={after}" if after else ""
        status, data = self._call("GET", f"/kv?prefix={prefix}{since}&most={most}", None, self.timeout * 2)
        if status != HTTPStatus.OK:
            raise RefusedError(f"{status} {data}")
        entries = [Entry(e["key"], e["data"], e["stamp"]) for e in data["entries"]]
        return Page(entries, bool(data.get("more")) and bool(entries), data["ledger"])

    def revision(self) -> int:
        """The store's revision at a moment behind the beginning of this call.

        A list of keys tells it, as PROTOCOL says; the answer for a key that exists tells only that key's.
        """
        return self.page(NO_KEYS, "", most=1).revision

    def commit(self, conditions: dict[str, int], writes: list[Data]) -> int:
        """Carry out a transaction and return its revision."""
        body = {"if": [{"key": k, "stamp": s} for k, s in conditions.items()], "writes": writes}
        status, data = self._call("POST", "/commit", body, self.timeout)
        if status == HTTPStatus.OK:
            return int(data["ledger"])
        if status == HTTPStatus.CONFLICT:
            raise ConflictError(data.get("failed", []))
        if data.get("error") == "no such lease":
            raise LeaseGoneError("lease")
        raise InvalidRequestError(f"{status} {data}")

    def lease(self, life_s: float) -> int:
        """Get a lease."""
        status, data = self._call("POST", "/leases", {"lifeMs": max(100, int(life_s * 1000))}, self.timeout)
        if status != HTTPStatus.OK:
            raise RefusedError(f"{status} {data}")
        return int(data["permit"])

    def extend(self, lease_id: int, timeout: float) -> None:
        """Renew a lease."""
        status, data = self._call("POST", f"/leases/{lease_id}/extend", {}, timeout)
        if status == HTTPStatus.NOT_FOUND:
            raise LeaseGoneError("lease")
        if status != HTTPStatus.OK:
            raise RefusedError(f"{status} {data}")

    def end_lease(self, lease_id: int) -> None:
        """End a lease at once, with the keys on it."""
        self._call("DELETE", f"/leases/{lease_id}", None, self.timeout)

    def follow(self, prefix: str, since: int, hold_s: float) -> Changes:
        """Wait for changes behind ``since``, for ``hold_s`` seconds at the most."""
        path = f"/follow?prefix={prefix}&since={since}&holdMs={int(hold_s * 1000)}"
        status, data = self._call("GET", path, None, hold_s + self.timeout)
        if status == HTTPStatus.GONE:
            raise LeaseGoneError("watch")
        if status != HTTPStatus.OK:
            raise RefusedError(f"{status} {data}")
        return Changes(data["events"], int(data["ledger"]))


def stored_bytes(data: Data) -> int:
    """The size of a value as JSON, the way of writing it that takes the most."""
    return len(json.dumps(data))


def final_writes(job_id: str, status: str, tasks: int) -> list[Data]:
    """The writes that move a job's record to the final ones.

    Its plan means nothing without it, and is removed by the leader when nobody waits for changes.
    """
    return [remove(ACTIVE + job_id), put(FINAL + job_id, {"s": status, "n": tasks})]


def grouped(entries: Iterable[Entry], prefix: str) -> dict[str, Data]:
    """Data by the rest of the key behind a prefix."""
    return {entry.key.removeprefix(prefix): entry.data for entry in entries}
