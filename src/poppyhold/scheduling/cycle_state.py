"""One scheduling cycle: the machines that tasks may start on, and what the cycle has found out so far."""

from __future__ import annotations

from typing import NamedTuple

from poppyhold.model.entities import Job, Machine
from poppyhold.model.resources import ACCELERATORS, CPUS, NO_RESOURCES, Resources, add_scaled
from poppyhold.scheduling.free_capacity import FreeCapacityView


class SchedulingKey(NamedTuple):
    """All that decides whether a machine is found for a task of a job, zones aside.

    Jobs with equal keys are equivalent: what one of them can't get, none of them gets in the same cycle.
    """

    task_resources: Resources
    machine_types: tuple[str, ...] | None
    zone: str | None
    spot: bool
    team: str
    priority: int
    within_guarantee: bool
    at_limit: bool
    has_reservations: bool


class CapacityViews:
    """Free capacity on the reliable machines, and on all machines where some are not reliable.

    The views are kept from one cycle to the next, as the rankings that are made from them.
    """

    def __init__(self) -> None:
        self.reliable, self._all = FreeCapacityView(), FreeCapacityView()
        self.views = [self.reliable]

    def begin(
        self, machines: list[Machine], reliable_machines: list[Machine], reserved: dict[str, Resources]
    ) -> None:
        """Begin a cycle, or the part of one that leaves more capacity reserved."""
        self.reliable.begin_cycle(reliable_machines, reserved)
        self.views = [self.reliable]
        if len(reliable_machines) < len(machines):
            self._all.begin_cycle(machines, reserved)
            self.views.append(self._all)

    def refresh_all(self) -> None:
        """Look at every machine again after more was reserved."""
        for view in self.views:
            view.refresh_all()

    def refresh_machine(self, machine: Machine) -> None:
        """Look at a machine again after a task was started on it."""
        for view in self.views:
            view.refresh_machine(machine)


class CycleState:
    """What one cycle over the jobs that wait goes by. Free capacity only shrinks during a cycle.

    So once no machine is found for a task, equivalent ones are not searched for again. Without this, a full
    fleet of 200 machines was searched for every waiting task at every event, and heartbeats were answered so
    late that leases expired.
    """

    def __init__(
        self, machines: list[Machine], reliable_machines: list[Machine], unaccounted: Resources
    ) -> None:
        self.machines = machines
        # Those that received our commands lately, and are not suspected to be at fault.
        self.reliable_machines = reliable_machines
        # What may be in use on machines whose tasks are not known.
        self.unaccounted = unaccounted
        self.zones = {machine.zone for machine in machines}
        # Scheduling keys for which no machine was found.
        self.infeasible: set[SchedulingKey] = set()
        # Teams whose remaining quota is reserved for a gang that has waited long.
        self.reserved_teams: set[str] = set()
        # Resources by machine that are reserved for such gangs, and for replicas that move.
        self.reserved: dict[str, Resources] = {}
        self._capacity = CapacityViews()

    @staticmethod
    def scheduling_key(job: Job, at_limit: bool, has_reservations: bool) -> SchedulingKey:
        """The key of a job whose team is ``at_limit`` or not, with or without capacity that is reserved."""
        spec = job.spec
        return SchedulingKey(
            job.task_resources,
            None if spec.machine_types is None else tuple(spec.machine_types),
            spec.zone,
            spec.spot,
            spec.team,
            job.priority,
            job.within_guarantee,
            at_limit,
            has_reservations,
        )

    @property
    def capacity(self) -> CapacityViews:
        """The views that starts go by at present."""
        return self._capacity

    def switch_capacity(self, capacity: CapacityViews, reserved: dict[str, Resources]) -> None:
        """From now on, starts go by what is free after these reservations."""
        capacity.begin(self.machines, self.reliable_machines, reserved)
        self._capacity = capacity

    def in_use(self, used: list[float] | None) -> tuple[float, float]:
        """What counts against the limit of a team that uses this: that, and what is not known."""
        cpus, accelerators = used or (0.0, 0.0)
        return cpus + self.unaccounted[CPUS], accelerators + self.unaccounted[ACCELERATORS]


def reserve(reserved: dict[str, Resources], machine: str, resources: Resources) -> None:
    """Reserve more of a machine."""
    reserved[machine] = add_scaled(reserved.get(machine, NO_RESOURCES), resources)
