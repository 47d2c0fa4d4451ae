"""Rules over all cells: limits at each instant, guarantees within a bound, consistent allocations."""

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

_TOLERANCE = 1e-6
_MAX_PAGE_ENTRIES = 1000
_SAMPLE_S = 1.0


class GuaranteeBound(NamedTuple):
    """Teams' guarantees, and how long a team may use less while it has waiting tasks that fit."""

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
    """Checks all cells at one instant; any violation fails the run."""

    def __init__(
        self,
        runs: Sequence[ScaleRun],
        limits: dict[str, float],
        bound: GuaranteeBound,
        network: CellNetwork,
        clock: Callable[[], float],
    ) -> None:
        self._runs, self._limits, self._bound = runs, limits, bound
        self._network, self._clock = network, clock
        self.violations = RuleViolations()
        # Until this time an injected fault may delay transfers, so guarantees are not checked.
        self.grace_until = float("-inf")
        self._below_since: dict[str, float] = {}
        self.longest_below_s = 0.0
        self._allocations_complete = False
        self.use_links_up, self.use_links_cut = LimitUse(), LimitUse()
        self.links_cut_s = 0.0
        self._checked_at: float | None = None
        self.history = CellHistory(_SAMPLE_S)

    def clear(self) -> None:
        """Reset the figures at the start of the measured time."""
        self.use_links_up, self.use_links_cut = LimitUse(), LimitUse()
        self.links_cut_s = 0.0
        self.history.begin(self._clock())

    def started(self) -> None:
        """Check the limits at the start of a task in any cell."""
        if all(amount <= self._limits[team] + _TOLERANCE for team, amount in self._used().items()):
            return
        # The amounts are upper bounds, which include tasks that ended since the last count.
        for run in self._runs:
            run.checks.count()
        self._check_limits(self._used())

    def _used(self) -> Counter[str]:
        used: Counter[str] = Counter()
        for run in self._runs:
            used.update(run.checks.used)
        return used

    def _check_limits(self, used: Counter[str]) -> None:
        for team, amount in used.items():
            if amount > self._limits[team] + _TOLERANCE:
                self.violations.add(f"quota over all cells: {team} uses {amount:g} of {self._limits[team]:g}")

    def check(self) -> None:
        """Check all rules once and record a sample."""
        for run in self._runs:
            run.checks.count()
        used, waiting = self._used(), self._waiting()
        self._check_limits(used)
        self._check_guarantees(used, waiting)
        self._record_use(used, waiting)
        views = self._views()
        self._check_allocations(views)
        self._record_sample(views)
        # Allocations are created over several transactions; once complete, they stay complete.
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
        """Use of the limits over the whole measured time, whether links were up or cut."""
        up, cut = self.use_links_up, self.use_links_cut
        return LimitUse(up.used + cut.used, up.limit + cut.limit)

    def in_transit(self) -> int:
        """Transfers that their destination cells have not applied yet."""
        views = self._views()
        return len(transfers_in_transit({view.cell: view for view in views}))

    def _check_allocations(self, views: Sequence[CellView]) -> None:
        """Check that no cell, connected or not, uses more than its own durable allocation."""
        for run, view in zip(self._runs, views, strict=True):
            for team in view.teams:
                if team.allocation.accelerators.limit is None:
                    continue
                limit, used = from_thousandths(team.allocation.accelerators.limit), run.checks.used[team.team]
                if used > limit + _TOLERANCE:
                    self.violations.add(f"share: {team.team} uses {used:g} of {limit:g} in {view.cell}")

    def _record_use(self, used: Counter[str], waiting: Counter[str]) -> None:
        """Record the use of the limits of teams with waiting tasks, and how long links are cut."""
        now, is_connected = self._clock(), self._network.is_connected
        if not is_connected and self._checked_at is not None:
            self.links_cut_s += now - self._checked_at
        self._checked_at = now
        use = self.use_links_up if is_connected else self.use_links_cut
        for team in (team for team in self._bound.guarantees if waiting[team]):
            use.add(used[team], self._limits[team])

    def _record_sample(self, views: Sequence[CellView]) -> None:
        cells = [
            CellSample(_allocated_accelerators(view), float(sum(run.checks.used.values())))
            for run, view in zip(self._runs, views, strict=True)
        ]
        self.history.record(self._clock(), self._network.is_connected, cells)

    def _check_guarantees(self, used: Counter[str], waiting: Counter[str]) -> None:
        now = self._clock()
        for team, guaranteed in self._bound.guarantees.items():
            below = used[team] + 1 <= guaranteed and waiting[team] and now > self.grace_until
            if not below:
                self._below_since.pop(team, None)
                continue
            below_s = now - self._below_since.setdefault(team, now)
            self.longest_below_s = max(self.longest_below_s, below_s)
            if below_s > self._bound.seconds:
                self.violations.add(
                    f"guarantee: {team} uses {used[team]:g} of {guaranteed:g} for {below_s:.1f} s"
                )

    def _waiting(self) -> Counter[str]:
        """Waiting jobs by team, in cells where a machine has capacity for the smallest task."""
        waiting: Counter[str] = Counter()
        for run in self._runs:
            free_copies = max(
                (worker.free_copies(_SMALLEST_TASK, 1) for worker in run.fleet.standins()), default=0
            )
            if free_copies:
                waiting.update(_unstarted(run.checks))
        return waiting


def _allocated_accelerators(view: CellView) -> float:
    """Accelerators allocated to all teams together in a cell."""
    return from_thousandths(sum(team.allocation.accelerators.limit or 0 for team in view.teams))


# A task with one accelerator, the smallest that counts towards a limit.
_SMALLEST_TASK = {"cpus": 1.0, "accelerators": 1.0, "memGb": 1.0}


def _unstarted(checks: RuleChecks) -> Counter[str]:
    """Accepted jobs with accelerators of which no task has started yet, by team."""
    waiting: Counter[str] = Counter()
    for job_id, job in checks.jobs.items():
        if job["accelerators"] and checks.waits(job_id):
            waiting[job["crew"]] += 1
    return waiting
