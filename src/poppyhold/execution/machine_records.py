"""Durable records of machines that may hold tasks: the next leader asks those before it starts anything."""

from __future__ import annotations

from poppyhold.durable.changes import put_record
from poppyhold.durable.keys import MACHINE_PREFIX
from poppyhold.durable.records import MachineRecord
from poppyhold.model.context import Context
from poppyhold.model.entities import Machine, RecordState
from poppyhold.model.outbound import CommitPriority

# Bound once, as every heartbeat comes here: reading a member from its enum takes as long as the call.
_NOT_RECORDED = RecordState.NOT_RECORDED


def request_machine_record(ctx: Context, machine: Machine) -> None:
    """Make a machine's record durable, unless it is, or is being written, or the machine is being deleted."""
    if machine.record_state is not _NOT_RECORDED or machine.deleting:
        return
    machine.record_state = RecordState.REQUESTED

    def on_committed(done: bool) -> None:
        machine.record_state = RecordState.DURABLE if done else RecordState.NOT_RECORDED
        ctx.scheduling_needed = True

    record = MachineRecord(machine.endpoint, machine.machine_type, machine.zone, machine.spot)
    write = put_record(MACHINE_PREFIX + machine.name, record)
    # Nothing starts on the machine before: a plan's record is of no use to a leader that does not know of it.
    ctx.outbound.commit({}, [write], on_committed, CommitPriority.HIGHEST)
