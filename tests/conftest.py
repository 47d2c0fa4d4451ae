"""Runs the tests of KNOWN-RED.txt as expected failures, and prints their outcomes."""

from __future__ import annotations

import pytest

import known_red

_FILE = "KNOWN-RED.txt"
# Outcomes of listed tests in pytest's statistics.
_FAILED, _PASSED = "xfailed", "xpassed"


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
