"""Machines with free capacity, ranked by their scores for jobs; rankings are kept between scheduling cycles.

Jobs with equal ranking keys share a ranking, and only machines whose free capacity has changed are scored
again. Scoring every machine for each waiting job took 30 ms a job with 4,000 machines that had free capacity,
so that a cycle reached ten jobs and the fleet started nine tasks a second.
"""

from __future__ import annotations

import bisect
from collections import OrderedDict
from collections.abc import Callable, Iterable, Set
from typing import NamedTuple

from poppyhold.model.entities import Job, Machine
from poppyhold.model.resources import Resources

# Maximum number of cached rankings; each has an entry for every machine on which a task fits.
_MAX_RANKINGS = 32
# Maximum length of the change log, in entries per machine.
_LOG_ENTRIES_PER_MACHINE = 4

# Returns the score of a machine for jobs with one ranking key, lower is better; None if no task fits.
ScoreFunction = Callable[[Machine], float | None]


class RankedMachine(NamedTuple):
    """A machine with its score; its number breaks ties."""

    score: float
    number: int
    machine: Machine


class FreeCapacityView:
    """The machines of a cycle, the reservations on them, and a log of changes to their free capacity."""

    def __init__(self) -> None:
        self.machines: dict[str, Machine] = {}
        self.reserved: dict[str, Resources] = {}
        self.zones: set[str] = set()
        # By machine name: its version and the reservation on it when they were last checked.
        self._observed: dict[str, tuple[int, Resources | None]] = {}
        # Names of machines in the order of their changes, and the number of entries dropped from the start.
        self._change_log: list[str] = []
        self._dropped_from_log = 0

    def begin_cycle(self, machines: Iterable[Machine], reserved: dict[str, Resources]) -> None:
        """Begin a scheduling cycle, or a half of one, over these machines."""
        self.machines = {machine.name: machine for machine in machines}
        self.zones = {machine.zone for machine in self.machines.values()}
        self.reserved = reserved
        for name in self._observed.keys() - self.machines.keys():
            del self._observed[name]
            self._change_log.append(name)
        self.refresh_all()
        excess = len(self._change_log) - _LOG_ENTRIES_PER_MACHINE * len(self.machines)
        if excess > 0:
            del self._change_log[:excess]
            self._dropped_from_log += excess

    def refresh_all(self) -> None:
        """Check every machine for changes after reservations changed."""
        for machine in self.machines.values():
            self._observe(machine)

    def refresh_machine(self, machine: Machine) -> None:
        """Check a machine for changes to its free capacity."""
        if machine.name in self.machines:
            self._observe(machine)

    def _observe(self, machine: Machine) -> None:
        state = machine.version, self.reserved.get(machine.name)
        if self._observed.get(machine.name) != state:
            self._observed[machine.name] = state
            self._change_log.append(machine.name)

    @property
    def log_position(self) -> int:
        """The position after the last entry of the change log."""
        return self._dropped_from_log + len(self._change_log)

    def changed_since(self, position: int) -> set[str] | None:
        """Return the names of machines that changed since a position; None if the log no longer covers it."""
        if position < self._dropped_from_log:
            return None
        return set(self._change_log[position - self._dropped_from_log :])


class Ranking:
    """The machines of a view on which a task of jobs with one ranking key fits, ordered by score."""

    def __init__(self, view: FreeCapacityView, score: ScoreFunction) -> None:
        self._view, self._score = view, score
        self._log_position = -1
        self._ranked: list[RankedMachine] = []
        self._ranked_by_name: dict[str, RankedMachine] = {}

    def update(self) -> None:
        """Rescore the machines that changed since the last update, or all if the log no longer covers it."""
        changes = self._view.changed_since(self._log_position)
        self._log_position = self._view.log_position
        if changes is None:
            self._score_all()
            return
        for name in changes:
            self._rescore(name)

    def _score_all(self) -> None:
        scores = ((self._score(machine), machine) for machine in self._view.machines.values())
        self._ranked = sorted(
            RankedMachine(score, machine.number, machine) for score, machine in scores if score is not None
        )
        self._ranked_by_name = {ranked.machine.name: ranked for ranked in self._ranked}

    def _rescore(self, name: str) -> None:
        previous = self._ranked_by_name.pop(name, None)
        if previous is not None:
            del self._ranked[bisect.bisect_left(self._ranked, previous)]
        machine = self._view.machines.get(name)
        score = self._score(machine) if machine is not None else None
        if machine is not None and score is not None:
            ranked = self._ranked_by_name[name] = RankedMachine(score, machine.number, machine)
            bisect.insort(self._ranked, ranked)

    def best(self, zones: Set[str], excluded: Set[str]) -> RankedMachine | None:
        """Return the best machine in these zones that is not excluded, if any."""
        return next(
            (
                ranked
                for ranked in self._ranked
                if ranked.machine.zone in zones and ranked.machine.name not in excluded
            ),
            None,
        )


class _RankingKey(NamedTuple):
    """Everything that decides scores: jobs with equal keys share a ranking of a view."""

    view: int
    task_resources: Resources
    image: str
    image_gb: float
    job_class: str
    machine_types: tuple[str, ...] | None
    zone: str | None
    spot: bool


class RankingCache:
    """The most recently used rankings."""

    def __init__(self) -> None:
        self._rankings: OrderedDict[_RankingKey, Ranking] = OrderedDict()

    def clear(self) -> None:
        """Drop all rankings, after a change that affects every score."""
        self._rankings.clear()

    def ranking(self, view: FreeCapacityView, job: Job, score: ScoreFunction) -> Ranking:
        """Return the up-to-date ranking for jobs with the ranking key of this one."""
        spec = job.spec
        machine_types = None if spec.machine_types is None else tuple(spec.machine_types)
        key = _RankingKey(
            id(view),
            job.task_resources,
            spec.image,
            spec.image_gb,
            spec.job_class,
            machine_types,
            spec.zone,
            spec.spot,
        )
        ranking = self._rankings.get(key)
        if ranking is None:
            ranking = self._rankings[key] = Ranking(view, score)
            if len(self._rankings) > _MAX_RANKINGS:
                self._rankings.popitem(last=False)
        self._rankings.move_to_end(key)
        ranking.update()
        return ranking
