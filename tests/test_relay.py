"""Report relays: the queue, the leader's intake, the assignment, and both ends over real connections."""

from __future__ import annotations

import math
import random
import socket
import threading
from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from typing import Any

import msgspec
import pytest

from poppyhold.cluster.peers import Ping, Pong
from poppyhold.concurrency.priority_queue import Work
from poppyhold.durable.keys import LEADER_KEY
from poppyhold.model.durations import Durations
from poppyhold.options import Options, load_options, parse_options
from poppyhold.relay.assignment import Assignment
from poppyhold.relay.batch_handler import BatchHandler
from poppyhold.relay.connected_relay import ConnectedRelay
from poppyhold.relay.link import RelayLink
from poppyhold.relay.messages import HeartbeatBatch, RelayedResponse, RelayHello, RelayOutcome, ResponseBatch
from poppyhold.relay.overflow_redirect import OverflowRedirector
from poppyhold.relay.queue import HeartbeatQueue
from poppyhold.relay.reconnection import ReconnectionWindow
from poppyhold.relay.relay_mode import RelayMode
from poppyhold.relay.server import RelayServer
from poppyhold.relay.timings import RelayTimings
from poppyhold.settings import ConfigError, Workers
from poppyhold.wire.worker_messages import Command, CommandKind, Heartbeat, HeartbeatResponse, TaskStatus
from scenario import Scenario
from test_smoke import eventually
from world import World

PATIENCE_S = 2.5
FENCING_TOKEN = 7


def heartbeat(machine: str = "vm-1", sequence: int = 1, **changes: Any) -> Heartbeat:
    """A worker's report."""
    plain = Heartbeat(machine, f"{machine}:1", "small", "a", False, 1, sequence, FENCING_TOKEN)
    return msgspec.structs.replace(plain, **changes)


def over_the_wire(batch: HeartbeatBatch) -> HeartbeatBatch:
    """A batch as it is received."""
    return msgspec.msgpack.decode(msgspec.msgpack.encode(batch), type=HeartbeatBatch)


class Relayed:
    """A relay's queue, and what its workers were told."""

    def __init__(self, most: int = 100) -> None:
        self.queue = HeartbeatQueue(most, PATIENCE_S)
        self.told: list[RelayedResponse | None] = []

    def put(self, taken: Heartbeat, now: float = 0.0) -> bool:
        """A report comes in."""
        return self.queue.put(taken, now, self.told.append)

    def answers(
        self, *answers: RelayedResponse, now: float = 0.1, lowest_fencing_token: int = FENCING_TOKEN
    ) -> None:
        """The leader's answers come in."""
        for response in self.queue.match_responses(ResponseBatch(list(answers)), now, lowest_fencing_token):
            response.deliver()


def answered(number: int, fencing_token: int = FENCING_TOKEN) -> RelayedResponse:
    """The leader's answer to a report."""
    return RelayedResponse(number, RelayOutcome.ANSWERED, fencing_token)


# -- the relay's queue ---------------------------------------------------------------------------------


def test_unchanged_heartbeats_take_a_few_bytes() -> None:
    relay = Relayed()
    tasks = [TaskStatus(f"job-00000{index}/0", 1, "running") for index in range(8)]
    relay.put(heartbeat(sequence=1, tasks=tasks))
    assert len(relay.queue.next_batch(0.0, 64).heartbeats) == 1
    relay.put(heartbeat(sequence=2, tasks=tasks))
    batch = relay.queue.next_batch(0.0, 64)
    assert (len(batch.heartbeats), len(batch.unchanged)) == (0, 1)
    beat = batch.unchanged[0]
    assert (beat.machine, beat.incarnation, beat.sequence, beat.full_sequence) == ("vm-1", 1, 2, 1)
    assert len(msgspec.msgpack.encode(beat)) < 20


@pytest.mark.parametrize(
    "change",
    [
        {"tasks": [TaskStatus("job-000001/0", 1, "running")]},
        {"incarnation": 2},
        {"fencing_token": FENCING_TOKEN + 1},
        {"notice_s": 20.0},
        {"endpoint": "elsewhere:1"},
    ],
    ids=str,
)
def test_whatever_changed_is_sent_in_full(change: dict[str, Any]) -> None:
    relay = Relayed()
    relay.put(heartbeat(sequence=1))
    relay.queue.next_batch(0.0, 64)
    relay.put(heartbeat(sequence=2, **change))
    assert len(relay.queue.next_batch(0.0, 64).heartbeats) == 1


def test_a_new_connection_begins_with_full_heartbeats_and_what_was_under_way() -> None:
    relay = Relayed()
    relay.put(heartbeat(sequence=1))
    relay.queue.next_batch(0.0, 64)
    relay.put(heartbeat(sequence=2))
    relay.queue.connection_lost()
    batch = relay.queue.next_batch(0.1, 64)
    # The first one comes in full, and the second may refer to it.
    assert [full.heartbeat.sequence for full in batch.heartbeats] == [1]
    assert [beat.sequence for beat in batch.unchanged] == [2]


def test_a_heartbeat_that_the_leader_can_not_read_is_sent_in_full() -> None:
    relay = Relayed()
    relay.put(heartbeat(sequence=1))
    relay.queue.next_batch(0.0, 64)
    relay.answers(answered(1))
    relay.put(heartbeat(sequence=2))
    relay.queue.next_batch(0.0, 64)
    relay.answers(RelayedResponse(2, RelayOutcome.FULL_HEARTBEAT_REQUIRED))
    assert [full.heartbeat.sequence for full in relay.queue.next_batch(0.1, 64).heartbeats] == [2]
    relay.answers(answered(2))
    assert relay.told == [answered(1), answered(2)]


def test_late_answers_are_none() -> None:
    relay = Relayed()
    relay.put(heartbeat(), now=0.0)
    relay.answers(answered(1), now=PATIENCE_S + 0.01)
    assert relay.told == [None]


def test_answers_of_a_deposed_leader_are_none() -> None:
    relay = Relayed()
    relay.put(heartbeat(sequence=1))
    relay.put(heartbeat(sequence=2))
    relay.answers(
        answered(1, FENCING_TOKEN), answered(2, FENCING_TOKEN + 1), lowest_fencing_token=FENCING_TOKEN + 1
    )
    assert relay.told == [None, answered(2, FENCING_TOKEN + 1)]


def test_each_heartbeat_has_one_answer_and_only_its_own() -> None:
    relay = Relayed()
    relay.put(heartbeat())
    relay.answers(answered(2), answered(1), answered(1))
    assert relay.told == [answered(1)]
    assert not len(relay.queue)


def test_the_queue_is_bounded_in_number_and_time() -> None:
    relay = Relayed(most=2)
    assert [relay.put(heartbeat(f"vm-{index}"), now=float(index)) for index in range(3)] == [
        True,
        True,
        False,
    ]
    for response in relay.queue.expire(PATIENCE_S + 0.5):
        response.deliver()
    assert relay.told == [None]
    assert relay.put(heartbeat("vm-3"), now=3.0)
    # What was given up is not sent any more.
    assert [full.heartbeat.machine for full in relay.queue.next_batch(3.0, 64).heartbeats] == ["vm-1", "vm-3"]


# -- the leader's intake -------------------------------------------------------------------------------


class Leader:
    """The intake with a stand-in for the decision core."""

    def __init__(self) -> None:
        self.now = 0.0
        self.taken: list[Heartbeat] = []
        self.answer: HeartbeatResponse | None = HeartbeatResponse(FENCING_TOKEN, [])
        self.assignment = assignment(lambda: self.now)
        self.assignment.relay_connected("hive-1", "a")
        self.intake = BatchHandler(self._answer, lambda _: self.now, self.assignment, PATIENCE_S)
        self.relay = ConnectedRelay("hive-1", "a")

    def _answer(self, taken: Heartbeat, late_at: float) -> HeartbeatResponse | None:
        if self.now >= late_at:
            return None
        self.taken.append(taken)
        return self.answer

    def handle(self, relay: Relayed) -> list[RelayedResponse]:
        """Take what a relay has to send."""
        batch = over_the_wire(relay.queue.next_batch(self.now, 64))
        return self.intake.handle(self.relay, batch, self.now).responses


def assignment(
    clock: Callable[[], float], mode: RelayMode = RelayMode.FORCED, from_workers: float = 8.0
) -> Assignment:
    """An assignment of a leader in zone a."""
    times = Durations(World(1, 10.0, 30.0, []).settings, Options())
    return Assignment(mode, from_workers, 8.0, "hive-0", "a", times, clock, random.Random(1))


def test_unchanged_heartbeats_stand_for_the_last_full_one() -> None:
    leader, relay = Leader(), Relayed()
    tasks = [TaskStatus("job-000001/0", 1, "running")]
    for sequence in (1, 2):
        relay.put(heartbeat(sequence=sequence, tasks=tasks))
        assert [answer.outcome for answer in leader.handle(relay)] == [RelayOutcome.ANSWERED]
    assert leader.taken == [heartbeat(sequence=1, tasks=tasks), heartbeat(sequence=2, tasks=tasks)]


def test_a_heartbeat_for_an_unknown_state_is_asked_for_in_full() -> None:
    leader, relay = Leader(), Relayed()
    relay.put(heartbeat(sequence=1))
    leader.handle(relay)
    relay.put(heartbeat(sequence=2))
    # A new leader, or one that took another report of the machine in full meanwhile.
    for state in (ConnectedRelay("hive-1", "a"), ConnectedRelay("hive-1", "a")):
        leader.relay = state
    leader.relay.cache_full(heartbeat(sequence=9, incarnation=2))
    assert [answer.outcome for answer in leader.handle(relay)] == [RelayOutcome.FULL_HEARTBEAT_REQUIRED]
    assert [taken.sequence for taken in leader.taken] == [1]


def test_commands_come_back_with_the_answer() -> None:
    leader, relay = Leader(), Relayed()
    command = Command(CommandKind.STOP, "job-000001/0", 3, 4.0)
    leader.answer = HeartbeatResponse(FENCING_TOKEN + 1, [command])
    relay.put(heartbeat())
    answers = ResponseBatch(leader.handle(relay))
    received = msgspec.msgpack.decode(msgspec.msgpack.encode(answers), type=ResponseBatch)
    assert received == answers
    assert (received.responses[0].fencing_token, received.responses[0].commands) == (
        FENCING_TOKEN + 1,
        [command],
    )


def test_heartbeats_that_waited_too_long_at_the_relay_are_refused() -> None:
    leader, relay = Leader(), Relayed()
    relay.put(heartbeat(), now=0.0)
    leader.now = PATIENCE_S
    assert [answer.outcome for answer in leader.handle(relay)] == [RelayOutcome.REJECTED]
    assert leader.taken == []


def test_a_leader_that_may_not_answer_refuses() -> None:
    leader, relay = Leader(), Relayed()
    leader.answer = None
    relay.put(heartbeat())
    assert [answer.outcome for answer in leader.handle(relay)] == [RelayOutcome.REJECTED]


# -- who relays for whom -------------------------------------------------------------------------------

ZONES = {"hive-1": "a", "hive-2": "a", "hive-3": "b", "hive-4": "b", "hive-5": "c"}
MACHINES = {f"vm-{index:04d}": "abc"[index % 3] for index in range(600)}


class Plan:
    """An assignment whose workers do what they are told."""

    def __init__(self, mode: RelayMode = RelayMode.FORCED, from_workers: float = 8.0) -> None:
        self.now = 100.0
        self.assignment = assignment(lambda: self.now, mode, from_workers)
        for member, zone in ZONES.items():
            self.connect(member, zone)
        self.assignment.update_machines(set(MACHINES))
        # Some may be sent at once.
        self.now += 5.0
        self.at: dict[str, str] = {}

    def connect(self, member: str, zone: str) -> None:
        """A relay connects, and has measured its way."""
        self.assignment.relay_connected(member, zone)
        self.assignment.note_round_trip(member, 0.01)

    def direct(self, machine: str, answered_ago: float = 1.0) -> str | None:
        """A worker reports directly; where it is sent it is heard."""
        relay = self.assignment.assign(machine, MACHINES[machine], self.now - answered_ago)
        if relay is not None:
            self.at[machine] = relay
            self.assignment.note_relayed_heartbeat(machine, relay)
        return relay

    def settle(self, spans: int = 200) -> None:
        """Let every worker report, a tenth of a second at a time."""
        for _ in range(spans):
            self.now += 0.1
            for machine, zone in MACHINES.items():
                relay = self.at.get(machine)
                if relay is None:
                    self.direct(machine)
                    continue
                target = self.assignment.reassign(machine, zone, relay, self.now - 1.0)
                if target is not None:
                    self.at.pop(machine)
                    if target != "hive-0":
                        self.at[machine] = target
                        self.assignment.note_relayed_heartbeat(machine, target)


def test_workers_are_spread_evenly_and_in_their_zone_first() -> None:
    plan = Plan()
    plan.settle()
    load = Counter(plan.at.values())
    # A few of the leader's zone may stay; nobody has more than a quarter above the even share.
    assert len(plan.at) >= len(MACHINES) - 9
    assert max(load.values()) <= 1.25 * len(MACHINES) / len(ZONES)
    near = sum(ZONES[relay] == MACHINES[machine] for machine, relay in plan.at.items())
    assert near >= 0.8 * len(plan.at)


def test_few_move_when_a_relay_goes_or_comes() -> None:
    plan = Plan()
    plan.settle()
    before = dict(plan.at)
    plan.assignment.relay_disconnected("hive-3")
    for machine in [machine for machine, relay in plan.at.items() if relay == "hive-3"]:
        del plan.at[machine]
    plan.settle()
    stayed = sum(plan.at.get(machine) == relay for machine, relay in before.items() if relay != "hive-3")
    assert stayed >= 0.95 * sum(relay != "hive-3" for relay in before.values())
    gone = dict(plan.at)
    plan.connect("hive-3", "b")
    plan.settle()
    moved = sum(plan.at.get(machine) != relay for machine, relay in gone.items())
    assert moved <= 1.25 * len(MACHINES) / len(ZONES)


def test_the_same_worker_is_sent_to_the_same_relay() -> None:
    first, second = Plan(), Plan()
    machines = list(MACHINES)[:20]
    assert [first.direct(machine) for machine in machines] == [second.direct(machine) for machine in machines]


def test_workers_are_never_sent_all_in_one_step() -> None:
    plan = Plan()
    sent = [machine for machine in MACHINES if plan.direct(machine) is not None]
    assert 0 < len(sent) <= len(MACHINES) / 16
    plan.now += 1.0
    sent = [machine for machine in MACHINES if machine not in sent and plan.direct(machine) is not None]
    assert 0 < len(sent) <= len(MACHINES) / 10


def test_only_who_was_answered_lately_is_sent() -> None:
    plan = Plan()
    machine = next(machine for machine, zone in MACHINES.items() if zone == "b")
    assert plan.direct(machine, answered_ago=5.0) is None
    assert plan.direct(machine, answered_ago=float("inf")) is None
    assert plan.direct(machine, answered_ago=1.0) is not None


@pytest.mark.parametrize("heard", [False, True], ids=["never heard there", "its answers did not arrive"])
def test_a_worker_that_comes_back_is_answered_directly(heard: bool) -> None:
    plan = Plan()
    machine = next(machine for machine, zone in MACHINES.items() if zone == "b")
    rests = []
    for _ in range(3):
        relay = plan.assignment.assign(machine, "b", plan.now)
        assert relay is not None
        if heard:
            plan.assignment.note_relayed_heartbeat(machine, relay)
        began = plan.now = plan.now + 1.0
        while plan.assignment.assign(machine, "b", plan.now) is None:
            plan.now += 1.0
        plan.assignment._pending_redirects.clear()
        rests.append(plan.now - began)
    assert min(rests) >= 10.0
    if not heard:
        # Ever longer, as long as it is not heard there at all.
        assert rests[0] < rests[1] < rests[2]


def test_a_relay_that_lets_workers_down_gets_no_more_for_a_while() -> None:
    plan = Plan()
    of_zone = [machine for machine, zone in MACHINES.items() if zone == "c"]
    for machine in of_zone[:2]:
        assert plan.assignment.assign(machine, "c", plan.now) == "hive-5"
        plan.assignment.assign(machine, "c", plan.now)
    assert plan.assignment.assign(of_zone[2], "c", plan.now) != "hive-5"


def test_slow_relays_lose_their_workers() -> None:
    plan = Plan()
    plan.settle()
    assert "hive-5" in plan.at.values()
    for _ in range(200):
        plan.assignment.note_round_trip("hive-5", 0.3)
        plan.settle(1)
    assert "hive-5" not in plan.at.values()
    for member in ZONES:
        plan.assignment.note_round_trip(member, 0.3)
    relay = next(iter(plan.at.values()))
    machine = next(machine for machine, there in plan.at.items() if there == relay)
    # No other is left: the leader takes it itself.
    assert plan.assignment.reassign(machine, MACHINES[machine], relay, plan.now) == "hive-0"


def test_relays_get_workers_once_they_know_how_long_their_way_is() -> None:
    plan = Plan()
    for member in list(ZONES):
        plan.assignment.relay_disconnected(member)
    machine = next(machine for machine, zone in MACHINES.items() if zone == "b")
    plan.assignment.relay_connected("hive-3", "b")
    plan.assignment.note_round_trip("hive-3", 0.0)
    assert plan.direct(machine) is None
    plan.assignment.note_round_trip("hive-3", 0.01)
    assert plan.direct(machine) == "hive-3"


def test_workers_of_the_leaders_zone_stay_if_all_relays_stand_elsewhere() -> None:
    plan = Plan()
    for member in ("hive-1", "hive-2"):
        plan.assignment.relay_disconnected(member)
    of_zone = [machine for machine, zone in MACHINES.items() if zone == "a"]
    assert [plan.direct(machine) for machine in of_zone[:8]] == [None] * 8
    # Above the bound connections count more.
    assert plan.direct(of_zone[8]) is not None


def test_relaying_begins_and_ends_with_the_fleets_size() -> None:
    plan = assignment(lambda: 0.0, RelayMode.AUTO, from_workers=100.0)
    wanted = []
    for count in (99, 100, 60, 50, 49, 99):
        plan.update_machines({f"vm-{index}" for index in range(count)})
        wanted.append(plan.relays_wanted)
    assert wanted == [False, True, True, True, False, False]
    off = Plan(RelayMode.OFF)
    assert not off.assignment.relays_wanted
    assert all(off.direct(machine) is None for machine in MACHINES)


# -- options -------------------------------------------------------------------------------------------


@pytest.mark.parametrize("mode", list(RelayMode))
def test_operators_switch_relays(mode: RelayMode) -> None:
    options = parse_options(f"relays {{ mode: {mode.value.upper()} from_share: 0.3 }}")
    assert (options.relays.mode, options.relays.from_share) == (mode, 0.3)


def test_relays_are_automatic_without_a_word() -> None:
    assert load_options(None).relays.mode is RelayMode.AUTO
    assert parse_options("design { horizon_slots: 4 }").relays == Options().relays
    with pytest.raises(ConfigError):
        parse_options("relays { mode: SOMETIMES }")


# -- versions ------------------------------------------------------------------------------------------


def test_a_version_without_relays_closes_a_relays_connection_and_asks_for_none() -> None:
    old: msgspec.msgpack.Decoder[Ping | Pong] = msgspec.msgpack.Decoder(Ping | Pong)
    with pytest.raises(msgspec.MsgspecError):
        old.decode(msgspec.msgpack.encode(RelayHello("hive-1", "a")))
    # Its pings end before the field that asks for relays.
    ping = msgspec.msgpack.encode(["ping", "hive-0", 7, True, 0.5, 12, 2, [], [], None, 41])
    assert old.decode(ping) == Ping("hive-0", 7, True, 0.5, 12, 2, [], [], None, 41, accepts_relays=False)


# -- in virtual time -----------------------------------------------------------------------------------


def test_a_relay_gives_no_answer_of_a_leader_that_was_deposed_in_between() -> None:
    scenario = Scenario("world relays=forced\nmachines small a ordinary 2\nmachines small b ordinary 2", 1)
    scenario.play()
    world = scenario.world
    world.run(10.0)
    leader = world.leader()
    assert leader is not None and leader.leader_term is not None
    term = leader.leader_term
    node = next(node for node in world.nodes if node.relay._term is term)
    worker = next(iter(world.workers.values()))
    told: list[int] = []
    node.relay.take(worker.heartbeat(), lambda status, body: told.append(status))
    batch = node.relay._queue.next_batch(world.now, 64)
    state = node.relay._state
    assert state is not None
    answers = term.intake.handle(state, batch, world.now)
    assert [answer.outcome for answer in answers.responses] == [RelayOutcome.ANSWERED]
    # Another one takes the lead while the answers are on their way.
    held = world.state.keys[LEADER_KEY]
    world.state.keys[LEADER_KEY] = ({**held[0], "baton": held[0]["baton"] + 1}, *held[1:])
    node.relay._answered(state, term, answers)
    assert told and told[0] != 200


# -- over real connections -----------------------------------------------------------------------------


class Ends:
    """A relay's link and a leader's server, over loopback."""

    def __init__(self) -> None:
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.frozen = threading.Event()
        self.target: str | None = "hive-0"
        self.sequences: list[int] = []
        self.told: list[RelayedResponse | None] = []
        self.plan = assignment(lambda: 0.0)
        self.server = self._server()
        times = RelayTimings(0.4, 0.5, 2.0)
        address = ("127.0.0.1", int(self.listener.getsockname()[1]))
        hello = RelayHello("hive-1", "a")
        self.link = RelayLink(
            hello,
            {"hive-0": address},
            lambda: self.target,
            lambda: FENCING_TOKEN,
            times,
            50,
            random.Random(1),
        )
        threading.Thread(target=self._accept, daemon=True).start()
        self.link.start()

    def _server(self) -> RelayServer:
        workers = Workers(heartbeat_interval_s=0.4, lease_s=4.0, cancel_s=12.0)
        return RelayServer(self._post, self._answer, lambda _: 0.0, self.plan, workers)

    def _post(self, priority: int, work: Work) -> bool:
        if not self.frozen.is_set():
            work()
        return True

    def _answer(self, taken: Heartbeat, late_at: float) -> HeartbeatResponse:
        self.sequences.append(taken.sequence)
        return HeartbeatResponse(FENCING_TOKEN, [])

    def _accept(self) -> None:
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection: socket.socket) -> None:
        with connection:
            size = int.from_bytes(connection.recv(4), "big")
            hello = msgspec.msgpack.decode(connection.recv(size), type=RelayHello)
            try:
                self.server.serve(connection, hello)
            except (OSError, ValueError):
                return

    def send(self, sequence: int) -> None:
        """A worker's report comes to the relay."""
        assert self.link.offer(heartbeat(sequence=sequence), self.told.append)

    def restart(self) -> None:
        """The leader's term ends, and the next one begins in the same process."""
        self.server.close()
        self.server = self._server()

    def close(self) -> None:
        """End both."""
        self.link.stop()
        self.server.close()
        self.listener.close()


@pytest.fixture
def ends() -> Iterator[Ends]:
    both = Ends()
    yield both
    both.close()


def test_heartbeats_are_answered_through_a_relay(ends: Ends) -> None:
    eventually(ends.link.is_open)
    for sequence in range(1, 6):
        ends.send(sequence)
        eventually(lambda sequence=sequence: len(ends.told) == sequence)  # type: ignore[misc]
    assert ends.sequences == [1, 2, 3, 4, 5]
    assert all(answer is not None and answer.outcome is RelayOutcome.ANSWERED for answer in ends.told)


def test_heartbeats_outlive_the_connection_and_are_sent_again(ends: Ends) -> None:
    eventually(ends.link.is_open)
    ends.send(1)
    eventually(lambda: len(ends.told) == 1)
    ends.restart()
    ends.send(2)
    eventually(lambda: len(ends.told) == 2)
    assert ends.told[1] is not None and ends.told[1].outcome is RelayOutcome.ANSWERED


def test_a_leader_that_stands_still_costs_workers_no_more_than_their_patience(ends: Ends) -> None:
    eventually(ends.link.is_open)
    ends.frozen.set()
    ends.send(1)
    eventually(lambda: ends.told == [None])
    # The connection is given up, so that nothing more is relayed until there is an answer again.
    eventually(lambda: not ends.link.is_open())
    ends.frozen.clear()
    eventually(ends.link.is_open)
    ends.send(2)
    eventually(lambda: len(ends.told) == 2)
    assert ends.told[1] is not None


def test_a_connection_that_ends_leaves_no_reader_behind(ends: Ends) -> None:
    eventually(ends.link.is_open)
    for _ in range(3):
        ends.restart()
        sequence = len(ends.told) + 1
        ends.send(sequence)
        eventually(lambda sequence=sequence: len(ends.told) == sequence)  # type: ignore[misc]
    readers = [thread for thread in threading.enumerate() if thread.name == "relay answers"]
    assert len(readers) <= 1


def test_nothing_is_relayed_without_a_leader(ends: Ends) -> None:
    eventually(ends.link.is_open)
    ends.target = None
    eventually(lambda: not ends.link.is_open())
    assert ends.told == []


# -- workers of a relay that ends --------------------------------------------------------------------


def _arrive(overflow: OverflowRedirector, machines: Iterable[str]) -> dict[str, str | None]:
    return {machine: overflow.redirect(machine) for machine in machines}


def test_workers_beyond_a_relays_share_are_spread_over_the_others() -> None:
    now = [0.0]
    overflow = OverflowRedirector(1100, 15.0, lambda: now[0])
    own = [f"vm-{number:06d}" for number in range(800)]
    assert set(_arrive(overflow, own).values()) == {None}
    overflow.update_advice(1000, ["hive-3", "hive-4", "hive-5"])
    # Another relay ends, and its 800 workers come here one after the other.
    came = [f"vm-{number:06d}" for number in range(1000, 1800)]
    sent = _arrive(overflow, came)
    assert sum(other is None for other in sent.values()) == 200
    spread = Counter(other for other in sent.values() if other is not None)
    assert set(spread) == {"hive-3", "hive-4", "hive-5"}
    assert max(spread.values()) < 1.25 * 600 / 3
    # Those that were here stay, and so does one that comes back.
    assert set(_arrive(overflow, own).values()) == {None}
    back = next(machine for machine, other in sent.items() if other is not None)
    assert overflow.redirect(back) is None


def test_two_relays_never_send_a_worker_to_and_fro() -> None:
    now = [0.0]
    relays = {member: OverflowRedirector(10, 15.0, lambda: now[0]) for member in ("hive-1", "hive-2")}
    for member, other in (("hive-1", "hive-2"), ("hive-2", "hive-1")):
        _arrive(relays[member], [f"{member}-{number}" for number in range(10)])
        relays[member].update_advice(10, [other])
    at: str | None = "hive-1"
    hops = 0
    while at is not None:
        at = relays[at].redirect("vm-000001")
        hops += 1
    assert hops == 3


def test_nobody_is_sent_on_without_advice_or_behind_a_lost_connection() -> None:
    overflow = OverflowRedirector(2, 15.0, lambda: 0.0)
    assert set(_arrive(overflow, ["vm-1", "vm-2", "vm-3", "vm-4"]).values()) == {None}
    overflow.update_advice(2, ["hive-3"])
    assert overflow.redirect("vm-5") == "hive-3"
    overflow.update_advice(0, [])
    assert overflow.redirect("vm-6") is None


def test_a_worker_that_left_makes_room() -> None:
    now = [0.0]
    overflow = OverflowRedirector(2, 15.0, lambda: now[0])
    overflow.update_advice(2, ["hive-3"])
    assert set(_arrive(overflow, ["vm-1", "vm-2"]).values()) == {None}
    assert overflow.redirect("vm-3") == "hive-3"
    now[0] = 16.0
    assert overflow.redirect("vm-4") is None


def test_the_leader_tells_relays_who_has_room() -> None:
    plan = Plan()
    for number in range(math.ceil(len(MACHINES) / len(ZONES))):
        plan.assignment.note_relayed_heartbeat(f"vm-{number:04d}", "hive-1")
    most, roomy = plan.assignment.load_advice("hive-1")
    assert most == math.ceil(1.25 * len(MACHINES) / len(ZONES))
    assert set(roomy) == set(ZONES) - {"hive-1"}
    # With an even share it is nobody's next.
    assert set(plan.assignment.load_advice("hive-2")[1]) == set(ZONES) - {"hive-1", "hive-2"}


# -- behind a lost connection ------------------------------------------------------------------------


def _reconnection() -> ReconnectionWindow:
    regaining = ReconnectionWindow(3.0, 6.0)
    regaining.connection_lost("hive-0", 100.0)
    return regaining


def test_a_leader_that_stays_away_is_waited_for_no_longer_than_a_worker_waits() -> None:
    regaining = _reconnection()
    regaining.note_leader("hive-0", 102.0)
    assert regaining.is_open(102.9)
    assert not regaining.is_open(103.1)


def test_a_leader_that_changes_is_waited_for_within_a_bound() -> None:
    regaining = _reconnection()
    regaining.note_leader(None, 102.0)
    assert regaining.is_open(104.9)
    regaining.note_leader("hive-1", 104.9)
    assert regaining.is_open(105.9)
    # However often it changes.
    regaining.note_leader(None, 105.9)
    assert not regaining.is_open(106.1)
    regaining.note_leader("hive-2", 106.1)
    assert not regaining.is_open(106.2)


def test_a_leader_that_takes_connections_is_slow_and_not_cut_off() -> None:
    regaining = _reconnection()
    regaining.connection_accepted(102.0)
    assert regaining.is_open(104.9)
    regaining.connection_accepted(104.9)
    assert not regaining.is_open(106.1)
    # Once workers were sent elsewhere, a connection alone brings nobody back.
    regaining.connection_accepted(106.2)
    assert not regaining.is_open(106.3)
