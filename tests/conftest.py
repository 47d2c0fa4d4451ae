"""Runs the tests of KNOWN-RED.txt as expected failures, and prints their outcomes."""

from __future__ import annotations

import logging
from collections.abc import Iterator

import pytest

import known_red
from poppyhold.model.invariants import VIOLATION_PREFIX

_FILE = "KNOWN-RED.txt"
# Outcomes of listed tests in pytest's statistics.
_FAILED, _PASSED = "xfailed", "xpassed"
# Marks a test that makes an invariant's assertion fail.
_VIOLATES = "violates_invariant"


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Mark the listed tests; in a run of all tests each entry must name one."""
    try:
        entries = known_red.read(config.rootpath / _FILE)
        if config.args == config.getini("testpaths") and not config.option.keyword:
            known_red.check_exist(entries, [item.nodeid for item in items])
    except known_red.KnownRedError as error:
        raise pytest.UsageError(f"{_FILE}: {error}") from error
    notes = {entry.test: entry.note for entry in entries}
    for item in items:
        if item.nodeid in notes:
            item.add_marker(pytest.mark.xfail(reason=notes[item.nodeid], strict=False))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print the outcome of each listed test."""
    for outcome, text in ((_FAILED, "fails, as listed"), (_PASSED, "passes: remove its entry")):
        for report in terminalreporter.stats.get(outcome, []):
            terminalreporter.write_line(f"{_FILE}: {report.nodeid} {text}: {report.wasxfail}")


class _Violations(logging.Handler):
    """Collects the error lines of violated invariants."""

    def __init__(self) -> None:
        super().__init__(logging.ERROR)
        self.lines: list[str] = []

    def emit(self, record: logging.LogRecord) -> None:
        line = record.getMessage()
        if line.startswith(VIOLATION_PREFIX):
            self.lines.append(line)


@pytest.fixture(autouse=True)
def invariant_violations(request: pytest.FixtureRequest) -> Iterator[list[str]]:
    """The violations logged during a test, which fail it unless it is marked to cause some."""
    handler, logger = _Violations(), logging.getLogger("poppyhold")
    logger.addHandler(handler)
    yield handler.lines
    logger.removeHandler(handler)
    if request.node.get_closest_marker(_VIOLATES) is None:
        assert handler.lines == []
