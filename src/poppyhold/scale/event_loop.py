"""The event loop of a run: which one it is, how a signal ends the run, and what it does not report."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Coroutine
from typing import Any, TypeVar

import uvloop

_Result = TypeVar("_Result")


def run_interruptible(run: Coroutine[Any, Any, _Result]) -> _Result:
    """Run to the end; SIGINT and SIGTERM cancel the run, whose result records that.

    All load runs on one event loop; uvloop carries thousands of workers more than asyncio's loop.
    """
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(_cancelled_by_signals(run))


async def _cancelled_by_signals(run: Coroutine[Any, Any, _Result]) -> _Result:
    task = asyncio.ensure_future(run)
    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, task.cancel)
    return await task


def drop_loop_errors() -> None:
    """Drop errors that are reported to the running event loop: connections break as controllers end."""
    asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
