"""Messages between controllers: across versions, malformed, and of cancellations that a leader can't see."""

from __future__ import annotations

import contextlib
import socket
import threading
from typing import Any

import msgspec
import pytest

from poppyhold.cluster.authority import AuthorityLimits, RenewalAuthority
from poppyhold.cluster.cancellations import Cancellation, Cancellations
from poppyhold.cluster.lease_delegation import DelegationTracker
from poppyhold.cluster.peer_messages import PeerMessage, Ping, Pong, receive_peer_message
from poppyhold.cluster.peers import Peers
from poppyhold.configuration_checks import split_address
from poppyhold.model.context import ImageHints
from poppyhold.model.job_status import TaskCounts
from poppyhold.model.start_grant import StartGrant, StartRefusal
from poppyhold.node.service import Node
from poppyhold.options import Options
from poppyhold.quota.messages import QuotaRequest, QuotaResponse
from poppyhold.relay.messages import RelayHello
from poppyhold.scale.controllers import free_port
from poppyhold.scale.jobs import submission, wire
from poppyhold.settings import ExternalServices, PeerController, Team
from poppyhold.wire.codec import encode
from poppyhold.wire.frames import send_message
from poppyhold.wire.http_server import HttpResponse, http_response
from test_smoke import ExternalStandIns, eventually
from world import World

PING = ["ping", "hive-1", 7, True, 0.5, 40, 3]
PONG = ["pong", "hive-1", 0, False, 0.5, 40, 3]


class PingHandler:
    """A controller that handles nothing but pings."""

    def __init__(self) -> None:
        self.ping = Ping("hive-0", 0, False, 0.0, -1, 0)
        self.pong = Pong("hive-0", 0, False, 0.0, -1, 0)
        self.pongs: list[Pong] = []

    def compose_ping(self) -> Ping:
        return self.ping

    def task_counts_if_leading(self) -> dict[str, TaskCounts]:
        return {}

    def image_hints_if_leading(self) -> ImageHints:
        return {}

    def delegation_tracker(self) -> DelegationTracker | None:
        return None

    def handle_ping(self, ping: Ping) -> Pong:
        return self.pong

    def handle_pong(self, pong: Pong, requested_at: float) -> None:
        self.pongs.append(pong)

    def on_connection_refused(self, member: str) -> None:
        pass

    def serve_relay(self, connection: socket.socket, hello: RelayHello) -> None:
        pass

    def handle_quota_request(self, request: QuotaRequest) -> QuotaResponse:
        raise ValueError("this fleet has one cell")


def receive_encoded(message: list[Any]) -> PeerMessage:
    """The message that this version decodes from one that another version sent."""
    receiver, sender = socket.socketpair()
    with receiver, sender:
        body = msgspec.msgpack.encode(message)
        sender.sendall(len(body).to_bytes(4, "big") + body)
        return receive_peer_message(receiver)


def test_messages_of_older_and_newer_versions_are_decoded() -> None:
    old = receive_encoded(PONG)
    assert isinstance(old, Pong)
    # A version that lists no cancellations: its one revision bounds all that it confirmed.
    assert (old.cancellations, old.cancellations_bound, old.reachable_peers) == ([], 40, [])
    newer = receive_encoded(
        [*PONG, [["job-000001", 41]], 12, [["vm-1", 1, 7]], ["hive-2"], "a further field", {"and": "more"}]
    )
    assert isinstance(newer, Pong)
    assert (newer.cancellations, newer.cancellations_bound) == ([("job-000001", 41)], 12)
    assert newer.misdirected_workers == [("vm-1", 1, 7)]
    assert newer.reachable_peers == ["hive-2"]
    ping = receive_encoded(PING)
    assert isinstance(ping, Ping)
    assert ping.applied_revision == -1
    # A version without the relay field accepts no heartbeats from relays.
    assert not ping.accepts_relays
    # A version without the field for the highest fencing token uses one at a time.
    assert ping.highest_fencing_token == 0
    newer_ping = receive_encoded([*PING, [], [], None, 39, True, 4096, "a further field"])
    assert isinstance(newer_ping, Ping)
    assert newer_ping.highest_fencing_token == 4096


def test_an_older_version_decodes_messages_of_this_version() -> None:
    class OldPong(msgspec.Struct, frozen=True, array_like=True, tag="pong"):
        member: str
        fencing_token: int
        leading: bool
        state_age_s: float
        told: int
        workers: int

    sender, receiver = socket.socketpair()
    with sender, receiver:
        send_message(sender, Pong("hive-1", 0, False, 0.5, 41, 3, [Cancellation("job-000001", 41)], 12))
        size = int.from_bytes(receiver.recv(4), "big")
        assert msgspec.msgpack.decode(receiver.recv(size), type=OldPong).told == 41


@pytest.mark.parametrize("message", [[], ["pong"], [*PONG[:5], "x", 3], ["pang", 1], {"a": 1}], ids=str)
def test_malformed_messages_are_rejected(message: list[Any]) -> None:
    # The codec raises several kinds of ValueError for a malformed message.
    with pytest.raises(ValueError):  # noqa: PT011
        receive_encoded(message)


def test_unlisted_cancellations_raise_the_bound_revision() -> None:
    confirmed = Cancellations(2)
    assert confirmed.summarize(-1) == ([], -1)
    assert confirmed.summarize(5) == ([], 5)
    confirmed.add("job-000001", 10)
    confirmed.add("job-000002", 11)
    assert confirmed.summarize(5) == ([("job-000001", 10), ("job-000002", 11)], 5)
    # Above the maximum number listed, the oldest one only raises the bound to its revision.
    confirmed.add("job-000003", 12)
    assert confirmed.summarize(5) == ([("job-000002", 11), ("job-000003", 12)], 10)
    confirmed.acknowledge(11)
    assert confirmed.summarize(5) == ([("job-000003", 12)], 11)
    # A process that has seen no revision does not know which cancellations its predecessor confirmed.
    assert confirmed.summarize(-1) == ([("job-000003", 12)], -1)


def test_watermark_is_the_earliest_request_to_any_controller() -> None:
    authority = RenewalAuthority(AuthorityLimits(20.0, 4.0, 4.0), ["a", "b"], began_at=0.0)
    authority.observe_watch(1.0, 10)
    authority.observe_peer("a", 30.0, 10)
    assert authority.cancellation_watermark(50.0) == 1.0
    authority.observe_peer("b", 25.0, 9)
    assert authority.cancellation_watermark(50.0) == 25.0
    # "b" confirmed a revision that is not applied yet, or knows none: the watermark does not advance.
    authority.observe_peer("b", 40.0, 11)
    authority.observe_peer("b", 41.0, -1)
    assert authority.may_renew_leases(45.0, 50.0)
    assert not authority.may_renew_leases(45.1, 50.0)
    authority.observe_watch(42.0, 11)
    assert authority.may_renew_leases(62.0, 50.0)
    # A leader whose watch advances while its leadership is unconfirmed may have been replaced.
    assert not authority.may_renew_leases(62.0, 41.0)


@pytest.mark.parametrize(
    ("now", "confirmed_at", "caught_up_at", "decision"),
    [
        pytest.param(10.0, 6.5, 6.0, StartGrant(6.0, 14.0), id="recent"),
        pytest.param(10.0, 6.0, 9.0, StartRefusal.LEADERSHIP_UNCONFIRMED, id="lead-not-confirmed"),
        pytest.param(10.0, 9.0, 2.0, StartRefusal.CANCELLATIONS_UNKNOWN, id="watch-not-caught-up"),
        pytest.param(10.0, 8.0, 3.0, StartGrant(3.0, 11.0), id="ends-with-renewals"),
    ],
)
def test_a_start_is_granted_only_on_recent_evidence(
    now: float, confirmed_at: float, caught_up_at: float, decision: StartGrant | StartRefusal
) -> None:
    limits = AuthorityLimits(unconfirmed_renewal_s=8.0, leader_lease_s=4.0, start_valid_s=4.0)
    authority = RenewalAuthority(limits, ["a", "b"], began_at=0.0)
    authority.observe_watch(caught_up_at, 1)
    assert authority.start_grant(now, confirmed_at) == decision


def test_a_late_response_to_an_earlier_request_lowers_no_watermark() -> None:
    authority = RenewalAuthority(AuthorityLimits(20.0, 4.0, 4.0), ["a"], began_at=0.0)
    authority.observe_watch(1.0, 10)
    authority.observe_peer("a", 50.0, 10)
    authority.observe_peer("a", 40.0, 10)
    assert authority.cancellation_watermark(1.0) == 50.0


def test_cancellations_that_come_out_of_order_count_by_the_highest_revision() -> None:
    confirmed = Cancellations(1)
    confirmed.add("job-000001", 12)
    confirmed.add("job-000002", 10)
    assert confirmed.summarize(0) == ([("job-000002", 10)], 12)
    # A revision below the bound is not listed and displaces no other cancellation.
    confirmed.add("job-000003", 11)
    assert confirmed.summarize(0) == ([("job-000002", 10)], 12)
    confirmed.add("job-000004", 13)
    assert confirmed.summarize(0) == ([("job-000004", 13)], 12)
    applied = Cancellations(5)
    applied.add("job-000001", 12)
    applied.add("job-000002", 10)
    applied.acknowledge(12)
    assert applied.summarize(0) == ([], 12)


class WrongResponder:
    """A server at a controller's address that answers pings with other messages."""

    def __init__(self, *answers: Any) -> None:
        self._answers = answers
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.requests = 0
        threading.Thread(target=self._serve, daemon=True).start()

    def _serve(self) -> None:
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            with connection:
                try:
                    receive_peer_message(connection)
                    body = msgspec.msgpack.encode(self._answers[self.requests % len(self._answers)])
                    self.requests += 1
                    connection.sendall(len(body).to_bytes(4, "big") + body)
                    connection.recv(1)
                except (OSError, ValueError):
                    continue


def test_responses_of_other_senders_are_discarded_and_pings_continue() -> None:
    responder = WrongResponder(["pong", "hive-9", *PONG[2:]], {"a": 1}, ["pong", "hive-1"], PING, PONG)
    settings = msgspec.structs.replace(
        World(1, 10.0, 30.0, [Team("alpha")]).settings,
        peer_listen=f"127.0.0.1:{free_port()}",
        peers=[PeerController("hive-1", "a", f"127.0.0.1:{responder.listener.getsockname()[1]}")],
    )
    handler = PingHandler()
    peers = Peers(settings, handler)
    peers.start()
    try:
        # Only the last answer is a pong of hive-1: each of them takes a cycle of five pings.
        eventually(lambda: len(handler.pongs) == 2)
        assert responder.requests >= 2 * 5
        assert {pong.member for pong in handler.pongs} == {"hive-1"}
    finally:
        peers.stop()
        responder.listener.close()


class RejectingServices(ExternalStandIns):
    """A state service that can reject watches alone, open ones included, or every request."""

    def __init__(self) -> None:
        self.rejects_watches = self.rejects_all = False
        super().__init__()

    def _state(self, method: str, path: str, body: bytes) -> HttpResponse:
        answered = http_response(503) if self.rejects_all else super()._state(method, path, body)
        return http_response(503) if self.rejects_watches and path.startswith("/follow") else answered


def test_leader_stops_tasks_that_its_own_user_api_cancelled() -> None:
    """The leader's watch never delivers a cancellation that its own user API confirmed."""
    world = RejectingServices()
    settings = msgspec.structs.replace(
        World(1, 10.0, 30.0, [Team("alpha")]).settings,
        client_listen=f"127.0.0.1:{free_port()}",
        peer_listen=f"127.0.0.1:{free_port()}",
        external_services=ExternalServices(
            cloud=f"127.0.0.1:{world.ports[1]}", state=f"127.0.0.1:{world.ports[0]}"
        ),
        peers=[],
    )
    node = Node(settings, Options())
    stop = threading.Event()

    def heartbeat() -> None:
        while not stop.wait(0.2):
            world.heartbeat(int(settings.client_listen.rpartition(":")[2]))

    threads = [threading.Thread(target=work, daemon=True) for work in (node.run, heartbeat)]
    try:
        for thread in threads:
            thread.start()
        for job_id in ("job-000001", "job-000002"):
            job = submission(job_id, {"shape": "service", "chores": 1, "rank": "critical", "sizeGb": 0.1})
            world.jobs[job_id] = job
            body = encode(wire(job))
            eventually(lambda body=body: node.user_api.submit(body)[0] in (200, 201))  # type: ignore[misc]
        eventually(lambda: len(world.worker.on_machine()) == 2)
        world.rejects_watches = True
        eventually(lambda: node.user_api.abort("job-000001")[0] == 200)
        world.rejects_all = True
        eventually(lambda: world.worker.on_machine() == ["job-000002/0"])
        # The task was stopped by a command: an expired lease would have ended the other task too.
        assert world.worker.incarnation == 1
    finally:
        stop.set()
        node.stop()
        world.close()


@pytest.mark.parametrize(
    ("data", "waits_for_more"),
    [
        pytest.param((2**31).to_bytes(4, "big") + b"x" * 64, False, id="oversized"),
        pytest.param((100).to_bytes(4, "big") + b"x" * 10, True, id="truncated"),
        pytest.param((3).to_bytes(4, "big") + b"\xff\xff\xff", False, id="malformed"),
        pytest.param(b"\x00\x00", True, id="half a length"),
    ],
)
def test_a_malformed_message_closes_only_its_own_connection(data: bytes, waits_for_more: bool) -> None:
    settings = msgspec.structs.replace(
        World(1, 10.0, 30.0, []).settings, peer_listen=f"127.0.0.1:{free_port()}", peers=[]
    )
    handler = PingHandler()
    peers = Peers(settings, handler)
    peers.start()
    address = split_address(settings.peer_listen)
    try:
        with socket.create_connection(address, 5.0) as good, socket.create_connection(address, 5.0) as bad:
            bad.sendall(data)
            # Oversized or malformed data closes the connection at once, maybe before this side's shutdown.
            if waits_for_more:
                bad.shutdown(socket.SHUT_WR)
            # A connection that is closed with unread data is reset.
            with contextlib.suppress(ConnectionResetError):
                assert bad.recv(1) == b""
            send_message(good, Ping("hive-1", 0, False, 0.0, -1, 0))
            assert receive_peer_message(good) == handler.pong
    finally:
        peers.stop()
