"""A controller's side of the links from other cells: the leader answers, any other one says who leads."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Protocol

from poppyhold.cluster.known_leader import Leader
from poppyhold.quota.cells import Cells
from poppyhold.quota.messages import (
    PROTOCOL_VERSION,
    Answer,
    NotLeading,
    Opening,
    ShareRequest,
)
from poppyhold.settings import Settings

log = logging.getLogger(__name__)

# Connections for each other cell: a link, one that is being replaced, and an operator's question.
_LINKS_A_CELL = 4


class LeadingTerm(Protocol):
    """What a term of leading does for other cells."""

    def answer_cell(self, message: Opening, timeout_s: float) -> Answer | None:
        """Answer a message; None if that can't be done in time."""


class QuotaServer:
    """Answers messages of other cells' leaders and of operators."""

    def __init__(
        self,
        settings: Settings,
        cells: Cells | None,
        leading_term: Callable[[], LeadingTerm | None],
        leader: Callable[[], Leader | None],
    ) -> None:
        self._settings, self._cells = settings, cells
        self._leading_term, self._leader = leading_term, leader
        self._timeout_s = settings.settings.workers.lease_s / 12
        # Why each cell's last message was refused: logged once, not with each try.
        self._last_refusals: dict[str, str] = {}

    @property
    def most_links(self) -> int:
        """Connections that come beside those of our own cell's controllers."""
        return _LINKS_A_CELL * len(self._cells.others) if self._cells is not None else 0

    def answer(self, message: Opening) -> Answer:
        """The answer to a message.

        Raises:
            ValueError: there is none, and the connection has to end.
        """
        if self._cells is None:
            raise ValueError("this fleet has one cell")
        if isinstance(message, ShareRequest):
            self._check(self._cells, message)
        term = self._leading_term()
        if term is None:
            leader = self._leader()
            return NotLeading(leader.member if leader is not None else "")
        answered = term.answer_cell(message, self._timeout_s)
        if answered is None:
            raise ValueError("the leader is not ready")
        return answered

    def _check(self, cells: Cells, request: ShareRequest) -> None:
        wrong = self._wrong(cells, request)
        if not wrong:
            self._last_refusals.pop(request.cell, None)
            return
        if self._last_refusals.get(request.cell) != wrong:
            if len(self._last_refusals) <= len(cells.others):
                self._last_refusals[request.cell] = wrong
            log.warning("a message from cell %.80r is refused: %s", request.cell, wrong)
        raise ValueError(wrong)

    @staticmethod
    def _wrong(cells: Cells, request: ShareRequest) -> str:
        """Why a message can't be for us; empty if it can."""
        if request.version != PROTOCOL_VERSION:
            return f"version {request.version} of the protocol, {PROTOCOL_VERSION} is spoken here"
        if request.to_cell != cells.name:
            return f"it is for cell {request.to_cell:.80}, this is {cells.name}"
        if cells.other(request.cell) is None:
            return "no such cell is known here"
        return ""
