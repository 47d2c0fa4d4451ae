"""The durable record of completed tasks: a bit for each task, in stretches that fit into a stored value."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator

import msgspec

from poppyhold.durable.changes import Data, Delete, Put
from poppyhold.durable.keys import ACTIVE_JOB_PREFIX, COMPLETION_RANGES_PREFIX, COMPLETIONS_PREFIX
from poppyhold.durable.records import CompletionsRecord
from poppyhold.model.context import Context
from poppyhold.model.entities import TASK_DONE, Job, JobPhase
from poppyhold.settings import State

# Tasks that a hexadecimal digit stands for.
_TASKS_A_DIGIT = 4
_LEAST_STRETCH = 64
# What a record holds beside its digits, at the most.
_FRAME_BYTES = 16


def _stretch(value_bytes: int) -> int:
    """Tasks in a record that may fill a quarter of the largest value with each of its four bits."""
    return max(_LEAST_STRETCH, value_bytes // _TASKS_A_DIGIT * _TASKS_A_DIGIT)


def encode_bits(states: bytearray) -> str:
    """The completed tasks among these, the first in the lowest bit, in hexadecimal."""
    bits = 0
    for offset, state in enumerate(states):
        if state == TASK_DONE:
            bits |= 1 << offset
    return f"{bits:x}"


def decode_bits(text: str) -> Iterator[int]:
    """Offsets of the tasks that a record calls completed."""
    bits = int(text, 16)
    while bits:
        lowest = bits & -bits
        yield lowest.bit_length() - 1
        bits ^= lowest


class Layout:
    """Which record holds which tasks.

    Every version numbers the records under `ph/d/` by the value size that holds now. Where such a record
    would not fit once the announced limits hold, the tasks go to smaller records under `ph/e/`, which older
    versions don't read: they start such a task anew, and its worker answers that it is done.
    """

    def __init__(self, limits: State) -> None:
        self._largest_bytes = limits.lowest.value_bytes
        self.coarse = _stretch(limits.value_bytes)
        self.fine = _stretch(self._largest_bytes)

    def records(self, job: Job, indices: Iterable[int]) -> dict[str, Data]:
        """The records, by key, that these tasks belong to, as they have to be now."""
        found: dict[str, Data] = {}
        for index in indices:
            key, first, size = self._place(job, index)
            if key not in found:
                record = CompletionsRecord(encode_bits(job.states[first : first + size]))
                found[key] = msgspec.to_builtins(record)
        return found

    def _place(self, job: Job, index: int) -> tuple[str, int, int]:
        number = index // self.coarse
        first = number * self.coarse
        tasks = min(self.coarse, job.spec.tasks - first)
        if tasks // _TASKS_A_DIGIT + _FRAME_BYTES <= self._largest_bytes:
            return f"{COMPLETIONS_PREFIX}{job.id}/{number}", first, self.coarse
        number = index // self.fine
        return f"{COMPLETION_RANGES_PREFIX}{job.id}/{number}", number * self.fine, self.fine


class Completions:
    """Reads and writes the records of one term."""

    def __init__(self, ctx: Context) -> None:
        self._ctx = ctx
        limits = ctx.settings.settings.state
        self._layout = Layout(limits)
        self._most_changes = limits.lowest.txn_ops

    def load(self, prefix: str, records: dict[str, Data]) -> None:
        """Take the records that earlier leaders made durable; those of jobs that are over are removed."""
        size = self._layout.coarse if prefix == COMPLETIONS_PREFIX else self._layout.fine
        for name, data in records.items():
            job_id, _, number = name.rpartition("/")
            job = self._ctx.fleet.jobs.get(job_id)
            if job is None:
                self._ctx.outbound.commit({}, [Delete(prefix + name)], lambda done: None)
                continue
            job.done_records.add(prefix + name)
            record = msgspec.convert(data, CompletionsRecord)
            for offset in decode_bits(record.bits):
                job.complete(int(number) * size + offset)

    def save(self) -> None:
        """Make completions durable that are not yet."""
        for job in self._ctx.fleet.jobs.values():
            if job.undurable_completions and (
                not job.completions_save_in_flight and job.phase is JobPhase.ACTIVE
            ):
                self._save(job)

    def _save(self, job: Job) -> None:
        indices = set(job.undurable_completions)
        records = self._layout.records(job, indices)
        job.completions_save_in_flight = True
        job.done_records |= records.keys()
        writes = [Put(key, data) for key, data in records.items()]
        batches = [writes[i : i + self._most_changes] for i in range(0, len(writes), self._most_changes)]
        saved = self._saved(job, indices, len(batches))
        for batch in batches:
            self._ctx.outbound.commit({ACTIVE_JOB_PREFIX + job.id: job.version}, batch, saved)

    @staticmethod
    def _saved(job: Job, indices: set[int], batches: int) -> Callable[[bool], None]:
        outcomes: list[bool] = []

        def durable(done: bool) -> None:
            outcomes.append(done)
            if len(outcomes) == batches:
                job.completions_save_in_flight = False
                if all(outcomes):
                    job.undurable_completions -= indices

        return durable

    def remove(self, job: Job) -> None:
        """A job is over: its records are of no use any more."""
        writes = [Delete(key) for key in sorted(job.done_records)]
        for first in range(0, len(writes), self._most_changes):
            self._ctx.outbound.commit({}, writes[first : first + self._most_changes], lambda done: None)
