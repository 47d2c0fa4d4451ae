"""What invalid input is answered, and the large jobs that are valid."""

from __future__ import annotations

import math
from pathlib import Path
from typing import Any

import msgspec
import pytest

from poppyhold.configuration_checks import ConfigError
from poppyhold.durable.keys import (
    COMPLETION_RANGES_PREFIX,
    COMPLETIONS_PREFIX,
    MACHINE_TYPES_KEY,
    MORE_MACHINE_TYPES_PREFIX,
)
from poppyhold.durable.machine_types import machine_type_writes
from poppyhold.execution.completions import RecordLayout, decode_bits
from poppyhold.model.entities import make_job
from poppyhold.options_file import load_options, parse_options
from poppyhold.scale.jobs import build_data as machine_type_data
from poppyhold.scale.jobs import submission
from poppyhold.scale.jobs import wire as as_sent
from poppyhold.settings import AnnouncedStateLimits, StateLimits, Team
from poppyhold.settings_file import load_settings
from poppyhold.wire.cloud_messages import MachineType, MachineTypes
from poppyhold.wire.codec import MalformedError, convert, encode
from poppyhold.wire.user_messages import parse_submission
from poppyhold.wire.worker_messages import parse_heartbeat
from world import World


def wire(**fields: object) -> dict[str, Any]:
    """A submission as a user sends it."""
    return as_sent(submission("job-000001", fields))


INVALID_SUBMISSIONS = [
    {"nameId": "job-1"},
    {"nameId": "job-00000a"},
    {"nameId": 7},
    {"shape": "circle"},
    {"rank": "urgent"},
    {"chores": 0},
    {"chores": 100_001},
    {"chores": 1.5},
    {"cpus": -1.0},
    {"memGb": math.inf},
    {"accelerators": math.nan},
    {"dueS": -3.0},
    {"apart": "yes"},
    {"builds": "small"},
]


@pytest.mark.parametrize("fields", INVALID_SUBMISSIONS, ids=str)
def test_invalid_submissions_are_rejected(fields: dict[str, object]) -> None:
    with pytest.raises(MalformedError):
        parse_submission(wire() | fields)


@pytest.mark.parametrize("missing", ["lot", "chores", "cpus", "samePlace", "guessS"])
def test_missing_fields_are_rejected(missing: str) -> None:
    body = wire()
    del body[missing]
    with pytest.raises(MalformedError):
        parse_submission(body)


def test_nullable_fields_may_be_left_out_and_unknown_ones_are_ignored() -> None:
    body = wire(colour="blue")
    for name in ("builds", "paddock", "dueS"):
        del body[name]
    assert parse_submission(body).machine_types is None


def test_users_get_the_status_of_the_protocol() -> None:
    world = World(1, 10.0, 30.0, [Team("alpha", accelerators_max=6)])
    users = world.nodes[0].users
    assert users.submit(b"\xff\xff")[0] == 400
    assert users.submit(encode([1, 2]))[0] == 400
    assert users.submit(encode(wire(crew="nobody")))[0] == 422
    assert users.submit(encode(wire(builds=["huge"])))[0] == 422
    assert users.submit(encode(wire(accelerators=9.0)))[0] == 422
    assert users.submit(encode(wire(shape="service", chores=7)))[0] == 422
    # A gang runs whole or not at all, so all of it counts.
    assert users.submit(encode(wire(shape="group", chores=7)))[0] == 422
    assert users.submit(encode(wire(shape="group", chores=6, nameId="job-000006")))[0] == 201
    assert users.submit(encode(wire(shape="array", chores=7)))[0] == 201
    assert users.submit(encode(wire(shape="array", chores=7)))[0] == 200
    # What was accepted stays accepted, whatever a repeat says.
    assert users.submit(encode(wire(crew="nobody")))[0] == 200
    assert users.poll("job-000009")[0] == 404
    assert users.abort("job-000009")[0] == 404
    assert users.poll("nonsense")[0] == 404
    world.state.down = True
    unavailable = users.submit(encode(wire(nameId="job-000002")))
    assert unavailable[0] == 503
    assert "Retry-After" in unavailable[2]
    assert users.poll("job-000001")[0] == 503


HEARTBEAT = {
    "box": "vm-1",
    "endpoint": "127.0.0.1:1",
    "build": "small",
    "paddock": "a",
    "loaners": False,
    "shift": 1,
    "tally": 1,
    "baton": 0,
}


@pytest.mark.parametrize(
    "body",
    [{}, {"box": "vm"}, {"box": 1, "tally": "x"}, {**HEARTBEAT, "box": "no key"}, {**HEARTBEAT, "shift": 0}],
    ids=str,
)
def test_malformed_heartbeats_are_rejected(body: dict[str, object]) -> None:
    with pytest.raises(MalformedError):
        parse_heartbeat(body)
    assert parse_heartbeat(HEARTBEAT).machine == "vm-1"


@pytest.mark.parametrize(("value_kb", "next_kb"), [(8.0, None), (8.0, 2.0), (16.0, 2.0)])
def test_completions_of_the_largest_job_fit_their_records(value_kb: float, next_kb: float | None) -> None:
    job = make_job(parse_submission(wire(chores=100_000)), 1, 0.0)
    layout = RecordLayout(StateLimits(value_kb=value_kb, announced=AnnouncedStateLimits(value_kb=next_kb)))
    sizes = {COMPLETIONS_PREFIX: layout.range_size, COMPLETION_RANGES_PREFIX: layout.reduced_range_size}
    size = layout.range_size
    done = [0, 1, size - 1, size, 54_321, 99_999]
    for index in done:
        job.complete(index)
    found: list[int] = []
    for key, data in layout.records(job, range(100_000)).items():
        assert len(msgspec.json.encode(data)) <= min(value_kb, next_kb or value_kb) * 1024
        prefix, number = key[: len(COMPLETIONS_PREFIX)], int(key.rpartition("/")[2])
        found += [number * sizes[prefix] + offset for offset in decode_bits(data["d"])]
    assert sorted(found) == done


def test_largest_job_runs_within_the_limits() -> None:
    # The state service's stand-in refuses values and transactions above the limits.
    world = World(1, 10.0, 30.0, [Team("alpha")])
    for _ in range(4):
        world.add_worker(world.cloud.add("large", "a", False, "running"))
    world.run(1.5)
    world.submit(submission("job-000001", {"chores": 100_000, "guessS": 2.0, "sizeGb": 0.1}))
    world.run(30.0)
    assert world.violations == []
    assert len(world.finished) > 32


def test_submissions_fit_announced_limits() -> None:
    world = World(1, 10.0, 30.0, [Team("alpha")], AnnouncedStateLimits(value_kb=2.0, txn_ops=4))
    world.state.lower_limits(4, 2.0)
    users = world.nodes[0].users
    # Machine types that don't exist allow nothing: they are left out of a record that is too long with them.
    names = ["small", *(f"type-{number:04d}" for number in range(400))]
    assert users.submit(encode(wire(builds=names)))[0] == 201
    assert world.state.keys["ph/a/job-000001"][0]["spec"]["builds"] == ["small"]
    four_byte_character = "\U0001f600"
    oversized = wire(nameId="job-000002", bundle=four_byte_character * 200, lot=four_byte_character * 200)
    assert users.submit(encode(oversized))[0] == 400
    # The same from a version that stored it under larger limits is known.
    world.state.keys["ph/a/job-000002"] = ({"spec": oversized, "at": 0.0}, 1, None)
    assert users.submit(encode(oversized))[0] == 200


def test_machine_types_are_stored_within_the_limit_and_read_again() -> None:
    data = machine_type_data("small", 4, 10.0)
    builds = [convert({**data, "name": f"type-{number}"}, MachineType) for number in range(20)]
    records = machine_type_writes(builds, 2048)
    assert len(records) > 1
    assert records[0].key == MACHINE_TYPES_KEY
    assert all(record.key.startswith(MORE_MACHINE_TYPES_PREFIX) for record in records[1:])
    assert all(len(msgspec.json.encode(record.data)) <= 2048 for record in records)
    read = [build for record in records for build in convert(record.data, MachineTypes).machine_types]
    assert read == builds
    assert len(machine_type_writes(builds[:2], 8192)) == 1


def test_the_lowest_of_current_and_announced_limits_applies() -> None:
    limits = StateLimits(
        value_kb=8.0, txn_ops=20, write_rps=25.0, announced=AnnouncedStateLimits(value_kb=2.0, txn_ops=30)
    )
    lowest = limits.lowest
    assert (lowest.value_kb, lowest.txn_ops, lowest.write_rps, lowest.rps) == (2.0, 20, 25.0, limits.rps)
    assert StateLimits(value_kb=8.0).lowest.value_kb == 8.0


def test_options_have_defaults_and_bounds(tmp_path: Path) -> None:
    root = Path(__file__).resolve().parent.parent
    shipped = (root / "deploy" / "poppyhold.txtpb").read_text()
    assert parse_options(shipped) == load_options(None)
    # The figures that are commented out are the defaults.
    lines = [line.removeprefix("# ") for line in shipped.splitlines()[2:]]
    assert parse_options("\n".join(lines)) == load_options(None)
    assert parse_options("provisioning { headroom: 2 }").provisioning.headroom == 2.0
    for text, name in (("design { slot_leases: 0 }", "slot_leases"), ("nonsense: 1", "nonsense")):
        bad = tmp_path / "bad.txtpb"
        bad.write_text(text)
        with pytest.raises(ConfigError, match=name):
            load_options(bad)


KNOWN = '[[known]]\nmember = "{}"\ndomain = "{}"\naddress = "127.0.0.1:9"\n'
TEAM = '[[settings.teams]]\nname = "{}"\ngpus_max = {}\n'


def test_settings_errors_name_the_invalid_field(tmp_path: Path) -> None:
    good = """
member = "a"
domain = "z"
client_listen = "127.0.0.1:1"
back = "127.0.0.1:2"
[outside]
cloud = "127.0.0.1:3"
state = "127.0.0.1:4"
[settings]
count = 1
zones = ["z"]
[settings.workers]
report_s = 1.0
lease_s = 10.0
cancel_s = 30.0
"""
    path = tmp_path / "settings.toml"
    path.write_text(good)
    assert load_settings(path).deployment.workers.cancel_s == 30.0
    # Three zones with a controller each, a team without limits, an objective of a class that none belongs to.
    path.write_text(
        good.replace("[outside]", KNOWN.format("b", "y") + KNOWN.format("c", "x") + "[outside]")
        .replace('zones = ["z"]', 'zones = ["z", "y", "x"]')
        .replace("[settings.workers]", "[[settings.teams]]\nname = 't'\n[settings.workers]")
        + "[[settings.objectives]]\nkind = 'wait'\nclass = 'nobody'\n"
    )
    assert len(load_settings(path).peers) == 2
    for old, new, name in (
        ("count = 1", 'count = "x"', "count"),
        ("count = 1", "count = 0", "settings.count"),
        ("count = 1", "count = -3", "settings.count"),
        ("count = 1", "count = 1\nskew_ms = -1.0", "settings.skew_ms"),
        ("127.0.0.1:4", "nowhere", "outside.state"),
        ("lease_s = 10.0", "lease_s = 0.0", "lease_s"),
        ("cancel_s = 30.0", "cancel_s = 5.0", "cancel_s"),
        ("cancel_s = 30.0", "cancel_s = 30.0\ngang_wait_s = 0.0", "gang_wait_s"),
        ("cancel_s = 30.0", "cancel_s = 30.0\ngang_peer_s = -1.0", "gang_peer_s"),
        ("cancel_s = 30.0", "cancel_s = 30.0\n[settings.state.next]\nvalue_kb = 0.0", "next.value_kb"),
        ("cancel_s = 30.0", "cancel_s = 30.0\n[settings.state.next]\ntxn_ops = 2", "next.txn_ops"),
        ('domain = "z"', 'domain = "y"', "domain: 'y'"),
        ('zones = ["z"]', "zones = []", "settings.zones"),
        ('zones = ["z"]', 'zones = ["z", "y", "z"]', "settings.zones: 'z'"),
        ("[outside]", KNOWN.format("b", "y") + "[outside]", "known.b.domain: 'y'"),
        ("[outside]", KNOWN.format("b", "z") * 2 + "[outside]", "known.member: 'b'"),
        ("[outside]", KNOWN.format("a", "z") + "[outside]", "known.member: 'a'"),
        ("cancel_s = 30.0", "cancel_s = 30.0\n" + TEAM.format("t", 1.0) * 2, "settings.teams.name: 't'"),
        ("cancel_s = 30.0", "cancel_s = 30.0\n" + TEAM.format("", 1.0), "settings.teams.name"),
        ("cancel_s = 30.0", "cancel_s = 30.0\n" + TEAM.format("t", -1.0), "settings.teams.t.gpus_max"),
        ("cancel_s = 30.0", "cancel_s = 30.0\n" + TEAM.format("t", "inf"), "settings.teams.t.gpus_max"),
    ):
        path.write_text(good.replace(old, new))
        with pytest.raises(ConfigError, match=name):
            load_settings(path)
