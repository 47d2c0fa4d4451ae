"""Plot of a run of several cells: allocation and use of each cell, faults, and times of cut links."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path

import matplotlib as mpl
from matplotlib.axes import Axes
from matplotlib.figure import Figure

from poppyhold.scale.cells import CellsResult

_WIDTH_IN, _HEIGHT_OF_A_CELL_IN = 11.0, 2.2
_SHARE_COLOR, _USED_COLOR, _CUT_COLOR, _FAULT_COLOR = "tab:blue", "tab:orange", "0.88", "tab:red"


def plot_cells(result: CellsResult, path: Path) -> None:
    """Write the plot in the format of the file's extension.

    Raises:
        OSError: the file cannot be written.
        ValueError: the extension is not a known format.

    """
    count = len(result.cells)
    figure = Figure(figsize=(_WIDTH_IN, _HEIGHT_OF_A_CELL_IN * count + 1), layout="constrained")
    rows = figure.subplots(count, 1, sharex=True, sharey=True, squeeze=False)
    for index in range(count):
        _plot_cell(rows[index][0], result, index)
    rows[0][0].legend(loc="upper right", fontsize="small")
    rows[-1][0].set_xlabel("measured time, s (grey: links between cells are cut)")
    name, seed = result.profile["name"], result.seed
    figure.suptitle(f"{name}, seed {seed}: accelerators of all teams, allocation and use of each cell")
    with mpl.rc_context({"svg.hashsalt": f"{name}-{seed}"}):
        figure.savefig(path)


def _plot_cell(axes: Axes, result: CellsResult, index: int) -> None:
    times = [sample.at_s for sample in result.samples]
    shares = [sample.cells[index].share for sample in result.samples]
    used = [sample.cells[index].used for sample in result.samples]
    for start, end in _cut_spans(result):
        axes.axvspan(start, end, color=_CUT_COLOR, zorder=0)
    axes.step(times, shares, where="post", color=_SHARE_COLOR, label="allocation")
    axes.step(times, used, where="post", color=_USED_COLOR, label="in use")
    for fault in result.cells[index].faults:
        axes.axvline(fault.at_s, color=_FAULT_COLOR, linestyle=":")
        axes.annotate(fault.kind, (fault.at_s, 0), color=_FAULT_COLOR, fontsize="x-small")
    axes.set_ylim(bottom=0)
    axes.set_ylabel(f"cell {index}")


def _cut_spans(result: CellsResult) -> Iterator[tuple[float, float]]:
    """Yield start and end, in seconds, of each time span in which some link was cut."""
    start: float | None = None
    for sample in result.samples:
        if not sample.links_up and start is None:
            start = sample.at_s
        if sample.links_up and start is not None:
            yield start, sample.at_s
            start = None
    if start is not None:
        yield start, result.samples[-1].at_s
