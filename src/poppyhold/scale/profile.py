"""What a scale run plays: its fleet, its load, its troubles and its bounds, read from TOML and checked."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Literal

import msgspec

# Where the profiles are that come with the program.
PROFILES = Path(__file__).parent / "profiles"


class ProfileError(Exception):
    """A profile that can't be used; the text names the field."""


class MachineShape(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A machine type, and the share of the workers that are of it."""

    name: str
    share: float
    cpus: float
    accelerators: float
    memory_gb: float


class JobClass(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Jobs of one kind: what they take, how many there are at the start, and how often they come."""

    name: str
    shape: Literal["array", "service"]
    priority: Literal["critical", "high", "standard", "best_effort"]
    tasks: int
    cpus: float
    accelerators: float
    initial: int = 0
    per_second: float = 0.0
    # Run time of a task, give or take a third; a service's tasks run until it is cancelled.
    run_s: float = 30.0
    # Share of its jobs that their users cancel.
    cancelled: float = 0.0


class Fault(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Something that happens at a moment of the measured time."""

    at_s: float
    kind: Literal["kill_leader", "restart_workers", "freeze_leader", "cut_links", "cut_links_one_way"]
    # Share of the workers that restart.
    share: float = 0.1
    # How long a killed or frozen controller, a restarted worker or the links of a cell are away.
    away_s: float = 5.0
    # Of several cells, the one that it is about.
    cell: int = 0


class StateLimits(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limits and latency of the state service."""

    rps: float = 800.0
    write_rps: float = 200.0
    value_kb: float = 16.0
    txn_ops: int = 12
    latency_ms: float = 3.0


class ControllerLimits(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What the settings tell a controller that it may use."""

    core_share: float = 0.8
    ram_mb: float = 326.0
    max_sockets: int = 1800


class Profile(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """One run. Times are seconds of real time."""

    name: str
    workers: int
    controllers: int = 6
    # Whether controllers relay heartbeats; `auto` is what they do without a word.
    relays: Literal["auto", "off", "forced"] = "auto"
    zones: list[str] = msgspec.field(default_factory=lambda: ["a", "b", "c"])
    teams: int = 4
    # Accelerators that each team may use at most, as a ratio to an equal share of the fleet's.
    team_limit: float = 2.0
    # The part of that limit which is guaranteed.
    team_guarantee: float = 0.0
    # Cells of this size that share the teams' limits; each has its own controllers and state service.
    cells: int = 1
    # The longest that a cell holds back what it used, in leases: see `cells.keep_leases` in the options.
    keep_leases: float = 1.0
    # The part of its first shares that a cell never gives away: see `cells.reserve` in the options.
    reserve: float = 0.0
    # Of several cells, one after the other gets most arrivals, for so long each; 0: all alike.
    wander_s: float = 0.0
    # The first class of jobs also comes in bursts of so many, in all cells at the same instant.
    burst_jobs: int = 0
    burst_every_s: float = 10.0
    heartbeat_interval_s: float = msgspec.field(name="report_s", default=2.5)
    lease_s: float = 15.25
    cancel_s: float = 45.25
    # From the start of the load until the measured time.
    warm_up_s: float = 60.0
    measured_s: float = 120.0
    # Bounds of the run itself: its time, and its share of the machine's memory.
    most_s: float = 900.0
    most_memory: float = 0.5
    state: StateLimits = StateLimits()
    limits: ControllerLimits = ControllerLimits()
    machine_types: list[MachineShape]
    jobs: list[JobClass]
    faults: list[Fault] = msgspec.field(name="troubles", default=[])


# Fields that must be within bounds for a run to mean anything.
_BOUNDS = {
    "workers": (1, 20_000),
    "controllers": (1, 16),
    "teams": (1, 1_000),
    "team_limit": (0.01, 1_000.0),
    "team_guarantee": (0.0, 1.0),
    "cells": (1, 8),
    "keep_leases": (0.1, 1_000.0),
    "reserve": (0.0, 1.0),
    "wander_s": (0.0, 3_600.0),
    "burst_jobs": (0, 10_000),
    "burst_every_s": (0.5, 3_600.0),
    "report_s": (0.5, 60.0),
    "lease_s": (2.0, 600.0),
    "cancel_s": (4.0, 1_200.0),
    "warm_up_s": (0.0, 3_600.0),
    "measured_s": (1.0, 3_600.0),
    "most_s": (5.0, 7_200.0),
    "most_memory": (0.01, 0.5),
}


def built_in() -> list[str]:
    """Names of the profiles that come with the program."""
    return sorted(path.stem for path in PROFILES.glob("*.toml"))


def load_profile(name_or_path: str) -> Profile:
    """Read a built-in profile by its name, or one from a file.

    Raises:
        ProfileError: it can't be read, or a field is missing, unknown or out of bounds.

    """
    path = PROFILES / f"{name_or_path}.toml"
    if not path.exists():
        path = Path(name_or_path)
    try:
        raw = tomllib.loads(path.read_text(encoding="utf-8"))
        profile = msgspec.convert(raw, Profile)
        _check(profile)
    except OSError as error:
        raise ProfileError(f"{name_or_path}: {error.strerror}; built in: {', '.join(built_in())}") from error
    except (UnicodeDecodeError, tomllib.TOMLDecodeError, msgspec.ValidationError, ValueError) as error:
        raise ProfileError(f"{name_or_path}: {error}") from error
    return profile


def _check(profile: Profile) -> None:
    values = msgspec.to_builtins(profile)
    for field, (low, high) in _BOUNDS.items():
        if not low <= values[field] <= high:
            raise ValueError(f"{field}: must be within {low} and {high}")
    if profile.cancel_s <= profile.lease_s:
        raise ValueError("cancel_s: must be above lease_s")
    if not profile.zones:
        raise ValueError("zones: must name a zone")
    if not profile.machine_types:
        raise ValueError("machine_types: must name one")
    for index, job in enumerate(profile.jobs):
        _check_job(f"jobs[{index}]", job, profile)
    for index, fault in enumerate(profile.faults):
        _check_fault(f"troubles[{index}]", fault, profile)


def _check_fault(where: str, fault: Fault, profile: Profile) -> None:
    if not 0 <= fault.cell < profile.cells:
        raise ValueError(f"{where}.cell: there are {profile.cells} cells")
    if fault.kind.startswith("cut_links") and profile.cells == 1:
        raise ValueError(f"{where}.kind: one cell has no links")
    if not 0 <= fault.at_s <= profile.measured_s:
        raise ValueError(f"{where}.at_s: must be within the measured time")


def _check_job(where: str, job: JobClass, profile: Profile) -> None:
    if job.tasks < 1:
        raise ValueError(f"{where}.tasks: must be at least 1")
    if job.initial < 0 or job.per_second < 0:
        raise ValueError(f"{where}.initial, per_second: must not be below 0")
    if not 0 <= job.cancelled <= 1:
        raise ValueError(f"{where}.cancelled: must be within 0 and 1")
    fits = any(
        job.cpus <= shape.cpus and job.accelerators <= shape.accelerators for shape in profile.machine_types
    )
    if not fits:
        raise ValueError(f"{where}.cpus, accelerators: fit no machine type")
