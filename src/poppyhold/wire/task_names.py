"""Names of jobs and tasks: a task is named by its job and its index there."""

from __future__ import annotations

import re

JOB_ID = re.compile(r"job-[0-9]{6,18}\Z", re.ASCII)
# Digits of a task's index: the highest index of a job with the most tasks (100,000) has no more than these.
_MAX_INDEX_DIGITS = 6


def task_name(job_id: str, index: int) -> str:
    """Name a task as the workers do."""
    return f"{job_id}/{index}"


def split_task(name: str) -> tuple[str, int]:
    """Job and index of a task's name; index -1 if the name is none of ours."""
    job_id, _, index = name.rpartition("/")
    if JOB_ID.match(job_id) and index.isascii() and index.isdigit() and len(index) <= _MAX_INDEX_DIGITS:
        return job_id, int(index)
    return name, -1
