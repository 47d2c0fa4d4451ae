"""Rental requests: durable under their names before they are sent, and until their machines are known."""

from __future__ import annotations

import logging
from collections.abc import Iterator

import msgspec

from poppyhold.durable.records import HireRecord
from poppyhold.durable.store import HIRE, Data, put, remove, stored_bytes
from poppyhold.machines.provisioning import Provisioning, Purchase
from poppyhold.machines.space import Space
from poppyhold.model.context import OK, REFUSED, CommitRank, Context
from poppyhold.model.fleet import Machine, room_of
from poppyhold.wire.messages import HireRequest, convert

log = logging.getLogger(__name__)


class Hire(msgspec.Struct, eq=False):
    """A rental request, durable under its name before it is sent."""

    name: str
    machine_type: str
    zone: str
    spot: bool
    number: int
    machines: list[str] | None = None
    busy: bool = False
    retry_at: float = 0.0


class Hires:
    """The rental requests of this term, and those that earlier leaders left."""

    def __init__(self, ctx: Context, provisioning: Provisioning) -> None:
        self._ctx, self._provisioning = ctx, provisioning
        self._hires: dict[str, Hire] = {}

    @property
    def busy(self) -> bool:
        """Whether a request is on its way."""
        return any(hire.busy for hire in self._hires.values())

    def spaces(self) -> Iterator[Space]:
        """Room of machines that were asked for and have no names yet."""
        for hire in self._hires.values():
            machine_type = self._ctx.machine_types.get(hire.machine_type)
            if hire.machines is None and machine_type is not None:
                for _ in range(hire.number):
                    yield Space(None, machine_type, hire.zone, hire.spot, room_of(machine_type))

    def load(self, name: str, data: Data) -> None:
        """A hire that an earlier leader made durable: repeat it if its machines aren't known."""
        record = convert(data, HireRecord)
        hire = Hire(name, record.machine_type, record.zone, record.spot, record.number, record.machines)
        self._hires[name] = hire
        if hire.machines is not None:
            self._expect(hire)

    def buy(self, purchase: Purchase) -> None:
        """Rent machines."""
        name = f"r-{self._ctx.number()}"
        hire = Hire(name, purchase.machine_type, purchase.zone, purchase.spot, purchase.number, busy=True)
        log.info("hire %s: %s", name, purchase)
        self._hires[name] = hire

        def durable(done: bool) -> None:
            if done:
                self._send(hire)
            else:
                self._hires.pop(name, None)

        # Machines boot for longer than anything else takes: behind the plans of a first backlog the first
        # requests of a fleet that began small waited for eleven seconds.
        self._ctx.edges.commit({}, [put(HIRE + name, self._data(hire))], durable, CommitRank.SOONEST)

    def _data(self, hire: Hire) -> Data:
        record = HireRecord(hire.machine_type, hire.zone, hire.spot, hire.number, hire.machines)
        data: Data = msgspec.to_builtins(record)
        if stored_bytes(data) <= self._ctx.settings.settings.state.lowest.value_bytes:
            return data
        # Without the names a next leader repeats the request, which rents nothing and names them again.
        nameless: Data = msgspec.to_builtins(msgspec.structs.replace(record, machines=None))
        return nameless

    def _send(self, hire: Hire) -> None:
        hire.busy = True
        request = HireRequest(hire.name, hire.machine_type, hire.zone, hire.spot, hire.number)

        def answered(outcome: str, names: list[str]) -> None:
            hire.busy = False
            now = self._ctx.clock()
            log.info("hire %s: %s, %d machines", hire.name, outcome, len(names))
            if outcome == OK:
                hire.machines = names
                self._ctx.edges.commit({}, [put(HIRE + hire.name, self._data(hire))], lambda done: None)
                self._expect(hire)
                if len(names) < hire.number:
                    self._refused(hire, now)
            elif outcome == REFUSED:
                # No capacity. If a copy of the request is carried out later after all, its machines
                # show up in the list and in reports, and are used or returned like any other.
                self._refused(hire, now)
                self._drop(hire)
            else:
                hire.retry_at = now + self._ctx.times.heartbeat_interval_s * 2

        self._ctx.edges.hire(msgspec.to_builtins(request), answered)

    def _refused(self, hire: Hire, now: float) -> None:
        until = now + self._ctx.times.lease_s
        self._provisioning.refuse(hire.machine_type, hire.zone, hire.spot, until)

    def _drop(self, hire: Hire) -> None:
        self._hires.pop(hire.name, None)
        self._ctx.edges.commit({}, [remove(HIRE + hire.name)], lambda done: None)

    def _expect(self, hire: Hire) -> None:
        """The machines of a hire are on their way."""
        machine_type = self._ctx.machine_types.get(hire.machine_type)
        now = self._ctx.clock()
        for name in hire.machines or []:
            if (
                machine_type is not None
                and name not in self._ctx.fleet.machines
                and name not in self._ctx.dead
            ):
                machine = Machine(name, machine_type, hire.zone, hire.spot, since=now)
                self._ctx.fleet.machines[name] = machine

    def settle(self) -> None:
        """Hires whose machines have all reported, or are gone, need no record any more."""
        now = self._ctx.clock()
        for hire in list(self._hires.values()):
            if hire.machines is None:
                if not hire.busy and hire.retry_at <= now:
                    self._send(hire)
            elif all(self._settled(name) for name in hire.machines):
                self._drop(hire)

    def _settled(self, name: str) -> bool:
        machine = self._ctx.fleet.machines.get(name)
        return machine is None or machine.recorded
