"""The messages of the outside protocols, in their own words, and the codec of their bodies."""

from __future__ import annotations

import math
import re
from collections.abc import Iterable
from enum import StrEnum
from typing import Any, Literal, TypeVar

import cbor2
import msgspec

BODY_LIMIT = 64 * 1024
# Machines' names become keys of the state service: one that can't be a key would be tried there for ever.
_MACHINE_NAME = re.compile(r"[A-Za-z0-9._:-]{1,120}\Z")
JOB_ID = re.compile(r"job-[0-9]{6,18}\Z", re.ASCII)
PriorityName = Literal["critical", "high", "standard", "best_effort"]
PRIORITIES: tuple[PriorityName, ...] = ("critical", "high", "standard", "best_effort")

T = TypeVar("T")


class MalformedError(Exception):
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
# Tasks whose machine has their image, once they are seen.
HAS_IMAGE = frozenset({TaskState.WAITING, TaskState.RUNNING})
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

    name: str = msgspec.field(name="nameId")
    job_class: str = msgspec.field(name="lot")
    team: str = msgspec.field(name="crew")
    shape: Literal["array", "service", "group"]
    priority: PriorityName = msgspec.field(name="rank")
    tasks: int = msgspec.field(name="chores")
    cpus: float
    accelerators: float
    memory_gb: float = msgspec.field(name="memGb")
    image: str = msgspec.field(name="bundle")
    image_gb: float = msgspec.field(name="sizeGb")
    one_zone: bool = msgspec.field(name="samePlace")
    spread: bool = msgspec.field(name="apart")
    spot: bool = msgspec.field(name="loaners")
    estimate_s: float = msgspec.field(name="guessS")
    checkpoint_s: float = msgspec.field(name="bookmarkS")
    save_s: float = msgspec.field(name="stashS")
    machine_types: list[str] | None = msgspec.field(name="builds", default=None)
    zone: str | None = msgspec.field(name="paddock", default=None)
    deadline_s: float | None = msgspec.field(name="dueS", default=None)


class TaskStatus(msgspec.Struct, frozen=True):
    """A task in a worker's report."""

    task: str = msgspec.field(name="chore")
    attempt: int = msgspec.field(name="try")
    status: str
    cause: str | None = None
    kept: bool | None = None


class CommandKind(StrEnum):
    """What a worker is told to do with a task."""

    START = "run"
    STOP = "stop"
    FORGET = "reap"


class Command(msgspec.Struct, frozen=True, omit_defaults=True):
    """A command to a worker, in the answer to its report or sent directly."""

    kind: CommandKind = msgspec.field(name="verb")
    task: str = msgspec.field(name="chore")
    attempt: int = msgspec.field(name="try")
    # Time to save, in seconds; with every stop.
    grace_s: float | None = msgspec.field(name="leewayS", default=None)


class HeartbeatResponse(msgspec.Struct, frozen=True):
    """The answer to a report, which renews the worker's lease."""

    fencing_token: int = msgspec.field(name="baton")
    commands: list[Command] = msgspec.field(name="orders", default_factory=list)

    def body(self) -> dict[str, Any]:
        """As it is sent."""
        return {"baton": self.fencing_token, "orders": msgspec.to_builtins(self.commands)}


def direct_commands(fencing_token: int, incarnation: int, commands: Iterable[Command]) -> dict[str, Any]:
    """POST /do."""
    return {"baton": fencing_token, "shift": incarnation, "orders": msgspec.to_builtins(list(commands))}


class Heartbeat(msgspec.Struct, frozen=True):
    """POST /hello, and the answers of /do and /show."""

    machine: str = msgspec.field(name="box")
    endpoint: str
    machine_type: str = msgspec.field(name="build")
    zone: str = msgspec.field(name="paddock")
    spot: bool = msgspec.field(name="loaners")
    incarnation: int = msgspec.field(name="shift")
    sequence: int = msgspec.field(name="tally")
    fencing_token: int = msgspec.field(name="baton")
    notice_s: float | None = msgspec.field(name="recallS", default=None)
    tasks: list[TaskStatus] = msgspec.field(name="chores", default_factory=list)


class MachineType(msgspec.Struct, frozen=True):
    """A machine type."""

    name: str
    cpus: float
    accelerators: float
    memory_gb: float = msgspec.field(name="memGb")
    cache_gb: float = msgspec.field(name="localGb")
    fetch_gb_per_s: float = msgspec.field(name="pullGbPerS")
    price: float = msgspec.field(name="rate")
    spot_price: float = msgspec.field(name="marketPrice")
    boot_s: float = msgspec.field(name="startupS")
    zones: list[str] = msgspec.field(name="paddocks")


class MachineTypes(msgspec.Struct, frozen=True):
    """GET /machine_types."""

    machine_types: list[MachineType] = msgspec.field(name="builds")


class Listed(msgspec.Struct, frozen=True):
    """A machine in the cloud's list."""

    name: str = msgspec.field(name="nameId")
    machine_type: str = msgspec.field(name="build")
    zone: str = msgspec.field(name="paddock")
    spot: bool = msgspec.field(name="loaners")
    status: str
    endpoint: str | None = None
    age_s: float = msgspec.field(name="heldS", default=0.0)


class MachineList(msgspec.Struct, frozen=True):
    """GET /machines."""

    machines: list[Listed] = msgspec.field(name="boxes")
    more: bool = False


class Listing(msgspec.Struct, frozen=True):
    """All pages of the cloud's list, and when the first of them was asked for, on our steady clock.

    A long list takes a while to read: what it says may be as old as its beginning, and a lag more.
    """

    machines: list[Listed]
    began_at: float


class LaunchRequest(msgspec.Struct, frozen=True):
    """POST /machines."""

    request_id: str = msgspec.field(name="hire")
    machine_type: str = msgspec.field(name="build")
    zone: str = msgspec.field(name="paddock")
    spot: bool = msgspec.field(name="loaners")
    number: int


class LaunchResponse(msgspec.Struct, frozen=True):
    """The answer to POST /machines."""

    machines: list[str] = msgspec.field(name="boxes")


def encode(body: object) -> bytes:
    """Encode a body."""
    return cbor2.dumps(body)


def decode(body: bytes) -> dict[str, Any]:
    """Decode a body, which must be a map."""
    try:
        value = cbor2.loads(body)
    except Exception as error:  # cbor2 raises many kinds on hostile input
        raise MalformedError("not CBOR") from error
    if not isinstance(value, dict):
        raise MalformedError("not a map")
    return value


def convert(value: object, kind: type[T]) -> T:
    """Check a decoded body against a message."""
    try:
        return msgspec.convert(value, kind)
    except (msgspec.ValidationError, OverflowError, RecursionError, TypeError) as error:
        raise MalformedError(str(error)) from error


def _amount(name: str, value: float | None) -> None:
    if value is not None and not (math.isfinite(value) and value >= 0):
        raise MalformedError(f"{name} must be a finite amount, not negative")


def _encoded(*attributes: str) -> list[tuple[str, str]]:
    """Attributes of a submission with the names that users know them by."""
    names = {field.name: field.encode_name for field in msgspec.structs.fields(Submission)}
    return [(attribute, names[attribute]) for attribute in attributes]


_AMOUNTS = _encoded(
    "cpus",
    "accelerators",
    "memory_gb",
    "image_gb",
    "estimate_s",
    "checkpoint_s",
    "save_s",
    "deadline_s",
)
_TEXTS = _encoded("job_class", "team", "image")
_LONGEST_TEXT = 200
_MOST_TASKS = 100_000
# Digits of a task's index: one below the most tasks of a job has no more than these.
_MOST_DIGITS = 6


def parse_submission(value: object) -> Submission:
    """Check a submission: everything that PROTOCOL answers with 400."""
    job = convert(value, Submission)
    if not JOB_ID.match(job.name):
        raise MalformedError("nameId is not of the form job-000412")
    if not 1 <= job.tasks <= _MOST_TASKS:
        raise MalformedError("chores must be within 1 and 100000")
    for attribute, encoded in _AMOUNTS:
        _amount(encoded, getattr(job, attribute))
    for attribute, encoded in _TEXTS:
        if len(getattr(job, attribute)) > _LONGEST_TEXT:
            raise MalformedError(f"{encoded} is too long")
    return job


def parse_heartbeat(value: object) -> Heartbeat:
    """Check a worker's report."""
    heartbeat = convert(value, Heartbeat)
    if heartbeat.incarnation < 1 or heartbeat.sequence < 0 or heartbeat.fencing_token < 0:
        raise MalformedError("shift, tally or baton is out of range")
    if not _MACHINE_NAME.match(heartbeat.machine):
        raise MalformedError("box is not a machine's name")
    return heartbeat


def task_name(job_id: str, index: int) -> str:
    """Name a task as the workers do."""
    return f"{job_id}/{index}"


def split_task(name: str) -> tuple[str, int]:
    """Job and index of a task's name; index -1 if the name is none of ours."""
    job_id, _, index = name.rpartition("/")
    if JOB_ID.match(job_id) and index.isascii() and index.isdigit() and len(index) <= _MOST_DIGITS:
        return job_id, int(index)
    return name, -1
