"""A leader ends, and the network delivers one of its requests to a worker a second time."""

from __future__ import annotations

import os
import sys
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
sys.path[:0] = [str(ROOT / "review"), str(ROOT / "src"), str(ROOT / "target" / "deps")]
sys.pycache_prefix = str(ROOT / "target" / "pycache")
# An error outside of the case means that it can't run, not that the rule was broken.
sys.excepthook = lambda kind, error, trace: os._exit(2)

from harness.fleet import HOST, Data, Fleet, Worker, make_job, run_case  # noqa: E402 (needs the import path set above)

from poppyhold.wire.codec import decode  # noqa: E402
from poppyhold.wire.http_client import HttpClient, HttpRequestError  # noqa: E402

# The copy arrives so long after the leader's end; the leader is started again so long after it.
COPY_AFTER_S, RESTART_AFTER_S = 0.1, 0.4
# For how long the fleet is watched afterwards.
WATCH_S = 12.0

TEAMS = """
[[settings.teams]]
name = "formdesk"
cpus = 0.0
cpus_max = 0.0
gpus = 136.0
gpus_max = 248.0

[[settings.teams]]
name = "bookroom"
cpus = 0.0
cpus_max = 0.0
gpus = 96.0
gpus_max = 248.0
"""
LARUT: Data = {
    "name": "larut",
    "cpus": 48.0,
    "accelerators": 8.0,
    "memGb": 192.0,
    "localGb": 600.0,
    "pullGbPerS": 9.0,
    "rate": 23.68,
    "marketPrice": 10.78,
    "startupS": 25.0,
    "paddocks": ["perak-east", "perak-west"],
}
TASK = "job-000001/0"
LEDGERHALL = make_job(
    "job-000002",
    lot="ledgerhall",
    crew="formdesk",
    shape="service",
    rank="critical",
    accelerators=8.0,
    cpus=32.0,
    bundle="img-ledgerhall",
    sizeGb=20.0,
    paddock="perak-east",
)


class RanTwice:
    """Sees each start of the task, and whether it is on another machine at that moment."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self.seen = False

    def on_start(self, worker: Worker, task: str) -> None:
        others = [name for name in self._fleet.running_on(task) if name != worker.name]
        if others:
            self.seen = True
            self._fleet.record.write(
                f"broken: {task} starts on {worker.name} while it is on {','.join(others)}"
            )


def request_with_start(worker: Worker, task: str) -> bytes | None:
    """The last executed POST /do that started the task on this machine."""
    with worker.lock:
        for _, body in reversed(worker.executed):
            if any(order["verb"] == "run" and order["chore"] == task for order in decode(body)["orders"]):
                return body
    return None


def deliver_again(fleet: Fleet, worker: Worker, body: bytes) -> None:
    """Deliver a copy of a request to a worker, as a network does that repeats what was carried out."""
    fleet.record.write(f"the network delivers a request to {worker.name} again: {decode(body)}")
    host, _, port = worker.endpoint.partition(":")
    with HttpClient(host or HOST, int(port), max_idle=0) as network:
        try:
            status, _ = network.request("POST", "/do", decode(body), timeout_s=2.0)
        except HttpRequestError as error:
            fleet.record.write(f"the copy got no answer: {error}")
        else:
            fleet.record.write(f"the copy is answered with {status}")


def play(fleet: Fleet, trouble: bool) -> bool:
    check = RanTwice(fleet)
    fleet.on_start = check.on_start
    first = fleet.add_machine("larut", "perak-east")
    fleet.start()
    fleet.submit(
        make_job("job-000001", accelerators=8.0, cpus=32.0, bundle="img-nightsift", sizeGb=42.7, guessS=300.0)
    )
    await_start(fleet, first)
    # A replica that may run in this zone alone takes the place of the task, which goes on in the other zone.
    second = fleet.add_machine("larut", "perak-west")
    time.sleep(3.0)
    fleet.submit(LEDGERHALL)
    await_start(fleet, second)
    fleet.cancel("job-000002")
    request = request_with_start(first, TASK)
    is_empty = fleet.eventually(lambda: not first.standin.tasks, 10.0)
    fleet.require(request is not None and is_empty, "the first machine got the start directly, and is empty")
    time.sleep(2.0)
    fleet.require(fleet.running_on(TASK) == [second.name], f"{TASK} runs on the second machine alone")
    if trouble:
        repeat_after_end_of_leader(fleet, first, request or b"")
    time.sleep(WATCH_S)
    fleet.record.write(f"starts: {[(task, name) for task, name, _ in fleet.starts]}")
    return check.seen


def await_start(fleet: Fleet, worker: Worker) -> None:
    started = fleet.eventually(lambda: fleet.running_on(TASK) == [worker.name], 20.0)
    fleet.require(started, f"{TASK} runs on {worker.name} alone")


def repeat_after_end_of_leader(fleet: Fleet, worker: Worker, request: bytes) -> None:
    """End the leader and start it again; in between, a request that it sent is delivered again."""
    leader = fleet.leader()
    fleet.require(leader is not None, "a controller leads")
    if leader is not None:
        leader.kill()
        fleet.record.write(f"{leader.member} ends")
        time.sleep(COPY_AFTER_S)
        deliver_again(fleet, worker, request)
        time.sleep(RESTART_AFTER_S - COPY_AFTER_S)
        fleet.start_controller(leader)


if __name__ == "__main__":
    folder = Path(__file__).resolve().parent
    sys.exit(run_case(Fleet(folder, ["perak-east", "perak-west"], TEAMS, [LARUT]), play))
