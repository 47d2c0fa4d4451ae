"""Jobs, machines and attempts of the decision core, in one module as they refer to one another."""

from __future__ import annotations

import heapq
import itertools
from collections import OrderedDict
from enum import Enum
from typing import Final

import msgspec

from poppyhold.model.resources import (
    HEARTBEAT_BYTES,
    NO_RESOURCES,
    Resources,
    add_scaled,
    machine_type_capacity,
    task_resources,
)
from poppyhold.wire.cloud_messages import MachineType
from poppyhold.wire.message_limits import MAX_ATTEMPT_DIGITS, MAX_ENTRIES_BYTES
from poppyhold.wire.task_names import task_name
from poppyhold.wire.user_messages import PRIORITIES, Submission
from poppyhold.wire.worker_messages import IN_PROGRESS, Command, TaskState

# The controller's state of a job's task; `TaskState` is the status that a heartbeat shows. They are plain
# integers because a job keeps one byte for each of its tasks in a bytearray, which the search for the next
# pending task reads byte by byte.
TASK_PENDING: Final = 0
TASK_ACTIVE: Final = 1
TASK_DONE: Final = 2


class StartChannel(Enum):
    """How an attempt's start reaches its worker, or how the attempt was discovered."""

    # In a request to the worker.
    DIRECT = "direct"
    # In the response to one of the worker's heartbeats.
    HEARTBEAT_RESPONSE = "heartbeat response"
    # First seen in a heartbeat: an earlier leader started it.
    OBSERVED = "observed"


class RecordState(Enum):
    """Whether a machine's record is durable.

    NOT_RECORDED -> REQUESTED -> DURABLE; a failed write returns it to NOT_RECORDED.
    """

    NOT_RECORDED = "not recorded"
    REQUESTED = "requested"
    # The next leader loads the machine, and reconciles it before it starts tasks of any job that an earlier
    # leader may have started.
    DURABLE = "durable"


class JobPhase(Enum):
    """The life cycle of a job: ACTIVE -> FINALIZING -> FINALIZED; a cancelled one skips FINALIZING."""

    ACTIVE = "active"
    # All its tasks are done, and its final record is being written.
    FINALIZING = "finalizing"
    # Cancelled, or its final record is durable; kept only while an attempt of it may still run.
    FINALIZED = "finalized"


# Bound once: an enum member lookup takes several times as long as the comparison, and `is_schedulable` would
# look it up for every machine in every scheduling cycle.
_RECORD_IS_DURABLE = RecordState.DURABLE


class Attempt(msgspec.Struct, eq=False):
    """One attempt to run a task on a machine.

    It exists from the decision to start it, or from the first heartbeat that shows it, until it is proven
    terminated.
    """

    job: Job
    index: int
    number: int
    machine: Machine
    incarnation: int
    # When the start was decided, or when a heartbeat first showed the attempt.
    created_at: float
    status: str = TaskState.SENT
    start_channel: StartChannel = StartChannel.OBSERVED
    # The sequence number of the heartbeat whose response carried the start; -1 before that.
    response_sequence: int = -1
    # Whether a direct start was queued or sent, and its outcome is not known yet.
    start_in_flight: bool = False
    # Set if it is unknown whether a direct start was executed, or if its worker ignored it: it may still be
    # executed until the worker has seen this fencing token or a higher one.
    void_at_fencing_token: int | None = None
    # When a heartbeat first showed the task running.
    running_at: float | None = None
    # When its stop was first requested, and how many seconds its task then has to save.
    stop_requested_at: float | None = None
    grace_s: float = 0.0
    # The last slot (inclusive) of its booking in the ledger, unless the job is a service; and whether it has
    # a booking.
    last_booked_slot: int = 0
    booked: bool = False

    @property
    def name(self) -> str:
        """The task's name."""
        return task_name(self.job.id, self.index)

    @property
    def direct_start_was_answered(self) -> bool:
        """Whether its worker answered the request with its start, and no heartbeat has shown it yet."""
        return (
            self.status == TaskState.SENT
            and self.start_channel is StartChannel.DIRECT
            and not self.start_in_flight
            and self.void_at_fencing_token is None
        )

    def start_may_follow_response(self, fencing_token: int) -> bool:
        """Whether a direct start of it may be executed after a response that carries this fencing token."""
        return self.status == TaskState.SENT and (
            self.start_in_flight
            or (self.void_at_fencing_token is not None and self.void_at_fencing_token > fencing_token)
        )


class JobFailures(msgspec.Struct, eq=False):
    """Failure history of a job; see `execution.failures`."""

    # Number of failures since the job was last found healthy; tasks that were started together count as one.
    failure_rounds: int = 0
    # Names of the machines on which they occurred.
    failed_machines: set[str] = msgspec.field(default_factory=set)
    last_failed_at: float = float("-inf")
    # The longest time for which a failed task ran.
    longest_run_s: float = 0.0
    # Whether it failed on so many machines without a success that it counts as the cause, and when it was
    # last found healthy.
    at_fault: bool = False
    last_healthy_at: float = float("-inf")


class Job(msgspec.Struct, eq=False):
    """An accepted job, kept until it is finalized and no attempt of it may run."""

    id: str
    spec: Submission
    # Revision of its record in the state service, a condition of commits for it.
    record_revision: int
    submitted_at: float
    task_resources: Resources
    # Index in `PRIORITIES`; 0 is the most urgent.
    priority: int
    due_at: float | None
    # ``TASK_PENDING``, ``TASK_ACTIVE`` or ``TASK_DONE`` for each task.
    states: bytearray
    # Attempts that may be running, by task index.
    active: dict[int, Attempt] = msgspec.field(default_factory=dict)
    done: int = 0
    # Indices of tasks whose completion is known but not durable yet.
    undurable_completions: set[int] = msgspec.field(default_factory=set)
    # No task below ``next_index`` is pending except those in ``requeued``, a heap of indices of tasks that
    # were active before.
    next_index: int = 0
    requeued: list[int] = msgspec.field(default_factory=list)
    # Work saved in checkpoints by task index, estimated from the run time that heartbeats showed.
    saved_work_s: dict[int, float] = msgspec.field(default_factory=dict)
    # Whether it has a plan, whose starts may use the capacity booked for them.
    admitted: bool = False
    # Whether no earlier leader can have started a task of it.
    not_started_by_earlier_leaders: bool = True
    # Whether a plan record, possibly an empty one, is durable, and whether one is being written. Both can
    # hold, as a durable plan may be written again.
    plan_durable: bool = False
    plan_write_in_flight: bool = False
    # Planned starts: slot -> zone -> number of tasks, and their bookings in the ledger: slot -> machine ->
    # number of tasks.
    plan: dict[int, dict[str, int]] = msgspec.field(default_factory=dict)
    booked: dict[int, dict[str, int]] = msgspec.field(default_factory=dict)
    # Estimated run time of one task, for which its planned starts are booked.
    booked_run_time_s: float = 0.0
    # Whether it fits into its team's guarantee, after the team's jobs of higher priority and earlier ones.
    within_guarantee: bool = False
    phase: JobPhase = JobPhase.ACTIVE
    # Once finalized: until when leases are renewed on machines that a start of it may still reach.
    renewals_allowed_until: float = float("inf")
    # Whether records of its completed tasks are being written.
    completions_save_in_flight: bool = False
    # Keys of the records that hold its completed tasks.
    completion_record_keys: set[str] = msgspec.field(default_factory=set)
    failures: JobFailures = msgspec.field(default_factory=JobFailures)
    # Names of machines on which its tasks failed or kept the other tasks of their gang waiting.
    avoided_machines: set[str] = msgspec.field(default_factory=set)
    # Before this time no task of it is started.
    retry_at: float = 0.0
    # Before this time nothing more is preempted for it, as gangs that were preempted for it are saving.
    preemption_allowed_at: float = 0.0
    # Number of active attempts in each zone.
    active_by_zone: dict[str, int] = msgspec.field(default_factory=dict)

    @property
    def is_service(self) -> bool:
        """Whether its tasks run until the job is cancelled."""
        return self.spec.shape == "service"

    @property
    def is_gang(self) -> bool:
        """Whether its tasks run all at the same time or not at all."""
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
        """The number of tasks that run or save, for display."""
        return sum(1 for attempt in self.active.values() if attempt.status in IN_PROGRESS)

    def min_saved_work_s(self) -> float:
        """Return the least work in seconds saved by any pending task; 0 if one of them has saved none."""
        if not self.saved_work_s:
            return 0.0
        waiting = {index for index in self.requeued if self.states[index] == TASK_PENDING}
        if not waiting or len(waiting) < self.pending:
            return 0.0
        return min(self.saved_work_s.get(index, 0.0) for index in waiting)

    def next_pending(self) -> int | None:
        """Return the index of the task to start next: the lowest requeued one, else the lowest pending."""
        while self.requeued and self.states[self.requeued[0]] != TASK_PENDING:
            heapq.heappop(self.requeued)
        if self.requeued:
            return self.requeued[0]
        while self.next_index < self.spec.tasks and self.states[self.next_index] != TASK_PENDING:
            self.next_index += 1
        return self.next_index if self.next_index < self.spec.tasks else None

    def startable(self, limit: int) -> int:
        """Return how many tasks may be started now, at most ``limit``.

        A job that has failed and completed no task gets one at a time, unless it is a gang. Attempts created
        before its last failure don't count: they may still show that the job is healthy.
        """
        record = self.failures
        if not record.failure_rounds or self.done or self.is_gang:
            return limit
        started_since_failure = sum(
            attempt.created_at >= record.last_failed_at for attempt in self.active.values()
        )
        return min(limit, max(0, 1 - started_since_failure))

    def complete(self, index: int) -> bool:
        """Mark a task, or all tasks of a gang, as done; return whether the task was not done before."""
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
    """An error with which a task of a job ended on a machine."""

    job: Job
    occurred_at: float

    @property
    def job_is_healthy(self) -> bool:
        """Whether the job is known to be healthy, so that the machine is the likely cause.

        A task of it completed, or it was found healthy after this error.
        """
        return self.job.done > 0 or self.job.failures.last_healthy_at > self.occurred_at

    @property
    def machine_may_be_at_fault(self) -> bool:
        """Whether the machine may be at fault: not if the job is, or was finalized before proven healthy."""
        return self.job_is_healthy or not (self.job.phase is JobPhase.FINALIZED or self.job.failures.at_fault)


# Numbers machines in the order in which they became known.
_machine_numbers = itertools.count()


class Machine(msgspec.Struct, eq=False):
    """A machine that exists, or may exist, in the cloud."""

    name: str
    machine_type: MachineType
    zone: str
    spot: bool
    # Launch time by the cloud's list, or until that is known the time at which this leader first knew of it.
    estimated_launch_at: float
    endpoint: str = ""
    # Whether it has ever sent a heartbeat, and when the first came; -inf if only its record shows that.
    is_up: bool = False
    up_at: float = float("-inf")
    record_state: RecordState = RecordState.NOT_RECORDED
    # Whether a heartbeat of this term was applied, so that all its tasks are known.
    reconciled: bool = False
    # Incarnation and sequence number of its newest heartbeat.
    incarnation: int = 0
    sequence: int = -1
    last_heartbeat_at: float = float("-inf")
    # The fencing token that messages to its worker need, and that of the newest direct starts sent to it; see
    # `execution.start_fencing`.
    required_fencing_token: int = 0
    newest_start_fencing_token: int = 0
    # When the cloud last listed it.
    listed_at: float = float("-inf")
    # When this controller last answered a heartbeat of its worker.
    last_answered_at: float = float("-inf")
    # When the first heartbeat with an earlier term's fencing token came while it was unreconciled.
    first_outdated_heartbeat_at: float | None = None
    # When the cloud will preempt it, and when the notice of that came.
    preemption_due_at: float | None = None
    preemption_notice_at: float | None = None
    # Found at fault by `execution.failures`: it is drained, then deleted.
    quarantined: bool = False
    # Being drained to scale in: the tasks of its services are moved one at a time.
    draining: bool = False
    # To be deleted: no task is started on it.
    deleting: bool = False
    # Before this time starts go in heartbeat responses: direct commands, or responses, seem not to reach it.
    connection_unreliable_until: float = 0.0
    command_in_flight: bool = False
    next_probe_at: float = 0.0
    attempts: dict[str, Attempt] = msgspec.field(default_factory=dict)
    # Its resources in total, those that may be in use, and the rest; stored, because every placement reads
    # them of every machine.
    capacity: Resources = NO_RESOURCES
    used: Resources = NO_RESOURCES
    free: Resources = NO_RESOURCES
    # Breaks ties between machines with equal placement scores: the one known first is preferred.
    number: int = msgspec.field(default_factory=lambda: next(_machine_numbers))
    # Bytes that tasks without a recorded attempt take in its newest heartbeat: those that have exited, until
    # its worker has forgotten them, and unknown ones.
    unrecorded_bytes: int = 0
    # Incremented when its attempts, their status or its images change.
    version: int = 0
    # Image -> size in GB, least recently used first: an estimate of the worker's cache.
    images: OrderedDict[str, float] = msgspec.field(default_factory=OrderedDict)
    # Commands to be sent to the worker directly.
    queued_commands: list[Command] = msgspec.field(default_factory=list)
    # The newest error on it of each job; all are cleared when a task completes that was started after the
    # newest one.
    task_errors: dict[str, TaskError] = msgspec.field(default_factory=dict)
    # Names of tasks in its newest heartbeat that match no recorded attempt: they are stopped, and no task is
    # started on it meanwhile.
    unknown_tasks: set[str] = msgspec.field(default_factory=set)
    # Before this time no task is started on it.
    unschedulable_until: float = 0.0

    def __post_init__(self) -> None:
        self.capacity = machine_type_capacity(self.machine_type)
        self.set_used(NO_RESOURCES)

    def set_used(self, used: Resources) -> None:
        """Set the resources that may be in use by its attempts, and the free ones."""
        self.used = used
        self._update_free()
        self.version += 1

    def set_unrecorded_bytes(self, count: int) -> None:
        """Set the bytes of its heartbeat that tasks without a recorded attempt take.

        While more than half of all bytes stay free, no start depends on them.
        """
        previously_free = self.free[HEARTBEAT_BYTES]
        self.unrecorded_bytes = count
        self._update_free()
        if 2 * min(previously_free, self.free[HEARTBEAT_BYTES]) < self.capacity[HEARTBEAT_BYTES]:
            self.version += 1

    def _update_free(self) -> None:
        capacity, used = self.capacity, self.used
        # One expression with literal indices, in the order of the constants: it is computed for every start
        # and every end of a task.
        self.free = (
            capacity[0] - used[0],
            capacity[1] - used[1],
            capacity[2] - used[2],
            capacity[3] - used[3] - self.unrecorded_bytes,
        )

    @property
    def unlisted_bytes(self) -> float:
        """What its heartbeat can list beside all that it may list now; negative if that is too much already.

        The rest of what starts without preemption may use is ``free``; tasks that are stopped stay listed.
        """
        return MAX_ENTRIES_BYTES - self.used[HEARTBEAT_BYTES] - self.unrecorded_bytes

    def can_list(self, task: Resources) -> bool:
        """Whether its heartbeat can list one more task that takes these resources."""
        return task[HEARTBEAT_BYTES] <= self.unlisted_bytes

    def free_after_reservations(self, reserved: dict[str, Resources]) -> Resources:
        """Return its free resources without those reserved under its name."""
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
            and self.preemption_due_at is None
            and not self.unknown_tasks
            and now >= self.unschedulable_until
            and now - self.last_heartbeat_at <= silent_s
        )

    def record_image_use(self, image: str, size_gb: float) -> None:
        """Record that the worker used an image, and remove those that its LRU cache has evicted by now."""
        if image not in self.images:
            self.version += 1
        self.images[image] = size_gb
        self.images.move_to_end(image)
        total = sum(self.images.values())
        held = {attempt.job.spec.image for attempt in self.attempts.values()}
        for name in list(self.images):
            if total <= self.machine_type.cache_gb:
                return
            if name != image and name not in held:
                total -= self.images.pop(name)
                self.version += 1


def make_job(
    spec: Submission, record_revision: int, at: float, attempt_digits: int = MAX_ATTEMPT_DIGITS
) -> Job:
    """Build a job from its accepted submission; its attempts have numbers of at most so many digits."""
    return Job(
        id=spec.name,
        spec=spec,
        record_revision=record_revision,
        submitted_at=at,
        task_resources=task_resources(spec, attempt_digits),
        priority=PRIORITIES.index(spec.priority),
        due_at=None if spec.deadline_s is None else at + spec.deadline_s,
        states=bytearray(spec.tasks),
    )
