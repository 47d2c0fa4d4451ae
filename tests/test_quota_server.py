"""The server for requests from other cells: redirects, rejections and readiness."""

from __future__ import annotations

import msgspec
import pytest

from poppyhold.cluster.leader_key import Leader
from poppyhold.options import Cell, Cells
from poppyhold.quota.messages import (
    PROTOCOL_VERSION,
    NotLeading,
    QuotaRequest,
    QuotaResponse,
    TransferRequest,
    TransferResponse,
)
from poppyhold.quota.server import QuotaRequestError, QuotaServer
from poppyhold.settings import Settings, Team
from world import World

REQUEST = TransferRequest(PROTOCOL_VERSION, "east", "west", "layout", "e1", "w1", 0)


class TermStub:
    """A term that answers every request alike, or is not ready."""

    def __init__(self, answer: QuotaResponse | None) -> None:
        self._answer = answer

    def handle_quota_request(self, message: QuotaRequest, timeout_s: float) -> QuotaResponse | None:
        return self._answer


def server(term: TermStub | None, leader: Leader | None = None) -> QuotaServer:
    cells = Cells("west", 0.5, (Cell("east", 0.5),))
    return QuotaServer(settings(), cells, lambda: term, lambda: leader)


def settings() -> Settings:
    return World(1, 10.0, 30.0, [Team("alpha")]).settings


def test_the_leader_answers() -> None:
    response = TransferResponse("west")
    assert server(TermStub(response)).handle_request(REQUEST) == response


@pytest.mark.parametrize(
    ("leader", "member"),
    [pytest.param(None, "", id="unknown"), pytest.param(Leader("hive-2", 7, 1, 1), "hive-2", id="known")],
)
def test_a_controller_that_does_not_lead_names_the_leader(leader: Leader | None, member: str) -> None:
    assert server(None, leader).handle_request(REQUEST) == NotLeading(member)


@pytest.mark.parametrize(
    "changes",
    [{"version": PROTOCOL_VERSION + 1}, {"to_cell": "north"}, {"cell": "south"}],
    ids=["version", "to-cell", "cell"],
)
def test_a_request_for_another_cell_ends_its_link_with_one_log_line(
    changes: dict[str, object], caplog: pytest.LogCaptureFixture
) -> None:
    one = server(TermStub(TransferResponse("west")))
    for _ in range(3):
        with pytest.raises(QuotaRequestError, match=r"."):
            one.handle_request(msgspec.structs.replace(REQUEST, **changes))
    assert len(caplog.records) == 1
    assert one.handle_request(REQUEST) == TransferResponse("west")


def test_a_leader_that_is_not_ready_ends_the_link() -> None:
    with pytest.raises(QuotaRequestError, match="not ready"):
        server(TermStub(None)).handle_request(REQUEST)


def test_a_fleet_of_one_cell_ends_the_link() -> None:
    with pytest.raises(QuotaRequestError, match="one cell"):
        QuotaServer(settings(), None, lambda: None, lambda: None).handle_request(REQUEST)
