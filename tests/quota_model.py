"""Cells that transfer amounts, step by step: the real ledger on simulated stores and a faulty network."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from enum import Enum

from poppyhold.durable.changes import Entry, Put, Write
from poppyhold.durable.errors import ConditionFailedError, OutcomeUnknownError, StoreRejectedError
from poppyhold.durable.fenced_writer import FencedWriter
from poppyhold.durable.keys import LEADER_KEY, QUOTA_PREFIX
from poppyhold.durable.store import Store, transaction_body
from poppyhold.quota.amounts import UNIT, ResourceAllocation, ResourceAmount, TeamAllocation, TeamAmount
from poppyhold.quota.apportionment import InitialAllocation, initial_allocation
from poppyhold.quota.ledger import AllocationLedger
from poppyhold.quota.messages import PROTOCOL_VERSION, TransferRequest, TransferResponse
from poppyhold.quota.records import Transfer
from poppyhold.scale.state_standin import StateStandIn

TEAM = "alpha"
CELLS = ("east", "north", "west")
WHOLE = TeamAllocation(ResourceAllocation(), ResourceAllocation(4 * UNIT, 8 * UNIT))
WEIGHTS = {"east": 5, "north": 3, "west": 2}


class Outcome(Enum):
    """The outcome of one attempt of a transaction."""

    ANSWERED = "answered"
    # Applied, and the response is lost.
    LOST = "lost"
    # No response, and applied later if at all.
    LATE = "late"
    REFUSED = "refused"


class ScriptedStore(Store):
    """A client of a simulated state service that scripts the outcome of the next transaction."""

    def __init__(self, state: StateStandIn, late: list[Callable[[], None]]) -> None:
        self._state, self._late = state, late
        self.outcome = Outcome.ANSWERED
        self.timeout_s = 1.0
        self.contact_at = 0.0

    def get(self, key: str) -> Entry | None:
        status, body = self._state.get(key)
        return Entry(key, body["data"], body["stamp"]) if status == 200 else None

    def commit(self, conditions: dict[str, int], writes: Sequence[Write]) -> int:
        body = transaction_body(conditions, writes)
        outcome, self.outcome = self.outcome, Outcome.ANSWERED
        if outcome is Outcome.REFUSED:
            raise StoreRejectedError("503")
        if outcome is Outcome.LATE:
            self._late.append(lambda: self._state.commit(body) and None)
            raise OutcomeUnknownError("late")
        status, answer = self._state.commit(body)
        if status == 409:
            raise ConditionFailedError(answer["failed"])
        if outcome is Outcome.LOST:
            raise OutcomeUnknownError("lost")
        return int(answer["ledger"])


class Leader:
    """One leader term: its ledger, and its commits in order."""

    def __init__(self, cell: ModelCell, lead_version: int) -> None:
        self.cell = cell
        self.store = ScriptedStore(cell.state, cell.late)
        self.writer = FencedWriter(self.store, lead_version)
        self.steps: list[tuple[dict[str, int], Sequence[Write], Callable[[bool], None]]] = []
        self.lost_leadership = self.inconsistent = False
        self.ledger = AllocationLedger(
            cell.name, cell.draw, self._commit, lambda team: None, self._on_inconsistent
        )
        entries = cell.state.scan(QUOTA_PREFIX, "", 1000)[1]["entries"]
        self.ledger.load(Entry(each["key"], each["data"], each["stamp"]) for each in entries)

    def _commit(
        self, conditions: dict[str, int], writes: Sequence[Write], done: Callable[[bool], None]
    ) -> None:
        self.steps.append((conditions, writes, done))

    def _on_inconsistent(self, why: str) -> None:
        self.inconsistent = True

    def carry_out(self, outcome: Outcome = Outcome.ANSWERED) -> None:
        """One attempt of the first pending step."""
        if not self.steps or self.lost_leadership:
            return
        conditions, writes, done = self.steps[0]
        self.store.outcome = outcome
        try:
            self.writer.commit(conditions, writes)
        except ConditionFailedError as conflict:
            if LEADER_KEY in conflict.failed_keys:
                self.lost_leadership = True
                return
            result = False
        except (StoreRejectedError, OutcomeUnknownError):
            return
        else:
            result = True
        self.steps.pop(0)
        done(result)

    def limit(self) -> int:
        """The limit up to which starts are planned."""
        allocation = self.ledger.allocation(TEAM)
        return 0 if allocation is None else allocation.accelerators.limit or 0

    def idle(self) -> int:
        """The part of the limit above the use of all tasks that may run."""
        return max(0, self.limit() - self.cell.running)

    def debit(self, peer: ModelCell, units: int) -> bool:
        """Debit up to so many idle units, guaranteed ones first."""
        allocation = self.ledger.allocation(TEAM)
        if allocation is None or self.lost_leadership or peer.leader is None:
            return False
        idle = min(units, self.idle())
        guaranteed = min(idle, allocation.accelerators.guaranteed)
        part = ResourceAmount(guaranteed, min(idle - guaranteed, allocation.accelerators.borrowable or 0))
        amount = TeamAmount(accelerators=part)
        if amount.is_zero:
            return False
        return self.ledger.debit(peer.name, peer.incarnation, {TEAM: amount})

    def request(self, peer: str) -> TransferRequest:
        """The request to another cell's leader."""
        known = self.ledger.peers.get(peer)
        return TransferRequest(
            PROTOCOL_VERSION,
            self.cell.name,
            peer,
            "",
            self.ledger.incarnation,
            known.incarnation if known is not None else "",
            self.ledger.last_applied_from(peer),
        )

    def answer(self, request: TransferRequest) -> TransferResponse:
        """The response to another cell's leader, without its unmet demand."""
        self.ledger.check_peer(request.cell, request.incarnation)
        self.ledger.acknowledge(request.cell, request.incarnation, request.last_applied)
        return TransferResponse(
            self.cell.name, self.ledger.incarnation, self.ledger.transfer_in_transit_to(request.cell)
        )

    def handle_response(self, reply: TransferResponse) -> None:
        """Another cell's response arrives."""
        self.ledger.check_peer(reply.cell, reply.incarnation)
        if reply.transfer is not None:
            self.ledger.credit(reply.cell, reply.incarnation, reply.transfer)


class ModelCell:
    """One cell: a store, a leader and its predecessors, and the units in use."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.state = StateStandIn(lambda: 0.0)
        self.late: list[Callable[[], None]] = []
        self.leader: Leader | None = None
        # Leaders that have not noticed that they lost their leadership.
        self.former: list[Leader] = []
        self.running = 0
        self._drawn = 0
        self.elect()
        assert self.leader is not None
        first = InitialAllocation(initial_allocation(WHOLE, WEIGHTS, name), WHOLE)
        self.leader.ledger.create_missing({TEAM: first}, 10)
        self.leader.carry_out()

    @property
    def incarnation(self) -> str:
        """The incarnation of the records as first created."""
        return f"{self.name}-1"

    def draw(self) -> str:
        """A new incarnation."""
        self._drawn += 1
        return f"{self.name}-{self._drawn}"

    def elect(self) -> None:
        """Elect a new leader; its predecessor has not noticed yet."""
        if self.leader is not None:
            self.former = [*self.former[-1:], self.leader]
        answer = self.state.commit(transaction_body({}, [Put(LEADER_KEY, {"member": self.name})]))[1]
        self.leader = Leader(self, answer["ledger"])

    def crash(self) -> None:
        """The leader crashes between two steps; the next one reads the durable records."""
        self.leader = None
        self.elect()

    def durable(self) -> Leader:
        """A leader with the records that are durable now."""
        return Leader(self, -1)


def sum_problems(
    ledgers: dict[str, AllocationLedger], team: str, total: TeamAllocation, running: dict[str, int]
) -> list[str]:
    """Why durable allocations and transfers do not add up, for a team's accelerators."""
    found = []
    guaranteed = borrowable = 0
    for cell, ledger in ledgers.items():
        allocation = ledger.allocation(team)
        part = allocation.accelerators if allocation is not None else ResourceAllocation(0, 0)
        guaranteed += part.guaranteed
        borrowable += part.borrowable or 0
        if part.guaranteed < 0 or (part.borrowable or 0) < 0:
            found.append(f"{cell} has a negative allocation: {part}")
        if (part.limit or 0) < running[cell]:
            found.append(f"{cell} runs {running[cell]} of {part.limit}")
        for peer, record in ledger.peers.items():
            transfer = record.in_transit
            if transfer is not None and transfer.number > ledgers[peer].last_applied_from(cell):
                guaranteed += transfer.amounts[team].accelerators.guaranteed
                borrowable += transfer.amounts[team].accelerators.borrowable
    if (guaranteed, borrowable) != (total.accelerators.guaranteed, total.accelerators.borrowable):
        found.append(f"guarantees add up to {guaranteed}, the rest to {borrowable}")
    return found


class Fleet:
    """All cells, and the messages between them."""

    def __init__(self) -> None:
        self.cells = [ModelCell(name) for name in CELLS]
        self.network: list[tuple[ModelCell, TransferRequest | TransferResponse]] = []

    def ask(self, index: int, other: int, by_former: bool = False) -> None:
        """A leader, or a former one, sends a request to another cell's leader."""
        cell, peer = self.cells[index], self.cells[other]
        leader = cell.former[-1] if by_former and cell.former else cell.leader
        if index != other and leader is not None:
            self.network.append((peer, leader.request(peer.name)))

    def deliver(self, index: int, again: bool = False, to_former: bool = False) -> None:
        """A message arrives, and may arrive again; a response is sent over the same link."""
        if not self.network:
            return
        index %= len(self.network)
        cell, message = self.network[index] if again else self.network.pop(index)
        leader = cell.former[-1] if to_former and cell.former else cell.leader
        if leader is None:
            return
        if isinstance(message, TransferResponse):
            leader.handle_response(message)
            return
        back = next(each for each in self.cells if each.name == message.cell)
        self.network.append((back, leader.answer(message)))

    def settle(self) -> None:
        """All faults have ended: new leaders complete every transfer."""
        self.network.clear()
        for cell in self.cells:
            cell.elect()
        for _ in range(6):
            for index, cell in enumerate(self.cells):
                for other in range(len(self.cells)):
                    self.ask(index, other)
                while self.network:
                    self.deliver(0)
                    for each in self.cells:
                        assert each.leader is not None
                        each.leader.carry_out()
                assert cell.leader is not None

    def problems(self) -> list[str]:
        """Violated invariants, by the records that are durable now."""
        ledgers = {cell.name: cell.durable().ledger for cell in self.cells}
        found = sum_problems(ledgers, TEAM, WHOLE, {cell.name: cell.running for cell in self.cells})
        for cell in self.cells:
            allocation = ledgers[cell.name].allocation(TEAM)
            durable = 0 if allocation is None else allocation.accelerators.limit or 0
            if cell.leader is not None and cell.leader.limit() > durable:
                found.append(f"{cell.name} plans with {cell.leader.limit()} of {durable}")
        return found

    def in_transit(self) -> list[str]:
        """Transfers in transit, or of which the source still has a record."""
        return [
            f"{cell.name} to {peer}"
            for cell in self.cells
            for peer, record in cell.durable().ledger.peers.items()
            if record.in_transit is not None
        ]


def transfer(fleet: Fleet, again: int = 0) -> None:
    """One unit is transferred from the first cell to the second; the response may be duplicated."""
    source, destination = fleet.cells[0].leader, fleet.cells[1].leader
    assert source is not None
    assert destination is not None
    source.debit(fleet.cells[1], UNIT)
    source.carry_out()
    fleet.ask(1, 0)
    fleet.deliver(0)
    for _ in range(again):
        fleet.deliver(0, again=True)
        destination.carry_out()
    fleet.deliver(0)
    destination.carry_out()


def always_next(before: object, transfer: object) -> bool:
    """Every transfer counts as the next one."""
    return True


def credit_before_durable(
    self: AllocationLedger, raised: object, link: object, peer: object, durable: Callable[[], None]
) -> None:
    """A credit counts before it is durable."""
    durable()


def send_before_durable(self: AllocationLedger, peer: str) -> Transfer | None:
    """A transfer is sent before it is durable."""
    record = self.peers.get(peer)
    return record.in_transit if record is not None else None
