"""Jobs, machines and attempts as the decision core knows them, in one module as they refer to one another."""

from __future__ import annotations

import heapq
import itertools
from collections import OrderedDict
from enum import Enum
from typing import Final

import msgspec

from poppyhold.model.resources import NO_RESOURCES, Resources, add_scaled, machine_type_capacity
from poppyhold.wire.cloud_messages import MachineType
from poppyhold.wire.task_names import task_name
from poppyhold.wire.user_messages import PRIORITIES, Submission
from poppyhold.wire.worker_messages import IN_PROGRESS, Command, TaskState

# The states of a job's tasks. They are plain integers because a job keeps one byte for each of its tasks in a
# bytearray, which the search for the next pending task reads byte by byte.
TASK_PENDING: Final = 0
TASK_ACTIVE: Final = 1
TASK_DONE: Final = 2


class StartChannel(Enum):
    """How the start of an attempt reached its worker, or how the attempt became known."""

    # By a command that was sent to the worker.
    DIRECT = "direct"
    # With the response to one of the worker's heartbeats.
    HEARTBEAT_RESPONSE = "heartbeat response"
    # A heartbeat showed the attempt first: an earlier leader started it.
    OBSERVED = "observed"


class RecordState(Enum):
    """Whether a machine's record is durable: NOT_RECORDED -> REQUESTED -> DURABLE, or back if that fails."""

    NOT_RECORDED = "not recorded"
    REQUESTED = "requested"
    # A next leader asks the machine before it starts anything.
    DURABLE = "durable"


class JobPhase(Enum):
    """The life cycle of a job: ACTIVE -> FINALIZING -> FINALIZED; a cancelled one skips FINALIZING."""

    ACTIVE = "active"
    # All its tasks are done, and its final record is being written.
    FINALIZING = "finalizing"
    # Cancelled, or done and durable: kept only while something of it may still run.
    FINALIZED = "finalized"


# Bound once: reading a member from its enum takes several times as long as the rest of the comparison, and
# every scheduling cycle asks every machine.
_RECORD_IS_DURABLE = RecordState.DURABLE


class Attempt(msgspec.Struct, eq=False):
    """One attempt at a task on a machine, from the moment its start may reach the worker."""

    job: Job
    index: int
    number: int
    machine: Machine
    incarnation: int
    sent_at: float
    status: str = TaskState.SENT
    start_channel: StartChannel = StartChannel.OBSERVED
    # The sequence number of the heartbeat whose response carried the start; -1 before that.
    response_sequence: int = -1
    # A direct start was sent, and its response has not come yet.
    start_in_flight: bool = False
    # It is unknown whether a direct start was carried out; it may be until the worker has seen this token.
    void_at_fencing_token: int | None = None
    running_at: float | None = None
    # When it was told to stop, and the time to save that its task has from then on.
    stopping_at: float | None = None
    grace_s: float = 0.0
    booked_until: int = 0
    booked: bool = False

    @property
    def name(self) -> str:
        """The task's name."""
        return task_name(self.job.id, self.index)


class JobFailures(msgspec.Struct, eq=False):
    """What is known of a job whose tasks end with errors; see `execution.failures`."""

    # Times that tasks failed, those that were started together counted once, and machines that they failed
    # on, since the job was shown to be sound.
    rounds: int = 0
    machines: set[str] = msgspec.field(default_factory=set)
    last_failed_at: float = float("-inf")
    # The longest that a failed task ran.
    longest_run_s: float = 0.0
    # It fails on every machine, as far as one can tell; and when it was last shown to be sound.
    at_fault: bool = False
    last_healthy_at: float = float("-inf")


class Job(msgspec.Struct, eq=False):
    """An accepted job, until it is finalized and nothing of it may run any more."""

    id: str
    spec: Submission
    version: int
    submitted_at: float
    task_resources: Resources
    priority: int
    due_at: float | None
    # ``TASK_PENDING``, ``TASK_ACTIVE`` or ``TASK_DONE`` for each task.
    states: bytearray
    # The attempts that may run, by index.
    active: dict[int, Attempt] = msgspec.field(default_factory=dict)
    done: int = 0
    # Tasks whose completion is seen but not durable yet.
    undurable_completions: set[int] = msgspec.field(default_factory=set)
    # No task below this index is pending but those in the heap, which were active before.
    next_index: int = 0
    requeued: list[int] = msgspec.field(default_factory=list)
    # Seconds of work that tasks have saved in checkpoints, as far as we saw them run.
    saved_work_s: dict[int, float] = msgspec.field(default_factory=dict)
    admitted: bool = False
    # Whether no controller can have started a task of it before our term.
    never_started: bool = True
    # Whether a plan has been made durable once, and whether one is being written. A durable plan may be
    # written again, so these are two facts and not the steps of one life cycle.
    plan_durable: bool = False
    plan_write_in_flight: bool = False
    # Planned starts: slot -> zone -> tasks, and what they book in the ledger: slot -> machine -> tasks.
    plan: dict[int, dict[str, int]] = msgspec.field(default_factory=dict)
    booked: dict[int, dict[str, int]] = msgspec.field(default_factory=dict)
    planned_task_s: float = 0.0
    within_guarantee: bool = False
    phase: JobPhase = JobPhase.ACTIVE
    # Whether records of its completed tasks are being written.
    completions_save_in_flight: bool = False
    # Keys of the records that hold its completed tasks.
    completion_record_keys: set[str] = msgspec.field(default_factory=set)
    failures: JobFailures = msgspec.field(default_factory=JobFailures)
    # Machines that its tasks should avoid.
    avoided_machines: set[str] = msgspec.field(default_factory=set)
    retry_at: float = 0.0
    # Before this moment it preempts nothing more: gangs that it preempted are saving.
    preemption_allowed_at: float = 0.0
    # How many of its attempts may run in each zone.
    active_by_zone: dict[str, int] = msgspec.field(default_factory=dict)

    @property
    def is_service(self) -> bool:
        """Whether its tasks run until it is cancelled."""
        return self.spec.shape == "service"

    @property
    def is_gang(self) -> bool:
        """Whether its tasks only run all together."""
        return self.spec.shape == "group"

    @property
    def remaining(self) -> int:
        """The number of tasks that are not done."""
        return self.spec.tasks - self.done

    @property
    def pending(self) -> int:
        """The number of tasks that are neither done nor active."""
        return self.spec.tasks - self.done - len(self.active)

    @property
    def running(self) -> int:
        """The number of tasks that run, for display."""
        return sum(1 for attempt in self.active.values() if attempt.status in IN_PROGRESS)

    def min_saved_work_s(self) -> float:
        """Return the seconds of work that every pending task has saved: only the rest is still to be done."""
        if not self.saved_work_s:
            return 0.0
        waiting = {index for index in self.requeued if self.states[index] == TASK_PENDING}
        if not waiting or len(waiting) < self.pending:
            return 0.0
        return min(self.saved_work_s.get(index, 0.0) for index in waiting)

    def next_pending(self) -> int | None:
        """Return the pending task to start next: the lowest that was active before, else the lowest."""
        while self.requeued and self.states[self.requeued[0]] != TASK_PENDING:
            heapq.heappop(self.requeued)
        if self.requeued:
            return self.requeued[0]
        while self.next_index < self.spec.tasks and self.states[self.next_index] != TASK_PENDING:
            self.next_index += 1
        return self.next_index if self.next_index < self.spec.tasks else None

    def startable(self, limit: int) -> int:
        """Return how many of up to ``limit`` tasks may be started now: one at a time after a failure.

        Tasks that were started before the failure, and go on, may still show that the job is sound.
        """
        record = self.failures
        if not record.rounds or self.done or self.is_gang:
            return limit
        probes = sum(attempt.sent_at >= record.last_failed_at for attempt in self.active.values())
        return min(limit, max(0, 1 - probes))

    def complete(self, index: int) -> bool:
        """Note that a task is completed; return whether that is new. A gang's tasks complete together."""
        if not 0 <= index < self.spec.tasks or self.states[index] == TASK_DONE:
            return False
        if self.is_gang:
            self.states[:] = bytes([TASK_DONE]) * self.spec.tasks
            self.done = self.spec.tasks
        else:
            self.states[index] = TASK_DONE
            self.done += 1
        return True

    def release(self, index: int) -> None:
        """Make an active task pending again."""
        self.states[index] = TASK_PENDING
        heapq.heappush(self.requeued, index)


class TaskError(msgspec.Struct, frozen=True, eq=False):
    """A task of a job ended with an error on a machine."""

    job: Job
    occurred_at: float

    @property
    def job_is_healthy(self) -> bool:
        """Whether the job has run elsewhere, so that the error was the machine's."""
        return self.job.done > 0 or self.job.failures.last_healthy_at > self.occurred_at

    @property
    def machine_may_be_at_fault(self) -> bool:
        """Whether the machine may be at fault. For a job that ended without success it can't be told."""
        return self.job_is_healthy or not (self.job.phase is JobPhase.FINALIZED or self.job.failures.at_fault)


# Machines in the order in which they became known.
_machine_numbers = itertools.count()


class Machine(msgspec.Struct, eq=False):
    """A machine that we hold, or may hold."""

    name: str
    machine_type: MachineType
    zone: str
    spot: bool
    known_since: float
    endpoint: str = ""
    # Whether it has sent a heartbeat, in this term or an earlier one, and when the first of this term came.
    is_up: bool = False
    up_at: float = float("-inf")
    record_state: RecordState = RecordState.NOT_RECORDED
    # A heartbeat of this term was applied, so that all it holds is known.
    reconciled: bool = False
    # Those of its newest heartbeat.
    incarnation: int = 0
    sequence: int = -1
    last_heartbeat_at: float = float("-inf")
    # When the cloud last listed it.
    listed_at: float = float("-inf")
    # When its worker was last answered.
    last_response_at: float = float("-inf")
    # When its first heartbeat came in this term, still with the token of an earlier one.
    first_outdated_heartbeat_at: float | None = None
    # When the cloud takes it back, and when the notice of that came.
    preempted_at: float | None = None
    preemption_notice_at: float | None = None
    # At fault: it is emptied and deleted.
    quarantined: bool = False
    # Being emptied to scale in: its replicas move one by one.
    draining: bool = False
    # To be deleted: nothing starts on it any more.
    deleting: bool = False
    # Until then starts go with responses to heartbeats: direct commands may not reach it.
    unreliable_until: float = 0.0
    command_in_flight: bool = False
    next_probe_at: float = 0.0
    attempts: dict[str, Attempt] = msgspec.field(default_factory=dict)
    # All its resources, what may be in use of them, and the rest. Every placement reads these of every
    # machine.
    capacity: Resources = NO_RESOURCES
    used: Resources = NO_RESOURCES
    free: Resources = NO_RESOURCES
    # Orders machines that are alike: the one that was known first goes first.
    number: int = msgspec.field(default_factory=lambda: next(_machine_numbers))
    # Rises whenever what it holds, or what of it waits for an image, changes.
    version: int = 0
    images: OrderedDict[str, float] = msgspec.field(default_factory=OrderedDict)
    # Commands to be sent to the worker directly.
    queued_commands: list[Command] = msgspec.field(default_factory=list)
    # Errors on it by job, since a task that was started after all earlier ones completed.
    task_errors: dict[str, TaskError] = msgspec.field(default_factory=dict)
    # Tasks on it that we know no attempt of: they are stopped, and nothing starts beside them.
    unknown_tasks: set[str] = msgspec.field(default_factory=set)
    # Until then nothing starts on it.
    unschedulable_until: float = 0.0

    def __post_init__(self) -> None:
        self.capacity = machine_type_capacity(self.machine_type)
        self.set_used(NO_RESOURCES)

    def set_used(self, used: Resources) -> None:
        """Note how much of its resources may be in use."""
        self.used = used
        self.free = add_scaled(self.capacity, used, -1.0)
        self.version += 1

    def free_after_reservations(self, reserved: dict[str, Resources]) -> Resources:
        """Return what is free beside the resources reserved on machines, by name."""
        own = reserved.get(self.name)
        return self.free if own is None else add_scaled(self.free, own, -1.0)

    def is_schedulable(self, now: float, silent_s: float) -> bool:
        """Whether tasks may be started on it now."""
        return (
            self.is_up
            and self.record_state is _RECORD_IS_DURABLE
            and self.reconciled
            and not self.quarantined
            and not self.draining
            and not self.deleting
            and self.preempted_at is None
            and not self.unknown_tasks
            and now >= self.unschedulable_until
            and now - self.last_heartbeat_at <= silent_s
        )

    def touch_image(self, image: str, size: float) -> None:
        """Note that the worker used an image. Its cache drops the images that were used the longest ago."""
        if image not in self.images:
            self.version += 1
        self.images[image] = size
        self.images.move_to_end(image)
        total = sum(self.images.values())
        held = {attempt.job.spec.image for attempt in self.attempts.values()}
        for name in list(self.images):
            if total <= self.machine_type.cache_gb:
                return
            if name != image and name not in held:
                total -= self.images.pop(name)
                self.version += 1


def make_job(spec: Submission, version: int, at: float) -> Job:
    """Build a job from its accepted submission."""
    return Job(
        id=spec.name,
        spec=spec,
        version=version,
        submitted_at=at,
        task_resources=(spec.cpus, spec.accelerators, spec.memory_gb),
        priority=PRIORITIES.index(spec.priority),
        due_at=None if spec.deadline_s is None else at + spec.deadline_s,
        states=bytearray(spec.tasks),
    )
