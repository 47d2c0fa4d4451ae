"""Words withdrawn from names in the code: each concept has one term, which docs/glossary.md defines.

Comments and docstrings are checked for phrases that address the reader as a team or are not plain English.
"""

from __future__ import annotations

import ast
import io
import re
import tokenize
from pathlib import Path

import pytest

SOURCES = Path(__file__).resolve().parent.parent / "src" / "poppyhold"

# Withdrawn word in a name -> the term to use.
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
    "note": "record",
    "noted": "recorded",
    "tell": "notify, report or send",
    "tells": "notifies, reports or sends",
    "told": "notified, reported or sent",
    "ask": "request or query",
    "asked": "requested or queried",
    "asking": "requests",
    "hear": "receive",
    "heard": "received",
    "anew": "re- (recreate, rebuild)",
    "nap": "coalescing or delay",
    "ours": "the holder's name (leader, node, cell)",
    "ourselves": "own",
    "nobody": "none",
    "whoever": "the role's name",
    "mates": "replicas or peers",
    "companions": "host resources",
    "guests": "unguaranteed",
    "trouble": "fault",
    "troubles": "faults",
    "troubled": "faulty",
    "deaf": "drop inbound",
    "mute": "drop responses",
    "calm": "liveness check",
    "thaw": "resume",
    "sound": "healthy",
    "lasted": "run time",
    "finals": "final states",
    "sooner": "earlier",
    "soonest": "highest or earliest",
    "unreach": "unreachable",
}
# Withdrawn consecutive words in a name -> the term to use. Each word by itself is allowed.
WITHDRAWN_GROUPS = {
    "turned_away": "misdirected",
    "known_until": "confirmed until, or watermark",
    "may_run": "possible use",
    "look_up": "read",
    "is_wanted": "accepts or should",
    "still_wanted": "should",
    "relays_wanted": "accepts relays",
    "hold_s": "poll timeout",
    "gather_s": "batch delay or batch window",
    "longest_s": "max_s",
    "led_s": "leading_s",
    "raise_fence": "advance fence",
    "acted_on": "applied",
    "most_bytes": "max_bytes",
    "most_cell_links": "max_cell_links",
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
# `wire` maps protocol words to names; the stand-ins of `scale` implement the other side of the protocols.
PACKAGES_OF_PROTOCOL_WORDS = ("wire", "scale")
# Allowed in names although a part is withdrawn.
ALLOWED = {
    # An option's name.
    "silent_reports",
    # A setting's name in generated settings files.
    "report_s",
    # The first part says which hints.
    "image_hints",
}
# Phrases that are not used in comments and docstrings -> what to write instead.
PHRASES = {
    "we": "the subject's name (the leader, this node, the caller)",
    "us": "the subject's name",
    "our": "the subject's name",
    "ours": "the subject's name",
    "ourselves": "the subject's name",
    "nobody": "no worker, no controller",
    "whoever": "the role's name",
    "someone": "the role's name",
    "somebody": "the role's name",
    "anybody": "the role's name",
    "anyone": "the role's name",
    "so many times": "the number or the setting that holds it",
    "had better": "should",
    "for ever": "indefinitely",
    "anew": "again, or re- (rebuilt)",
    "afresh": "again, or re- (rebuilt)",
    "as far as one can tell": "as known from (the record, the message)",
    "as it were": "(nothing)",
    "of course": "(nothing)",
    "so to speak": "(nothing)",
    "turned away": "rejected or misdirected",
}
# (module, phrase) that is allowed -> its reason.
ALLOWED_PHRASES: dict[tuple[str, str], str] = {}


def _names(path: Path) -> dict[str, int]:
    """Every name in a module, with the line of its first use."""
    names: dict[str, int] = {}
    for token in tokenize.generate_tokens(io.StringIO(path.read_text(encoding="utf-8")).readline):
        if token.type == tokenize.NAME:
            names.setdefault(token.string, token.start[0])
    return names


def _parts(name: str) -> list[str]:
    """The words of a name in snake case or camel case."""
    return re.sub(r"(?<=[a-z0-9])(?=[A-Z])", "_", name).lower().strip("_").split("_")


def _withdrawn(name: str) -> set[str]:
    parts = _parts(name)
    allowed = {part for word in ALLOWED if word in "_".join(parts) for part in word.split("_")}
    found = {part for part in parts if part in WITHDRAWN or part in PROTOCOL_WORDS}
    if any(
        part == "token" and (not index or parts[index - 1] != "fencing") for index, part in enumerate(parts)
    ):
        found.add("token")
    groups = {group for group in WITHDRAWN_GROUPS if f"_{group}_" in f"_{'_'.join(parts)}_"}
    return (found - allowed) | groups


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


def _texts(path: Path) -> list[tuple[int, str]]:
    """Comments (adjacent lines joined) and docstrings of a module, each with its first line."""
    source = path.read_text(encoding="utf-8")
    texts = [
        (node.lineno, node.value.value)
        for node in ast.walk(ast.parse(source))
        if isinstance(node, ast.Expr)
        and isinstance(node.value, ast.Constant)
        and isinstance(node.value.value, str)
    ]
    first = last = 0
    comment = ""
    for token in tokenize.generate_tokens(io.StringIO(source).readline):
        if token.type != tokenize.COMMENT:
            continue
        if comment and token.start[0] == last + 1:
            comment += " " + token.string.lstrip("#")
        else:
            if comment:
                texts.append((first, comment))
            first, comment = token.start[0], token.string.lstrip("#")
        last = token.start[0]
    if comment:
        texts.append((first, comment))
    return [(line, " ".join(text.split())) for line, text in texts]


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


@pytest.mark.parametrize("path", _modules(), ids=lambda path: str(path.relative_to(SOURCES)))
def test_comments_and_docstrings_hold_no_withdrawn_phrase(path: Path) -> None:
    found = {
        phrase: line
        for line, text in _texts(path)
        for phrase in PHRASES
        if re.search(rf"\b{phrase}\b", text, re.IGNORECASE)
    }
    module = str(path.relative_to(SOURCES))
    allowed = {phrase for allowed_module, phrase in ALLOWED_PHRASES if allowed_module == module}
    assert not {phrase: line for phrase, line in found.items() if phrase not in allowed}
    assert not allowed - found.keys(), "exceptions that are no longer needed"
