"""KNOWN-RED.txt: tests that are known to fail. They run and are printed, and no other failure is allowed."""

from __future__ import annotations

from collections.abc import Iterable
from pathlib import Path
from typing import NamedTuple

# Each entry is mended before the next one is added.
MAX_ENTRIES = 3
_COMMENT = "#"
_FIELD_SEPARATOR = " | "


class KnownRedError(Exception):
    """KNOWN-RED.txt is malformed, or names a test that does not exist; the message names the line."""


class KnownRed(NamedTuple):
    """A test that is known to fail, by its pytest node ID, and what is known of it."""

    test: str
    note: str


def parse(text: str) -> list[KnownRed]:
    """Parse the entries: a node ID and a note on each line; lines that begin with # are comments."""
    lines = [line.strip() for line in text.splitlines()]
    entries = [_parse_line(line) for line in lines if line and not line.startswith(_COMMENT)]
    if len(entries) > MAX_ENTRIES:
        raise KnownRedError(f"{len(entries)} entries, {MAX_ENTRIES} at most")
    return entries


def _parse_line(line: str) -> KnownRed:
    test, separator, note = line.partition(_FIELD_SEPARATOR)
    if not separator or not note.strip():
        raise KnownRedError(f"no note after '{_FIELD_SEPARATOR.strip()}': {line}")
    return KnownRed(test.strip(), note.strip())


def read(path: Path) -> list[KnownRed]:
    """Read the entries of a file; none if it does not exist."""
    return parse(path.read_text(encoding="utf-8")) if path.exists() else []


def check_exist(entries: Iterable[KnownRed], tests: Iterable[str]) -> None:
    """Check that every entry names an existing test."""
    known = set(tests)
    for entry in entries:
        if entry.test not in known:
            raise KnownRedError(f"no such test: {entry.test}")
