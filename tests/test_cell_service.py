"""A cell's quota service: which transfer requests it rejects, what it debits, and what it credits."""

from __future__ import annotations

import logging
from collections.abc import Callable

import msgspec
import pytest

from poppyhold.durable.changes import Entry
from poppyhold.durable.keys import QUOTA_PREFIX
from poppyhold.model.resources import NO_RESOURCES
from poppyhold.options import Cell, CellController, Cells, Options
from poppyhold.options_file import check_cells
from poppyhold.quota.amounts import UNIT, ResourceAllocation, ResourceAmount, TeamAllocation, TeamAmount
from poppyhold.quota.cell_service import CellQuotaService
from poppyhold.quota.messages import PROTOCOL_VERSION, TransferRequest, TransferResponse, UnmetDemand
from poppyhold.quota.records import Transfer
from poppyhold.scale.cells import CREDIT_LINE
from poppyhold.scheduling.quotas import Quotas
from poppyhold.settings import Team
from sim_leader_term import SimLeaderTerm
from world import World

CONTROLLERS = (CellController("hive-0", "127.0.0.1:1"),)
# Each of two cells initially has two guaranteed accelerators, and four above the guarantee.
TEAMS = [Team("alpha", accelerators=4, accelerators_max=12)]


def new_cell(reserve: float = 0.0, teams: list[Team] | None = None) -> World:
    """A cell without a leader yet."""
    cells = Cells("east", 0.5, (Cell("west", 0.5, CONTROLLERS),), reserve=reserve)
    return World(1, 10.0, 30.0, teams or TEAMS, options=Options(cells=check_cells(cells)))


def quota_of(world: World) -> CellQuotaService:
    """The leader's quota service."""
    quota = term_of(world).controller.cell_quota
    assert quota is not None
    return quota


def term_of(world: World) -> SimLeaderTerm:
    leader = world.leader()
    assert leader is not None
    assert leader.leader_term is not None
    return leader.leader_term


def leading_cell(reserve: float = 0.0, teams: list[Team] | None = None) -> tuple[World, CellQuotaService]:
    """A cell with a leader whose allocations are known and idle."""
    world = new_cell(reserve, teams)
    world.run(6.0)
    quota = quota_of(world)
    assert quota.ledger.incarnation
    return world, quota


def request(quota: CellQuotaService, *unmet: UnmetDemand, **changes: object) -> TransferRequest:
    """A transfer request from the other cell's leader."""
    sent = TransferRequest(
        PROTOCOL_VERSION, "west", "east", quota._cells.layout, "w1", quota.ledger.incarnation, 0, list(unmet)
    )
    return msgspec.structs.replace(sent, **changes)


def unmet_demand(guaranteed: int, limit: int) -> UnmetDemand:
    return UnmetDemand("alpha", accelerators_guaranteed=guaranteed * UNIT, accelerators_limit=limit * UNIT)


def transferred(world: World, quota: CellQuotaService, *unmet: UnmetDemand) -> Transfer | None:
    """The transfer in transit to the other cell after its request."""
    quota.handle_request(request(quota, *unmet))
    world.run(world.now + 1.0)
    return quota.ledger.transfer_in_transit_to("west")


@pytest.mark.parametrize(
    ("requested", "amount"),
    [
        pytest.param((0, 3), (0, 3), id="above-the-guarantee"),
        pytest.param((1, 3), (1, 2), id="guaranteed-first"),
        pytest.param((0, 6), (2, 4), id="a-limit-that-is-guaranteed"),
        pytest.param((9, 1), (2, 0), id="more-guaranteed-than-limit"),
        pytest.param((-1, 2), (0, 2), id="negative"),
        pytest.param((9, 99), (2, 4), id="more-than-there-is"),
    ],
)
def test_the_requested_part_of_an_idle_allocation_is_debited(
    requested: tuple[int, int], amount: tuple[int, int]
) -> None:
    world, quota = leading_cell()
    transfer = transferred(world, quota, unmet_demand(*requested))
    assert transfer is not None
    assert transfer.amounts == {
        "alpha": TeamAmount(accelerators=ResourceAmount(amount[0] * UNIT, amount[1] * UNIT))
    }


def test_a_reserve_is_not_debited() -> None:
    world, quota = leading_cell(reserve=0.5)
    transfer = transferred(world, quota, unmet_demand(9, 99))
    assert transfer is not None
    assert transfer.amounts["alpha"].accelerators == ResourceAmount(UNIT, 2 * UNIT)


def test_a_reserve_of_cpus_is_not_debited() -> None:
    world, quota = leading_cell(0.5, [Team("alpha", cpus=16, cpus_max=32)])
    transfer = transferred(
        world, quota, UnmetDemand("alpha", cpus_guaranteed=99 * UNIT, cpus_limit=999 * UNIT)
    )
    assert transfer is not None
    assert transfer.amounts["alpha"].cpus == ResourceAmount(4 * UNIT, 4 * UNIT)


def test_as_many_teams_as_fit_a_transaction_are_debited_guaranteed_demand_first() -> None:
    names = [f"team-{number:02d}" for number in range(12)]
    world, quota = leading_cell(teams=[Team(name, accelerators=4, accelerators_max=12) for name in names])
    unmet = [UnmetDemand(name, accelerators_limit=UNIT) for name in names[:-1]]
    unmet.append(UnmetDemand(names[-1], accelerators_guaranteed=UNIT, accelerators_limit=UNIT))
    transfer = transferred(world, quota, *unmet)
    assert transfer is not None
    # A transaction holds twenty changes: one for each team, and one for the peer's record.
    assert list(transfer.amounts) == [names[-1], *names[:9]]


def test_a_request_without_a_transfer_does_not_count_against_the_rate_limit() -> None:
    _, quota = leading_cell()
    for _ in range(5):
        quota.handle_request(request(quota, UnmetDemand("nobody", accelerators_limit=UNIT)))
    quota.handle_request(request(quota, unmet_demand(0, 1)))
    assert quota.ledger.peers["west"].last_sent == 1


def test_a_cell_has_to_name_its_records_from_the_first_request_on() -> None:
    _, quota = leading_cell()
    assert quota.handle_request(request(quota, incarnation="")).rejection
    assert len(quota.alarms.texts()) == 1


def test_the_view_is_renewed_after_each_commit_and_measurement(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    world, quota = leading_cell()
    assert transferred(world, quota, unmet_demand(0, 1)) is not None
    commits: list[Callable[[bool], None]] = []
    monkeypatch.setattr(
        term_of(world), "commit", lambda conditions, writes, done, priority: commits.append(done)
    )
    before = quota.handle_request(request(quota, last_applied=1)).view
    assert before is not None
    assert before.peers[0].in_transit is not None
    commits[0](True)
    after = quota.handle_request(request(quota, last_applied=1)).view
    assert after is not None
    assert after.peers[0].in_transit is None
    quota.tick()
    assert quota.handle_request(request(quota, last_applied=1)).view is not after


def test_nothing_is_debited_without_a_request_for_an_allocation_of_this_cell(
    caplog: pytest.LogCaptureFixture,
) -> None:
    world, quota = leading_cell()
    with caplog.at_level(logging.INFO, "poppyhold.quota.cell_service"):
        assert transferred(world, quota) is None
        assert transferred(world, quota, unmet_demand(0, 0)) is None
        assert transferred(world, quota, UnmetDemand("nobody", accelerators_limit=UNIT)) is None
        assert not quota.ledger.peers
        assert caplog.records == []
        # A transfer is logged here, so the log level did not hide earlier ones.
        assert transferred(world, quota, unmet_demand(0, 1)) is not None
        assert len(caplog.records) == 1


def test_one_transfer_at_a_time_and_no_faster_than_the_rate_limit() -> None:
    world, quota = leading_cell()
    first = transferred(world, quota, unmet_demand(0, 1))
    assert first is not None
    assert transferred(world, quota, unmet_demand(0, 1)) == first
    # The transfer is acknowledged; the next one starts only when the rate limit allows it.
    quota.handle_request(request(quota, last_applied=1))
    while quota.ledger.peers["west"].in_transit is not None:
        world.run(world.now + 0.05)
    quota._transfer_write_limiter.consume(1000.0, world.now)
    assert transferred(world, quota, unmet_demand(0, 1)) is None


@pytest.mark.parametrize(
    "changes",
    [{"layout": "north=1"}, {"to_incarnation": "e0"}, {"incarnation": ""}, {"incarnation": "w2"}],
    ids=["other-layout", "other-records-here", "no-records-there", "other-records-there"],
)
def test_a_rejected_request_neither_starts_nor_returns_a_transfer(changes: dict[str, object]) -> None:
    world, quota = leading_cell()
    first = transferred(world, quota, unmet_demand(0, 1))
    assert first is not None
    answer = quota.handle_request(request(quota, unmet_demand(0, 1), last_applied=1, **changes))
    assert answer.rejection
    assert answer.transfer is None
    world.run(world.now + 1.0)
    assert quota.ledger.transfer_in_transit_to("west") == first
    # A cell's first request names no incarnation of the records here.
    answer = quota.handle_request(request(quota, to_incarnation=""))
    assert (answer.rejection, answer.transfer) == ("", first)
    assert quota.alarms.texts() == []


def test_nothing_is_answered_requested_or_started_before_the_allocations_are_known() -> None:
    world = new_cell()
    while (leader := world.leader()) is None or leader.leader_term is None:
        world.run(world.now + 0.05)
    controller = leader.leader_term.controller
    quota = quota_of(world)
    assert not quota.ledger.incarnation
    assert not controller._quotas.allows("alpha", (0.0, 0.0), (1.0, 1.0, 1.0, 1.0))
    answer = quota.handle_request(request(quota, unmet_demand(0, 1)))
    assert answer.rejection
    quota.handle_response(TransferResponse("west"))
    assert quota.requests() == {}
    world.run(6.0)
    assert controller._quotas.allows("alpha", (0.0, 0.0), (1.0, 1.0, 1.0, 1.0))
    assert set(quota.requests()) == {"west"}
    # A leader that does not know its allocations yet raises no alarm.
    quota.handle_response(TransferResponse("west"))
    assert quota.alarms.texts() == []


def test_an_invalid_message_raises_an_alarm_until_a_valid_one_arrives() -> None:
    world, quota = leading_cell()
    one = TeamAmount(accelerators=ResourceAmount(0, UNIT))
    for invalid in (Transfer(2, {"alpha": one}), None):
        if invalid is not None:
            quota.handle_response(TransferResponse("west", "w1", invalid))
        else:
            quota.handle_request(request(quota, last_applied=7))
        assert len(quota.alarms.texts()) == 1
        quota.handle_response(TransferResponse("west", "w1", None))
        assert quota.alarms.texts() == []
    quota.handle_response(TransferResponse("west", "w1", Transfer(1, {"alpha": one})))
    world.run(world.now + 1.0)
    allocation = quota.ledger.allocation("alpha")
    assert allocation == TeamAllocation(ResourceAllocation(0, None), ResourceAllocation(2 * UNIT, 5 * UNIT))
    quota.handle_response(TransferResponse("west", "w2", None))
    assert len(quota.alarms.texts()) == 1
    quota.handle_response(TransferResponse("west", "w1", None))
    assert quota.alarms.texts() == []


def test_the_scale_run_parses_credits_from_the_log(caplog: pytest.LogCaptureFixture) -> None:
    world, quota = leading_cell()
    one = TeamAmount(accelerators=ResourceAmount(0, UNIT))
    with caplog.at_level(logging.INFO, "poppyhold.quota.cell_service"):
        quota.handle_response(TransferResponse("west", "w1", Transfer(1, {"alpha": one})))
        # The credit is not logged before it is durable.
        assert caplog.messages == []
        world.run(world.now + 1.0)
    assert [bool(CREDIT_LINE.search(line)) for line in caplog.messages] == [True]
    assert "accelerators=1 cpus=0 source_cell=west" in caplog.messages[0]


def test_the_view_includes_a_transfer_at_once() -> None:
    world, quota = leading_cell()
    view = quota.handle_request(request(quota)).view
    assert view is not None
    assert quota.handle_request(request(quota)).view is view
    after = quota.handle_request(request(quota, unmet_demand(0, 4))).view
    assert after is not None
    assert after.teams[0].allocation.accelerators.borrowable == 0
    assert after.peers[0].in_transit is not None
    world.run(world.now + 0.5)


def test_with_the_records_of_another_cell_nothing_starts_or_is_requested() -> None:
    world, _ = leading_cell()
    controller = term_of(world).controller
    entries = [
        Entry(key, data, stamp)
        for key, (data, stamp, _) in world.state.keys.items()
        if key.startswith(QUOTA_PREFIX)
    ]
    quotas = Quotas(TEAMS)
    cells = check_cells(Cells("north", 0.5, (Cell("west", 0.5, CONTROLLERS),)))
    other = CellQuotaService(
        controller.ctx, cells, quotas, lambda: NO_RESOURCES, lambda spec: True, lambda: None
    )
    assert not quotas.allows("alpha", (0.0, 0.0), (1.0, 1.0, 1.0, 1.0))
    other.load(entries)
    assert not quotas.allows("alpha", (0.0, 0.0), (1.0, 1.0, 1.0, 1.0))
    other.tick()
    assert not quotas.allows("alpha", (0.0, 0.0), (1.0, 1.0, 1.0, 1.0))
    assert other.requests() == {}
    assert len(other.alarms.texts()) == 1
    transfer_request = request(other, unmet_demand(0, 1))
    assert other.handle_request(transfer_request).rejection
    assert not other.ledger.commit_in_progress


def test_allocations_used_since_the_last_measurement_are_not_debited() -> None:
    world, quota = leading_cell()
    term_of(world).controller.ctx.fleet.used_by_team["alpha"] = [0.0, 5.0]
    quota.handle_request(request(quota, unmet_demand(9, 99)))
    transfer = quota.ledger.peers["west"].in_transit
    assert transfer is not None
    assert transfer.amounts["alpha"].accelerators.limit == UNIT


@pytest.mark.parametrize(("cell", "is_debited"), [("afar", True), ("west", False)])
def test_a_stalled_team_yields_its_idle_allocation_to_cells_earlier_by_name(
    cell: str, is_debited: bool
) -> None:
    # Two cells each hold half of what a gang needs: exactly one of them has to transfer its half.
    _, quota = leading_cell()
    demand = quota._demands["alpha"]
    demand.is_stalled = True
    demand.accelerators.pending = demand.accelerators.startable = 6 * UNIT
    quota.handle_request(request(quota, unmet_demand(0, 1), cell=cell))
    assert (cell in quota.ledger.peers) is is_debited
