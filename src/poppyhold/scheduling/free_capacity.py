"""Machines with free room, ranked by kind of job and kept from one pass to the next.

Each job that waited once looked at every machine in every pass. With 4,000 machines that had room a search
took 30 ms, so that a pass came to ten jobs and the fleet started nine tasks a second. Jobs alike now share a
ranking, and of it only the machines whose room has changed are looked at again.
"""

from __future__ import annotations

import bisect
from collections import OrderedDict
from collections.abc import Callable, Iterable, Set

from poppyhold.model.entities import Job, Machine
from poppyhold.model.resources import Resources

# Rankings that are kept; each holds an entry for every machine with room for its kind of job.
_RANKINGS_KEPT = 32

# The score of a machine for any job of a kind, lower is better; None if it has no room.
Score = Callable[[Machine], float | None]
# A score, the machine's number to tell equals apart, and the machine.
Place = tuple[float, int, Machine]


class FreeCapacityView:
    """The machines of a pass with their free room beside what is reserved, and a log of what changed."""

    def __init__(self) -> None:
        self.machines: dict[str, Machine] = {}
        self.reserved: dict[str, Resources] = {}
        self.zones: set[str] = set()
        # The machine's version and its reserved room, as they were looked at last.
        self._seen: dict[str, tuple[int, Resources | None]] = {}
        # Names of machines in the order in which they changed; how many were dropped from its beginning.
        self._log: list[str] = []
        self._dropped = 0

    def begin(self, machines: Iterable[Machine], reserved: dict[str, Resources]) -> None:
        """A new pass over these machines."""
        self.machines = {machine.name: machine for machine in machines}
        self.zones = {machine.zone for machine in self.machines.values()}
        self.reserved = reserved
        for name in self._seen.keys() - self.machines.keys():
            del self._seen[name]
            self._log.append(name)
        self.refresh()
        excess = len(self._log) - 4 * len(self.machines)
        if excess > 0:
            del self._log[:excess]
            self._dropped += excess

    def refresh(self) -> None:
        """More was reserved, or less: look at every machine."""
        for machine in self.machines.values():
            self._look_at(machine)

    def changed(self, machine: Machine) -> None:
        """The room of a machine may have changed."""
        if machine.name in self.machines:
            self._look_at(machine)

    def _look_at(self, machine: Machine) -> None:
        state = machine.version, self.reserved.get(machine.name)
        if self._seen.get(machine.name) != state:
            self._seen[machine.name] = state
            self._log.append(machine.name)

    @property
    def mark(self) -> int:
        """The present end of the log."""
        return self._dropped + len(self._log)

    def changes(self, mark: int) -> set[str] | None:
        """Names of the machines that changed behind a mark; None if the log does not go back so far."""
        return set(self._log[mark - self._dropped :]) if mark >= self._dropped else None


class Ranking:
    """The machines of a view with room for one kind of job, best first."""

    def __init__(self, view: FreeCapacityView, score: Score) -> None:
        self._view, self._score = view, score
        self._mark = -1
        self._places: list[Place] = []
        self._known: dict[str, tuple[float, int]] = {}

    def update(self) -> None:
        """Look at the machines that changed since the last time, or at all if that is not known."""
        changes = self._view.changes(self._mark)
        self._mark = self._view.mark
        if changes is None:
            self._rank_all()
            return
        for name in changes:
            self._rank(name)

    def _rank_all(self) -> None:
        scores = ((self._score(machine), machine) for machine in self._view.machines.values())
        self._places = sorted(
            (found, machine.number, machine) for found, machine in scores if found is not None
        )
        self._known = {machine.name: (found, number) for found, number, machine in self._places}

    def _rank(self, name: str) -> None:
        before = self._known.pop(name, None)
        if before is not None:
            del self._places[bisect.bisect_left(self._places, before)]
        machine = self._view.machines.get(name)
        found = self._score(machine) if machine is not None else None
        if machine is not None and found is not None:
            self._known[name] = found, machine.number
            bisect.insort(self._places, (found, machine.number, machine))

    def best(self, zones: Set[str], but: Set[str]) -> Place | None:
        """The best place in these zones, on none of the machines that are left out."""
        return next(
            (place for place in self._places if place[2].zone in zones and place[2].name not in but), None
        )


class Rankings:
    """The rankings that were used last."""

    def __init__(self) -> None:
        self._kept: OrderedDict[tuple[object, ...], Ranking] = OrderedDict()

    def clear(self) -> None:
        """Scores are no longer what they were."""
        self._kept.clear()

    def ranking(self, view: FreeCapacityView, job: Job, score: Score) -> Ranking:
        """The up-to-date ranking for jobs like this one."""
        spec = job.spec
        machine_types = None if spec.machine_types is None else tuple(spec.machine_types)
        kind = (
            id(view),
            job.task_resources,
            spec.image,
            spec.image_gb,
            spec.job_class,
            machine_types,
            spec.zone,
            spec.spot,
        )
        ranking = self._kept.get(kind)
        if ranking is None:
            ranking = self._kept[kind] = Ranking(view, score)
            if len(self._kept) > _RANKINGS_KEPT:
                self._kept.popitem(last=False)
        self._kept.move_to_end(kind)
        ranking.update()
        return ranking
