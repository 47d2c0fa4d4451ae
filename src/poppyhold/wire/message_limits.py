"""What the limit on bodies allows a machine, whose heartbeat lists every task.

The limit counts the JSON form of a body. An entry is one task in a heartbeat or one command in its response,
with the separator that follows it.
"""

from __future__ import annotations

from typing import Any, Final, TypeVar

import msgspec

from poppyhold.wire.codec import MAX_BODY_BYTES
from poppyhold.wire.task_names import MAX_TASKS, task_name
from poppyhold.wire.worker_messages import Command, CommandKind, ExitCause, TaskState, TaskStatus

T = TypeVar("T")

_SEPARATOR_BYTES = len(",")
# The protocol's integers are below 2^64.
MAX_ATTEMPT_DIGITS: Final = len(str(2**64 - 1))
# Everything in a heartbeat or a response but the entries: names of the machine, its address, type and zone.
_HEADER_BYTES = 1024
# A number that takes as many characters as any other.
_LONGEST_NUMBER = 1.7976931348623157e308
_GANG_CAUSES = frozenset({ExitCause.PEER_LOST, ExitCause.GANG_INCOMPLETE})

# All entries of a heartbeat or a response together.
MAX_ENTRIES_BYTES: Final = MAX_BODY_BYTES - _HEADER_BYTES
# A part is kept for starts that preempt: a stopped task stays listed until its worker has forgotten the exit.
_PREEMPTION_SHARE = 1 / 32
# What starts without preemption may use.
MAX_STARTED_ENTRIES_BYTES: Final = int(MAX_ENTRIES_BYTES * (1 - _PREEMPTION_SHARE))


def json_bytes(body: Any) -> int:
    """Return the size of a body in JSON form, in bytes."""
    return len(msgspec.json.encode(body))


def entry_bytes(entry: TaskStatus | Command) -> int:
    """Return the size of one entry of a heartbeat or a response."""
    return json_bytes(entry) + _SEPARATOR_BYTES


def _overhead_bytes(causes: frozenset[ExitCause]) -> int:
    """Return the size of the largest entry of tasks that end with these causes, without name and number."""
    attempt, shown = 0, len("0")
    entries: list[TaskStatus | Command] = [
        TaskStatus("", attempt, status, cause, kept)
        for status, cause, kept in [
            *((state, None, None) for state in TaskState if state is not TaskState.EXITED),
            *((TaskState.EXITED, cause, False) for cause in causes),
        ]
    ]
    entries += [Command(kind, "", attempt, _LONGEST_NUMBER) for kind in CommandKind]
    return max(entry_bytes(entry) for entry in entries) - shown


_GANG_OVERHEAD_BYTES = _overhead_bytes(frozenset(ExitCause))
_OVERHEAD_BYTES = _overhead_bytes(frozenset(ExitCause) - _GANG_CAUSES)


def max_entry_bytes(job_id: str, is_gang: bool, attempt_digits: int = MAX_ATTEMPT_DIGITS) -> int:
    """Return the size of the largest entry that a task of a job ever has.

    It is the same for small and large jobs, as what jobs have in common is computed once for equal needs.
    """
    name_bytes = len(task_name(job_id, MAX_TASKS - 1))
    return (_GANG_OVERHEAD_BYTES if is_gang else _OVERHEAD_BYTES) + name_bytes + attempt_digits


def newest_that_fit(entries: list[T], max_bytes: int) -> list[T]:
    """Return the last of these entries, at least half of those that fit into so many bytes in JSON form."""
    while entries and json_bytes(entries) > max_bytes:
        entries = entries[(len(entries) + 1) // 2 :]
    return entries


def commands_that_fit(commands: list[Command]) -> list[Command]:
    """Return the first of these commands that fit into one response."""
    remaining = MAX_ENTRIES_BYTES
    for count, command in enumerate(commands):
        remaining -= entry_bytes(command)
        if remaining < 0:
            return commands[:count]
    return commands
