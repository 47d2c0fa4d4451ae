"""What proves that an attempt has terminated, and what does not; and direct commands to workers."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import msgspec
import pytest

from poppyhold.durable.keys import ACTIVE_JOB_PREFIX, FENCING_TOKEN_KEY
from poppyhold.execution.direct_commands import DirectCommands
from poppyhold.execution.reconciliation import AttemptReconciler
from poppyhold.model.entities import Attempt, Job, JobPhase, Machine, StartChannel
from poppyhold.model.fencing_tokens import FENCING_TOKENS_PER_RESERVATION
from poppyhold.model.outcome import RequestOutcome
from poppyhold.wire.worker_messages import Command, CommandKind, Heartbeat, TaskState, parse_heartbeat
from test_reconciliation import leading_world

TASK = "job-000001/0"


class ReconciliationHarness:
    """A leader with a running task, and that task's machine, job and attempt."""

    def __init__(self) -> None:
        self.world, self.term = leading_world()
        self.reconciler: AttemptReconciler = self.term.controller.reconciler
        self.ctx = self.term.controller.ctx
        self.machine: Machine = self.ctx.fleet.machines["vm-000001"]
        self.job: Job = self.ctx.fleet.jobs["job-000001"]
        self.attempt: Attempt = self.job.active[0]
        self.sent: list[dict[str, Any]] = []
        self.slow_lane: list[bool] = []
        self.on_responses: list[Any] = []
        self.term.send_commands = self._send_commands  # type: ignore[method-assign]

    def _send_commands(
        self,
        machine: str,
        endpoint: str,
        body: dict[str, Any],
        on_response: Any,
        slow_lane: bool,
        start_grant: Any,
    ) -> None:
        self.sent.append(body)
        self.slow_lane.append(slow_lane)
        self.on_responses.append(on_response)

    def heartbeat(self, **changes: Any) -> Heartbeat:
        """The worker's next heartbeat."""
        return msgspec.structs.replace(
            parse_heartbeat(self.world.workers["vm-000001"].heartbeat()), **changes
        )

    def started(self, **fields: Any) -> Attempt:
        """The task's attempt as it is before a heartbeat shows it."""
        self.attempt.status = TaskState.SENT
        for name, value in fields.items():
            setattr(self.attempt, name, value)
        return self.attempt


@pytest.fixture
def harness() -> ReconciliationHarness:
    return ReconciliationHarness()


# -- heartbeats ----------------------------------------------------------------------------------------


@pytest.mark.parametrize(
    ("incarnation", "sequence", "newer"),
    [(3, 8, True), (3, 7, False), (3, 6, False), (4, 0, True), (2, 99, False)],
)
def test_a_heartbeat_is_newer_by_its_incarnation_and_then_by_its_sequence_number(
    harness: ReconciliationHarness, incarnation: int, sequence: int, newer: bool
) -> None:
    harness.machine.incarnation, harness.machine.sequence = 3, 7
    assert (
        AttemptReconciler._is_newer(
            harness.heartbeat(incarnation=incarnation, sequence=sequence), harness.machine
        )
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
            id="below-the-voiding-fencing-token",
        ),
        pytest.param(
            {"start_channel": StartChannel.DIRECT, "void_at_fencing_token": 7},
            True,
            True,
            id="at-the-voiding-fencing-token",
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
            id="handed-out-with-the-response",
        ),
        pytest.param(
            {"start_channel": StartChannel.HEARTBEAT_RESPONSE, "response_sequence": 5},
            False,
            False,
            id="not-by-a-heartbeat-response",
        ),
        pytest.param(
            {"start_channel": StartChannel.DIRECT}, True, False, id="answered-but-a-copy-may-be-executed"
        ),
    ],
)
def test_when_a_heartbeat_without_an_attempt_proves_that_it_has_terminated(
    harness: ReconciliationHarness, fields: dict[str, Any], answered: bool, proves: bool
) -> None:
    attempt = harness.started(**fields)
    heartbeat = harness.heartbeat(fencing_token=7, sequence=6)
    assert AttemptReconciler._absence_proves_termination(attempt, heartbeat, answered) is proves


@pytest.mark.parametrize("heartbeat_interval_s", [1.0, 2.0])
def test_an_unreconciled_worker_seems_to_miss_responses_only_after_a_while(
    harness: ReconciliationHarness, heartbeat_interval_s: float
) -> None:
    harness.ctx.durations.heartbeat_interval_s = heartbeat_interval_s
    after_s = max(harness.ctx.durations.lease_s / 2, 4 * heartbeat_interval_s)
    assert not harness.reconciler._seems_to_miss_responses(harness.machine, 100.0)
    assert not harness.reconciler._seems_to_miss_responses(harness.machine, 200.0)
    harness.reconciler.lease_expiry.unreconciled.add(harness.machine.name)
    assert not harness.reconciler._seems_to_miss_responses(harness.machine, 300.0)
    assert not harness.reconciler._seems_to_miss_responses(harness.machine, 300.0 + after_s)
    assert harness.reconciler._seems_to_miss_responses(harness.machine, 300.1 + after_s)


# -- responses to commands -----------------------------------------------------------------------------


def test_a_response_of_a_deleted_machine_is_ignored(harness: ReconciliationHarness) -> None:
    heartbeat = harness.heartbeat()
    harness.reconciler.lease_expiry.machine_deleted(harness.machine)
    harness.reconciler._handle_command_response(harness.machine, [], RequestOutcome.OK, heartbeat)
    assert harness.job.active == {}
    assert not harness.machine.attempts


def test_a_response_with_a_higher_fencing_token_ends_the_term_and_is_otherwise_ignored(
    harness: ReconciliationHarness, monkeypatch: pytest.MonkeyPatch
) -> None:
    seen: list[int] = []
    monkeypatch.setattr(harness.term, "leadership_lost", seen.append)
    harness.reconciler._handle_command_response(
        harness.machine,
        [],
        RequestOutcome.OK,
        harness.heartbeat(fencing_token=harness.ctx.highest_fencing_token + 1, tasks=[]),
    )
    assert seen == [harness.ctx.highest_fencing_token + 1]
    assert harness.job.active[0] is harness.attempt


@pytest.mark.parametrize(
    ("outcome", "status", "stays", "voided_by_next_token", "unreliable"),
    [
        pytest.param(RequestOutcome.OK, TaskState.SENT, True, False, False, id="ok"),
        pytest.param(RequestOutcome.REJECTED, TaskState.SENT, False, False, False, id="rejected"),
        pytest.param(RequestOutcome.NOT_SENT, TaskState.SENT, False, False, True, id="not-sent"),
        pytest.param(RequestOutcome.UNKNOWN, TaskState.SENT, True, True, True, id="unknown"),
        pytest.param(
            RequestOutcome.REJECTED, TaskState.RUNNING, True, False, False, id="rejected-and-seen-to-run"
        ),
        pytest.param(
            RequestOutcome.UNKNOWN, TaskState.RUNNING, True, False, True, id="unknown-and-seen-to-run"
        ),
    ],
)
def test_effect_of_the_outcome_of_a_start_on_its_attempt(
    harness: ReconciliationHarness,
    outcome: RequestOutcome,
    status: str,
    stays: bool,
    voided_by_next_token: bool,
    unreliable: bool,
) -> None:
    attempt = harness.started(status=status, start_in_flight=True, void_at_fencing_token=None)
    harness.machine.command_in_flight, harness.machine.connection_unreliable_until = True, 0.0
    harness.reconciler.fencing.record_sent_starts(harness.machine)
    harness.reconciler._handle_command_response(harness.machine, [attempt], outcome, None)
    assert (harness.job.active.get(0) is attempt) is stays
    next_token = harness.machine.newest_start_fencing_token + 1
    assert attempt.void_at_fencing_token == (next_token if voided_by_next_token else None)
    # Without another write the next message to the worker carries it.
    assert (harness.reconciler.fencing.fencing_token(harness.machine) == next_token) is voided_by_next_token
    assert (harness.machine.connection_unreliable_until > harness.world.now) is unreliable
    assert not attempt.start_in_flight
    assert not harness.machine.command_in_flight


def test_an_outcome_applies_only_to_the_attempt_that_was_sent(harness: ReconciliationHarness) -> None:
    before = msgspec.structs.replace(harness.attempt, status=TaskState.SENT)
    harness.reconciler._handle_command_response(harness.machine, [before], RequestOutcome.REJECTED, None)
    assert harness.job.active[0] is harness.attempt
    assert harness.machine.attempts[TASK] is harness.attempt


@pytest.mark.parametrize(
    ("changes", "applied"),
    [
        pytest.param({}, True, id="newer"),
        pytest.param({"machine": "vm-000009"}, False, id="of-another-machine"),
        pytest.param({"fencing_token": 0}, False, id="of-an-earlier-term"),
        pytest.param({"sequence": 0}, False, id="older"),
    ],
)
def test_only_a_newer_heartbeat_of_the_machine_that_was_asked_is_applied(
    harness: ReconciliationHarness, changes: dict[str, Any], applied: bool
) -> None:
    harness.reconciler._handle_command_response(
        harness.machine, [], RequestOutcome.OK, harness.heartbeat(tasks=[], **changes)
    )
    assert (0 not in harness.job.active) is applied


@pytest.mark.parametrize(
    ("is_reconciled", "incarnation", "probes_again"), [(False, 9, True), (True, 9, False), (False, 3, False)]
)
def test_an_unreconciled_worker_of_a_newer_incarnation_is_probed_again(
    harness: ReconciliationHarness, is_reconciled: bool, incarnation: int, probes_again: bool
) -> None:
    harness.machine.reconciled, harness.machine.incarnation, harness.machine.next_probe_at = (
        is_reconciled,
        4,
        1e9,
    )
    harness.reconciler._handle_command_response(
        harness.machine,
        [],
        RequestOutcome.REJECTED,
        harness.heartbeat(fencing_token=0, incarnation=incarnation),
    )
    assert (harness.machine.incarnation, harness.machine.next_probe_at) == (
        (9, 0.0) if probes_again else (4, 1e9)
    )


# -- lease expiry --------------------------------------------------------------------------------------


def expire(
    harness: ReconciliationHarness,
    now: float,
    confirmed_at: float,
    latest_delegated_renewal_at: float = float("-inf"),
) -> bool:
    """Expires leases and returns whether the machine's attempts have ended."""
    harness.term.leadership_confirmed_at = lambda: confirmed_at  # type: ignore[method-assign]
    harness.term.latest_delegated_renewal_at = lambda: latest_delegated_renewal_at  # type: ignore[method-assign]
    harness.reconciler.lease_expiry.expire_leases(harness.machine, now)
    return not harness.machine.attempts


def test_attempts_of_a_silent_worker_end_with_the_last_lease_that_the_leader_or_a_delegate_renewed(
    harness: ReconciliationHarness,
) -> None:
    expired_s = harness.ctx.durations.lease_expired_s
    harness.reconciler.lease_expiry.unreconciled.add(harness.machine.name)
    harness.machine.last_answered_at = 1000.0
    assert not expire(harness, 1000.0 + expired_s, 2000.0)
    # Another leader may have renewed the lease since this leadership was last confirmed.
    assert not expire(harness, 1001.0 + expired_s, 1000.0 + expired_s)
    assert not expire(harness, 1001.0 + expired_s, 2000.0, latest_delegated_renewal_at=1005.0)
    assert harness.reconciler.lease_expiry.unreconciled
    assert expire(harness, 1006.0 + expired_s, 2000.0, latest_delegated_renewal_at=1005.0)
    assert not harness.reconciler.lease_expiry.unreconciled


def test_a_lease_renewed_by_the_leader_counts_without_a_delegated_renewal(
    harness: ReconciliationHarness,
) -> None:
    harness.machine.last_answered_at = 1000.0
    assert not expire(
        harness, 999.0 + harness.ctx.durations.lease_expired_s, 2000.0, latest_delegated_renewal_at=990.0
    )


def test_attempts_of_an_unreconciled_worker_end_once_no_predecessor_can_have_renewed_its_lease(
    harness: ReconciliationHarness,
) -> None:
    durations = harness.ctx.durations
    harness.machine.reconciled = False
    harness.reconciler.lease_expiry.term_began_at = 1000.0
    harness.machine.last_answered_at = 900.0
    predecessors_until = 1000.0 + durations.predecessors_expired_s
    assert not expire(harness, predecessors_until, 9000.0)
    # This leader has renewed the lease too.
    harness.machine.last_answered_at = predecessors_until
    assert not expire(harness, predecessors_until + durations.lease_expired_s, 9000.0)
    assert expire(harness, predecessors_until + durations.lease_expired_s + 0.1, 9000.0)


# -- commands ------------------------------------------------------------------------------------------


def test_a_machine_gets_one_request_at_a_time_with_a_bounded_number_of_commands(
    harness: ReconciliationHarness,
) -> None:
    commands = harness.reconciler.lifecycle.commands
    commands.enqueue(harness.machine, *(Command(CommandKind.STOP, f"job-000009/{n}", 1) for n in range(250)))
    harness.machine.command_in_flight = True
    commands.send_queued()
    assert harness.sent == []
    harness.machine.command_in_flight = False
    commands.send_queued()
    commands.send_queued()
    assert [len(body["orders"]) for body in harness.sent] == [200]
    harness.on_responses[0](RequestOutcome.OK, None)
    commands.send_queued()
    assert [len(body["orders"]) for body in harness.sent] == [200, 50]
    harness.on_responses[1](RequestOutcome.OK, None)
    commands.send_queued()
    assert len(harness.sent) == 2


def test_no_command_is_sent_to_a_deleted_machine(harness: ReconciliationHarness) -> None:
    harness.reconciler.lifecycle.commands.enqueue(harness.machine, Command(CommandKind.STOP, TASK, 1))
    harness.reconciler.lease_expiry.machine_deleted(harness.machine)
    harness.reconciler.lifecycle.commands.send_queued()
    assert harness.sent == []


def test_a_queued_start_of_a_stopped_attempt_is_discarded(harness: ReconciliationHarness) -> None:
    harness.started(stop_requested_at=harness.world.now)
    harness.reconciler.lifecycle.commands.enqueue(
        harness.machine, Command(CommandKind.START, TASK, harness.attempt.number)
    )
    harness.reconciler.lifecycle.commands.send_queued()
    assert [body["orders"] for body in harness.sent] == [[]]
    assert harness.job.active == {}


@pytest.mark.parametrize(
    ("field", "value"),
    [("command_in_flight", True), ("next_probe_at", 1e9), ("endpoint", ""), ("deleting", True)],
)
def test_a_worker_that_cannot_be_probed_now_is_not_probed(
    harness: ReconciliationHarness, field: str, value: Any
) -> None:
    harness.machine.next_probe_at = 0.0
    usual = getattr(harness.machine, field)
    setattr(harness.machine, field, value)
    harness.reconciler.lifecycle.commands._probe(harness.machine, harness.world.now)
    harness.reconciler.lifecycle.commands.probe_silent_worker(harness.machine, harness.world.now)
    assert harness.sent == []
    setattr(harness.machine, field, usual)
    harness.reconciler.lifecycle.commands._probe(harness.machine, harness.world.now)
    assert len(harness.sent) == 1
    assert harness.machine.next_probe_at == harness.world.now + harness.ctx.durations.heartbeat_interval_s


def test_a_worker_that_cannot_be_probed_uses_no_probe_credit(harness: ReconciliationHarness) -> None:
    harness.ctx.silent_probes_per_interval = 1.0  # type: ignore[misc]
    commands = DirectCommands(
        harness.ctx, harness.reconciler.fencing, lambda attempt: None, lambda *answered: None
    )
    for field, value in (("next_probe_at", 1e9), ("command_in_flight", True)):
        harness.machine.command_in_flight, harness.machine.next_probe_at = False, 0.0
        setattr(harness.machine, field, value)
        commands.probe_silent_worker(harness.machine, harness.world.now)
    harness.machine.command_in_flight, harness.machine.next_probe_at = False, 0.0
    commands.probe_silent_worker(harness.machine, harness.world.now)
    assert len(harness.sent) == 1
    # Probe credit does not accumulate over a long time without probes.
    for later in (1000.0, 1000.001):
        harness.machine.command_in_flight, harness.machine.next_probe_at = False, 0.0
        commands.probe_silent_worker(harness.machine, harness.world.now + later)
    assert len(harness.sent) == 2


def test_in_a_very_large_fleet_no_heartbeats_are_requested_at_first(harness: ReconciliationHarness) -> None:
    harness.ctx.max_initial_probes = 0.0  # type: ignore[misc]
    commands = DirectCommands(
        harness.ctx, harness.reconciler.fencing, lambda attempt: None, lambda *answered: None
    )
    harness.machine.next_probe_at = 0.0
    commands.request_heartbeat(
        harness.machine, harness.world.now + 1.4 * harness.ctx.durations.heartbeat_interval_s
    )
    assert harness.sent == []
    commands.request_heartbeat(
        harness.machine, harness.world.now + 1.6 * harness.ctx.durations.heartbeat_interval_s
    )
    assert len(harness.sent) == 1


@pytest.mark.parametrize(
    ("is_reconciled", "silent_s", "incarnation", "slow_lane", "sent_incarnation"),
    [(True, 100.0, 4, True, 4), (True, 0.0, 4, False, 4), (False, 100.0, 0, False, 1)],
    ids=["silent", "recent-heartbeat", "unreconciled"],
)
def test_silent_workers_use_the_slow_lane_and_unreconciled_ones_are_asked_for_their_incarnation(
    harness: ReconciliationHarness,
    is_reconciled: bool,
    silent_s: float,
    incarnation: int,
    slow_lane: bool,
    sent_incarnation: int,
) -> None:
    harness.machine.reconciled, harness.machine.incarnation, harness.machine.next_probe_at = (
        is_reconciled,
        incarnation,
        0.0,
    )
    harness.machine.last_heartbeat_at = harness.world.now - silent_s
    harness.reconciler.lifecycle.commands._probe(harness.machine, harness.world.now)
    assert harness.slow_lane == [slow_lane]
    assert harness.sent[0]["shift"] == sent_incarnation


def test_fencing_tokens_are_reserved_once_for_starts_that_no_reserved_one_voids(
    harness: ReconciliationHarness,
) -> None:
    commits: list[Any] = []
    reserved: list[int] = []
    highest_fencing_token = harness.ctx.highest_fencing_token
    fencing, machine = harness.reconciler.fencing, harness.machine

    def commit(conditions: Any, writes: Any, on_committed: Any, priority: Any) -> None:
        assert [write.key for write in writes] == [FENCING_TOKEN_KEY]
        commits.append(on_committed)

    harness.ctx.outbound = SimpleNamespace(commit=commit, fencing_tokens_reserved=reserved.append)  # type: ignore[misc]
    fencing.reserve_fencing_tokens()
    machine.newest_start_fencing_token = highest_fencing_token - 1
    assert fencing.void_sent_starts(machine) == fencing.fencing_token(machine) == highest_fencing_token
    fencing.reserve_fencing_tokens()
    assert commits == []
    machine.newest_start_fencing_token = highest_fencing_token
    assert fencing.void_sent_starts(machine) == highest_fencing_token + 1
    fencing.reserve_fencing_tokens()
    fencing.reserve_fencing_tokens()
    assert len(commits) == 1
    # The commit failed: the reserved tokens are unchanged, and the next call may retry.
    commits.pop()(False)
    assert (harness.ctx.highest_fencing_token, reserved) == (highest_fencing_token, [])
    assert (fencing.fencing_token(machine), fencing.may_forget_exits(machine, 1)) == (
        highest_fencing_token,
        False,
    )
    fencing.reserve_fencing_tokens()
    commits.pop()(True)
    assert (
        reserved
        == [harness.ctx.highest_fencing_token]
        == [highest_fencing_token + FENCING_TOKENS_PER_RESERVATION]
    )
    assert (fencing.fencing_token(machine), fencing.may_forget_exits(machine, 1)) == (
        highest_fencing_token + 1,
        True,
    )
    fencing.reserve_fencing_tokens()
    assert commits == []


@pytest.mark.parametrize(
    ("phase", "raised", "renewed"),
    [
        pytest.param(JobPhase.FINALIZED, False, False, id="late-start-of-a-cancelled-job"),
        pytest.param(JobPhase.FINALIZED, True, True, id="response-carries-the-voiding-fencing-token"),
        pytest.param(JobPhase.ACTIVE, False, True, id="job-is-active"),
    ],
)
def test_a_lease_ends_before_a_late_start_of_a_cancelled_job_that_no_fencing_token_voids(
    harness: ReconciliationHarness, phase: JobPhase, raised: bool, renewed: bool
) -> None:
    harness.machine.newest_start_fencing_token = harness.ctx.highest_fencing_token
    void_at = harness.reconciler.fencing.void_sent_starts(harness.machine)
    harness.started(start_channel=StartChannel.DIRECT, void_at_fencing_token=void_at)
    harness.job.phase, harness.job.renewals_allowed_until = phase, harness.world.now - 1.0
    harness.attempt.stop_requested_at = harness.world.now - 1.0
    harness.world.workers["vm-000001"].tasks.clear()
    if raised:
        harness.ctx.highest_fencing_token = void_at
    answered_at = harness.machine.last_answered_at
    response = harness.reconciler.handle_heartbeat(harness.heartbeat())
    assert (response is not None, harness.machine.last_answered_at > answered_at) == (renewed, renewed)


def test_a_cancelled_job_keeps_the_renewal_bound_from_before_its_cancellation(
    harness: ReconciliationHarness,
) -> None:
    bound = harness.term.renewals_allowed_until()
    harness.term.controller.handle_job_removed(ACTIVE_JOB_PREFIX + harness.job.id)
    assert harness.job.renewals_allowed_until == bound
