"""Relocation of replicas away from machines with an image, for a task that would wait for its fetch.

Machines that have the image of a small job class fill up with long-running replicas, while machines that
would have to fetch it have free capacity. A replica is moved if another machine can run it at once, or if its
own objective allows the wait for a fetch, in favour of a task whose objective does not.
"""

from __future__ import annotations

import itertools
import logging
import math
from collections import deque
from collections.abc import Callable, Iterable, Sequence
from typing import NamedTuple

import msgspec

from poppyhold.model.durations import Durations
from poppyhold.model.entities import Attempt, Job, JobPhase, Machine
from poppyhold.model.resources import EPSILON, Resources, add_scaled, fits
from poppyhold.scheduling.cycle_state import reserve
from poppyhold.scheduling.eligibility import image_wait_s, may_use, zone_allows
from poppyhold.scheduling.placement import PlacementChoice
from poppyhold.wire.worker_messages import TaskState

log = logging.getLogger(__name__)

# One replica per this many machines may move within a lease: many moves at once would be an outage for users.
_MACHINES_PER_MOVE = 16
# Limits per cycle on searches, and on target machines per search, so that heartbeats are not delayed.
_MAX_SEARCHES = 8
_MAX_TARGETS = 32


class Move(msgspec.Struct, eq=False):
    """The move of a replica to a target machine, with its cost in seconds times the priority's weight."""

    attempt: Attempt
    target: Machine
    cost: float


class _RelocationPlan(NamedTuple):
    """The moves that let one task start on a machine, and their total cost."""

    cost: float
    machine: Machine
    moves: list[Move]


class Relocation:
    """Chooses replicas to move, and reserves capacity for them until their old attempts are terminated."""

    def __init__(
        self,
        weights: Sequence[float],
        durations: Durations,
        meets_objective: Callable[[Job, float], bool],
        clock: Callable[[], float],
    ) -> None:
        # Weight by priority of each second that a replica is down or a task waits.
        self._weights = weights
        self._restart_s, self._min_running_s = durations.heartbeat_interval_s, durations.cancel_s
        self._lease_s = durations.lease_s
        self._meets_objective, self._clock = meets_objective, clock
        self._moves: list[Move] = []
        # Times of the moves within the last lease.
        self._moved_at: deque[float] = deque()
        self._remaining_searches = 0
        # Image, resources and priority of this cycle's searches that found no moves cheaper than the wait.
        self._infeasible: set[tuple[str, Resources, int]] = set()

    def begin_cycle(self, reserved: dict[str, Resources]) -> None:
        """Begin a scheduling cycle: reserve target capacity for replicas whose old attempts may still run."""
        self._moves = [move for move in self._moves if _may_still_run(move.attempt)]
        for move in self._moves:
            _reserve(reserved, move)
        self._remaining_searches = _MAX_SEARCHES
        self._infeasible.clear()

    def relocate_for(
        self, job: Job, wait_s: float, machines: list[Machine], reserved: dict[str, Resources]
    ) -> PlacementChoice | None:
        """Return a machine with the job's image and the replicas to move from it, if cheaper than waiting."""
        search_key = (job.spec.image, job.task_resources, job.priority)
        if (
            self._remaining_searches <= 0
            or search_key in self._infeasible
            or self._remaining_moves(machines) <= 0
        ):
            return None
        self._remaining_searches -= 1
        targets = self._targets(machines, reserved)
        best: _RelocationPlan | None = None
        for machine in machines:
            if not self._could_start_on(job, machine):
                continue
            moves = self._moves_from(job, machine, targets, reserved)
            cost = sum(move.cost for move in moves)
            if moves and (best is None or cost < best.cost):
                best = _RelocationPlan(cost, machine, moves)
        if best is None or best.cost >= wait_s * self._weights[job.priority]:
            self._infeasible.add(search_key)
            return None
        _, machine, moves = best
        for move in moves:
            _reserve(reserved, move)
            log.debug(
                "replica relocated: task=%s from=%s to=%s", move.attempt.name, machine.name, move.target.name
            )
        self._moves += moves
        self._moved_at.extend([self._clock()] * len(moves))
        return PlacementChoice(machine, [move.attempt for move in moves])

    def _remaining_moves(self, machines: list[Machine]) -> int:
        """Return how many more replicas may move within this lease."""
        while self._moved_at and self._moved_at[0] < self._clock() - self._lease_s:
            self._moved_at.popleft()
        return max(1, len(machines) // _MACHINES_PER_MOVE) - len(self._moved_at)

    @staticmethod
    def _could_start_on(job: Job, machine: Machine) -> bool:
        """Return whether a task of the job could start at once if the machine had free capacity."""
        return (
            job.spec.image in machine.images
            and machine.can_list(job.task_resources)
            and may_use(job, machine)
            and zone_allows(job, machine.zone)
        )

    @staticmethod
    def _targets(machines: Iterable[Machine], reserved: dict[str, Resources]) -> list[Machine]:
        """Return up to ``_MAX_TARGETS`` machines on which some of each resource is free."""
        with_free_capacity = (
            machine
            for machine in machines
            if all(
                free > EPSILON
                for free, total in zip(
                    machine.free_after_reservations(reserved), machine.capacity, strict=True
                )
                if total > 0
            )
        )
        return list(itertools.islice(with_free_capacity, _MAX_TARGETS))

    def _moves_from(
        self, job: Job, machine: Machine, targets: list[Machine], reserved: dict[str, Resources]
    ) -> list[Move]:
        """Return the moves that let one task start on a machine; empty if that is infeasible."""
        reserved_after_moves = dict(reserved)
        free = machine.free_after_reservations(reserved)
        options = [
            move
            for attempt in machine.attempts.values()
            if self._may_move(job, attempt)
            and (move := self._best_move(job, attempt, targets, reserved)) is not None
        ]
        options.sort(key=lambda move: (move.cost, -move.attempt.created_at))
        chosen: list[Move] = []
        for option in options:
            # An earlier chosen move may have reserved the target's capacity.
            move = self._best_move(job, option.attempt, targets, reserved_after_moves) if chosen else option
            if move is None:
                continue
            chosen.append(move)
            _reserve(reserved_after_moves, move)
            free = add_scaled(free, move.attempt.job.task_resources)
            if fits(job.task_resources, free):
                return chosen
        return []

    def _may_move(self, job: Job, attempt: Attempt) -> bool:
        """Return whether a replica may move for the job.

        It must have run for a while, since a run that is stopped early is of no use.
        """
        replica_job = attempt.job
        return (
            replica_job.is_service
            and replica_job is not job
            and replica_job.phase is not JobPhase.FINALIZED
            and replica_job.priority >= job.priority
            and attempt.status == TaskState.RUNNING
            and attempt.stop_requested_at is None
            and attempt.running_at is not None
            and self._clock() - attempt.running_at > self._min_running_s
        )

    def _best_move(
        self, job: Job, attempt: Attempt, targets: list[Machine], reserved: dict[str, Resources]
    ) -> Move | None:
        """Return the move with the shortest image wait; at equal priority the target must have the image."""
        replica_job = attempt.job
        best_target: Machine | None = None
        best_wait_s = math.inf
        for target in targets:
            if target is attempt.machine or not may_use(replica_job, target):
                continue
            if target.zone != attempt.machine.zone and not zone_allows(replica_job, target.zone):
                continue
            if not fits(replica_job.task_resources, target.free_after_reservations(reserved)):
                continue
            wait_s = image_wait_s(target, replica_job)
            if not self._may_move_to(replica_job, wait_s, replica_job.priority == job.priority):
                continue
            if best_target is None or wait_s < best_wait_s:
                best_target, best_wait_s = target, wait_s
        if best_target is None:
            return None
        cost = (best_wait_s + self._restart_s) * self._weights[replica_job.priority]
        return Move(attempt, best_target, cost)

    def _may_move_to(self, job: Job, wait_s: float, equal_priority: bool) -> bool:
        """Return whether a replica may wait ``wait_s`` for its image; not at all for an equal priority."""
        return wait_s <= 0 if equal_priority else self._meets_objective(job, wait_s)


def _may_still_run(attempt: Attempt) -> bool:
    """Return whether an attempt is not proven to be terminated."""
    return attempt.machine.attempts.get(attempt.name) is attempt


def _reserve(reserved: dict[str, Resources], move: Move) -> None:
    """Reserve a replica's resources on the target machine."""
    reserve(reserved, move.target.name, move.attempt.job.task_resources)
