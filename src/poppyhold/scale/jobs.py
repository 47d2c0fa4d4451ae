"""Jobs and machine types in the form of the protocols."""

from __future__ import annotations

from typing import Any

import msgspec

Data = dict[str, Any]
ZONES = ["a", "b"]


def machine_type_data(name: str, accelerators: float, boot_s: float, zones: list[str] | None = None) -> Data:
    """Return a machine type as the cloud describes it."""
    return {
        "name": name,
        "cpus": 4 * accelerators,
        "accelerators": accelerators,
        "memGb": 32 * accelerators,
        "localGb": 100.0,
        "pullGbPerS": 5.0,
        "rate": 3.0 * accelerators,
        "marketPrice": 1.0 * accelerators,
        "startupS": boot_s,
        "paddocks": zones or ZONES,
    }


def wire(job: Data) -> Data:
    """Return a job as its user sends it: without the fields that only the stand-ins read."""
    return {key: value for key, value in job.items() if key not in ("runs", "mistake")}


def submission(job_id: str, fields: Data) -> Data:
    """Return a job with every field, and the actual run time of its tasks as ``runs``."""
    job: Data = {
        "nameId": job_id,
        "lot": "sweep",
        "crew": "alpha",
        "shape": "array",
        "rank": "standard",
        "chores": 2,
        "cpus": 4.0,
        "accelerators": 1.0,
        "memGb": 10.0,
        "bundle": "img-1",
        "sizeGb": 5.0,
        "builds": None,
        "paddock": None,
        "samePlace": False,
        "apart": False,
        "loaners": False,
        "guessS": 10.0,
        "bookmarkS": 0.0,
        "stashS": 0.0,
        "dueS": None,
        **fields,
    }
    job.setdefault("runs", job["guessS"])
    if job["shape"] == "service":
        job["guessS"] = 0.0
    return msgspec.convert(job, dict[str, Any])
