"""Old and new versions side by side: each reads what the other stores and sends.

`fixtures/production_1e58d14.json` was written by the code of commit 1e58d14, the version in production when
gangs were added: its own scenario world (seed 5) ran for 13.8 s with arrays, services, a gang, a
cancellation and a launch. `keys` is what its controllers had stored by then, `workers` the state of its
simulated workers, `messages` one message of each kind as its encoder wrote it, and `reads` the fields of its
decoders, in order.
"""

from __future__ import annotations

import json
import re
from pathlib import Path
from typing import Any, get_type_hints

import msgspec
import pytest

from poppyhold.cluster.cancellations import Cancellation
from poppyhold.cluster.lease_delegation import LeaseDelegation
from poppyhold.cluster.peer_messages import Message, Ping, Pong
from poppyhold.model.outbound import MisdirectedWorker
from poppyhold.settings import AnnouncedStateLimits, Team
from poppyhold.wire.cloud_messages import MachineType
from poppyhold.wire.user_messages import Submission
from scenario import Scenario
from world import World

Data = dict[str, Any]
FIXTURE: Data = json.loads((Path(__file__).parent / "fixtures" / "production_1e58d14.json").read_text())
# Types that had other names in the production version; type names are not sent.
RECORDED_TYPE_NAMES = {LeaseDelegation.__name__: "Trust"}
TEAMS = [Team("alpha", accelerators=8, accelerators_max=0), Team("beta", accelerators=8, accelerators_max=0)]

PING = Ping(
    "hive-0",
    7,
    True,
    0.5,
    12,
    2,
    [("job-000001", 3, 2)],
    [("vm-000001", (("img-1", 5.0),))],
    LeaseDelegation(7, 1000.5, ["vm-000002"]),
    41,
)
PONG = Pong(
    "hive-1",
    6,
    False,
    1.5,
    11,
    1,
    [Cancellation("job-000006", 40)],
    39,
    [MisdirectedWorker("vm-000003", 2, 17)],
)


@pytest.mark.parametrize(("kind", "expected"), [("ping", PING), ("pong", PONG)])
def test_messages_match_those_of_the_production_version(kind: str, expected: Message) -> None:
    recorded = bytes.fromhex(FIXTURE["messages"][kind])
    decoder: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(Ping | Pong)
    assert decoder.decode(recorded) == expected
    # Its decoders read a message by position and ignore fields after the last one that they know.
    old = msgspec.msgpack.decode(recorded)
    new = msgspec.msgpack.decode(msgspec.msgpack.encode(expected))
    assert new[: len(old)] == old


def _without_modules(text: str) -> str:
    """A field's type without module names, which are not sent."""
    return re.sub(r"\b(?:typing|poppyhold(?:\.[a-z_]+)+)\.", "", text)


def _as_sent(text: str) -> str:
    """A field's type with named tuples as plain tuples, as on the wire."""
    sent = _without_modules(text)
    for named in (MisdirectedWorker, Cancellation):
        types = ", ".join(kind.__name__ for kind in get_type_hints(named).values())
        sent = sent.replace(named.__name__, f"tuple[{types}]")
    for present, recorded in RECORDED_TYPE_NAMES.items():
        sent = sent.replace(present, recorded)
    return sent


@pytest.mark.parametrize(
    ("kind", "name"),
    [(Ping, "Ping"), (Pong, "Pong"), (Submission, "Submission"), (MachineType, "Build")],
)
def test_fields_are_only_added(kind: type[msgspec.Struct], name: str) -> None:
    recorded = [[field, _without_modules(text), *rest] for field, text, *rest in FIXTURE["reads"][name]]
    fields = [
        [field.encode_name, _as_sent(str(field.type)), field.required]
        for field in msgspec.structs.fields(kind)
    ]
    if kind in (Ping, Pong):
        # They are sent by position, without field names.
        fields = [field[1:] for field in fields]
        recorded = [field[1:] for field in recorded]
    assert fields[: len(recorded)] == recorded
    assert not any(required for *_, required in fields[len(recorded) :])


def _restore_production_world(next_limits: AnnouncedStateLimits | None) -> World:
    """A world that continues from the production version's state, just after its leader has ended."""
    world = World(5, 10.0, 30.0, TEAMS, next_limits)
    world.now = FIXTURE["at"]
    world.jobs, world.observed_status = dict(FIXTURE["jobs"]), dict(FIXTURE["told"])
    world.cancelled_at = {
        job: world.now for job, status in world.observed_status.items() if status == "cancelled"
    }
    state = world.state
    state.ledger = FIXTURE["ledger"]
    state.keys = {key: (held["data"], held["stamp"], None) for key, held in FIXTURE["keys"].items()}
    state.keys["ph/l/lead"] = (*state.keys["ph/l/lead"][:2], 1)
    # Lease ids are not reused.
    state.leases[state.lease(2500)[1]["permit"]] = [world.now + 2.5, 2.5]
    for name, held in sorted(FIXTURE["workers"].items()):
        added = world.cloud.add(held["build"], held["zone"], held["spot"], "running")
        assert added == name
        worker = world.add_worker(name)
        worker.incarnation, worker.sequence, worker.fencing_token = (
            held["shift"],
            held["tally"],
            held["baton"],
        )
        for task, chore in held["chores"].items():
            job = world.jobs[task.rpartition("/")[0]]
            worker.tasks[task] = {**chore, "job": job}
            worker.images.add(job["bundle"])
            if chore.get("cause") == "done":
                world.finished.add(task)
            if job["shape"] == "group" and chore["status"] == "running":
                # That version's simulated workers ran the tasks of a gang independently of one another.
                worker.tasks[task].update(status="waiting", until=world.now + 30.0)
    # Completions that were recorded and no longer listed in heartbeats by then.
    done = int(state.keys["ph/d/job-000001/0"][0]["d"], 16)
    world.finished |= {f"job-000001/{index}" for index in range(40) if done >> index & 1}
    return world


@pytest.mark.parametrize(
    "next_limits", [None, AnnouncedStateLimits(value_kb=2.0, txn_ops=4)], ids=["same limits", "lower limits"]
)
def test_state_stored_by_production_is_continued(next_limits: AnnouncedStateLimits | None) -> None:
    world = _restore_production_world(next_limits)
    world.run(world.now + 6.0)
    if next_limits is not None:
        world.state.lower_limits(4, 2.0)
    started = dict(world.starts)
    assert not any(task.startswith("job-000006") for task in started)
    world.run(120.0)
    world.cancel("job-000007")
    world.run(160.0)
    assert world.violations == []
    assert world.settled() == []
    # Nothing that had been recorded as completed was started again.
    assert "job-000001/0" not in world.starts


def _recorded_family(key: str) -> tuple[str, str] | None:
    """The family of a key, and a recorded key of that family."""
    family = key.split("/")[1]
    recorded = next((name for name in FIXTURE["keys"] if name.split("/")[1] == family), None)
    return (family, recorded) if recorded is not None else None


SCENARIO = """
world next_txn_ops=4 next_value_kb=2
machines small a on_demand 3
machines small b spot 2
capacity small a on_demand 3
at 2 submit job-000001 chores=20000 guessS=2 sizeGb=0.1
at 3 submit job-000002 shape=group chores=8 guessS=30 bookmarkS=5.0 stashS=2.0 loaners=true samePlace=true
at 3 submit job-000003 shape=service chores=3 apart=true
at 6 submit job-000004 chores=3 guessS=10
at 9 cancel job-000004
at 14 expect leader yes
"""


def test_stored_records_are_readable_by_production() -> None:
    scenario = Scenario(SCENARIO, 3)
    scenario.play()
    assert scenario.failures + scenario.world.violations == []
    added = set()
    for key, (data, _, _) in scenario.world.state.keys.items():
        found = _recorded_family(key)
        if found is None:
            added.add(key.split("/")[1])
            continue
        _, recorded = found
        for name, value in FIXTURE["keys"][recorded]["data"].items():
            assert name in data, key
            assert data[name] is None or type(data[name]) is type(value), key
    # Key families of which the production version reads nothing: the write fence was not needed there,
    # and completions of very large jobs have their own records where limits are lowered.
    assert added <= {"c", "e"}
