"""Removal of the attempts on machines whose last lease has expired, or that are deleted."""

from __future__ import annotations

import logging

from poppyhold.execution.attempt_lifecycle import AttemptLifecycle
from poppyhold.model.context import Context
from poppyhold.model.entities import Machine

log = logging.getLogger(__name__)


class LeaseExpiry:
    """Removes the attempts on machines whose leases have expired, and tracks the unreconciled machines."""

    def __init__(self, ctx: Context, lifecycle: AttemptLifecycle) -> None:
        self._ctx, self._lifecycle = ctx, lifecycle
        self.term_began_at = ctx.clock()
        # Names of machines that may run tasks of earlier terms: they are not reconciled in this term, and
        # their leases may not have expired.
        self.unreconciled: set[str] = set()
        self._all_reconciled_logged = False

    def all_reconciled(self) -> bool:
        """Whether no unreconciled machine may run tasks of earlier terms."""
        if self.unreconciled:
            return False
        if not self._all_reconciled_logged:
            self._all_reconciled_logged = True
            log.info("all machines reconciled: after_s=%.1f", self._ctx.clock() - self.term_began_at)
        return True

    def expire_leases(self, machine: Machine, now: float) -> None:
        """Remove the attempts on a silent worker if its lease has expired, whoever renewed it last."""
        durations = self._ctx.durations
        if machine.reconciled:
            # The worker has the term's fencing token, so only this leader and its delegates could renew its
            # lease, as long as no other controller led.
            renewed_at = max(machine.last_answered_at, self._ctx.outbound.latest_delegated_renewal_at())
            bound = renewed_at + durations.lease_expired_s
        else:
            # Earlier leaders may have renewed its lease: the bound assumes that they did as late as possible.
            bound = max(
                self.term_began_at + durations.predecessors_expired_s,
                machine.last_answered_at + durations.lease_expired_s,
            )
        if now <= bound or self._ctx.outbound.leadership_confirmed_at() <= bound:
            return
        if machine.attempts:
            log.debug("lease expired: machine=%s attempts=%d", machine.name, len(machine.attempts))
        for attempt in list(machine.attempts.values()):
            self._lifecycle.mark_terminated(attempt)
        self.unreconciled.discard(machine.name)

    def machine_deleted(self, machine: Machine) -> None:
        """Remove a machine that the cloud has deleted, and its attempts."""
        now = self._ctx.clock()
        for attempt in list(machine.attempts.values()):
            self._lifecycle.mark_terminated(attempt)
        self.unreconciled.discard(machine.name)
        self._lifecycle.commands.discard(machine)
        self._ctx.fleet.machines.pop(machine.name, None)
        self._ctx.deleted_at[machine.name] = now
        self._ctx.scheduling_needed = True
