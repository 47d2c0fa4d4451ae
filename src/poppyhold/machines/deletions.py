"""Deletion of machines: marked first, so that no task starts on them, then requested in batches."""

from __future__ import annotations

import logging
from collections.abc import Callable

from poppyhold.durable.changes import Delete
from poppyhold.durable.keys import MACHINE_PREFIX
from poppyhold.execution.reconciliation import AttemptReconciler
from poppyhold.model.context import Context
from poppyhold.model.entities import Machine, RecordState

log = logging.getLogger(__name__)

MAX_MACHINES_PER_DELETION = 100
# Machine names in a log line.
_MAX_NAMES_LOGGED = 8


class Deletions:
    """Deletes marked machines, with one request to the cloud at a time."""

    def __init__(
        self, ctx: Context, reconciler: AttemptReconciler, on_deleted: Callable[[Machine], None]
    ) -> None:
        self._ctx, self._reconciler, self._notify_deleted = ctx, reconciler, on_deleted
        self._in_flight = False
        # Marked machines to be logged, by reason: one line for each, as hundreds may be marked at once.
        self._unlogged: dict[str, list[str]] = {}

    def mark(self, machine: Machine, reason: str) -> None:
        """Mark a machine for deletion: from now on no task starts on it, even if the cloud responds late."""
        if not machine.deleting:
            machine.deleting = True
            self._unlogged.setdefault(reason, []).append(machine.name)

    def send_request(self) -> None:
        """Request the deletion of marked machines."""
        for reason, names in self._unlogged.items():
            log.info(
                "deleting machines: count=%d reason=%r machines=%s",
                len(names),
                reason,
                ",".join(names[:_MAX_NAMES_LOGGED]),
            )
        self._unlogged.clear()
        # Without confirmed leadership nothing is deleted: silent workers may follow the next leader.
        if self._in_flight or not self._ctx.may_start_tasks():
            return
        names = [machine.name for machine in self._ctx.fleet.machines.values() if machine.deleting]
        names = names[:MAX_MACHINES_PER_DELETION]
        if not names:
            return
        self._in_flight = True

        def on_response(done: bool) -> None:
            self._in_flight = False
            if done:
                for name in names:
                    machine = self._ctx.fleet.machines.get(name)
                    if machine is not None:
                        self._on_deleted(machine)

        self._ctx.outbound.delete_machines(names, on_response)

    def _on_deleted(self, machine: Machine) -> None:
        recorded = machine.record_state is not RecordState.NOT_RECORDED
        self._reconciler.lease_expiry.machine_deleted(machine)
        self._notify_deleted(machine)
        if recorded:
            self._ctx.outbound.commit({}, [Delete(MACHINE_PREFIX + machine.name)], lambda done: None)
