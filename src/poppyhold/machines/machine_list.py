"""Applies the cloud's list of machines. It lags: the absence of a machine proves nothing."""

from __future__ import annotations

from poppyhold.machines.deletions import Deletions
from poppyhold.model.context import Context
from poppyhold.model.entities import Machine
from poppyhold.wire.cloud_messages import ListedMachine, MachineListing

# Lists may still name a deleted machine for this many times their usual lag.
_DELETED_RETENTION_LAGS = 40
# A machine that no list has shown for this many times the lag is probably gone.
MISSING_AFTER_LAGS = 3


class MachineList:
    """Reconciles the fleet's machines with the cloud's lists."""

    def __init__(self, ctx: Context, deletions: Deletions) -> None:
        self._ctx, self._deletions = ctx, deletions

    def apply(self, listing: MachineListing) -> None:
        """Apply a list; the absence of a machine proves nothing.

        The list is as of the request for its first page, and does not show machines that came later.
        """
        ctx = self._ctx
        now = ctx.clock()
        lag = ctx.settings.deployment.cloud.list_lag_s
        for name, at in list(ctx.deleted_at.items()):
            if now - at > _DELETED_RETENTION_LAGS * lag:
                del ctx.deleted_at[name]
        present = set()
        for entry in listing.machines:
            present.add(entry.name)
            self._apply_entry(entry, listing.began_at, now)
        for machine in list(ctx.fleet.machines.values()):
            seen_at = max(machine.estimated_launch_at, machine.listed_at, machine.last_heartbeat_at)
            unseen_s = listing.began_at - seen_at
            if machine.name not in present and not machine.deleting and unseen_s > MISSING_AFTER_LAGS * lag:
                self._handle_missing(machine)

    def _apply_entry(self, entry: ListedMachine, listed_at: float, now: float) -> None:
        """Apply one entry of a list."""
        machine = self._ctx.fleet.machines.get(entry.name)
        if machine is None:
            machine = self._add_unknown(entry, now)
            if machine is None:
                return
        else:
            machine.listed_at = listed_at
        if entry.endpoint and not machine.endpoint:
            machine.endpoint = entry.endpoint
        if entry.status == "failed":
            self._deletions.mark(machine, "failed")
        elif not machine.is_up:
            machine.estimated_launch_at = min(machine.estimated_launch_at, now - entry.age_s)

    def _add_unknown(self, entry: ListedMachine, now: float) -> Machine | None:
        """Add an unknown machine: of a launch that was executed late, or of an earlier leader."""
        ctx = self._ctx
        machine_type = ctx.machine_types.get(entry.machine_type)
        if machine_type is None or entry.name in ctx.deleted_at:
            return None
        machine = Machine(
            entry.name, machine_type, entry.zone, entry.spot, estimated_launch_at=now - entry.age_s
        )
        ctx.fleet.machines[entry.name] = machine
        ctx.scheduling_needed = True
        return machine

    def _handle_missing(self, machine: Machine) -> None:
        """Handle a machine that should be listed and is not: probably an earlier leader deleted it.

        If it never was up, it holds no tasks, and if it comes up after all, its heartbeats add it again.
        Otherwise only its deletion proves that it holds none. Until then, the resources that it may use count
        against every team, and tasks of older jobs wait, until its last lease has certainly expired, and
        again with each new leader.
        """
        if machine.is_up:
            self._deletions.mark(machine, "not listed")
        else:
            self._ctx.fleet.machines.pop(machine.name)
