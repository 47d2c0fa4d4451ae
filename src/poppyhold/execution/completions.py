"""Durable records of completed tasks: a bit for each task, in ranges that fit into a stored value."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator

import msgspec

from poppyhold.durable.changes import Data, Delete, Put
from poppyhold.durable.keys import ACTIVE_JOB_PREFIX, COMPLETION_RANGES_PREFIX, COMPLETIONS_PREFIX
from poppyhold.durable.records import CompletionsRecord
from poppyhold.model.context import Context
from poppyhold.model.entities import TASK_DONE, Job, JobPhase
from poppyhold.settings import StateLimits

# Tasks that one hexadecimal digit encodes.
_TASKS_PER_DIGIT = 4
# Tasks in a range at least, however small the limit on values is.
_MIN_RANGE_SIZE = 64
# Bytes of a record besides its digits.
_MAX_RECORD_OVERHEAD_BYTES = 16


def _range_size(value_bytes: int) -> int:
    """Return the tasks per record: one digit, for four tasks, per four bytes of the value limit."""
    return max(_MIN_RANGE_SIZE, value_bytes // _TASKS_PER_DIGIT * _TASKS_PER_DIGIT)


def encode_bits(states: bytearray) -> str:
    """Encode which of these tasks are completed in hexadecimal, the first task in the lowest bit."""
    bits = 0
    for offset, state in enumerate(states):
        if state == TASK_DONE:
            bits |= 1 << offset
    return f"{bits:x}"


def decode_bits(text: str) -> Iterator[int]:
    """Yield the offsets of the completed tasks in a record."""
    bits = int(text, 16)
    while bits:
        lowest = bits & -bits
        yield lowest.bit_length() - 1
        bits ^= lowest


def _ignore_outcome(done: bool) -> None:
    """Do nothing: records left of a finalized job are removed when the next leader loads them."""


class RecordLayout:
    """Maps tasks to the records that hold them.

    Every version numbers the records under `ph/d/` by the current value size limit. If such a record would
    not fit once the announced limits apply, its tasks go to smaller records under `ph/e/`. Older versions
    don't read those: they start such a task again, and its worker answers that it is done.
    """

    def __init__(self, limits: StateLimits) -> None:
        self._largest_bytes = limits.lowest.value_bytes
        self.range_size = _range_size(limits.value_bytes)
        self.reduced_range_size = _range_size(self._largest_bytes)

    def records(self, job: Job, indices: Iterable[int]) -> dict[str, Data]:
        """Return the current content, by key, of the records that hold these tasks."""
        found: dict[str, Data] = {}
        for index in indices:
            key, first, size = self._place(job, index)
            if key not in found:
                record = CompletionsRecord(encode_bits(job.states[first : first + size]))
                found[key] = msgspec.to_builtins(record)
        return found

    def _place(self, job: Job, index: int) -> tuple[str, int, int]:
        number = index // self.range_size
        first = number * self.range_size
        tasks = min(self.range_size, job.spec.tasks - first)
        if tasks // _TASKS_PER_DIGIT + _MAX_RECORD_OVERHEAD_BYTES <= self._largest_bytes:
            return f"{COMPLETIONS_PREFIX}{job.id}/{number}", first, self.range_size
        number = index // self.reduced_range_size
        return (
            f"{COMPLETION_RANGES_PREFIX}{job.id}/{number}",
            number * self.reduced_range_size,
            self.reduced_range_size,
        )


class Completions:
    """Reads and writes the records of completed tasks during one term."""

    def __init__(self, ctx: Context) -> None:
        self._ctx = ctx
        limits = ctx.settings.deployment.state
        self._layout = RecordLayout(limits)
        self._max_txn_ops = limits.lowest.txn_ops

    def load(self, prefix: str, records: dict[str, Data]) -> None:
        """Load the records of earlier leaders, and remove those of finalized jobs."""
        size = self._layout.range_size if prefix == COMPLETIONS_PREFIX else self._layout.reduced_range_size
        for name, data in records.items():
            job_id, _, number = name.rpartition("/")
            job = self._ctx.fleet.jobs.get(job_id)
            if job is None:
                self._ctx.outbound.commit({}, [Delete(prefix + name)], _ignore_outcome)
                continue
            job.completion_record_keys.add(prefix + name)
            record = msgspec.convert(data, CompletionsRecord)
            for offset in decode_bits(record.bits):
                job.complete(int(number) * size + offset)

    def save(self) -> None:
        """Save completions that are not durable yet, with one save per job in flight."""
        for job in self._ctx.fleet.jobs.values():
            if job.undurable_completions and (
                not job.completions_save_in_flight and job.phase is JobPhase.ACTIVE
            ):
                self._save(job)

    def _save(self, job: Job) -> None:
        indices = set(job.undurable_completions)
        records = self._layout.records(job, indices)
        job.completions_save_in_flight = True
        job.completion_record_keys |= records.keys()
        writes = [Put(key, data) for key, data in records.items()]
        batches = [writes[i : i + self._max_txn_ops] for i in range(0, len(writes), self._max_txn_ops)]
        on_committed = self._on_batch_committed(job, indices, len(batches))
        for batch in batches:
            self._ctx.outbound.commit({ACTIVE_JOB_PREFIX + job.id: job.record_revision}, batch, on_committed)

    @staticmethod
    def _on_batch_committed(job: Job, indices: set[int], batches: int) -> Callable[[bool], None]:
        """Return the callback for a save's batches: its tasks count as durable once all batches are."""
        outcomes: list[bool] = []

        def on_committed(done: bool) -> None:
            outcomes.append(done)
            if len(outcomes) == batches:
                job.completions_save_in_flight = False
                if all(outcomes):
                    job.undurable_completions -= indices

        return on_committed

    def remove(self, job: Job) -> None:
        """Remove the records of a finalized job."""
        writes = [Delete(key) for key in sorted(job.completion_record_keys)]
        for first in range(0, len(writes), self._max_txn_ops):
            self._ctx.outbound.commit({}, writes[first : first + self._max_txn_ops], _ignore_outcome)
