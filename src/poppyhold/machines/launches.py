"""Launch requests, durable from before they are sent until their machines are recorded or gone."""

from __future__ import annotations

import logging
from collections.abc import Iterator

import msgspec

from poppyhold.durable.changes import Data, Delete, Put
from poppyhold.durable.keys import LAUNCH_PREFIX
from poppyhold.durable.records import LaunchRecord
from poppyhold.durable.store import stored_bytes
from poppyhold.machines.provisioning import LaunchSpec, MachineKind, Provisioning
from poppyhold.machines.supply_and_demand import CapacitySlot
from poppyhold.model.context import Context
from poppyhold.model.entities import Machine, RecordState
from poppyhold.model.outbound import CommitPriority
from poppyhold.model.outcome import RequestOutcome
from poppyhold.model.resources import machine_type_capacity
from poppyhold.wire.cloud_messages import LaunchRequest
from poppyhold.wire.codec import convert

log = logging.getLogger(__name__)

# Heartbeat intervals after which a request with an unknown outcome is retried.
_RETRY_INTERVALS = 2


class Launch(msgspec.Struct, eq=False):
    """A launch request, durable before it is sent; the cloud executes requests of one name once."""

    name: str
    machine_type: str
    zone: str
    spot: bool
    count: int
    # The machines' names, once the cloud has returned them.
    machine_names: list[str] | None = None
    in_flight: bool = False
    retry_at: float = 0.0

    @property
    def kind(self) -> MachineKind:
        """The kind of machine that it requests."""
        return MachineKind(self.machine_type, self.zone, self.spot)


class Launches:
    """The launch requests of this term, and unfinished ones of earlier leaders."""

    def __init__(self, ctx: Context, provisioning: Provisioning) -> None:
        self._ctx, self._provisioning = ctx, provisioning
        self._launches: dict[str, Launch] = {}

    @property
    def in_flight(self) -> bool:
        """Whether any request awaits its response."""
        return any(launch.in_flight for launch in self._launches.values())

    def expected_capacity(self) -> Iterator[CapacitySlot]:
        """Yield the capacity of requested machines that have no names yet."""
        for launch in self._launches.values():
            machine_type = self._ctx.machine_types.get(launch.machine_type)
            if launch.machine_names is None and machine_type is not None:
                for _ in range(launch.count):
                    yield CapacitySlot(
                        None, machine_type, launch.zone, launch.spot, machine_type_capacity(machine_type)
                    )

    def load(self, name: str, data: Data) -> None:
        """Load a launch that an earlier leader made durable; it is retried if its machines aren't known."""
        record = convert(data, LaunchRecord)
        launch = Launch(name, record.machine_type, record.zone, record.spot, record.number, record.machines)
        self._launches[name] = launch
        if launch.machine_names is not None:
            self._add_machines(launch)

    def request(self, spec: LaunchSpec) -> None:
        """Launch machines, once the request is durable."""
        name = f"r-{self._ctx.next_unique_number()}"
        launch = Launch(name, spec.machine_type, spec.zone, spec.spot, spec.machine_count, in_flight=True)
        log.info(
            "launch requested: launch=%s machine_type=%s zone=%s spot=%s count=%d",
            name,
            spec.machine_type,
            spec.zone,
            spec.spot,
            spec.machine_count,
        )
        self._launches[name] = launch

        def on_committed(is_durable: bool) -> None:
            if is_durable:
                self._send_request(launch)
            else:
                self._launches.pop(name, None)

        # Highest priority, as boots take longest: behind the plans of an initial backlog, the first launch
        # requests of a fleet that began small waited for eleven seconds.
        self._ctx.outbound.commit(
            {}, [Put(LAUNCH_PREFIX + name, self._record(launch))], on_committed, CommitPriority.HIGHEST
        )

    def _record(self, launch: Launch) -> Data:
        record = LaunchRecord(
            launch.machine_type, launch.zone, launch.spot, launch.count, launch.machine_names
        )
        data: Data = msgspec.to_builtins(record)
        if stored_bytes(data) <= self._ctx.settings.deployment.state.lowest.value_bytes:
            return data
        # Without the names, the next leader retries the request, which launches nothing and returns them.
        without_names: Data = msgspec.to_builtins(msgspec.structs.replace(record, machines=None))
        return without_names

    def _send_request(self, launch: Launch) -> None:
        launch.in_flight = True
        request = LaunchRequest(launch.name, launch.machine_type, launch.zone, launch.spot, launch.count)

        def on_response(outcome: RequestOutcome, names: list[str]) -> None:
            launch.in_flight = False
            self._handle_response(launch, outcome, names)

        self._ctx.outbound.launch_machines(msgspec.to_builtins(request), on_response)

    def _handle_response(self, launch: Launch, outcome: RequestOutcome, names: list[str]) -> None:
        now = self._ctx.clock()
        log.info("launch response: launch=%s outcome=%s machines=%d", launch.name, outcome.value, len(names))
        if outcome == RequestOutcome.OK:
            launch.machine_names = names
            self._ctx.outbound.commit(
                {}, [Put(LAUNCH_PREFIX + launch.name, self._record(launch))], lambda done: None
            )
            self._add_machines(launch)
            if len(names) < launch.count:
                self._block_kind(launch, now)
        elif outcome == RequestOutcome.REJECTED:
            # No capacity. If a duplicate of the request is executed later, its machines appear in the list
            # and in heartbeats, and are used or scaled in like any other.
            self._block_kind(launch, now)
            self._discard(launch)
        else:
            launch.retry_at = now + self._ctx.durations.heartbeat_interval_s * _RETRY_INTERVALS

    def _block_kind(self, launch: Launch, now: float) -> None:
        """Request no more machines of a kind that the cloud lacks, for one lease duration."""
        self._provisioning.block(launch.kind, now + self._ctx.durations.lease_s)

    def _discard(self, launch: Launch) -> None:
        self._launches.pop(launch.name, None)
        self._ctx.outbound.commit({}, [Delete(LAUNCH_PREFIX + launch.name)], lambda done: None)

    def _add_machines(self, launch: Launch) -> None:
        """Add the booting machines of a launch to the fleet."""
        machine_type = self._ctx.machine_types.get(launch.machine_type)
        now = self._ctx.clock()
        for name in launch.machine_names or []:
            if (
                machine_type is not None
                and name not in self._ctx.fleet.machines
                and name not in self._ctx.deleted_at
            ):
                machine = Machine(name, machine_type, launch.zone, launch.spot, estimated_launch_at=now)
                self._ctx.fleet.machines[name] = machine

    def reconcile(self) -> None:
        """Retry requests without an outcome, and discard those whose machines are all recorded or gone."""
        now = self._ctx.clock()
        for launch in list(self._launches.values()):
            if launch.machine_names is None:
                if not launch.in_flight and launch.retry_at <= now:
                    self._send_request(launch)
            elif all(self._is_recorded_or_gone(name) for name in launch.machine_names):
                self._discard(launch)

    def _is_recorded_or_gone(self, name: str) -> bool:
        machine = self._ctx.fleet.machines.get(name)
        return machine is None or machine.record_state is RecordState.DURABLE
