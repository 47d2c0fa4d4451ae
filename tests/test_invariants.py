"""Each assertion of an invariant fires, is logged and counted, and refuses the action."""

from __future__ import annotations

from pathlib import Path

import pytest

from poppyhold.cluster.cancellations import Cancellations
from poppyhold.durable.errors import OutcomeUnknownError
from poppyhold.durable.store import Store
from poppyhold.execution.start_fencing import StartFencing
from poppyhold.model.entities import Attempt, JobPhase
from poppyhold.model.invariants import VIOLATION_PREFIX, Invariant, violations
from poppyhold.model.job_status import FinalState, JobStatus
from poppyhold.model.outcome import RequestOutcome
from poppyhold.node.command_dispatcher import CommandDispatcher, WorkerRequest
from poppyhold.node.job_states import JobStates
from poppyhold.scale.controller_logs import violated_invariants
from poppyhold.wire.worker_messages import Command, CommandKind, Heartbeat, TaskState, parse_heartbeat
from sim_leader_term import SimLeaderTerm
from test_reconciliation import leading_world
from world import World

pytestmark = pytest.mark.violates_invariant

JOB, TASK, MACHINE = "job-000001", "job-000001/0", "vm-000001"


@pytest.fixture
def leading() -> tuple[World, SimLeaderTerm]:
    """A leader with one running task."""
    return leading_world()


def attempt_of_finalized_job(term: SimLeaderTerm) -> Attempt:
    """The task's attempt, whose job is finalized in a way that no code does: without a stop."""
    job = term.controller.ctx.fleet.jobs[JOB]
    job.phase = JobPhase.FINALIZED
    return job.active[0]


def assert_violated(lines: list[str], invariant: Invariant, subject: str) -> None:
    """One violation was logged, and it names the invariant and its subject."""
    assert [
        line.startswith(f"{VIOLATION_PREFIX} rule={invariant.value!r} subject={subject}") for line in lines
    ] == [True]


def test_no_lease_is_renewed_without_the_stop_of_a_finalized_job(
    leading: tuple[World, SimLeaderTerm], invariant_violations: list[str]
) -> None:
    world, term = leading
    attempt_of_finalized_job(term)
    heartbeat = parse_heartbeat(world.workers[MACHINE].heartbeat())
    assert term.controller.handle_heartbeat(heartbeat) is None
    assert_violated(invariant_violations, Invariant.RENEWAL_STOPS_FINALIZED_JOB, TASK)


def test_no_queued_start_of_a_finalized_job_is_sent(
    leading: tuple[World, SimLeaderTerm], invariant_violations: list[str]
) -> None:
    _, term = leading
    attempt = attempt_of_finalized_job(term)
    attempt.status = TaskState.SENT
    sent: list[object] = []
    term.send_commands = lambda *request: sent.append(request[2]["orders"])  # type: ignore[method-assign]
    commands = term.controller.reconciler.lifecycle.commands
    commands.enqueue(attempt.machine, Command(CommandKind.START, attempt.name, attempt.number))
    commands.send_queued()
    assert sent == [[]]
    assert_violated(invariant_violations, Invariant.NO_START_OF_FINALIZED_JOB, TASK)


def test_no_response_lets_a_worker_forget_an_exit_under_the_fencing_token_of_its_start(
    leading: tuple[World, SimLeaderTerm], invariant_violations: list[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    world, term = leading
    world.workers[MACHINE].tasks[TASK].update(status="ended", cause="stopped", until=None)
    monkeypatch.setattr(StartFencing, "may_forget_exits", lambda *_: True)
    answer = term.controller.handle_heartbeat(parse_heartbeat(world.workers[MACHINE].heartbeat()))
    assert answer is not None
    assert answer.commands == []
    assert_violated(invariant_violations, Invariant.FORGETTING_VOIDS_STARTS, MACHINE)


def test_no_start_leaves_without_a_grant(invariant_violations: list[str]) -> None:
    dispatcher = CommandDispatcher(World(1, 10.0, 30.0, []).settings, 1.0)
    outcomes: list[RequestOutcome] = []

    def on_response(outcome: RequestOutcome, heartbeat: Heartbeat | None) -> None:
        outcomes.append(outcome)

    body = {"baton": 1, "shift": 1, "orders": [{"verb": "run", "chore": TASK, "try": 1}]}
    before = violations.total
    dispatcher._send(WorkerRequest("127.0.0.1:9", body, on_response))
    dispatcher.stop()
    assert (outcomes, violations.total - before) == ([RequestOutcome.NOT_SENT], 1)
    assert_violated(invariant_violations, Invariant.START_NEEDS_GRANT, "127.0.0.1:9")


def test_no_final_state_is_answered_without_its_record(invariant_violations: list[str]) -> None:
    cancellations = Cancellations(10)
    states = JobStates(Store.__new__(Store), cancellations, lambda job_id: None, 100)
    with pytest.raises(OutcomeUnknownError):
        states.record_final(JOB, FinalState(JobStatus.CANCELLED, 1), 0)
    assert (states.final_states.get(JOB), cancellations.summarize(1).listed) == (None, [])
    assert_violated(invariant_violations, Invariant.FINAL_ANSWER_IS_DURABLE, JOB)


def test_a_scale_run_finds_the_lines_of_violated_invariants(tmp_path: Path) -> None:
    line = f"E poppyhold.model.invariants: {VIOLATION_PREFIX} rule='start needs grant' subject=x grant=none"
    (tmp_path / "hive-0.log").write_text("I poppyhold: elected\n", encoding="utf-8")
    (tmp_path / "hive-1.log").write_text(f"I poppyhold: elected\n{line}\n", encoding="utf-8")
    assert violated_invariants(tmp_path) == [f"hive-1: {line}"]
