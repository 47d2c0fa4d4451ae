"""One term's endpoint for other cells: its links, its responses, and its health for the readiness check.

`CellQuotaService` runs on the decision thread; other threads pass it work through the term's queue.
"""

from __future__ import annotations

import random
import threading
from collections.abc import Callable

from poppyhold.concurrency.priority_queue import SUBMISSIONS, Work
from poppyhold.options import Cells
from poppyhold.quota.cell_service import CellQuotaService, QuotaHealth
from poppyhold.quota.link import CellLinks
from poppyhold.quota.messages import (
    QuotaRequest,
    QuotaResponse,
    StatusRequest,
    TransferRequest,
    TransferResponse,
)
from poppyhold.settings import Settings

# How long a link waits for a response, in leases.
_LINK_TIMEOUT_LEASES = 0.1


class QuotaEndpoint:
    """The links and responses of one term. Heartbeats and decisions have priority over their work."""

    def __init__(
        self,
        quota: CellQuotaService,
        cells: Cells,
        settings: Settings,
        post: Callable[[int, Work], bool],
        rng: random.Random,
    ) -> None:
        """``post`` queues work at a priority for the decision thread; False if the work is not accepted."""
        self._quota, self._post = quota, post
        workers = settings.deployment.workers
        self._links = CellLinks(
            cells.others,
            self._on_response,
            workers.heartbeat_interval_s,
            workers.lease_s * _LINK_TIMEOUT_LEASES,
            rng,
        )
        self._is_ready, self._is_stopped = threading.Event(), threading.Event()
        # As of the last tick; None before the first.
        self.health: QuotaHealth | None = None

    def start(self) -> None:
        """Start to send and handle requests, once the durable records are loaded."""
        self._is_ready.set()
        self._links.start()

    def stop(self) -> None:
        """Stop sending and handling requests."""
        self._is_stopped.set()
        self._links.stop()

    def tick(self) -> None:
        """Update the health for the readiness check. Called on the decision thread."""
        self.health = self._quota.health()

    def publish(self) -> None:
        """Pass the current requests to the links. Called on the decision thread."""
        self._links.publish(self._quota.requests())

    def handle_request(self, request: QuotaRequest, timeout_s: float) -> QuotaResponse | None:
        """Handle a cell leader's or operator's request on the decision thread; None: no response in time."""
        if not self._is_ready.is_set():
            return None
        responses: list[QuotaResponse] = []
        done = threading.Event()

        def work() -> None:
            if not self._is_stopped.is_set():
                responses.append(self._handle(request))
            done.set()

        if self._post(SUBMISSIONS, work):
            done.wait(timeout_s)
        return responses[0] if responses else None

    def _handle(self, request: QuotaRequest) -> QuotaResponse:
        match request:
            case TransferRequest():
                return self._quota.handle_request(request)
            case StatusRequest():
                return self._quota.status()

    def _on_response(self, response: TransferResponse) -> None:
        """Queue another cell's response. Called on a link's thread."""
        self._post(SUBMISSIONS, lambda: self._quota.handle_response(response))
