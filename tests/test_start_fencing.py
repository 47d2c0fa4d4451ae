"""When a worker may forget an exit, and when a start that it ignored counts as void."""

from __future__ import annotations

import itertools
from typing import Any

import pytest

from poppyhold.execution.start_fencing import StartFencing
from poppyhold.model.entities import Attempt, JobPhase, Machine
from poppyhold.model.outcome import RequestOutcome
from poppyhold.wire.worker_messages import CommandKind, parse_heartbeat
from scenario import play
from test_reconciliation import leading_world
from world import SimWorker

JOB, TASK, MACHINE = "job-000001", "job-000001/0", "vm-000001"


class FencingHarness:
    """A leader and a worker on which it started a task directly."""

    def __init__(self) -> None:
        self.world, self.term = leading_world()
        self.reconciler = self.term.controller.reconciler
        self.fencing: StartFencing = self.reconciler.fencing
        self.machine: Machine = self.term.controller.ctx.fleet.machines[MACHINE]
        self.worker: SimWorker = self.world.workers[MACHINE]
        self.attempt: Attempt = self.term.controller.ctx.fleet.jobs[JOB].active[0]
        self.start: dict[str, Any] = {
            "baton": self.machine.newest_start_fencing_token,
            "shift": self.machine.incarnation,
            "orders": [{"verb": "run", "chore": TASK, "try": self.attempt.number}],
        }

    def end_task(self) -> None:
        """The task ends on its machine, and its job is over."""
        self.worker.tasks[TASK].update(status="ended", cause="stopped", until=None)
        self.attempt.job.phase = JobPhase.FINALIZED
        self.attempt.stop_requested_at = self.world.now

    def answer_heartbeat(self) -> list[CommandKind]:
        """Let the worker take the answer to its next heartbeat; the commands in it."""
        heartbeat = parse_heartbeat(self.worker.heartbeat())
        answer = self.term.controller.handle_heartbeat(heartbeat)
        assert answer is not None
        self.worker.handle_response(answer.body(), self.world.now, heartbeat.incarnation)
        return [command.kind for command in answer.commands]


@pytest.fixture
def harness() -> FencingHarness:
    return FencingHarness()


# Guards against a start that is executed a second time because its worker has forgotten the attempt.
def test_a_copy_of_an_answered_start_is_rejected_once_its_exit_is_forgotten(harness: FencingHarness) -> None:
    assert harness.start["baton"] == harness.worker.fencing_token
    harness.end_task()
    assert harness.worker.handle_command(harness.start)[0] == 200
    assert harness.worker.on_machine() == []
    assert harness.answer_heartbeat() == [CommandKind.FORGET]
    assert harness.worker.tasks == {}
    assert harness.worker.handle_command(harness.start)[0] == 409
    assert harness.worker.tasks == {}


def test_an_exit_is_not_forgotten_while_a_request_in_flight_would_be_rejected(
    harness: FencingHarness,
) -> None:
    harness.end_task()
    harness.machine.command_in_flight = True
    assert harness.answer_heartbeat() == []
    # Many exits don't wait: they would fill the worker's heartbeats.
    assert not harness.fencing.may_forget_exits(harness.machine, 100)
    assert harness.fencing.may_forget_exits(harness.machine, 101)
    harness.machine.command_in_flight = False
    assert harness.answer_heartbeat() == [CommandKind.FORGET]


def test_a_request_in_flight_defers_no_exit_if_its_token_already_voids_the_starts(
    harness: FencingHarness,
) -> None:
    harness.fencing.void_sent_starts(harness.machine)
    harness.end_task()
    harness.machine.command_in_flight = True
    assert harness.answer_heartbeat() == [CommandKind.FORGET]


def test_without_a_direct_start_an_exit_is_forgotten_under_the_present_token(harness: FencingHarness) -> None:
    # A start in a response is never executed late.
    harness.machine.newest_start_fencing_token = 0
    fencing_token = harness.fencing.fencing_token(harness.machine)
    harness.end_task()
    assert harness.answer_heartbeat() == [CommandKind.FORGET]
    assert harness.worker.fencing_token == fencing_token


def test_messages_never_carry_a_token_below_one_that_the_worker_has_seen(harness: FencingHarness) -> None:
    harness.worker.fencing_token += 5
    harness.answer_heartbeat()
    assert harness.fencing.fencing_token(harness.machine) == harness.worker.fencing_token
    harness.worker.fencing_token += 5
    heartbeat = parse_heartbeat(harness.worker.heartbeat())
    harness.reconciler._handle_command_response(harness.machine, [], RequestOutcome.OK, heartbeat)
    assert harness.fencing.fencing_token(harness.machine) == harness.worker.fencing_token
    # An old copy of a heartbeat changes nothing.
    harness.fencing.observe_fencing_token(harness.machine, 1)
    assert harness.fencing.fencing_token(harness.machine) == harness.worker.fencing_token


# Guards against a start that was answered and ignored, and executed later while the task runs elsewhere.
def test_an_ignored_start_counts_as_terminated_only_once_a_higher_token_voids_it(
    harness: FencingHarness,
) -> None:
    worker, machine, job = harness.worker, harness.machine, harness.attempt.job
    sent: list[dict[str, Any]] = []
    harness.term.send_commands = lambda *request: sent.append(request[2])  # type: ignore[method-assign]
    worker.tasks[TASK].update(status="ended", cause="stopped", until=None)
    heartbeat = parse_heartbeat(worker.heartbeat())
    answer = harness.term.controller.handle_heartbeat(heartbeat)
    assert answer is not None
    assert [command.kind for command in answer.commands] == [CommandKind.FORGET]
    # The task is started there again, and the request overtakes the answer: the worker still lists the exit.
    harness.world.run(harness.world.now + 0.2)
    (start,) = [request for request in sent if request["orders"]]
    sent.clear()
    status, report = worker.handle_command(start)
    assert (status, worker.on_machine()) == (200, [])
    worker.handle_response(answer.body(), harness.world.now, heartbeat.incarnation)
    assert worker.tasks == {}
    # Now a copy of the start would be executed, so the task may not go on elsewhere yet.
    started = list(machine.attempts.values())
    response = parse_heartbeat(report)
    harness.reconciler._handle_command_response(machine, started, RequestOutcome.OK, response)
    assert job.active == {0: started[0]}
    assert machine.unschedulable_until > harness.world.now
    # A request brings a higher token at once, and its response proves that the start is void.
    harness.reconciler.lifecycle.commands.send_queued()
    assert [request["orders"] for request in sent] == [[]]
    _, report = worker.handle_command(sent[0])
    assert worker.handle_command(start)[0] == 409
    harness.reconciler._handle_command_response(machine, [], RequestOutcome.OK, parse_heartbeat(report))
    assert job.active == {}


EVENTS = ("crash leader for 2", "freeze leader for 3", "deliver_repeats", "crash all for 1")


@pytest.mark.parametrize("fencing_tokens", [1, 4096])
@pytest.mark.parametrize("gap_s", [0.15, 1.2, 4.0])
@pytest.mark.parametrize("events", [*itertools.permutations(EVENTS)], ids="-".join)
def test_repeated_starts_have_no_effect_in_any_order_of_faults(
    events: tuple[str, ...], gap_s: float, fencing_tokens: int
) -> None:
    lines = [
        f"world cancel_s=20 fencing_tokens={fencing_tokens}",
        "machines small a on_demand 1",
        "at 1 repeat_commands 1.0 for 30 on_request",
        "at 2 submit job-000001 shape=array chores=4 guessS=60 rank=best_effort",
        "at 5 machines small b on_demand 1",
        "at 8 submit job-000002 shape=service chores=4 rank=critical paddock=a",
        "at 15 cancel job-000002",
        *(f"at {18 + number * gap_s:.2f} {event}" for number, event in enumerate(events)),
        "at 50 deliver_repeats",
        "at 140 expect status job-000001 done",
        "at 140 expect starts job-000002 1",
    ]
    assert play("\n".join(lines), 1) == []
