"""What proves that an attempt is over, and what does not; and commands that go straight to workers."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import msgspec
import pytest

from poppyhold.durable.store import TOKEN
from poppyhold.execution.attempts import Attempts
from poppyhold.execution.direct_commands import DirectCommands
from poppyhold.model.context import OK, REFUSED, UNSENT, UNSURE
from poppyhold.model.fleet import Attempt, Job, Machine
from poppyhold.wire.messages import Command, CommandKind, Report, TaskState, parse_report
from test_attempts import leading_world

TASK = "job-000001/0"


class Held:
    """A leader with a running task, and what its parts hold of it."""

    def __init__(self) -> None:
        self.world, self.term = leading_world()
        self.attempts: Attempts = self.term.controller.attempts
        self.ctx = self.term.controller.ctx
        self.machine: Machine = self.ctx.fleet.machines["vm-000001"]
        self.job: Job = self.ctx.fleet.jobs["job-000001"]
        self.attempt: Attempt = self.job.active[0]
        self.sent: list[dict[str, Any]] = []
        self.patient: list[bool] = []
        self.done: list[Any] = []
        self.term.do = self._do  # type: ignore[method-assign]

    def _do(self, box: str, endpoint: str, body: dict[str, Any], done: Any, patient: bool) -> None:
        self.sent.append(body)
        self.patient.append(patient)
        self.done.append(done)

    def report(self, **changes: Any) -> Report:
        """The worker's next report."""
        return msgspec.structs.replace(parse_report(self.world.workers["vm-000001"].report()), **changes)

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
    ("session", "sequence", "newer"),
    [(3, 8, True), (3, 7, False), (3, 6, False), (4, 0, True), (2, 99, False)],
)
def test_a_report_is_newer_by_its_session_and_then_by_its_number(
    held: Held, session: int, sequence: int, newer: bool
) -> None:
    held.machine.session, held.machine.sequence = 3, 7
    assert Attempts._is_newer(held.report(session=session, sequence=sequence), held.machine) is newer


@pytest.mark.parametrize(
    ("fields", "answered", "proves"),
    [
        pytest.param({"status": TaskState.RUNNING, "in_flight": True}, True, True, id="was-there"),
        pytest.param({"via": "do", "in_flight": True}, True, False, id="may-still-land"),
        pytest.param({"via": "do", "fence": 8}, True, False, id="below-the-fence"),
        pytest.param({"via": "do", "fence": 7}, True, True, id="at-the-fence"),
        pytest.param({"via": "reply", "reply_sequence": -1}, True, False, id="not-handed-out"),
        pytest.param({"via": "reply", "reply_sequence": 5}, True, True, id="handed-out-before"),
        pytest.param({"via": "reply", "reply_sequence": 6}, True, False, id="handed-out-with-the-answer"),
        pytest.param({"via": "reply", "reply_sequence": 5}, False, False, id="not-the-answer-s-way"),
        pytest.param({"via": "do"}, True, True, id="it-had-the-command"),
    ],
)
def test_when_a_report_without_an_attempt_proves_that_it_is_over(
    held: Held, fields: dict[str, Any], answered: bool, proves: bool
) -> None:
    attempt = held.started(**fields)
    report = held.report(token=7, sequence=6)
    assert Attempts._absence_proves(attempt, report, answered) is proves


@pytest.mark.parametrize("report_s", [1.0, 2.0])
def test_a_worker_that_seems_not_to_hear_us_is_ignored_after_a_while(held: Held, report_s: float) -> None:
    held.ctx.times.report_s = report_s
    after_s = max(held.ctx.times.lease_s / 2, 4 * report_s)
    assert not held.attempts._ignores_answers(held.machine, 100.0)
    assert not held.attempts._ignores_answers(held.machine, 200.0)
    held.attempts.unheard.add(held.machine.name)
    assert not held.attempts._ignores_answers(held.machine, 300.0)
    assert not held.attempts._ignores_answers(held.machine, 300.0 + after_s)
    assert held.attempts._ignores_answers(held.machine, 300.1 + after_s)


# -- answers to commands -------------------------------------------------------------------------------


def test_an_answer_of_a_machine_that_is_gone_shows_nothing(held: Held) -> None:
    report = held.report()
    held.attempts.gone(held.machine)
    held.attempts._answered(held.machine, [], OK, report)
    assert held.job.active == {}
    assert not held.machine.attempts


def test_an_answer_with_a_higher_token_ends_the_term_and_shows_nothing_else(
    held: Held, monkeypatch: pytest.MonkeyPatch
) -> None:
    seen: list[int] = []
    monkeypatch.setattr(held.term, "deposed", seen.append)
    held.attempts._answered(held.machine, [], OK, held.report(token=held.ctx.token + 1, tasks=[]))
    assert seen == [held.ctx.token + 1]
    assert held.job.active[0] is held.attempt


@pytest.mark.parametrize(
    ("outcome", "status", "stays", "fence", "unreliable"),
    [
        pytest.param(OK, TaskState.SENT, True, False, False, id="ok"),
        pytest.param(REFUSED, TaskState.SENT, False, False, False, id="refused"),
        pytest.param(UNSENT, TaskState.SENT, False, False, True, id="unsent"),
        pytest.param(UNSURE, TaskState.SENT, True, True, True, id="unsure"),
        pytest.param(REFUSED, TaskState.RUNNING, True, False, False, id="refused-and-seen-to-run"),
        pytest.param(UNSURE, TaskState.RUNNING, True, False, True, id="unsure-and-seen-to-run"),
    ],
)
def test_what_the_outcome_of_a_start_says_of_its_attempt(
    held: Held, outcome: str, status: str, stays: bool, fence: bool, unreliable: bool
) -> None:
    attempt = held.started(status=status, in_flight=True, fence=None)
    held.machine.do_busy, held.machine.unreliable_until = True, 0.0
    held.attempts._answered(held.machine, [attempt], outcome, None)
    assert (held.job.active.get(0) is attempt) is stays
    assert attempt.fence == (held.ctx.token + 1 if fence else None)
    assert (held.machine.unreliable_until > held.world.now) is unreliable
    assert not attempt.in_flight and not held.machine.do_busy


def test_an_outcome_is_that_of_the_attempt_that_was_sent(held: Held) -> None:
    before = msgspec.structs.replace(held.attempt, status=TaskState.SENT)
    held.attempts._answered(held.machine, [before], REFUSED, None)
    assert held.job.active[0] is held.attempt
    assert held.machine.attempts[TASK] is held.attempt


@pytest.mark.parametrize(
    ("changes", "taken"),
    [
        pytest.param({}, True, id="newer"),
        pytest.param({"machine": "vm-000009"}, False, id="of-another-machine"),
        pytest.param({"token": 0}, False, id="of-an-earlier-term"),
        pytest.param({"sequence": 0}, False, id="older"),
    ],
)
def test_only_a_newer_report_of_the_machine_that_was_asked_is_taken(
    held: Held, changes: dict[str, Any], taken: bool
) -> None:
    held.attempts._answered(held.machine, [], OK, held.report(tasks=[], **changes))
    assert (0 not in held.job.active) is taken


@pytest.mark.parametrize(
    ("is_heard", "session", "asks_again"), [(False, 9, True), (True, 9, False), (False, 3, False)]
)
def test_a_worker_of_another_session_that_was_never_heard_is_asked_again(
    held: Held, is_heard: bool, session: int, asks_again: bool
) -> None:
    held.machine.heard, held.machine.session, held.machine.probe_at = is_heard, 4, 1e9
    held.attempts._answered(held.machine, [], REFUSED, held.report(token=0, session=session))
    assert (held.machine.session, held.machine.probe_at) == ((9, 0.0) if asks_again else (4, 1e9))


# -- proofs by time ------------------------------------------------------------------------------------


def expire(held: Held, now: float, confirmed_at: float, proxies_until: float = float("-inf")) -> bool:
    """Whether the machine's attempts are ended."""
    held.term.confirmed_at = lambda: confirmed_at  # type: ignore[method-assign]
    held.term.proxies_until = lambda: proxies_until  # type: ignore[method-assign]
    held.attempts.expire(held.machine, now)
    return not held.machine.attempts


def test_attempts_of_a_silent_worker_end_with_the_last_lease_that_we_or_a_proxy_gave(held: Held) -> None:
    over_s = held.ctx.times.lease_over_s
    held.attempts.unheard.add(held.machine.name)
    held.machine.last_answer = 1000.0
    assert not expire(held, 1000.0 + over_s, 2000.0)
    # Somebody else may have led since we were confirmed last.
    assert not expire(held, 1001.0 + over_s, 1000.0 + over_s)
    assert not expire(held, 1001.0 + over_s, 2000.0, proxies_until=1005.0)
    assert held.attempts.unheard
    assert expire(held, 1006.0 + over_s, 2000.0, proxies_until=1005.0)
    assert not held.attempts.unheard


def test_a_lease_of_ours_counts_though_no_proxy_gave_one(held: Held) -> None:
    held.machine.last_answer = 1000.0
    assert not expire(held, 999.0 + held.ctx.times.lease_over_s, 2000.0, proxies_until=990.0)


def test_attempts_of_an_unheard_worker_end_once_nobody_before_us_can_have_answered_it(held: Held) -> None:
    times = held.ctx.times
    held.machine.heard = False
    held.attempts.began_at = 1000.0
    held.machine.last_answer = 900.0
    others_until = 1000.0 + times.others_over_s
    assert not expire(held, others_until, 9000.0)
    # We have answered it as well.
    held.machine.last_answer = others_until
    assert not expire(held, others_until + times.lease_over_s, 9000.0)
    assert expire(held, others_until + times.lease_over_s + 0.1, 9000.0)


# -- commands ------------------------------------------------------------------------------------------


def test_one_request_at_a_time_goes_to_a_machine_with_so_many_commands(held: Held) -> None:
    commands = held.attempts.commands
    commands.say(held.machine, *(Command(CommandKind.STOP, f"job-000009/{n}", 1) for n in range(250)))
    held.machine.do_busy = True
    commands.flush()
    assert held.sent == []
    held.machine.do_busy = False
    commands.flush()
    commands.flush()
    assert [len(body["orders"]) for body in held.sent] == [200]
    held.done[0](OK, None)
    commands.flush()
    assert [len(body["orders"]) for body in held.sent] == [200, 50]
    held.done[1](OK, None)
    commands.flush()
    assert len(held.sent) == 2


def test_nothing_is_said_to_a_machine_that_is_gone(held: Held) -> None:
    held.attempts.commands.say(held.machine, Command(CommandKind.STOP, TASK, 1))
    held.attempts.gone(held.machine)
    held.attempts.commands.flush()
    assert held.sent == []


def test_a_queued_start_that_is_to_be_stopped_is_over(held: Held) -> None:
    held.started(stopping_at=held.world.now)
    held.attempts.commands.say(held.machine, Command(CommandKind.START, TASK, held.attempt.number))
    held.attempts.commands.flush()
    assert [body["orders"] for body in held.sent] == [[]]
    assert held.job.active == {}


@pytest.mark.parametrize(
    ("field", "value"),
    [("do_busy", True), ("probe_at", 1e9), ("endpoint", ""), ("deleting", True)],
)
def test_a_worker_that_cannot_be_asked_now_is_not(held: Held, field: str, value: Any) -> None:
    held.machine.probe_at = 0.0
    usual = getattr(held.machine, field)
    setattr(held.machine, field, value)
    held.attempts.commands.probe(held.machine, held.world.now)
    held.attempts.commands.ask_quiet(held.machine, held.world.now)
    assert held.sent == []
    setattr(held.machine, field, usual)
    held.attempts.commands.probe(held.machine, held.world.now)
    assert len(held.sent) == 1
    assert held.machine.probe_at == held.world.now + held.ctx.times.report_s


def test_a_worker_that_cannot_be_asked_takes_nothing_of_the_pace(held: Held) -> None:
    held.ctx.quiet_pace = 1.0
    commands = DirectCommands(held.ctx, lambda attempt: None, lambda *answered: None)
    for field, value in (("probe_at", 1e9), ("do_busy", True)):
        held.machine.do_busy, held.machine.probe_at = False, 0.0
        setattr(held.machine, field, value)
        commands.ask_quiet(held.machine, held.world.now)
    held.machine.do_busy, held.machine.probe_at = False, 0.0
    commands.ask_quiet(held.machine, held.world.now)
    assert len(held.sent) == 1
    # A long time without any of them does not add up.
    for later in (1000.0, 1000.001):
        held.machine.do_busy, held.machine.probe_at = False, 0.0
        commands.ask_quiet(held.machine, held.world.now + later)
    assert len(held.sent) == 2


def test_in_a_very_large_fleet_workers_report_by_themselves_at_first(held: Held) -> None:
    held.ctx.most_hastened = 0.0
    commands = DirectCommands(held.ctx, lambda attempt: None, lambda *answered: None)
    held.machine.probe_at = 0.0
    commands.hasten(held.machine, held.world.now + 1.4 * held.ctx.times.report_s)
    assert held.sent == []
    commands.hasten(held.machine, held.world.now + 1.6 * held.ctx.times.report_s)
    assert len(held.sent) == 1


@pytest.mark.parametrize(
    ("is_heard", "silent_s", "session", "patient", "shift"),
    [(True, 100.0, 4, True, 4), (True, 0.0, 4, False, 4), (False, 100.0, 0, False, 1)],
    ids=["silent", "heard-lately", "never-heard"],
)
def test_a_silent_worker_holds_up_no_other_and_one_never_heard_is_asked_for_its_session(
    held: Held, is_heard: bool, silent_s: float, session: int, patient: bool, shift: int
) -> None:
    held.machine.heard, held.machine.session, held.machine.probe_at = is_heard, session, 0.0
    held.machine.last_report = held.world.now - silent_s
    held.attempts.commands.probe(held.machine, held.world.now)
    assert held.patient == [patient]
    assert held.sent[0]["shift"] == shift


def test_the_token_is_raised_once_for_a_start_in_limbo(held: Held) -> None:
    commits: list[Any] = []
    raised: list[int] = []
    token = held.ctx.token

    def commit(conditions: Any, writes: Any, done: Any, rank: Any) -> None:
        assert [write["set"] for write in writes] == [TOKEN]
        commits.append(done)

    held.ctx.edges = SimpleNamespace(commit=commit, raised=raised.append)
    commands = held.attempts.commands
    held.started(fence=None)
    commands.raise_token()
    held.started(fence=token)
    commands.raise_token()
    assert commits == []
    held.started(fence=token + 1)
    commands.raise_token()
    commands.raise_token()
    assert len(commits) == 1
    # It failed: the token is what it was, and the next try may begin.
    commits.pop()(False)
    assert (held.ctx.token, raised) == (token, [])
    commands.raise_token()
    commits.pop()(True)
    assert (held.ctx.token, raised) == (token + 1, [token + 1])
    commands.raise_token()
    assert commits == []
