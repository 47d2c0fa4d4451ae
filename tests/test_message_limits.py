"""Every message stays within its size limit, whatever a machine's tasks are, and larger ones are handled."""

from __future__ import annotations

import http.client
import logging
import threading
import time
from typing import Any

import msgspec
import pytest

from poppyhold.durable.keys import ACTIVE_JOB_PREFIX
from poppyhold.model.entities import Job, Machine
from poppyhold.model.invariants import Invariant
from poppyhold.scale.jobs import Data, submission
from poppyhold.scheduling.placement import Placement, PlacementChoice, PreemptionOption
from poppyhold.scheduling.quotas import QuotaExcess
from poppyhold.settings import Team
from poppyhold.wire.codec import MAX_ACCEPTED_HEARTBEAT_BYTES, MAX_BODY_BYTES, encode
from poppyhold.wire.http_server import HttpServer, http_response
from poppyhold.wire.message_limits import (
    MAX_ENTRIES_BYTES,
    commands_that_fit,
    json_bytes,
    max_entry_bytes,
)
from poppyhold.wire.partial_body import text_field
from poppyhold.wire.worker_messages import (
    Command,
    CommandKind,
    ExitCause,
    Heartbeat,
    HeartbeatResponse,
    TaskState,
    TaskStatus,
    parse_heartbeat,
)
from scenario import FOLDER, play
from sim_leader_term import SimLeaderTerm
from world import World


def _refusals(caplog: pytest.LogCaptureFixture) -> list[str]:
    return [record.getMessage() for record in caplog.records if "body too large" in record.getMessage()]


def test_a_refused_body_is_logged_with_its_sender_and_size(caplog: pytest.LogCaptureFixture) -> None:
    # Guards against tasks that are killed again and again without a line that says why.
    server = HttpServer(("127.0.0.1", 0), lambda method, path, body: http_response(200), 10)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    body = encode({"box": "vm-000231", "chores": ["x" * 100] * 10 * (MAX_BODY_BYTES // 100)})
    client = http.client.HTTPConnection("127.0.0.1", server.server_port)
    with caplog.at_level(logging.WARNING):
        client.request("POST", "/hello", body)
        assert client.getresponse().status == 413
        deadline = time.monotonic() + 5.0
        while not _refusals(caplog) and time.monotonic() < deadline:
            time.sleep(0.01)
    server.close_all()
    (line,) = _refusals(caplog)
    assert "path=/hello machine=vm-000231" in line
    assert f"bytes={len(body)} limit={MAX_ACCEPTED_HEARTBEAT_BYTES}" in line


@pytest.mark.parametrize("fields_before", [0, 3, 30])
def test_a_field_is_found_in_the_beginning_of_a_body(fields_before: int) -> None:
    body = {f"f{number}": number for number in range(fields_before)}
    encoded = encode({**body, "box": "vm-000231", "chores": ["x" * 100] * 100})
    assert text_field(encoded[:1024], "box") == "vm-000231"
    assert text_field(encoded[:1024], "endpoint") is None


@pytest.mark.parametrize(
    "beginning", [b"", b"\xa1", b"\xff\xff", b"\x83\x01\x02", encode({"box": 7}), b"\xb9\x00"]
)
def test_no_field_is_found_in_other_bodies(beginning: bytes) -> None:
    assert text_field(beginning, "box") is None


# -- one machine, in virtual time

REPLICA, ARRAY, MACHINE = "job-000001", "job-000002", "vm-000001"
# Far more tasks than a heartbeat within the limit lists.
OVERFILL = 1500
# How many tasks of the array a heartbeat lists at most, in a term whose attempts have eight digits.
MOST_TINY_TASKS = MAX_ENTRIES_BYTES // max_entry_bytes(ARRAY, False, 8)


def tiny_tasks(job_id: str, tasks: int, **fields: Any) -> Data:
    """An array of tasks that take next to nothing of a machine."""
    tiny = {"cpus": 0.005, "accelerators": 0.0, "memGb": 0.01, "sizeGb": 0.1, "rank": "best_effort"}
    return submission(job_id, {"chores": tasks, **tiny, **fields})


def overfilled_world() -> World:
    """A machine with a critical replica, and more tasks than it may list."""
    world = World(1, 10.0, 30.0, [Team("alpha")])
    world.cloud.add("large", "a", False, "running")
    worker = world.add_worker(MACHINE)
    world.run(2.0)
    world.submit(submission(REPLICA, {"shape": "service", "chores": 1, "rank": "critical", "guessS": 0.0}))
    world.run(5.0)
    world.submit(tiny_tasks(ARRAY, OVERFILL, guessS=60.0))
    world.run(8.0)
    world.overfilled.add(MACHINE)
    commands = [{"verb": "run", "chore": f"{ARRAY}/{index}", "try": 7} for index in range(OVERFILL)]
    worker.execute(commands)
    return world


def leader_term(world: World) -> SimLeaderTerm:
    leader = world.leader()
    assert leader is not None
    assert leader.leader_term is not None
    return leader.leader_term


def running(world: World, job_id: str) -> int:
    return sum(task.startswith(job_id) for task in world.workers[MACHINE].on_machine())


def assert_others_are_kept(world: World) -> None:
    """The replica was started once and runs, the machine's lease did not end, and no rule was broken."""
    assert (running(world, REPLICA), world.starts[f"{REPLICA}/0"]) == (1, 1)
    assert world.workers[MACHINE].incarnation == 1
    assert world.violations == []


@pytest.mark.parametrize("shape", ["array", "service", "group"])
@pytest.mark.parametrize("job_id", ["job-000001", f"job-{'9' * 18}"])
@pytest.mark.parametrize("attempt", [1 << 24, 2**64 - 1])
def test_the_largest_entries_of_all_tasks_fit_into_a_body(shape: str, job_id: str, attempt: int) -> None:
    header = Heartbeat("m" * 120, "e" * 260, "t" * 150, "z" * 150, True, 2**64 - 1, 2**64 - 1, 2**64 - 1)
    is_gang = shape == "group"
    size = max_entry_bytes(job_id, is_gang, len(str(attempt)))
    count = MAX_ENTRIES_BYTES // size
    task = f"{job_id}/99999"
    causes = [cause for cause in ExitCause if is_gang or cause not in ("mates_gone", "alone")]
    statuses = [TaskStatus(task, attempt, state, None, None) for state in TaskState]
    statuses += [
        TaskStatus(task, attempt, "ended", cause, kept) for cause in causes for kept in (None, True, False)
    ]
    for status in statuses:
        assert json_bytes(msgspec.structs.replace(header, tasks=[status] * count)) <= MAX_BODY_BYTES
    for kind in CommandKind:
        commands = [Command(kind, task, attempt, 1.7976931348623157e308)] * count
        assert commands_that_fit(commands) == commands
        assert json_bytes(HeartbeatResponse(2**64 - 1, commands)) <= MAX_BODY_BYTES


def test_commands_beyond_the_limit_wait_for_the_next_response() -> None:
    command = Command(CommandKind.STOP, "job-000001/0", 1 << 24, 0.0)
    commands = commands_that_fit([command] * 5000)
    assert 500 < len(commands) < 5000
    size = json_bytes(HeartbeatResponse(2**64 - 1, commands))
    assert MAX_BODY_BYTES - 2048 < size <= MAX_BODY_BYTES


def test_attempts_of_a_term_have_no_more_digits_than_its_jobs_count_with() -> None:
    world = World(1, 10.0, 30.0, [Team("alpha")])
    world.run(2.0)
    ctx = leader_term(world).controller.ctx
    assert len(str(ctx.next_unique_number())) == len(str(ctx.term_fencing_token << 24)) <= ctx.attempt_digits


def test_exits_count_until_they_are_forgotten() -> None:
    world = World(1, 10.0, 30.0, [Team("alpha")])
    world.cloud.add("large", "a", False, "running")
    worker = world.add_worker(MACHINE)
    world.run(2.0)
    world.submit(tiny_tasks(ARRAY, 3000, guessS=6.0))
    most = 0
    for step in range(40, 600):
        world.run(step * 0.05)
        most = max(most, len(worker.tasks))
    assert most > MOST_TINY_TASKS * 0.95
    assert len(world.finished) > MOST_TINY_TASKS
    assert world.violations == []


def test_a_machine_above_the_limit_recovers_and_keeps_the_tasks_of_others() -> None:
    # Guards against a lease that ends, with all tasks of a machine, as its heartbeats are too large.
    world = overfilled_world()
    assert json_bytes(world.workers[MACHINE].heartbeat()) > MAX_BODY_BYTES
    world.run(14.0)
    assert json_bytes(world.workers[MACHINE].heartbeat()) <= MAX_BODY_BYTES
    assert MOST_TINY_TASKS * 0.95 < running(world, ARRAY) <= MOST_TINY_TASKS
    assert_others_are_kept(world)


def test_a_new_leader_takes_over_a_machine_above_the_limit() -> None:
    world = overfilled_world()
    leader = leader_term(world).node
    leader.crash(60.0)
    world.run(24.0)
    assert world.leader() not in (None, leader)
    assert running(world, ARRAY) <= MOST_TINY_TASKS
    assert_others_are_kept(world)


def test_cancelling_more_tasks_than_a_response_can_stop_keeps_the_lease() -> None:
    # Guards against a response above the limit, and against one that renews the lease without all stops.
    world = overfilled_world()
    world.cancel(ARRAY)
    world.run(14.0)
    assert running(world, ARRAY) == 0
    assert_others_are_kept(world)


def test_a_response_without_all_stops_of_a_cancelled_job_is_not_sent() -> None:
    world = overfilled_world()
    term, sent = leader_term(world), list[Data]()
    controller = term.controller
    term.send_commands = lambda *request: sent.append(request[2])  # type: ignore[method-assign]
    controller.handle_job_removed(f"{ACTIVE_JOB_PREFIX}{ARRAY}")
    worker = world.workers[MACHINE]
    assert controller.handle_heartbeat(parse_heartbeat(worker.heartbeat())) is None
    # Direct commands stop the tasks instead, and renew no lease.
    machine = controller.ctx.fleet.machines[MACHINE]
    stopped = {command.task for command in machine.queued_commands}
    # Those of the attempts that it knew are on their way.
    known = {command["chore"] for request in sent for command in request["orders"]}
    assert known | stopped == {f"{ARRAY}/{index}" for index in range(OVERFILL)}


def _preempt_without_bound(
    self: Placement, job: Job, machine: Machine, machine_index: int, excess: QuotaExcess | None = None
) -> PreemptionOption | None:
    """A preemption is possible however many tasks the machine's heartbeat lists."""
    candidates = self._preemptible_by_machine(job).get(machine.name, [])
    victims = self._cached_victims(job, machine, candidates, excess)
    return (
        None if victims is None else PreemptionOption(0.0, machine_index, PlacementChoice(machine, victims))
    )


@pytest.mark.violates_invariant
def test_a_start_that_the_heartbeat_can_not_list_is_refused(
    monkeypatch: pytest.MonkeyPatch, invariant_violations: list[str]
) -> None:
    monkeypatch.setattr(Placement, "preemption_on", _preempt_without_bound)
    text = (FOLDER / "preemption_among_tiny_tasks.txt").read_text(encoding="utf-8")
    assert [line for line in play(text, 1) if line.startswith("too_large")] == []
    assert Invariant.START_FITS_HEARTBEAT.value in invariant_violations[0]
