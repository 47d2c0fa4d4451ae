"""State of one scheduling cycle: schedulable machines, reservations and infeasible requests."""

from __future__ import annotations

from typing import NamedTuple

from poppyhold.model.entities import Job, Machine
from poppyhold.model.resources import ACCELERATORS, CPUS, NO_RESOURCES, Resources, add_scaled
from poppyhold.scheduling.free_capacity import FreeCapacityView


class SchedulingKey(NamedTuple):
    """Everything but zones that decides whether a machine is found for a task of a job.

    Jobs with equal keys are equivalent: if one of them is infeasible in a cycle, all of them are.
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
    """Free capacity on the reliable machines, and on all machines if some are unreliable.

    The views are kept between cycles, as are the rankings computed from them.
    """

    def __init__(self) -> None:
        self.reliable, self._all = FreeCapacityView(), FreeCapacityView()
        self.views = [self.reliable]

    def begin(
        self, machines: list[Machine], reliable_machines: list[Machine], reserved: dict[str, Resources]
    ) -> None:
        """Begin a cycle, or the second half of one with other reservations."""
        self.reliable.begin_cycle(reliable_machines, reserved)
        self.views = [self.reliable]
        if len(reliable_machines) < len(machines):
            self._all.begin_cycle(machines, reserved)
            self.views.append(self._all)

    def refresh_all(self) -> None:
        """Check every machine for changes after reservations were added."""
        for view in self.views:
            view.refresh_all()

    def refresh_machine(self, machine: Machine) -> None:
        """Check a machine for changes after a task was started on it."""
        for view in self.views:
            view.refresh_machine(machine)


class CycleState:
    """Machines, reservations and results of one cycle. Free capacity only shrinks during a cycle.

    So once no machine is found for a task, none is searched for tasks with an equal key. Searching a full
    fleet of 200 machines for every pending task at every event delayed heartbeat responses until leases
    expired.
    """

    def __init__(
        self, machines: list[Machine], reliable_machines: list[Machine], unaccounted: Resources
    ) -> None:
        self.machines = machines
        # Machines that recently received their commands and are not suspected of causing failures.
        self.reliable_machines = reliable_machines
        # Resources that may be in use on machines whose tasks are not known.
        self.unaccounted = unaccounted
        self.zones = {machine.zone for machine in machines}
        # Scheduling keys for which no machine was found.
        self.infeasible: set[SchedulingKey] = set()
        # Teams whose remaining quota is reserved for a starved gang.
        self.reserved_teams: set[str] = set()
        # By machine name: resources reserved for starved gangs and relocating replicas.
        self.reserved: dict[str, Resources] = {}
        self._capacity = CapacityViews()

    @staticmethod
    def scheduling_key(job: Job, at_limit: bool, has_reservations: bool) -> SchedulingKey:
        """Return the key of a job; ``at_limit``: one more task would exceed the limit of its team."""
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
        """The capacity views that are in use."""
        return self._capacity

    def switch_capacity(self, capacity: CapacityViews, reserved: dict[str, Resources]) -> None:
        """Use these views from now on, with these reservations."""
        capacity.begin(self.machines, self.reliable_machines, reserved)
        self._capacity = capacity

    def in_use(self, used: list[float] | None) -> tuple[float, float]:
        """Return the CPUs and accelerators that count against a team's limit: used and unaccounted ones."""
        cpus, accelerators = used or (0.0, 0.0)
        return cpus + self.unaccounted[CPUS], accelerators + self.unaccounted[ACCELERATORS]


def reserve(reserved: dict[str, Resources], machine: str, resources: Resources) -> None:
    """Add resources to the reservation on a machine."""
    reserved[machine] = add_scaled(reserved.get(machine, NO_RESOURCES), resources)
