"""Cells over real sockets: who answers, what is refused, and what operators are told and may write."""

from __future__ import annotations

import logging
import random
import socket
import threading
from pathlib import Path

import msgspec
import pytest

from poppyhold.cli import main
from poppyhold.cluster.election import Leader
from poppyhold.durable.keys import QUOTA_PREFIX
from poppyhold.durable.snapshot import SnapshotReader
from poppyhold.options import Options, parse_options
from poppyhold.quota.amounts import UNIT, ResourceAmount, ResourceShare, TeamAmount, TeamShare
from poppyhold.quota.cells import Cell, CellController, Cells
from poppyhold.quota.link import CellLinks
from poppyhold.quota.messages import (
    PROTOCOL_VERSION,
    Answer,
    CellView,
    HeardView,
    NotLeading,
    Opening,
    PeerView,
    ShareReply,
    ShareRequest,
    StatusReply,
    TeamView,
)
from poppyhold.quota.records import Transfer
from poppyhold.quota.server import QuotaServer
from poppyhold.quota.status import render, summarize
from poppyhold.settings import ConfigError, Settings, Team
from poppyhold.wire.frames import receive, send
from scenario import FOLDER, Scenario
from test_smoke import eventually
from world import World

REQUEST = ShareRequest(PROTOCOL_VERSION, "east", "west", "layout", "e1", "w1", 0)


class Peer:
    """A controller of another cell that gives the answers it is told, one to a request."""

    def __init__(self, *answers: msgspec.Struct | bytes) -> None:
        self.answers = list(answers)
        self.asked = 0
        self.listener = socket.create_server(("127.0.0.1", 0))
        threading.Thread(target=self._serve, daemon=True).start()

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.listener.getsockname()[1]}"

    def _serve(self) -> None:
        decoder = msgspec.msgpack.Decoder(ShareRequest)
        while True:
            connection, _ = self.listener.accept()
            with connection:
                try:
                    while True:
                        receive(connection, decoder)
                        answer = self.answers[min(self.asked, len(self.answers) - 1)]
                        self.asked += 1
                        if isinstance(answer, bytes):
                            connection.sendall(answer)
                        else:
                            send(connection, answer)
                except (OSError, ValueError):
                    continue


def links(replies: list[ShareReply], **peers: Peer) -> CellLinks:
    controllers = tuple(CellController(member, peer.address) for member, peer in peers.items())
    made = CellLinks((Cell("west", 0.5, controllers),), replies.append, 0.05, 0.5, random.Random(1)).start()
    made.publish({"west": REQUEST})
    return made


# -- who asks ------------------------------------------------------------------------------------------


def test_a_link_finds_the_leader_by_any_controller() -> None:
    reply = ShareReply("west", "w1")
    replies: list[ShareReply] = []
    leading, other = Peer(reply), Peer(NotLeading("two"))
    made = links(replies, one=other, two=leading)
    eventually(lambda: len(replies) > 2)
    made.stop()
    assert replies[0] == reply


@pytest.mark.parametrize(
    "bad",
    [
        pytest.param((2**31).to_bytes(4, "big") + b"x" * 64, id="oversized"),
        pytest.param((3).to_bytes(4, "big") + b"\xff\xff\xff", id="malformed"),
        pytest.param(ShareReply("north", "n1"), id="another-cell"),
        pytest.param(StatusReply(CellView("west")), id="another-message"),
        pytest.param(NotLeading("nobody"), id="unknown-leader"),
    ],
)
def test_a_bad_answer_ends_a_link_with_one_line_until_it_is_back(
    bad: msgspec.Struct | bytes, caplog: pytest.LogCaptureFixture
) -> None:
    replies: list[ShareReply] = []
    peer = Peer(bad, bad, bad, ShareReply("west", "w1"))
    with caplog.at_level(logging.INFO, "poppyhold.quota.link"):
        made = links(replies, one=peer)
        eventually(lambda: bool(replies))
        made.stop()
    lines = [record.message for record in caplog.records]
    assert len([line for line in lines if "can't be reached" in line]) == 1
    assert replies[0].cell == "west"


# -- who answers ---------------------------------------------------------------------------------------


class StandInTerm:
    """A term that answers everything alike, or is not ready."""

    def __init__(self, answer: Answer | None) -> None:
        self._answer = answer

    def answer_cell(self, message: Opening, timeout_s: float) -> Answer | None:
        return self._answer


def server(term: StandInTerm | None, leader: Leader | None = None) -> QuotaServer:
    cells = Cells("west", 0.5, (Cell("east", 0.5),))
    return QuotaServer(settings(), cells, lambda: term, lambda: leader)


def settings() -> Settings:
    return World(1, 10.0, 30.0, [Team("alpha")]).settings


def test_who_does_not_lead_says_who_does() -> None:
    assert server(None).answer(REQUEST) == NotLeading("")
    assert server(None, Leader("hive-2", 7, 1, 1)).answer(REQUEST) == NotLeading("hive-2")
    reply = ShareReply("west")
    assert server(StandInTerm(reply)).answer(REQUEST) == reply


@pytest.mark.parametrize(
    "changes",
    [{"version": PROTOCOL_VERSION + 1}, {"to_cell": "north"}, {"cell": "south"}],
    ids=["version", "to-cell", "cell"],
)
def test_what_is_not_for_us_ends_its_link_with_one_line(
    changes: dict[str, object], caplog: pytest.LogCaptureFixture
) -> None:
    one = server(StandInTerm(ShareReply("west")))
    for _ in range(3):
        with pytest.raises(ValueError, match=r"."):
            one.answer(msgspec.structs.replace(REQUEST, **changes))
    assert len(caplog.records) == 1
    assert one.answer(REQUEST) == ShareReply("west")


def test_a_leader_that_is_not_ready_and_a_fleet_of_one_cell_end_the_link() -> None:
    with pytest.raises(ValueError, match="not ready"):
        server(StandInTerm(None)).answer(REQUEST)
    with pytest.raises(ValueError, match="one cell"):
        QuotaServer(settings(), None, lambda: None, lambda: None).answer(REQUEST)


# -- without the file ----------------------------------------------------------------------------------


def test_without_the_file_nothing_is_read_written_or_asked() -> None:
    scenario = Scenario((FOLDER / "limit_while_unreachable.txt").read_text(), 1)
    read: list[str] = []
    state = scenario.world.state
    scan = state.scan

    def noted(prefix: str, after: str, most: int) -> tuple[int, dict[str, object]]:
        read.append(prefix)
        return scan(prefix, after, most)

    state.scan = noted  # type: ignore[method-assign]
    scenario.play()
    assert scenario.world.broken + scenario.failures == []
    assert set(read) == {f"ph/{name}/" for name in ("a", "p", "d", "e", "h", "m", "none")}
    assert not [key for key in state.keys if key.startswith(QUOTA_PREFIX)]
    leader = scenario.world.leader()
    assert leader is not None
    assert leader.leader_term is not None
    assert leader.leader_term.controller.quota is None
    # With the file it is one prefix more.
    read.clear()
    SnapshotReader(leader.store, with_quota=True).read()
    assert QUOTA_PREFIX in read


# -- operators' settings -------------------------------------------------------------------------------

FILE = Path(__file__).resolve().parent.parent / "deploy" / "cells.txtpb"


def test_the_example_names_three_cells() -> None:
    cells = parse_options(FILE.read_text()).cells
    assert cells is not None
    assert [cells.name, *(cell.name for cell in cells.others)] == ["east", "north", "west"]
    assert cells.keep_leases == Cells("", 0, ()).keep_leases
    assert Options().cells is None


@pytest.mark.parametrize(
    ("right", "wrong", "field"),
    [
        ('name: "north"', 'name: "east"', "cells.others.name"),
        ('name: "north"', 'name: "no rth"', "cells.others.name"),
        ('name: "east"', "", "cells.name"),
        ("part: 0.3", "part: 0.4", "cells.part"),
        ("part: 0.3", "part: -0.3", "cells.part"),
        ('"10.1.0.1:8081"', '"10.1.0.1"', "cells.others.north.controllers.hive-0.address"),
        ('member: "hive-1" address: "10.1', 'member: "hive-0" address: "10.1', "controllers.member"),
        ("# keep_leases: 1", "keep_leases: -1", "cells.keep_leases"),
        ("# moves_share: 0.2", "moves_share: 0.9", "cells.moves_share"),
        ("# reserve: 0", "reserve: 1.5", "cells.reserve"),
    ],
)
def test_a_bad_file_is_refused_with_the_field(right: str, wrong: str, field: str) -> None:
    text = FILE.read_text()
    assert right in text
    with pytest.raises(ConfigError) as caught:
        parse_options(text.replace(right, wrong, 1))
    assert field in str(caught.value)
    assert "\n" not in str(caught.value)


CONFIG = """
member = "hive-0"
domain = "a"
client_listen = "127.0.0.1:1"
back = "127.0.0.1:2"
[outside]
cloud = "127.0.0.1:3"
state = "127.0.0.1:4"
[settings]
count = 1
zones = ["a"]
[[settings.teams]]
name = "alpha"
gpus = 9.0
gpus_max = 8.0
"""


def test_the_program_refuses_bad_input_with_status_2(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    config = tmp_path / "settings.toml"
    config.write_text(CONFIG)
    files = ["--config", str(config), "--options", str(FILE)]
    assert main(["check-config", *files]) == 2
    assert "settings.teams.alpha.gpus" in capsys.readouterr().err
    # Without the file a guarantee above the limit is taken as it always was.
    assert main(["check-config", "--config", str(config)]) == 0
    assert main(["quota", "status", "--config", str(config)]) == 2
    config.write_text(CONFIG.replace("9.0", "4.0"))
    capsys.readouterr()
    # Nobody leads there.
    assert main(["quota", "status", *files]) == 1
    assert capsys.readouterr().err.count("\n") == 1


# -- what adds up --------------------------------------------------------------------------------------

WHOLE = TeamShare(ResourceShare(), ResourceShare(2 * UNIT, 6 * UNIT))
TRANSFER = Transfer(1, {"alpha": TeamAmount(accelerators=ResourceAmount(0, UNIT))})


def view(cell: str, borrowable: int, *peers: PeerView, alarms: list[str] | None = None) -> CellView:
    share = TeamShare(ResourceShare(), ResourceShare(UNIT, borrowable * UNIT))
    return CellView(cell, cell, [TeamView("alpha", share, WHOLE)], list(peers), alarms or [])


def status(own: CellView, *others: CellView) -> tuple[int, list[str], bool]:
    found = summarize(StatusReply(own, [HeardView(other, 2.0) for other in others]))
    assert "alpha" in render(found)
    return found.exit_status, found.problems, found.added_up


def test_shares_add_up_with_what_is_in_transit() -> None:
    assert status(view("east", 3), view("west", 3)) == (0, [], True)
    moving = PeerView("west", 1, 0, TRANSFER)
    assert status(view("east", 2, moving), view("west", 3)) == (0, [], True)
    # It was applied, and the giver does not know yet.
    applied = PeerView("east", 0, 1)
    assert status(view("east", 2, moving), view("west", 4, applied)) == (0, [], True)


def test_what_does_not_add_up_is_a_problem() -> None:
    code, problems, _ = status(view("east", 3), view("west", 4))
    assert code == 1
    assert problems == ["team alpha, gpus: limits add up to 9 of 8"]


def test_views_of_different_moments_are_not_added_up() -> None:
    # The giver was heard before it gave.
    applied = PeerView("east", 0, 1)
    assert status(view("east", 3), view("west", 4, applied)) == (0, [], False)


def test_an_alarm_is_an_exit_status() -> None:
    assert status(view("east", 3, alarms=["use above share"]), view("west", 3))[0] == 1
