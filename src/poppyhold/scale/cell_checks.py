"""Checks over all cells: teams' limits, time below a guarantee, and whether the stored allocations add up."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Sequence
from typing import NamedTuple

from poppyhold.durable.keys import QUOTA_PREFIX
from poppyhold.quota.amounts import from_thousandths
from poppyhold.quota.consistency import problems, transfers_in_transit
from poppyhold.quota.messages import CellView, PeerView, TeamView
from poppyhold.quota.records import (
    ALLOCATION_PREFIX,
    IDENTITY_KEY,
    PEER_PREFIX,
    AllocationRecord,
    IdentityRecord,
    PeerRecord,
)
from poppyhold.scale.cell_history import CellHistory, CellSample, LimitUse
from poppyhold.scale.cell_links import CellNetwork
from poppyhold.scale.checks import RuleChecks
from poppyhold.scale.run import ScaleRun
from poppyhold.scale.state_standin import StateStandIn
from poppyhold.scale.violations import RuleViolations
from poppyhold.wire.codec import convert

# In accelerators; absorbs rounding of floats.
_TOLERANCE = 1e-6
_MAX_PAGE_ENTRIES = 1000
_SAMPLE_INTERVAL_S = 1.0


class GuaranteeBound(NamedTuple):
    """Guarantees in accelerators by team, and how long a team may stay below its own while its jobs wait.

    A job waits if none of its tasks has started and its cell has capacity for a task of one accelerator.
    """

    seconds: float
    guarantees: dict[str, float]


def stored_view(state: StateStandIn) -> CellView:
    """A cell's allocations as stored in its state service."""
    entries = state.scan(QUOTA_PREFIX, "", _MAX_PAGE_ENTRIES)[1]["entries"]
    cell = incarnation = ""
    teams, peers = [], []
    for entry in entries:
        key, data = entry["key"], entry["data"]
        if key == IDENTITY_KEY:
            identity = convert(data, IdentityRecord)
            cell, incarnation = identity.cell, identity.incarnation
        elif key.startswith(ALLOCATION_PREFIX):
            record = convert(data, AllocationRecord)
            teams.append(TeamView(record.team, record.allocation, record.total))
        elif key.startswith(PEER_PREFIX):
            peer = convert(data, PeerRecord)
            peers.append(
                PeerView(key.removeprefix(PEER_PREFIX), peer.last_sent, peer.last_applied, peer.in_transit)
            )
    return CellView(cell, incarnation, teams, peers)


class CellChecks:
    """Checks the rules over all cells, at each task start and periodically; any violation fails the run."""

    def __init__(
        self,
        runs: Sequence[ScaleRun],
        limits: dict[str, float],
        bound: GuaranteeBound,
        network: CellNetwork,
        clock: Callable[[], float],
    ) -> None:
        self._runs, self._limits, self._guarantee_bound = runs, limits, bound
        self._network, self._clock = network, clock
        self.violations = RuleViolations()
        # Until this time an injected fault may delay transfers, so guarantees are not checked.
        self.guarantees_unchecked_until = float("-inf")
        self._below_guarantee_since: dict[str, float] = {}
        self.longest_below_guarantee_s = 0.0
        self._allocations_complete = False
        self.use_links_up, self.use_links_cut = LimitUse(), LimitUse()
        self.links_cut_s = 0.0
        self._previous_check_at: float | None = None
        self.history = CellHistory(_SAMPLE_INTERVAL_S)

    def clear(self) -> None:
        """Reset the use of limits, the time with cut links and the samples when the measured time starts."""
        self.use_links_up, self.use_links_cut = LimitUse(), LimitUse()
        self.links_cut_s = 0.0
        self.history.begin(self._clock())

    def on_task_started(self) -> None:
        """Check the limits at the start of a task in any cell."""
        if all(amount <= self._limits[team] + _TOLERANCE for team, amount in self._used().items()):
            return
        # `_used` includes tasks that ended since the last count, so count again before reporting a violation.
        for run in self._runs:
            run.checks.count()
        self._check_limits(self._used())

    def _used(self) -> Counter[str]:
        """Accelerators in use in all cells, by team: upper bounds, exact just after a count."""
        used: Counter[str] = Counter()
        for run in self._runs:
            used.update(run.checks.used)
        return used

    def _check_limits(self, used: Counter[str]) -> None:
        for team, amount in used.items():
            if amount > self._limits[team] + _TOLERANCE:
                self.violations.add(
                    f"quota over all cells: {team} uses {amount:g} accelerators, "
                    f"above its limit of {self._limits[team]:g}"
                )

    def check(self) -> None:
        """Check all rules once and record a sample."""
        for run in self._runs:
            run.checks.count()
        used, waiting = self._used(), self._waiting()
        self._check_limits(used)
        self._check_guarantees(used, waiting)
        self._record_use(used, waiting)
        views = self._views()
        self._check_use_of_allocations(views)
        self._record_sample(views)
        # A cell's allocations are created over several transactions, so they are compared only once every
        # cell has one for every team; once complete, they stay complete.
        self._allocations_complete = self._allocations_complete or all(
            len(view.teams) == len(self._limits) for view in views
        )
        if self._allocations_complete:
            for problem in problems({view.cell: view for view in views}):
                self.violations.add(f"shares: {problem}")

    def _views(self) -> list[CellView]:
        """The stored allocations of all cells, in the order of the runs."""
        return [stored_view(run.state.standin) for run in self._runs]

    @property
    def use(self) -> LimitUse:
        """Use of the limits by guaranteed teams with waiting jobs in the measured time, links up or cut."""
        up, cut = self.use_links_up, self.use_links_cut
        return LimitUse(up.used + cut.used, up.limit + cut.limit)

    def in_transit(self) -> int:
        """Transfers that their destination cells have not applied yet."""
        views = self._views()
        return len(transfers_in_transit({view.cell: view for view in views}))

    def _check_use_of_allocations(self, views: Sequence[CellView]) -> None:
        """Check that no team uses more accelerators in a cell, connected or not, than are allocated there."""
        for run, view in zip(self._runs, views, strict=True):
            for team in view.teams:
                if team.allocation.accelerators.limit is None:
                    continue
                limit, used = from_thousandths(team.allocation.accelerators.limit), run.checks.used[team.team]
                if used > limit + _TOLERANCE:
                    self.violations.add(
                        f"share: {team.team} uses {used:g} accelerators in {view.cell}, "
                        f"above the {limit:g} allocated there"
                    )

    def _record_use(self, used: Counter[str], waiting: Counter[str]) -> None:
        """Record use and limit of guaranteed teams with waiting jobs, and add up the time with cut links."""
        now, is_connected = self._clock(), self._network.is_connected
        if not is_connected and self._previous_check_at is not None:
            self.links_cut_s += now - self._previous_check_at
        self._previous_check_at = now
        use = self.use_links_up if is_connected else self.use_links_cut
        for team in (team for team in self._guarantee_bound.guarantees if waiting[team]):
            use.add(used[team], self._limits[team])

    def _record_sample(self, views: Sequence[CellView]) -> None:
        cells = [
            CellSample(_allocated_accelerators(view), float(sum(run.checks.used.values())))
            for run, view in zip(self._runs, views, strict=True)
        ]
        self.history.record(self._clock(), self._network.is_connected, cells)

    def _check_guarantees(self, used: Counter[str], waiting: Counter[str]) -> None:
        now = self._clock()
        for team, guaranteed in self._guarantee_bound.guarantees.items():
            is_below = (
                used[team] + 1 <= guaranteed and waiting[team] and now > self.guarantees_unchecked_until
            )
            if not is_below:
                self._below_guarantee_since.pop(team, None)
                continue
            below_s = now - self._below_guarantee_since.setdefault(team, now)
            self.longest_below_guarantee_s = max(self.longest_below_guarantee_s, below_s)
            if below_s > self._guarantee_bound.seconds:
                self.violations.add(
                    f"guarantee: {team} used less than its {guaranteed:g} accelerators (now {used[team]:g}) "
                    f"for {below_s:.1f} s with jobs waiting; allowed: {self._guarantee_bound.seconds:g} s"
                )

    def _waiting(self) -> Counter[str]:
        """Unstarted jobs by team, in cells where a machine has capacity for a task of one accelerator."""
        waiting: Counter[str] = Counter()
        for run in self._runs:
            free_copies = max(
                (worker.free_copies(_SMALLEST_TASK, 1) for worker in run.fleet.standins()), default=0
            )
            if free_copies:
                waiting.update(_unstarted(run.checks))
        return waiting


def _allocated_accelerators(view: CellView) -> float:
    """Sum of the teams' accelerator allocations in a cell; teams without a limit are not counted."""
    return from_thousandths(sum(team.allocation.accelerators.limit or 0 for team in view.teams))


# A task of one accelerator, the smallest amount that counts towards a limit on accelerators.
_SMALLEST_TASK = {"cpus": 1.0, "accelerators": 1.0, "memGb": 1.0}


def _unstarted(checks: RuleChecks) -> Counter[str]:
    """Number of accepted jobs by team that need accelerators and have no started task."""
    waiting: Counter[str] = Counter()
    for job_id, job in checks.jobs.items():
        if job["accelerators"] and checks.waits(job_id):
            waiting[job["crew"]] += 1
    return waiting
