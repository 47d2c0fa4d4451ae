"""Links to other cells over real sockets: finding the leader, bad responses and recovery."""

from __future__ import annotations

import logging
import random
import socket
import threading

import msgspec
import pytest

from poppyhold.options import Cell, CellController
from poppyhold.quota.link import CellLinks
from poppyhold.quota.messages import (
    PROTOCOL_VERSION,
    CellView,
    NotLeading,
    StatusResponse,
    TransferRequest,
    TransferResponse,
)
from poppyhold.wire.frames import receive_message, send_message
from test_smoke import eventually

REQUEST = TransferRequest(PROTOCOL_VERSION, "east", "west", "layout", "e1", "w1", 0)


class ScriptedController:
    """A controller of another cell that sends the given responses, one to a request."""

    def __init__(self, *answers: msgspec.Struct | bytes) -> None:
        self.answers = list(answers)
        self.request_count = 0
        self.listener = socket.create_server(("127.0.0.1", 0))
        threading.Thread(target=self._serve, daemon=True).start()

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.listener.getsockname()[1]}"

    def _serve(self) -> None:
        decoder = msgspec.msgpack.Decoder(TransferRequest)
        while True:
            connection, _ = self.listener.accept()
            with connection:
                try:
                    while True:
                        receive_message(connection, decoder)
                        answer = self.answers[min(self.request_count, len(self.answers) - 1)]
                        self.request_count += 1
                        if isinstance(answer, bytes):
                            connection.sendall(answer)
                        else:
                            send_message(connection, answer)
                except (OSError, ValueError):
                    continue


def links(responses: list[TransferResponse], **peers: ScriptedController) -> CellLinks:
    controllers = tuple(CellController(member, peer.address) for member, peer in peers.items())
    cell_links = CellLinks(
        (Cell("west", 0.5, controllers),), responses.append, 0.05, 0.5, random.Random(1)
    ).start()
    cell_links.publish({"west": REQUEST})
    return cell_links


def test_a_link_finds_the_leader_by_any_controller() -> None:
    response = TransferResponse("west", "w1")
    responses: list[TransferResponse] = []
    leading, other = ScriptedController(response), ScriptedController(NotLeading("two"))
    cell_links = links(responses, one=other, two=leading)
    eventually(lambda: len(responses) > 2)
    cell_links.stop()
    assert responses[0] == response


@pytest.mark.parametrize(
    "bad",
    [
        pytest.param((2**31).to_bytes(4, "big") + b"x" * 64, id="oversized"),
        pytest.param((3).to_bytes(4, "big") + b"\xff\xff\xff", id="malformed"),
        pytest.param(TransferResponse("north", "n1"), id="another-cell"),
        pytest.param(StatusResponse(CellView("west")), id="another-message"),
        pytest.param(NotLeading("nobody"), id="unknown-leader"),
    ],
)
def test_a_bad_response_is_logged_once_until_the_link_is_restored(
    bad: msgspec.Struct | bytes, caplog: pytest.LogCaptureFixture
) -> None:
    responses: list[TransferResponse] = []
    peer = ScriptedController(bad, bad, bad, TransferResponse("west", "w1"))
    with caplog.at_level(logging.INFO, "poppyhold.quota.link"):
        cell_links = links(responses, one=peer)
        eventually(lambda: bool(responses))
        cell_links.stop()
    lines = [record.message for record in caplog.records]
    assert len([line for line in lines if "link to cell lost" in line]) == 1
    assert responses[0].cell == "west"
