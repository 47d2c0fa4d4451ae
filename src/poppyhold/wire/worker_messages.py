"""The workers' protocol: heartbeats, responses to them, and direct commands."""

from __future__ import annotations

import re
from enum import StrEnum

import msgspec

from poppyhold.wire import field_names as names
from poppyhold.wire.codec import Body, MalformedError, convert

# Machine names become keys of the state service: a write with an invalid key would be retried forever.
_MACHINE_NAME = re.compile(r"[A-Za-z0-9._:-]{1,120}\Z")


class TaskState(StrEnum):
    """State of a task in a heartbeat; `SENT`, never sent, is an attempt that no heartbeat has shown yet."""

    SENT = "sent"
    FETCHING = "pulling"
    WAITING = "waiting"
    RUNNING = "running"
    SAVING = "flushing"
    EXITED = "ended"


# Tasks whose machine does not have their image yet.
BEFORE_IMAGE = frozenset({TaskState.SENT, TaskState.FETCHING})
# Tasks in these states show that their machine has their image.
HAS_IMAGE = frozenset({TaskState.WAITING, TaskState.RUNNING})
# Tasks that may be stopped to free capacity.
STOPPABLE = frozenset({TaskState.FETCHING, TaskState.WAITING, TaskState.RUNNING})
# Tasks that are reported to users as running.
IN_PROGRESS = frozenset({TaskState.RUNNING, TaskState.SAVING})


class ExitCause(StrEnum):
    """Why a task exited."""

    DONE = "done"
    STOPPED = "stopped"
    ERROR = "error"
    INSUFFICIENT_RESOURCES = "no_room"
    BUSY = "busy"
    UNKNOWN_TASK = "no_such"
    PEER_LOST = "mates_gone"
    GANG_INCOMPLETE = "alone"


class TaskStatus(msgspec.Struct, frozen=True):
    """A task in a worker's heartbeat."""

    task: str = msgspec.field(name=names.TASK)
    attempt: int = msgspec.field(name=names.ATTEMPT)
    status: str
    cause: str | None = None
    kept: bool | None = None


class CommandKind(StrEnum):
    """What a worker is to do with a task."""

    START = "run"
    STOP = "stop"
    FORGET = "reap"


class Command(msgspec.Struct, frozen=True, omit_defaults=True):
    """A command to a worker, in the response to its heartbeat or sent directly."""

    kind: CommandKind = msgspec.field(name=names.COMMAND_KIND)
    task: str = msgspec.field(name=names.TASK)
    attempt: int = msgspec.field(name=names.ATTEMPT)
    # Time to save, in seconds; set in every stop command.
    grace_s: float | None = msgspec.field(name=names.GRACE_S, default=None)


class HeartbeatResponse(Body, frozen=True):
    """The response to a heartbeat, which renews the worker's lease."""

    fencing_token: int = msgspec.field(name=names.FENCING_TOKEN)
    commands: list[Command] = msgspec.field(name=names.COMMANDS, default_factory=list)


class Redirect(Body, frozen=True):
    """The response that redirects a worker to another controller: the leader or a relay."""

    controller: str = msgspec.field(name=names.CONTROLLER)


class DirectCommandsRequest(Body, frozen=True):
    """POST /do: direct commands to a worker, which any other incarnation of it ignores."""

    fencing_token: int = msgspec.field(name=names.FENCING_TOKEN)
    incarnation: int = msgspec.field(name=names.INCARNATION)
    commands: list[Command] = msgspec.field(name=names.COMMANDS)


class Heartbeat(msgspec.Struct, frozen=True):
    """POST /hello, and the responses of /do and /show."""

    machine: str = msgspec.field(name=names.MACHINE)
    endpoint: str
    machine_type: str = msgspec.field(name=names.MACHINE_TYPE)
    zone: str = msgspec.field(name=names.ZONE)
    spot: bool = msgspec.field(name=names.SPOT)
    incarnation: int = msgspec.field(name=names.INCARNATION)
    sequence: int = msgspec.field(name=names.SEQUENCE)
    fencing_token: int = msgspec.field(name=names.FENCING_TOKEN)
    notice_s: float | None = msgspec.field(name=names.PREEMPTION_NOTICE_S, default=None)
    tasks: list[TaskStatus] = msgspec.field(name=names.TASKS, default_factory=list)


def parse_heartbeat(value: object) -> Heartbeat:
    """Validate a worker's heartbeat.

    Raises:
        MalformedError: a field is missing or of the wrong type, a number out of range or the name invalid.

    """
    heartbeat = convert(value, Heartbeat)
    if heartbeat.incarnation < 1 or heartbeat.sequence < 0 or heartbeat.fencing_token < 0:
        raise MalformedError("shift, tally or baton is out of range")
    if not _MACHINE_NAME.match(heartbeat.machine):
        raise MalformedError("box is not a machine's name")
    return heartbeat
