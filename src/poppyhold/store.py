"""The state service: its client, watches, and the leader's group commit."""

from __future__ import annotations

import json
import logging
import threading
import time
from collections import deque
from collections.abc import Callable, Iterable
from typing import Any, NamedTuple

from poppyhold.http import Client, NoAnswer, NotSent
from poppyhold.settings import Settings, split_address

log = logging.getLogger(__name__)

ROOT = "ph/"
LEAD = ROOT + "l/lead"
LEAD_PREFIX = ROOT + "l/"
TOKEN = ROOT + "b"
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
HIRE = ROOT + "h/"
MACHINE = ROOT + "m/"

Data = dict[str, Any]


class Entry(NamedTuple):
    """A key with its data and the revision of its last change."""

    key: str
    data: Data
    version: int


class Refused(Exception):
    """The request was certainly not carried out."""


class Unsure(Exception):
    """The request may have been carried out, or may be later."""


class Invalid(Refused):
    """The state service will never carry the request out: most likely it is above a limit."""


class Conflict(Exception):
    """A condition of a transaction failed."""

    def __init__(self, failed: list[str]) -> None:
        super().__init__(", ".join(failed))
        self.failed = failed


class Gone(Exception):
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
        except NotSent as error:
            raise Refused(str(error)) from error
        except NoAnswer as error:
            raise Unsure(str(error)) from error
        if status in (429, 503):
            raise Refused(str(status))
        if status >= 500:
            raise Unsure(str(status))
        self.contact_at = self._clock()
        return status, data

    def get(self, key: str) -> Entry | None:
        """Read a key."""
        status, data = self._call("GET", f"/kv/{key}", None, self.timeout)
        if status == 404:
            return None
        if status != 200:
            raise Refused(f"{status} {data}")
        return Entry(key, data["data"], data["stamp"])

    def scan(self, prefix: str) -> tuple[list[Entry], int]:
        """Read every key with a prefix; the revision is that of the first page."""
        entries: list[Entry] = []
        ledger = -1
        after = ""
        while True:
            since = f"&since={after}" if after else ""
            status, data = self._call("GET", f"/kv?prefix={prefix}{since}&most=1000", None, self.timeout * 2)
            if status != 200:
                raise Refused(f"{status} {data}")
            if ledger < 0:
                ledger = data["ledger"]
            entries += [Entry(e["key"], e["data"], e["stamp"]) for e in data["entries"]]
            if not data.get("more") or not data["entries"]:
                return entries, ledger
            after = data["entries"][-1]["key"]

    def commit(self, conditions: dict[str, int], writes: list[Data]) -> int:
        """Carry out a transaction and return its revision."""
        body = {"if": [{"key": k, "stamp": s} for k, s in conditions.items()], "writes": writes}
        status, data = self._call("POST", "/commit", body, self.timeout)
        if status == 200:
            return int(data["ledger"])
        if status == 409:
            raise Conflict(data.get("failed", []))
        if data.get("error") == "no such lease":
            raise Gone("lease")
        raise Invalid(f"{status} {data}")

    def lease(self, life_s: float) -> int:
        """Get a lease."""
        status, data = self._call("POST", "/leases", {"lifeMs": max(100, int(life_s * 1000))}, self.timeout)
        if status != 200:
            raise Refused(f"{status} {data}")
        return int(data["permit"])

    def extend(self, lease_id: int, timeout: float) -> None:
        """Renew a lease."""
        status, data = self._call("POST", f"/leases/{lease_id}/extend", {}, timeout)
        if status == 404:
            raise Gone("lease")
        if status != 200:
            raise Refused(f"{status} {data}")

    def end_lease(self, lease_id: int) -> None:
        """End a lease at once, with the keys on it."""
        self._call("DELETE", f"/leases/{lease_id}", None, self.timeout)

    def follow(self, prefix: str, since: int, hold_s: float) -> tuple[list[Data], int]:
        """Wait for changes behind ``since``."""
        path = f"/follow?prefix={prefix}&since={since}&holdMs={int(hold_s * 1000)}"
        status, data = self._call("GET", path, None, hold_s + self.timeout)
        if status == 410:
            raise Gone("watch")
        if status != 200:
            raise Refused(f"{status} {data}")
        return data["events"], int(data["ledger"])


class Watch:
    """A thread that keeps up with a prefix: a snapshot first, then every change in order."""

    def __init__(
        self,
        store: Store,
        prefix: str,
        hold_s: float,
        on_snapshot: Callable[[list[Entry]], None],
        on_change: Callable[[Entry | str, int], None],
        clock: Callable[[], float] = time.monotonic,
        on_synced: Callable[[float, int], None] | None = None,
    ) -> None:
        self._store, self._prefix, self._hold_s = store, prefix, hold_s
        self._on_snapshot, self._on_change, self._clock = on_snapshot, on_change, clock
        self._on_synced = on_synced
        self._stop = threading.Event()
        # Revision of the first snapshot.
        self.first_ledger = -1
        self._thread = threading.Thread(target=self._run, name=f"watch {prefix}", daemon=True)

    def start(self) -> Watch:
        """Start the thread."""
        self._thread.start()
        return self

    def stop(self) -> None:
        """Ask the thread to end; it does after the call that it is in."""
        self._stop.set()

    def _run(self) -> None:
        ledger = -1
        while not self._stop.is_set():
            asked = self._clock()
            try:
                if ledger < 0:
                    entries, ledger = self._store.scan(self._prefix)
                    if not self._stop.is_set():
                        self._on_snapshot(entries)
                else:
                    events, ledger = self._store.follow(self._prefix, ledger, self._hold_s)
                    for event in events:
                        if self._stop.is_set():
                            return
                        if "set" in event:
                            entry = Entry(event["set"], event["data"], event["stamp"])
                            self._on_change(entry, entry.version)
                        else:
                            self._on_change(event["remove"], event["stamp"])
                if self.first_ledger < 0:
                    self.first_ledger = ledger
                if self._on_synced is not None:
                    self._on_synced(asked, ledger)
            except Gone:
                ledger = -1
            except (Refused, Unsure):
                self._stop.wait(self._hold_s / 10)
            except Exception:
                # A watch that ended would leave the node blind: start over.
                log.exception("watch %s", self._prefix)
                ledger = -1
                self._stop.wait(self._hold_s / 10)


class Writer:
    """A leader's transactions, one at a time: each is conditional on its key and on its fence.

    One without an answer may be carried out late, behind newer ones of the same leader: an old plan, hire,
    machine or record of completions would come back, or the token fall. So before the next transaction the
    fence is changed, and what was tried before is void.
    """

    def __init__(self, store: Store, lead_version: int) -> None:
        self._store, self._lead_version = store, lead_version
        self._fence: int | None = None
        self._unsure = False

    def commit(self, conditions: dict[str, int], writes: list[Data]) -> None:
        """Try a transaction once. Behind `Unsure` it may be repeated.

        If it went through after all, the repeat is the same again, or fails conditions of its own.
        """
        if self._fence is None or self._unsure:
            self._raise_fence()
        own = {LEAD: self._lead_version, FENCE: self._fence or 0}
        try:
            self._store.commit({**own, **conditions}, writes)
        except Unsure:
            self._unsure = True
            raise
        except Conflict as conflict:
            if FENCE in conflict.failed and LEAD not in conflict.failed:
                # It is ours alone to change: whoever did, look at it again.
                self._fence = None
                raise Refused("the fence has moved") from conflict
            raise

    def _raise_fence(self) -> None:
        if self._unsure and self._fence is not None:
            own = {LEAD: self._lead_version, FENCE: self._fence}
            try:
                self._fence = self._store.commit(own, [put(FENCE, {"behind": self._fence})])
                self._unsure = False
                return
            except Conflict as conflict:
                if LEAD in conflict.failed:
                    raise
                # A try of this very step that had no answer was carried out: that has the same effect.
        entry = self._store.get(FENCE)
        self._fence = entry.version if entry is not None else 0
        self._unsure = False


class Unit(NamedTuple):
    """One durable step of the leader: it is carried out whole or not at all."""

    conditions: dict[str, int]
    writes: list[Data]
    done: Callable[[bool], None]


class Committer:
    """The leader's writes, many units to a transaction, each conditional on the leader's key."""

    def __init__(
        self, store: Store, settings: Settings, lead_version: int, on_deposed: Callable[[], None]
    ) -> None:
        self._writer, self._on_deposed = Writer(store, lead_version), on_deposed
        limits = settings.settings.state.lowest
        self._ops = limits.txn_ops
        # Two thirds of the writes: the rest is for the users' nodes and the election.
        self._gap_s = 1.5 / limits.write_rps
        self._pause_s = 2 / limits.rps
        self._longest_pause_s = max(self._pause_s, settings.settings.workers.report_s / 8)
        # Those that somebody waits for, and the rest; each in order, lest the oldest starve in a burst.
        self._urgent: deque[Unit] = deque()
        self._queue: deque[Unit] = deque()
        self._wake = threading.Condition()
        self._stopped = False
        self._thread = threading.Thread(target=self._run, name="committer", daemon=True)
        self._thread.start()

    def submit(self, unit: Unit, first: bool = False) -> None:
        """Queue a unit; its ``done`` is called with True once durable, False if a condition failed."""
        with self._wake:
            (self._urgent if first else self._queue).append(unit)
            self._wake.notify()

    def stop(self) -> None:
        """End the thread; units that are queued are dropped."""
        with self._wake:
            self._stopped = True
            self._wake.notify()

    def _take(self) -> list[Unit]:
        with self._wake:
            while not (self._urgent or self._queue or self._stopped):
                self._wake.wait()
            units: list[Unit] = []
            writes = conditions = 0
            keys: set[str] = set()
            while (waiting := self._urgent or self._queue) and not self._stopped:
                unit = waiting[0]
                writes += len(unit.writes)
                conditions += len(unit.conditions)
                own = {str(write.get("set") or write.get("remove")) for write in unit.writes}
                if units and (
                    writes > self._ops
                    or conditions + 2 > 4 * self._ops
                    or len(units) >= 8
                    # What order two changes of a key have within a transaction is not said.
                    or not keys.isdisjoint(own)
                ):
                    break
                keys |= own
                units.append(waiting.popleft())
            return units

    def _run(self) -> None:
        credit_at = time.monotonic()
        while not self._stopped:
            units = self._take()
            # A burst of a third of a second's worth goes out at once.
            now = time.monotonic()
            credit_at = max(credit_at, now - self._gap_s * self._ops / 2)
            if credit_at > now:
                time.sleep(credit_at - now)
            credit_at += self._gap_s * sum(len(unit.writes) for unit in units)
            self._carry_out(units)

    def _carry_out(self, units: list[Unit]) -> None:
        conditions: dict[str, int] = {}
        writes: list[Data] = []
        for unit in units:
            conditions.update(unit.conditions)
            writes += unit.writes
        pause_s = self._pause_s
        while units and not self._stopped:
            try:
                self._writer.commit(conditions, writes)
            except Conflict as conflict:
                if LEAD in conflict.failed:
                    self._stopped = True
                    self._on_deposed()
                elif len(units) == 1:
                    units[0].done(False)
                else:
                    for unit in units:
                        self._carry_out([unit])
            except Invalid as error:
                log.warning("commit of %d changes: %s", len(writes), error)
                if len(units) > 1:
                    # Together they may be above a limit that was lowered without notice.
                    for unit in units:
                        self._carry_out([unit])
                    return
                # It can't be dropped: whoever waits for it goes by whether it is durable. But nothing else
                # may wait for it, so it goes to the end of the line.
                time.sleep(self._longest_pause_s)
                self.submit(units[0])
                return
            except (Refused, Unsure, Gone) as error:
                # Every unit may be repeated: its writes are the same each time, and its conditions
                # fail if the first try went through after all, which the unit's owner looks into.
                log.debug("commit: %s", error)
                # At the same pace all through an outage, this alone took half of the requests that the state
                # service allows, from renewals and users as well.
                time.sleep(pause_s)
                pause_s = min(2 * pause_s, self._longest_pause_s)
                continue
            else:
                for unit in units:
                    unit.done(True)
            return


def stored_bytes(data: Data) -> int:
    """The size of a value as JSON, the way of writing it that takes the most."""
    return len(json.dumps(data))


def final_writes(job_id: str, status: str, tasks: int) -> list[Data]:
    """The writes that move a job's record to the final ones."""
    return [remove(ACTIVE + job_id), put(FINAL + job_id, {"s": status, "n": tasks}), remove(PLAN + job_id)]


def grouped(entries: Iterable[Entry], prefix: str) -> dict[str, Data]:
    """Data by the rest of the key behind a prefix."""
    return {entry.key.removeprefix(prefix): entry.data for entry in entries}
