"""Machines that are silent, at fault, or never came up: which of them are lost, and which are cut off."""

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

# Machines of one zone that must all be silent to take the zone for cut off; fewer may have died together.
_MIN_SILENT_ZONE_MACHINES = 3
# Silence of such a zone after which its machines are given up, as a multiple of `cancel_s`.
_SILENT_ZONE_TIMEOUT_CANCELS = 8
# Silence after which a machine is given up although many others are silent, as a multiple of `cancel_s`.
_SILENCE_TIMEOUT_CANCELS = 2
# Machines are not silent before so many heartbeat intervals of a term.
_TERM_START_GRACE_INTERVALS = 2
# More than one in so many machines that are quiet are many.
_MANY_SUSPECTED_DIVISOR = 4


class FleetSurvey(msgspec.Struct, eq=False):
    """How many machines are up, responsive and quiet, and those that are silent for too long."""

    up: int = 0
    responsive: int = 0
    suspected: int = 0
    silent: list[Machine] = msgspec.field(default_factory=list)
    # By zone: machines that are up, and those of them that are responsive.
    up_by_zone: Counter[str] = msgspec.field(default_factory=Counter)
    responsive_by_zone: Counter[str] = msgspec.field(default_factory=Counter)

    def silent_zones(self) -> set[str]:
        """Zones whose machines are all silent: most likely they are cut off, and come back together."""
        return {
            zone
            for zone, up in self.up_by_zone.items()
            if up >= _MIN_SILENT_ZONE_MACHINES and not self.responsive_by_zone[zone]
        }


class MachineMonitor:
    """Looks after the machines whose heartbeats should come."""

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
        # Since when most workers have turned to another controller; infinite while they have not.
        self._misdirected_since = float("inf")
        # When many machines were silent last.
        self._many_suspected_at = float("-inf")

    def watch(self) -> None:
        """Look after machines that are silent, that never came up, or that are to be deleted."""
        now = self._ctx.clock()
        survey = FleetSurvey()
        for machine in self._ctx.fleet.machines.values():
            if machine.deleting:
                # The cloud may not answer for long; the end of a lease is proof too.
                if now - machine.last_heartbeat_at > self._ctx.durations.lease_s:
                    self._reconciler.lease_expiry.expire_leases(machine, now)
            elif machine.is_up or machine.name in self._reconciler.lease_expiry.unreconciled:
                self._survey(machine, survey, now)
            elif self._boot_tracker.has_timed_out(
                machine, self._provisioning.max_boot_s(machine.machine_type), now
            ):
                self._deletions.mark(machine, "never came up")
        self._handle_silent_machines(survey, now)
        for machine in self._ctx.fleet.machines.values():
            is_empty = not machine.attempts and machine.name not in self._reconciler.lease_expiry.unreconciled
            if is_empty and (machine.quarantined or machine.draining):
                self._deletions.mark(machine, "drained")
        self._deletions.send_request()

    def _silence_s(self, machine: Machine, now: float) -> float:
        """For how long a machine has been silent, as far as its heartbeats could have reached us."""
        durations, began_at = self._ctx.durations, self._reconciler.lease_expiry.term_began_at
        if machine.reconciled or machine.name not in self._reconciler.lease_expiry.unreconciled:
            return now - max(
                machine.last_heartbeat_at,
                machine.up_at,
                began_at + durations.heartbeat_interval_s * _TERM_START_GRACE_INTERVALS,
            )
        # It was up, and was asked for a heartbeat when our term began: a sound worker answers that at once.
        return now - began_at + durations.presumed_lost_s / 2

    def _is_suspected(self, silence_s: float) -> bool:
        """Whether a machine counts among those that may be silent for one and the same reason.

        Those of earlier terms are asked as a term begins. They have the time to answer before they count, or
        all of them would, and a few that hang would keep older jobs waiting for twice as long.
        """
        durations = self._ctx.durations
        return silence_s > durations.presumed_lost_s / 2 + durations.heartbeat_interval_s / 2

    def _survey(self, machine: Machine, survey: FleetSurvey, now: float) -> None:
        """Count a machine, request its heartbeat if it is silent, and end attempts whose leases expired."""
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
            if machine.preempted_at is not None and now > machine.preempted_at - durations.presumed_lost_s:
                self._deletions.mark(machine, "preempted")
            else:
                survey.silent.append(machine)
        if silence_s > durations.lease_s:
            self._reconciler.lease_expiry.expire_leases(machine, now)
        if machine.task_errors and self._reconciler.failures.machine_at_fault(machine):
            machine.quarantined = True

    def _handle_silent_machines(self, survey: FleetSurvey, now: float) -> None:
        """Decide whether silent machines are lost, or cut off, or this controller is."""
        if self._most_workers_misdirected(survey, now):
            # They try the other controllers: it is our own connection to them that is broken. Where a zone is
            # cut off, half of all are silent too, and those that came to us passed the others on their way:
            # with each new leader resigning for that, nothing was started for the length of the cut.
            self._ctx.outbound.resign("most workers are silent")
        if survey.suspected > max(1, survey.up // _MANY_SUSPECTED_DIVISOR):
            # Those that fall silent with others count as soon as they might be missed: in a zone that is cut
            # off the first ones were deleted, up to a quarter of all, before the rest had been silent long
            # enough. And when it is back they don't all come at one moment.
            self._many_suspected_at = now
        silent_zones = survey.silent_zones()
        self._block_launches_in(silent_zones, now)
        for machine in survey.silent:
            if self._is_lost(machine, machine.zone in silent_zones, now):
                self._deletions.mark(machine, "silent")

    def _is_lost(self, machine: Machine, in_silent_zone: bool, now: float) -> bool:
        """Whether a silent machine is given up.

        A zone that is cut off comes back with all its machines: its tasks start elsewhere once its leases
        have expired, but machines are given up for good only a good while after that.
        """
        durations = self._ctx.durations
        silence_s = now - max(
            machine.last_heartbeat_at, machine.up_at, self._reconciler.lease_expiry.term_began_at
        )
        if in_silent_zone:
            # Others in their place would be no more use there, and have to boot when the zone is back: 39
            # machines were given up 20 s before that, and their tasks waited for 50 s more. Those that are
            # dead are listed as failed meanwhile.
            return silence_s > _SILENT_ZONE_TIMEOUT_CANCELS * durations.cancel_s
        return (
            now - self._many_suspected_at > durations.presumed_lost_s
            or silence_s > _SILENCE_TIMEOUT_CANCELS * durations.cancel_s
        )

    def _most_workers_misdirected(self, survey: FleetSurvey, now: float) -> bool:
        """Whether most workers are silent here and have turned to another controller, for an interval.

        Where all of them were silent and come back at one moment, some come to others first, and wait there.
        """
        most_silent = len(survey.silent) * 2 >= survey.up and len(survey.silent) > 1
        if not (most_silent and self._count_misdirected(now) > 2 * survey.responsive):
            self._misdirected_since = float("inf")
            return False
        self._misdirected_since = min(self._misdirected_since, now)
        return now - self._misdirected_since >= self._ctx.durations.heartbeat_interval_s

    def _block_launches_in(self, zones: set[str], now: float) -> None:
        """Launch nothing in zones whose machines are all silent: nobody could use it there."""
        until = now + self._ctx.durations.heartbeat_interval_s
        for machine_type in self._ctx.machine_types.values():
            for zone in zones.intersection(machine_type.zones):
                for spot in (False, True):
                    self._provisioning.block(MachineKind(machine_type.name, zone, spot), until)

    def _count_misdirected(self, now: float) -> int:
        """How many workers have turned to another controller since their last heartbeat here.

        A copy of an old heartbeat does not count. A controller that has just begun to lead has no heartbeats
        to compare with, and gives them the time to come.
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
