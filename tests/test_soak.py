"""The soak: its schedules, stand-ins, checks and bad input, and one short run."""

from __future__ import annotations

import asyncio
import os
import random
import signal
import subprocess
import sys
import threading
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec
import psutil
import pytest

from poppyhold.scale.__main__ import main
from poppyhold.scale.controllers import Controllers, members
from poppyhold.scale.cuttable_links import CuttableLink
from poppyhold.scale.external_services import StateService
from poppyhold.scale.jobs import machine_type_data, submission
from poppyhold.scale.profile import StateLimits
from poppyhold.scale.simulated_worker import WorkerFigures
from poppyhold.scale.soak.checks import SoakChecks
from poppyhold.scale.soak.faulty_worker import FaultyWorker
from poppyhold.scale.soak.peer_network import peer_network
from poppyhold.scale.soak.run import Verdict, soak_profile
from poppyhold.scale.soak.schedule import (
    FaultKind,
    ScheduleError,
    SoakFault,
    SoakSchedule,
    draw_schedule,
    load_schedule,
    save_schedule,
)
from poppyhold.scale.soak.state_gate import StateGate
from poppyhold.scale.worker_standin import WorkerStandIn
from poppyhold.wire.codec import encode

FIXTURES = Path(__file__).parent / "fixtures"
CANCEL_S, LEASE_S = 16.0, 8.0
JOB = "job-000001"
SHORT = SoakSchedule(
    seed=1,
    workers=12,
    controllers=3,
    faults_end_s=12.0,
    faults=[
        SoakFault(FaultKind.KILL, 1.0, 1.5),
        SoakFault(FaultKind.CANCEL_BURST, 1.5, 0.0, share=0.5),
        SoakFault(FaultKind.WORKERS_HANG, 2.0, 3.0, share=0.3),
        SoakFault(FaultKind.STATE_OUT, 5.0, 3.0),
        SoakFault(FaultKind.CUT_PEERS, 6.0, 2.0),
        SoakFault(FaultKind.COMMANDS_LATE, 4.0, 5.0, share=0.5),
        SoakFault(FaultKind.COMMANDS_REPEATED, 0.2, 11.0, share=1.0),
    ],
    jobs=[job for job in draw_schedule(1, 12, 3).jobs if job.at_s <= 12.0],
)


def rewritten(change: Callable[[dict[str, Any]], None], path: Path) -> Path:
    """A saved schedule with a changed field."""
    schedule = msgspec.to_builtins(SHORT)
    change(schedule)
    path.write_bytes(msgspec.json.encode(schedule))
    return path


# -- schedules and bad input ---------------------------------------------------------------------------


def test_a_seed_always_draws_the_same_schedule() -> None:
    assert draw_schedule(7, 40, 3) == draw_schedule(7, 40, 3) != draw_schedule(8, 40, 3)


def test_every_kind_of_fault_is_drawn_and_faults_overlap() -> None:
    schedules = [draw_schedule(seed, 40, 3) for seed in range(60)]
    assert {fault.kind for schedule in schedules for fault in schedule.faults} == set(FaultKind)
    for schedule in schedules:
        faults = [fault for fault in schedule.faults if fault.for_s > 0]
        assert any(one.at_s < other.at_s < one.at_s + one.for_s for one in faults for other in faults)


@pytest.mark.parametrize("seed", range(20))
def test_a_saved_schedule_is_read_back(seed: int, tmp_path: Path) -> None:
    schedule = draw_schedule(seed, 300, 5)
    save_schedule(schedule, tmp_path / "schedule.json")
    assert load_schedule(tmp_path / "schedule.json") == schedule


@pytest.mark.parametrize(
    ("change", "field"),
    [
        pytest.param(lambda s: s["faults"][0].update(kind="melt"), "faults[0].kind", id="unknown-kind"),
        pytest.param(lambda s: s["faults"][0].update(at_s=-1.0), "faults[0].at_s", id="negative-time"),
        pytest.param(lambda s: s["faults"][0].pop("at_s"), "at_s", id="no-time"),
        pytest.param(lambda s: s["faults"][0].update(for_s=99.0), "faults[0].for_s", id="beyond-the-end"),
        pytest.param(lambda s: s["faults"][0].update(controller=3), "faults[0].controller", id="controller"),
        pytest.param(lambda s: s["jobs"][0].update(tasks=0), "jobs[0].tasks", id="no-tasks"),
        pytest.param(lambda s: s.update(workers=10**6), "workers", id="too-many-workers"),
        pytest.param(lambda s: s.update(seed="x"), "seed", id="seed-not-a-number"),
    ],
)
def test_an_invalid_schedule_is_named_in_one_line(
    change: Callable[[dict[str, Any]], None],
    field: str,
    tmp_path: Path,
    capsys: pytest.CaptureFixture[str],
) -> None:
    path = rewritten(change, tmp_path / "schedule.json")
    with pytest.raises(ScheduleError):
        load_schedule(path)
    assert main(["soak", "--play", str(path)]) == 2
    error = capsys.readouterr().err
    assert field in error
    assert error.count("\n") == 1


@pytest.mark.parametrize(
    ("arguments", "named"),
    [
        pytest.param(["--seed", "x"], "--seed", id="seed"),
        pytest.param(["--seeds", "1"], "--seeds", id="one-number"),
        pytest.param(["--seeds", "1", "-2"], "--seeds", id="negative-count"),
        pytest.param(["--workers", "100000"], "--workers", id="too-many-workers"),
        pytest.param(["--melt"], "--melt", id="unknown-option"),
    ],
)
def test_a_bad_argument_is_named_in_one_line(
    arguments: list[str], named: str, capsys: pytest.CaptureFixture[str]
) -> None:
    with pytest.raises(SystemExit) as exit_:
        main(["soak", *arguments])
    assert exit_.value.code == 2
    error = capsys.readouterr().err
    assert named in error
    assert error.count("\n") == 1


def test_an_unreadable_schedule_is_named_in_one_line(
    capsys: pytest.CaptureFixture[str], tmp_path: Path
) -> None:
    assert main(["soak", "--play", str(tmp_path / "none.json")]) == 2
    assert "none.json" in capsys.readouterr().err


# -- checks --------------------------------------------------------------------------------------------


class CheckedJob:
    """One worker with a task of one service, under the soak's checks."""

    def __init__(self) -> None:
        self.now = 0.0
        self.job = submission(JOB, {"shape": "service", "chores": 1, "sizeGb": 0.0})
        self.workers: list[WorkerStandIn] = []
        self.checks = SoakChecks(lambda: self.workers, {"alpha": 10.0}, CANCEL_S, lambda: self.now)
        self.checks.jobs[JOB] = self.job
        self.checks.accepted(self.job)
        self.worker = WorkerStandIn(
            "vm-1",
            machine_type_data("small", 4, 1.0),
            "a",
            False,
            LEASE_S,
            lambda: self.now,
            lambda _: self.job,
            self.checks.started,
            self.checks.completed,
        )
        self.workers.append(self.worker)

    def start(self) -> None:
        self.worker.execute([{"verb": "run", "chore": f"{JOB}/0", "try": 1}])
        self.worker.step()

    def cancel(self) -> None:
        self.checks.answered(JOB, 200, {"status": "cancelled"})


def test_a_cancelled_task_that_runs_on_is_found() -> None:
    job = CheckedJob()
    job.start()
    job.cancel()
    job.now = CANCEL_S + 0.1
    job.worker.answered_sent_at = job.now
    job.checks.count()
    assert "ran_cancelled" in job.checks.violations.messages[0]


def test_a_task_whose_lease_has_expired_does_not_run_on() -> None:
    job = CheckedJob()
    job.start()
    job.cancel()
    job.now = CANCEL_S + 0.1
    assert job.checks.count() == 0
    assert job.checks.violations.messages == []


def test_a_start_after_a_confirmed_cancellation_is_counted() -> None:
    job = CheckedJob()
    job.cancel()
    job.start()
    assert job.checks.starts_after_cancellation == 1
    assert job.checks.violations.messages == []


def test_a_job_that_does_not_get_on_is_found() -> None:
    job = CheckedJob()
    job.checks.check_settled()
    assert job.checks.violations.messages == [f"no_progress: {JOB} is pending after all faults"]


def test_a_running_service_and_a_final_job_get_on() -> None:
    job = CheckedJob()
    job.start()
    job.checks.check_settled()
    job.worker.restart()
    job.cancel()
    job.checks.check_settled()
    assert job.checks.violations.messages == []


# -- stand-ins -----------------------------------------------------------------------------------------


def make_worker() -> FaultyWorker:
    standin = WorkerStandIn(
        "vm-1",
        machine_type_data("small", 4, 1.0),
        "a",
        False,
        LEASE_S,
        time.monotonic,
        lambda _: submission(JOB, {"shape": "service", "sizeGb": 0.0}),
        lambda worker, task: None,
        lambda task: None,
    )
    return FaultyWorker(standin, {"hive-0": 9}, 1.0, WorkerFigures(), random.Random(1))


def command(attempt: int = 1, incarnation: int = 1) -> bytes:
    return encode(
        {
            "baton": 1,
            "shift": incarnation,
            "orders": [{"verb": "run", "chore": f"{JOB}/0", "try": attempt}],
        }
    )


def test_a_hanging_worker_executes_a_command_once_it_goes_on() -> None:
    async def play() -> tuple[float, list[str]]:
        worker = make_worker()
        worker.hang(0.3)
        began_at = time.monotonic()
        await worker._handle_command("POST", "/do", command())
        return time.monotonic() - began_at, list(worker.standin.tasks)

    took_s, tasks = asyncio.run(play())
    assert took_s >= 0.3
    assert tasks == [f"{JOB}/0"]


def test_a_late_command_for_an_ended_incarnation_is_not_executed() -> None:
    async def play() -> list[str]:
        worker = make_worker()
        worker.hang(0.2)
        worker.standin.answered_sent_at = time.monotonic() - LEASE_S
        await worker._handle_command("POST", "/do", command())
        return list(worker.standin.tasks)

    assert asyncio.run(play()) == []


def test_no_command_reaches_a_worker_whose_inbound_messages_are_lost() -> None:
    async def play() -> list[str]:
        worker = make_worker()
        worker.inbound_lost_until = time.monotonic() + 0.2
        with pytest.raises(ValueError, match="reaches"):
            await worker._handle_command("POST", "/do", command())
        return list(worker.standin.tasks)

    assert asyncio.run(play()) == []


def test_an_executed_command_is_delivered_again_with_the_same_token_and_incarnation() -> None:
    async def play(later_token: int) -> list[str]:
        worker = make_worker()
        worker.repeats_until, worker.repeated_share = time.monotonic() + 1.0, 1.0
        await worker._handle_command("POST", "/do", command())
        worker.standin.tasks.clear()
        worker.standin.fencing_token = later_token
        await worker._repeat_command(command(), 0.0)
        executed = list(worker.standin.tasks)
        worker.close()
        return executed

    assert asyncio.run(play(1)) == [f"{JOB}/0"]
    assert asyncio.run(play(2)) == []


def test_executed_commands_are_kept_and_delivered_again_as_a_controller_is_killed() -> None:
    async def play(repeated_share: float) -> list[str]:
        worker = make_worker()
        worker.repeats_until, worker.repeated_share = time.monotonic() + 1.0, repeated_share
        await worker._handle_command("POST", "/do", command())
        worker.standin.tasks.clear()
        worker.deliver_kept_commands()
        # Longer than `_KEPT_COMMAND_DELAY_S`.
        await asyncio.sleep(0.7)
        executed = list(worker.standin.tasks)
        worker.close()
        return executed

    assert asyncio.run(play(1.0)) == [f"{JOB}/0"]
    assert asyncio.run(play(0.0)) == []


def test_a_state_service_that_is_out_refuses_all_and_renews_every_lease_at_the_end() -> None:
    async def play() -> tuple[int, int, int]:
        service = StateService(StateLimits(), random.Random(1))
        gate = StateGate(service, random.Random(1))
        gate.begin_outage()
        out, _ = await gate._handle("hive-0", "GET", "/kv/a", b"")
        service.standin.leases[1] = [time.monotonic() - 1.0, 5.0]
        gate.end_outage()
        service.standin.expire()
        back, _ = await gate._handle("hive-0", "GET", "/kv/a", b"")
        return out, back, len(service.standin.leases)

    assert asyncio.run(play()) == (503, 404, 1)


def test_the_state_service_refuses_one_controller_and_loses_answers_after_the_write() -> None:
    async def play() -> tuple[int, int, int]:
        rng = random.Random(1)
        service = StateService(StateLimits(), rng)
        gate = StateGate(service, rng)
        gate.refuse("hive-0", 1)
        refused, _ = await gate._handle("hive-0", "GET", "/kv/a", b"")
        served, _ = await gate._handle("hive-1", "GET", "/kv/a", b"")
        gate.lose_answers(1)
        lost = 0
        for number in range(20):
            body = encode({"if": [], "writes": [{"set": f"k{number}", "data": {}}]})
            try:
                await gate._handle("hive-1", "POST", "/commit", body)
            except ValueError:
                lost += 1
        assert 0 < lost < 20
        return refused, served, len(service.standin.keys)

    assert asyncio.run(play()) == (503, 404, 20)


def test_overlapping_cuts_end_with_the_last(tmp_path: Path) -> None:
    async def play() -> list[bool]:
        profile = soak_profile(SHORT)
        controllers = Controllers(profile, tmp_path, dict.fromkeys(members(profile), 9), 9, CuttableLink)
        network, ways = peer_network(controllers), [("hive-0", "hive-1")]
        link = controllers.get("hive-1").links["hive-0"]
        assert isinstance(link, CuttableLink)
        seen = []
        for change in (network.cut, network.cut, network.heal, network.heal):
            change(ways)
            seen.append(link.requests_pass.is_set())
        assert link.responses_pass.is_set()
        return seen

    assert asyncio.run(play()) == [False, False, False, True]


# -- runs ----------------------------------------------------------------------------------------------


def test_a_short_soak_breaks_no_rule(tmp_path: Path) -> None:
    schedule = tmp_path / "schedule.json"
    save_schedule(SHORT, schedule)
    assert_no_rule_broken(schedule, tmp_path)
    assert (tmp_path / "seed-1" / "hive-0.log").exists()


def test_no_cancelled_task_is_started_late_in_a_state_outage(tmp_path: Path) -> None:
    assert_no_rule_broken(FIXTURES / "soak_late_starts_in_state_outage.json", tmp_path)


def assert_no_rule_broken(schedule: Path, tmp_path: Path) -> None:
    """Play a schedule; a machine that is too slow to judge the deadlines makes the run invalid."""
    written = tmp_path / "result.json"
    status = main(["soak", "--play", str(schedule), "--json", str(written), "--logs", str(tmp_path)])
    result = msgspec.json.decode(written.read_bytes())[0]
    assert result["verdict"] == Verdict.INVALID or (status, result["broken"]) == (0, [])
    assert result["jobs"] > 0


def test_an_interrupt_ends_the_run_and_all_its_processes(tmp_path: Path) -> None:
    paths = os.pathsep.join(path for path in sys.path if path)
    arguments = ["soak", "--seeds", "1", "3", "--workers", "4", "--logs", str(tmp_path)]
    with subprocess.Popen(
        [sys.executable, "-m", "poppyhold.scale", *arguments],
        env={**os.environ, "PYTHONPATH": paths},
        stderr=subprocess.PIPE,
        stdout=subprocess.PIPE,
    ) as process:
        assert process.stderr is not None
        while b"ready" not in process.stderr.readline():
            pass
        children = psutil.Process(process.pid).children()
        process.send_signal(signal.SIGINT)
        drain = threading.Thread(target=process.stderr.read)
        drain.start()
        assert process.stdout is not None
        output = process.stdout.read()
        assert process.wait(120.0) == 1
        drain.join()
    assert b"not run 2" in output
    assert len(children) == 3
    assert not any(child.is_running() for child in children)
