"""Scales the fleet out and in, for pending tasks and for the forecast."""

from __future__ import annotations

from collections.abc import Callable

from poppyhold.durable.changes import Data
from poppyhold.execution.reconciliation import AttemptReconciler
from poppyhold.machines.arrivals import Arrivals
from poppyhold.machines.boot_tracker import BootTracker
from poppyhold.machines.consolidation import Consolidator
from poppyhold.machines.deletions import Deletions
from poppyhold.machines.demand_estimate import DemandEstimator
from poppyhold.machines.launches import Launches
from poppyhold.machines.machine_list import MachineList
from poppyhold.machines.machine_monitor import MachineMonitor
from poppyhold.machines.provisioning import Provisioning
from poppyhold.machines.supply_and_demand import CapacitySlot, slot_of
from poppyhold.model.context import Context
from poppyhold.model.entities import Machine
from poppyhold.model.resources import NO_RESOURCES
from poppyhold.scheduling.quotas import Quotas
from poppyhold.wire.cloud_messages import MachineListing
from poppyhold.wire.user_messages import Submission

# Heartbeat intervals before the first decision of a term, so that heartbeats arrive first.
_FIRST_DECISION_INTERVALS = 2
# Window of the forecast in slots of the plan: a few leases, by the option `slot_leases`.
_FORECAST_WINDOW_SLOTS = 2


class Autoscaler:
    """Launches machines for demand, deletes unneeded ones, and consolidates the others."""

    def __init__(
        self,
        ctx: Context,
        reconciler: AttemptReconciler,
        quotas: Quotas,
        on_deleted: Callable[[Machine], None],
    ) -> None:
        self._ctx, self._reconciler = ctx, reconciler
        self._provisioning = Provisioning(ctx.options.provisioning)
        self._launches = Launches(ctx, self._provisioning)
        self._boot_tracker = BootTracker()
        self._deletions = Deletions(ctx, reconciler, on_deleted)
        self._machine_list = MachineList(ctx, self._deletions)
        self._monitor = MachineMonitor(
            ctx, reconciler, self._deletions, self._provisioning, self._boot_tracker
        )
        self._consolidator = Consolidator(ctx, reconciler)
        self.arrivals = Arrivals(_FORECAST_WINDOW_SLOTS * ctx.durations.slot_s)
        self._estimator = DemandEstimator(ctx, quotas, self.arrivals)
        self._next_decision_at = ctx.clock() + ctx.durations.heartbeat_interval_s * _FIRST_DECISION_INTERVALS
        # When each machine was last needed; only machines that every later decision considered have an entry.
        self._last_needed_at: dict[str, float] = {}

    def can_launch(self, spec: Submission) -> bool:
        """Whether the cloud may provide a machine for a task of a job."""
        ctx = self._ctx
        return self._provisioning.is_launchable(spec, ctx.machine_types.values(), ctx.clock())

    def load_launch(self, name: str, data: Data) -> None:
        """Load a launch that an earlier leader made durable."""
        self._launches.load(name, data)

    def handle_listing(self, listing: MachineListing) -> None:
        """Handle the cloud's list of machines."""
        self._machine_list.apply(listing)

    def watch(self) -> None:
        """Check the machines, and delete those that are lost, at fault or drained."""
        self._monitor.watch()

    def scale(self) -> None:
        """Launch machines for unmet demand, and delete unneeded ones."""
        ctx = self._ctx
        now = ctx.clock()
        self._launches.reconcile()
        if now < self._next_decision_at or not ctx.machine_types:
            return
        self._next_decision_at = now + ctx.durations.heartbeat_interval_s
        slots = self._usable_slots(now)
        if self._launches.in_flight:
            # The cloud's request rate is low: one round of launches at a time, for all unmet demand.
            return
        demands = self._estimator.demand(now)
        launch_specs = self._provisioning.decide(ctx.machine_types, slots, demands, now)
        for launch_spec in launch_specs:
            self._launches.request(launch_spec)
        self._scale_in(slots, now)
        if not launch_specs:
            self._consolidator.consolidate(slots, now)

    def _usable_slots(self, now: float) -> list[CapacitySlot]:
        """Return the capacity of the machines that are held or expected, without unusable ones."""
        held = [machine for machine in self._ctx.fleet.machines.values() if not machine.deleting]
        overdue = self._boot_tracker.overdue(held, now)
        slots = [
            slot_of(machine)
            for machine in held
            if machine.name not in overdue and self._is_usable(machine, now)
        ]
        slots += self._launches.expected_capacity()
        return slots

    def _is_usable(self, machine: Machine, now: float) -> bool:
        if machine.quarantined or machine.draining or machine.preemption_due_at is not None:
            return False
        silence_s = now - machine.last_heartbeat_at
        return not (machine.is_up and silence_s > self._ctx.durations.silent_s and machine.reconciled)

    def _scale_in(self, slots: list[CapacitySlot], now: float) -> None:
        """Delete machines that were observed idle for long enough without a gap.

        Idle time before a silence does not count: when it did, machines of a partitioned zone were deleted at
        the moment at which the zone was back, with tasks pending for it.
        """
        needed_at: dict[str, float] = {}
        for slot in slots:
            machine = slot.machine
            if machine is None:
                continue
            if (
                slot.used
                or machine.attempts
                or not machine.is_up
                or machine.name in self._reconciler.lease_expiry.unreconciled
            ):
                needed_at[machine.name] = now
                continue
            since = needed_at[machine.name] = self._last_needed_at.get(machine.name, now)
            is_idle = machine.used == NO_RESOURCES and machine.reconciled
            if is_idle and now - since > self._provisioning.max_idle_s(machine.machine_type):
                self._deletions.mark(machine, "idle")
        self._last_needed_at = needed_at
