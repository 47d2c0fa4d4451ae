"""The users' protocol: job submissions."""

from __future__ import annotations

import math
from typing import Literal

import msgspec

from poppyhold.wire import field_names as names
from poppyhold.wire.codec import MalformedError, convert
from poppyhold.wire.task_names import JOB_ID, MAX_TASKS

PriorityName = Literal["critical", "high", "standard", "best_effort"]
PRIORITIES: tuple[PriorityName, ...] = ("critical", "high", "standard", "best_effort")

_MAX_TEXT_CHARACTERS = 200


class Submission(msgspec.Struct, frozen=True, kw_only=True):
    """POST /api/jobs."""

    name: str = msgspec.field(name=names.NAME)
    job_class: str = msgspec.field(name=names.JOB_CLASS)
    team: str = msgspec.field(name=names.TEAM)
    shape: Literal["array", "service", "group"]
    priority: PriorityName = msgspec.field(name=names.PRIORITY)
    tasks: int = msgspec.field(name=names.TASKS)
    cpus: float
    accelerators: float
    memory_gb: float = msgspec.field(name=names.MEMORY_GB)
    image: str = msgspec.field(name=names.IMAGE)
    image_gb: float = msgspec.field(name=names.IMAGE_GB)
    one_zone: bool = msgspec.field(name=names.ONE_ZONE)
    spread: bool = msgspec.field(name=names.SPREAD)
    spot: bool = msgspec.field(name=names.SPOT)
    estimate_s: float = msgspec.field(name=names.ESTIMATE_S)
    checkpoint_s: float = msgspec.field(name=names.CHECKPOINT_S)
    save_s: float = msgspec.field(name=names.SAVE_S)
    machine_types: list[str] | None = msgspec.field(name=names.MACHINE_TYPES, default=None)
    zone: str | None = msgspec.field(name=names.ZONE, default=None)
    deadline_s: float | None = msgspec.field(name=names.DEADLINE_S, default=None)


def _check_amount(name: str, value: float | None) -> None:
    if value is not None and not (math.isfinite(value) and value >= 0):
        raise MalformedError(f"{name} must be a finite amount, not negative")


def _with_encoded_names(*attributes: str) -> list[tuple[str, str]]:
    """Return attributes of a submission, each with its name in the protocol."""
    names = {field.name: field.encode_name for field in msgspec.structs.fields(Submission)}
    return [(attribute, names[attribute]) for attribute in attributes]


_AMOUNTS = _with_encoded_names(
    "cpus",
    "accelerators",
    "memory_gb",
    "image_gb",
    "estimate_s",
    "checkpoint_s",
    "save_s",
    "deadline_s",
)
_TEXTS = _with_encoded_names("job_class", "team", "image")


def parse_submission(value: object) -> Submission:
    """Validate a submission; a `MalformedError` is answered with 400, as PROTOCOL says."""
    job = convert(value, Submission)
    if not JOB_ID.match(job.name):
        raise MalformedError("nameId is not of the form job-000412")
    if not 1 <= job.tasks <= MAX_TASKS:
        raise MalformedError("chores must be within 1 and 100000")
    for attribute, encoded in _AMOUNTS:
        _check_amount(encoded, getattr(job, attribute))
    for attribute, encoded in _TEXTS:
        if len(getattr(job, attribute)) > _MAX_TEXT_CHARACTERS:
            raise MalformedError(f"{encoded} is too long")
    return job
