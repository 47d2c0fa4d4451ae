"""A run of several cells: each is a separate scale run, and all share the teams' limits."""

from __future__ import annotations

import asyncio
import re
import time
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

import msgspec
from rich.console import Console
from rich.table import Table

from poppyhold.scale.cell_checks import CellChecks, GuaranteeBound
from poppyhold.scale.cell_history import Sample
from poppyhold.scale.cell_links import CellNetwork, Direction
from poppyhold.scale.controllers import ControllerProcess, team_limits
from poppyhold.scale.event_loop import drop_loop_errors
from poppyhold.scale.measure import Latency
from poppyhold.scale.profile import Fault, Profile
from poppyhold.scale.result import FaultResult, Result, print_result
from poppyhold.scale.run import ScaleRun, StoppedError

_CHECK_INTERVAL_S, _ROTATION_CHECK_S = 0.25, 0.2
# Share of its arrivals that a cell gets while another cell has its turn to get all of its own.
_OFF_TURN_ARRIVAL_SHARE = 0.15
# Leases within which a guarantee is met: retention of recent use in another cell, transfer, and task start.
_GUARANTEE_LEASES = 2.5
# The log line of a cell service that credited a transfer.
CREDIT_LINE = re.compile(r"credit: team=.* source_cell=\S+ unmet_s=([0-9.]+)")


class CellsResult(msgspec.Struct, kw_only=True):
    """One run of several cells."""

    profile: dict[str, Any]
    seed: int
    cells: list[Result]
    # Seconds from a cell's request for an allocation until it credited the transfer.
    share_waits: dict[str, float]
    moves: int
    # Writes and transactions on quota records at the state services of all cells.
    quota_changes: int
    quota_commits: int
    # Use of the limits of teams with waiting tasks: in total, while all links between cells were up, and
    # while some were cut; None if no tasks waited in that time.
    part_of_limits_in_use: float | None
    part_of_limits_in_use_links_up: float | None
    part_of_limits_in_use_links_cut: float | None
    # Seconds of the measured time in which some link was cut.
    links_cut_s: float
    longest_below_guarantee_s: float
    guarantee_bound_s: float
    in_transit_at_the_end: int
    faults: list[FaultResult] = msgspec.field(name="troubles")
    samples: list[Sample]
    broken: list[str]
    broken_count: int

    @property
    def ok(self) -> bool:
        """Whether every cell's run passed, and no rule over all cells was violated."""
        return all(cell.ok for cell in self.cells) and not self.broken_count


class CellsRun:
    """All cells of one run, the links between them, and the checks over all of them."""

    def __init__(self, profile: Profile, seed: int, folder: Path) -> None:
        self._profile, self._seed, self._folder = profile, seed, folder
        without_faults = msgspec.structs.replace(profile, faults=[])
        self._runs = []
        for index in range(profile.cells):
            cell_folder = folder / _name(index)
            cell_folder.mkdir()
            self._runs.append(ScaleRun(without_faults, seed * profile.cells + index, cell_folder))
        limits = team_limits(profile)
        guarantees = {team: float(round(limit * profile.team_guarantee)) for team, limit in limits.items()}
        self._bound = GuaranteeBound(_GUARANTEE_LEASES * profile.lease_s, guarantees)
        self._network = CellNetwork()
        self._checks = CellChecks(self._runs, limits, self._bound, self._network, time.monotonic)
        self._faults: list[FaultResult] = []
        self._tasks: set[asyncio.Task[None]] = set()

    async def play(self) -> CellsResult:
        """Run the profile, then stop everything that was started."""
        try:
            async with asyncio.timeout(self._profile.most_s):
                await self._prepare()
                await self._measure()
                await self._drain()
            return self._result()
        except TimeoutError:
            raise StoppedError(f"did not finish within most_s = {self._profile.most_s:g} s") from None
        finally:
            for task in self._tasks:
                task.cancel()
            for run in self._runs:
                run.end()

    async def _prepare(self) -> None:
        await asyncio.gather(*(run.build() for run in self._runs))
        await self._connect()
        for run in self._runs:
            run.on_started = self._checks.on_task_started
        await asyncio.gather(*(run.begin() for run in self._runs))
        for coroutine in (self._check_periodically(), self._rotate_arrivals(), self._burst()):
            self._spawn(coroutine)
        await self._wait(self._profile.warm_up_s)

    async def _connect(self) -> None:
        """Open links from each cell to the controllers of the others, and write them to the options files."""
        if len(self._runs) == 1:
            return
        for source, run in enumerate(self._runs):
            lines = [f'cells {{ name: "{_name(source)}" part: {self._part(source)}']
            lines.append(f"  keep_leases: {self._profile.keep_leases} reserve: {self._profile.reserve}")
            for target, other in enumerate(self._runs):
                if source != target:
                    addresses = await self._open_links((source, target), other.controllers.all)
                    name = f'name: "{_name(target)}" part: {self._part(target)}'
                    lines.append(f"  others {{ {name} {addresses} }}")
            run.controllers.add_options("\n".join([*lines, "}\n"]))

    async def _open_links(self, direction: Direction, controllers: list[ControllerProcess]) -> str:
        links = await self._network.open(direction, controllers)
        pairs = zip(controllers, links, strict=True)
        return " ".join(
            f'controllers {{ member: "{each.member}" address: "127.0.0.1:{link.port}" }}'
            for each, link in pairs
        )

    def _part(self, index: int) -> float:
        """A cell's part, as a decimal: equal parts, the first one with the rounding remainder."""
        part = round(1 / self._profile.cells, 4)
        return part if index else round(1 - part * (self._profile.cells - 1), 4)

    async def _rotate_arrivals(self) -> None:
        """Give most arrivals to one cell after the other."""
        began_at = time.monotonic()
        while self._profile.wander_s > 0:
            turn = int((time.monotonic() - began_at) / self._profile.wander_s) % len(self._runs)
            for index, run in enumerate(self._runs):
                run.users.arrival_share = 1.0 if index == turn else _OFF_TURN_ARRIVAL_SHARE
            await asyncio.sleep(_ROTATION_CHECK_S)

    async def _burst(self) -> None:
        """Submit bursts in all cells at the same time."""
        while self._profile.burst_jobs > 0:
            for run in self._runs:
                run.users.burst(self._profile.burst_jobs)
            await asyncio.sleep(self._profile.burst_every_s)

    async def _check_periodically(self) -> None:
        while True:
            self._checks.check()
            await asyncio.sleep(_CHECK_INTERVAL_S)

    async def _measure(self) -> None:
        for run in self._runs:
            run.clear()
        self._checks.clear()
        began_at = time.monotonic()
        for fault in sorted(self._profile.faults, key=lambda fault: fault.at_s):
            await self._wait(began_at + fault.at_s - time.monotonic())
            await self._inject(fault)
        await self._wait(began_at + self._profile.measured_s - time.monotonic())

    async def _inject(self, fault: Fault) -> None:
        over_at = time.monotonic() + fault.away_s + 2 * self._profile.lease_s
        self._checks.guarantees_unchecked_until = max(self._checks.guarantees_unchecked_until, over_at)
        if fault.kind.startswith("cut_links"):
            self._cut(fault)
        else:
            await self._runs[fault.cell].inject(fault)

    def _cut(self, fault: Fault) -> None:
        """Cut the links from a cell to the next one, or in both directions."""
        source, target = fault.cell, (fault.cell + 1) % len(self._runs)
        directions = [(source, target)]
        if fault.kind == "cut_links":
            directions.append((target, source))
        self._network.cut(directions)
        self._faults.append(FaultResult(fault.kind, fault.at_s, f"{_name(source)} to {_name(target)}"))

        async def heal() -> None:
            await asyncio.sleep(fault.away_s)
            self._network.heal(directions)

        self._spawn(heal())

    async def _drain(self) -> None:
        """Stop the load, restore all links and wait until transfers in transit arrive."""
        self._profile = msgspec.structs.replace(self._profile, burst_jobs=0)
        self._network.heal_all()
        for run in self._runs:
            run.users.arrival_share = 0.0
        await self._wait_until(lambda: not self._checks.in_transit(), 3 * self._profile.lease_s)
        self._checks.check()

    async def _wait_until(self, holds: Callable[[], bool], most_s: float) -> None:
        until = time.monotonic() + most_s
        while not holds() and time.monotonic() < until:
            await self._wait(_CHECK_INTERVAL_S)

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        self._tasks.add(asyncio.create_task(coroutine))

    async def _wait(self, seconds: float) -> None:
        """Wait in all cells; an exception of any background task ends the run."""
        await asyncio.gather(*(run.wait(seconds) for run in self._runs))
        for task in self._tasks:
            if task.done() and (error := task.exception()) is not None:
                raise error

    def _share_waits(self) -> Latency:
        waits = Latency()
        for log in sorted(self._folder.glob("*/*.log")):
            for line in log.read_text(encoding="utf-8", errors="replace").splitlines():
                found = CREDIT_LINE.search(line)
                if found is not None:
                    waits.record(float(found.group(1)))
        return waits

    def _result(self) -> CellsResult:
        waits = self._share_waits().summary()
        in_transit = self._checks.in_transit()
        broken = list(self._checks.violations.messages)
        if in_transit:
            broken.append(f"{in_transit} transfers are still in transit at the end")
        return CellsResult(
            profile=msgspec.to_builtins(self._profile),
            seed=self._seed,
            cells=[run.result() for run in self._runs],
            share_waits=waits,
            moves=int(waits["count"]),
            quota_changes=sum(run.state.quota_writes for run in self._runs),
            quota_commits=sum(run.state.quota_commits for run in self._runs),
            part_of_limits_in_use=self._checks.use.part,
            part_of_limits_in_use_links_up=self._checks.use_links_up.part,
            part_of_limits_in_use_links_cut=self._checks.use_links_cut.part,
            links_cut_s=self._checks.links_cut_s,
            longest_below_guarantee_s=self._checks.longest_below_guarantee_s,
            guarantee_bound_s=self._bound.seconds,
            in_transit_at_the_end=in_transit,
            faults=self._faults,
            samples=self._checks.history.samples,
            broken=broken,
            broken_count=self._checks.violations.count + bool(in_transit),
        )


def _name(index: int) -> str:
    return f"cell-{index}"


async def play_cells(profile: Profile, seed: int, folder: Path) -> CellsResult:
    """Run a profile of several cells with its files in ``folder``."""
    drop_loop_errors()
    return await CellsRun(profile, seed, folder).play()


def _format_part(part: float | None) -> str:
    return "no tasks waited" if part is None else f"{part:.3f}"


def print_cells_result(result: CellsResult, console: Console) -> None:
    """Print a run's result."""
    for cell in result.cells:
        print_result(cell, console)
    table = Table("over all cells", "value")
    for name in ("count", "p50", "p95", "p99", "max"):
        table.add_row(f"wait for a requested allocation, {name}", f"{result.share_waits.get(name, 0.0):.3f}")
    table.add_row("quota writes", str(result.quota_changes))
    for name, part in (
        ("", result.part_of_limits_in_use),
        (", links up", result.part_of_limits_in_use_links_up),
        (", links cut", result.part_of_limits_in_use_links_cut),
    ):
        table.add_row(f"part of the limits in use while tasks wait{name}", _format_part(part))
    table.add_row("links cut, s", f"{result.links_cut_s:.0f}")
    below = f"{result.longest_below_guarantee_s:.1f} (bound {result.guarantee_bound_s:.1f})"
    table.add_row("longest below a guarantee, s", below)
    console.print(table)
    for fault in result.faults:
        console.print(f"{fault.kind} at {fault.at_s:.0f} s: {fault.what}")
    for line in result.broken:
        console.print(f"VIOLATION {line}", style="red")
    console.print("ok over all cells" if result.ok else "FAILED over all cells")
