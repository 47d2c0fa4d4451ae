"""Durable records of plans: the number of tasks that may start by slot and zone."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from poppyhold.durable.changes import Data, Delete, Put
from poppyhold.durable.keys import ACTIVE_JOB_PREFIX, PLAN_PREFIX
from poppyhold.durable.records import PlanRecord
from poppyhold.durable.store import stored_bytes
from poppyhold.model.context import Context
from poppyhold.model.entities import Job
from poppyhold.model.outbound import CommitPriority
from poppyhold.scheduling.quotas import Quotas
from poppyhold.wire.codec import convert
from poppyhold.wire.user_messages import PRIORITIES

# Plans of jobs of this priority or higher are committed as urgent.
_LOWEST_URGENT_PRIORITY = PRIORITIES.index("high")


class PlanRecords:
    """Writes plan records, and loads those that earlier leaders wrote."""

    def __init__(self, ctx: Context, quotas: Quotas, on_job_already_finalized: Callable[[Job], None]) -> None:
        self._ctx, self._quotas, self._on_job_already_finalized = ctx, quotas, on_job_already_finalized
        self._max_record_bytes = ctx.settings.deployment.state.lowest.value_bytes

    def write(self, job: Job) -> None:
        """Write the job's plan record unless a write is in flight; tasks may start once one is durable."""
        if job.plan_write_in_flight:
            return
        job.plan_write_in_flight = True
        data = self._record(job)

        def on_committed(committed: bool) -> None:
            job.plan_write_in_flight = False
            if committed:
                job.plan_durable = True
                self._ctx.scheduling_needed = True
            else:
                # The job's record is gone: it was finalized, and the notification has not arrived yet.
                self._on_job_already_finalized(job)

        conditions = {ACTIVE_JOB_PREFIX + job.id: job.record_revision}
        self._ctx.outbound.commit(
            conditions, [Put(PLAN_PREFIX + job.id, data)], on_committed, self._plan_commit_priority(job)
        )

    def load(self, job: Job, data: Data) -> None:
        """Load the plan record that an earlier leader wrote for the job."""
        job.not_started_by_earlier_leaders = False
        job.plan_durable = True
        record = convert(data, PlanRecord)
        job.plan = {int(slot): zones for slot, zones in record.slots.items()}
        job.admitted = bool(job.plan)
        job.failures.at_fault = record.at_fault

    def remove(self, job_id: str) -> None:
        """Remove the plan record of a finalized job at the lowest commit priority."""
        self._ctx.outbound.commit({}, [Delete(PLAN_PREFIX + job_id)], lambda committed: None)

    def commit_priority(self, job: Job) -> CommitPriority:
        """Return the commit priority of a change to the job that a user waits for."""
        return (
            CommitPriority.NORMAL
            if self._quotas.has_guarantee(job.spec.team)
            else CommitPriority.UNGUARANTEED
        )

    def _plan_commit_priority(self, job: Job) -> CommitPriority:
        priority = self.commit_priority(job)
        return (
            CommitPriority.URGENT
            if priority is CommitPriority.NORMAL and job.priority <= _LOWEST_URGENT_PRIORITY
            else priority
        )

    def _record(self, job: Job) -> Data:
        """Return the plan record; its last slots are dropped until it fits the size limit.

        Tasks of dropped slots start later, on capacity that no plan books.
        """
        slots = sorted(job.plan)
        while True:
            record = PlanRecord({str(slot): job.plan[slot] for slot in slots}, job.failures.at_fault)
            data: Data = msgspec.to_builtins(record)
            if not slots or stored_bytes(data) <= self._max_record_bytes:
                return data
            slots.pop()
