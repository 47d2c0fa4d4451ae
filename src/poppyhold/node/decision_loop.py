"""The decision thread of one term: it takes queued events by priority, one at a time."""

from __future__ import annotations

import logging
import threading
import time
from collections.abc import Callable

from poppyhold.concurrency.priority_queue import PriorityQueue, Work

log = logging.getLogger(__name__)

# Ticks within a heartbeat interval.
_TICKS_PER_INTERVAL = 4
# The thread's naps between events, as a divisor of the heartbeat interval.
_PAUSES_PER_INTERVAL = 100


class DecisionLoop:
    """Owns the decision thread, on which everything that changes the fleet's state runs.

    Other threads post events; the loop runs them by priority, ticks several times per heartbeat interval, and
    lets the scheduler run whenever no event waits.
    """

    def __init__(self, max_waiting_heartbeats: int, heartbeat_interval_s: float) -> None:
        # Whether the term still leads. Nothing is posted, answered or sent once it is False.
        self.alive = True
        self._queue = PriorityQueue(max_waiting_heartbeats, heartbeat_interval_s / _PAUSES_PER_INTERVAL)
        self._tick_s = heartbeat_interval_s / _TICKS_PER_INTERVAL

    def start(
        self,
        prepare: Callable[[], bool],
        tick: Callable[[], None],
        scheduling_due_at: Callable[[], float | None],
        run_scheduling_cycle: Callable[[], None],
        publish: Callable[[], None],
    ) -> None:
        """Start the thread.

        Args:
            prepare: rebuilds the state before any event is taken; False if the term can't begin.
            tick: does what depends on time alone.
            scheduling_due_at: the moment for which the thread wakes up even if no event comes, or None.
            run_scheduling_cycle: called when no event waits.
            publish: called after each event, for what other threads read.

        """
        self._prepare, self._tick = prepare, tick
        self._scheduling_due_at, self._run_scheduling_cycle = scheduling_due_at, run_scheduling_cycle
        self._publish = publish
        threading.Thread(target=self._run, name="decisions", daemon=True).start()

    def post(self, priority: int, work: Work) -> bool:
        """Queue an event from any thread; False if the term is over or too many events wait."""
        return self.alive and self._queue.put(priority, work)

    def stop(self) -> None:
        """Take no more events. The thread ends after the one that it is in."""
        self.alive = False

    def reject_waiting(self) -> None:
        """Close the queue of a stopped loop. Heartbeats that still wait are answered with a rejection."""
        for work in self._queue.close():
            work()

    def _run(self) -> None:
        if self._prepare():
            self._process_events()

    def _process_events(self) -> None:
        """Take events by priority until the term is over."""
        tick_at = time.monotonic()
        while self.alive:
            now = time.monotonic()
            wake_at = tick_at
            due_at = self._scheduling_due_at()
            if due_at is not None and due_at > now:
                wake_at = min(tick_at, due_at)
            work = self._queue.get(max(0.0, wake_at - now))
            try:
                if work is not None:
                    work()
                if time.monotonic() >= tick_at:
                    self._tick()
                    tick_at = time.monotonic() + self._tick_s
                if not len(self._queue):
                    self._run_scheduling_cycle()
                self._publish()
            except Exception:
                # An event that can't be handled must not end the term: the loop goes on with the next one.
                log.exception("decision failed")
