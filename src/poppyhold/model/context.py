"""What the parts of the decision core share: clocks, figures, the fleet, and the way out to the edges."""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from enum import IntEnum
from typing import Any, NamedTuple, Protocol

import msgspec

from poppyhold.model.fleet import Fleet
from poppyhold.model.outcome import RequestOutcome
from poppyhold.options import Options
from poppyhold.settings import Settings
from poppyhold.wire.messages import Heartbeat, MachineType

Data = dict[str, Any]
# Machine -> its images and their sizes, least recently used first.
ImageHints = dict[str, tuple[tuple[str, float], ...]]


class CommitPriority(IntEnum):
    """Order of the leader's durable steps; those of one rank go in the order of their requests."""

    # What takes the longest behind it, or holds up everything else: hires, tokens, machines' records.
    SOONEST = 0
    # Plans of urgent jobs. A swarm of short jobs takes more changes than there are, and behind its plans
    # those of critical replicas waited for a minute.
    URGENT = 1
    # What else somebody waits for: plans and ends of jobs; those of teams without a guarantee come behind.
    AWAITED = 2
    UNGUARANTEED = 3
    BACKGROUND = 4


class MisdirectedWorker(NamedTuple):
    """A worker whose report reached a controller that does not lead, and what that report was."""

    machine: str
    incarnation: int
    sequence: int


class OutboundPort(Protocol):
    """Everything that the core asks of the outside. Each callback comes back on the core's thread."""

    def commit(
        self,
        conditions: dict[str, int],
        writes: list[Data],
        done: Callable[[bool], None],
        priority: CommitPriority = CommitPriority.BACKGROUND,
    ) -> None:
        """Carry out a transaction under our leadership, and repeat it until its outcome is certain."""

    def send_commands(
        self,
        box: str,
        endpoint: str,
        body: Data,
        done: Callable[[RequestOutcome, Heartbeat | None], None],
        patient: bool,
    ) -> None:
        """POST /do to a worker, once. ``patient`` requests don't hold up the others."""

    def launch_machines(self, body: Data, done: Callable[[RequestOutcome, list[str]], None]) -> None:
        """POST /machines, once."""

    def delete_machines(self, names: list[str], done: Callable[[bool], None]) -> None:
        """POST /machines/delete, once."""

    def leadership_lost(self, fencing_token: int) -> None:
        """A higher token than ours was seen."""

    def fencing_token_raised(self, fencing_token: int) -> None:
        """Our token was raised."""

    def resign(self, why: str) -> None:
        """Let another node lead."""

    def job_finalized(self, job_id: str, status: str, tasks: int) -> None:
        """The final state of a job is durable."""

    def misdirected_workers(self) -> list[list[MisdirectedWorker]]:
        """Workers that have turned to another controller lately, for each of those."""

    def may_start_tasks(self) -> bool:
        """Whether our leadership was confirmed lately enough to start tasks."""

    def leadership_confirmed_at(self) -> float:
        """Moment at which nobody else can have led yet."""

    def delegated_leases_expire_at(self) -> float:
        """Moment behind which no other controller answered a worker in our name."""


class Times:
    """Spans of time, each a ratio to the settings."""

    def __init__(self, settings: Settings, options: Options) -> None:
        workers = settings.settings.workers
        self.heartbeat_interval_s = workers.heartbeat_interval_s
        self.lease_s = workers.lease_s
        self.cancel_s = workers.cancel_s
        # Clocks drift apart by 0.05%: a lease is over for certain only a little later.
        self.lease_expired_s = workers.lease_s * 1.001 + workers.heartbeat_interval_s * 0.25
        # A worker that has been silent so long gets no new tasks.
        self.silent_s = workers.heartbeat_interval_s * options.leadership.silent_reports
        # After so long its machine is given up, if that is not the way of most others too.
        self.presumed_lost_s = workers.lease_s * 0.5
        # A leader that lost its way may answer workers this long; then their leases have to end. They run
        # from when a report was sent, so that its way here is on the safe side; every second counts when a
        # cut ends just before the leases that were given last.
        self.unconfirmed_renewal_s = (
            workers.cancel_s - workers.lease_s * 1.002 - workers.heartbeat_interval_s * 0.15
        )
        # Who hears neither the leader nor the state service for so long stands in for it. Workers come to
        # it a good four seconds behind a cut, and only some of them have the time to come twice.
        self.delegated_renewal_after_s = max(workers.heartbeat_interval_s * 1.5, workers.lease_s / 4)
        # Since our term began, nobody else's answers can keep a task alive longer.
        self.predecessors_expired_s = workers.cancel_s * 1.001 + workers.heartbeat_interval_s
        self.slot_s = workers.lease_s * options.design.slot_leases


class Context(msgspec.Struct, eq=False):
    """Shared by the parts of one term's core; only the decision thread touches it."""

    settings: Settings
    options: Options
    outbound: OutboundPort
    clock: Callable[[], float]
    wall_clock: Callable[[], float]
    rng: random.Random
    term_fencing_token: int
    fencing_token: int
    durations: Times
    fleet: Fleet = msgspec.field(default_factory=Fleet)
    machine_types: dict[str, MachineType] = msgspec.field(default_factory=dict)
    # Machines that we deleted, and when: old lists and reports still name them.
    deleted_at: dict[str, float] = msgspec.field(default_factory=dict)
    image_hints: ImageHints = msgspec.field(default_factory=dict)
    # Up to so many machines are asked for reports at one moment as a term begins.
    max_initial_probes: float = math.inf
    # So many silent workers are asked for reports within one interval.
    silent_probe_rate: float = 1e9
    scheduling_needed: bool = True
    counter: int = 0

    def next_unique_number(self) -> int:
        """A number that no attempt and no hire has had, in this term or any other."""
        self.counter += 1
        return (self.term_fencing_token << 24) + self.counter
