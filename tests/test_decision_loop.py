"""The decision thread: the order of its events and cycles, and what it does after an error or a stop."""

from __future__ import annotations

import threading
from collections.abc import Callable, Iterator

import pytest

from poppyhold.concurrency.priority_queue import DECISIONS, HEARTBEATS, SUBMISSIONS
from poppyhold.node.decision_loop import DecisionLoop

TIMEOUT_S = 10.0
INTERVAL_S = 0.2


@pytest.fixture
def loop() -> Iterator[DecisionLoop]:
    loop = DecisionLoop(max_waiting_heartbeats=2, heartbeat_interval_s=INTERVAL_S)
    yield loop
    loop.stop()


def start(
    loop: DecisionLoop,
    prepare: Callable[[], bool] = lambda: True,
    tick: Callable[[], None] = lambda: None,
    due_at: Callable[[], float | None] = lambda: None,
    cycle: Callable[[], None] = lambda: None,
    publish: Callable[[], None] = lambda: None,
) -> None:
    loop.start(prepare, tick, due_at, cycle, publish)


def test_queued_events_are_handled_by_priority_and_cycles_run_only_on_an_empty_queue(
    loop: DecisionLoop,
) -> None:
    order: list[str] = []
    done = threading.Event()
    for priority, name in ((SUBMISSIONS, "submission"), (DECISIONS, "decision"), (HEARTBEATS, "heartbeat")):
        assert loop.post(priority, lambda name=name: order.append(name))  # type: ignore[misc]

    def cycle() -> None:
        order.append("cycle")
        done.set()

    start(loop, cycle=cycle)
    assert done.wait(TIMEOUT_S)
    assert order[:4] == ["heartbeat", "decision", "submission", "cycle"]


def test_a_failing_event_stops_neither_the_thread_nor_its_ticks(loop: DecisionLoop) -> None:
    handled, ticked = threading.Event(), threading.Event()

    def fail() -> None:
        raise RuntimeError("an event that can't be handled")

    loop.post(DECISIONS, fail)
    loop.post(DECISIONS, handled.set)
    start(loop, tick=ticked.set)
    assert handled.wait(TIMEOUT_S)
    assert ticked.wait(TIMEOUT_S)


def test_no_event_is_handled_before_the_state_is_rebuilt_or_if_rebuilding_fails(loop: DecisionLoop) -> None:
    handled, prepared, resume = threading.Event(), threading.Event(), threading.Event()
    loop.post(HEARTBEATS, handled.set)

    def prepare() -> bool:
        prepared.set()
        resume.wait(TIMEOUT_S)
        return False

    start(loop, prepare=prepare)
    assert prepared.wait(TIMEOUT_S)
    assert not handled.is_set()
    resume.set()
    assert not handled.wait(2 * INTERVAL_S)


def test_only_heartbeats_are_bounded_and_queued_ones_are_answered_when_the_loop_stops(
    loop: DecisionLoop,
) -> None:
    answered: list[str] = []
    assert loop.post(HEARTBEATS, lambda: answered.append("first"))
    assert loop.post(HEARTBEATS, lambda: answered.append("second"))
    assert not loop.post(HEARTBEATS, lambda: answered.append("third"))
    for _ in range(3):
        assert loop.post(DECISIONS, lambda: answered.append("decision"))
    loop.stop()
    assert not loop.post(DECISIONS, lambda: answered.append("late"))
    loop.reject_queued_heartbeats()
    assert answered == ["first", "second"]
