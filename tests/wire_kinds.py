"""The types of everything that is stored or sent, by its outer name.

This is the only place where `test_wire_forms.py` names types of the program. `sample` fills a type with
values from its fields' types alone, in the form in which it is stored or sent.
"""

from __future__ import annotations

import itertools
from collections.abc import Iterator
from typing import Any

from msgspec import inspect

from poppyhold.cluster.peer_messages import Ping, Pong
from poppyhold.durable.records import (
    CompletionsRecord,
    FencingTokenRecord,
    FinalRecord,
    LaunchRecord,
    LeaderRecord,
    MachineRecord,
    PlanRecord,
    WriteFenceRecord,
)
from poppyhold.quota.messages import (
    NotLeading,
    StatusRequest,
    StatusResponse,
    TransferRequest,
    TransferResponse,
)
from poppyhold.quota.records import AllocationRecord, IdentityRecord, PeerRecord
from poppyhold.quota.status import QuotaStatus
from poppyhold.relay.messages import HeartbeatBatch, RelayHello, RelayOutcome, ResponseBatch
from poppyhold.scale.cells import CellsResult
from poppyhold.scale.profile import Profile
from poppyhold.scale.result import Result
from poppyhold.settings import Settings
from poppyhold.wire.cloud_messages import (
    DeletionRequest,
    LaunchRequest,
    LaunchResponse,
    MachineListPage,
    MachineTypes,
)
from poppyhold.wire.user_messages import PriorityName, Submission
from poppyhold.wire.worker_messages import (
    Command,
    CommandKind,
    DirectCommandsRequest,
    ExitCause,
    Heartbeat,
    HeartbeatResponse,
    Redirect,
    TaskState,
)

# Maps: values of the state service, bodies of the external protocols, files that are read, and JSON output.
MAPS: dict[str, Any] = {
    "ph/a/JOB, spec": Submission,
    "ph/b": FencingTokenRecord,
    "ph/c": WriteFenceRecord,
    "ph/d/JOB/N": CompletionsRecord,
    "ph/e/JOB/N": CompletionsRecord,
    "ph/f/JOB": FinalRecord,
    "ph/h/HIRE": LaunchRecord,
    "ph/l/lead": LeaderRecord,
    "ph/m/MACHINE": MachineRecord,
    "ph/p/JOB": PlanRecord,
    "ph/q/c/CELL": PeerRecord,
    "ph/q/i": IdentityRecord,
    "ph/q/s/TEAM": AllocationRecord,
    "ph/t": MachineTypes,
    "ph/t/N": MachineTypes,
    "POST /api/jobs": Submission,
    "POST /hello": Heartbeat,
    "POST /hello, answer": HeartbeatResponse,
    "POST /hello, answer of another one": Redirect,
    "POST /do": DirectCommandsRequest,
    "POST /do, order": Command,
    "POST /do, answer": Heartbeat,
    "GET /machine_types, answer": MachineTypes,
    "GET /machines, answer": MachineListPage,
    "POST /machines": LaunchRequest,
    "POST /machines, answer": LaunchResponse,
    "POST /machines/delete": DeletionRequest,
    "settings file": Settings,
    "scale profile": Profile,
    "scale --json": Result,
    "scale --json, cells": CellsResult,
    "quota status --json": QuotaStatus,
}

# Tagged tuples between controllers, by tag.
MESSAGES: dict[str, Any] = {
    "ping": Ping,
    "pong": Pong,
    "relay": RelayHello,
    "reports": HeartbeatBatch,
    "answers": ResponseBatch,
    "share": TransferRequest,
    "shared": TransferResponse,
    "elsewhere": NotLeading,
    "share?": StatusRequest,
    "share!": StatusResponse,
}

# Words and numbers with a fixed meaning.
WORDS: dict[str, Any] = {
    "task status": TaskState,
    "task cause": ExitCause,
    "order verb": CommandKind,
    "relayed answer": RelayOutcome,
    "rank": PriorityName,
}


def words(kind: Any) -> list[Any]:
    """All words of a closed set."""
    return _words(inspect.type_info(kind))


def _words(kind: Any) -> list[Any]:
    if isinstance(kind, inspect.EnumType):
        return sorted(member.value for member in kind.cls)
    return sorted(kind.values)


def sample(kind: Any, only_required: bool = False) -> Any:
    """A value of a type as it is stored or sent: all fields, none at its default, or those required."""
    return _sample(inspect.type_info(kind), only_required, itertools.count(1))


def _sample(kind: Any, only_required: bool, numbers: Iterator[int], default: object = None) -> Any:
    if isinstance(kind, inspect.UnionType):
        kind = next(each for each in kind.types if not isinstance(each, inspect.NoneType))
    if isinstance(kind, inspect.StructType):
        return _struct(kind, only_required, numbers)
    if isinstance(kind, inspect.DictType):
        key = str(_sample(kind.key_type, only_required, numbers))
        return {key: _sample(kind.value_type, only_required, numbers)}
    items = _item_types(kind)
    if items is not None:
        return [_sample(item, only_required, numbers) for item in items]
    return _scalar(kind, numbers, default)


def _struct(kind: inspect.StructType, only_required: bool, numbers: Iterator[int]) -> Any:
    fields = {
        field.encode_name: _sample(field.type, only_required, numbers, field.default)
        for field in kind.fields
        if field.required or not only_required
    }
    if not kind.array_like:
        return fields
    return [*([kind.tag] if kind.tag else []), *fields.values()]


def _item_types(kind: Any) -> list[Any] | None:
    """The item types of a list's sample; None if the type is no list."""
    if isinstance(kind, inspect.ListType | inspect.VarTupleType | inspect.CollectionType):
        return [kind.item_type] * 2
    if isinstance(kind, inspect.NamedTupleType):
        return [field.type for field in kind.fields]
    return list(kind.item_types) if isinstance(kind, inspect.TupleType) else None


def _scalar(kind: Any, numbers: Iterator[int], default: object) -> Any:
    match kind:
        case inspect.BoolType():
            return default is not True
        case inspect.IntType():
            return next(numbers)
        case inspect.FloatType():
            return next(numbers) + 0.5
        case inspect.StrType() | inspect.AnyType():
            return f"text-{next(numbers)}"
        case inspect.EnumType() | inspect.LiteralType():
            return next(word for word in reversed(_words(kind)) if word != default)
    raise TypeError(f"no sample of {kind}")
