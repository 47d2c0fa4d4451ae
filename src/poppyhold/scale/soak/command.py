"""`python -m poppyhold.scale soak`: play schedules, print what was broken, and sum up."""

from __future__ import annotations

import argparse
import sys
import tempfile
from collections import Counter
from collections.abc import Iterator, Sequence
from pathlib import Path
from typing import NoReturn

import msgspec

from poppyhold.scale.event_loop import run_interruptible
from poppyhold.scale.run import StoppedError
from poppyhold.scale.soak.run import SoakResult, Verdict, play_soak
from poppyhold.scale.soak.schedule import (
    MAX_CONTROLLERS,
    MAX_WORKERS,
    ScheduleError,
    SoakSchedule,
    draw_schedule,
    load_schedule,
    save_schedule,
)

_PROGRAM = "poppyhold.scale soak"
_DEFAULT_WORKERS, _DEFAULT_CONTROLLERS = 40, 3
_SCHEDULE_FILE = "schedule.json"
_BAD_INPUT = 2


class _Parser(argparse.ArgumentParser):
    """Answers bad input with one line and status 2."""

    def error(self, message: str) -> NoReturn:
        print(f"{_PROGRAM}: {message}", file=sys.stderr)
        sys.exit(_BAD_INPUT)


def _number(low: int, high: int) -> type[int]:
    """Return a parser of whole numbers within bounds."""

    def parse(text: str) -> int:
        try:
            value = int(text)
        except ValueError:
            raise argparse.ArgumentTypeError(f"not a whole number: {text!r}") from None
        if not low <= value <= high:
            raise argparse.ArgumentTypeError(f"must be within {low} and {high}: {value}")
        return value

    return parse  # type: ignore[return-value]


def _parser() -> argparse.ArgumentParser:
    parser = _Parser(
        prog=f"python -m {_PROGRAM}",
        description="Real controllers on loopback under faults, load and users that are drawn from a seed.",
        epilog="A seed always draws the same schedule. Real processes meet it at other moments in each play, "
        "so a run that broke a rule may pass when it is played again: keep --logs. Exit status: 0 if no run "
        "failed, 1 if one did, 2 for bad input. A run whose own event loop was too late to judge is invalid.",
    )
    what = parser.add_mutually_exclusive_group()
    what.add_argument("--seed", type=_number(0, 2**63), default=1, help="play the schedule of this seed")
    what.add_argument(
        "--seeds", nargs=2, type=_number(0, 2**63), metavar=("FIRST", "COUNT"), help="play a series of seeds"
    )
    what.add_argument("--play", metavar="FILE", type=Path, help="play a saved schedule")
    parser.add_argument(
        "--workers", type=_number(1, MAX_WORKERS), default=_DEFAULT_WORKERS, help="simulated workers"
    )
    parser.add_argument("--controllers", type=_number(1, MAX_CONTROLLERS), default=_DEFAULT_CONTROLLERS)
    parser.add_argument("--logs", metavar="DIR", type=Path, help="keep schedules, settings and logs here")
    parser.add_argument("--json", metavar="FILE", type=Path, help="write the results here")
    return parser


def _schedules(args: argparse.Namespace) -> Iterator[SoakSchedule]:
    if args.play is not None:
        yield load_schedule(args.play)
        return
    first, count = args.seeds or (args.seed, 1)
    for seed in range(first, first + count):
        yield draw_schedule(seed, args.workers, args.controllers)


def _play(schedule: SoakSchedule, folder: Path) -> SoakResult:
    folder.mkdir(parents=True, exist_ok=True)
    for log in folder.glob("*.log"):
        # Controllers append to their logs, which the verdict reads.
        log.unlink()
    save_schedule(schedule, folder / _SCHEDULE_FILE)
    return run_interruptible(play_soak(schedule, folder))


def _print(result: SoakResult) -> None:
    print(
        f"seed {result.seed}: {result.verdict}, {result.workers} workers, {result.faults} faults, "
        f"{result.jobs} jobs, {result.cancelled} cancelled, "
        f"{result.starts_after_cancellation} starts after a cancellation, {result.leases_lost} leases lost, "
        f"loop late by {result.loop_late_s:.3f} s, {result.took_s:.0f} s",
        flush=True,
    )
    for line in result.broken:
        print(f"  {line}", flush=True)


def _summary(results: Sequence[SoakResult], planned: int) -> str:
    counts = Counter(result.verdict for result in results)
    counts[Verdict.NOT_RUN] = planned - len(results)
    return ", ".join(f"{verdict} {counts[verdict]}" for verdict in Verdict)


def main(argv: Sequence[str]) -> int:
    """Run the command; returns its exit status."""
    args = _parser().parse_args(argv)
    results: list[SoakResult] = []
    try:
        schedules = list(_schedules(args))
    except ScheduleError as error:
        print(f"{_PROGRAM}: {error}", file=sys.stderr)
        return _BAD_INPUT
    with tempfile.TemporaryDirectory(prefix="poppyhold-soak-") as temporary:
        for schedule in schedules:
            try:
                result = _play(schedule, (args.logs or Path(temporary)) / f"seed-{schedule.seed}")
            except (StoppedError, KeyboardInterrupt) as error:
                print(f"{_PROGRAM}: {error}", file=sys.stderr)
                break
            _print(result)
            results.append(result)
            if any(line.startswith("stopped: interrupted") for line in result.broken):
                break
    print(_summary(results, len(schedules)))
    if args.json is not None:
        args.json.write_bytes(msgspec.json.format(msgspec.json.encode(results)))
    is_clean = len(results) == len(schedules) and all(
        result.verdict is not Verdict.FAILED for result in results
    )
    return 0 if is_clean else 1
