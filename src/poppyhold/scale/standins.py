"""Stand-ins for the outside systems: state service, cloud and workers, with their limits and leases.

They hold no clock of their own, so that scenarios run them in virtual time, the smoke test and the scale run
in real time.
"""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Callable
from typing import Any

import msgspec

from poppyhold.wire.codec import encode

Data = dict[str, Any]
Status = tuple[int, Data]


_LARGEST_PAGE, _CHANGES_KEPT = 1000, 10_000
# What fails, fails so long behind its start.
_FAILS_AFTER_S = 1.0


class StateStandIn:
    """The key-value store: revisions, conditional transactions, leases, a log of changes."""

    def __init__(self, clock: Callable[[], float], txn_ops: int = 20, value_kb: float = 8.0) -> None:
        self._clock, self._txn_ops, self._value_kb = clock, txn_ops, value_kb
        self.keys: dict[str, tuple[Data, int, int | None]] = {}
        self.ledger = 0
        self.leases: dict[int, list[float]] = {}
        self.log: list[tuple[int, Data]] = []
        self.down = False
        self._permit = 0
        # Changes that a watch may be behind.
        self.changes_kept = _CHANGES_KEPT

    def end_outage(self) -> None:
        """Service is back, and every lease has its full time again."""
        self.down = False
        for lease in self.leases.values():
            lease[0] = self._clock() + lease[1]

    def lower_limits(self, txn_ops: int, value_kb: float) -> None:
        """From now on less may be stored at once, without notice."""
        self._txn_ops, self._value_kb = txn_ops, value_kb

    def expire(self) -> None:
        """End the leases whose time is up."""
        if self.down:
            return
        for permit in [p for p, lease in self.leases.items() if lease[0] <= self._clock()]:
            self.end(permit)

    def end(self, permit: int) -> Status:
        """End a lease and remove its keys."""
        if self.leases.pop(permit, None) is None:
            return 404, {}
        attached = [key for key, (_, _, held) in self.keys.items() if held == permit]
        if attached:
            self.ledger += 1
            for key in attached:
                del self.keys[key]
                self.log.append((self.ledger, {"remove": key, "stamp": self.ledger}))
        return 200, {}

    def lease(self, life_ms: int) -> Status:
        """Grant a lease."""
        self._permit += 1
        self.leases[self._permit] = [self._clock() + life_ms / 1000, life_ms / 1000]
        return 200, {"permit": self._permit}

    def extend(self, permit: int) -> Status:
        """Renew a lease."""
        self.expire()
        lease = self.leases.get(permit)
        if lease is None:
            return 404, {}
        lease[0] = self._clock() + lease[1]
        return 200, {}

    def get(self, key: str) -> Status:
        """Read a key."""
        self.expire()
        if key not in self.keys:
            return 404, {"ledger": self.ledger}
        data, stamp, permit = self.keys[key]
        return 200, {"key": key, "data": data, "stamp": stamp, "permit": permit}

    def scan(self, prefix: str, after: str, most: int) -> Status:
        """Read keys in order."""
        self.expire()
        most = min(most, _LARGEST_PAGE)
        names = sorted(key for key in self.keys if key.startswith(prefix) and key > after)
        entries = [{"key": k, "data": self.keys[k][0], "stamp": self.keys[k][1]} for k in names[:most]]
        return 200, {"entries": entries, "more": len(names) > most, "ledger": self.ledger}

    def commit(self, body: Data) -> Status:
        """Carry out a transaction within the limits."""
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
            return 409, {"failed": failed, "ledger": self.ledger}
        if writes:
            self.ledger += 1
        for write in writes:
            if "set" in write:
                self.keys[write["set"]] = (write["data"], self.ledger, write.get("permit"))
                event = {"set": write["set"], "data": write["data"], "stamp": self.ledger}
                self.log.append((self.ledger, event))
            elif self.keys.pop(write["remove"], None) is not None:
                self.log.append((self.ledger, {"remove": write["remove"], "stamp": self.ledger}))
        return 200, {"ledger": self.ledger}

    def is_too_old(self, since: int) -> bool:
        """Whether changes behind a revision are not kept any more."""
        return len(self.log) > self.changes_kept and since < self.log[-self.changes_kept - 1][0]

    def changes(self, prefix: str, since: int) -> list[Data]:
        """Changes behind a revision."""
        self.expire()
        first = bisect_right(self.log, since, key=lambda change: change[0])
        return [
            event for _, event in self.log[first:] if (event.get("set") or event["remove"]).startswith(prefix)
        ]


class WorkerStandIn:
    """A machine's worker: sessions, leases, tokens, and tasks that fetch, run, save and end."""

    def __init__(
        self,
        name: str,
        build: Data,
        zone: str,
        spot: bool,
        lease_s: float,
        clock: Callable[[], float],
        describe: Callable[[str], Data | None],
        on_start: Callable[[WorkerStandIn, str], None],
        on_done: Callable[[str], None],
        gang_wait_s: float = 30.0,
    ) -> None:
        self._gang_wait_s = gang_wait_s
        self.name, self.machine_type, self.zone, self.spot = name, build, zone, spot
        self.endpoint = name
        self._lease_s, self._clock = lease_s, clock
        self._describe, self._on_start, self._on_done = describe, on_start, on_done
        self.incarnation, self.sequence, self.fencing_token = 1, 0, 0
        self.notice_s: float | None = None
        self.answered_sent_at = clock()
        # task -> try, status, cause, end of the current status
        self.tasks: dict[str, Data] = {}
        self.images: set[str] = set()
        self.gone = False
        self.faulty = False

    def heartbeat(self) -> Data:
        """A report of now."""
        self.sequence += 1
        return {
            "box": self.name,
            "endpoint": self.endpoint,
            "build": self.machine_type["name"],
            "paddock": self.zone,
            "loaners": self.spot,
            "shift": self.incarnation,
            "tally": self.sequence,
            "baton": self.fencing_token,
            "recallS": self.notice_s,
            "chores": [
                {
                    "chore": n,
                    "try": c["try"],
                    "status": c["status"],
                    "cause": c.get("cause"),
                    "kept": c.get("kept"),
                }
                for n, c in self.tasks.items()
            ],
        }

    def on_machine(self) -> list[str]:
        """Tasks that have their image and have not ended."""
        return [n for n, c in self.tasks.items() if c["status"] in ("waiting", "running", "flushing")]

    def expire(self) -> bool:
        """Kill everything if the lease is over, as hanging machines too are bound to."""
        now = self._clock()
        if now - self.answered_sent_at > self._lease_s:
            self.restart()
            return True
        return False

    def next_change_at(self) -> float:
        """When `step` has something to do next, on the worker's clock."""
        untils: list[float] = [task["until"] for task in self.tasks.values() if task["until"] is not None]
        return min([self.answered_sent_at + self._lease_s, *untils])

    def restart(self) -> None:
        """The machine restarts: its tasks are gone, and a later session begins."""
        self.tasks.clear()
        self.incarnation += 1
        self.sequence = 0
        self.answered_sent_at = self._clock()

    def step(self) -> bool:
        """Let time pass; True if something is worth a report."""
        if self.expire():
            return True
        now = self._clock()
        changed = False
        for name, chore in self.tasks.items():
            if chore["until"] is None or now < chore["until"]:
                continue
            changed = True
            if chore["status"] == "pulling":
                self._fetched(name, chore, now)
            elif chore["status"] == "waiting":
                chore.update(status="ended", cause="alone", until=None)
            elif chore["status"] == "running" and chore.get("fails"):
                chore.update(status="ended", cause="error", until=None)
            elif chore["status"] == "running":
                chore.update(status="ended", cause="done", until=None)
                self._on_done(name)
            elif chore["status"] == "flushing":
                chore.update(status="ended", cause="stopped", until=None)
        return changed

    def _fetched(self, name: str, chore: Data, now: float) -> None:
        """A task has its image."""
        job = chore["job"]
        self.images.add(job["bundle"])
        fails = self.faulty or job.get("mistake")
        if fails and job["shape"] == "group":
            chore.update(status="ended", cause="error", until=None)
            return
        if job["shape"] == "group":
            # The rest is played by `gang_standin`, but for the end of its patience.
            chore.update(status="waiting", until=now + self._gang_wait_s)
        else:
            chore["status"] = "running"
            chore["until"] = None if job["shape"] == "service" else now + job["runs"]
        if fails:
            chore.update(until=now + _FAILS_AFTER_S, fails=True)
        self._on_start(self, name)

    def answered(self, body: Data, sent_at: float, shift: int) -> None:
        """The answer to a report came."""
        if shift != self.incarnation or body.get("baton", 0) < self.fencing_token:
            return
        self.fencing_token = body["baton"]
        self.answered_sent_at = max(self.answered_sent_at, sent_at)
        self.execute(body["orders"])

    def do(self, body: Data) -> Status:
        """A direct command."""
        if body["baton"] < self.fencing_token or body["shift"] != self.incarnation:
            return 409, self.heartbeat()
        self.fencing_token = body["baton"]
        self.execute(body["orders"])
        return 200, self.heartbeat()

    def execute(self, orders: list[Data]) -> None:
        """Carry out commands in order."""
        now = self._clock()
        for order in orders:
            name, number = order["chore"], order["try"]
            held = self.tasks.get(name)
            if order["verb"] == "run":
                self._run(name, number, held, now)
            elif held is None or held["try"] != number:
                continue
            elif order["verb"] == "reap":
                if held["status"] == "ended":
                    del self.tasks[name]
            elif held["status"] == "running" and 0 < held["job"]["stashS"] <= order["leewayS"]:
                held.update(status="flushing", until=now + held["job"]["stashS"], stop_at=now)
                if held["job"]["shape"] == "group":
                    held["until"] = None
            elif held["status"] != "ended" and (held["status"] != "flushing" or order["leewayS"] == 0):
                held.update(status="ended", cause="stopped", until=None)

    def _run(self, name: str, number: int, held: Data | None, now: float) -> None:
        if held is not None and held["try"] == number:
            return
        chore: Data = {"try": number, "status": "ended", "until": None}
        job = self._describe(name)
        if held is not None:
            return
        self.tasks[name] = chore
        if job is None:
            chore["cause"] = "no_such"
            return
        chore["job"] = job
        if self.room(job, 1) < 1:
            chore["cause"] = "no_room"
            return
        fetch = 0.0 if job["bundle"] in self.images else job["sizeGb"] / self.machine_type["pullGbPerS"]
        chore.update(status="pulling", until=now + fetch)

    def room(self, job: Data, most: int) -> int:
        """How many more tasks of a job there is room for, up to ``most``."""
        for amount in ("cpus", "accelerators", "memGb"):
            used = sum(c["job"][amount] for c in self.tasks.values() if c["status"] != "ended" and "job" in c)
            if job[amount] > 0:
                most = min(most, int((self.machine_type[amount] + 1e-6 - used) / job[amount]))
        return most


class CloudStandIn:
    """Rents machines: names once, a list that lags, refusals, boots that fail."""

    def __init__(self, clock: Callable[[], float], builds: list[Data], lag_s: float) -> None:
        self._clock, self.machine_types, self._lag_s = clock, builds, lag_s
        self.capacity: dict[tuple[str, str, bool], int] = {}
        self.launches: dict[str, list[str]] = {}
        self.machines: dict[str, Data] = {}
        self.down = False
        self.failing = 0
        self._count = 0
        self._past: list[tuple[float, list[Data]]] = []

    def add(self, build: str, zone: str, spot: bool, status: str = "starting") -> str:
        """Bring a machine into being."""
        self._count += 1
        name = f"vm-{self._count:06d}"
        self.machines[name] = {
            "nameId": name,
            "endpoint": name,
            "build": build,
            "paddock": zone,
            "loaners": spot,
            "status": status,
            "at": self._clock(),
        }
        return name

    def launch(self, body: Data) -> Status:
        """Rent; a name that was answered with 200 is answered alike again."""
        if self.down:
            return 503, {"error": "trouble"}
        if body["hire"] in self.launches:
            return 200, {"boxes": self.launches[body["hire"]]}
        key = (body["build"], body["paddock"], body["loaners"])
        held = sum(1 for m in self.machines.values() if (m["build"], m["paddock"], m["loaners"]) == key)
        room = min(body["number"], self.capacity.get(key, 0) - held)
        if room <= 0:
            return 503, {"error": "no capacity"}
        names = [self.add(*key) for _ in range(room)]
        self.launches[body["hire"]] = names
        return 200, {"boxes": names}

    def delete(self, names: list[str]) -> Status:
        """Delete; the caller ends the workers."""
        if self.down:
            return 503, {"error": "trouble"}
        for name in names:
            self.machines.pop(name, None)
        return 200, {}

    def listing(self) -> Status:
        """The list as it was a lag ago."""
        if self.down:
            return 503, {"error": "trouble"}
        now = self._clock()
        seen: list[Data] = []
        for at, boxes in self._past:
            if at <= now - self._lag_s:
                seen = boxes
        return 200, {"boxes": seen, "more": False}

    def remember(self) -> None:
        """Keep what a list will show a lag from now."""
        now = self._clock()
        boxes = [
            {**{k: v for k, v in m.items() if k not in ("at", "boot_s")}, "heldS": now - m["at"]}
            for m in self.machines.values()
        ]
        self._past.append((now, boxes))
        while len(self._past) > 1 and self._past[1][0] <= now - self._lag_s:
            # Something newer is old enough to be shown.
            del self._past[0]
