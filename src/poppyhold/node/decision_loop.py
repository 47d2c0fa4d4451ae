"""The decision thread of one term: processes queued events by priority, one at a time."""

from __future__ import annotations

import logging
import threading
import time
from collections.abc import Callable

from poppyhold.concurrency.priority_queue import PriorityQueue, Work

log = logging.getLogger(__name__)

# Ticks per heartbeat interval.
_TICKS_PER_INTERVAL = 4
# After work the idle thread coalesces events for the heartbeat interval divided by this.
_COALESCING_DIVISOR = 100


class DecisionLoop:
    """Owns the decision thread, the only one that changes the fleet's state.

    Other threads post events; the loop runs them by priority, ticks several times per heartbeat interval, and
    runs the scheduler whenever the queue is empty.
    """

    def __init__(self, max_waiting_heartbeats: int, heartbeat_interval_s: float) -> None:
        # False once `stop` was called: then no event is queued, no lease renewed and no task started.
        self.alive = True
        self._queue = PriorityQueue(max_waiting_heartbeats, heartbeat_interval_s / _COALESCING_DIVISOR)
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
            prepare: rebuilds the state before the first event; returns False if the term can't begin.
            tick: does the periodic work.
            scheduling_due_at: returns the time at which the thread wakes up even without an event, or None.
            run_scheduling_cycle: called when the queue is empty.
            publish: called after each event, to update the state that other threads read.

        """
        self._prepare, self._tick = prepare, tick
        self._scheduling_due_at, self._run_scheduling_cycle = scheduling_due_at, run_scheduling_cycle
        self._publish = publish
        threading.Thread(target=self._run, name="decisions", daemon=True).start()

    def post(self, priority: int, work: Work) -> bool:
        """Queue an event, from any thread; False if the term is over or too many heartbeats are queued."""
        return self.alive and self._queue.put(priority, work)

    def stop(self) -> None:
        """Accept no more events. The thread ends after its current event."""
        self.alive = False

    def reject_queued_heartbeats(self) -> None:
        """Close the queue of a stopped loop, and answer the heartbeats in it with a rejection."""
        for work in self._queue.close():
            work()

    def _run(self) -> None:
        if self._prepare():
            self._process_events()

    def _process_events(self) -> None:
        """Process events by priority until the term is over."""
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
                # A failed event must not end the term: the loop continues with the next one.
                log.exception("event, tick or scheduling cycle failed, continuing with the next event")
