"""Lease delegation: other controllers renew the leases of workers that a partition keeps from the leader.

The tasks of a zone that is cut off run on only while a controller in the zone renews its workers' leases. The
leader's pings carry a `LeaseDelegation` once no machine may run tasks of earlier terms. A controller that got
no ping for `delegated_renewal_after_s` may renew leases under the leader's fencing token, without any
commands (`cluster.delegated_renewals`), if the state service has not responded for as long either, or if the
key still names a leader that it can't reach. It may do so as long as a lease renewed at that moment ends
within `cancel_s` of `confirmed_until_wall`. `DelegationTracker` bounds the time of such renewals, and the
leader treats no lease as expired that one of them may have extended.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

from poppyhold.model.durations import Durations


class LeaseDelegation(NamedTuple):
    """The permission to renew workers' leases for a leader; sent with its pings."""

    # The lowest token of the leader's term.
    fencing_token: int
    # Wall-clock time up to which the leadership is confirmed and every cancellation in the state service is
    # applied. The delegation ends `unconfirmed_renewal_s` later.
    confirmed_until_wall: float
    # Machines with tasks of finalized jobs or unknown tasks: only the leader, which stops these tasks, renews
    # their leases.
    excluded_machines: Sequence[str]


class DelegationTracker:
    """The leader's upper bound on when other controllers last renewed a worker's lease for it."""

    def __init__(self, durations: Durations, skew_s: float) -> None:
        self._durations = durations
        # A delegation is used no longer than this after `record_grant`: the clocks of the leader and the
        # delegate drift (0.1%) and their wall clocks may each be off by ``skew_s``; the rest is a margin for
        # the time from `record_grant` to the composition of the ping.
        self._max_grant_s = durations.unconfirmed_renewal_s * 1.001 + 4 * skew_s
        # By controller: when the last ping to it was about to be composed.
        self._granted_at: dict[str, float] = {}
        # When the last ping that it answered was recorded by `record_grant`; before, the first such time.
        self._acknowledged_grant_at: dict[str, float] = {}
        # Upper bound on its renewals before that ping.
        self._acknowledged_renewal_bounds: dict[str, float] = {}

    def record_grant(self, member: str, now: float) -> None:
        """Record that a ping, which may grant a delegation, is about to be composed for a controller."""
        self._granted_at[member] = now
        self._acknowledged_grant_at.setdefault(member, now)

    def record_response(self, member: str, granted_at: float) -> None:
        """Record that a controller answered the ping recorded at ``granted_at``.

        Once it has received a ping, it renews nothing for `delegated_renewal_after_s`.
        """
        if member not in self._granted_at:
            return
        self._acknowledged_renewal_bounds[member] = self._latest_possible_renewal_by(member, granted_at)
        self._acknowledged_grant_at[member] = max(granted_at, self._acknowledged_grant_at[member])

    def latest_possible_renewal_at(self, now: float) -> float:
        """No other controller renewed a lease for this leader later than this; -inf if none can have."""
        return max(
            (self._latest_possible_renewal_by(member, now) for member in list(self._granted_at)),
            default=float("-inf"),
        )

    def _latest_possible_renewal_by(self, member: str, now: float) -> float:
        # If the last answered ping is older, the controller may have renewed leases since. Only time bounds
        # these renewals: a restarted process would not know those of the previous one.
        acknowledged_bound = self._acknowledged_renewal_bounds.get(member, float("-inf"))
        if now - self._acknowledged_grant_at[member] <= self._durations.delegated_renewal_after_s:
            return acknowledged_bound
        return max(acknowledged_bound, min(now, self._granted_at[member] + self._max_grant_s))
