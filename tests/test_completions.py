"""Records of completed tasks: their ranges, when they are written, and when they are deleted."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from types import SimpleNamespace
from typing import Any

import pytest

from poppyhold.durable.changes import Delete, Write
from poppyhold.durable.keys import ACTIVE_JOB_PREFIX, COMPLETION_RANGES_PREFIX, COMPLETIONS_PREFIX
from poppyhold.execution.completions import Completions, encode_bits
from poppyhold.model.entities import TASK_DONE, Job, JobPhase, make_job
from poppyhold.scale.jobs import submission, wire
from poppyhold.settings import AnnouncedStateLimits, StateLimits
from poppyhold.wire.user_messages import parse_submission

# A record holds 256 tasks; under the announced limit one with more than 192 is split into records of 64.
LIMITS = StateLimits(value_kb=0.25, txn_ops=2, announced=AnnouncedStateLimits(value_kb=0.0625))
JOB = "job-000001"


def some_job(tasks: int = 1000) -> Job:
    job = submission(JOB, {"chores": tasks})
    return make_job(parse_submission(wire(job)), 7, 0.0)


class Records:
    """The completion records of a job, and the transactions that saving them requests."""

    def __init__(self, job: Job, limits: StateLimits = LIMITS) -> None:
        self.job = job
        self.commits: list[tuple[dict[str, int], Sequence[Write], Callable[[bool], None]]] = []
        ctx: Any = SimpleNamespace(
            settings=SimpleNamespace(deployment=SimpleNamespace(state=limits)),
            fleet=SimpleNamespace(jobs={job.id: job}),
            outbound=SimpleNamespace(commit=lambda *commit: self.commits.append(commit)),
        )
        self.completions = Completions(ctx)

    def complete(self, *indices: int) -> None:
        for index in indices:
            self.job.complete(index)
            self.job.undurable_completions.add(index)

    def save(self) -> list[list[str]]:
        """Saves, and returns the keys of each transaction that this requests."""
        self.commits.clear()
        self.completions.save()
        return [[write.key for write in writes] for _, writes, _ in self.commits]


def key(prefix: str, number: int) -> str:
    return f"{prefix}{JOB}/{number}"


def test_only_records_above_the_announced_limit_are_split() -> None:
    # Tasks up to 355: the last range is short.
    records = Records(some_job(356))
    records.complete(0, 70, 300)
    assert sorted(each for keys in records.save() for each in keys) == sorted(
        [key(COMPLETION_RANGES_PREFIX, 0), key(COMPLETION_RANGES_PREFIX, 1), key(COMPLETIONS_PREFIX, 1)]
    )
    same = Records(some_job(356), StateLimits(value_kb=0.25))
    same.complete(0, 70, 300)
    assert sorted(each for keys in same.save() for each in keys) == [
        key(COMPLETIONS_PREFIX, 0),
        key(COMPLETIONS_PREFIX, 1),
    ]


def test_records_are_read_by_the_size_of_their_kind_and_deleted_with_the_job() -> None:
    records = Records(some_job())
    bits = {"d": encode_bits(bytearray([TASK_DONE, 0, TASK_DONE]))}
    records.completions.load(COMPLETIONS_PREFIX, {f"{JOB}/1": bits})
    records.completions.load(COMPLETION_RANGES_PREFIX, {f"{JOB}/1": bits})
    assert [index for index, state in enumerate(records.job.states) if state == TASK_DONE] == [
        64,
        66,
        256,
        258,
    ]
    assert records.commits == []
    # Loaded completions are not written again and do not block the saving of later ones.
    assert records.save() == []
    assert not records.job.completions_save_in_flight
    records.completions.remove(records.job)
    assert [writes for _, writes, _ in records.commits] == [
        [Delete(key(COMPLETIONS_PREFIX, 1)), Delete(key(COMPLETION_RANGES_PREFIX, 1))]
    ]


def test_records_of_an_unknown_job_are_deleted() -> None:
    records = Records(some_job())
    records.completions.load(COMPLETIONS_PREFIX, {"job-000009/0": {"d": "1"}})
    assert [writes for _, writes, _ in records.commits] == [[Delete(f"{COMPLETIONS_PREFIX}job-000009/0")]]


@pytest.mark.parametrize(
    ("field", "prevents", "allows"),
    [
        pytest.param("completions_save_in_flight", True, False, id="saving"),
        pytest.param("phase", JobPhase.FINALIZING, JobPhase.ACTIVE, id="finalizing"),
        pytest.param("phase", JobPhase.FINALIZED, JobPhase.ACTIVE, id="finalized"),
    ],
)
def test_no_completions_are_saved_for_a_job_that_is_saving_finalizing_or_finalized(
    field: str, prevents: bool | JobPhase, allows: bool | JobPhase
) -> None:
    records = Records(some_job())
    records.complete(5)
    setattr(records.job, field, prevents)
    assert records.save() == []
    setattr(records.job, field, allows)
    assert records.save() == [[key(COMPLETION_RANGES_PREFIX, 0)]]


def test_completions_during_a_save_are_written_by_the_next_save() -> None:
    records = Records(some_job())
    records.complete(5)
    records.save()
    conditions, _, done = records.commits[0]
    # Conditional on the job's revision: no record is written for a finalized job.
    assert conditions == {ACTIVE_JOB_PREFIX + JOB: 7}
    records.complete(6)
    done(True)
    assert records.job.undurable_completions == {6}
    assert records.save() == [[key(COMPLETION_RANGES_PREFIX, 0)]]


@pytest.mark.parametrize("outcomes", [(True, True), (False, True), (True, False)], ids=str)
def test_completions_are_durable_once_every_record_is_committed(outcomes: tuple[bool, bool]) -> None:
    records = Records(some_job())
    records.complete(0, 70, 130)
    assert [len(keys) for keys in records.save()] == [2, 1]
    first, second = (done for _, _, done in records.commits)
    first(outcomes[0])
    assert records.job.completions_save_in_flight
    assert records.job.undurable_completions == {0, 70, 130}
    assert records.save() == []
    second(outcomes[1])
    assert not records.job.completions_save_in_flight
    assert records.job.undurable_completions == (set() if all(outcomes) else {0, 70, 130})


def test_records_are_deleted_in_batches_including_those_with_a_write_in_flight() -> None:
    records = Records(some_job())
    records.complete(0, 70, 130)
    records.save()
    records.commits.clear()
    records.completions.remove(records.job)
    assert [len(writes) for _, writes, _ in records.commits] == [2, 1]
    assert all(conditions == {} for conditions, _, _ in records.commits)
