"""Machines whose heartbeats list more tasks than the limit on bodies allows, and how they come below it.

No leader of this version lets a machine get there; an earlier version may have. Its heartbeats are accepted
up to a larger limit (`wire.codec`), so that its lease goes on and the tasks that stay are kept.
"""

from __future__ import annotations

import logging

from poppyhold.model.entities import Attempt, Machine
from poppyhold.model.resources import HEARTBEAT_BYTES
from poppyhold.wire.codec import MAX_BODY_BYTES
from poppyhold.wire.message_limits import MAX_STARTED_ENTRIES_BYTES, json_bytes
from poppyhold.wire.worker_messages import Heartbeat

log = logging.getLogger(__name__)


def excess_attempts(machine: Machine, heartbeat: Heartbeat) -> list[Attempt]:
    """Return the attempts to stop on a machine that may list more than the limit allows.

    None are stopped while its heartbeat is within the limit, as most entries are smaller than the largest.
    Attempts of the lowest priority are chosen, and of these the newest. Gangs are spared, as the end of one
    task ends all of them.
    """
    size = json_bytes(heartbeat)
    if size <= MAX_BODY_BYTES:
        return []
    staying = [attempt for attempt in machine.attempts.values() if attempt.stop_requested_at is None]
    excess = sum(map(_entry_bytes, staying)) - MAX_STARTED_ENTRIES_BYTES
    chosen: list[Attempt] = []
    for attempt in sorted(staying, key=_stop_order):
        if excess <= 0:
            break
        if not attempt.job.is_gang:
            chosen.append(attempt)
            excess -= _entry_bytes(attempt)
    if not chosen:
        return []
    log.warning(
        "heartbeat above the limit, stopping tasks: machine=%s bytes=%d limit=%d tasks=%d stopped=%d",
        machine.name,
        size,
        MAX_BODY_BYTES,
        len(heartbeat.tasks),
        len(chosen),
    )
    return chosen


def _entry_bytes(attempt: Attempt) -> float:
    return attempt.job.task_resources[HEARTBEAT_BYTES]


def _stop_order(attempt: Attempt) -> tuple[int, float]:
    """Return the sort key of attempts to stop: the lowest priority first, then the newest."""
    return -attempt.job.priority, -attempt.created_at
