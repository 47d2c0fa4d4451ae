"""`python -m poppyhold.scale`: run a profile, print tables, write JSON."""

from __future__ import annotations

import argparse
import sys
import tempfile
from collections.abc import Sequence
from pathlib import Path

import msgspec
from rich.console import Console

from poppyhold.scale.cells import CellsResult, play_cells, print_cells_result
from poppyhold.scale.event_loop import run_interruptible
from poppyhold.scale.profile import Profile, ProfileError, built_in, load_profile
from poppyhold.scale.result import Result, print_result
from poppyhold.scale.run import StoppedError, play
from poppyhold.scale.soak.command import main as soak_main

# The subcommand that plays drawn faults; everything else names a profile.
_SOAK = "soak"
# Plot formats, by file extension.
_PLOT_FORMATS = (".png", ".svg", ".pdf")


def _plot_path(text: str) -> Path:
    """Parse the path of a plot; a path that cannot be written is rejected before the run."""
    path = Path(text)
    if path.suffix not in _PLOT_FORMATS:
        raise argparse.ArgumentTypeError(f"must end in one of {', '.join(_PLOT_FORMATS)}")
    if not path.absolute().parent.is_dir():
        raise argparse.ArgumentTypeError("its folder does not exist")
    return path


def _has_cell_load(profile: Profile) -> bool:
    """Whether the run has several cells, or one cell with the load of several."""
    return profile.cells > 1 or profile.burst_jobs > 0


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="python -m poppyhold.scale",
        description="Real controllers on loopback, with simulated workers and stand-ins around them.",
    )
    parser.add_argument(
        "profile", help=f"a TOML file, or one of: {', '.join(built_in())}; or `soak`, with options of its own"
    )
    parser.add_argument("--seed", type=int, default=1, help="seed of the random load")
    parser.add_argument("--relays", choices=("auto", "off", "forced"), help="instead of the profile's own")
    parser.add_argument(
        "--cells", type=int, help="instead of the profile's own; 1: without quota allocations"
    )
    parser.add_argument("--json", metavar="FILE", type=Path, help="write the result here")
    parser.add_argument(
        "--plot", metavar="FILE", type=_plot_path, help="plot allocations and use of several cells"
    )
    parser.add_argument("--logs", metavar="DIR", type=Path, help="keep settings and logs of controllers here")
    return parser


async def _play(profile: Profile, seed: int, folder: Path) -> Result | CellsResult:
    if _has_cell_load(profile):
        return await play_cells(profile, seed, folder)
    return await play(profile, seed, folder)


def _write_plot(result: CellsResult, path: Path) -> None:
    # Loaded after the run, because the run measures its own memory.
    from poppyhold.scale.cell_plot import plot_cells

    plot_cells(result, path)


def main(argv: Sequence[str] | None = None) -> int:
    """Run the program; returns its exit status: 0, 1 if the run failed, 2 for a bad profile."""
    arguments = list(sys.argv[1:] if argv is None else argv)
    if arguments[:1] == [_SOAK]:
        return soak_main(arguments[1:])
    args = _parser().parse_args(arguments)
    try:
        profile = load_profile(args.profile)
    except ProfileError as error:
        print(f"poppyhold.scale: {error}", file=sys.stderr)
        return 2
    if args.relays is not None:
        profile = msgspec.structs.replace(profile, relays=args.relays)
    if args.cells is not None:
        profile = msgspec.structs.replace(profile, cells=args.cells, faults=[])
    if args.plot is not None and not _has_cell_load(profile):
        print(f"poppyhold.scale: --plot: {profile.name} is a run of one cell", file=sys.stderr)
        return 2
    with tempfile.TemporaryDirectory(prefix="poppyhold-scale-") as temporary:
        folder = args.logs or Path(temporary)
        folder.mkdir(parents=True, exist_ok=True)
        try:
            result = run_interruptible(_play(profile, args.seed, folder))
        except StoppedError as error:
            print(f"poppyhold.scale: {error}", file=sys.stderr)
            return 1
    if args.json is not None:
        args.json.write_bytes(msgspec.json.format(msgspec.json.encode(result)))
    if isinstance(result, CellsResult):
        if args.plot is not None:
            _write_plot(result, args.plot)
        print_cells_result(result, Console())
    else:
        print_result(result, Console())
    return 0 if result.ok else 1


if __name__ == "__main__":
    sys.exit(main())
