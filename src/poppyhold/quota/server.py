"""A controller's server for requests from other cells: the leader responds, others redirect to it."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Protocol

from poppyhold.cluster.leader_key import Leader
from poppyhold.options import Cells
from poppyhold.quota.messages import (
    PROTOCOL_VERSION,
    NotLeading,
    QuotaRequest,
    QuotaResponse,
    TransferRequest,
)
from poppyhold.settings import Settings

log = logging.getLogger(__name__)

# Connections per other cell: a link, one that is being replaced, and an operator's request.
_CONNECTIONS_PER_CELL = 4
# The time-out of a request to the decision thread is a lease divided by this.
_TIMEOUTS_PER_LEASE = 12


class QuotaRequestError(ValueError):
    """A request gets no response, and its connection is closed."""


class LeadingTerm(Protocol):
    """The part of a leader's term that serves other cells."""

    def handle_quota_request(self, message: QuotaRequest, timeout_s: float) -> QuotaResponse | None:
        """Handle a request; None if there is no response in time."""


class QuotaServer:
    """Handles requests of other cells' leaders and of operators."""

    def __init__(
        self,
        settings: Settings,
        cells: Cells | None,
        leading_term: Callable[[], LeadingTerm | None],
        leader: Callable[[], Leader | None],
    ) -> None:
        self._settings, self._cells = settings, cells
        self._leading_term, self._leader = leading_term, leader
        self._timeout_s = settings.deployment.workers.lease_s / _TIMEOUTS_PER_LEASE
        # Why each cell's last request was rejected; a repeated reason is not logged again.
        self._last_rejections: dict[str, str] = {}

    @property
    def max_connections(self) -> int:
        """The number of connections besides those of this cell's controllers."""
        return _CONNECTIONS_PER_CELL * len(self._cells.others) if self._cells is not None else 0

    def handle_request(self, request: QuotaRequest) -> QuotaResponse:
        """Return the response to a request.

        Raises:
            QuotaRequestError: there is no response; the connection is to be closed.

        """
        if self._cells is None:
            raise QuotaRequestError("this fleet has one cell")
        if isinstance(request, TransferRequest):
            self._check(self._cells, request)
        term = self._leading_term()
        if term is None:
            leader = self._leader()
            return NotLeading(leader.member if leader is not None else "")
        response = term.handle_quota_request(request, self._timeout_s)
        if response is None:
            raise QuotaRequestError("the leader is not ready")
        return response

    def _check(self, cells: Cells, request: TransferRequest) -> None:
        rejection = self._rejection(cells, request)
        if not rejection:
            self._last_rejections.pop(request.cell, None)
            return
        if self._last_rejections.get(request.cell) != rejection:
            if len(self._last_rejections) <= len(cells.others):
                self._last_rejections[request.cell] = rejection
            log.warning(
                "quota request rejected, closing connection: cell=%.80r reason=%r", request.cell, rejection
            )
        raise QuotaRequestError(rejection)

    @staticmethod
    def _rejection(cells: Cells, request: TransferRequest) -> str:
        """Why a request is rejected; empty if it is accepted."""
        if request.version != PROTOCOL_VERSION:
            return f"protocol version is {request.version}, only {PROTOCOL_VERSION} is supported"
        if request.to_cell != cells.name:
            return f"request is for cell {request.to_cell:.80}, this is cell {cells.name}"
        if cells.other(request.cell) is None:
            return "requesting cell is not named in this controller's options"
        return ""
