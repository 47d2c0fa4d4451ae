"""The result of a run, as JSON and as tables in the terminal."""

from __future__ import annotations

from typing import Any

import msgspec
from rich.console import Console
from rich.table import Table

from poppyhold.scale.measure import ProcessUse


class ControllerResult(msgspec.Struct):
    """Role and resource use of one controller's process in the measured time."""

    member: str
    zone: str
    led: bool
    use: ProcessUse
    ended_by_itself: int


class FaultResult(msgspec.Struct):
    """An injected fault and its effect."""

    kind: str
    at_s: float
    # The number of restarted workers, the killed or frozen controller, or the cells with cut links.
    what: str
    # Seconds from the kill until another controller led, and until a heartbeat was answered again.
    without_leader_s: float | None = None
    without_answers_s: float | None = None


class Result(msgspec.Struct, kw_only=True):
    """The result of one run. Rates are means over the measured time."""

    profile: dict[str, Any]
    seed: int
    measured_s: float
    workers_up: int
    tasks_running: int
    controllers: list[ControllerResult]
    # The process of the simulated workers, users, state service and cloud.
    load: ProcessUse
    # Delay of the load's own event loop; latencies below it are not meaningful.
    loop_late: dict[str, float]
    latencies: dict[str, dict[str, float]]
    rates: dict[str, float]
    counts: dict[str, float]
    state_requests: dict[str, int]
    statuses: dict[str, int]
    faults: list[FaultResult] = msgspec.field(name="troubles")
    broken: list[str]
    broken_count: int
    # Why the run ended early; None if it did not.
    stopped: str | None = None

    @property
    def ok(self) -> bool:
        """Whether no rule was violated, no controller exited unexpectedly, and the run completed."""
        ended = sum(controller.ended_by_itself for controller in self.controllers)
        return not self.broken_count and not ended and self.stopped is None


def print_result(result: Result, console: Console) -> None:
    """Print a run's result."""
    console.print(
        f"{result.profile['name']}: {result.workers_up} workers, {result.tasks_running} tasks running, "
        f"{result.measured_s:.0f} s measured, seed {result.seed}"
    )
    console.print(_processes(result))
    console.print(_latencies(result))
    table = Table("figure", "value")
    for name, value in {**result.rates, **result.counts}.items():
        table.add_row(name, f"{value:,.3f}".rstrip("0").rstrip("."))
    console.print(table)
    for fault in result.faults:
        gap = "" if fault.without_leader_s is None else f", {fault.without_leader_s:.2f} s without a leader"
        answers = fault.without_answers_s
        gap += "" if answers is None else f", {answers:.2f} s without answers"
        console.print(f"{fault.kind} at {fault.at_s:.0f} s: {fault.what}{gap}")
    for line in result.broken:
        console.print(f"VIOLATION {line}", style="red")
    if result.stopped is not None:
        console.print(f"stopped: {result.stopped}", style="red")
    console.print("ok" if result.ok else "FAILED")


def _processes(result: Result) -> Table:
    table = Table("process", "core, mean", "core, peak", "MB", "threads", "connections", "ended")
    rows = [
        (f"{each.member}{' (led)' if each.led else ''}", each.use, each.ended_by_itself)
        for each in result.controllers
    ]
    for name, use, ended in [*rows, ("load", result.load, 0)]:
        table.add_row(
            name,
            f"{use.processor_s / result.measured_s:.3f}",
            f"{use.processor_peak:.2f}",
            f"{use.memory_mb:.0f}",
            str(use.threads),
            str(use.connections),
            str(ended),
        )
    return table


def _latencies(result: Result) -> Table:
    table = Table("latency, s", "count", "p50", "p95", "p99", "max")
    for name, of in {**result.latencies, "load's own loop": result.loop_late}.items():
        cells = [f"{of.get(key, 0.0):.3f}" for key in ("p50", "p95", "p99", "max")]
        table.add_row(name, f"{of['count']:.0f}", *cells)
    return table
