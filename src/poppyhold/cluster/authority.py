"""How long a leader that lost the state service may go on renewing workers' leases."""

from __future__ import annotations

from collections.abc import Iterable


class Authority:
    """What a leader knows of cancellations, and what it may do without confirmation by the state service.

    A cancellation that the leader has not acted on was confirmed to its user after the last moment at which
    the leader had caught up with the state service, and by a controller that has not been asked since. So the
    leader may renew leases until one that is renewed now would end later than `cancel_s` after its
    watermark: the last moment at which every controller, itself included, had been asked and had confirmed
    nothing that the leader had not acted on.
    """

    def __init__(self, unconfirmed_renewal_s: float, members: Iterable[str], began_at: float) -> None:
        self._unconfirmed_renewal_s = unconfirmed_renewal_s
        # Up to which moment every cancellation that a controller confirmed is acted on.
        self._peer_watermarks = {member: float("-inf") for member in members}
        # Every change before this moment, and up to this revision, has been acted on.
        self.watch_caught_up_at = began_at
        self.applied_revision = -1

    def observe_watch(self, requested_at: float, revision: int) -> None:
        """All changes that the state service knew of when it was asked are acted on."""
        self.watch_caught_up_at, self.applied_revision = requested_at, revision

    def observe_peer(self, member: str, requested_at: float, bound: int) -> None:
        """The cancellations that a controller listed are acted on; all others it confirmed came by ``bound``.

        The moment of the request counts: between its response and now the controller may have confirmed more.
        A bound of -1 says that the controller can't know.
        """
        if 0 <= bound <= self.applied_revision:
            self._peer_watermarks[member] = max(requested_at, self._peer_watermarks[member])

    def cancellation_watermark(self, confirmed_at: float) -> float:
        """The watermark: every cancellation that was confirmed before this moment is acted on.

        ``confirmed_at`` is when our leadership was last confirmed. The next leader relies on our renewals to
        end within `cancel_s` of its beginning, and the state service may still tell us of jobs after that.
        Controllers that are asked have not begun to lead by then, or we step down on their response.
        """
        return max(min(self.watch_caught_up_at, confirmed_at), min(self._peer_watermarks.values()))

    def may_renew_leases(self, now: float, confirmed_at: float) -> bool:
        """Whether a worker's lease may be renewed."""
        return now <= self.cancellation_watermark(confirmed_at) + self._unconfirmed_renewal_s
