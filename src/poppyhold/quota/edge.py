"""A term of leading towards other cells: its links to them, its answers, and what readiness shows.

`CellQuota` runs on the decision thread; everything here hands it work over the term's queue.
"""

from __future__ import annotations

import random
import threading
from collections.abc import Callable

from poppyhold.concurrency.priority_queue import SUBMISSIONS, Work
from poppyhold.quota.cell_quota import CellQuota, QuotaHealth
from poppyhold.quota.cells import Cells
from poppyhold.quota.link import CellLinks
from poppyhold.quota.messages import Answer, Opening, ShareReply, ShareRequest, StatusRequest
from poppyhold.settings import Settings

# How long a link waits for an answer, as a ratio to the lease.
_LINK_TIMEOUT = 0.1


class QuotaEdge:
    """The links and answers of one term. Reports and decisions go before all that they bring."""

    def __init__(
        self,
        quota: CellQuota,
        cells: Cells,
        settings: Settings,
        post: Callable[[int, Work], bool],
        rng: random.Random,
    ) -> None:
        """``post`` hands the decision thread work of a rank; False: it takes none."""
        self._quota, self._post = quota, post
        workers = settings.settings.workers
        self._links = CellLinks(
            cells.others, self._on_reply, workers.heartbeat_interval_s, workers.lease_s * _LINK_TIMEOUT, rng
        )
        self._is_ready, self._is_stopped = threading.Event(), threading.Event()
        # As of the last tick.
        self.health: QuotaHealth | None = None

    def start(self) -> None:
        """Begin to ask and to answer: what is durable has been read."""
        self._is_ready.set()
        self._links.start()

    def stop(self) -> None:
        """Nothing is asked or answered from now on."""
        self._is_stopped.set()
        self._links.stop()

    def tick(self) -> None:
        """On the decision thread: note what readiness shows."""
        self.health = self._quota.health()

    def publish(self) -> None:
        """On the decision thread: what the links ask from now on."""
        self._links.publish(self._quota.requests())

    def answer(self, message: Opening, timeout_s: float) -> Answer | None:
        """Have the decision thread answer another cell's leader or an operator; None: not in time."""
        if not self._is_ready.is_set():
            return None
        answers: list[Answer] = []
        answered = threading.Event()

        def work() -> None:
            if not self._is_stopped.is_set():
                answers.append(self._answer_now(message))
            answered.set()

        if self._post(SUBMISSIONS, work):
            answered.wait(timeout_s)
        return answers[0] if answers else None

    def _answer_now(self, message: Opening) -> Answer:
        match message:
            case ShareRequest():
                return self._quota.answer(message)
            case StatusRequest():
                return self._quota.status()

    def _on_reply(self, reply: ShareReply) -> None:
        """A link got an answer from another cell."""
        self._post(SUBMISSIONS, lambda: self._quota.replied(reply))
