"""Renting and returning machines: how many there are to be, for what waits and what is to come."""

from __future__ import annotations

import logging
import math
from collections.abc import Callable

from poppyhold.durable.changes import Data
from poppyhold.execution.reconciliation import AttemptReconciler
from poppyhold.machines.boot_tracker import BootTracker
from poppyhold.machines.consolidation import Consolidation
from poppyhold.machines.deletions import Deletions
from poppyhold.machines.launches import Launches
from poppyhold.machines.machine_list import MachineList
from poppyhold.machines.machine_monitor import MachineMonitor
from poppyhold.machines.provisioning import Arrivals, Provisioning
from poppyhold.machines.supply_and_demand import CapacitySlot, Demand, demand_of, slot_of
from poppyhold.model.context import Context
from poppyhold.model.entities import Attempt, JobPhase, Machine
from poppyhold.model.resources import NO_RESOURCES, Resources, max_copies
from poppyhold.scheduling.quotas import Quotas
from poppyhold.wire.cloud_messages import MachineListing
from poppyhold.wire.user_messages import Submission

log = logging.getLogger(__name__)


class Autoscaler:
    """Rents and returns machines."""

    def __init__(
        self, ctx: Context, attempts: AttemptReconciler, quotas: Quotas, on_gone: Callable[[Machine], None]
    ) -> None:
        self._ctx, self._reconciler, self._quotas = ctx, attempts, quotas
        self._options = ctx.options.provisioning
        self._provisioning = Provisioning(self._options)
        self._launches = Launches(ctx, self._provisioning)
        self._boots = BootTracker()
        self._deletions = Deletions(ctx, attempts, on_gone)
        self._machine_list = MachineList(ctx, self._deletions)
        self._monitor = MachineMonitor(ctx, attempts, self._deletions, self._provisioning, self._boots)
        # The forecast looks back over a few leases, as far as the ratio of slots to leases says.
        self.arrivals = Arrivals(2 * ctx.durations.slot_s)
        self._next_at = ctx.clock() + ctx.durations.heartbeat_interval_s * 2
        # When each machine was needed last, as far as it was looked at in every round since.
        self._needed_at: dict[str, float] = {}

    def can_launch(self, spec: Submission) -> bool:
        """Whether a machine for a task of a job may be had from the cloud."""
        ctx = self._ctx
        return self._provisioning.is_launchable(spec, ctx.machine_types.values(), ctx.clock())

    def load_launch(self, name: str, data: Data) -> None:
        """A hire that an earlier leader made durable."""
        self._launches.load(name, data)

    def handle_listing(self, listing: MachineListing) -> None:
        """The cloud listed its machines."""
        self._machine_list.apply(listing)

    def watch(self) -> None:
        """Look after the machines, and delete those that must go."""
        self._monitor.watch()

    def scale(self) -> None:
        """Rent what is missing, and return what is not needed."""
        ctx = self._ctx
        now = ctx.clock()
        self._launches.settle()
        if now < self._next_at or not ctx.machine_types:
            return
        self._next_at = now + ctx.durations.heartbeat_interval_s
        spaces = self._supply(now)
        if self._launches.in_flight:
            # The cloud takes few requests: one round of hires at a time, with all that it lacks.
            return
        demands = self._demand(now)
        launch_specs = self._provisioning.decide(ctx.machine_types, spaces, demands, now)
        for launch_spec in launch_specs:
            self._launches.launch(launch_spec)
        self._scale_in(spaces, now)
        if not launch_specs:
            self._consolidate(spaces, now)

    def _consolidate(self, spaces: list[CapacitySlot], now: float) -> None:
        """Empty little used machines, one replica at a time, when nothing waits for room."""
        ctx = self._ctx
        machines = ctx.fleet.machines
        if self._reconciler.unreconciled or any(
            j.pending > 0 and j.phase is not JobPhase.FINALIZED for j in ctx.fleet.jobs.values()
        ):
            return
        most = max(1, len(machines) // 16)

        def settled(attempt: Attempt) -> bool:
            # A start that is stopped soon was none to its user.
            return attempt.running_at is not None and now - attempt.running_at > 2 * ctx.durations.cancel_s

        for machine in Consolidation(most, settled).choose(
            spaces, lambda m: m.is_schedulable(now, ctx.durations.silent_s)
        ):
            machine.draining = True
            log.info("empty %s: %d replicas", machine.name, len(machine.attempts))
        moving = {
            a.job.id for m in machines.values() for a in m.attempts.values() if a.stopping_at is not None
        }
        for machine in machines.values():
            if not machine.draining or machine.deleting:
                continue
            for attempt in machine.attempts.values():
                if attempt.stopping_at is None and attempt.job.is_service and attempt.job.id not in moving:
                    self._reconciler.stop(attempt, 0.0, now)
                    break

    def _supply(self, now: float) -> list[CapacitySlot]:
        ctx = self._ctx
        spaces = []
        held = [machine for machine in ctx.fleet.machines.values() if not machine.deleting]
        late = self._boots.overdue(held, now)
        for machine in held:
            gone = machine.quarantined or machine.draining or machine.name in late
            if gone or machine.preempted_at is not None:
                continue
            if (
                machine.is_up
                and now - machine.last_heartbeat_at > ctx.durations.silent_s
                and machine.reconciled
            ):
                continue
            spaces.append(slot_of(machine))
        spaces += self._launches.expected_capacity()
        return spaces

    def _demand(self, now: float) -> list[Demand]:
        ctx = self._ctx
        demands = []
        left: dict[str, tuple[float, float]] = {}

        def within_limit(team: str, need: Resources, tasks: int) -> int:
            # What a team's limit keeps from running needs no machine yet.
            if team not in left:
                left[team] = self._quotas.remaining(team, ctx.fleet.used_by_team.get(team, [0.0, 0.0]))
            cpus, gpus = left[team]
            most = max_copies(need, (cpus, gpus, math.inf), tasks)
            left[team] = (cpus - most * need[0], gpus - most * need[1])
            return most

        for job in sorted(ctx.fleet.jobs.values(), key=lambda job: (job.priority, job.submitted_at)):
            # For a job that is at fault itself no machine is rented.
            if job.pending > 0 and job.phase is not JobPhase.FINALIZED and not job.failures.at_fault:
                most = within_limit(job.spec.team, job.task_resources, job.startable(job.pending))
                if most and (not job.is_gang or most == job.pending):
                    demands.append(demand_of(job, most))
        boots = [machine_type.boot_s for machine_type in ctx.machine_types.values()]
        ahead = sum(boots) / len(boots) + ctx.durations.heartbeat_interval_s
        for demand in self.arrivals.forecast(now, ahead, self._options.headroom):
            demand.tasks = within_limit(demand.spec.team, demand.need, demand.tasks)
            demands.append(demand)
        return demands

    def _scale_in(self, spaces: list[CapacitySlot], now: float) -> None:
        """Return what has been seen idle for long enough, without a gap.

        A machine that was silent meanwhile, as in a zone that was cut off, is not idle since before that: it
        was returned at the moment at which its zone was back and its work waited.
        """
        needed: dict[str, float] = {}
        for space in spaces:
            machine = space.machine
            if machine is None:
                continue
            if (
                space.used
                or machine.attempts
                or not machine.is_up
                or machine.name in self._reconciler.unreconciled
            ):
                needed[machine.name] = now
                continue
            since = needed[machine.name] = self._needed_at.get(machine.name, now)
            idle = machine.used == NO_RESOURCES and machine.reconciled
            if idle and now - since > self._provisioning.max_idle_s(machine.machine_type):
                self._deletions.mark(machine, "not needed")
        self._needed_at = needed
