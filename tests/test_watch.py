"""Following a prefix: what is handed on, in which order, and where it goes on after each kind of failure."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from itertools import count

import pytest

from poppyhold.durable.changes import DeletedKey, Entry, WatchEvent
from poppyhold.durable.errors import OutcomeUnknownError, StoreRejectedError, WatchCompactedError
from poppyhold.durable.store import Changes, Page, Store
from poppyhold.durable.watch import Watch

PREFIX = "ph/a/"
SET = Entry(f"{PREFIX}new", {"v": 2}, 12)
DELETE = DeletedKey(f"{PREFIX}old", 13)


class ScriptedStore(Store):
    """A state service whose answers to a watch are listed; after the last one the watch is stopped."""

    def __init__(self, *answers: Changes | Exception) -> None:
        self.answers = deque(answers)
        self.pages = 0
        self.asked_from: list[int] = []
        self.stop: Callable[[], None] = lambda: None

    def page(self, prefix: str, after: str, max_entries: int = 1000) -> Page:
        self.pages += 1
        return Page([Entry(f"{PREFIX}old", {"page": self.pages}, 5)], False, 10 * self.pages)

    def poll_changes(self, prefix: str, since: int, poll_timeout_s: float) -> Changes:
        self.asked_from.append(since)
        if not self.answers:
            self.stop()
            return Changes([SET], 99)
        answer = self.answers.popleft()
        if isinstance(answer, Exception):
            raise answer
        return answer


class Heard:
    """What a watch hands on."""

    def __init__(self) -> None:
        self.snapshots: list[int] = []
        self.changes: list[tuple[str, int]] = []
        self.caught_up: list[tuple[float, int]] = []

    def on_snapshot(self, entries: list[Entry]) -> None:
        self.snapshots.append(entries[0].data["page"])
        assert len(entries) == 1

    def on_change(self, change: WatchEvent) -> None:
        self.changes.append((change.key, change.revision))


def watch(store: ScriptedStore, heard: Heard, **replaced: Callable[..., None]) -> Watch:
    """A watch that ends with the script, run in this thread; its clock counts its requests."""
    ticks = count(1)
    made = Watch(
        store,
        PREFIX,
        0.01,
        replaced.get("on_snapshot", heard.on_snapshot),
        replaced.get("on_change", heard.on_change),
        lambda: float(next(ticks)),
        lambda asked, revision: heard.caught_up.append((asked, revision)),
    )
    store.stop = made.stop
    return made


def test_a_snapshot_comes_first_and_then_every_change_in_order() -> None:
    store, heard = ScriptedStore(Changes([SET, DELETE], 13), Changes([], 14)), Heard()
    made = watch(store, heard)
    made._run()
    assert heard.snapshots == [1]
    assert heard.changes == [(f"{PREFIX}new", 12), (f"{PREFIX}old", 13)]
    assert store.asked_from == [10, 13, 14]
    # Caught up as of the moment of each request, and after a stop no more.
    assert heard.caught_up == [(1.0, 10), (2.0, 13), (3.0, 14)]
    assert made.first_revision == 10


@pytest.mark.parametrize("error", [StoreRejectedError("503"), OutcomeUnknownError("lost")], ids=str)
def test_a_request_that_failed_is_repeated(error: Exception) -> None:
    store, heard = ScriptedStore(Changes([], 13), error), Heard()
    watch(store, heard)._run()
    assert (heard.snapshots, store.asked_from) == ([1], [10, 13, 13])


def test_a_compacted_watch_reads_a_new_snapshot() -> None:
    store, heard = ScriptedStore(WatchCompactedError(PREFIX, 10)), Heard()
    made = watch(store, heard)
    made._run()
    assert (heard.snapshots, store.asked_from) == ([1, 2], [10, 20])
    # What the process saw first stays what it was.
    assert made.first_revision == 10


def test_a_change_that_cannot_be_handled_starts_the_watch_over() -> None:
    store, heard = ScriptedStore(Changes([SET], 13)), Heard()

    def on_change(change: WatchEvent) -> None:
        raise KeyError("of a version to come")

    watch(store, heard, on_change=on_change)._run()
    assert (heard.snapshots, store.asked_from) == ([1, 2], [10, 20])


def test_after_a_stop_nothing_is_handed_on() -> None:
    store, heard = ScriptedStore(Changes([SET, DELETE], 13)), Heard()

    def on_change(change: WatchEvent) -> None:
        heard.on_change(change)
        made.stop()

    made = watch(store, heard, on_change=on_change)
    made._run()
    assert heard.changes == [(f"{PREFIX}new", 12)]
    # Not every change was handed on: nobody is told that we have caught up.
    assert heard.caught_up == [(1.0, 10)]


def test_a_snapshot_that_was_read_as_the_watch_was_stopped_is_dropped() -> None:
    store, heard = ScriptedStore(), Heard()
    made = watch(store, heard)
    read = store.page

    def page(prefix: str, after: str, max_entries: int = 1000) -> Page:
        made.stop()
        return read(prefix, after, max_entries)

    store.page = page  # type: ignore[method-assign]
    made._run()
    assert (heard.snapshots, heard.caught_up, made.first_revision) == ([], [], -1)


def test_a_watch_needs_no_callback_for_having_caught_up() -> None:
    store, heard = ScriptedStore(), Heard()
    made = Watch(store, PREFIX, 0.01, heard.on_snapshot, heard.on_change)
    store.stop = made.stop
    made._run()
    assert (heard.snapshots, store.asked_from) == ([1], [10])
