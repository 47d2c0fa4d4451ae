"""Bounds how long a leader that can't reach the state service may renew workers' leases and start tasks."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from poppyhold.model.durations import Durations
from poppyhold.model.start_grant import StartGrant, StartRefusal

# Starts need a watch that caught up within this many leader leases: one poll of it may take almost one.
_MAX_WATCH_AGE_LEADER_LEASES = 2


class AuthorityLimits(NamedTuple):
    """Durations, in seconds, that bound what a leader may do without confirmation."""

    # How long leases may be renewed after the cancellation watermark.
    unconfirmed_renewal_s: float
    # Time to live of the lease that the leader's key is on.
    leader_lease_s: float
    # How long after its grant a start may leave the process.
    start_valid_s: float

    @classmethod
    def of(cls, durations: Durations) -> AuthorityLimits:
        """Return the limits of a deployment."""
        return cls(durations.unconfirmed_renewal_s, durations.leader_lease_s, durations.command_timeout_s)


class RenewalAuthority:
    """Tracks up to which time the leader has applied all cancellations, to bound its renewals.

    A cancellation that the leader has not applied was confirmed to its user after the leader's watch had last
    caught up with the state service, and by a controller that has not answered a query since. So the leader
    may renew leases as long as a lease renewed at that moment ends within `cancel_s` of its watermark: the
    later of the time of the watch, and the earliest of all controllers' last queries (the leader's own
    included) whose answers named no cancellation that the leader had not applied.
    """

    def __init__(self, limits: AuthorityLimits, members: Iterable[str], began_at: float) -> None:
        self._limits = limits
        # By controller: every cancellation that it confirmed before this time is applied.
        self._peer_watermarks = {member: float("-inf") for member in members}
        # Every change before this time, and up to this revision, is applied.
        self.watch_caught_up_at = began_at
        self.applied_revision = -1

    def observe_watch(self, requested_at: float, revision: int) -> None:
        """Record that every change that the state service had at ``requested_at`` is applied."""
        self.watch_caught_up_at, self.applied_revision = requested_at, revision

    def observe_peer(self, member: str, requested_at: float, bound: int) -> None:
        """Record that a controller's listed cancellations are applied; ``bound`` bounds its other ones.

        The time of the request counts: after responding the controller may have confirmed more. With a bound
        of -1 (unknown) or above the applied revision, nothing is recorded.
        """
        if 0 <= bound <= self.applied_revision:
            self._peer_watermarks[member] = max(requested_at, self._peer_watermarks[member])

    def cancellation_watermark(self, confirmed_at: float) -> float:
        """Every cancellation that was confirmed before this time is applied.

        ``confirmed_at`` is when this leader's leadership was last confirmed. It limits the time of the watch:
        the next leader relies on this one's renewals to end within `cancel_s` of its election, and the watch
        may still deliver job changes after that. Queries need no such limit: on the response of a controller
        that has become the leader, this one steps down.
        """
        return max(min(self.watch_caught_up_at, confirmed_at), min(self._peer_watermarks.values()))

    def renewals_allowed_until(self, confirmed_at: float) -> float:
        """Until when workers' leases may be renewed on the present evidence."""
        return self.cancellation_watermark(confirmed_at) + self._limits.unconfirmed_renewal_s

    def may_renew_leases(self, now: float, confirmed_at: float) -> bool:
        """Whether workers' leases may be renewed."""
        return now <= self.renewals_allowed_until(confirmed_at)

    def start_grant(self, now: float, confirmed_at: float) -> StartGrant | StartRefusal:
        """Grant the sending of starts, or say why they are refused.

        A start that reaches its worker as late as the grant allows is bounded like a lease that is renewed at
        that moment: if its job was cancelled meanwhile, it ends within `cancel_s`.
        """
        limits = self._limits
        if now - confirmed_at >= limits.leader_lease_s:
            return StartRefusal.LEADERSHIP_UNCONFIRMED
        if now - self.watch_caught_up_at >= limits.leader_lease_s * _MAX_WATCH_AGE_LEADER_LEASES:
            return StartRefusal.CANCELLATIONS_UNKNOWN
        applied_until = self.cancellation_watermark(confirmed_at)
        expires_at = min(now + limits.start_valid_s, self.renewals_allowed_until(confirmed_at))
        return StartGrant(applied_until, expires_at)
