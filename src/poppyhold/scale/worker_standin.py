"""A worker as a state machine: its lease, incarnation, fencing token and tasks."""

from __future__ import annotations

from collections.abc import Callable

from poppyhold.scale.responses import Data, Status

# Run time of a task that ends with an error.
_FAILURE_AFTER_S = 1.0


class WorkerStandIn:
    """A machine's worker: incarnations, leases, fencing tokens, and tasks that fetch, run, save and end."""

    def __init__(
        self,
        name: str,
        machine_type: Data,
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
        self.name, self.machine_type, self.zone, self.spot = name, machine_type, zone, spot
        self.endpoint = name
        self._lease_s, self._clock = lease_s, clock
        self._describe, self._on_start, self._on_done = describe, on_start, on_done
        self.incarnation, self.sequence, self.fencing_token = 1, 0, 0
        self.notice_s: float | None = None
        self.answered_sent_at = clock()
        # Task name -> attempt, status, cause, and end of the current status.
        self.tasks: dict[str, Data] = {}
        self.images: set[str] = set()
        self.gone = False
        self.faulty = False

    def heartbeat(self) -> Data:
        """Return the next heartbeat."""
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
                    "chore": name,
                    "try": task["try"],
                    "status": task["status"],
                    "cause": task.get("cause"),
                    "kept": task.get("kept"),
                }
                for name, task in self.tasks.items()
            ],
        }

    def on_machine(self) -> list[str]:
        """Tasks that have their image and have not ended."""
        return [
            name for name, task in self.tasks.items() if task["status"] in ("waiting", "running", "flushing")
        ]

    def expire(self) -> bool:
        """Kill all tasks if the lease has expired; machines that hang have to do so too."""
        now = self._clock()
        if now - self.answered_sent_at > self._lease_s:
            self.restart()
            return True
        return False

    def next_change_at(self) -> float:
        """When the next task status change or the lease expiry is due, on the worker's clock."""
        untils: list[float] = [task["until"] for task in self.tasks.values() if task["until"] is not None]
        return min([self.answered_sent_at + self._lease_s, *untils])

    def restart(self) -> None:
        """Restart the machine: its tasks are lost, and the next incarnation starts."""
        self.tasks.clear()
        self.incarnation += 1
        self.sequence = 0
        self.answered_sent_at = self._clock()

    def step(self) -> bool:
        """Apply changes that are due by now; True if a heartbeat should report them."""
        if self.expire():
            return True
        now = self._clock()
        changed = False
        for name, task in self.tasks.items():
            if task["until"] is None or now < task["until"]:
                continue
            changed = True
            if task["status"] == "pulling":
                self._image_fetched(name, task, now)
            elif task["status"] == "waiting":
                task.update(status="ended", cause="alone", until=None)
            elif task["status"] == "running" and task.get("fails"):
                task.update(status="ended", cause="error", until=None)
            elif task["status"] == "running":
                task.update(status="ended", cause="done", until=None)
                self._on_done(name)
            elif task["status"] == "flushing":
                task.update(status="ended", cause="stopped", until=None)
        return changed

    def _image_fetched(self, name: str, task: Data, now: float) -> None:
        """Start a task whose image is fetched."""
        job = task["job"]
        self.images.add(job["bundle"])
        fails = self.faulty or job.get("mistake")
        if fails and job["shape"] == "group":
            task.update(status="ended", cause="error", until=None)
            return
        if job["shape"] == "group":
            # The stand-in for gangs simulates the rest, except for the time-out of the wait for the gang.
            task.update(status="waiting", until=now + self._gang_wait_s)
        else:
            task["status"] = "running"
            task["until"] = None if job["shape"] == "service" else now + job["runs"]
        if fails:
            task.update(until=now + _FAILURE_AFTER_S, fails=True)
        self._on_start(self, name)

    def handle_response(self, body: Data, sent_at: float, incarnation: int) -> None:
        """Handle the response to a heartbeat."""
        if incarnation != self.incarnation or body.get("baton", 0) < self.fencing_token:
            return
        self.fencing_token = body["baton"]
        self.answered_sent_at = max(self.answered_sent_at, sent_at)
        self.execute(body["orders"])

    def handle_command(self, body: Data) -> Status:
        """Handle a direct command."""
        if body["baton"] < self.fencing_token or body["shift"] != self.incarnation:
            return 409, self.heartbeat()
        self.fencing_token = body["baton"]
        self.execute(body["orders"])
        return 200, self.heartbeat()

    def execute(self, commands: list[Data]) -> None:
        """Execute commands in order."""
        now = self._clock()
        for command in commands:
            name, attempt = command["chore"], command["try"]
            held = self.tasks.get(name)
            if command["verb"] == "run":
                self._run(name, attempt, held, now)
            elif held is None or held["try"] != attempt:
                continue
            elif command["verb"] == "reap":
                if held["status"] == "ended":
                    del self.tasks[name]
            elif held["status"] == "running" and 0 < held["job"]["stashS"] <= command["leewayS"]:
                held.update(status="flushing", until=now + held["job"]["stashS"], stop_at=now)
                if held["job"]["shape"] == "group":
                    held["until"] = None
            elif held["status"] != "ended" and (held["status"] != "flushing" or command["leewayS"] == 0):
                held.update(status="ended", cause="stopped", until=None)

    def _run(self, name: str, attempt: int, held: Data | None, now: float) -> None:
        if held is not None and held["try"] == attempt:
            return
        task: Data = {"try": attempt, "status": "ended", "until": None}
        job = self._describe(name)
        if held is not None:
            return
        self.tasks[name] = task
        if job is None:
            task["cause"] = "no_such"
            return
        task["job"] = job
        if self.free_copies(job, 1) < 1:
            task["cause"] = "no_room"
            return
        fetch = 0.0 if job["bundle"] in self.images else job["sizeGb"] / self.machine_type["pullGbPerS"]
        task.update(status="pulling", until=now + fetch)

    def free_copies(self, job: Data, limit: int) -> int:
        """How many more tasks of a job fit, up to ``limit``."""
        for amount in ("cpus", "accelerators", "memGb"):
            used = sum(
                task["job"][amount]
                for task in self.tasks.values()
                if task["status"] != "ended" and "job" in task
            )
            if job[amount] > 0:
                limit = min(limit, int((self.machine_type[amount] + 1e-6 - used) / job[amount]))
        return limit
