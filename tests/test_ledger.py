"""The allocation ledger: what it creates, debits, credits and acknowledges, and what it rejects."""

from __future__ import annotations

import pytest

from poppyhold.durable.changes import Entry, Put
from poppyhold.durable.keys import QUOTA_PREFIX
from poppyhold.durable.store import transaction_body
from poppyhold.quota.amounts import UNIT, ResourceAllocation, ResourceAmount, TeamAllocation, TeamAmount
from poppyhold.quota.apportionment import (
    InitialAllocation,
)
from poppyhold.quota.errors import SequenceError, UnknownIncarnationError, WrongCellError
from poppyhold.quota.ledger import AllocationLedger
from poppyhold.quota.records import IDENTITY_KEY, Transfer, allocation_key
from quota_model import (
    TEAM,
    WHOLE,
    Fleet,
    Leader,
    Outcome,
    transfer,
)


def test_a_gap_in_the_sequence_is_rejected() -> None:
    leader = Fleet().cells[1].leader
    assert leader is not None
    amount = TeamAmount(accelerators=ResourceAmount(0, UNIT))
    with pytest.raises(SequenceError):
        leader.ledger.credit("east", "east-1", Transfer(2, {TEAM: amount}))


def test_an_acknowledgement_beyond_the_last_debit_is_rejected() -> None:
    fleet = Fleet()
    leader = fleet.cells[0].leader
    assert leader is not None
    with pytest.raises(SequenceError):
        leader.ledger.acknowledge("north", "north-1", 1)
    transfer(fleet)
    with pytest.raises(SequenceError):
        leader.ledger.acknowledge("north", "north-1", 2)


def test_transfers_with_an_unknown_incarnation_are_rejected() -> None:
    fleet = Fleet()
    transfer(fleet)
    source, destination = fleet.cells[0].leader, fleet.cells[1].leader
    assert source is not None
    assert destination is not None
    with pytest.raises(UnknownIncarnationError):
        source.ledger.acknowledge("north", "north-2", 1)
    amount = TeamAmount(accelerators=ResourceAmount(1, 0))
    with pytest.raises(UnknownIncarnationError):
        destination.ledger.credit("east", "east-2", Transfer(2, {TEAM: amount}))


def test_a_record_that_appears_while_it_is_created_ends_the_term() -> None:
    """A first try without an answer made the records: what is there is read anew, not guessed."""
    cell = Fleet().cells[0]
    cell.state.keys = {key: value for key, value in cell.state.keys.items() if "/q/" not in key}
    cell.crash()
    leader = cell.leader
    assert leader is not None
    total = TeamAllocation(ResourceAllocation(), ResourceAllocation(0, UNIT))
    leader.ledger.create_missing({TEAM: InitialAllocation(total, total)}, 10)
    leader.carry_out(Outcome.LOST)
    leader.carry_out()
    assert leader.inconsistent
    assert leader.limit() == 0
    cell.crash()
    assert cell.leader is not None
    assert cell.leader.limit() == UNIT


def test_a_commit_in_progress_does_not_delay_a_cell_with_all_its_records() -> None:
    """While a state service is away for long, demand and alarms must still be measured."""
    fleet = Fleet()
    cell = fleet.cells[0]
    assert cell.leader is not None
    cell.leader.debit(fleet.cells[1], UNIT)
    assert cell.leader.ledger.commit_in_progress
    total = TeamAllocation(ResourceAllocation(), ResourceAllocation(0, UNIT))
    assert not cell.leader.ledger.create_missing({TEAM: InitialAllocation(total, total)}, 10)
    assert cell.leader.ledger.create_missing({"beta": InitialAllocation(total, total)}, 10)


def test_nothing_is_debited_while_a_credit_is_being_committed() -> None:
    """Both commits set the team's allocation: the later write would undo the earlier one."""
    fleet = Fleet()
    source, destination = fleet.cells[0].leader, fleet.cells[1].leader
    assert source is not None
    assert destination is not None
    before = destination.limit()
    source.debit(fleet.cells[1], UNIT)
    source.carry_out()
    fleet.ask(1, 0)
    fleet.deliver(0)
    fleet.deliver(0)
    assert destination.ledger.commit_in_progress
    assert not destination.ledger.can_debit("west")
    assert not destination.debit(fleet.cells[2], UNIT)
    assert (destination.limit(), len(destination.steps)) == (before, 1)
    destination.carry_out()
    assert destination.limit() == before + UNIT
    assert destination.debit(fleet.cells[2], UNIT)
    assert destination.limit() == before
    destination.carry_out()
    assert fleet.problems() == []


def test_one_transfer_at_a_time_is_in_transit_to_a_cell() -> None:
    """The peer's record holds one: a second one would replace the first."""
    fleet = Fleet()
    source = fleet.cells[0].leader
    assert source is not None
    assert source.debit(fleet.cells[1], UNIT)
    source.carry_out()
    assert not source.ledger.can_debit("north")
    assert not source.debit(fleet.cells[1], UNIT)
    assert source.ledger.can_debit("west")
    assert source.debit(fleet.cells[2], UNIT)
    source.carry_out()
    assert fleet.problems() == []


ONE_LIMIT = TeamAmount(accelerators=ResourceAmount(0, UNIT))
FIRST_ALLOCATION = InitialAllocation(WHOLE, WHOLE)


def leader_without_records() -> Leader:
    """The leader of a cell whose state service holds no allocation records yet."""
    cell = Fleet().cells[0]
    cell.state.keys = {key: value for key, value in cell.state.keys.items() if "/q/" not in key}
    cell.crash()
    assert cell.leader is not None
    return cell.leader


def test_a_cell_without_teams_under_quota_creates_its_incarnation() -> None:
    leader = leader_without_records()
    assert leader.ledger.create_missing({}, 10)
    leader.carry_out()
    assert leader.ledger.incarnation
    assert not leader.ledger.create_missing({}, 10)


def test_records_are_created_once_and_in_bounded_commits() -> None:
    leader = leader_without_records()
    allocations = dict.fromkeys(("alpha", "beta", "gamma", "delta"), FIRST_ALLOCATION)
    changes = []
    while leader.ledger.create_missing(allocations, 2):
        # One commit at a time: it is in progress, and no second one starts.
        assert leader.ledger.create_missing(allocations, 2)
        assert len(leader.steps) == 1
        changes.append(len(leader.steps[0][1]))
        leader.carry_out()
    # The identity counts as well.
    assert changes == [2, 2, 1]
    assert leader.ledger.records.keys() == allocations.keys()
    # None of them was created again by a later commit.
    assert {record.version for record in leader.ledger.records.values()} == {0}


@pytest.mark.parametrize("allocations", [{}, {"beta": FIRST_ALLOCATION}], ids=["identity", "allocation"])
def test_existing_records_are_not_overwritten(allocations: dict[str, InitialAllocation]) -> None:
    leader = leader_without_records() if not allocations else Fleet().cells[0].leader
    assert leader is not None
    key = allocation_key("beta") if allocations else IDENTITY_KEY
    leader.ledger.create_missing(allocations, 10)
    leader.cell.state.commit(transaction_body({}, [Put(key, {"made": "meanwhile"})]))
    leader.carry_out()
    assert leader.inconsistent
    assert leader.cell.state.keys[key][0] == {"made": "meanwhile"}


def test_loading_reports_the_teams_with_durable_allocations() -> None:
    cell = Fleet().cells[0]
    reported_teams: list[str] = []
    ledger = AllocationLedger(
        "east", str, lambda conditions, writes, done: None, reported_teams.append, lambda why: None
    )
    entries = cell.state.scan(QUOTA_PREFIX, "", 1000)[1]["entries"]
    ledger.load(Entry(each["key"], each["data"], each["stamp"]) for each in entries)
    assert reported_teams == [TEAM]


@pytest.mark.parametrize(
    "amounts",
    [
        pytest.param({}, id="nothing"),
        pytest.param({TEAM: ONE_LIMIT, "beta": ONE_LIMIT}, id="team-without-an-allocation"),
        pytest.param({TEAM: TeamAmount(accelerators=ResourceAmount(0, 9 * UNIT))}, id="more-than-it-holds"),
    ],
)
def test_an_empty_debit_or_one_above_the_allocation_is_rejected(amounts: dict[str, TeamAmount]) -> None:
    leader = Fleet().cells[0].leader
    assert leader is not None
    before = leader.limit()
    assert not leader.ledger.debit("north", "north-1", amounts)
    assert (leader.limit(), leader.steps, leader.ledger.commit_in_progress) == (before, [], False)


def test_no_transfer_between_cells_of_unknown_incarnation() -> None:
    fleet = Fleet()
    transfer(fleet)
    source, destination = fleet.cells[0].leader, fleet.cells[1].leader
    assert source is not None
    assert destination is not None
    source.ledger.acknowledge("north", "north-1", 1)
    source.carry_out()
    for incarnation in ("", "north-2"):
        with pytest.raises(UnknownIncarnationError):
            source.ledger.check_peer("north", incarnation)
        with pytest.raises(UnknownIncarnationError):
            source.ledger.debit("north", incarnation, {TEAM: ONE_LIMIT})
    # A cell without earlier transfers: it has to name its incarnation all the same.
    with pytest.raises(UnknownIncarnationError):
        destination.ledger.credit("west", "", Transfer(1, {TEAM: ONE_LIMIT}))
    assert (source.steps, destination.steps) == ([], [])


def test_a_transfer_is_acknowledged_once_and_only_after_it_is_durable() -> None:
    fleet = Fleet()
    source = fleet.cells[0].leader
    assert source is not None
    # There was no transfer, and the other cell says so.
    source.ledger.acknowledge("north", "north-1", 0)
    source.debit(fleet.cells[1], UNIT)
    assert source.ledger.transfer_in_transit_to("north") is None
    with pytest.raises(SequenceError):
        source.ledger.acknowledge("north", "north-1", 1)
    source.carry_out()
    in_transit = source.ledger.transfer_in_transit_to("north")
    assert in_transit is not None
    # Requested before it arrived, and while another commit is in progress: it stays in transit.
    source.ledger.acknowledge("north", "north-1", 0)
    source.debit(fleet.cells[2], UNIT)
    source.ledger.acknowledge("north", "north-1", 1)
    assert len(source.steps) == 1
    source.carry_out()
    assert source.ledger.transfer_in_transit_to("north") == in_transit
    source.ledger.acknowledge("north", "north-1", 1)
    assert len(source.steps) == 1
    source.carry_out()
    assert source.ledger.transfer_in_transit_to("north") is None
    source.ledger.acknowledge("north", "north-1", 1)
    assert source.steps == []


def test_a_transfer_for_a_team_without_an_allocation_is_not_credited() -> None:
    """Its record is being created, most likely: amounts credited to nothing would be lost."""
    destination = Fleet().cells[1].leader
    assert destination is not None
    assert not destination.ledger.credit("east", "east-1", Transfer(1, {"beta": ONE_LIMIT}))
    assert not destination.ledger.commit_in_progress
    assert destination.ledger.create_missing({"beta": FIRST_ALLOCATION}, 10)
    # Nor is anything credited while another commit is in progress.
    assert not destination.ledger.credit("east", "east-1", Transfer(1, {TEAM: ONE_LIMIT}))
    destination.carry_out()
    assert destination.ledger.credit("east", "east-1", Transfer(1, {"beta": ONE_LIMIT}))
    assert len(destination.steps) == 1


def test_records_of_another_cell_are_rejected() -> None:
    cell = Fleet().cells[0]
    ledger = AllocationLedger(
        "west", str, lambda conditions, writes, done: None, lambda team: None, lambda why: None
    )
    entries = cell.state.scan(QUOTA_PREFIX, "", 1000)[1]["entries"]
    ledger.load(Entry(each["key"], each["data"], each["stamp"]) for each in entries)
    with pytest.raises(WrongCellError):
        ledger.check_identity()
