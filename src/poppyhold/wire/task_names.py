"""Names of jobs and tasks: a task's name consists of its job's name and its index in the job."""

from __future__ import annotations

import re

JOB_ID = re.compile(r"job-[0-9]{6,18}\Z", re.ASCII)
# The most tasks that a job may have.
MAX_TASKS = 100_000
# Maximum number of digits of a task's index: enough for the largest jobs, of 100,000 tasks.
_MAX_INDEX_DIGITS = 6


def task_name(job_id: str, index: int) -> str:
    """Return a task's name in the workers' protocol."""
    return f"{job_id}/{index}"


def split_task(name: str) -> tuple[str, int]:
    """Return the job and index of a task's name; index -1 if it is not of this form."""
    job_id, _, index = name.rpartition("/")
    if JOB_ID.match(job_id) and index.isascii() and index.isdigit() and len(index) <= _MAX_INDEX_DIGITS:
        return job_id, int(index)
    return name, -1
