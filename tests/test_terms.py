"""The words that the code no longer uses: each concept has one term, which docs/glossary.md gives."""

from __future__ import annotations

import ast
import io
import re
import tokenize
from pathlib import Path

import pytest

SOURCES = Path(__file__).resolve().parent.parent / "src" / "poppyhold"

# Withdrawn word in a name -> the term. Several words stand side by side as they do in a name.
WITHDRAWN = {
    "report": "heartbeat",
    "reports": "heartbeats",
    "session": "incarnation",
    "rank": "priority",
    "hire": "launch",
    "hires": "launches",
    "hiring": "autoscaler",
    "hired": "launched",
    "rent": "launch",
    "room": "capacity or resources",
    "rooms": "capacity or resources",
    "edges": "outbound port",
    "unheard": "unreconciled",
    "hasten": "request a heartbeat",
    "vouch": "grant a delegation",
    "stray": "misdirected",
    "hollow": "simulated",
    "hopeless": "infeasible",
    "deposed": "leadership lost",
    "trust": "delegation",
    "hints": "image hints",
}
# Words that only the protocols use: not in names, and as strings only in `PACKAGES_OF_PROTOCOL_WORDS`.
PROTOCOL_WORDS = [
    "baton",
    "bookmark",
    "bundle",
    "chore",
    "chores",
    "crew",
    "crews",
    "flushing",
    "foreman",
    "leeway",
    "loaners",
    "lot",
    "paddock",
    "paddocks",
    "pulling",
    "reap",
    "stash",
    "tally",
]
# What maps the protocols' words to names, and the tool whose stand-ins speak the protocols as others do.
PACKAGES_OF_PROTOCOL_WORDS = ("wire", "scale")
# A name may hold these although a part of it is withdrawn.
ALLOWED = {
    # The operators' option of that name.
    "silent_reports",
    # The platform's setting, which a generated settings file writes.
    "report_s",
    # Its first part says of what.
    "image_hints",
}


def _names(path: Path) -> dict[str, int]:
    """Every name in a module, with the line on which it stands first."""
    names: dict[str, int] = {}
    for token in tokenize.generate_tokens(io.StringIO(path.read_text(encoding="utf-8")).readline):
        if token.type == tokenize.NAME:
            names.setdefault(token.string, token.start[0])
    return names


def _parts(name: str) -> list[str]:
    """The words of a name, be it in snake case or in camel case."""
    return re.sub(r"(?<=[a-z0-9])(?=[A-Z])", "_", name).lower().strip("_").split("_")


def _withdrawn(name: str) -> set[str]:
    parts = _parts(name)
    allowed = {part for word in ALLOWED if word in "_".join(parts) for part in word.split("_")}
    found = {part for part in parts if part in WITHDRAWN or part in PROTOCOL_WORDS}
    if any(
        part == "token" and (not index or parts[index - 1] != "fencing") for index, part in enumerate(parts)
    ):
        found.add("token")
    return found - allowed


def _modules() -> list[Path]:
    return [path for path in sorted(SOURCES.rglob("*.py")) if not path.name.endswith("_pb2.py")]


def _strings(path: Path) -> dict[str, int]:
    """Every string in a module, with its line."""
    tree = ast.parse(path.read_text(encoding="utf-8"))
    return {
        node.value: node.lineno
        for node in ast.walk(tree)
        if isinstance(node, ast.Constant) and isinstance(node.value, str)
    }


@pytest.mark.parametrize("path", _modules(), ids=lambda path: str(path.relative_to(SOURCES)))
def test_names_use_the_terms_of_the_glossary(path: Path) -> None:
    found = {
        f"{name} (line {line})": words for name, line in _names(path).items() if (words := _withdrawn(name))
    }
    assert not found
    assert not _withdrawn(path.stem), "the module's own name"


@pytest.mark.parametrize(
    "path",
    [path for path in _modules() if path.relative_to(SOURCES).parts[0] not in PACKAGES_OF_PROTOCOL_WORDS],
    ids=lambda path: str(path.relative_to(SOURCES)),
)
def test_protocol_words_are_confined_to_the_packages_that_map_them(path: Path) -> None:
    found = {
        text: line for text, line in _strings(path).items() if text in {*PROTOCOL_WORDS, "nameId", "builds"}
    }
    assert not found
