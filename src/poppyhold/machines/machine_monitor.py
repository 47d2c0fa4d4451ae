"""Monitors machines: which of them are lost, partitioned, at fault, or timed out while booting."""

from __future__ import annotations

from collections import Counter

import msgspec

from poppyhold.execution.reconciliation import AttemptReconciler
from poppyhold.machines.boot_tracker import BootTracker
from poppyhold.machines.deletions import Deletions
from poppyhold.machines.provisioning import MachineKind, Provisioning
from poppyhold.model.context import Context
from poppyhold.model.entities import Machine
from poppyhold.model.outbound import MisdirectedWorker

# Minimum number of machines, all silent, of a zone that counts as partitioned; fewer may have failed at once.
_MIN_SILENT_ZONE_MACHINES = 3
# Silence of such a zone after which its machines are deleted, as a multiple of `cancel_s`.
_SILENT_ZONE_TIMEOUT_CANCELS = 8
# Silence after which a machine is deleted although many others are silent, as a multiple of `cancel_s`.
_SILENCE_TIMEOUT_CANCELS = 2
# Heartbeat intervals from the start of a term before which no machine counts as silent.
_TERM_START_GRACE_INTERVALS = 2
# Many machines are suspected if more than one in this number is.
_MANY_SUSPECTED_DIVISOR = 4


class FleetSurvey(msgspec.Struct, eq=False):
    """How many machines are up, responsive and suspected, and which are silent for too long."""

    up: int = 0
    responsive: int = 0
    suspected: int = 0
    silent: list[Machine] = msgspec.field(default_factory=list)
    # By zone: how many machines are up, and how many of them are responsive.
    up_by_zone: Counter[str] = msgspec.field(default_factory=Counter)
    responsive_by_zone: Counter[str] = msgspec.field(default_factory=Counter)

    def silent_zones(self) -> set[str]:
        """Return zones whose machines are all silent: probably partitioned, they come back together."""
        return {
            zone
            for zone, up in self.up_by_zone.items()
            if up >= _MIN_SILENT_ZONE_MACHINES and not self.responsive_by_zone[zone]
        }


class MachineMonitor:
    """Monitors machines by their heartbeats, and boots by their duration."""

    def __init__(
        self,
        ctx: Context,
        reconciler: AttemptReconciler,
        deletions: Deletions,
        provisioning: Provisioning,
        boot_tracker: BootTracker,
    ) -> None:
        self._ctx, self._reconciler, self._boot_tracker = ctx, reconciler, boot_tracker
        self._deletions, self._provisioning = deletions, provisioning
        # Since when most workers have sent heartbeats to another controller; infinite if they haven't.
        self._misdirected_since = float("inf")
        # When many machines were last suspected.
        self._many_suspected_at = float("-inf")

    def watch(self) -> None:
        """Check all machines, and request the deletion of those that are lost, timed out or drained."""
        now = self._ctx.clock()
        survey = FleetSurvey()
        for machine in self._ctx.fleet.machines.values():
            if machine.deleting:
                # The cloud may respond late; the expiry of a lease is proof too.
                if now - machine.last_heartbeat_at > self._ctx.durations.lease_s:
                    self._reconciler.lease_expiry.expire_leases(machine, now)
            elif machine.is_up or machine.name in self._reconciler.lease_expiry.unreconciled:
                self._survey(machine, survey, now)
            elif self._boot_tracker.has_timed_out(
                machine, self._provisioning.max_boot_s(machine.machine_type), now
            ):
                self._deletions.mark(machine, "boot timed out")
        self._handle_silent_machines(survey, now)
        for machine in self._ctx.fleet.machines.values():
            is_empty = not machine.attempts and machine.name not in self._reconciler.lease_expiry.unreconciled
            if is_empty and (machine.quarantined or machine.draining):
                self._deletions.mark(machine, "drained")
        self._deletions.send_request()

    def _silence_s(self, machine: Machine, now: float) -> float:
        """Return how long a machine has been silent while its heartbeats could have arrived here."""
        durations, began_at = self._ctx.durations, self._reconciler.lease_expiry.term_began_at
        if machine.reconciled or machine.name not in self._reconciler.lease_expiry.unreconciled:
            return now - max(
                machine.last_heartbeat_at,
                machine.up_at,
                began_at + durations.heartbeat_interval_s * _TERM_START_GRACE_INTERVALS,
            )
        # It was up, and was probed as this term began. Half the limit is added, as healthy workers respond at
        # once.
        return now - began_at + durations.presumed_lost_s / 2

    def _is_suspected(self, silence_s: float) -> bool:
        """Whether a machine counts among those that may be silent for a common cause.

        Machines of earlier terms are probed as a term begins, and have time to respond before they count.
        Otherwise all would count, and a few hung ones would delay tasks of older jobs for twice as long.
        """
        durations = self._ctx.durations
        return silence_s > durations.presumed_lost_s / 2 + durations.heartbeat_interval_s / 2

    def _survey(self, machine: Machine, survey: FleetSurvey, now: float) -> None:
        """Count a machine, probe it if it is silent, and terminate attempts whose leases expired."""
        durations = self._ctx.durations
        responsive = now - machine.last_heartbeat_at <= durations.presumed_lost_s
        survey.up += 1
        survey.responsive += responsive
        survey.up_by_zone[machine.zone] += 1
        survey.responsive_by_zone[machine.zone] += responsive
        silence_s = self._silence_s(machine, now)
        survey.suspected += self._is_suspected(silence_s)
        if silence_s > durations.silent_s / 2:
            self._reconciler.lifecycle.commands.probe_silent_worker(machine, now)
        if silence_s > durations.presumed_lost_s:
            if (
                machine.preemption_due_at is not None
                and now > machine.preemption_due_at - durations.presumed_lost_s
            ):
                self._deletions.mark(machine, "preempted")
            else:
                survey.silent.append(machine)
        if silence_s > durations.lease_s:
            self._reconciler.lease_expiry.expire_leases(machine, now)
        if machine.task_errors and self._reconciler.failures.machine_at_fault(machine):
            machine.quarantined = True

    def _handle_silent_machines(self, survey: FleetSurvey, now: float) -> None:
        """Decide whether silent machines are lost or partitioned, or this controller is partitioned."""
        if self._most_workers_misdirected(survey, now):
            # They reach other controllers: this controller's own connection is broken. In a partition of a
            # zone half of all workers are silent too, and those that came here tried other controllers on
            # their way: when each new leader resigned for that, nothing was started during the partition.
            self._ctx.outbound.resign("most workers send heartbeats to another controller")
        if survey.suspected > max(1, survey.up // _MANY_SUSPECTED_DIVISOR):
            # Suspected machines count before they are presumed lost: in a partitioned zone the first ones, up
            # to a quarter of all, were deleted before the rest had been silent for long enough. The time is
            # kept, as they don't all come back at one moment.
            self._many_suspected_at = now
        silent_zones = survey.silent_zones()
        self._block_launches_in(silent_zones, now)
        for machine in survey.silent:
            if self._is_lost(machine, machine.zone in silent_zones, now):
                self._deletions.mark(machine, "silent")

    def _is_lost(self, machine: Machine, in_silent_zone: bool, now: float) -> bool:
        """Whether a silent machine is lost, and is to be deleted.

        A partitioned zone comes back with all its machines: its tasks start elsewhere once their leases have
        expired, but its machines are deleted only much later.
        """
        durations = self._ctx.durations
        silence_s = now - max(
            machine.last_heartbeat_at, machine.up_at, self._reconciler.lease_expiry.term_began_at
        )
        if in_silent_zone:
            # Replacements in the zone would be unreachable too, and still boot when it is back: 39 machines
            # were deleted 20 s before that, and their tasks waited for 50 s more. Failed machines are listed
            # as such meanwhile.
            return silence_s > _SILENT_ZONE_TIMEOUT_CANCELS * durations.cancel_s
        return (
            now - self._many_suspected_at > durations.presumed_lost_s
            or silence_s > _SILENCE_TIMEOUT_CANCELS * durations.cancel_s
        )

    def _most_workers_misdirected(self, survey: FleetSurvey, now: float) -> bool:
        """Whether most workers were silent here and sent heartbeats to another controller, for an interval.

        When all were silent and come back at one moment, some reach other controllers first, and wait there.
        """
        most_silent = len(survey.silent) * 2 >= survey.up and len(survey.silent) > 1
        if not (most_silent and self._count_misdirected(now) > 2 * survey.responsive):
            self._misdirected_since = float("inf")
            return False
        self._misdirected_since = min(self._misdirected_since, now)
        return now - self._misdirected_since >= self._ctx.durations.heartbeat_interval_s

    def _block_launches_in(self, zones: set[str], now: float) -> None:
        """Block launches in zones whose machines are all silent: new ones could not be reached either."""
        until = now + self._ctx.durations.heartbeat_interval_s
        for machine_type in self._ctx.machine_types.values():
            for zone in zones.intersection(machine_type.zones):
                for spot in (False, True):
                    self._provisioning.block(MachineKind(machine_type.name, zone, spot), until)

    def _count_misdirected(self, now: float) -> int:
        """Return the most workers whose heartbeats to one other controller are newer than those here.

        A duplicate of an old heartbeat does not count. A new leader has no heartbeats to compare with, and
        returns 0 for one lease duration.
        """
        if now - self._reconciler.lease_expiry.term_began_at < self._ctx.durations.lease_s:
            return 0
        machines = self._ctx.fleet.machines

        def is_misdirected(worker: MisdirectedWorker) -> bool:
            machine = machines.get(worker.machine)
            if machine is None:
                return False
            return (worker.incarnation, worker.sequence) > (machine.incarnation, machine.sequence)

        by_controller = self._ctx.outbound.misdirected_workers()
        return max((sum(map(is_misdirected, workers)) for workers in by_controller), default=0)
