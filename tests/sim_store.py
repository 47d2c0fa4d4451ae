"""The state client of a simulated node."""

from __future__ import annotations

from collections.abc import Sequence
from typing import TYPE_CHECKING

from poppyhold.durable.changes import Entry, Write, decode_entry, decode_event
from poppyhold.durable.errors import (
    ConditionFailedError,
    OutcomeUnknownError,
    StoreRejectedError,
    WatchCompactedError,
)
from poppyhold.durable.store import Changes, Page, Store, transaction_body
from poppyhold.scale.state_standin import StateStandIn

if TYPE_CHECKING:
    from sim_node import SimNode


class SimStore(Store):
    """The state client of a simulated node: calls are executed at once, or rejected."""

    def __init__(self, node: SimNode) -> None:
        self._node = node
        self.timeout_s = 1.0
        self.contact_at = float("-inf")

    def _state(self) -> StateStandIn:
        world = self._node.world
        if not self._node.alive or not self._node.reaches_state():
            raise StoreRejectedError("503")
        self.contact_at = world.now
        return world.state

    def get(self, key: str) -> Entry | None:
        status, body = self._state().get(key)
        return Entry(key, body["data"], body["stamp"]) if status == 200 else None

    def page(self, prefix: str, after: str, max_entries: int = 1000) -> Page:
        _, body = self._state().scan(prefix, after, max_entries)
        entries = [decode_entry(entry) for entry in body["entries"]]
        return Page(entries, body["more"], body["ledger"])

    def poll_changes(self, prefix: str, since: int, poll_timeout_s: float) -> Changes:
        state = self._state()
        if state.is_too_old(since):
            raise WatchCompactedError(prefix, since)
        return Changes([decode_event(event) for event in state.changes(prefix, since)], state.revision)

    def commit(self, conditions: dict[str, int], writes: Sequence[Write]) -> int:
        body = transaction_body(conditions, writes)
        state, world = self._state(), self._node.world
        # Writes of a transaction whose conditions fail count as well.
        world.work["changes"] += len(writes)
        if world.delayed_commit_share and world.rng.random() < world.delayed_commit_share:
            world.after(world.rng.uniform(2.0, 12.0), lambda: world.commit_delayed(body))
            raise OutcomeUnknownError("late")
        status, answer = state.commit(body)
        if status == 409:
            raise ConditionFailedError(answer["failed"])
        if status != 200:
            raise StoreRejectedError(str(answer))
        if self._node.commit_responses_to_lose > 0:
            self._node.commit_responses_to_lose -= 1
            raise OutcomeUnknownError("lost")
        if world.dropped_response_share and world.rng.random() < world.dropped_response_share:
            raise OutcomeUnknownError("lost")
        return int(answer["ledger"])
