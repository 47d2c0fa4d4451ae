"""The server for requests from other cells: redirects, rejections and readiness."""

from __future__ import annotations

import msgspec
import pytest

from poppyhold.cluster.known_leader import Leader
from poppyhold.quota.cells import Cell, Cells
from poppyhold.quota.messages import (
    PROTOCOL_VERSION,
    NotLeading,
    QuotaRequest,
    QuotaResponse,
    TransferRequest,
    TransferResponse,
)
from poppyhold.quota.server import QuotaServer
from poppyhold.settings import Settings, Team
from world import World

REQUEST = TransferRequest(PROTOCOL_VERSION, "east", "west", "layout", "e1", "w1", 0)


class StandInTerm:
    """A term that answers everything alike, or is not ready."""

    def __init__(self, answer: QuotaResponse | None) -> None:
        self._answer = answer

    def answer_cell(self, message: QuotaRequest, timeout_s: float) -> QuotaResponse | None:
        return self._answer


def server(term: StandInTerm | None, leader: Leader | None = None) -> QuotaServer:
    cells = Cells("west", 0.5, (Cell("east", 0.5),))
    return QuotaServer(settings(), cells, lambda: term, lambda: leader)


def settings() -> Settings:
    return World(1, 10.0, 30.0, [Team("alpha")]).settings


def test_who_does_not_lead_says_who_does() -> None:
    assert server(None).answer(REQUEST) == NotLeading("")
    assert server(None, Leader("hive-2", 7, 1, 1)).answer(REQUEST) == NotLeading("hive-2")
    reply = TransferResponse("west")
    assert server(StandInTerm(reply)).answer(REQUEST) == reply


@pytest.mark.parametrize(
    "changes",
    [{"version": PROTOCOL_VERSION + 1}, {"to_cell": "north"}, {"cell": "south"}],
    ids=["version", "to-cell", "cell"],
)
def test_what_is_not_for_us_ends_its_link_with_one_line(
    changes: dict[str, object], caplog: pytest.LogCaptureFixture
) -> None:
    one = server(StandInTerm(TransferResponse("west")))
    for _ in range(3):
        with pytest.raises(ValueError, match=r"."):
            one.answer(msgspec.structs.replace(REQUEST, **changes))
    assert len(caplog.records) == 1
    assert one.answer(REQUEST) == TransferResponse("west")


def test_a_leader_that_is_not_ready_and_a_fleet_of_one_cell_end_the_link() -> None:
    with pytest.raises(ValueError, match="not ready"):
        server(StandInTerm(None)).answer(REQUEST)
    with pytest.raises(ValueError, match="one cell"):
        QuotaServer(settings(), None, lambda: None, lambda: None).answer(REQUEST)
