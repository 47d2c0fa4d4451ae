"""KNOWN-RED.txt lists the only failures that a run of the tests allows."""

from __future__ import annotations

import shutil
import subprocess
import sys
from pathlib import Path

import pytest

import known_red

TESTS = Path(__file__).parent
FAILING = "tests/test_some.py::test_fails"
PASSING = "tests/test_some.py::test_passes"
SOME_TESTS = "def test_fails() -> None:\n    assert False\n\n\ndef test_passes() -> None:\n    pass\n"


def run(folder: Path, listed: str) -> subprocess.CompletedProcess[str]:
    """Run two tests, one of which fails, beside a KNOWN-RED.txt."""
    tests = folder / "tests"
    tests.mkdir()
    for name in ("conftest.py", "known_red.py"):
        shutil.copy(TESTS / name, tests / name)
    source = TESTS.parent / "src"
    (tests / "test_some.py").write_text(SOME_TESTS, encoding="utf-8")
    (folder / "KNOWN-RED.txt").write_text(listed, encoding="utf-8")
    (folder / "pyproject.toml").write_text(
        f'[tool.pytest.ini_options]\ntestpaths = ["tests"]\npythonpath = ["tests", "{source}"]\n',
        encoding="utf-8",
    )
    command = [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider"]
    return subprocess.run(command, cwd=folder, capture_output=True, text=True, check=False)


def test_a_listed_failure_is_allowed_and_printed(tmp_path: Path) -> None:
    result = run(tmp_path, f"# comment\n{FAILING} | seed 7: seen once\n")
    assert result.returncode == 0
    assert f"{FAILING} fails, as listed: seed 7: seen once" in result.stdout


def test_a_failure_that_is_not_listed_fails_the_run(tmp_path: Path) -> None:
    assert run(tmp_path, "").returncode == pytest.ExitCode.TESTS_FAILED


def test_a_listed_test_that_passes_is_pointed_out(tmp_path: Path) -> None:
    result = run(tmp_path, f"{FAILING} | seed 7\n{PASSING} | seed 8\n")
    assert result.returncode == 0
    assert f"{PASSING} passes: remove its entry: seed 8" in result.stdout


@pytest.mark.parametrize(
    ("listed", "message"),
    [
        pytest.param(f"{FAILING}_ | seed 7", "no such test", id="no-such-test"),
        pytest.param(FAILING, "no note", id="no-note"),
        pytest.param(f"{FAILING} | a\n" * (known_red.MAX_ENTRIES + 1), "3 at most", id="too-many"),
    ],
)
def test_a_wrong_entry_fails_the_run(listed: str, message: str, tmp_path: Path) -> None:
    result = run(tmp_path, listed)
    assert result.returncode == pytest.ExitCode.USAGE_ERROR
    assert message in result.stderr
