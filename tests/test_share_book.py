"""Shares over cells: amounts, and a stateful search for a sequence of failures that loses or doubles any."""

from __future__ import annotations

from collections.abc import Callable, Sequence

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from guards import take_out
from poppyhold.durable.changes import Entry, Put, Write
from poppyhold.durable.committer import FencedWriter
from poppyhold.durable.keys import LEADER_KEY, QUOTA_PREFIX
from poppyhold.durable.store import transaction_body
from poppyhold.quota.amounts import UNIT, ResourceAllocation, ResourceAmount, TeamAllocation, TeamAmount
from poppyhold.quota.apportionment import (
    InitialAllocation,
    apportion,
    initial_allocation,
    initial_reserve,
    total_allocation,
)
from poppyhold.quota.demand import ResourceDemand
from poppyhold.quota.errors import QuotaProtocolError, SequenceError, UnknownIncarnationError, WrongCellError
from poppyhold.quota.ledger import AllocationLedger
from poppyhold.quota.records import IDENTITY, Transfer, allocation_key
from poppyhold.scheduling.quotas import Quotas, TeamQuota
from poppyhold.settings import ConfigError, Team
from quota_model import CELLS, TEAM, WHOLE, Fleet, Leader, Outcome, always_next, join_at_once, told_at_once

WEIGHTS = st.dictionaries(st.sampled_from("abcde"), st.integers(1, 10**9), min_size=1)


# -- amounts -----------------------------------------------------------------------------------------


@given(st.integers(0, 10**7), WEIGHTS)
def test_parts_of_an_amount_add_up_and_are_whole(amount: int, weights: dict[str, int]) -> None:
    dealt = apportion(amount, weights)
    assert sum(dealt.values()) == amount
    assert sum(part % UNIT != 0 for part in dealt.values()) <= 1
    total = sum(weights.values())
    whole = amount // UNIT * UNIT
    fraction = amount - whole
    for cell, part in dealt.items():
        # What is below a whole unit is one cell's alone.
        units = part if part % UNIT == 0 else part - fraction
        assert abs(units - whole * weights[cell] / total) < UNIT


@given(st.integers(0, 10**6), st.integers(0, 10**6), WEIGHTS)
def test_first_shares_add_up_with_guarantees_within_limits(
    guaranteed: int, borrowable: int, weights: dict[str, int]
) -> None:
    whole = TeamAllocation(ResourceAllocation(), ResourceAllocation(guaranteed, borrowable))
    shares = [initial_allocation(whole, weights, cell).accelerators for cell in weights]
    assert sum(share.guaranteed for share in shares) == guaranteed
    assert sum(share.limit or 0 for share in shares) == guaranteed + borrowable
    assert all(0 <= share.guaranteed <= (share.limit or 0) for share in shares)


def test_no_limit_and_a_share_of_nothing_differ() -> None:
    quotas = Quotas([Team("free"), Team("bound", gpus=2, gpus_max=4)])
    task = (1.0, 1.0, 1.0)
    assert quotas.allows("free", (100.0, 100.0), task)
    whole = total_allocation(Team("bound", gpus=2, gpus_max=4))
    quotas.set("bound", whole.zeroed().quota(whole))
    assert not quotas.allows("bound", (0.0, 0.0), task)
    assert not quotas.has_guarantee("bound")
    assert not quotas.within_guarantee("bound", 1.0, 1.0)
    # Nothing is said of CPUs: work that takes no accelerator is not bound.
    assert quotas.allows("bound", (100.0, 0.0), (1.0, 0.0, 1.0))


def test_a_guarantee_of_nothing_here_covers_no_accelerator() -> None:
    quota = TeamQuota(cpus_guaranteed=8.0, accelerators_guaranteed=0.0)
    assert quota.covers(4.0, 0.0)
    assert not quota.covers(4.0, 1.0)


def test_a_guarantee_above_the_limit_is_refused() -> None:
    with pytest.raises(ConfigError, match=r"settings\.teams\.alpha\.gpus"):
        total_allocation(Team("alpha", gpus=5, gpus_max=4))


# -- the search --------------------------------------------------------------------------------------

CELL = st.integers(0, len(CELLS) - 1)
MESSAGE = st.integers(0, 50)


class ShareMachine(RuleBasedStateMachine):
    """Three cells with changing leaders, bad links and stores that lose answers or carry out late."""

    def __init__(self) -> None:
        super().__init__()
        self.fleet = Fleet()

    @rule(cell=CELL, units=st.integers(1, 8))
    def start_tasks(self, cell: int, units: int) -> None:
        one = self.fleet.cells[cell]
        assert one.leader is not None
        one.running += min(units * UNIT, one.leader.idle())

    @rule(cell=CELL, units=st.integers(1, 8))
    def end_tasks(self, cell: int, units: int) -> None:
        one = self.fleet.cells[cell]
        one.running -= min(units * UNIT, one.running)

    @rule(cell=CELL, peer=CELL, units=st.integers(1, 8))
    def give(self, cell: int, peer: int, units: int) -> None:
        leader = self.fleet.cells[cell].leader
        if cell != peer and leader is not None:
            leader.debit(self.fleet.cells[peer], units * UNIT)

    @rule(cell=CELL, outcome=st.sampled_from(Outcome))
    def carry_out(self, cell: int, outcome: Outcome) -> None:
        leader = self.fleet.cells[cell].leader
        assert leader is not None
        leader.carry_out(outcome)

    @rule(cell=CELL, outcome=st.sampled_from(Outcome))
    def carry_out_of_a_former_leader(self, cell: int, outcome: Outcome) -> None:
        for leader in self.fleet.cells[cell].former:
            leader.carry_out(outcome)

    @rule(cell=CELL, which=st.integers(0, 9))
    def carry_out_late(self, cell: int, which: int) -> None:
        late = self.fleet.cells[cell].late
        if late:
            late.pop(which % len(late))()

    @rule(cell=CELL)
    def elect(self, cell: int) -> None:
        self.fleet.cells[cell].elect()

    @rule(cell=CELL)
    def crash(self, cell: int) -> None:
        self.fleet.cells[cell].crash()

    @rule(cell=CELL, peer=CELL, by_former=st.booleans())
    def ask(self, cell: int, peer: int, by_former: bool) -> None:
        self.fleet.ask(cell, peer, by_former)

    @rule(which=MESSAGE, again=st.booleans(), to_former=st.booleans())
    def deliver(self, which: int, again: bool, to_former: bool) -> None:
        try:
            self.fleet.deliver(which, again, to_former)
        except QuotaProtocolError:
            # A leader that was deposed may be behind. One that leads is never.
            assert to_former or any(cell.former for cell in self.fleet.cells)

    @rule(cell=CELL, peer=CELL, units=st.integers(1, 8))
    def debit_durably(self, cell: int, peer: int, units: int) -> None:
        """A debit that the state service commits at once."""
        self.give(cell, peer, units)
        self.carry_out(cell, Outcome.ANSWERED)

    @rule(cell=CELL, peer=CELL)
    def exchange(self, cell: int, peer: int) -> None:
        """Over a good link a question and its answer arrive at once; a credit is not yet durable."""
        if cell != peer:
            self.fleet.ask(cell, peer)
            self.deliver(-1, again=False, to_former=False)
            self.deliver(-1, again=False, to_former=False)

    @rule(cell=CELL, peer=CELL, units=st.integers(1, 8))
    def transfer_until_received(self, cell: int, peer: int, units: int) -> None:
        """A transfer that arrives at once, and whose credit is not yet durable."""
        self.debit_durably(cell, peer, units)
        self.exchange(peer, cell)

    @rule(cell=CELL)
    def carry_out_all(self, cell: int) -> None:
        """The state service commits everything that waits."""
        leader = self.fleet.cells[cell].leader
        assert leader is not None
        for _ in range(len(leader.steps)):
            leader.carry_out()

    @rule(which=MESSAGE)
    def lose(self, which: int) -> None:
        if self.fleet.network:
            self.fleet.network.pop(which % len(self.fleet.network))

    @invariant()
    def nothing_is_lost_or_doubled(self) -> None:
        assert self.fleet.problems() == []

    def teardown(self) -> None:
        self.fleet.settle()
        assert self.fleet.problems() == []
        assert self.fleet.in_transit() == []
        self._meet_a_need()

    def _meet_a_need(self) -> None:
        """What is idle anywhere reaches the cell that needs it."""
        first = self.fleet.cells[0]
        for cell in self.fleet.cells:
            cell.running = 0
        for cell in self.fleet.cells[1:]:
            assert cell.leader is not None
            cell.leader.debit(first, cell.leader.limit())
            cell.leader.carry_out()
        self.fleet.settle()
        assert first.leader is not None
        assert first.leader.limit() == 12 * UNIT


ShareMachine.TestCase.settings = settings(max_examples=150, stateful_step_count=60, deadline=None)
TestShares = ShareMachine.TestCase


# -- guards, each taken out ----------------------------------------------------------------------------


def transfer(fleet: Fleet, again: int = 0) -> None:
    """One unit goes from the first cell to the second, and its answer arrives more than once."""
    giver, taker = fleet.cells[0].leader, fleet.cells[1].leader
    assert giver is not None
    assert taker is not None
    giver.debit(fleet.cells[1], UNIT)
    giver.carry_out()
    fleet.ask(1, 0)
    fleet.deliver(0)
    for _ in range(again):
        fleet.deliver(0, again=True)
        taker.carry_out()
    fleet.deliver(0)
    taker.carry_out()


def repeated(fleet: Fleet) -> None:
    transfer(fleet, again=2)


def started_before_the_write(fleet: Fleet) -> None:
    """All that the share in force allows is started while the write of a gift is under way."""
    cell = fleet.cells[0]
    assert cell.leader is not None
    cell.leader.debit(fleet.cells[1], 2 * UNIT)
    cell.running += cell.leader.idle()
    cell.leader.carry_out()


def started_before_it_was_taken(fleet: Fleet) -> None:
    """A taker plans with what it is given, and ends before that is durable."""
    giver, taker = fleet.cells[0].leader, fleet.cells[1]
    assert giver is not None
    giver.debit(taker, UNIT)
    giver.carry_out()
    fleet.ask(1, 0)
    fleet.deliver(0)
    fleet.deliver(0)
    assert taker.leader is not None
    taker.running += taker.leader.idle()


def told_before_it_was_written(fleet: Fleet) -> None:
    """A giver ends before its gift is durable; the taker has asked meanwhile."""
    giver, taker = fleet.cells[0], fleet.cells[1]
    assert giver.leader is not None
    assert taker.leader is not None
    giver.leader.debit(taker, UNIT)
    fleet.ask(1, 0)
    fleet.deliver(0)
    fleet.deliver(0)
    taker.leader.carry_out()
    giver.crash()


def frozen_in_a_gift(fleet: Fleet) -> None:
    """A giver stands still between planning and write; its successor gives the same again."""
    giver = fleet.cells[0]
    frozen = giver.leader
    assert frozen is not None
    frozen.debit(fleet.cells[1], 3 * UNIT)
    giver.elect()
    assert giver.leader is not None
    giver.leader.debit(fleet.cells[2], 3 * UNIT)
    giver.leader.carry_out()
    frozen.carry_out()


def carried_out_late(fleet: Fleet) -> None:
    """A gift without an answer is tried again, and its first try arrives behind a second gift."""
    giver, taker = fleet.cells[0], fleet.cells[1]
    assert giver.leader is not None
    assert taker.leader is not None
    for first in (Outcome.LATE, Outcome.ANSWERED):
        giver.leader.debit(taker, UNIT)
        giver.leader.carry_out(first)
        giver.leader.carry_out()
        for _ in range(2):
            fleet.ask(1, 0)
            fleet.deliver(0)
            fleet.deliver(0)
            taker.leader.carry_out()
            giver.leader.carry_out()
    giver.late.pop()()


def _leave_later(self: AllocationLedger, lowered: object) -> None:
    return None


def _without_lead(writer: FencedWriter, conditions: dict[str, int], writes: Sequence[Write]) -> None:
    writer._store.commit(conditions, writes)


def _without_fence(writer: FencedWriter, conditions: dict[str, int], writes: Sequence[Write]) -> None:
    writer._store.commit({LEADER_KEY: writer._leader_key_revision, **conditions}, writes)


GUARDS = [
    pytest.param(repeated, AllocationLedger, "_is_next_in_sequence", always_next, id="sequence"),
    pytest.param(
        started_before_the_write, AllocationLedger, "_apply_debits", _leave_later, id="leaves-first"
    ),
    pytest.param(
        started_before_it_was_taken, AllocationLedger, "_commit_credits", join_at_once, id="joins-last"
    ),
    pytest.param(
        told_before_it_was_written,
        AllocationLedger,
        "transfer_in_transit_to",
        told_at_once,
        id="durable-first",
    ),
    pytest.param(frozen_in_a_gift, FencedWriter, "commit", _without_lead, id="lead"),
    pytest.param(carried_out_late, FencedWriter, "commit", _without_fence, id="fence"),
]


@pytest.mark.parametrize(("play", "owner", "method", "stub"), GUARDS)
def test_each_guard_keeps_the_sum(
    play: Callable[[Fleet], None],
    owner: type,
    method: str,
    stub: Callable[..., object],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    fleet = Fleet()
    play(fleet)
    assert fleet.problems() == []
    without = Fleet()
    take_out(monkeypatch, owner, method, stub)
    play(without)
    assert without.problems() != []


# -- what is refused -----------------------------------------------------------------------------------


def test_a_gap_in_the_sequence_is_refused() -> None:
    book = Fleet().cells[1].leader
    assert book is not None
    amount = TeamAmount(accelerators=ResourceAmount(0, UNIT))
    with pytest.raises(SequenceError):
        book.ledger.credit("east", "east-1", Transfer(2, {TEAM: amount}))


def test_more_than_was_ever_given_cannot_be_acknowledged() -> None:
    fleet = Fleet()
    leader = fleet.cells[0].leader
    assert leader is not None
    with pytest.raises(SequenceError):
        leader.ledger.acknowledge("north", "north-1", 1)
    transfer(fleet)
    with pytest.raises(SequenceError):
        leader.ledger.acknowledge("north", "north-1", 2)


def test_a_cell_that_was_made_anew_is_refused() -> None:
    fleet = Fleet()
    transfer(fleet)
    giver, taker = fleet.cells[0].leader, fleet.cells[1].leader
    assert giver is not None
    assert taker is not None
    with pytest.raises(UnknownIncarnationError):
        giver.ledger.acknowledge("north", "north-2", 1)
    with pytest.raises(UnknownIncarnationError):
        amount = TeamAmount(accelerators=ResourceAmount(1, 0))
        taker.ledger.credit("east", "east-2", Transfer(2, {TEAM: amount}))


def test_a_record_that_appears_while_it_is_made_ends_the_term() -> None:
    """A first try without an answer made the records: what is there is read anew, not guessed."""
    cell = Fleet().cells[0]
    cell.state.keys = {key: value for key, value in cell.state.keys.items() if "/q/" not in key}
    cell.crash()
    leader = cell.leader
    assert leader is not None
    whole = TeamAllocation(ResourceAllocation(), ResourceAllocation(0, UNIT))
    leader.ledger.create_missing({TEAM: InitialAllocation(whole, whole)}, 10)
    leader.carry_out(Outcome.LOST)
    leader.carry_out()
    assert leader.inconsistent
    assert leader.limit() == 0
    cell.crash()
    assert cell.leader is not None
    assert cell.leader.limit() == UNIT


def test_a_step_under_way_holds_up_no_cell_whose_records_are_all_there() -> None:
    """While a state service is away for long, demand and alarms must go on being looked at."""
    fleet = Fleet()
    cell = fleet.cells[0]
    assert cell.leader is not None
    cell.leader.debit(fleet.cells[1], UNIT)
    assert cell.leader.ledger.commit_in_progress
    whole = TeamAllocation(ResourceAllocation(), ResourceAllocation(0, UNIT))
    assert not cell.leader.ledger.create_missing({TEAM: InitialAllocation(whole, whole)}, 10)
    assert cell.leader.ledger.create_missing({"beta": InitialAllocation(whole, whole)}, 10)


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


def lonely_leader() -> Leader:
    """The leader of a cell whose state service holds no allocation records yet."""
    cell = Fleet().cells[0]
    cell.state.keys = {key: value for key, value in cell.state.keys.items() if "/q/" not in key}
    cell.crash()
    assert cell.leader is not None
    return cell.leader


def test_a_cell_without_teams_under_quota_has_an_incarnation_as_well() -> None:
    leader = lonely_leader()
    assert leader.ledger.create_missing({}, 10)
    leader.carry_out()
    assert leader.ledger.incarnation
    assert not leader.ledger.create_missing({}, 10)


def test_records_are_created_once_and_so_many_at_a_time() -> None:
    leader = lonely_leader()
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
def test_no_record_that_is_there_is_written_over(allocations: dict[str, InitialAllocation]) -> None:
    leader = lonely_leader() if not allocations else Fleet().cells[0].leader
    assert leader is not None
    key = allocation_key("beta") if allocations else IDENTITY
    leader.ledger.create_missing(allocations, 10)
    leader.cell.state.commit(transaction_body({}, [Put(key, {"made": "meanwhile"})]))
    leader.carry_out()
    assert leader.inconsistent
    assert leader.cell.state.keys[key][0] == {"made": "meanwhile"}


def test_what_is_durable_is_planned_against_from_the_beginning() -> None:
    cell = Fleet().cells[0]
    heard: list[str] = []
    book = AllocationLedger(
        "east", str, lambda conditions, writes, done: None, heard.append, lambda why: None
    )
    entries = cell.state.scan(QUOTA_PREFIX, "", 1000)[1]["entries"]
    book.load(Entry(each["key"], each["data"], each["stamp"]) for each in entries)
    assert heard == [TEAM]


@pytest.mark.parametrize(
    "amounts",
    [
        pytest.param({}, id="nothing"),
        pytest.param({TEAM: ONE_LIMIT, "beta": ONE_LIMIT}, id="team-without-an-allocation"),
        pytest.param({TEAM: TeamAmount(accelerators=ResourceAmount(0, 9 * UNIT))}, id="more-than-it-holds"),
    ],
)
def test_only_what_the_cell_holds_is_debited(amounts: dict[str, TeamAmount]) -> None:
    leader = Fleet().cells[0].leader
    assert leader is not None
    before = leader.limit()
    assert not leader.ledger.debit("north", "north-1", amounts)
    assert (leader.limit(), leader.steps, leader.ledger.commit_in_progress) == (before, [], False)


def test_no_transfer_between_cells_without_known_records() -> None:
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


def test_a_transfer_is_acknowledged_only_once_it_is_durable_and_forgotten_once() -> None:
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


def test_a_transfer_of_a_team_without_an_allocation_here_has_to_be_sent_again() -> None:
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


def test_records_of_another_cell_let_nothing_start() -> None:
    cell = Fleet().cells[0]
    book = AllocationLedger(
        "west", str, lambda conditions, writes, done: None, lambda team: None, lambda why: None
    )
    entries = cell.state.scan(QUOTA_PREFIX, "", 1000)[1]["entries"]
    book.load(Entry(each["key"], each["data"], each["stamp"]) for each in entries)
    with pytest.raises(WrongCellError):
        book.check_identity()


# -- demand --------------------------------------------------------------------------------------------


@pytest.mark.parametrize(
    ("demand", "expected"),
    [
        pytest.param(ResourceDemand(used=4, pending=3, startable=3), (5, 1), id="both"),
        pytest.param(ResourceDemand(used=4, pending=3), (5, 0), id="no-room-anywhere"),
        pytest.param(ResourceDemand(used=7), (0, 0), id="nothing-waits"),
        pytest.param(ResourceDemand(used=1, pending=9, startable=9), (6, 4), id="no-more-than-is-guaranteed"),
    ],
)
def test_what_waiting_work_lacks(demand: ResourceDemand, expected: tuple[int, int]) -> None:
    share, whole = ResourceAllocation(2, 4), ResourceAllocation(8, 40)
    assert demand.unmet(share, whole) == expected


def test_a_reserve_is_whole_units_of_the_first_share_and_stays() -> None:
    first = TeamAllocation(ResourceAllocation(3 * UNIT, None), ResourceAllocation(2 * UNIT, 5 * UNIT))
    reserved = initial_reserve(first, 0.5)
    assert reserved == TeamAllocation(ResourceAllocation(UNIT, None), ResourceAllocation(UNIT, 2 * UNIT))
    assert initial_reserve(first, 0.0) == first.zeroed()
    assert first.cpus.excess_over(reserved.cpus) == ResourceAmount(2 * UNIT, 0)
    assert first.accelerators.excess_over(reserved.accelerators) == ResourceAmount(UNIT, 3 * UNIT)
    # A share that fell below its reserve, or began before there was one, gives nothing.
    assert ResourceAllocation(0, UNIT).excess_over(reserved.accelerators) == ResourceAmount(0, 0)


def test_what_a_cell_can_spare() -> None:
    share = ResourceAllocation(4, 6)
    assert ResourceDemand(may_run=3).spare(share, is_stalled=False) == ResourceAmount(1, 6)
    fitting = ResourceDemand(may_run=3, pending=4, startable=4)
    assert fitting.spare(share, is_stalled=False) == ResourceAmount(0, 3)
    # What waits and has no room here keeps the guarantee, which makes room, and nothing that is borrowed.
    assert ResourceDemand(may_run=3, pending=4).spare(share, is_stalled=False) == ResourceAmount(0, 6)
    assert fitting.spare(share, is_stalled=True) == ResourceAmount(1, 6)
    assert ResourceDemand(may_run=3, peak=9).spare(share, is_stalled=True) == ResourceAmount(0, 1)
    assert ResourceDemand(may_run=30).spare(share, is_stalled=False) == ResourceAmount(0, 0)
    # Without a limit only the guarantee can move.
    assert ResourceDemand(may_run=1).spare(ResourceAllocation(4, None), is_stalled=False) == ResourceAmount(
        3, 0
    )


def test_work_waits_beside_an_idle_share_of_either_resource() -> None:
    assert ResourceDemand(may_run=2, pending=4).is_pending_despite_idle(ResourceAllocation(0, 4))
    assert not ResourceDemand(may_run=4, pending=4).is_pending_despite_idle(ResourceAllocation(0, 4))
    assert not ResourceDemand(may_run=2, pending=4).is_pending_despite_idle(ResourceAllocation(0, None))
