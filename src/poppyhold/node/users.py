"""The users' edge: any node serves them, and the state service alone decides what is true."""

from __future__ import annotations

import logging
import threading
import time
from collections.abc import Callable, Iterator

import msgspec

from poppyhold.cluster.cancellations import Cancellations
from poppyhold.concurrency.pace import Pace
from poppyhold.concurrency.recent import Recent
from poppyhold.durable.store import (
    ACTIVE,
    FINAL,
    ConflictError,
    Data,
    InvalidRequestError,
    LeaseGoneError,
    RefusedError,
    Store,
    UncertainError,
    final_writes,
    put,
    stored_bytes,
)
from poppyhold.model.constraints import allowed_machine_types
from poppyhold.reads.job_reads import JobReads
from poppyhold.scheduling.quotas import Quotas
from poppyhold.settings import Deployment, Settings
from poppyhold.wire.http import Answer, answer
from poppyhold.wire.messages import JOB_ID, MachineType, MalformedError, Submission, decode, parse_submission

log = logging.getLogger(__name__)

_TRIES = 3
# Users wait five seconds for an answer: no try begins later than this, as one takes up to two of them.
_PATIENCE_S = 2.0
# They wait two seconds for the answer to a question.
_QUESTION_PATIENCE_S = 1.5
# Questions that come within this share of a report's interval are answered together.
_GATHER_RATIO = 0.05
# Share of the state service's requests that all controllers together spend on questions. Without a bound five
# controllers took twice what it allows, and submissions, decisions and renewals were refused beside them.
_QUESTIONS_SHARE = 0.4
# More cancellations than this would not fit into a message between controllers.
_MOST_NAMED = 10_000


def _questions_pace(deployment: Deployment) -> Pace:
    """How fast one controller may ask the state service for its users' questions."""
    per_second = deployment.state.lowest.rps * _QUESTIONS_SHARE / deployment.count
    return Pace(per_second, burst=per_second * _GATHER_RATIO * 2)


class Users:
    """Submissions, questions and cancellations."""

    def __init__(
        self,
        settings: Settings,
        store: Store,
        machine_types: Callable[[], dict[str, MachineType]],
        counts: Callable[[str], tuple[int, int] | None],
        clock: Callable[[], float] = time.monotonic,
        reads: JobReads | None = None,
    ) -> None:
        """``counts`` tells a job's done and running tasks, for display; ``reads`` whether it is active."""
        self._settings, self._clock = settings, clock
        gather_s = settings.settings.workers.heartbeat_interval_s * _GATHER_RATIO
        self._reads = reads or JobReads(
            store, gather_s, _QUESTION_PATIENCE_S, pace=_questions_pace(settings.settings)
        )
        self._store, self._machine_types, self._counts = store, machine_types, counts
        self._quotas = Quotas(settings.settings.teams)
        most = int(settings.settings.machine_limits.ram_mb * 100)
        # Final states that the state service told: they never change. Nothing else that a user is told comes
        # from what is kept here, so no node can give an older answer than another gave before.
        self.finals: Recent[tuple[str, int]] = Recent(most)
        # Jobs that were accepted: only a hint for what to do first with a repeat.
        self._accepted: Recent[bool] = Recent(most // 10)
        # As many are named as the state service can take within the time that each of them has.
        limits = settings.settings
        self.cancellations = Cancellations(
            min(int(limits.state.write_rps * limits.workers.cancel_s), _MOST_NAMED)
        )
        # More at once than this would only wait for the state service's limit.
        self._largest_record = limits.state.lowest.value_bytes
        self._slots = threading.BoundedSemaphore(max(8, int(limits.state.rps / 2)))

    def _later(self, status: int = 503) -> Answer:
        seconds = max(1, round(self._settings.settings.workers.heartbeat_interval_s))
        return answer(status, {"error": "try again later"}, Retry_After=str(seconds))

    def _tries(self) -> Iterator[int]:
        """A few tries, none of which begins when its user may be gone before it ends."""
        began = self._clock()
        return (number for number in range(_TRIES) if self._clock() - began < _PATIENCE_S)

    def _guarded(self, work: Callable[[], Answer]) -> Answer:
        # What can't be taken is answered at once, with a time to come back: nobody waits for a slot.
        if not self._slots.acquire(blocking=False):
            return self._later(429)
        try:
            return self._or_later(work)
        finally:
            self._slots.release()

    def _or_later(self, work: Callable[[], Answer]) -> Answer:
        try:
            return work()
        except (RefusedError, UncertainError, LeaseGoneError) as error:
            log.debug("state service: %s", error)
            return self._later()

    def submit(self, body: bytes) -> Answer:
        """POST /api/jobs."""
        try:
            spec = parse_submission(decode(body))
        except MalformedError as error:
            return answer(400, {"error": str(error)})
        return self._guarded(lambda: self._submit(spec))

    def _submit(self, spec: Submission) -> Answer:
        machine_types = self._machine_types()
        verdict = self._never(spec, machine_types)
        if verdict is not None or not machine_types:
            # A repeat of an accepted job is answered with its state, whatever we think of it now.
            known = self._look_up(spec.name)
            if known is not None:
                return answer(200, known)
            return answer(422, {"error": verdict}) if verdict is not None else self._later()
        data = self._record(spec, machine_types)
        if stored_bytes(data) > self._largest_record:
            return self._too_long(spec)
        return self._store_submission(spec, data)

    def _too_long(self, spec: Submission) -> Answer:
        """It can never be stored, so that its user need not try again.

        An earlier version may have stored it, under larger limits.
        """
        known = self._look_up(spec.name)
        return answer(400, {"error": "too long"}) if known is None else answer(200, known)

    def _store_submission(self, spec: Submission, data: Data) -> Answer:
        # A condition that fails counts against the limit of changes like a change: users that repeat what is
        # known to be accepted must not eat up what decisions need.
        repeat = spec.name in self._accepted or self._counts(spec.name) is not None
        for _ in self._tries():
            if repeat or self.finals.get(spec.name) is not None:
                known = self._look_up(spec.name)
                if known is not None:
                    return answer(200, known)
            try:
                self._store.commit(
                    {ACTIVE + spec.name: 0, FINAL + spec.name: 0}, [put(ACTIVE + spec.name, data)]
                )
            except UncertainError:
                # Perhaps it went through: the repeat will tell.
                continue
            except InvalidRequestError as error:
                log.warning("%s: %s", spec.name, error)
                return self._too_long(spec)
            except ConflictError:
                # It is there, be it by our own try before: what it is now is what its user is told.
                repeat = True
            else:
                self._accepted.put(spec.name, True)
                return answer(201, {"nameId": spec.name, "status": "pending"})
        return self._later()

    def _record(self, spec: Submission, machine_types: dict[str, MachineType]) -> Data:
        """What is stored of a submission. A list of machine types too long for it keeps those that exist."""
        data: Data = {"spec": msgspec.to_builtins(spec), "at": time.time()}
        if spec.machine_types is not None and stored_bytes(data) > self._largest_record:
            data["spec"]["builds"] = sorted(machine_types.keys() & set(spec.machine_types))
        return data

    def _never(self, spec: Submission, machine_types: dict[str, MachineType]) -> str | None:
        """Why a job can never run, or None."""
        if not self._quotas.is_known(spec.team):
            return "unknown team"
        tasks = 1 if spec.shape == "array" else spec.tasks
        if not self._quotas.ever_fits(spec.team, (spec.cpus, spec.accelerators, spec.memory_gb), tasks):
            return "above the team's limit"
        if machine_types and not allowed_machine_types(spec, machine_types.values()):
            return "fits no machine type"
        return None

    def _look_up(self, job_id: str) -> dict[str, object] | None:
        """A job's state; None if it was never accepted."""
        final = self.finals.get(job_id)
        if final is None:
            # In this order: a job moves from the active ones to the final ones, and never back.
            if self._store.get(ACTIVE + job_id) is not None:
                return self._active_state(job_id)
            final = self._read_final(job_id)
            if final is None:
                return None
        return self._final_state(job_id, final)

    def _read_final(self, job_id: str) -> tuple[str, int] | None:
        """The final state of a job that was not active at a moment before; None if it was never accepted."""
        entry = self._store.get(FINAL + job_id)
        if entry is None:
            return None
        final = (entry.data["s"], entry.data["n"])
        self._keep_final(job_id, final, entry.version)
        return final

    def _active_state(self, job_id: str) -> dict[str, object]:
        self._accepted.put(job_id, True)
        done, running = self._counts(job_id) or (0, 0)
        status = "running" if running else "pending"
        return {"nameId": job_id, "status": status, "done": done, "running": running}

    @staticmethod
    def _final_state(job_id: str, final: tuple[str, int]) -> dict[str, object]:
        status, tasks = final
        return {"nameId": job_id, "status": status, "done": tasks if status == "done" else 0, "running": 0}

    def _keep_final(self, job_id: str, final: tuple[str, int], revision: int) -> None:
        # Before anybody is told, here or from what is kept: a leader that asks must be told of it first.
        if final[0] == "cancelled":
            self.cancellations.add(job_id, revision)
        self.finals.put(job_id, final)

    def poll(self, job_id: str) -> Answer:
        """GET /api/jobs/{id}."""
        if not JOB_ID.match(job_id):
            return answer(404, {"error": "unknown job"})
        final = self.finals.get(job_id)
        if final is not None:
            return answer(200, self._final_state(job_id, final))
        # A shared read takes no slot: it costs the state service the same for any number of questions.
        return self._or_later(lambda: self._poll(job_id))

    def _poll(self, job_id: str) -> Answer:
        # In this order: a job moves from the active ones to the final ones, and never back.
        if self._reads.is_active(job_id):
            return answer(200, self._active_state(job_id))
        return self._guarded(lambda: self._poll_final(job_id))

    def _poll_final(self, job_id: str) -> Answer:
        final = self._read_final(job_id)
        if final is None:
            return answer(404, {"error": "unknown job"})
        return answer(200, self._final_state(job_id, final))

    def abort(self, job_id: str) -> Answer:
        """POST /api/jobs/{id}/abort."""
        if not JOB_ID.match(job_id):
            return answer(404, {"error": "unknown job"})
        return self._guarded(lambda: self._abort(job_id))

    def _abort(self, job_id: str) -> Answer:
        for _ in self._tries():
            final = self.finals.get(job_id)
            if final is not None:
                return answer(200, {"nameId": job_id, "status": final[0]})
            entry = self._store.get(ACTIVE + job_id)
            if entry is None:
                if self._look_up(job_id) is None:
                    return answer(404, {"error": "unknown job"})
                continue
            try:
                tasks = entry.data["spec"]["chores"]
                revision = self._store.commit(
                    {ACTIVE + job_id: entry.version}, final_writes(job_id, "cancelled", tasks)
                )
            except (ConflictError, UncertainError):
                # It moved, or may have: look again.
                continue
            self._keep_final(job_id, ("cancelled", tasks), revision)
            return answer(200, {"nameId": job_id, "status": "cancelled"})
        return self._later()
