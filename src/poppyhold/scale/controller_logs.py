"""Violated invariants and tracebacks in the logs of a run's controllers."""

from __future__ import annotations

from pathlib import Path

from poppyhold.model.invariants import VIOLATION_PREFIX

_TRACEBACK = "Traceback (most recent call last)"


def violated_invariants(folder: Path) -> list[str]:
    """Return the lines of violated invariants in all logs of a folder, each with its controller's name."""
    found = []
    for path in sorted(folder.glob("*.log")):
        with path.open(encoding="utf-8", errors="replace") as lines:
            found += [f"{path.stem}: {line.strip()}" for line in lines if VIOLATION_PREFIX in line]
    return found


def tracebacks(folder: Path) -> list[str]:
    """Return one line for each log of a folder with tracebacks."""
    found = []
    for path in sorted(folder.glob("*.log")):
        count = path.read_text(encoding="utf-8", errors="replace").count(_TRACEBACK)
        if count:
            found.append(f"traceback: {path.stem} logged {count}")
    return found
