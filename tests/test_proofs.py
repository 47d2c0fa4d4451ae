"""What proves that an attempt is over, and what does not; and commands that go straight to workers."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import msgspec
import pytest

from poppyhold.durable.keys import FENCING_TOKEN_KEY
from poppyhold.execution.direct_commands import DirectCommands
from poppyhold.execution.reconciliation import AttemptReconciler
from poppyhold.model.entities import Attempt, Job, Machine, StartChannel
from poppyhold.model.outcome import RequestOutcome
from poppyhold.wire.worker_messages import Command, CommandKind, Heartbeat, TaskState, parse_heartbeat
from test_reconciliation import leading_world

TASK = "job-000001/0"


class Held:
    """A leader with a running task, and what its parts hold of it."""

    def __init__(self) -> None:
        self.world, self.term = leading_world()
        self.reconciler: AttemptReconciler = self.term.controller.reconciler
        self.ctx = self.term.controller.ctx
        self.machine: Machine = self.ctx.fleet.machines["vm-000001"]
        self.job: Job = self.ctx.fleet.jobs["job-000001"]
        self.attempt: Attempt = self.job.active[0]
        self.sent: list[dict[str, Any]] = []
        self.patient: list[bool] = []
        self.done: list[Any] = []
        self.term.send_commands = self._send_commands  # type: ignore[method-assign]

    def _send_commands(self, box: str, endpoint: str, body: dict[str, Any], done: Any, patient: bool) -> None:
        self.sent.append(body)
        self.patient.append(patient)
        self.done.append(done)

    def heartbeat(self, **changes: Any) -> Heartbeat:
        """The worker's next report."""
        return msgspec.structs.replace(
            parse_heartbeat(self.world.workers["vm-000001"].heartbeat()), **changes
        )

    def started(self, **fields: Any) -> Attempt:
        """The task's attempt as it is before it is seen on its machine."""
        self.attempt.status = TaskState.SENT
        for name, value in fields.items():
            setattr(self.attempt, name, value)
        return self.attempt


@pytest.fixture
def held() -> Held:
    return Held()


# -- reports -------------------------------------------------------------------------------------------


@pytest.mark.parametrize(
    ("incarnation", "sequence", "newer"),
    [(3, 8, True), (3, 7, False), (3, 6, False), (4, 0, True), (2, 99, False)],
)
def test_a_heartbeat_is_newer_by_its_incarnation_and_then_by_its_sequence_number(
    held: Held, incarnation: int, sequence: int, newer: bool
) -> None:
    held.machine.incarnation, held.machine.sequence = 3, 7
    assert (
        AttemptReconciler._is_newer(held.heartbeat(incarnation=incarnation, sequence=sequence), held.machine)
        is newer
    )


@pytest.mark.parametrize(
    ("fields", "answered", "proves"),
    [
        pytest.param({"status": TaskState.RUNNING, "start_in_flight": True}, True, True, id="was-there"),
        pytest.param(
            {"start_channel": StartChannel.DIRECT, "start_in_flight": True}, True, False, id="may-still-land"
        ),
        pytest.param(
            {"start_channel": StartChannel.DIRECT, "void_at_fencing_token": 8},
            True,
            False,
            id="below-the-fence",
        ),
        pytest.param(
            {"start_channel": StartChannel.DIRECT, "void_at_fencing_token": 7}, True, True, id="at-the-fence"
        ),
        pytest.param(
            {"start_channel": StartChannel.HEARTBEAT_RESPONSE, "response_sequence": -1},
            True,
            False,
            id="not-handed-out",
        ),
        pytest.param(
            {"start_channel": StartChannel.HEARTBEAT_RESPONSE, "response_sequence": 5},
            True,
            True,
            id="handed-out-before",
        ),
        pytest.param(
            {"start_channel": StartChannel.HEARTBEAT_RESPONSE, "response_sequence": 6},
            True,
            False,
            id="handed-out-with-the-answer",
        ),
        pytest.param(
            {"start_channel": StartChannel.HEARTBEAT_RESPONSE, "response_sequence": 5},
            False,
            False,
            id="not-the-answer-s-way",
        ),
        pytest.param({"start_channel": StartChannel.DIRECT}, True, True, id="it-had-the-command"),
    ],
)
def test_when_a_report_without_an_attempt_proves_that_it_is_over(
    held: Held, fields: dict[str, Any], answered: bool, proves: bool
) -> None:
    attempt = held.started(**fields)
    heartbeat = held.heartbeat(fencing_token=7, sequence=6)
    assert AttemptReconciler._absence_proves_termination(attempt, heartbeat, answered) is proves


@pytest.mark.parametrize("heartbeat_interval_s", [1.0, 2.0])
def test_a_worker_that_seems_not_to_hear_us_is_ignored_after_a_while(
    held: Held, heartbeat_interval_s: float
) -> None:
    held.ctx.durations.heartbeat_interval_s = heartbeat_interval_s
    after_s = max(held.ctx.durations.lease_s / 2, 4 * heartbeat_interval_s)
    assert not held.reconciler._ignores_responses(held.machine, 100.0)
    assert not held.reconciler._ignores_responses(held.machine, 200.0)
    held.reconciler.unreconciled.add(held.machine.name)
    assert not held.reconciler._ignores_responses(held.machine, 300.0)
    assert not held.reconciler._ignores_responses(held.machine, 300.0 + after_s)
    assert held.reconciler._ignores_responses(held.machine, 300.1 + after_s)


# -- answers to commands -------------------------------------------------------------------------------


def test_an_answer_of_a_machine_that_is_gone_shows_nothing(held: Held) -> None:
    heartbeat = held.heartbeat()
    held.reconciler.machine_deleted(held.machine)
    held.reconciler._handle_command_response(held.machine, [], RequestOutcome.OK, heartbeat)
    assert held.job.active == {}
    assert not held.machine.attempts


def test_an_answer_with_a_higher_token_ends_the_term_and_shows_nothing_else(
    held: Held, monkeypatch: pytest.MonkeyPatch
) -> None:
    seen: list[int] = []
    monkeypatch.setattr(held.term, "leadership_lost", seen.append)
    held.reconciler._handle_command_response(
        held.machine,
        [],
        RequestOutcome.OK,
        held.heartbeat(fencing_token=held.ctx.fencing_token + 1, tasks=[]),
    )
    assert seen == [held.ctx.fencing_token + 1]
    assert held.job.active[0] is held.attempt


@pytest.mark.parametrize(
    ("outcome", "status", "stays", "fence", "unreliable"),
    [
        pytest.param(RequestOutcome.OK, TaskState.SENT, True, False, False, id="ok"),
        pytest.param(RequestOutcome.REJECTED, TaskState.SENT, False, False, False, id="refused"),
        pytest.param(RequestOutcome.NOT_SENT, TaskState.SENT, False, False, True, id="unsent"),
        pytest.param(RequestOutcome.UNKNOWN, TaskState.SENT, True, True, True, id="unsure"),
        pytest.param(
            RequestOutcome.REJECTED, TaskState.RUNNING, True, False, False, id="refused-and-seen-to-run"
        ),
        pytest.param(
            RequestOutcome.UNKNOWN, TaskState.RUNNING, True, False, True, id="unsure-and-seen-to-run"
        ),
    ],
)
def test_what_the_outcome_of_a_start_says_of_its_attempt(
    held: Held, outcome: RequestOutcome, status: str, stays: bool, fence: bool, unreliable: bool
) -> None:
    attempt = held.started(status=status, start_in_flight=True, void_at_fencing_token=None)
    held.machine.command_in_flight, held.machine.unreliable_until = True, 0.0
    held.reconciler._handle_command_response(held.machine, [attempt], outcome, None)
    assert (held.job.active.get(0) is attempt) is stays
    assert attempt.void_at_fencing_token == (held.ctx.fencing_token + 1 if fence else None)
    assert (held.machine.unreliable_until > held.world.now) is unreliable
    assert not attempt.start_in_flight and not held.machine.command_in_flight


def test_an_outcome_is_that_of_the_attempt_that_was_sent(held: Held) -> None:
    before = msgspec.structs.replace(held.attempt, status=TaskState.SENT)
    held.reconciler._handle_command_response(held.machine, [before], RequestOutcome.REJECTED, None)
    assert held.job.active[0] is held.attempt
    assert held.machine.attempts[TASK] is held.attempt


@pytest.mark.parametrize(
    ("changes", "taken"),
    [
        pytest.param({}, True, id="newer"),
        pytest.param({"machine": "vm-000009"}, False, id="of-another-machine"),
        pytest.param({"fencing_token": 0}, False, id="of-an-earlier-term"),
        pytest.param({"sequence": 0}, False, id="older"),
    ],
)
def test_only_a_newer_report_of_the_machine_that_was_asked_is_taken(
    held: Held, changes: dict[str, Any], taken: bool
) -> None:
    held.reconciler._handle_command_response(
        held.machine, [], RequestOutcome.OK, held.heartbeat(tasks=[], **changes)
    )
    assert (0 not in held.job.active) is taken


@pytest.mark.parametrize(
    ("is_reconciled", "incarnation", "asks_again"), [(False, 9, True), (True, 9, False), (False, 3, False)]
)
def test_a_worker_of_another_session_that_was_never_heard_is_asked_again(
    held: Held, is_reconciled: bool, incarnation: int, asks_again: bool
) -> None:
    held.machine.reconciled, held.machine.incarnation, held.machine.next_probe_at = is_reconciled, 4, 1e9
    held.reconciler._handle_command_response(
        held.machine, [], RequestOutcome.REJECTED, held.heartbeat(fencing_token=0, incarnation=incarnation)
    )
    assert (held.machine.incarnation, held.machine.next_probe_at) == ((9, 0.0) if asks_again else (4, 1e9))


# -- proofs by time ------------------------------------------------------------------------------------


def expire(
    held: Held, now: float, confirmed_at: float, delegated_leases_expire_at: float = float("-inf")
) -> bool:
    """Whether the machine's attempts are ended."""
    held.term.leadership_confirmed_at = lambda: confirmed_at  # type: ignore[method-assign]
    held.term.delegated_leases_expire_at = lambda: delegated_leases_expire_at  # type: ignore[method-assign]
    held.reconciler.expire_leases(held.machine, now)
    return not held.machine.attempts


def test_attempts_of_a_silent_worker_end_with_the_last_lease_that_we_or_a_proxy_gave(held: Held) -> None:
    over_s = held.ctx.durations.lease_expired_s
    held.reconciler.unreconciled.add(held.machine.name)
    held.machine.last_response_at = 1000.0
    assert not expire(held, 1000.0 + over_s, 2000.0)
    # Somebody else may have led since we were confirmed last.
    assert not expire(held, 1001.0 + over_s, 1000.0 + over_s)
    assert not expire(held, 1001.0 + over_s, 2000.0, delegated_leases_expire_at=1005.0)
    assert held.reconciler.unreconciled
    assert expire(held, 1006.0 + over_s, 2000.0, delegated_leases_expire_at=1005.0)
    assert not held.reconciler.unreconciled


def test_a_lease_of_ours_counts_though_no_proxy_gave_one(held: Held) -> None:
    held.machine.last_response_at = 1000.0
    assert not expire(
        held, 999.0 + held.ctx.durations.lease_expired_s, 2000.0, delegated_leases_expire_at=990.0
    )


def test_attempts_of_an_unheard_worker_end_once_nobody_before_us_can_have_answered_it(held: Held) -> None:
    durations = held.ctx.durations
    held.machine.reconciled = False
    held.reconciler.began_at = 1000.0
    held.machine.last_response_at = 900.0
    others_until = 1000.0 + durations.predecessors_expired_s
    assert not expire(held, others_until, 9000.0)
    # We have answered it as well.
    held.machine.last_response_at = others_until
    assert not expire(held, others_until + durations.lease_expired_s, 9000.0)
    assert expire(held, others_until + durations.lease_expired_s + 0.1, 9000.0)


# -- commands ------------------------------------------------------------------------------------------


def test_one_request_at_a_time_goes_to_a_machine_with_so_many_commands(held: Held) -> None:
    commands = held.reconciler.commands
    commands.enqueue(held.machine, *(Command(CommandKind.STOP, f"job-000009/{n}", 1) for n in range(250)))
    held.machine.command_in_flight = True
    commands.send_queued()
    assert held.sent == []
    held.machine.command_in_flight = False
    commands.send_queued()
    commands.send_queued()
    assert [len(body["orders"]) for body in held.sent] == [200]
    held.done[0](RequestOutcome.OK, None)
    commands.send_queued()
    assert [len(body["orders"]) for body in held.sent] == [200, 50]
    held.done[1](RequestOutcome.OK, None)
    commands.send_queued()
    assert len(held.sent) == 2


def test_nothing_is_said_to_a_machine_that_is_gone(held: Held) -> None:
    held.reconciler.commands.enqueue(held.machine, Command(CommandKind.STOP, TASK, 1))
    held.reconciler.machine_deleted(held.machine)
    held.reconciler.commands.send_queued()
    assert held.sent == []


def test_a_queued_start_that_is_to_be_stopped_is_over(held: Held) -> None:
    held.started(stopping_at=held.world.now)
    held.reconciler.commands.enqueue(held.machine, Command(CommandKind.START, TASK, held.attempt.number))
    held.reconciler.commands.send_queued()
    assert [body["orders"] for body in held.sent] == [[]]
    assert held.job.active == {}


@pytest.mark.parametrize(
    ("field", "value"),
    [("command_in_flight", True), ("next_probe_at", 1e9), ("endpoint", ""), ("deleting", True)],
)
def test_a_worker_that_cannot_be_asked_now_is_not(held: Held, field: str, value: Any) -> None:
    held.machine.next_probe_at = 0.0
    usual = getattr(held.machine, field)
    setattr(held.machine, field, value)
    held.reconciler.commands._probe(held.machine, held.world.now)
    held.reconciler.commands.probe_silent_worker(held.machine, held.world.now)
    assert held.sent == []
    setattr(held.machine, field, usual)
    held.reconciler.commands._probe(held.machine, held.world.now)
    assert len(held.sent) == 1
    assert held.machine.next_probe_at == held.world.now + held.ctx.durations.heartbeat_interval_s


def test_a_worker_that_cannot_be_asked_takes_nothing_of_the_pace(held: Held) -> None:
    held.ctx.silent_probe_rate = 1.0
    commands = DirectCommands(held.ctx, lambda attempt: None, lambda *answered: None)
    for field, value in (("next_probe_at", 1e9), ("command_in_flight", True)):
        held.machine.command_in_flight, held.machine.next_probe_at = False, 0.0
        setattr(held.machine, field, value)
        commands.probe_silent_worker(held.machine, held.world.now)
    held.machine.command_in_flight, held.machine.next_probe_at = False, 0.0
    commands.probe_silent_worker(held.machine, held.world.now)
    assert len(held.sent) == 1
    # A long time without any of them does not add up.
    for later in (1000.0, 1000.001):
        held.machine.command_in_flight, held.machine.next_probe_at = False, 0.0
        commands.probe_silent_worker(held.machine, held.world.now + later)
    assert len(held.sent) == 2


def test_in_a_very_large_fleet_workers_report_by_themselves_at_first(held: Held) -> None:
    held.ctx.max_initial_probes = 0.0
    commands = DirectCommands(held.ctx, lambda attempt: None, lambda *answered: None)
    held.machine.next_probe_at = 0.0
    commands.request_heartbeat(held.machine, held.world.now + 1.4 * held.ctx.durations.heartbeat_interval_s)
    assert held.sent == []
    commands.request_heartbeat(held.machine, held.world.now + 1.6 * held.ctx.durations.heartbeat_interval_s)
    assert len(held.sent) == 1


@pytest.mark.parametrize(
    ("is_reconciled", "silent_s", "incarnation", "patient", "sent_incarnation"),
    [(True, 100.0, 4, True, 4), (True, 0.0, 4, False, 4), (False, 100.0, 0, False, 1)],
    ids=["silent", "heard-lately", "never-heard"],
)
def test_a_silent_worker_holds_up_no_other_and_one_never_heard_is_asked_for_its_session(
    held: Held, is_reconciled: bool, silent_s: float, incarnation: int, patient: bool, sent_incarnation: int
) -> None:
    held.machine.reconciled, held.machine.incarnation, held.machine.next_probe_at = (
        is_reconciled,
        incarnation,
        0.0,
    )
    held.machine.last_heartbeat_at = held.world.now - silent_s
    held.reconciler.commands._probe(held.machine, held.world.now)
    assert held.patient == [patient]
    assert held.sent[0]["shift"] == sent_incarnation


def test_the_token_is_raised_once_for_a_start_in_limbo(held: Held) -> None:
    commits: list[Any] = []
    raised: list[int] = []
    token = held.ctx.fencing_token

    def commit(conditions: Any, writes: Any, done: Any, priority: Any) -> None:
        assert [write.key for write in writes] == [FENCING_TOKEN_KEY]
        commits.append(done)

    held.ctx.outbound = SimpleNamespace(commit=commit, fencing_token_raised=raised.append)
    commands = held.reconciler.commands
    held.started(void_at_fencing_token=None)
    commands.raise_fencing_token()
    held.started(void_at_fencing_token=token)
    commands.raise_fencing_token()
    assert commits == []
    held.started(void_at_fencing_token=token + 1)
    commands.raise_fencing_token()
    commands.raise_fencing_token()
    assert len(commits) == 1
    # It failed: the token is what it was, and the next try may begin.
    commits.pop()(False)
    assert (held.ctx.fencing_token, raised) == (token, [])
    commands.raise_fencing_token()
    commits.pop()(True)
    assert (held.ctx.fencing_token, raised) == (token + 1, [token + 1])
    commands.raise_fencing_token()
    assert commits == []
