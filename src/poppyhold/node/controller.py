"""`Controller`, the decision core of one leadership term: holds the fleet's state and does no I/O itself."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable

from poppyhold.durable.changes import Entry
from poppyhold.durable.keys import ACTIVE_JOB_PREFIX
from poppyhold.durable.snapshot import Snapshot
from poppyhold.execution.completions import Completions
from poppyhold.execution.failures import FailureTracker
from poppyhold.execution.reconciliation import AttemptReconciler
from poppyhold.machines.autoscaler import Autoscaler
from poppyhold.model.context import Context, ImageHints
from poppyhold.model.durations import Durations
from poppyhold.model.entities import Attempt, Job, JobPhase
from poppyhold.model.fencing_tokens import highest_reserved_fencing_token
from poppyhold.model.job_status import TaskCounts
from poppyhold.model.outbound import OutboundPort
from poppyhold.node.job_lifecycle import JobLifecycle
from poppyhold.node.machine_lifecycle import MachineLifecycle
from poppyhold.node.scheduling_cycle import SchedulingCycle
from poppyhold.node.state_loader import StateLoader
from poppyhold.options import Options
from poppyhold.quota.cell_service import CellQuotaService
from poppyhold.scheduling.admission import Admission
from poppyhold.scheduling.dispatch import Dispatcher
from poppyhold.scheduling.quotas import Quotas
from poppyhold.settings import Settings
from poppyhold.wire.cloud_messages import MachineListing, MachineType
from poppyhold.wire.worker_messages import Heartbeat, HeartbeatResponse

# Silent workers probed per heartbeat interval, as a share of the maximum connections of users and workers.
_SILENT_PROBE_SHARE = 0.25
# Saves of completions per heartbeat interval.
_COMPLETION_SAVES_PER_INTERVAL = 2


class Controller:
    """Handles events in order, one at a time, and answers heartbeats. A process has one only while it leads.

    The constructor creates and connects the components. The event handlers only delegate to the components
    that an event concerns.
    """

    def __init__(
        self,
        settings: Settings,
        options: Options,
        outbound: OutboundPort,
        fencing_token: int,
        clock: Callable[[], float],
        wall_clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        durations = Durations(settings, options)
        connections = settings.deployment.machine_limits.connections
        self.ctx = Context(
            settings=settings,
            options=options,
            durations=durations,
            outbound=outbound,
            clock=clock,
            wall_clock=wall_clock,
            rng=rng,
            term_fencing_token=fencing_token,
            max_initial_probes=connections * options.relays.from_share,
            silent_probes_per_interval=connections * _SILENT_PROBE_SHARE,
            highest_fencing_token=highest_reserved_fencing_token(fencing_token),
        )
        self._quotas = Quotas(settings.deployment.teams)
        self.failures = FailureTracker(durations, clock, self._on_fault_status_changed)
        self.reconciler = AttemptReconciler(
            self.ctx,
            self._on_task_completed,
            self._on_attempt_terminated,
            self._on_run_completed,
            self.failures,
        )
        self.admission = Admission(self.ctx, self._quotas, self._on_job_found_finalized)
        self.dispatcher = Dispatcher(self.ctx, self.reconciler, self._quotas, self.admission)
        self._machines = MachineLifecycle(self.ctx, self.admission, self.reconciler)
        # Bound once, as it is called for every heartbeat.
        self._update_availability = self._machines.update_availability
        self.autoscaler = Autoscaler(self.ctx, self.reconciler, self._quotas, self._machines.handle_removed)
        self.completions = Completions(self.ctx)
        self._cycle = SchedulingCycle(self.ctx, self._quotas, self.dispatcher, self.reconciler)
        self._jobs = JobLifecycle(
            self.ctx,
            self.admission,
            self.reconciler,
            self.completions,
            self.autoscaler,
            self._cycle.mark_guarantees_stale,
        )
        self.cell_quota = self._make_cell_quota(options)
        self._save_completions_at = 0.0

    def _make_cell_quota(self, options: Options) -> CellQuotaService | None:
        """Create the service for the cell's shares of the teams' limits; None in a fleet of one cell."""
        if options.cells is None:
            return None
        return CellQuotaService(
            self.ctx,
            options.cells,
            self._quotas,
            lambda: self.ctx.fleet.unaccounted_resources(self.reconciler.lease_expiry.unreconciled),
            self.autoscaler.can_launch,
            self._on_quotas_changed,
        )

    def load(
        self, snapshot: Snapshot, machine_types: Iterable[MachineType], image_hints: ImageHints | None = None
    ) -> None:
        """Rebuild the state from durable records; workers' heartbeats complete it.

        ``image_hints`` are the images cached on machines, from earlier leaders' pings; they affect only
        preferences.
        """
        now = self.ctx.clock()
        self.ctx.image_hints = image_hints or {}
        if self.cell_quota is not None:
            self.cell_quota.load(snapshot.quota)
        self.handle_machine_types(machine_types)
        loader = StateLoader(
            self.ctx,
            self._jobs,
            self.admission,
            self.reconciler,
            self.autoscaler,
            self.completions,
            self.failures,
        )
        loader.load(snapshot, now)

    # -- event handlers ------------------------------------------------------------------------------

    def handle_machine_types(self, machine_types: Iterable[MachineType]) -> None:
        """Update the machine types and their current prices from the cloud."""
        for machine_type in machine_types:
            self.ctx.machine_types[machine_type.name] = machine_type

    def handle_heartbeat(self, heartbeat: Heartbeat) -> HeartbeatResponse | None:
        """Answer a worker's heartbeat; None if it must not be answered."""
        response = self.reconciler.handle_heartbeat(heartbeat)
        machine = self.ctx.fleet.machines.get(heartbeat.machine)
        if machine is not None:
            self._update_availability(machine)
        return response

    def handle_job_accepted(self, entry: Entry) -> None:
        """Handle a durable submission that the watch of the state service delivered."""
        self._jobs.handle_accepted(entry)

    def handle_job_removed(self, key: str) -> None:
        """Handle the removal of an active job's key: the job was cancelled, or all its tasks are done."""
        self._jobs.handle_finalized(key.removeprefix(ACTIVE_JOB_PREFIX))

    def reconcile_active_jobs(self, entries: list[Entry]) -> None:
        """Handle a restart of the state service's watch: jobs missing from ``entries`` were finalized."""
        present = {entry.key for entry in entries}
        for job_id in list(self.ctx.fleet.jobs):
            if ACTIVE_JOB_PREFIX + job_id not in present:
                self._jobs.handle_finalized(job_id)
        for entry in entries:
            self._jobs.handle_accepted(entry)

    def handle_machine_listing(self, listing: MachineListing) -> None:
        """Handle a complete list of the cloud's machines."""
        self.autoscaler.handle_listing(listing)

    def tick(self) -> None:
        """Do the periodic work of all components."""
        now = self.ctx.clock()
        self.admission.advance_slot()
        self.failures.tick()
        self.autoscaler.watch()
        self._machines.drain_all(now)
        self.reconciler.fencing.reserve_fencing_tokens()
        self.reconciler.lifecycle.gangs.tick(now)
        if now >= self._save_completions_at:
            interval_s = self.ctx.durations.heartbeat_interval_s
            self._save_completions_at = now + interval_s / _COMPLETION_SAVES_PER_INTERVAL
            self.completions.save()
        self.autoscaler.scale()
        if self.cell_quota is not None:
            self.cell_quota.tick()
        self.ctx.scheduling_needed = True

    def scheduling_due_at(self) -> float | None:
        """Return the earliest time of the next scheduling cycle; None if there is nothing to schedule."""
        return self._cycle.due_at()

    def run_scheduling_cycle(self) -> None:
        """Run a scheduling cycle if one is due, and send the queued commands."""
        self._cycle.run_if_due()
        self.reconciler.lifecycle.commands.send_queued()

    # -- queries of the state ------------------------------------------------------------------------

    def last_answered_at(self, machine_name: str) -> float:
        """Return when the machine's worker was last answered in this term, or -inf."""
        machine = self.ctx.fleet.machines.get(machine_name)
        return machine.last_answered_at if machine is not None else float("-inf")

    def task_counts(self) -> dict[str, TaskCounts]:
        """Return the done and running tasks of each job that is not finalized."""
        return {
            job.id: TaskCounts(job.done, job.running)
            for job in self.ctx.fleet.jobs.values()
            if job.phase is not JobPhase.FINALIZED
        }

    def excluded_machines(self) -> list[str] | None:
        """Return the machines whose leases delegates must not renew; None: delegates must not renew any.

        The machines run tasks of finalized jobs or unknown tasks, which must end in time and which
        delegates can't stop. None while a machine may run tasks of earlier terms.
        """
        if self.reconciler.lease_expiry.unreconciled:
            return None
        finalized = JobPhase.FINALIZED
        return [
            machine.name
            for machine in self.ctx.fleet.machines.values()
            if machine.unknown_tasks
            or any(attempt.job.phase is finalized for attempt in machine.attempts.values())
        ]

    def image_hints(self) -> ImageHints:
        """Return the images on each machine, for the next leader."""
        return {
            machine.name: tuple(machine.images.items())
            for machine in self.ctx.fleet.machines.values()
            if machine.images
        }

    # -- callbacks between components ----------------------------------------------------------------

    # Each callback is passed to a component that is constructed before the one that the callback uses.

    def _on_fault_status_changed(self, job: Job) -> None:
        self.admission.fault_changed(job)

    def _on_task_completed(self, job: Job, index: int) -> None:
        self._jobs.handle_task_completed(job, index)

    def _on_attempt_terminated(self, attempt: Attempt) -> None:
        self._jobs.handle_attempt_ended(attempt)

    def _on_run_completed(self, attempt: Attempt, now: float) -> None:
        self._jobs.record_run_time(attempt, now)

    def _on_job_found_finalized(self, job: Job) -> None:
        self._jobs.handle_finalized(job.id)

    def _on_quotas_changed(self) -> None:
        self._cycle.mark_guarantees_stale()
        self.ctx.scheduling_needed = True
