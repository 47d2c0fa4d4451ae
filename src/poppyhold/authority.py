"""How long a leader that lost the state service may go on answering workers."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from poppyhold.peers import PeerView


class Authority:
    """Bounds what may be done without confirmation from the state service.

    A cancellation that we don't know of was told to its user either before we last were in step with
    the state service, and then we know it, or by a controller that still has it. So we may answer
    until a lease given now would end later than `cancel_s` behind the last moment at which every other
    controller is known to have been cut off too.
    """

    def __init__(
        self, blind_answers_s: float, members: Iterable[str], views: Callable[[], dict[str, PeerView]]
    ) -> None:
        self._blind_answers_s = blind_answers_s
        self._members = list(members)
        self._views = views

    def known_until(self, synced_at: float) -> float:
        """No cancellation up to this moment is unknown to us."""
        views = self._views()
        blind = [views[member].blind_until if member in views else float("-inf") for member in self._members]
        return max(synced_at, min(blind, default=float("inf")) if self._members else synced_at)

    def may_answer(self, now: float, synced_at: float) -> bool:
        """Whether a worker may be given another lease."""
        return now <= self.known_until(synced_at) + self._blind_answers_s
