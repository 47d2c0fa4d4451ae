"""The command line."""

from __future__ import annotations

import argparse
import gc
import logging
import os
import sys
import threading
from collections.abc import Sequence
from typing import TYPE_CHECKING

from poppyhold import __version__
from poppyhold.configuration_checks import ConfigError
from poppyhold.settings import Settings
from poppyhold.settings_file import limit_warnings, load_settings

if TYPE_CHECKING:
    from poppyhold.options import Options

log = logging.getLogger(__name__)

# Each connection has its own thread, so thread stacks are small.
_THREAD_STACK_BYTES = 256 * 1024
# Garbage collection: allocations between collections of the youngest generation, and how many collections of
# one generation precede one of the next.
_GC_THRESHOLDS = (20_000, 20, 50)

# Exit status for invalid files; argparse uses the same for invalid arguments.
_EXIT_CONFIG_ERROR = 2


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(prog="poppyhold", description="A scheduler for model-serving fleets.")
    parser.add_argument("--version", action="version", version=f"poppyhold {__version__}")
    commands = parser.add_subparsers(dest="command", required=True)
    quota = commands.add_parser("quota", help="allocations of teams' limits to cells")
    questions = quota.add_subparsers(dest="question", required=True)
    status = questions.add_parser("status", help="allocations known to this cell's leader")
    _add_file_arguments(status)
    status.add_argument("--json", action="store_true", help="write JSON instead of a table")
    for name, text in (("serve", "run one controller"), ("check-config", "check the files and stop")):
        command = commands.add_parser(name, help=text, description=text)
        _add_file_arguments(command)
    return parser


def _add_file_arguments(command: argparse.ArgumentParser) -> None:
    """Add the arguments for the two files that every command reads."""
    command.add_argument("--options", metavar="FILE", help="operators' settings, protobuf text format")
    command.add_argument("--config", metavar="FILE", required=True, help="the platform's settings, TOML")


def _log_level() -> int:
    name = os.environ.get("LOG_LEVEL", "info").upper()
    return {"ERROR": logging.ERROR, "DEBUG": logging.DEBUG}.get(name, logging.INFO)


def _quota_status(settings: Settings, options: Options, as_json: bool) -> int:
    """Print the quota allocations known to the cell's leader; returns the exit status."""
    import msgspec

    from poppyhold.quota.status import ALARM, NoLeaderError, fetch, render, summarize

    if options.cells is None:
        print("poppyhold: cells: the options file names no other cells", file=sys.stderr)
        return _EXIT_CONFIG_ERROR
    try:
        status = summarize(fetch(settings))
    except NoLeaderError as error:
        print(f"poppyhold: {error}", file=sys.stderr)
        return ALARM
    print(msgspec.json.encode(status).decode() if as_json else render(status))
    return status.exit_status


def main(argv: Sequence[str] | None = None) -> int:
    """Run the program; returns its exit status."""
    args = _parser().parse_args(argv)
    logging.basicConfig(stream=sys.stderr, level=_log_level(), format="%(levelname).1s %(name)s: %(message)s")
    from poppyhold.capacity import shortfalls
    from poppyhold.options_file import load_options
    from poppyhold.quota.apportionment import check_limits

    try:
        settings = load_settings(args.config)
        options = load_options(args.options)
        if options.cells is not None:
            check_limits(settings)
    except ConfigError as error:
        print(f"poppyhold: {error}", file=sys.stderr)
        return _EXIT_CONFIG_ERROR
    if args.command == "quota":
        return _quota_status(settings, options, args.json)
    for line in [*limit_warnings(settings), *shortfalls(settings, options)]:
        log.warning("%s", line)
    if args.command == "check-config":
        print("ok")
        return 0
    _serve(settings, options)
    return 0


def _serve(settings: Settings, options: Options) -> None:
    """Run one controller until it is interrupted."""
    from poppyhold.node.service import Node

    threading.stack_size(_THREAD_STACK_BYTES)

    # Most objects of a controller are long-lived: scanning them for garbage every few hundred allocations
    # delays heartbeat handling.
    gc.freeze()
    gc.set_threshold(*_GC_THRESHOLDS)
    node = Node(settings, options)
    try:
        node.run()
    except KeyboardInterrupt:
        node.stop()
