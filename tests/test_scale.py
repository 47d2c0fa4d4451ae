"""The scale run: its smallest profiles, checks and bounds, with one cell and with several."""

from __future__ import annotations

import asyncio
import os
import re
import signal
import subprocess
import sys
import threading
from pathlib import Path
from typing import Any

import msgspec
import psutil
import pytest

from poppyhold.scale.__main__ import main
from poppyhold.scale.cell_history import CellHistory, CellSample, LimitUse
from poppyhold.scale.cell_links import CellNetwork
from poppyhold.scale.cells import CellsResult
from poppyhold.scale.checks import RuleChecks
from poppyhold.scale.controllers import ControllerProcess, free_port
from poppyhold.scale.cuttable_links import CuttableLink
from poppyhold.scale.external_services import RateLimit
from poppyhold.scale.jobs import machine_type_data, submission
from poppyhold.scale.profile import PROFILES, ProfileError, built_in, load_profile
from poppyhold.scale.worker_standin import WorkerStandIn

Data = dict[str, Any]
CANCEL_S = 20.0
EXIT_TIMEOUT_S = 120.0
SMALL = PROFILES / "small.toml"


def _command(*arguments: str) -> tuple[list[str], dict[str, str]]:
    paths = os.pathsep.join(path for path in sys.path if path)
    return [sys.executable, "-m", "poppyhold.scale", *arguments], {**os.environ, "PYTHONPATH": paths}


def test_small_profile(tmp_path: Path) -> None:
    """With a killed leader and restarted workers, three controllers violate no rule and jobs complete."""
    written = tmp_path / "result.json"
    assert main(["small", "--json", str(written)]) == 0
    result = msgspec.json.decode(written.read_bytes())
    assert result["broken_count"] == 0
    assert result["stopped"] is None
    assert result["workers_up"] == result["profile"]["workers"]
    assert sum(controller["led"] for controller in result["controllers"]) > 1
    assert result["latencies"]["report"]["count"] > result["workers_up"]
    assert result["latencies"]["start, batch"]["count"] > 0
    assert [fault["kind"] for fault in result["troubles"]] == ["kill_leader", "restart_workers"]
    assert result["troubles"][0]["without_answers_s"] is not None
    assert result["counts"]["submissions given up"] == 0


def test_every_profile_can_be_read() -> None:
    assert {load_profile(name).workers for name in built_in()} >= {300, 1000, 2300}


@pytest.mark.parametrize(
    ("change", "named"),
    [
        ("workers = 0", "workers"),
        ("workers = 'many'", "workers"),
        ("unheard_of = 1", "unheard_of"),
        ("cancel_s = 5.0", "cancel_s"),
        ("troubles = [{ at_s = 900.0, kind = 'kill_leader' }]", "troubles[0].at_s"),
        ("troubles = [{ at_s = 1.0, kind = 'flood' }]", "troubles[0].kind"),
    ],
)
def test_an_invalid_profile_field_is_named_in_one_line(
    change: str, named: str, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    field = change.split(" = ", maxsplit=1)[0]
    valid = (
        Path(sys.modules[load_profile.__module__].__file__ or "").parent / "profiles" / "small.toml"
    ).read_text()
    lines = [line for line in valid.splitlines() if not line.startswith(f"{field} = ")]
    invalid_profile = tmp_path / "invalid_profile.toml"
    invalid_profile.write_text("\n".join([change, *lines]))
    with pytest.raises(ProfileError):
        load_profile(str(invalid_profile))
    assert main([str(invalid_profile)]) == 2
    error = capsys.readouterr().err
    assert error.count("\n") == 1
    assert named in error


def test_a_run_stops_at_its_time_limit(tmp_path: Path) -> None:
    valid = (
        Path(sys.modules[load_profile.__module__].__file__ or "").parent / "profiles" / "small.toml"
    ).read_text()
    short = tmp_path / "short.toml"
    short.write_text(valid.replace("most_s = 120.0", "most_s = 5.0"))
    written = tmp_path / "result.json"
    assert main([str(short), "--json", str(written)]) == 1
    assert "most_s" in msgspec.json.decode(written.read_bytes())["stopped"]


def test_an_interrupt_ends_all_child_processes(tmp_path: Path) -> None:
    command, environment = _command("small", "--logs", str(tmp_path))
    with subprocess.Popen(
        command, env=environment, stderr=subprocess.PIPE, stdout=subprocess.PIPE
    ) as process:
        assert process.stderr is not None
        # The controllers run once a line says that they are ready.
        while b"ready" not in process.stderr.readline():
            pass
        children = psutil.Process(process.pid).children()
        assert len(children) == 3
        process.send_signal(signal.SIGINT)
        drain = threading.Thread(target=process.stderr.read)
        drain.start()
        assert process.stdout is not None
        output = process.stdout.read()
        assert process.wait(EXIT_TIMEOUT_S) == 1
        drain.join()
    assert b"interrupted" in output
    assert not any(child.is_running() for child in children)


class CheckedFleet:
    """Two worker stand-ins and one job under the rule checks, which must find each violation."""

    def __init__(self, limit: float = 100.0) -> None:
        self.now = 0.0
        self.job = submission("job-000001", {"chores": 2, "crew": "alpha", "sizeGb": 0.0, "guessS": 5.0})
        self.workers: list[WorkerStandIn] = []
        self.checks = RuleChecks(lambda: self.workers, {"alpha": limit}, CANCEL_S, lambda: self.now)
        self.checks.jobs["job-000001"] = self.job
        self.checks.accepted(self.job)
        self.workers += [self._worker("vm-1"), self._worker("vm-2")]

    def _worker(self, name: str) -> WorkerStandIn:
        build = machine_type_data("small", 4, 1.0)
        return WorkerStandIn(
            name,
            build,
            "a",
            False,
            1000.0,
            lambda: self.now,
            lambda _: self.job,
            self.checks.started,
            self.checks.completed,
        )

    def run(self, worker: int, index: int, attempt: int = 1) -> None:
        """Start a task on a worker."""
        order = {"verb": "run", "chore": f"job-000001/{index}", "try": attempt}
        self.workers[worker].execute([order])
        self.workers[worker].step()


def test_checks_accept_a_correct_run() -> None:
    fleet = CheckedFleet(limit=2.0)
    fleet.run(0, 0)
    fleet.run(1, 1)
    fleet.now = 10.0
    for worker in fleet.workers:
        worker.step()
    fleet.checks.answered("job-000001", 200, {"status": "done"})
    assert fleet.checks.count() == 0
    assert fleet.checks.violations.messages == []


def test_checks_find_a_task_on_two_machines() -> None:
    fleet = CheckedFleet()
    fleet.run(0, 0)
    fleet.run(1, 0, attempt=2)
    assert "ran_twice" in fleet.checks.violations.messages[0]


def test_checks_find_a_team_above_its_limit() -> None:
    fleet = CheckedFleet(limit=1.0)
    fleet.run(0, 0)
    assert fleet.checks.violations.messages == []
    fleet.run(1, 1)
    assert "quota" in fleet.checks.violations.messages[0]


def test_checks_find_a_cancelled_task_that_keeps_running() -> None:
    fleet = CheckedFleet()
    fleet.run(0, 0)
    fleet.checks.answered("job-000001", 200, {"status": "cancelled"})
    fleet.now = CANCEL_S
    fleet.checks.count()
    assert fleet.checks.violations.messages == []
    fleet.now = CANCEL_S + 0.1
    fleet.checks.count()
    assert "ran_cancelled" in fleet.checks.violations.messages[0]


@pytest.mark.parametrize(
    ("answers", "rule"),
    [
        ([(404, {})], "forgotten"),
        ([(200, {"status": "done"})], "not_done"),
        ([(200, {"status": "cancelled"}), (200, {"status": "running"})], "went_back"),
    ],
)
def test_checks_find_wrong_answers(answers: list[tuple[int, Data]], rule: str) -> None:
    fleet = CheckedFleet()
    for status, body in answers:
        fleet.checks.answered("job-000001", status, body)
    assert rule in fleet.checks.violations.messages[0]


def test_rate_limits_reject_requests_above_them() -> None:
    limit = RateLimit(1e-6, 3e6)
    assert [limit.take() for _ in range(4)] == [True, True, True, False]


def _cells(folder: Path, **changes: object) -> CellsResult:
    """Run the small profile of several cells with ``changes``, and return its result."""
    written, own = folder / "result.json", folder / "cells.toml"
    text = (PROFILES / "cells_small.toml").read_text()
    for field, value in changes.items():
        text = re.sub(rf"(?ms)^{field} = .*?(?=^\w+ = |^\[|\Z)", f"{field} = {value}\n", text, count=1)
    own.write_text(text)
    main([str(own), "--json", str(written), "--plot", str(folder / "plot.svg")])
    return msgspec.json.decode(written.read_bytes(), type=CellsResult)


def test_cells_keep_within_limits_while_leaders_and_links_fail(tmp_path: Path) -> None:
    """A leader is killed, one frozen, a link cut one way: allocations move, no limit is exceeded."""
    result = _cells(tmp_path)
    assert result.broken == []
    assert result.ok
    assert result.moves > 0
    assert result.in_transit_at_the_end == 0
    assert [fault.kind for cell in result.cells for fault in cell.faults] == [
        "kill_leader",
        "freeze_leader",
    ]
    assert [fault.kind for fault in result.faults] == ["cut_links_one_way"]
    assert 0 < result.links_cut_s < result.profile["measured_s"]
    for part in (result.part_of_limits_in_use_links_up, result.part_of_limits_in_use_links_cut):
        assert part is not None
        assert 0 < part <= 1
    assert {sample.links_up for sample in result.samples} == {True, False}
    assert "<svg" in (tmp_path / "plot.svg").read_text()


def test_cell_checks_find_controllers_that_ignore_allocations(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The checks find controllers that plan starts against the whole limit instead of their allocation."""
    build = tmp_path / "build"
    build.mkdir()
    patch = "from poppyhold.scheduling.quotas import Quotas\nQuotas.set = lambda self, team, quota: None\n"
    (build / "sitecustomize.py").write_text(patch)
    # Controllers inherit the module search path.
    monkeypatch.syspath_prepend(str(build))
    result = _cells(tmp_path, troubles="[]", measured_s="8.0")
    assert any(line.startswith("quota over all cells") for line in result.broken)
    # Each cell's own check finds it as well: its tasks exceed its stored allocation.
    assert any(line.startswith("share: ") for line in result.broken)
    assert not result.ok


def test_a_link_cut_twice_is_restored_when_both_cuts_are_healed() -> None:
    network = CellNetwork()
    there, back = (0, 1), (1, 0)

    async def links() -> tuple[CuttableLink, CuttableLink]:
        controllers = [ControllerProcess("hive-0", "a")]
        return (await network.open(there, controllers))[0], (await network.open(back, controllers))[0]

    forward, backward = asyncio.run(links())
    network.cut([there, back])
    network.cut([there])
    assert not forward.requests_pass.is_set()
    assert not backward.requests_pass.is_set()
    network.heal([there, back])
    assert backward.requests_pass.is_set()
    # The direction that is still cut also carries the responses to the other cell's requests.
    assert not forward.requests_pass.is_set()
    assert not backward.responses_pass.is_set()
    assert not network.is_connected
    network.heal([there])
    assert forward.requests_pass.is_set()
    assert network.is_connected


def test_limit_use_is_the_quotient_of_the_sums() -> None:
    use = LimitUse()
    assert use.part is None
    use.add(3.0, 4.0)
    use.add(0.0, 2.0)
    assert use.part == 0.5


def test_samples_are_one_interval_apart_from_the_measured_time_on() -> None:
    history = CellHistory(1.0)
    history.record(100.0, True, [CellSample(2.0, 1.0)])
    history.begin(200.0)
    for now in (200.25, 200.5, 201.25, 201.5):
        history.record(now, now < 201, [CellSample(2.0, 1.0)])
    assert [(sample.at_s, sample.links_up) for sample in history.samples] == [(0.25, True), (1.25, False)]


@pytest.mark.parametrize(
    ("profile", "plot", "named"),
    [
        ("cells_small", "plot.gif", "--plot: must end in"),
        ("cells_small", "missing/plot.svg", "--plot: its folder does not exist"),
        ("small", "plot.svg", "--plot: small is a run of one cell"),
    ],
)
def test_an_invalid_plot_path_is_rejected_before_the_run(
    profile: str, plot: str, named: str, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    try:
        status = main([profile, "--plot", str(tmp_path / plot)])
    except SystemExit as exit_request:
        status = int(str(exit_request.code))
    assert status == 2
    assert named in capsys.readouterr().err


@pytest.mark.parametrize(
    ("change", "named"),
    [
        ("cells = 99", "cells"),
        ("team_guarantee = 2.0", "team_guarantee"),
        ("troubles = [{ at_s = 1.0, kind = 'kill_leader', cell = 3 }]", "troubles[0].cell"),
        ("cells = 1\ntroubles = [{ at_s = 1.0, kind = 'cut_links' }]", "troubles[0].kind"),
    ],
)
def test_an_invalid_profile_field_of_cells_is_named(change: str, named: str, tmp_path: Path) -> None:
    valid = (PROFILES / "cells_small.toml").read_text()
    text = re.sub(r"(?ms)^troubles = \[.*?^\]\n", "", valid)
    for line in change.splitlines():
        text = re.sub(rf"(?m)^{line.split(' = ')[0]} = .*\n", "", text)
    invalid_profile = tmp_path / "invalid_profile.toml"
    invalid_profile.write_text(f"{change}\n{text}")
    with pytest.raises(ProfileError) as caught:
        load_profile(str(invalid_profile))
    assert named in str(caught.value)


def test_no_port_is_allocated_twice(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("poppyhold.scale.controllers._PORT_RANGE", range(15_000, 15_040))
    monkeypatch.setattr("poppyhold.scale.controllers._allocated_ports", set())
    allocated = [free_port() for _ in range(20)]
    assert len(set(allocated)) == len(allocated)
