"""A stateful search for a sequence of failures that loses or duplicates an amount, and its guards."""

from __future__ import annotations

from collections.abc import Callable, Sequence

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from guards import replace_guard
from poppyhold.durable.changes import Write
from poppyhold.durable.fenced_writer import FencedWriter
from poppyhold.durable.keys import LEADER_KEY
from poppyhold.quota.amounts import UNIT
from poppyhold.quota.errors import QuotaProtocolError
from poppyhold.quota.ledger import AllocationLedger
from quota_model import (
    CELLS,
    Fleet,
    Outcome,
    always_next,
    credit_before_durable,
    send_before_durable,
    transfer,
)

CELL = st.integers(0, len(CELLS) - 1)
MESSAGE = st.integers(0, 50)


class LedgerMachine(RuleBasedStateMachine):
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
    def debit(self, cell: int, peer: int, units: int) -> None:
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
            # A former leader may be outdated. The one that leads never is.
            assert to_former or any(cell.former for cell in self.fleet.cells)

    @rule(cell=CELL, peer=CELL, units=st.integers(1, 8))
    def debit_durably(self, cell: int, peer: int, units: int) -> None:
        """A debit that the state service commits at once."""
        self.debit(cell, peer, units)
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
    def nothing_is_lost_or_duplicated(self) -> None:
        assert self.fleet.problems() == []

    def teardown(self) -> None:
        self.fleet.settle()
        assert self.fleet.problems() == []
        assert self.fleet.in_transit() == []
        self._meet_unmet_demand()

    def _meet_unmet_demand(self) -> None:
        """Idle amounts of any cell reach the cell that needs them."""
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


LedgerMachine.TestCase.settings = settings(max_examples=150, stateful_step_count=60, deadline=None)
TestLedgers = LedgerMachine.TestCase


def deliver_transfer_twice(fleet: Fleet) -> None:
    transfer(fleet, again=2)


def start_tasks_during_a_debit(fleet: Fleet) -> None:
    """Everything that the allocation allows is started while a debit is being committed."""
    cell = fleet.cells[0]
    assert cell.leader is not None
    cell.leader.debit(fleet.cells[1], 2 * UNIT)
    cell.running += cell.leader.idle()
    cell.leader.carry_out()


def start_tasks_before_the_credit(fleet: Fleet) -> None:
    """A destination plans with a credit, and ends before that is durable."""
    source, destination = fleet.cells[0].leader, fleet.cells[1]
    assert source is not None
    source.debit(destination, UNIT)
    source.carry_out()
    fleet.ask(1, 0)
    fleet.deliver(0)
    fleet.deliver(0)
    assert destination.leader is not None
    destination.running += destination.leader.idle()


def request_before_the_debit_is_durable(fleet: Fleet) -> None:
    """A source ends before its debit is durable; the destination has asked meanwhile."""
    source, destination = fleet.cells[0], fleet.cells[1]
    assert source.leader is not None
    assert destination.leader is not None
    source.leader.debit(destination, UNIT)
    fleet.ask(1, 0)
    fleet.deliver(0)
    fleet.deliver(0)
    destination.leader.carry_out()
    source.crash()


def freeze_during_a_debit(fleet: Fleet) -> None:
    """A source freezes between planning and commit; its successor debits the same again."""
    source = fleet.cells[0]
    frozen = source.leader
    assert frozen is not None
    frozen.debit(fleet.cells[1], 3 * UNIT)
    source.elect()
    assert source.leader is not None
    source.leader.debit(fleet.cells[2], 3 * UNIT)
    source.leader.carry_out()
    frozen.carry_out()


def commit_a_debit_late(fleet: Fleet) -> None:
    """A debit without a response is retried, and its first try arrives after a second debit."""
    source, destination = fleet.cells[0], fleet.cells[1]
    assert source.leader is not None
    assert destination.leader is not None
    for first in (Outcome.LATE, Outcome.ANSWERED):
        source.leader.debit(destination, UNIT)
        source.leader.carry_out(first)
        source.leader.carry_out()
        for _ in range(2):
            fleet.ask(1, 0)
            fleet.deliver(0)
            fleet.deliver(0)
            destination.leader.carry_out()
            source.leader.carry_out()
    source.late.pop()()


def _debit_later(self: AllocationLedger, lowered: object) -> None:
    return None


def _without_leader_key_condition(
    writer: FencedWriter, conditions: dict[str, int], writes: Sequence[Write]
) -> None:
    writer._store.commit(conditions, writes)


def _without_fence_condition(
    writer: FencedWriter, conditions: dict[str, int], writes: Sequence[Write]
) -> None:
    writer._store.commit({LEADER_KEY: writer._leader_key_revision, **conditions}, writes)


GUARDS = [
    pytest.param(
        deliver_transfer_twice, AllocationLedger, "_is_next_in_sequence", always_next, id="sequence"
    ),
    pytest.param(
        start_tasks_during_a_debit, AllocationLedger, "_apply_debits", _debit_later, id="debit-before-commit"
    ),
    pytest.param(
        start_tasks_before_the_credit,
        AllocationLedger,
        "_commit_credits",
        credit_before_durable,
        id="credit-after-commit",
    ),
    pytest.param(
        request_before_the_debit_is_durable,
        AllocationLedger,
        "transfer_in_transit_to",
        send_before_durable,
        id="durable-first",
    ),
    pytest.param(freeze_during_a_debit, FencedWriter, "commit", _without_leader_key_condition, id="lead"),
    pytest.param(commit_a_debit_late, FencedWriter, "commit", _without_fence_condition, id="fence"),
]


@pytest.mark.parametrize(("scenario", "owner", "method", "stub"), GUARDS)
def test_each_guard_preserves_the_total(
    scenario: Callable[[Fleet], None],
    owner: type,
    method: str,
    stub: Callable[..., object],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    fleet = Fleet()
    scenario(fleet)
    assert fleet.problems() == []
    unguarded = Fleet()
    replace_guard(monkeypatch, owner, method, stub)
    scenario(unguarded)
    assert unguarded.problems() != []
