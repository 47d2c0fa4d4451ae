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
RankedMachine = tuple[float, int, Machine]


class FreeCapacityView:
    """The machines of a pass with their free room beside what is reserved, and a log of what changed."""

    def __init__(self) -> None:
        self.machines: dict[str, Machine] = {}
        self.reserved: dict[str, Resources] = {}
        self.zones: set[str] = set()
        # The machine's version and its reserved room, as they were looked at last.
        self._observed: dict[str, tuple[int, Resources | None]] = {}
        # Names of machines in the order in which they changed; how many were dropped from its beginning.
        self._change_log: list[str] = []
        self._dropped_from_log = 0

    def begin_cycle(self, machines: Iterable[Machine], reserved: dict[str, Resources]) -> None:
        """A new pass over these machines."""
        self.machines = {machine.name: machine for machine in machines}
        self.zones = {machine.zone for machine in self.machines.values()}
        self.reserved = reserved
        for name in self._observed.keys() - self.machines.keys():
            del self._observed[name]
            self._change_log.append(name)
        self.refresh_all()
        excess = len(self._change_log) - 4 * len(self.machines)
        if excess > 0:
            del self._change_log[:excess]
            self._dropped_from_log += excess

    def refresh_all(self) -> None:
        """More was reserved, or less: look at every machine."""
        for machine in self.machines.values():
            self._observe(machine)

    def refresh_machine(self, machine: Machine) -> None:
        """The room of a machine may have changed."""
        if machine.name in self.machines:
            self._observe(machine)

    def _observe(self, machine: Machine) -> None:
        state = machine.version, self.reserved.get(machine.name)
        if self._observed.get(machine.name) != state:
            self._observed[machine.name] = state
            self._change_log.append(machine.name)

    @property
    def log_position(self) -> int:
        """The present end of the log."""
        return self._dropped_from_log + len(self._change_log)

    def changed_since(self, mark: int) -> set[str] | None:
        """Names of the machines that changed behind a mark; None if the log does not go back so far."""
        return (
            set(self._change_log[mark - self._dropped_from_log :]) if mark >= self._dropped_from_log else None
        )


class Ranking:
    """The machines of a view with room for one kind of job, best first."""

    def __init__(self, view: FreeCapacityView, score: Score) -> None:
        self._view, self._score = view, score
        self._log_position = -1
        self._ranked: list[RankedMachine] = []
        self._ranked_by_name: dict[str, tuple[float, int]] = {}

    def update(self) -> None:
        """Look at the machines that changed since the last time, or at all if that is not known."""
        changes = self._view.changed_since(self._log_position)
        self._log_position = self._view.log_position
        if changes is None:
            self._score_all()
            return
        for name in changes:
            self._score_again(name)

    def _score_all(self) -> None:
        scores = ((self._score(machine), machine) for machine in self._view.machines.values())
        self._ranked = sorted(
            (found, machine.number, machine) for found, machine in scores if found is not None
        )
        self._ranked_by_name = {machine.name: (found, number) for found, number, machine in self._ranked}

    def _score_again(self, name: str) -> None:
        before = self._ranked_by_name.pop(name, None)
        if before is not None:
            del self._ranked[bisect.bisect_left(self._ranked, before)]
        machine = self._view.machines.get(name)
        found = self._score(machine) if machine is not None else None
        if machine is not None and found is not None:
            self._ranked_by_name[name] = found, machine.number
            bisect.insort(self._ranked, (found, machine.number, machine))

    def best(self, zones: Set[str], but: Set[str]) -> RankedMachine | None:
        """The best place in these zones, on none of the machines that are left out."""
        return next(
            (place for place in self._ranked if place[2].zone in zones and place[2].name not in but), None
        )


class RankingCache:
    """The rankings that were used last."""

    def __init__(self) -> None:
        self._rankings: OrderedDict[tuple[object, ...], Ranking] = OrderedDict()

    def clear(self) -> None:
        """Scores are no longer what they were."""
        self._rankings.clear()

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
        ranking = self._rankings.get(kind)
        if ranking is None:
            ranking = self._rankings[kind] = Ranking(view, score)
            if len(self._rankings) > _RANKINGS_KEPT:
                self._rankings.popitem(last=False)
        self._rankings.move_to_end(kind)
        ranking.update()
        return ranking
