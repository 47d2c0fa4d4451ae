"""Profiles of scale runs: fleet, load, faults and bounds, read from TOML and checked."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Literal

import msgspec

# Directory of the built-in profiles.
PROFILES = Path(__file__).parent / "profiles"


class ProfileError(Exception):
    """A profile is invalid; the message names the field."""


class MachineShape(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A machine type, and the share of workers with it."""

    name: str
    share: float
    cpus: float
    accelerators: float
    memory_gb: float


class JobClass(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A class of jobs: resources, initial number and arrival rate."""

    name: str
    shape: Literal["array", "service"]
    priority: Literal["critical", "high", "standard", "best_effort"]
    tasks: int
    cpus: float
    accelerators: float
    initial: int = 0
    per_second: float = 0.0
    # Mean run time of a task, which varies by up to a third; tasks of a service run until it is cancelled.
    run_s: float = 30.0
    # Share of the class's jobs that users cancel.
    cancelled: float = 0.0


class Fault(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A fault injected at a given time of the measured time."""

    at_s: float
    kind: Literal["kill_leader", "restart_workers", "freeze_leader", "cut_links", "cut_links_one_way"]
    # Share of the workers to restart.
    share: float = 0.1
    # How long the controller is down or frozen, the workers are offline, or the links are cut.
    away_s: float = 5.0
    # Index of the affected cell.
    cell: int = 0


class StateLimits(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limits and latency of the state service."""

    rps: float = 800.0
    write_rps: float = 200.0
    value_kb: float = 16.0
    txn_ops: int = 12
    latency_ms: float = 3.0


class ControllerLimits(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Resource limits of a controller, as written to its settings file."""

    core_share: float = 0.8
    ram_mb: float = 326.0
    max_sockets: int = 1800


class Profile(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """One run. Times are in seconds of real time."""

    name: str
    workers: int
    controllers: int = 6
    # Whether controllers relay heartbeats; `auto` is their default.
    relays: Literal["auto", "off", "forced"] = "auto"
    zones: list[str] = msgspec.field(default_factory=lambda: ["a", "b", "c"])
    teams: int = 4
    # Each team's limit of accelerators, as a ratio to an equal share of the fleet's accelerators.
    team_limit: float = 2.0
    # The guaranteed part of that limit.
    team_guarantee: float = 0.0
    # Cells of this size that share the teams' limits, each with its own controllers and state service.
    cells: int = 1
    # Longest time for which a cell retains recent use, in leases: see `cells.keep_leases` in the options.
    keep_leases: float = 1.0
    # Part of its initial allocations that a cell never transfers: see `cells.reserve` in the options.
    reserve: float = 0.0
    # How long each cell in turn gets most arrivals; 0: all cells get the same.
    wander_s: float = 0.0
    # Jobs of the first class in each burst, which is submitted in all cells at the same time.
    burst_jobs: int = 0
    burst_every_s: float = 10.0
    heartbeat_interval_s: float = msgspec.field(name="report_s", default=2.5)
    lease_s: float = 15.25
    cancel_s: float = 45.25
    # From the start of the load until the measured time.
    warm_up_s: float = 60.0
    measured_s: float = 120.0
    # Bounds of the run: its total time, and its share of the machine's memory.
    most_s: float = 900.0
    most_memory: float = 0.5
    state: StateLimits = StateLimits()
    limits: ControllerLimits = ControllerLimits()
    machine_types: list[MachineShape]
    jobs: list[JobClass]
    faults: list[Fault] = msgspec.field(name="troubles", default=[])


# Lowest and highest valid value of each field.
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
    """Names of the built-in profiles."""
    return sorted(path.stem for path in PROFILES.glob("*.toml"))


def load_profile(name_or_path: str) -> Profile:
    """Read a built-in profile by name, or a profile from a file.

    Raises:
        ProfileError: the file cannot be read, or a field is missing, unknown or out of bounds.

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
        raise ValueError("machine_types: must name a machine type")
    for index, job in enumerate(profile.jobs):
        _check_job(f"jobs[{index}]", job, profile)
    for index, fault in enumerate(profile.faults):
        _check_fault(f"troubles[{index}]", fault, profile)


def _check_fault(where: str, fault: Fault, profile: Profile) -> None:
    if not 0 <= fault.cell < profile.cells:
        raise ValueError(f"{where}.cell: must be below cells = {profile.cells}")
    if fault.kind.startswith("cut_links") and profile.cells == 1:
        raise ValueError(f"{where}.kind: needs at least two cells")
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
