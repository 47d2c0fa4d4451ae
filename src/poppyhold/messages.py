"""The messages of the outside protocols, in their own words, and the codec of their bodies."""

from __future__ import annotations

import math
import re
from enum import StrEnum
from typing import Any, Literal, TypeVar

import cbor2
import msgspec

BODY_LIMIT = 64 * 1024
# Machines' names become keys of the state service: one that can't be a key would be tried there for ever.
_BOX = re.compile(r"[A-Za-z0-9._:-]{1,120}\Z")
JOB_ID = re.compile(r"job-[0-9]{6,18}\Z", re.ASCII)
Rank = Literal["critical", "high", "standard", "best_effort"]
RANKS: tuple[Rank, ...] = ("critical", "high", "standard", "best_effort")

T = TypeVar("T")


class Malformed(Exception):
    """A body that is not what the protocol says."""


class TaskState(StrEnum):
    """What a worker reports of a task; an attempt that no report has shown yet is `SENT` to us."""

    SENT = "sent"
    FETCHING = "pulling"
    WAITING = "waiting"
    RUNNING = "running"
    SAVING = "flushing"
    EXITED = "ended"


# Tasks that have not got their image yet.
BEFORE_IMAGE = frozenset({TaskState.SENT, TaskState.FETCHING})
# Tasks that may be stopped to make room.
STOPPABLE = frozenset({TaskState.FETCHING, TaskState.WAITING, TaskState.RUNNING})
# Tasks that users are told of as running.
IN_PROGRESS = frozenset({TaskState.RUNNING, TaskState.SAVING})


class ExitCause(StrEnum):
    """Why a task exited."""

    DONE = "done"
    STOPPED = "stopped"
    ERROR = "error"
    NO_ROOM = "no_room"
    BUSY = "busy"
    UNKNOWN_TASK = "no_such"
    PEER_LOST = "mates_gone"
    GANG_INCOMPLETE = "alone"


class Submission(msgspec.Struct, frozen=True, kw_only=True):
    """POST /api/jobs."""

    nameId: str
    lot: str
    crew: str
    shape: Literal["array", "service", "group"]
    rank: Rank
    chores: int
    cpus: float
    accelerators: float
    memGb: float
    bundle: str
    sizeGb: float
    samePlace: bool
    apart: bool
    loaners: bool
    guessS: float
    bookmarkS: float
    stashS: float
    builds: list[str] | None = None
    paddock: str | None = None
    dueS: float | None = None


class Chore(msgspec.Struct, frozen=True):
    """A task in a worker's report."""

    chore: str
    attempt: int = msgspec.field(name="try")
    status: str
    cause: str | None = None
    kept: bool | None = None


class Report(msgspec.Struct, frozen=True):
    """POST /hello, and the answers of /do and /show."""

    box: str
    endpoint: str
    build: str
    paddock: str
    loaners: bool
    shift: int
    tally: int
    baton: int
    recallS: float | None = None
    chores: list[Chore] = []


class Build(msgspec.Struct, frozen=True):
    """A machine type."""

    name: str
    cpus: float
    accelerators: float
    memGb: float
    localGb: float
    pullGbPerS: float
    rate: float
    marketPrice: float
    startupS: float
    paddocks: list[str]


class Builds(msgspec.Struct, frozen=True):
    """GET /machine_types."""

    builds: list[Build]


class Listed(msgspec.Struct, frozen=True):
    """A machine in the cloud's list."""

    nameId: str
    build: str
    paddock: str
    loaners: bool
    status: str
    endpoint: str | None = None
    heldS: float = 0.0


class MachineList(msgspec.Struct, frozen=True):
    """GET /machines."""

    boxes: list[Listed]
    more: bool = False


class Hired(msgspec.Struct, frozen=True):
    """The answer to POST /machines."""

    boxes: list[str]


def encode(body: object) -> bytes:
    """Encode a body."""
    return cbor2.dumps(body)


def decode(body: bytes) -> dict[str, Any]:
    """Decode a body, which must be a map."""
    try:
        value = cbor2.loads(body)
    except Exception as error:  # cbor2 raises many kinds on hostile input
        raise Malformed("not CBOR") from error
    if not isinstance(value, dict):
        raise Malformed("not a map")
    return value


def convert(value: object, kind: type[T]) -> T:
    """Check a decoded body against a message."""
    try:
        return msgspec.convert(value, kind)
    except (msgspec.ValidationError, OverflowError, RecursionError, TypeError) as error:
        raise Malformed(str(error)) from error


def _amount(name: str, value: float | None) -> None:
    if value is not None and not (math.isfinite(value) and value >= 0):
        raise Malformed(f"{name} must be a finite amount, not negative")


def parse_submission(value: object) -> Submission:
    """Check a submission: everything that PROTOCOL answers with 400."""
    job = convert(value, Submission)
    if not JOB_ID.match(job.nameId):
        raise Malformed("nameId is not of the form job-000412")
    if not 1 <= job.chores <= 100_000:
        raise Malformed("chores must be within 1 and 100000")
    for name in ("cpus", "accelerators", "memGb", "sizeGb", "guessS", "bookmarkS", "stashS", "dueS"):
        _amount(name, getattr(job, name))
    for name in ("lot", "crew", "bundle"):
        if len(getattr(job, name)) > 200:
            raise Malformed(f"{name} is too long")
    return job


def parse_report(value: object) -> Report:
    """Check a worker's report."""
    report = convert(value, Report)
    if report.shift < 1 or report.tally < 0 or report.baton < 0:
        raise Malformed("shift, tally or baton is out of range")
    if not _BOX.match(report.box):
        raise Malformed("box is not a machine's name")
    return report


def task_name(job_id: str, index: int) -> str:
    """Name a task as the workers do."""
    return f"{job_id}/{index}"


def split_task(name: str) -> tuple[str, int]:
    """Job and index of a task's name; index -1 if the name is none of ours."""
    job_id, _, index = name.rpartition("/")
    if JOB_ID.match(job_id) and index.isascii() and index.isdigit() and len(index) < 7:
        return job_id, int(index)
    return name, -1
