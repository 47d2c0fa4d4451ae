"""The decision core of one term: it owns the fleet's state, and does no I/O of its own."""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Iterable

from poppyhold.concurrency.recent import Recent
from poppyhold.durable.records import MachineRecord
from poppyhold.durable.snapshot import Snapshot
from poppyhold.durable.store import ACTIVE, Data, Entry, final_writes
from poppyhold.execution.completions import Completions
from poppyhold.execution.failures import Failures
from poppyhold.execution.gangs import GangState
from poppyhold.execution.reconciliation import AttemptReconciler
from poppyhold.machines.autoscaler import Autoscaler
from poppyhold.model.context import Context, ImageHints
from poppyhold.model.durations import Durations
from poppyhold.model.entities import Attempt, Job, JobPhase, Machine, RecordState, StartChannel, make_job
from poppyhold.model.outbound import OutboundPort
from poppyhold.options import Options
from poppyhold.quota.cell_quota import CellQuota
from poppyhold.scheduling.admission import Admission
from poppyhold.scheduling.dispatch import Dispatcher
from poppyhold.scheduling.quotas import Quotas
from poppyhold.settings import Settings
from poppyhold.wire.messages import (
    Heartbeat,
    HeartbeatResponse,
    Listing,
    MachineType,
    MalformedError,
    TaskState,
    convert,
    parse_submission,
)

# Silent workers that are asked for reports within an interval, as a share of the connections.
_QUIET_SHARE = 0.25


class Controller:
    """Takes events in order, one at a time, and answers reports."""

    def __init__(
        self,
        settings: Settings,
        options: Options,
        outbound: OutboundPort,
        fencing_token: int,
        clock: Callable[[], float],
        wall: Callable[[], float],
        rng: random.Random,
    ) -> None:
        times = Durations(settings, options)
        self.ctx = Context(settings, options, outbound, clock, wall, rng, fencing_token, fencing_token, times)
        connections = settings.settings.machine_limits.connections
        self.ctx.max_initial_probes = connections * options.relays.from_share
        self.ctx.silent_probe_rate = connections * _QUIET_SHARE
        self._quotas = Quotas(settings.settings.teams)
        self._guarantees_stale = True
        self.failures = Failures(times, clock, self._judged)
        self.reconciler = AttemptReconciler(
            self.ctx, self._task_done, self._attempt_over, self._task_ran, self.failures
        )
        self.admission = Admission(self.ctx, self._quotas, lambda job: self.job_removed(ACTIVE + job.id))
        self.dispatcher = Dispatcher(self.ctx, self.reconciler, self._quotas, self.admission)
        self.autoscaler = Autoscaler(self.ctx, self.reconciler, self._quotas, self._machine_gone)
        self.completions = Completions(self.ctx)
        self.quota = self._make_quota(options)
        self._flush_at = 0.0
        # Jobs that were over before we heard of them. A cancellation may overtake the submission, in our own
        # queue or because another controller told of it: the job must not come into being behind it.
        self._ended: Recent[bool] = Recent(int(settings.settings.machine_limits.ram_mb * 10))
        # Before this moment no pass is made over what waits.
        self.settle_at = float("-inf")

    def _make_quota(self, options: Options) -> CellQuota | None:
        """This cell's shares of the teams' limits; None where the fleet is one cell."""
        if options.cells is None:
            return None
        return CellQuota(
            self.ctx,
            options.cells,
            self._quotas,
            lambda: self.ctx.fleet.unaccounted_resources(self.reconciler.unreconciled),
            self.autoscaler.can_rent,
            self._quotas_changed,
        )

    def _quotas_changed(self) -> None:
        self._guarantees_stale = self.ctx.scheduling_needed = True

    # -- the beginning of a term ---------------------------------------------------------------------

    def load(
        self, snapshot: Snapshot, machine_types: Iterable[MachineType], image_hints: ImageHints | None = None
    ) -> None:
        """Rebuild from what earlier leaders made durable; reports bring the rest.

        Hints are what the last leader told its peers of the machines' images: they only guide choices.
        """
        ctx = self.ctx
        ctx.image_hints = image_hints or {}
        now = ctx.clock()
        if self.quota is not None:
            self.quota.load(snapshot.quota)
        self.machine_types(machine_types)
        for name, data in snapshot.machines.items():
            self._load_machine(name, data, now)
        for name, data in snapshot.launches.items():
            self.autoscaler.load_launch(name, data)
        for entry in snapshot.active:
            job = self._add_job(entry)
            if job is not None and job.id in snapshot.plans:
                self.admission.records.load(job, snapshot.plans[job.id])
                self.failures.load(job)
        for job_id in snapshot.plans.keys() - ctx.fleet.jobs.keys():
            # Its job was over before its plan was removed.
            self.admission.records.remove(job_id)
        for prefix, records in snapshot.done.items():
            self.completions.load(prefix, records)
        for job in sorted(ctx.fleet.jobs.values(), key=lambda job: job.submitted_at):
            self._resume(job)
        for machine in ctx.fleet.machines.values():
            self.reconciler.commands.request_heartbeat(machine, now)

    def _load_machine(self, name: str, data: Data, now: float) -> None:
        """A machine that may hold tasks of earlier terms."""
        record = convert(data, MachineRecord)
        self.ctx.machine_types.setdefault(record.machine_type.name, record.machine_type)
        machine = Machine(name, record.machine_type, record.zone, record.spot, known_since=now)
        machine.endpoint = record.endpoint
        machine.images.update(self.ctx.image_hints.get(name, ()))
        machine.record_state, machine.is_up = RecordState.DURABLE, True
        self.ctx.fleet.machines[name] = machine
        self.reconciler.unreconciled.add(name)

    def _resume(self, job: Job) -> None:
        """Go on with a job of an earlier term."""
        self.autoscaler.arrivals.note(job.submitted_at, job.spec)
        if not job.plan_durable:
            self.admission.submit(job)
        if job.done == job.spec.tasks:
            self._finish(job)

    # -- events --------------------------------------------------------------------------------------

    def machine_types(self, machine_types: Iterable[MachineType]) -> None:
        """The cloud told its machine types and prices of now."""
        for machine_type in machine_types:
            self.ctx.machine_types[machine_type.name] = machine_type

    def handle_heartbeat(self, heartbeat: Heartbeat) -> HeartbeatResponse | None:
        """Answer a worker's report."""
        answer = self.reconciler.handle_heartbeat(heartbeat)
        machine = self.ctx.fleet.machines.get(heartbeat.machine)
        if machine is not None:
            self._follow_machine(machine)
        return answer

    def answered_at(self, machine_name: str) -> float:
        """When that machine's worker was answered last in this term."""
        machine = self.ctx.fleet.machines.get(machine_name)
        return machine.last_response_at if machine is not None else float("-inf")

    def job_set(self, entry: Entry) -> None:
        """A job was accepted."""
        job_id = entry.key.removeprefix(ACTIVE)
        if job_id in self.ctx.fleet.jobs or job_id in self._ended:
            return
        job = self._add_job(entry)
        if job is not None:
            self.autoscaler.arrivals.note(self.ctx.clock(), job.spec)
            self.admission.submit(job)

    def job_removed(self, key: str) -> None:
        """A job is over: cancelled by its user, or done by us."""
        job_id = key.removeprefix(ACTIVE)
        self._ended.put(job_id, True)
        job = self.ctx.fleet.jobs.get(job_id)
        if job is None or job.phase is JobPhase.FINALIZED:
            return
        job.phase = JobPhase.FINALIZED
        self.autoscaler.arrivals.note_end(self.ctx.clock(), job.spec)
        self._guarantees_stale = True
        self.admission.release_plan(job)
        now = self.ctx.clock()
        for attempt in list(job.active.values()):
            self.reconciler.stop(attempt, 0.0, now)
        self.completions.remove(job)
        if job.plan_durable or job.plan_write_in_flight:
            self.admission.records.remove(job_id)
        self._prune(job)
        self.ctx.scheduling_needed = True

    def resync(self, entries: list[Entry]) -> None:
        """The watch began anew: what is not among the entries is over."""
        present = {entry.key for entry in entries}
        for job_id in list(self.ctx.fleet.jobs):
            if ACTIVE + job_id not in present:
                self.job_removed(ACTIVE + job_id)
        for entry in entries:
            self.job_set(entry)

    def listed(self, listing: Listing) -> None:
        """The cloud listed its machines."""
        self.autoscaler.listed(listing)

    def tick(self) -> None:
        """What time alone brings about."""
        now = self.ctx.clock()
        self.admission.advance_slot()
        self.failures.tick()
        self.autoscaler.watch()
        self._drain(now)
        self.reconciler.commands.raise_fencing_token()
        self.reconciler.gangs.tick(now)
        if now >= self._flush_at:
            self._flush_at = now + self.ctx.durations.heartbeat_interval_s / 2
            self.completions.save()
        self.autoscaler.scale()
        if self.quota is not None:
            self.quota.tick()
        self.ctx.scheduling_needed = True

    def settle(self) -> None:
        """After a batch of events: start what may start, and send it.

        Events gather between passes over all that waits. Those of a large fleet come so fast that passes
        without a rest would take all that reports leave; so they take a seventh of the time at the most.
        """
        began = self.ctx.clock()
        if self.ctx.scheduling_needed and began >= self.settle_at and self.ctx.outbound.may_start_tasks():
            self.ctx.scheduling_needed = False
            if self._guarantees_stale:
                self._guarantees_stale = False
                self._quotas.mark_guaranteed(
                    job for job in self.ctx.fleet.jobs.values() if job.phase is not JobPhase.FINALIZED
                )
            self.dispatcher.dispatch(self.reconciler.all_reconciled())
            ended = self.ctx.clock()
            rest = max(6 * (ended - began), self.ctx.durations.heartbeat_interval_s / 25)
            self.settle_at = ended + min(rest, self.ctx.durations.heartbeat_interval_s / 2)
        self.reconciler.commands.send_queued()

    def counts(self) -> dict[str, tuple[int, int]]:
        """Done and running tasks by job, for display."""
        return {
            job.id: (job.done, job.running)
            for job in self.ctx.fleet.jobs.values()
            if job.phase is not JobPhase.FINALIZED
        }

    def excluded_machines(self) -> list[str] | None:
        """Machines whose leases nobody may prolong but us; None before we know all of them.

        What runs there of cancelled jobs must be gone in time, or is none of ours.
        """
        if self.reconciler.unreconciled:
            return None
        finalized = JobPhase.FINALIZED
        return [
            machine.name
            for machine in self.ctx.fleet.machines.values()
            if machine.unknown_tasks
            or any(attempt.job.phase is finalized for attempt in machine.attempts.values())
        ]

    def image_hints(self) -> ImageHints:
        """The machines' images, for the next leader."""
        return {
            machine.name: tuple(machine.images.items())
            for machine in self.ctx.fleet.machines.values()
            if machine.images
        }

    # -- jobs ----------------------------------------------------------------------------------------

    def _add_job(self, entry: Entry) -> Job | None:
        try:
            spec = parse_submission(entry.data["spec"])
        except (KeyError, MalformedError):
            return None
        # Its user's clock began at the time of day that is kept with it.
        ago = max(0.0, self.ctx.wall_clock() - float(entry.data["at"]))
        job = make_job(spec, entry.version, self.ctx.clock() - ago)
        self.ctx.fleet.jobs[job.id] = job
        self._guarantees_stale = True
        self.ctx.scheduling_needed = True
        return job

    def _prune(self, job: Job) -> None:
        if job.phase is JobPhase.FINALIZED and not job.active:
            self.ctx.fleet.jobs.pop(job.id, None)

    def _judged(self, job: Job) -> None:
        self.admission.fault_changed(job)

    def _task_ran(self, attempt: Attempt, now: float) -> None:
        # Only whole runs tell how long a task takes.
        if attempt.start_channel is not StartChannel.OBSERVED and attempt.running_at is not None:
            self.admission.estimates.record_run(attempt.job, now - attempt.running_at)

    def _task_done(self, job: Job, index: int) -> None:
        other = job.active.get(index)
        if other is not None:
            self.reconciler.stop(other, 0.0, self.ctx.clock())
        if job.done == job.spec.tasks:
            self._finish(job)

    def _finish(self, job: Job) -> None:
        if job.phase is not JobPhase.ACTIVE:
            return
        job.phase = JobPhase.FINALIZING

        def durable(done: bool) -> None:
            if done:
                self.ctx.outbound.job_finalized(job.id, "done", job.spec.tasks)
            # Otherwise it is over in another way, or was by a repeat of this: the watch tells.
            self.job_removed(ACTIVE + job.id)

        self.ctx.outbound.commit(
            {ACTIVE + job.id: job.version},
            final_writes(job.id, "done", job.spec.tasks),
            durable,
            self.admission.records.commit_priority(job),
        )

    # -- machines ------------------------------------------------------------------------------------

    def _attempt_over(self, attempt: Attempt) -> None:
        self.admission.attempt_ended(attempt)
        job = attempt.job
        if job.phase is JobPhase.FINALIZED and set(job.active) <= {attempt.index}:
            self.ctx.fleet.jobs.pop(job.id, None)

    def _follow_machine(self, machine: Machine) -> None:
        usable = machine.is_up and machine.reconciled and not (machine.quarantined or machine.deleting)
        if usable and machine.preempted_at is None:
            self.admission.add_machine(machine)
        else:
            self.admission.remove_machine(machine)

    def _machine_gone(self, machine: Machine) -> None:
        self.admission.remove_machine(machine)

    def _drain(self, now: float) -> None:
        """Move work off machines that will go: a notice may last half as long as it says."""
        times = self.ctx.durations
        for machine in self.ctx.fleet.machines.values():
            if (machine.preempted_at is None and not machine.quarantined) or machine.deleting:
                continue
            self.admission.remove_machine(machine)
            left = math.inf
            if machine.preempted_at is not None and machine.notice_at is not None:
                left = (machine.preempted_at - machine.notice_at) / 2 - (now - machine.notice_at)
            for attempt in list(machine.attempts.values()):
                if attempt.stopping_at is not None or not self._must_go(attempt, left, now):
                    continue
                if attempt.job.is_gang:
                    self._drain_gang(attempt, left, now)
                else:
                    grace_s = (
                        attempt.job.spec.save_s + times.heartbeat_interval_s
                        if attempt.job.spec.checkpoint_s > 0
                        else 0.0
                    )
                    self.reconciler.stop(attempt, grace_s, now)

    def _drain_gang(self, attempt: Attempt, left: float, now: float) -> None:
        """Move one task of a gang that assembles; a gang that runs is stopped as a whole."""
        gangs, job = self.reconciler.gangs, attempt.job
        if gangs.state_of(job) is GangState.ASSEMBLING:
            self.reconciler.stop(attempt, 0.0, now)
        else:
            # With less time than saving takes its progress is lost anyway: the sooner it starts again.
            gangs.stop(job, now, grace_s=0.0 if left < job.spec.save_s else None)

    def _must_go(self, attempt: Attempt, left: float, now: float) -> bool:
        job = attempt.job
        if job.is_service or attempt.status in (TaskState.SENT, TaskState.FETCHING, TaskState.WAITING):
            return True
        if left == math.inf:
            # A machine at fault: whatever runs there had better start again elsewhere.
            return True
        ran = now - attempt.running_at if attempt.running_at is not None else 0.0
        rest = max(0.0, self.admission.estimates.estimate_s(job) - ran)
        if rest < left:
            return False
        if job.spec.checkpoint_s > 0:
            return left < job.spec.save_s + 2 * self.ctx.durations.heartbeat_interval_s
        return True
