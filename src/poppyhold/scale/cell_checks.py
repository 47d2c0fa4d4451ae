"""What must hold over all cells: limits at each instant, guarantees within a bound, shares that add up."""

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

_SLACK = 1e-6
_LARGEST_PAGE = 1000
_SAMPLE_S = 1.0


class GuaranteeBound(NamedTuple):
    """How long a team may be below its guarantee while its work waits and fits, and that guarantee."""

    seconds: float
    guarantees: dict[str, float]


def stored_view(state: StateStandIn) -> CellView:
    """A cell's shares as they are stored."""
    entries = state.scan(QUOTA_PREFIX, "", _LARGEST_PAGE)[1]["entries"]
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
    """Looks at all cells at one instant; what breaks a rule fails the run."""

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
        # Until then a trouble may hold up shares.
        self.troubled_until = float("-inf")
        self._below_since: dict[str, float] = {}
        self.longest_below_s = 0.0
        self._complete = False
        self.use_links_up, self.use_links_cut = LimitUse(), LimitUse()
        self.links_cut_s = 0.0
        self._looked_at: float | None = None
        self.history = CellHistory(_SAMPLE_S)

    def clear(self) -> None:
        """Begin the measured time."""
        self.use_links_up, self.use_links_cut = LimitUse(), LimitUse()
        self.links_cut_s = 0.0
        self.history.begin(self._clock())

    def started(self) -> None:
        """A task started somewhere: the limits must hold at this instant."""
        if all(amount <= self._limits[team] + _SLACK for team, amount in self._used().items()):
            return
        # These are upper bounds: tasks that ended since the last count are still in them.
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
            if amount > self._limits[team] + _SLACK:
                self.violations.add(f"quota over all cells: {team} uses {amount:g} of {self._limits[team]:g}")

    def look(self) -> None:
        """Look at everything once."""
        for run in self._runs:
            run.checks.count()
        used, waiting = self._used(), self._waiting()
        self._check_limits(used)
        self._check_guarantees(used, waiting)
        self._note_use(used, waiting)
        views = self._views()
        self._check_shares(views)
        self._note_sample(views)
        # They are made one transaction after the other; from then on they are complete for ever.
        self._complete = self._complete or all(len(view.teams) == len(self._limits) for view in views)
        if self._complete:
            for problem in problems({view.cell: view for view in views}):
                self.violations.add(f"shares: {problem}")

    def _views(self) -> list[CellView]:
        """The shares of all cells as they are stored, in the order of the runs."""
        return [stored_view(run.state.standin) for run in self._runs]

    @property
    def use(self) -> LimitUse:
        """What was in use of the limits, whether links were up or cut."""
        up, cut = self.use_links_up, self.use_links_cut
        return LimitUse(up.used + cut.used, up.limit + cut.limit)

    def in_transit(self) -> int:
        """Transfers that have not reached who they are for."""
        views = self._views()
        return len(transfers_in_transit({view.cell: view for view in views}))

    def _check_shares(self, views: Sequence[CellView]) -> None:
        """No cell may use more than its own durable share, cut off or not."""
        for run, view in zip(self._runs, views, strict=True):
            for team in view.teams:
                if team.allocation.accelerators.limit is None:
                    continue
                limit, used = from_thousandths(team.allocation.accelerators.limit), run.checks.used[team.team]
                if used > limit + _SLACK:
                    self.violations.add(f"share: {team.team} uses {used:g} of {limit:g} in {view.cell}")

    def _note_use(self, used: Counter[str], waiting: Counter[str]) -> None:
        """What is in use of the limits of teams whose work waits, and for how long links are cut."""
        now, is_whole = self._clock(), self._network.is_whole
        if not is_whole and self._looked_at is not None:
            self.links_cut_s += now - self._looked_at
        self._looked_at = now
        use = self.use_links_up if is_whole else self.use_links_cut
        for team in (team for team in self._bound.guarantees if waiting[team]):
            use.add(used[team], self._limits[team])

    def _note_sample(self, views: Sequence[CellView]) -> None:
        cells = [
            CellSample(_total_share(view), float(sum(run.checks.used.values())))
            for run, view in zip(self._runs, views, strict=True)
        ]
        self.history.note(self._clock(), self._network.is_whole, cells)

    def _check_guarantees(self, used: Counter[str], waiting: Counter[str]) -> None:
        now = self._clock()
        for team, guaranteed in self._bound.guarantees.items():
            below = used[team] + 1 <= guaranteed and waiting[team] and now > self.troubled_until
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
        """Tasks that wait in a cell on whose machines one fits, by team."""
        waiting: Counter[str] = Counter()
        for run in self._runs:
            free_copies = max((worker.free_copies(_ONE, 1) for worker in run.fleet.standins()), default=0)
            if free_copies:
                waiting.update(_unstarted(run.checks))
        return waiting


def _total_share(view: CellView) -> float:
    """Accelerators that all teams together may use in a cell."""
    return from_thousandths(sum(team.allocation.accelerators.limit or 0 for team in view.teams))


# A task of one accelerator, the smallest that asks for a share of them.
_ONE = {"cpus": 1.0, "accelerators": 1.0, "memGb": 1.0}


def _unstarted(checks: RuleChecks) -> Counter[str]:
    """Jobs with accelerators that are accepted and have no task on a machine and none done."""
    waiting: Counter[str] = Counter()
    for job_id, job in checks.jobs.items():
        if job["accelerators"] and checks.waits(job_id):
            waiting[job["crew"]] += 1
    return waiting
