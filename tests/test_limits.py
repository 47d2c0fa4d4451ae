"""No fixed limit prevents a fleet of 4,000 machines, and faster computations equal plain ones."""

from __future__ import annotations

import random
import resource
import socket
import threading
import time
from collections.abc import Callable
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import msgspec
import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from poppyhold.capacity import shortfalls
from poppyhold.cli import main
from poppyhold.cluster.change_feed import ChangeFeed
from poppyhold.cluster.peer_client import (
    _MAX_IMAGE_HINT_BYTES,
    _MAX_IMAGE_HINTS,
    _MAX_TASK_COUNT_BYTES,
    _MAX_TASK_COUNTS,
)
from poppyhold.cluster.peer_messages import Ping, receive_peer_message
from poppyhold.configuration_checks import ConfigError
from poppyhold.durable.changes import Entry
from poppyhold.durable.errors import StoreRejectedError
from poppyhold.durable.keys import MACHINE_PREFIX
from poppyhold.durable.prefix_reader import PrefixReader
from poppyhold.durable.snapshot import SnapshotReader
from poppyhold.durable.store import Page, Store
from poppyhold.execution.direct_commands import DirectCommands
from poppyhold.execution.start_fencing import StartFencing
from poppyhold.machines.capacity_index import CapacityIndex
from poppyhold.machines.supply_and_demand import CapacitySlot, Demand
from poppyhold.model.entities import Job, Machine, make_job
from poppyhold.model.resources import add_scaled, fits, max_copies
from poppyhold.node.cloud_dispatcher import CloudDispatcher, MachineListReader
from poppyhold.options_file import parse_options
from poppyhold.scale.jobs import submission, wire
from poppyhold.scheduling.free_capacity import FreeCapacityView, Ranking
from poppyhold.scheduling.ledger import Ledger
from poppyhold.scheduling.quotas import Quotas
from poppyhold.settings import MachineLimits, Team
from poppyhold.settings import Settings as DeploymentSettings
from poppyhold.wire.cloud_messages import ListedMachine, MachineType
from poppyhold.wire.cloud_messages import MachineListPage as ListPage
from poppyhold.wire.frames import send_message
from poppyhold.wire.http_server import HttpServer, http_response
from poppyhold.wire.user_messages import parse_submission
from world import World

MACHINES = 4000
LARGE = MachineType(
    name="large",
    cpus=16.0,
    accelerators=2.0,
    memory_gb=64.0,
    cache_gb=100.0,
    fetch_gb_per_s=1.0,
    price=4.0,
    spot_price=2.0,
    boot_s=30.0,
    zones=["a", "b"],
)


def test_max_connections_are_bounded_by_sockets_and_memory() -> None:
    assert MachineLimits(max_sockets=6500, ram_mb=326.0).connections > MACHINES
    # Smaller deployments, where the sockets bound the connections.
    assert MachineLimits(max_sockets=700, ram_mb=146.0).connections == 476
    assert MachineLimits(max_sockets=1819, ram_mb=326.0).connections == 1236
    # Here memory bounds the connections, not the sockets.
    assert MachineLimits(max_sockets=6500, ram_mb=146.0).connections == 1933


def test_more_than_four_thousand_connections_are_served() -> None:
    limit = MachineLimits(max_sockets=6500, ram_mb=326.0).connections
    connection_count = MACHINES + 200
    # Both ends of each connection are sockets of this process.
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(hard, max(soft, 2 * connection_count + 200)), hard))
    server = HttpServer(("127.0.0.1", 0), lambda method, path, body: http_response(200), limit)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    clients: list[socket.socket] = []
    try:
        clients.extend(
            socket.create_connection(("127.0.0.1", server.server_port), timeout=30.0)
            for _ in range(connection_count)
        )
        # All connections are open at once, and each is served.
        for client in clients:
            client.sendall(b"GET /ready HTTP/1.1\r\n\r\n")
        for client in clients:
            assert client.recv(12) == b"HTTP/1.1 200"
    finally:
        for client in clients:
            client.close()
        server.close_all()


def test_first_pings_of_a_large_fleet_fit_the_frame_limit() -> None:
    images = {
        f"vm-{number:06d}": tuple((f"registry/team-{kind}/image:{number}", 12.5) for kind in range(12))
        for number in range(MACHINES)
    }
    counts = {f"job-{number:06d}": (number, number) for number in range(26_000)}
    image_feed: ChangeFeed[Any] = ChangeFeed(_MAX_IMAGE_HINTS, _MAX_IMAGE_HINT_BYTES)
    count_feed: ChangeFeed[Any] = ChangeFeed(_MAX_TASK_COUNTS, _MAX_TASK_COUNT_BYTES)
    received_images: dict[str, Any] = {}
    received_counts: dict[str, Any] = {}
    sender_socket, receiver_socket = socket.socketpair()
    with sender_socket, receiver_socket:
        for _ in range(30):
            image_batch, count_batch = image_feed.next_batch(images), count_feed.next_batch(counts)
            ping = Ping(
                "hive-0", 1, True, 0.0, 0, 0, [(job, *pair) for job, pair in count_batch], image_batch
            )
            send_and_check(sender_socket, receiver_socket, ping)
            received_images.update(image_batch)
            received_counts.update(count_batch)
            if not (image_feed.has_more or count_feed.has_more):
                break
    assert received_images == images
    assert received_counts == counts
    assert image_feed.next_batch(images) == []
    images["vm-000001"] = ()
    del images["vm-000002"]
    assert image_feed.next_batch(images) == [("vm-000001", ())]


def send_and_check(sender_socket: socket.socket, receiver_socket: socket.socket, ping: Ping) -> None:
    """Send a message through a socket pair, and check that it arrives."""
    sender = threading.Thread(target=send_message, args=(sender_socket, ping))
    sender.start()
    received = receive_peer_message(receiver_socket)
    sender.join(10.0)
    assert received == ping


class PagedStore(Store):
    """Returns machine records in pages of 1,000; rejects the reads numbered in ``failing``, from 1."""

    def __init__(self, failing: set[int]) -> None:
        self._failing = failing
        self.pages = 0

    def page(self, prefix: str, after: str, max_entries: int = 1000) -> Page:
        self.pages += 1
        if self.pages in self._failing:
            raise StoreRejectedError("429")
        names = (
            [f"{MACHINE_PREFIX}vm-{number:06d}" for number in range(MACHINES)]
            if prefix == MACHINE_PREFIX
            else []
        )
        later = [name for name in names if name > after]
        entries = [Entry(name, {"e": "", "b": {}, "z": "a", "s": False}, 7) for name in later[:max_entries]]
        return Page(entries, len(later) > max_entries, 100 + self.pages)


def test_only_a_failed_page_is_requested_again() -> None:
    store = PagedStore({3})
    reader = PrefixReader(store, MACHINE_PREFIX)
    with pytest.raises(StoreRejectedError):
        reader.read()
    entries = reader.read()
    assert [entry.key for entry in entries] == [
        f"{MACHINE_PREFIX}vm-{number:06d}" for number in range(MACHINES)
    ]
    # Four pages and the rejected third read; a page's revision is 100 and the number of the read.
    assert store.pages == 5
    assert (reader.revision, reader.last_revision) == (101, 105)


def test_a_new_leader_reads_a_large_fleet_despite_rejected_pages() -> None:
    store = PagedStore({2, 5, 8, 9})
    reader = SnapshotReader(store)
    failures = 0
    while True:
        try:
            snapshot = reader.read()
            break
        except StoreRejectedError:
            failures += 1
    assert len(snapshot.machines) == MACHINES
    # Four pages of machines, an empty page for each of five other prefixes, and four rejected reads.
    assert (failures, store.pages) == (4, 13)


def _listed(name: str) -> ListedMachine:
    """A running machine as the cloud lists it."""
    return ListedMachine(name, machine_type="large", zone="a", spot=False, status="running")


class ListingCloud:
    """A cloud whose machine list has eight pages; it records its requests in order."""

    def __init__(self) -> None:
        self.requests: list[str] = []

    def fetch_machine_page(self, since: str) -> ListPage:
        self.requests.append("page")
        first = int(since.removeprefix("vm-") or 0) + 1 if since else 1
        names = range(first, min(first + 500, MACHINES + 1))
        machines = [_listed(f"vm-{number:06d}") for number in names]
        return ListPage(machines, more=first + 500 <= MACHINES)

    def fetch_machine_types(self) -> list[MachineType]:
        self.requests.append("types")
        return []

    def launch_machines(self, body: dict[str, Any]) -> tuple[str, list[str]]:
        self.requests.append("launch")
        return "ok", []

    def delete_machines(self, names: list[str]) -> bool:
        self.requests.append("delete")
        return True


def test_a_machine_list_begins_at_its_first_page_and_delays_the_next_list() -> None:
    cloud: Any = ListingCloud()
    reader = MachineListReader(cloud, lag_s=0.01, request_interval_s=0.02)
    before = time.monotonic()
    listing = None
    while listing is None:
        listing = reader.read_next_page()
    assert len(listing.machines) == MACHINES
    assert before <= listing.began_at <= time.monotonic()
    # Lists use at most half of the request rate: eight pages take sixteen request intervals.
    assert reader.due_at >= listing.began_at + 8 * 0.02 / 0.5


def test_deletions_and_launches_are_sent_between_list_pages() -> None:
    cloud: Any = ListingCloud()
    deployed = World(1, 10.0, 30.0, []).settings
    limits = msgspec.structs.replace(deployed.deployment.cloud, rps=20.0, list_lag_s=0.2)
    deployed = msgspec.structs.replace(
        deployed, deployment=msgspec.structs.replace(deployed.deployment, cloud=limits)
    )
    listings: list[Any] = []
    dispatcher = CloudDispatcher(deployed, cloud, lambda types: None, listings.append)
    try:
        _until(lambda: "page" in cloud.requests)
        done: list[str] = []
        dispatcher.launch({}, lambda outcome, names: done.append("launch"))
        dispatcher.delete(["vm-000001"], lambda gone: done.append("delete"))
        _until(lambda: len(done) == 2)
        assert not listings, "the list was complete before the changes were sent"
        _until(lambda: bool(listings))
    finally:
        dispatcher.stop()
    assert len(listings[0].machines) == MACHINES


def _until(holds: Callable[[], bool]) -> None:
    end = time.monotonic() + 30.0
    while not holds():
        assert time.monotonic() < end
        time.sleep(0.005)


def _deployed(**limits: Any) -> DeploymentSettings:
    settings_ = World(1, 15.0, 45.0, []).settings
    deployment = msgspec.structs.replace(
        settings_.deployment, controllers=6, machine_limits=MachineLimits(**limits)
    )
    return msgspec.structs.replace(settings_, deployment=deployment)


def test_shortfalls_list_each_limit_too_low_for_the_configured_fleet() -> None:
    options = parse_options("fleet { machines: 4000 }")
    assert shortfalls(_deployed(), parse_options("")) == []
    lines = shortfalls(_deployed(core_share=0.3, ram_mb=100.0, max_sockets=700), options)
    assert [line.split(":")[0] for line in lines] == [
        "settings.machine_limits.max_sockets",
        "settings.machine_limits.ram_mb",
        "settings.machine_limits.core_share",
        "settings.state.write_rps",
    ]
    assert all("(fleet.machines: 4000)" in line for line in lines)
    sufficient = _deployed(core_share=0.8, ram_mb=326.0, max_sockets=1850)
    state_limits = msgspec.structs.replace(sufficient.deployment.state, write_rps=200.0)
    sufficient = msgspec.structs.replace(
        sufficient, deployment=msgspec.structs.replace(sufficient.deployment, state=state_limits)
    )
    assert shortfalls(sufficient, options) == []
    without_relays = parse_options("fleet { machines: 4000 } relays { mode: OFF }")
    assert "connections of 4000 needed" in shortfalls(sufficient, without_relays)[0]


@pytest.mark.parametrize("value", ["-1", "many", "1.5", "100001"])
def test_an_invalid_number_of_machines_is_reported_in_one_line(
    value: str, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    with pytest.raises(ConfigError):
        parse_options(f"fleet {{ machines: {value} }}")
    options = tmp_path / "options.txtpb"
    options.write_text(f"fleet {{ machines: {value} }}")
    config = tmp_path / "settings.toml"
    config.write_text(
        'member = "a"\ndomain = "z"\nclient_listen = "127.0.0.1:1"\nback = "127.0.0.1:2"\n'
        '[outside]\ncloud = "127.0.0.1:3"\nstate = "127.0.0.1:4"\n[settings]\ncount = 1\nzones = ["z"]\n'
    )
    assert main(["check-config", "--config", str(config), "--options", str(options)]) == 2
    lines = capsys.readouterr().err.strip().splitlines()
    assert len(lines) == 1
    assert "machines" in lines[0]


def _job(number: int, cpus: float, accelerators: float, **fields: object) -> Job:
    spec = submission(
        f"job-{number:06d}", {"cpus": cpus, "accelerators": accelerators, "memGb": 1.0, **fields}
    )
    return make_job(parse_submission(wire(spec)), 1, 0.0)


def _machine(name: str, zone: str, used: float) -> Machine:
    machine = Machine(name, LARGE, zone, False, 0.0)
    machine.set_used((used, 0.0, 0.0, 0.0))
    return machine


@settings(max_examples=150, derandomize=True, deadline=None, database=None)
@given(
    st.lists(st.tuples(st.integers(0, 9), st.integers(0, 16), st.booleans()), max_size=40),
    st.integers(1, 8),
)
def test_an_incremental_ranking_equals_a_full_search(changes: list[tuple[int, int, bool]], need: int) -> None:
    """After changes of used resources and of machines, a ranking finds the machine that a search finds."""
    machines = {index: _machine(f"vm-{index:06d}", "ab"[index % 2], 0.0) for index in range(10)}
    present = set(machines)

    def score(machine: Machine) -> float | None:
        return machine.free[0] if machine.free[0] >= need else None

    view = FreeCapacityView()
    view.begin_cycle([machines[index] for index in sorted(present)], {})
    ranking = Ranking(view, score)
    for index, used, is_added in changes:
        machines[index].set_used((float(used), 0.0, 0.0, 0.0))
        if is_added:
            present.add(index)
            view.refresh_machine(machines[index])
        else:
            present.discard(index)
        view.begin_cycle([machines[index] for index in sorted(present)], {})
        ranking.update()
        fitting = [machines[i] for i in present if machines[i].free[0] >= need and machines[i].zone == "a"]
        expected = min(((m.free[0], m.number) for m in fitting), default=None)
        found = ranking.best({"a"}, set())
        assert (None if found is None else found[:2]) == expected


def test_a_ranking_sees_a_change_only_after_the_machine_is_refreshed() -> None:
    machine = _machine("vm-000001", "a", 0.0)
    view = FreeCapacityView()
    view.begin_cycle([machine], {})
    ranking = Ranking(view, lambda m: m.free[0] if m.free[0] >= 4 else None)
    ranking.update()
    machine.set_used((16.0, 0.0, 0.0, 0.0))
    # The ranking is outdated until the machine is refreshed in the view, as it is when a task starts on it.
    assert ranking.best({"a"}, set()) is not None
    view.refresh_machine(machine)
    ranking.update()
    assert ranking.best({"a"}, set()) is None


def test_machines_are_grouped_by_their_current_bookings() -> None:
    ledger, rng = Ledger(8), random.Random(3)
    for number in range(60):
        ledger.add_machine(f"vm-{number:06d}", (16.0, 2.0, 64.0, 64_000.0), "ab"[number % 2], "large", False)
    for step in range(200):
        name = f"vm-{rng.randrange(60):06d}"
        slot = ledger.current_slot + rng.randrange(4)
        ledger.book(name, (1.0, 0.0, 1.0, 1.0), slot, rng.choice([None, slot + 1]), rng.choice([1.0, -1.0]))
        if step % 20 == 0:
            ledger.advance_to(ledger.current_slot + 1)
        if step % 33 == 0:
            ledger.remove_machine(name)
        by_equivalence_key: dict[Any, set[str]] = {}
        for machine, row in ledger.machines.items():
            by_equivalence_key.setdefault(row.equivalence_key(), set()).add(machine)
        assert {row.equivalence_key(): set(names) for row, names in ledger.groups()} == by_equivalence_key


@settings(max_examples=150, derandomize=True, deadline=None, database=None)
@given(
    st.lists(st.tuples(st.integers(0, 16), st.booleans()), max_size=12),
    st.lists(st.tuples(st.integers(1, 8), st.integers(1, 9), st.sampled_from([None, "a", "b"])), max_size=12),
)
@example([(2, True), (3, True)], [(1, 1, "b"), (1, 1, None), (1, 1, "a"), (1, 1, None)])
def test_the_capacity_index_allocates_like_a_linear_scan(
    slots: list[tuple[int, bool]], demands: list[tuple[int, int, str | None]]
) -> None:
    def make_slots() -> list[CapacitySlot]:
        return [
            CapacitySlot(None, LARGE, "ab"[index % 2], spot, (float(free), 2.0, 64.0, 64_000.0))
            for index, (free, spot) in enumerate(slots)
        ]

    indexed, scanned = make_slots(), make_slots()
    index = CapacityIndex(indexed)
    for cpus, tasks, zone in demands:
        job = _job(1, float(cpus), 0.0, paddock=zone, loaners=True)
        demand = Demand(job.spec, job.task_resources, tasks, {})
        remaining = _serve(index, demand)
        assert remaining == _serve_by_linear_scan(scanned, demand)
    assert sorted(slot.free for slot in indexed) == sorted(slot.free for slot in scanned)


def _serve(index: CapacityIndex, demand: Demand) -> int:
    remaining = demand.tasks

    def use(slot: CapacitySlot) -> bool:
        """Take as many copies as fit; return whether tasks remain."""
        nonlocal remaining
        take = max_copies(demand.need, slot.free, remaining)
        slot.free = add_scaled(slot.free, demand.need, -take)
        slot.used = slot.used or take > 0
        remaining -= take
        return remaining > 0

    index.offer(demand, use)
    return remaining


def _serve_by_linear_scan(slots: list[CapacitySlot], demand: Demand) -> int:
    remaining = demand.tasks
    for slot in sorted(slots, key=lambda slot: (not slot.spot, not slot.used)):
        if not remaining:
            break
        if demand.spec.zone not in (None, slot.zone) or not fits(demand.need, slot.free):
            continue
        take = max_copies(demand.need, slot.free, remaining)
        slot.free = add_scaled(slot.free, demand.need, -take)
        slot.used = slot.used or take > 0
        remaining -= take
    return remaining


def test_a_limit_on_a_resource_that_a_task_does_not_use_is_ignored() -> None:
    quotas = Quotas([Team("alpha", cpus_max=64.0, accelerators_max=8.0)])
    # Used accelerators exceed the limit, since those of unreconciled machines count against every team.
    assert quotas.allows("alpha", (0.0, 4000.0), (1.0, 0.0, 1.0, 1.0))
    assert not quotas.allows("alpha", (0.0, 4000.0), (1.0, 1.0, 1.0, 1.0))
    assert not quotas.allows("alpha", (64.0, 0.0), (1.0, 0.0, 1.0, 1.0))
    assert quotas.allows("alpha", (63.0, 8.0), (1.0, 0.0, 1.0, 1.0))


def test_silent_workers_are_probed_at_a_limited_rate() -> None:
    now, probed = [0.0], []
    machines = {f"vm-{number:06d}": _machine(f"vm-{number:06d}", "a", 0.0) for number in range(1000)}
    for machine in machines.values():
        machine.endpoint = "127.0.0.1:9"

    def send_commands(machine: str, *request: Any) -> None:
        probed.append(machine)

    ctx: Any = SimpleNamespace(
        clock=lambda: now[0],
        durations=SimpleNamespace(heartbeat_interval_s=2.0, silent_s=7.0),
        fleet=SimpleNamespace(machines=machines),
        outbound=SimpleNamespace(send_commands=send_commands),
        term_fencing_token=1,
        highest_fencing_token=1,
        max_initial_probes=2000.0,
        silent_probes_per_interval=100.0,
    )
    commands = DirectCommands(ctx, StartFencing(ctx), lambda attempt: None, lambda *_: None)
    for machine in machines.values():
        commands.probe_silent_worker(machine, now[0])
    assert len(probed) == 100
    now[0] = 1.0
    for machine in machines.values():
        commands.probe_silent_worker(machine, now[0])
    # Half an interval later 50 more are probed, and none whose response is outstanding.
    assert len(probed) == len(set(probed)) == 150
    # At the start of a term all other workers are probed at once, as the fleet is below max_initial_probes.
    for machine in machines.values():
        commands.request_heartbeat(machine, now[0])
    assert len(probed) == 1000
