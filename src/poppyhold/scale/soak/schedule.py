"""The schedule of a soak run: drawn from a seed before the run, saved, and played again."""

from __future__ import annotations

import random
from enum import StrEnum
from pathlib import Path

import msgspec

# Bounds of a schedule.
MAX_WORKERS, MAX_CONTROLLERS, MAX_SECONDS = 2_000, 9, 3_600.0


class ScheduleError(Exception):
    """A schedule is invalid; the message names the field."""


class FaultKind(StrEnum):
    """What a fault does."""

    KILL = "kill"
    FREEZE = "freeze"
    # The leader is killed, and each next one.
    END_LEADERS = "end_leaders"
    STATE_OUT = "state_out"
    # The state service refuses one controller.
    STATE_REFUSES = "state_refuses"
    STATE_SLOW = "state_slow"
    # Transactions are carried out and not answered, at once or seconds later.
    STATE_ANSWERS_LOST = "state_answers_lost"
    STATE_LATE = "state_late"
    # A controller and its peers don't hear each other; or only its peers don't hear it.
    CUT_PEERS = "cut_peers"
    CUT_PEERS_ONE_WAY = "cut_peers_one_way"
    WORKERS_HANG = "workers_hang"
    # Responses and direct commands don't reach these workers; their heartbeats arrive.
    WORKERS_INBOUND_LOST = "workers_inbound_lost"
    # Heartbeats of these workers reach no controller; direct commands reach them.
    WORKERS_HEARTBEATS_LOST = "workers_heartbeats_lost"
    WORKERS_RESTART = "workers_restart"
    # Copies of heartbeats arrive late, or when the next leader begins.
    HEARTBEATS_COPIED = "heartbeats_copied"
    HEARTBEATS_TO_NEXT_LEADER = "heartbeats_to_next_leader"
    # Direct commands are executed seconds late and not answered.
    COMMANDS_LATE = "commands_late"
    # Direct commands that were executed are delivered again: seconds later, and as a controller is killed.
    COMMANDS_REPEATED = "commands_repeated"
    # Users cancel several jobs at once.
    CANCEL_BURST = "cancel_burst"


class SoakFault(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One fault; times count from the end of the warm-up."""

    kind: FaultKind
    at_s: float
    for_s: float
    # Index of the affected controller; -1: the leader at that time.
    controller: int = -1
    # Share of the affected workers, messages or jobs.
    share: float = 1.0


class SoakJob(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One job and what its user does."""

    at_s: float
    is_service: bool
    tasks: int
    run_s: float
    # How long after its acceptance its user cancels it; None: not, unless a burst of cancellations does.
    cancel_after_s: float | None = None
    # Whether the submission and the cancellation are repeated at another controller.
    repeats: bool = False
    # Whether its user asks every controller within milliseconds of each answer.
    queries_all: bool = False


class SoakSchedule(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Everything that is drawn for a run."""

    seed: int
    workers: int
    controllers: int
    # All faults have ended by then.
    faults_end_s: float
    faults: list[SoakFault]
    jobs: list[SoakJob]


# Times in seconds: when the faults have ended, and how long a long and a short fault last.
_FAULTS_END_S = 45.0
_SHORT_S, _LONG_S = (0.5, 5.0), (5.0, 26.0)
_LONG_KINDS = frozenset(
    {
        FaultKind.STATE_OUT,
        FaultKind.STATE_REFUSES,
        FaultKind.CUT_PEERS,
        FaultKind.CUT_PEERS_ONE_WAY,
        FaultKind.WORKERS_INBOUND_LOST,
        FaultKind.WORKERS_HEARTBEATS_LOST,
        FaultKind.STATE_LATE,
        FaultKind.COMMANDS_LATE,
        FaultKind.HEARTBEATS_COPIED,
        FaultKind.HEARTBEATS_TO_NEXT_LEADER,
    }
)
_CONTROLLER_KINDS = frozenset(
    {
        FaultKind.KILL,
        FaultKind.FREEZE,
        FaultKind.STATE_REFUSES,
        FaultKind.CUT_PEERS,
        FaultKind.CUT_PEERS_ONE_WAY,
    }
)
# Kinds that begin several times as often as the others: each meets the rules on cancellations.
_FREQUENT_KINDS = (
    FaultKind.CANCEL_BURST,
    FaultKind.CANCEL_BURST,
    FaultKind.STATE_OUT,
    FaultKind.COMMANDS_LATE,
)
# Drawn once a run, after everything else, so that a seed's other draws are the same without it.
_LAST_KIND = FaultKind.COMMANDS_REPEATED
_DRAWN_KINDS = tuple(kind for kind in FaultKind if kind is not _LAST_KIND)
# How many groups of faults there are, how many faults each has, and within how many seconds they begin.
_GROUPS, _GROUP_SIZES, _WITHIN_GROUP_S = (3, 5), (2, 3), (0.0, 4.0)
# Shares of long faults among the kinds that may be long, and of faults that may hit another than the leader.
_LONG_SHARE, _ANY_CONTROLLER_SHARE = 0.6, 0.4
_JOBS_PER_WORKER = 1.5
# Shares of services, and of users that repeat their requests or ask every controller.
_SERVICE_SHARE, _INSISTENT_SHARE = 0.5, 0.3


def draw_schedule(seed: int, workers: int, controllers: int) -> SoakSchedule:
    """Draw a schedule: groups of two or three overlapping faults, and jobs all the while."""
    rng = random.Random(seed)
    faults: list[SoakFault] = []
    for _ in range(rng.randint(*_GROUPS)):
        begins_at = rng.uniform(2.0, _FAULTS_END_S - _SHORT_S[1])
        faults += [
            _draw_fault(rng, begins_at + rng.uniform(*_WITHIN_GROUP_S), controllers)
            for _ in range(rng.randint(*_GROUP_SIZES))
        ]
        # Some cancellations fall into the first seconds of the group.
        burst_at = begins_at + rng.uniform(*_WITHIN_GROUP_S)
        faults.append(SoakFault(FaultKind.CANCEL_BURST, burst_at, 0.0, share=rng.uniform(0.1, 0.5)))
    jobs = [_draw_job(rng) for _ in range(int(workers * _JOBS_PER_WORKER))]
    faults.append(
        SoakFault(_LAST_KIND, rng.uniform(*_SHORT_S), rng.uniform(*_LONG_S), share=rng.choice([0.3, 1.0]))
    )
    return SoakSchedule(
        seed,
        workers,
        controllers,
        _FAULTS_END_S,
        sorted(faults, key=lambda fault: fault.at_s),
        sorted(jobs, key=lambda job: job.at_s),
    )


def _draw_fault(rng: random.Random, at_s: float, controllers: int) -> SoakFault:
    kind = rng.choice([*_DRAWN_KINDS, *_FREQUENT_KINDS])
    at_s = min(at_s, _FAULTS_END_S)
    is_long = kind in _LONG_KINDS and rng.random() < _LONG_SHARE
    for_s = rng.uniform(*(_LONG_S if is_long else _SHORT_S))
    is_of_any_controller = kind in _CONTROLLER_KINDS and rng.random() < _ANY_CONTROLLER_SHARE
    controller = rng.randrange(controllers) if is_of_any_controller else -1
    return SoakFault(
        kind, at_s, min(for_s, _FAULTS_END_S - at_s), controller, rng.choice([0.1, 0.3, 0.6, 1.0])
    )


def _draw_job(rng: random.Random) -> SoakJob:
    cancel_after_s = rng.choice([0.0, rng.uniform(0.0, 3.0), rng.uniform(0.0, 30.0), None])
    return SoakJob(
        at_s=rng.uniform(0.0, _FAULTS_END_S),
        is_service=rng.random() < _SERVICE_SHARE,
        tasks=rng.choice([1, 1, 2, 3]),
        run_s=rng.choice([2.0, 8.0, 20.0]),
        cancel_after_s=cancel_after_s,
        repeats=rng.random() < _INSISTENT_SHARE,
        queries_all=rng.random() < _INSISTENT_SHARE,
    )


def save_schedule(schedule: SoakSchedule, path: Path) -> None:
    """Write a schedule as JSON."""
    path.write_bytes(msgspec.json.format(msgspec.json.encode(schedule)))


def load_schedule(path: Path) -> SoakSchedule:
    """Read a schedule.

    Raises:
        ScheduleError: the file cannot be read, or a field is missing, unknown or out of bounds.

    """
    try:
        schedule = msgspec.json.decode(path.read_bytes(), type=SoakSchedule)
    except OSError as error:
        raise ScheduleError(f"{path}: {error.strerror}") from error
    except msgspec.DecodeError as error:
        raise ScheduleError(f"{path}: {error}") from error
    _check(schedule)
    return schedule


def _check(schedule: SoakSchedule) -> None:
    _check_number("workers", schedule.workers, 1, MAX_WORKERS)
    _check_number("controllers", schedule.controllers, 1, MAX_CONTROLLERS)
    _check_number("faults_end_s", schedule.faults_end_s, 0.0, MAX_SECONDS)
    for index, fault in enumerate(schedule.faults):
        where = f"faults[{index}]"
        _check_number(f"{where}.at_s", fault.at_s, 0.0, schedule.faults_end_s)
        _check_number(f"{where}.for_s", fault.for_s, 0.0, schedule.faults_end_s - fault.at_s)
        _check_number(f"{where}.controller", fault.controller, -1, schedule.controllers - 1)
        _check_number(f"{where}.share", fault.share, 0.0, 1.0)
    for index, job in enumerate(schedule.jobs):
        where = f"jobs[{index}]"
        _check_number(f"{where}.at_s", job.at_s, 0.0, schedule.faults_end_s)
        _check_number(f"{where}.tasks", job.tasks, 1, MAX_WORKERS)
        _check_number(f"{where}.run_s", job.run_s, 0.0, MAX_SECONDS)
        if job.cancel_after_s is not None:
            _check_number(f"{where}.cancel_after_s", job.cancel_after_s, 0.0, MAX_SECONDS)


def _check_number(field: str, value: float, low: float, high: float) -> None:
    if not low <= value <= high:
        raise ScheduleError(f"{field}: must be within {low:g} and {high:g}")
