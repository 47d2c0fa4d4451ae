"""Which machines a job's tasks may use, how many fit there, and how long they wait for their image."""

from __future__ import annotations

from collections.abc import Collection

from poppyhold.model.constraints import allows_machine, zone_limit
from poppyhold.model.entities import Job, Machine
from poppyhold.model.resources import Resources, max_copies
from poppyhold.wire.worker_messages import BEFORE_IMAGE

# Lower bound of fetch rates, for machine types that give none.
MIN_FETCH_GB_PER_S = 1e-3


def may_use(job: Job, machine: Machine) -> bool:
    """Return whether the job's machine type, zone and spot constraints allow the machine."""
    return allows_machine(job.spec, machine.machine_type.name, machine.zone, machine.spot)


def zone_allows(job: Job, zone: str) -> bool:
    """Return whether the job's zone constraints, given its active tasks, allow one more in the zone."""
    if job.spec.one_zone and any(
        count > 0 and occupied != zone for occupied, count in job.active_by_zone.items()
    ):
        return False
    return job.active_by_zone.get(zone, 0) < zone_limit(job.spec)


def copies_that_fit(job: Job, machine: Machine, reserved: dict[str, Resources]) -> int:
    """Return how many of the job's pending tasks fit in a machine's free and unreserved resources."""
    return max_copies(job.task_resources, machine.free_after_reservations(reserved), job.pending)


def machines_in_best_zone(
    job: Job, machines: Collection[Machine], reserved: dict[str, Resources]
) -> list[Machine]:
    """Return those of the machines that are in the zone where the most tasks of the job fit."""
    counts: dict[str, int] = {}
    for machine in machines:
        if may_use(job, machine):
            counts[machine.zone] = counts.get(machine.zone, 0) + copies_that_fit(job, machine, reserved)
    best = max(counts, key=lambda zone: (counts[zone], zone), default=None)
    return [machine for machine in machines if machine.zone == best]


def image_wait_s(machine: Machine, job: Job) -> float:
    """Return the estimated seconds until the machine has the image if a task of the job starts there now."""
    image = job.spec.image
    if image in machine.images:
        return 0.0
    rate_gb_per_s = max(machine.machine_type.fetch_gb_per_s, MIN_FETCH_GB_PER_S)
    # Sizes in GB of the images that the machine fetches, by name.
    fetching: dict[str, float] = {}
    for attempt in machine.attempts.values():
        if attempt.status in BEFORE_IMAGE and attempt.job.spec.image not in machine.images:
            fetching[attempt.job.spec.image] = attempt.job.spec.image_gb
    has_begun = image in fetching
    fetching[image] = job.spec.image_gb
    # Concurrent fetches share the rate. If this image's fetch is in progress, half of the total is done on
    # average.
    return sum(fetching.values()) / rate_gb_per_s * (0.5 if has_begun else 1.0)
