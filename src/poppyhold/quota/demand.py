"""What a cell could use of its teams' limits beyond its shares, and what it keeps of them for itself."""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping
from typing import NamedTuple

import msgspec

from poppyhold.model.constraints import allowed_machine_types
from poppyhold.model.context import Context
from poppyhold.model.entities import Job, JobPhase
from poppyhold.model.resources import EPSILON, Resources, max_copies
from poppyhold.quota.amounts import UNIT, ResourceAmount, ResourceShare, TeamShare, to_units
from poppyhold.quota.hold_times import HoldTimes
from poppyhold.quota.messages import Want
from poppyhold.scheduling.placement import may_use
from poppyhold.wire.user_messages import Submission


class RecentPeak:
    """The highest value of late: of the window that runs and of the one before it."""

    def __init__(self) -> None:
        self._began_at = float("-inf")
        self._before = self._now = 0

    def note(self, value: int, now: float, window_s: float) -> int:
        """Take a value and return the peak; windows may be longer or shorter from one value to the next."""
        passed = now - self._began_at
        if passed >= window_s:
            self._before = self._now if passed < 2 * window_s else 0
            self._now = 0
            self._began_at = now
        self._now = max(self._now, value)
        return max(self._now, self._before)


class Missing(NamedTuple):
    """What work lacks of one resource: of the guarantee, and of the limit in all."""

    guaranteed: int
    limit: int


class ResourceDemand(msgspec.Struct):
    """One resource of one team, in thousandths."""

    # What runs for all that is known, and all that may run, unheard machines included.
    used: int = 0
    may_run: int = 0
    # What waits and some machine type fits; and of that, what fits machines that are held or can be rented.
    waiting: int = 0
    startable: int = 0
    # The most that was in use of late.
    peak: int = 0

    def kept(self, waiting: int, is_stuck: bool) -> int:
        """What the cell keeps for itself: what may run, what of the waiting work counts, and use of late."""
        return max(self.may_run if is_stuck else self.may_run + waiting, self.peak)

    def spare(self, share: ResourceShare, is_stuck: bool) -> ResourceAmount:
        """What can be given away of a share."""
        # Work that has no room here could not use more of the limit now; a guarantee makes room.
        kept, kept_guaranteed = self.kept(self.startable, is_stuck), self.kept(self.waiting, is_stuck)
        idle = math.inf if share.limit is None else max(0, share.limit - kept)
        guaranteed = int(min(max(0, share.guaranteed - kept_guaranteed), idle))
        return ResourceAmount(guaranteed, int(min(share.borrowable or 0, idle - guaranteed)))

    def missing(self, share: ResourceShare, whole: ResourceShare) -> Missing:
        """What the waiting work lacks."""
        guaranteed = min(self.used + self.waiting, whole.guaranteed) - share.guaranteed
        limit = 0 if share.limit is None else self.used + self.startable - share.limit
        return Missing(max(0, guaranteed) if self.waiting else 0, max(0, limit) if self.startable else 0)

    def waits_beside(self, share: ResourceShare) -> bool:
        """Whether work waits though some of the share is idle."""
        return self.waiting > 0 and share.limit is not None and share.limit > self.may_run


class TeamDemand(msgspec.Struct):
    """Both resources of one team."""

    cpus: ResourceDemand = msgspec.field(default_factory=ResourceDemand)
    accelerators: ResourceDemand = msgspec.field(default_factory=ResourceDemand)
    # Work waits though there is a share for some of it, as for a gang that needs more than there is.
    is_stuck: bool = False

    def want(self, team: str, share: TeamShare, whole: TeamShare) -> Want | None:
        """What to ask other cells for; None: nothing."""
        cpus = self.cpus.missing(share.cpus, whole.cpus)
        accelerators = self.accelerators.missing(share.accelerators, whole.accelerators)
        want = Want(team, cpus.guaranteed, cpus.limit, accelerators.guaranteed, accelerators.limit)
        return None if want.is_nothing else want


def _units_above(amount: float) -> int:
    """Thousandths, rounded up but for what adding floats leaves."""
    return math.ceil(amount * UNIT - EPSILON)


class _Progress(msgspec.Struct):
    """Since when a team's work waits beside an idle share without a start."""

    used: float
    since: float


class DemandMonitor:
    """Looks at what runs and waits, team by team."""

    def __init__(
        self,
        ctx: Context,
        keep_s: float,
        holds: HoldTimes,
        unknown_use: Callable[[], Resources],
        can_rent: Callable[[Submission], bool],
    ) -> None:
        """``unknown_use`` is what machines that were not heard may run; it counts for every team."""
        self._ctx, self._keep_s, self._holds = ctx, keep_s, holds
        self._unknown_use, self._can_rent = unknown_use, can_rent
        self._peaks: dict[str, tuple[RecentPeak, RecentPeak]] = {}
        self._progress: dict[str, _Progress] = {}

    def count_may_run(self, demands: Mapping[str, TeamDemand]) -> None:
        """Note what the teams' tasks may use at this very moment, the unheard machines' room included."""
        unknown = self._unknown_use()
        for team, demand in demands.items():
            used = self._ctx.fleet.used_by_team.get(team, [0.0, 0.0])
            demand.cpus.may_run = _units_above(used[0] + unknown[0])
            demand.accelerators.may_run = _units_above(used[1] + unknown[1])

    def look(self, teams: dict[str, TeamShare]) -> dict[str, TeamDemand]:
        """The demand of every team that has a share."""
        now = self._ctx.clock()
        demands = {team: TeamDemand() for team in teams}
        self.count_may_run(demands)
        for team, demand in demands.items():
            self._note_use(team, demand, now)
        self._add_waiting(demands)
        for team, demand in demands.items():
            demand.is_stuck = self._is_stuck(team, demand, teams[team], now)
        return demands

    def _note_use(self, team: str, demand: TeamDemand, now: float) -> None:
        if team not in self._peaks:
            self._peaks[team] = RecentPeak(), RecentPeak()
        used = self._ctx.fleet.used_by_team.get(team, [0.0, 0.0])
        cpus, accelerators = self._peaks[team]
        # Peaks reach back by half to a whole hold.
        window_s = self._holds.seconds(team, now) / 2
        demand.cpus.used, demand.accelerators.used = to_units(used[0]), to_units(used[1])
        demand.cpus.peak = cpus.note(demand.cpus.used, now, window_s)
        demand.accelerators.peak = accelerators.note(demand.accelerators.used, now, window_s)

    def _add_waiting(self, demands: dict[str, TeamDemand]) -> None:
        rooms = _Rooms(self._ctx, self._can_rent)
        jobs = self._ctx.fleet.jobs.values()
        for job in sorted(jobs, key=lambda job: (job.priority, job.submitted_at)):
            demand = demands.get(job.spec.team)
            if (
                demand is None
                or job.pending <= 0
                or job.phase is not JobPhase.ACTIVE
                or job.failures.at_fault
            ):
                continue
            tasks = job.startable(job.pending)
            if not tasks or not rooms.ever_fits(job):
                continue
            startable = rooms.take(job, tasks)
            demand.cpus.waiting += to_units(job.task_resources[0] * tasks)
            demand.cpus.startable += to_units(job.task_resources[0] * startable)
            demand.accelerators.waiting += to_units(job.task_resources[1] * tasks)
            demand.accelerators.startable += to_units(job.task_resources[1] * startable)

    def _is_stuck(self, team: str, demand: TeamDemand, share: TeamShare, now: float) -> bool:
        """Whether work has waited for a while beside an idle share: others may use that.

        Two cells that each hold half of what a gang needs would otherwise keep their halves for ever.
        """
        used = sum(self._ctx.fleet.used_by_team.get(team, [0.0, 0.0]))
        progress = self._progress.setdefault(team, _Progress(used, now))
        waits = demand.accelerators.waits_beside(share.accelerators) or demand.cpus.waits_beside(share.cpus)
        if not waits or used != progress.used:
            progress.used, progress.since = used, now
        return now - progress.since > self._keep_s


class _Rooms:
    """Room for waiting tasks: on machines that are held, else on those that can be rented."""

    def __init__(self, ctx: Context, can_rent: Callable[[Submission], bool]) -> None:
        self._ctx, self._can_rent = ctx, can_rent
        self._fits: dict[tuple[object, ...], bool] = {}
        self._left: dict[tuple[object, ...], int] = {}

    @staticmethod
    def _kind(job: Job) -> tuple[object, ...]:
        types = job.spec.machine_types
        return job.task_resources, None if types is None else tuple(types), job.spec.zone, job.spec.spot

    def ever_fits(self, job: Job) -> bool:
        """Whether some machine type fits."""
        kind = self._kind(job)
        if kind not in self._fits:
            self._fits[kind] = bool(allowed_machine_types(job.spec, self._ctx.machine_types.values()))
        return self._fits[kind]

    def take(self, job: Job, tasks: int) -> int:
        """How many of so many tasks have room; those of a gang all or none."""
        kind = self._kind(job)
        if kind not in self._left:
            self._left[kind] = self._count(job)
        found = min(tasks, self._left[kind])
        if found < tasks and self._can_rent(job.spec):
            found = tasks
        elif job.is_gang and found < tasks:
            return 0
        self._left[kind] -= min(found, self._left[kind])
        return found

    def _count(self, job: Job) -> int:
        """Tasks that held machines have room for, a bounded number."""
        count, most = 0, self._ctx.settings.settings.machine_limits.machines
        for machine in self._ctx.fleet.machines.values():
            gone = machine.quarantined or machine.draining or machine.deleting
            if gone or machine.preempted_at is not None or not may_use(job, machine):
                continue
            count += max_copies(job.task_resources, machine.free, most - count)
            if count >= most:
                break
        return count
