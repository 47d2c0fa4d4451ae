"""Deleting machines: marked first, so that nothing starts on them, and gone once the cloud has said so."""

from __future__ import annotations

import logging
from collections.abc import Callable

from poppyhold.durable.changes import Delete
from poppyhold.durable.keys import MACHINE_PREFIX
from poppyhold.execution.reconciliation import AttemptReconciler
from poppyhold.model.context import Context
from poppyhold.model.entities import Machine, RecordState

log = logging.getLogger(__name__)

DELETE_LIMIT = 100
# Names in a line of the log.
_NAMED = 8


class Deletions:
    """Machines that are to be deleted, a request at a time."""

    def __init__(self, ctx: Context, attempts: AttemptReconciler, on_gone: Callable[[Machine], None]) -> None:
        self._ctx, self._reconciler, self._on_gone = ctx, attempts, on_gone
        self._in_flight = False
        # Machines that were not told of yet, by reason: hundreds go at one moment at times.
        self._unlogged: dict[str, list[str]] = {}

    def mark(self, machine: Machine, why: str) -> None:
        """Delete a machine: from now on nothing starts on it, whether or not an answer comes soon."""
        if not machine.deleting:
            machine.deleting = True
            self._unlogged.setdefault(why, []).append(machine.name)

    def send_request(self) -> None:
        """Ask the cloud to delete what is marked."""
        for why, names in self._unlogged.items():
            log.info("delete %d machines: %s: %s", len(names), why, ", ".join(names[:_NAMED]))
        self._unlogged.clear()
        # Who is not sure to lead must not delete: workers that it misses may have gone to the next leader.
        if self._in_flight or not self._ctx.outbound.may_start_tasks():
            return
        names = [m.name for m in self._ctx.fleet.machines.values() if m.deleting][:DELETE_LIMIT]
        if not names:
            return
        self._in_flight = True

        def deleted(done: bool) -> None:
            self._in_flight = False
            if done:
                for name in names:
                    machine = self._ctx.fleet.machines.get(name)
                    if machine is not None:
                        self._on_deleted(machine)

        self._ctx.outbound.delete_machines(names, deleted)

    def _on_deleted(self, machine: Machine) -> None:
        recorded = machine.record_state is not RecordState.NOT_RECORDED
        self._reconciler.machine_deleted(machine)
        self._on_gone(machine)
        if recorded:
            self._ctx.outbound.commit({}, [Delete(MACHINE_PREFIX + machine.name)], lambda done: None)
