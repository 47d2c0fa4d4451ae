"""Plays the faults of a schedule on a run's controllers, stand-ins and links."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Awaitable, Callable, Iterable

from poppyhold.scale.controllers import ControllerProcess, Controllers
from poppyhold.scale.cuttable_links import CuttableNetwork
from poppyhold.scale.fleet import Fleet
from poppyhold.scale.soak.faulty_worker import FaultyWorker
from poppyhold.scale.soak.schedule import FaultKind, SoakFault
from poppyhold.scale.soak.state_gate import StateGate
from poppyhold.scale.soak.users import SoakUsers

# How long a killed leader of a series is down, and the pause until the next one is killed, in seconds.
_LEADER_DOWN_S, _NEXT_LEADER_S = 2.0, 4.0
_BEGIN, _END = 1, -1


class FaultPlayer:
    """Begins and ends each fault; faults of one kind may overlap."""

    def __init__(
        self,
        controllers: Controllers,
        network: CuttableNetwork[str],
        gate: StateGate,
        fleet: Fleet,
        users: SoakUsers,
        leader: Callable[[], str | None],
        rng: random.Random,
    ) -> None:
        """``leader`` returns the member that the state service names as the leader."""
        self._controllers, self._network, self._gate = controllers, network, gate
        self._fleet, self._users, self._leader, self._rng = fleet, users, leader, rng
        self._players: dict[FaultKind, Callable[[SoakFault], Awaitable[None]]] = {
            FaultKind.KILL: self._kill,
            FaultKind.FREEZE: self._freeze,
            FaultKind.END_LEADERS: self._end_leaders,
            FaultKind.STATE_OUT: self._state_out,
            FaultKind.STATE_REFUSES: self._state_refuses,
            FaultKind.STATE_SLOW: lambda fault: self._switch(fault, self._gate.slow),
            FaultKind.STATE_ANSWERS_LOST: lambda fault: self._switch(fault, self._gate.lose_answers),
            FaultKind.STATE_LATE: lambda fault: self._switch(fault, self._gate.delay_commits),
            FaultKind.CUT_PEERS: lambda fault: self._cut(fault, both_ways=True),
            FaultKind.CUT_PEERS_ONE_WAY: lambda fault: self._cut(fault, both_ways=False),
            FaultKind.CANCEL_BURST: self._cancel_burst,
        }

    async def play(self, fault: SoakFault) -> None:
        """Begin a fault now, and end it after its time."""
        player = self._players.get(fault.kind)
        if player is not None:
            await player(fault)
        else:
            self._afflict_workers(fault)

    def deliver_kept_copies(self) -> None:
        """Deliver the heartbeats that were kept for the leader that has just begun."""
        for worker in self._workers():
            worker.deliver_kept_copies()

    def _controller(self, fault: SoakFault) -> ControllerProcess | None:
        """The controller that a fault affects; None if that is the leader and there is none."""
        if fault.controller >= 0:
            return self._controllers.all[fault.controller]
        leader = self._leader()
        return self._controllers.get(leader) if leader is not None else None

    # -- controllers -----------------------------------------------------------------------------------

    async def _kill(self, fault: SoakFault) -> None:
        controller = self._controller(fault)
        if controller is not None:
            await self._kill_for(controller, fault.for_s)

    async def _kill_for(self, controller: ControllerProcess, for_s: float) -> None:
        controller.kill()
        for worker in self._workers():
            worker.deliver_kept_commands()
        await asyncio.sleep(for_s)
        if not controller.alive:
            await self._controllers.start(controller)

    async def _freeze(self, fault: SoakFault) -> None:
        controller = self._controller(fault)
        if controller is not None:
            controller.suspend()
            await asyncio.sleep(fault.for_s)
            controller.resume()

    async def _end_leaders(self, fault: SoakFault) -> None:
        ends_at = time.monotonic() + fault.for_s
        while True:
            leader = self._leader()
            if leader is not None:
                await self._kill_for(self._controllers.get(leader), _LEADER_DOWN_S)
            await asyncio.sleep(_NEXT_LEADER_S - _LEADER_DOWN_S)
            if time.monotonic() >= ends_at:
                return

    # -- the state service and the links ---------------------------------------------------------------

    async def _state_out(self, fault: SoakFault) -> None:
        self._gate.begin_outage()
        await asyncio.sleep(fault.for_s)
        self._gate.end_outage()

    async def _state_refuses(self, fault: SoakFault) -> None:
        controller = self._controller(fault)
        if controller is not None:
            member = controller.member
            await self._switch(fault, lambda change: self._gate.refuse(member, change))

    @staticmethod
    async def _switch(fault: SoakFault, switch: Callable[[int], None]) -> None:
        switch(_BEGIN)
        await asyncio.sleep(fault.for_s)
        switch(_END)

    async def _cut(self, fault: SoakFault, both_ways: bool) -> None:
        controller = self._controller(fault)
        if controller is None:
            return
        cut = controller.member
        others = [each.member for each in self._controllers.all if each is not controller]
        ways = [(cut, other) for other in others]
        if both_ways:
            ways += [(other, cut) for other in others]

        self._network.cut(ways)
        await asyncio.sleep(fault.for_s)
        self._network.heal(ways)

    # -- workers and users -----------------------------------------------------------------------------

    async def _cancel_burst(self, fault: SoakFault) -> None:
        self._users.cancel_some(fault.share)

    def _workers(self) -> list[FaultyWorker]:
        return [worker for worker in self._fleet.workers.values() if isinstance(worker, FaultyWorker)]

    def _some_workers(self, share: float) -> Iterable[FaultyWorker]:
        workers = self._workers()
        return self._rng.sample(workers, min(len(workers), max(1, round(len(workers) * share))))

    def _afflict_workers(self, fault: SoakFault) -> None:
        until = time.monotonic() + fault.for_s
        if fault.kind is FaultKind.HEARTBEATS_COPIED:
            for worker in self._workers():
                worker.copies_until, worker.copied_share = until, fault.share
        elif fault.kind is FaultKind.COMMANDS_LATE:
            for worker in self._workers():
                worker.late_commands_until, worker.late_share = until, fault.share
        elif fault.kind is FaultKind.COMMANDS_REPEATED:
            for worker in self._workers():
                worker.repeats_until, worker.repeated_share = until, fault.share
        elif fault.kind is FaultKind.HEARTBEATS_TO_NEXT_LEADER:
            for worker in self._some_workers(fault.share):
                worker.copies_kept_until = until
        else:
            for worker in self._some_workers(fault.share):
                self._afflict(worker, fault, until)

    @staticmethod
    def _afflict(worker: FaultyWorker, fault: SoakFault, until: float) -> None:
        match fault.kind:
            case FaultKind.WORKERS_HANG:
                worker.hang(fault.for_s)
            case FaultKind.WORKERS_INBOUND_LOST:
                worker.inbound_lost_until = until
            case FaultKind.WORKERS_HEARTBEATS_LOST:
                worker.heartbeats_lost_until = until
            case FaultKind.WORKERS_RESTART:
                worker.restart(fault.for_s)
