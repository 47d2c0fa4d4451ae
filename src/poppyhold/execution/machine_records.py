"""Durable records of machines that may run tasks, so that the next leader reconciles them first."""

from __future__ import annotations

from poppyhold.durable.changes import put_record
from poppyhold.durable.keys import MACHINE_PREFIX
from poppyhold.durable.records import MachineRecord
from poppyhold.model.context import Context
from poppyhold.model.entities import Machine, RecordState
from poppyhold.model.outbound import CommitPriority

# Bound once: an enum member lookup takes as long as the rest of the call, which is made for each heartbeat.
_NOT_RECORDED = RecordState.NOT_RECORDED


def request_machine_record(ctx: Context, machine: Machine) -> None:
    """Write a machine's record, unless it is durable or being written, or the machine is being deleted."""
    if machine.record_state is not _NOT_RECORDED or machine.deleting:
        return
    machine.record_state = RecordState.REQUESTED

    def on_committed(done: bool) -> None:
        machine.record_state = RecordState.DURABLE if done else RecordState.NOT_RECORDED
        ctx.scheduling_needed = True

    record = MachineRecord(machine.endpoint, machine.machine_type, machine.zone, machine.spot)
    write = put_record(MACHINE_PREFIX + machine.name, record)
    # No task starts on the machine before this record is durable. Otherwise the next leader might start the
    # same task elsewhere, as it would not know of a machine to reconcile.
    ctx.outbound.commit({}, [write], on_committed, CommitPriority.HIGHEST)
