"""Several simulated deployments as the cells of one fleet, with one virtual clock, and their links."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable
from typing import TYPE_CHECKING

import msgspec

from poppyhold.cluster.peer_messages import PeerMessage
from poppyhold.durable.changes import Entry
from poppyhold.durable.keys import QUOTA_PREFIX
from poppyhold.options import Cell, CellController, Cells, Options
from poppyhold.options_file import check_cells
from poppyhold.quota.amounts import UNIT, to_thousandths
from poppyhold.quota.apportionment import total_allocation
from poppyhold.quota.ledger import AllocationLedger
from poppyhold.quota.messages import QuotaResponse, TransferRequest, TransferResponse
from quota_model import sum_problems
from sim_leader_term import STEP_S, SimLeaderTerm

if TYPE_CHECKING:
    from world import World

TEAM = "alpha"
_LATENCY_S, _LATEST_S = 0.02, 120.0
# Seconds between requests without unmet demand, with it, and while a transfer is in progress.
_IDLE_S, _WANTING_S, _IN_PROGRESS_S = 1.0, 0.25, 0.05
_CHECK_S = 0.5

_peer_message_decoder: msgspec.msgpack.Decoder[PeerMessage] = msgspec.msgpack.Decoder(PeerMessage)
_answer_decoder: msgspec.msgpack.Decoder[QuotaResponse] = msgspec.msgpack.Decoder(QuotaResponse)


class CellsWorld:
    """The cells, their links, and the rules that hold across them."""

    def __init__(
        self, seed: int, parts: list[float], reserve: float, make_world: Callable[[Options], World]
    ) -> None:
        self._rng = random.Random(seed)
        names = [f"cell-{index}" for index in range(len(parts))]
        controller = (CellController("hive-0", "127.0.0.1:1"),)
        every = [Cell(name, part, controller) for name, part in zip(names, parts, strict=True)]
        self.worlds = []
        for cell in every:
            others = tuple(other for other in every if other is not cell)
            cells = check_cells(Cells(cell.name, cell.part, others, reserve=reserve))
            self.worlds.append(make_world(Options(cells=cells)))
        self._names = names
        # One list for all cells: a violation in any of them fails the scenario.
        self.violations = self.worlds[0].violations
        for world in self.worlds:
            world.violations = self.violations
        # Links between cells that are cut, each in one direction.
        self.cut_links: set[tuple[int, int]] = set()
        self.duplicated_share = self.lost_share = self.delayed_share = 0.0
        # Cells whose controllers once ran without the file: use may exceed the allocation, with an alarm.
        self.without_cells_file: set[int] = set()
        # A cell lost its records: until all allocations are recreated, they don't add up.
        self.records_are_lost = False
        self._ticks_without_alarm: Counter[int] = Counter()
        self._check_at = 0.0
        team = next(team for team in self.worlds[0].settings.deployment.teams if team.name == TEAM)
        self._whole = total_allocation(team)

    @property
    def now(self) -> float:
        """The time, which is the same in all cells."""
        return self.worlds[0].now

    def run(self, until: float) -> None:
        """Advance the clock in all cells, a step at a time."""
        while self.now < until:
            target = min(until, self.now + STEP_S)
            for world in self.worlds:
                world.run(target)
            for index, world in enumerate(self.worlds):
                for node in world.nodes:
                    if node.leader_term is not None and node.alive and not node.frozen:
                        self._send_requests(index, node.leader_term)
            self._check()

    def _send_requests(self, index: int, term: SimLeaderTerm) -> None:
        """A leader sends each other cell's leader a request when that is due."""
        quota = term.controller.cell_quota
        if quota is None:
            return
        for other, name in enumerate(self._names):
            request = quota.requests().get(name)
            if other == index or request is None or self.now < term.next_request_at.get(other, 0.0):
                continue
            term.next_request_at[other] = self.now + (_WANTING_S if request.unmet_demands else _IDLE_S)
            data = msgspec.msgpack.encode(request)
            self._send(index, other, lambda data=data, other=other: self._arrive(index, term, other, data))  # type: ignore[misc]

    def _send(self, source: int, target: int, arrive: Callable[[], None]) -> None:
        """Send a message, unless its link is cut or the message is lost."""
        if (source, target) in self.cut_links or self._rng.random() < self.lost_share:
            return
        times = 2 if self._rng.random() < self.duplicated_share else 1
        for _ in range(times):
            late = self._rng.random() < self.delayed_share
            delay_s = self._rng.uniform(1.0, _LATEST_S) if late else _LATENCY_S
            self.worlds[target].after(delay_s, arrive)

    def _arrive(self, index: int, asking: SimLeaderTerm, other: int, data: bytes) -> None:
        """A request arrives at the cell's leader, or at one that has not noticed its successor."""
        terms = [
            node.leader_term
            for node in self.worlds[other].nodes
            if node.leader_term is not None and node.alive and not node.frozen
        ]
        request = _peer_message_decoder.decode(data)
        assert isinstance(request, TransferRequest)
        if not terms:
            return
        term = self._rng.choice(terms)
        quota = term.controller.cell_quota
        if quota is None:
            return
        answer = msgspec.msgpack.encode(quota.handle_request(request))
        term.settle()
        self._send(other, index, lambda: self._answered(asking, other, answer))

    def _answered(self, term: SimLeaderTerm, other: int, data: bytes) -> None:
        reply = _answer_decoder.decode(data)
        quota = term.controller.cell_quota
        if not term.alive or not term.node.alive or term.node.frozen or quota is None:
            return
        assert isinstance(reply, TransferResponse)
        quota.handle_response(reply)
        if reply.in_progress:
            term.next_request_at[other] = self.now + _IN_PROGRESS_S
        term.settle()

    def _ledger(self, world: World) -> AllocationLedger:
        """A cell's durable allocations."""
        ledger = AllocationLedger(
            "", str, lambda conditions, writes, done: None, lambda team: None, lambda why: None
        )
        entries = world.state.scan(QUOTA_PREFIX, "", 1000)[1]["entries"]
        ledger.load(Entry(each["key"], each["data"], each["stamp"]) for each in entries)
        return ledger

    def allocation(self, cell: int) -> float:
        """The limit of the team's accelerators in a cell."""
        allocation = self._ledger(self.worlds[cell]).allocation(TEAM)
        return 0.0 if allocation is None else (allocation.accelerators.limit or 0) / UNIT

    def used(self) -> float:
        """Accelerators that the team uses in all cells."""
        return sum(self._used(world) for world in self.worlds)

    @staticmethod
    def _used(world: World) -> float:
        jobs = [world.jobs[task.rpartition("/")[0]] for _, task in world._running()]
        return float(sum(job["accelerators"] for job in jobs if job["crew"] == TEAM))

    def in_transit(self) -> list[str]:
        """Transfers that their source still has a record of."""
        return [
            f"{name} to {peer}"
            for name, world in zip(self._names, self.worlds, strict=True)
            for peer, record in self._ledger(world).peers.items()
            if record.in_transit is not None
        ]

    def moves(self) -> int:
        """Transfers that were started in all cells."""
        return sum(record.last_sent for world in self.worlds for record in self._ledger(world).peers.values())

    def alarms(self, cell: int) -> list[str]:
        """Alarms of the cell's leader."""
        leader = self.worlds[cell].leader()
        term = leader.leader_term if leader is not None else None
        quota = term.controller.cell_quota if term is not None else None
        return quota.alarms.texts() if quota is not None else []

    def _check(self) -> None:
        limit = self._whole.accelerators.limit
        used = self.used()
        if limit is not None and to_thousandths(used) > limit:
            self.violations.append(f"quota over all cells: {used:g} at {self.now:.1f}")
        if self.now < self._check_at:
            return
        self._check_at = self.now + _CHECK_S
        ledgers = {name: self._ledger(world) for name, world in zip(self._names, self.worlds, strict=True)}
        if self.records_are_lost or any(ledger.allocation(TEAM) is None for ledger in ledgers.values()):
            return
        running = {
            name: 0
            if index in self.without_cells_file and self._raises_alarm(index)
            else to_thousandths(self._used(world))
            for index, (name, world) in enumerate(zip(self._names, self.worlds, strict=True))
        }
        for problem in sum_problems(ledgers, TEAM, self._whole, running):
            self.violations.append(f"allocations: {problem} at {self.now:.1f}")

    def _raises_alarm(self, cell: int) -> bool:
        """Whether an alarm reports use above the allocation, or no leader with cells could raise it yet."""
        leader = self.worlds[cell].leader()
        term = leader.leader_term if leader is not None else None
        quota = term.controller.cell_quota if term is not None else None
        if term is None or quota is None or term.controller.reconciler.lease_expiry.unreconciled:
            return True
        if any("use above share" in alarm for alarm in quota.alarms.texts()):
            return True
        # The alarm is raised at the next tick after the heartbeat that shows the use.
        self._ticks_without_alarm[cell] += 1
        return self._ticks_without_alarm[cell] == 1
