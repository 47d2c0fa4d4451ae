"""Whether jobs are active: questions that wait at the same time share one read of the store's revision."""

from __future__ import annotations

import math
import threading
import time
from collections import deque
from collections.abc import Callable
from enum import Enum, auto

from poppyhold.concurrency.bounded_dict import BoundedDict
from poppyhold.concurrency.rate_limiter import RateLimiter
from poppyhold.durable.errors import OutcomeUnknownError, StoreRejectedError, WatchCompactedError
from poppyhold.durable.keys import ACTIVE_JOB_PREFIX
from poppyhold.durable.store import Store
from poppyhold.reads.catch_up import BehindError, carry_out, catch_up
from poppyhold.reads.job_view import JobView
from poppyhold.reads.rounds import Round, Rounds

# A shared read is two requests: below so many questions each of them asks by itself.
FEWEST_SHARED = 3
# Requests of a shared read that only follows: the revision, and the changes up to it.
_SHARED_REQUESTS = 2
# Outcomes of rounds that are kept for the questions that have not seen theirs yet.
_OUTCOMES_KEPT = 64


class Outcome(Enum):
    """What became of a round."""

    # The view is at least as new as the round's beginning.
    CURRENT = auto()
    # Too few questions for a shared read, or a follow that stays behind: each asks for its own key.
    ASK_ALONE = auto()
    # The state service did not answer.
    FAILED = auto()


class JobReads:
    """Answers from memory whether a job is active, no older than the question.

    A question waits for the first round that begins behind it. Where many come, rounds begin no more often
    than once in ``gather_s``, and never faster than ``pace`` lets the state service be asked: the questions
    of a storm wait for one another, while submissions and decisions go on. The thread of one of the questions
    carries the round out for all.
    """

    def __init__(
        self,
        store: Store,
        gather_s: float,
        patience_s: float,
        fewest_shared: int = FEWEST_SHARED,
        clock: Callable[[], float] = time.monotonic,
        pace: RateLimiter | None = None,
    ) -> None:
        self._store, self._gather_s, self._patience_s = store, gather_s, patience_s
        self._fewest_shared, self._clock = fewest_shared, clock
        self._pace = pace or RateLimiter(math.inf, burst=0)
        self._view = JobView()
        self._rounds = Rounds()
        self._outcomes: BoundedDict[Outcome] = BoundedDict(_OUTCOMES_KEPT)
        # Before this moment no round begins while many questions come; when the last ones came.
        self._next_at = float("-inf")
        self._arrivals: deque[float] = deque(maxlen=fewest_shared)
        self._changed = threading.Condition()

    def is_active(self, job_id: str) -> bool:
        """Whether a job is active, at a moment behind the beginning of this call.

        Raises:
            StoreRejectedError: the state service did not tell in time. Nothing is answered from memory then:
                another controller may have told something newer.
        """
        outcome = self._await_round()
        if outcome is Outcome.CURRENT:
            # Behind its round the view only gets newer.
            with self._changed:
                return job_id in self._view
        if outcome is Outcome.ASK_ALONE:
            return self._store.get(ACTIVE_JOB_PREFIX + job_id) is not None
        raise StoreRejectedError("the store's revision could not be read")

    def _await_round(self) -> Outcome:
        """Wait for the first round that begins from now on, or carry it out."""
        with self._changed:
            number = self._rounds.arrive()
            now = self._clock()
            give_up_at = now + self._patience_s
            begin_at = self._begin_at(now)
            while (outcome := self._outcomes.get(str(number))) is None:
                if now >= give_up_at:
                    raise StoreRejectedError("no answer in time")
                # Other rounds may have been begun, and paid for, since this question came.
                begin_at = max(begin_at, self._pace.ready_at())
                if not self._rounds.running and now >= begin_at:
                    begun = self._begin_round(now)
                    break
                wake_at = give_up_at if self._rounds.running else min(give_up_at, begin_at)
                self._changed.wait(wake_at - now)
                now = self._clock()
            else:
                return outcome
        return self._play(begun)

    def _begin_at(self, now: float) -> float:
        """When a round may begin for a question that arrives now: few questions don't wait for others."""
        self._arrivals.append(now)
        many = len(self._arrivals) == self._fewest_shared and now - self._arrivals[0] < self._gather_s
        return self._next_at if many else now

    def _begin_round(self, now: float) -> Round:
        """Begin a round, and spend the requests that it most likely takes."""
        begun = self._rounds.begin()
        self._next_at = now + self._gather_s
        self._pace.consume(min(begun.questions, _SHARED_REQUESTS), now)
        return begun

    def _play(self, begun: Round) -> Outcome:
        """Carry a round out, and tell all that wait for it."""
        outcome = Outcome.FAILED
        try:
            alone = begun.questions < self._fewest_shared
            outcome = Outcome.ASK_ALONE if alone else self._catch_up()
        finally:
            with self._changed:
                self._rounds.finish()
                self._outcomes.put(str(begun.number), outcome)
                self._changed.notify_all()
        return outcome

    def _catch_up(self) -> Outcome:
        """Bring the view up to date."""
        # The questions before go on reading the view that there is: it is replaced by a newer one as a whole.
        fresh = self._view.copy()
        try:
            carry_out(catch_up(fresh), self._store)
        except (StoreRejectedError, OutcomeUnknownError, WatchCompactedError):
            return Outcome.FAILED
        except BehindError:
            # Reads of single keys are right whatever a follow says of its revision.
            return Outcome.ASK_ALONE
        with self._changed:
            self._view = fresh
        return Outcome.CURRENT
