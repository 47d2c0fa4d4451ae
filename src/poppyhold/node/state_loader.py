"""Rebuilding of the leader's state at the start of a term, from the records of earlier leaders."""

from __future__ import annotations

from poppyhold.durable.changes import Data
from poppyhold.durable.records import MachineRecord
from poppyhold.durable.snapshot import Snapshot
from poppyhold.execution.completions import Completions
from poppyhold.execution.failures import FailureTracker
from poppyhold.execution.reconciliation import AttemptReconciler
from poppyhold.machines.autoscaler import Autoscaler
from poppyhold.model.context import Context
from poppyhold.model.entities import Machine, RecordState
from poppyhold.node.job_lifecycle import JobLifecycle
from poppyhold.scheduling.admission import Admission
from poppyhold.wire.codec import convert


class StateLoader:
    """Rebuilds jobs, machines and launches from a snapshot; running tasks come with workers' heartbeats."""

    def __init__(
        self,
        ctx: Context,
        jobs: JobLifecycle,
        admission: Admission,
        reconciler: AttemptReconciler,
        autoscaler: Autoscaler,
        completions: Completions,
        failures: FailureTracker,
    ) -> None:
        self._ctx, self._jobs, self._admission = ctx, jobs, admission
        self._reconciler, self._autoscaler = reconciler, autoscaler
        self._completions, self._failures = completions, failures

    def load(self, snapshot: Snapshot, now: float) -> None:
        """Load all records of the snapshot except quotas; ``now`` is the start time of the load."""
        for name, data in snapshot.machines.items():
            self._load_machine(name, data, now)
        for name, data in snapshot.launches.items():
            self._autoscaler.load_launch(name, data)
        self._load_jobs(snapshot)
        for machine in self._ctx.fleet.machines.values():
            self._reconciler.lifecycle.commands.request_heartbeat(machine, now)

    def _load_machine(self, name: str, data: Data, now: float) -> None:
        """Load a machine, which may run tasks of earlier terms, as unreconciled."""
        record = convert(data, MachineRecord)
        self._ctx.machine_types.setdefault(record.machine_type.name, record.machine_type)
        machine = Machine(name, record.machine_type, record.zone, record.spot, estimated_launch_at=now)
        machine.endpoint = record.endpoint
        machine.images.update(self._ctx.image_hints.get(name, ()))
        machine.record_state, machine.is_up = RecordState.DURABLE, True
        self._ctx.fleet.machines[name] = machine
        self._reconciler.lease_expiry.unreconciled.add(name)

    def _load_jobs(self, snapshot: Snapshot) -> None:
        jobs = self._ctx.fleet.jobs
        for entry in snapshot.active_jobs:
            job = self._jobs.create(entry)
            if job is not None and job.id in snapshot.plans:
                self._admission.records.load(job, snapshot.plans[job.id])
                self._failures.load(job)
        for job_id in snapshot.plans.keys() - jobs.keys():
            # The job was finalized, but its plan was not removed.
            self._admission.records.remove(job_id)
        for prefix, records in snapshot.completions.items():
            self._completions.load(prefix, records)
        for job in sorted(jobs.values(), key=lambda job: job.submitted_at):
            self._jobs.resume(job)
