"""How long a leader that lost the state service may go on answering workers."""

from __future__ import annotations

from collections.abc import Iterable


class Authority:
    """What a leader knows of cancellations, and what it may do without confirmation from the state service.

    A cancellation that we have not acted on was confirmed to its user behind the last moment at which we were
    in step with the state service, and by a controller that we have not asked since. So we may answer until a
    lease given now would end later than `cancel_s` behind the last moment at which every controller, this one
    too, was asked and had confirmed nothing that we had not acted on.
    """

    def __init__(self, unconfirmed_renewal_s: float, members: Iterable[str], began_at: float) -> None:
        self._unconfirmed_renewal_s = unconfirmed_renewal_s
        self._clear_at = {member: float("-inf") for member in members}
        # Every change before this moment, and up to this revision, has been acted on.
        self.synced_at = began_at
        self.revision = -1

    def synced(self, asked: float, revision: int) -> None:
        """All that the state service told of when it was asked is acted on."""
        self.synced_at, self.revision = asked, revision

    def learned(self, member: str, asked: float, bound: int) -> None:
        """What a controller named when it was asked is acted on; all else it confirmed came by ``bound``.

        The moment of the question counts: between its answer and now the controller may have confirmed more.
        """
        if 0 <= bound <= self.revision:
            self._clear_at[member] = max(asked, self._clear_at[member])

    def known_until(self, confirmed_at: float) -> float:
        """No cancellation that was confirmed up to this moment is unknown to us.

        ``confirmed_at`` is when the lead was last confirmed as ours. The next leader counts on our answers to
        end within `cancel_s` of its beginning, and the state service may go on to tell of jobs behind that.
        Controllers that are asked have not begun to lead by then, or we step down on their answer.
        """
        return max(min(self.synced_at, confirmed_at), min(self._clear_at.values()))

    def may_answer(self, now: float, confirmed_at: float) -> bool:
        """Whether a worker may be given another lease."""
        return now <= self.known_until(confirmed_at) + self._unconfirmed_renewal_s
