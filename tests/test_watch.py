"""Watching a prefix: what is delivered, in which order, and where it resumes after each failure."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from itertools import count

import pytest

from poppyhold.cluster.authority import AuthorityLimits, RenewalAuthority
from poppyhold.durable.changes import DeletedKey, Entry, WatchEvent
from poppyhold.durable.errors import OutcomeUnknownError, StoreRejectedError, WatchCompactedError
from poppyhold.durable.store import Changes, Page, Store
from poppyhold.durable.watch import Watch

PREFIX = "ph/a/"
SET = Entry(f"{PREFIX}new", {"v": 2}, 12)
DELETE = DeletedKey(f"{PREFIX}old", 13)


class ScriptedStore(Store):
    """A state service with scripted answers to a watch, which is stopped after the last one."""

    def __init__(self, *answers: Changes | Exception) -> None:
        self.answers = deque(answers)
        self.pages = 0
        self.polled_since: list[int] = []
        self.stop: Callable[[], None] = lambda: None

    def page(self, prefix: str, after: str, max_entries: int = 1000) -> Page:
        self.pages += 1
        return Page([Entry(f"{PREFIX}old", {"page": self.pages}, 5)], False, 10 * self.pages)

    def poll_changes(self, prefix: str, since: int, poll_timeout_s: float) -> Changes:
        self.polled_since.append(since)
        if not self.answers:
            self.stop()
            return Changes([SET], 99)
        answer = self.answers.popleft()
        if isinstance(answer, Exception):
            raise answer
        return answer


class WatchRecorder:
    """Records what a watch delivers."""

    def __init__(self) -> None:
        self.snapshots: list[int] = []
        self.changes: list[tuple[str, int]] = []
        self.caught_up: list[tuple[float, int]] = []

    def on_snapshot(self, entries: list[Entry]) -> None:
        self.snapshots.append(entries[0].data["page"])
        assert len(entries) == 1

    def on_change(self, change: WatchEvent) -> None:
        self.changes.append((change.key, change.revision))


def watch(store: ScriptedStore, recorder: WatchRecorder, **replaced: Callable[..., None]) -> Watch:
    """A watch that stops at the end of the script; its clock counts its requests."""
    ticks = count(1)
    watcher = Watch(
        store,
        PREFIX,
        0.01,
        replaced.get("on_snapshot", recorder.on_snapshot),
        replaced.get("on_change", recorder.on_change),
        lambda: float(next(ticks)),
        lambda requested_at, revision: recorder.caught_up.append((requested_at, revision)),
    )
    store.stop = watcher.stop
    return watcher


def test_a_snapshot_comes_first_and_then_every_change_in_order() -> None:
    store, recorder = ScriptedStore(Changes([SET, DELETE], 13), Changes([], 14)), WatchRecorder()
    watcher = watch(store, recorder)
    watcher._run()
    assert recorder.snapshots == [1]
    assert recorder.changes == [(f"{PREFIX}new", 12), (f"{PREFIX}old", 13)]
    assert store.polled_since == [10, 13, 14]
    # It has caught up as of the time of each request, and no more after a stop.
    assert recorder.caught_up == [(1.0, 10), (2.0, 13), (3.0, 14)]
    assert watcher.first_revision == 10


@pytest.mark.parametrize("error", [StoreRejectedError("503"), OutcomeUnknownError("lost")], ids=str)
def test_a_failed_request_is_retried(error: Exception) -> None:
    store, recorder = ScriptedStore(Changes([], 13), error), WatchRecorder()
    watch(store, recorder)._run()
    assert (recorder.snapshots, store.polled_since) == ([1], [10, 13, 13])


def test_a_compacted_watch_reads_a_new_snapshot() -> None:
    store, recorder = ScriptedStore(WatchCompactedError(PREFIX, 10)), WatchRecorder()
    watcher = watch(store, recorder)
    watcher._run()
    assert (recorder.snapshots, store.polled_since) == ([1, 2], [10, 20])
    # The first revision that the process saw does not change.
    assert watcher.first_revision == 10


def test_a_change_whose_handler_fails_restarts_the_watch() -> None:
    store, recorder = ScriptedStore(Changes([SET], 13)), WatchRecorder()

    def on_change(change: WatchEvent) -> None:
        raise KeyError("of a version to come")

    watch(store, recorder, on_change=on_change)._run()
    assert (recorder.snapshots, store.polled_since) == ([1, 2], [10, 20])


def test_no_change_is_delivered_after_a_stop() -> None:
    store, recorder = ScriptedStore(Changes([SET, DELETE], 13)), WatchRecorder()

    def on_change(change: WatchEvent) -> None:
        recorder.on_change(change)
        watcher.stop()

    watcher = watch(store, recorder, on_change=on_change)
    watcher._run()
    assert recorder.changes == [(f"{PREFIX}new", 12)]
    # Not every change was delivered, so the watch does not signal that it has caught up.
    assert recorder.caught_up == [(1.0, 10)]


def test_a_snapshot_that_was_read_as_the_watch_was_stopped_is_dropped() -> None:
    store, recorder = ScriptedStore(), WatchRecorder()
    watcher = watch(store, recorder)
    read = store.page

    def page(prefix: str, after: str, max_entries: int = 1000) -> Page:
        watcher.stop()
        return read(prefix, after, max_entries)

    store.page = page  # type: ignore[method-assign]
    watcher._run()
    assert (recorder.snapshots, recorder.caught_up, watcher.first_revision) == ([], [], -1)


def test_the_caught_up_callback_is_optional() -> None:
    store, recorder = ScriptedStore(), WatchRecorder()
    watcher = Watch(store, PREFIX, 0.01, recorder.on_snapshot, recorder.on_change)
    store.stop = watcher.stop
    watcher._run()
    assert (recorder.snapshots, store.polled_since) == ([1], [10])


class TwoPageStore(ScriptedStore):
    """A state service whose second page is refused once, while a key of the first page is deleted."""

    def __init__(self) -> None:
        super().__init__()
        self.refusals = 1

    def page(self, prefix: str, after: str, max_entries: int = 1000) -> Page:
        self.pages += 1
        if not after:
            return Page([Entry(f"{PREFIX}cancelled", {"page": 1}, 5)], True, 10)
        if self.refusals:
            self.refusals -= 1
            raise StoreRejectedError("503")
        return Page([], False, 20)


def test_no_lease_is_renewed_on_a_page_that_was_read_before_a_cancellation() -> None:
    unconfirmed_renewal_s, outage_s = 20.0, 60.0
    store, now = TwoPageStore(), [0.0]
    authority = RenewalAuthority(AuthorityLimits(unconfirmed_renewal_s, 4.0, 4.0), ["hive-0", "hive-1"], 0.0)
    caught_up: list[float] = []

    def on_caught_up(requested_at: float, revision: int) -> None:
        authority.observe_watch(requested_at, revision)
        caught_up.append(requested_at)
        watcher.stop()

    watcher = Watch(
        store, PREFIX, 0.01, lambda entries: None, lambda change: None, lambda: now[0], on_caught_up
    )
    read = store.page

    def page(prefix: str, after: str, max_entries: int = 1000) -> Page:
        if after and store.refusals:
            now[0] += outage_s
        return read(prefix, after, max_entries)

    store.page = page  # type: ignore[method-assign]
    watcher._run()
    assert len(caught_up) == 1
    assert not authority.may_renew_leases(now[0], confirmed_at=now[0])
