"""Lease delegation: the leader lets other controllers renew workers' leases where a partition separates it.

A zone that is cut off keeps working internally, but only while a controller there renews its workers' leases.
With each ping the leader grants every controller a `LeaseDelegation`: up to when it is sure of its leadership
and knows every cancellation. A controller that then loses the leader, and either the state service as well or
only the path to the leader, may renew leases under the leader's fencing token (`cluster.delegated_renewals`),
without any commands, for as long as the leader itself might: while a lease renewed now ends within `cancel_s`
of that time. The leader treats no lease as expired that such a renewal may have extended: `DelegationTracker`
bounds them.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

from poppyhold.model.durations import Durations


class LeaseDelegation(NamedTuple):
    """What a leader grants the other controllers."""

    fencing_token: int
    # Wall-clock time up to which the leader is certain of its leadership and knows every cancellation.
    known_until_wall: float
    # Machines with tasks that must be stopped: only the leader renews their leases.
    excluded_machines: Sequence[str]


class DelegationTracker:
    """The leader's side: bounds until when other controllers may have renewed leases on its behalf."""

    def __init__(self, durations: Durations, skew_s: float) -> None:
        self._durations = durations
        # A grant is used no longer than this after it was sent: the wall clocks of both ends may be off, and
        # time passes between composing and sending.
        self._max_grant_s = durations.unconfirmed_renewal_s * 1.001 + 4 * skew_s
        # By controller: when it was last granted a delegation; when it was last certain to renew nothing; and
        # the bound on its renewals up to its last response.
        self._granted_at: dict[str, float] = {}
        self._idle_at: dict[str, float] = {}
        self._renewed_until: dict[str, float] = {}

    def record_grant(self, member: str, now: float) -> None:
        """Record that a controller is about to be granted a delegation."""
        self._granted_at[member] = now
        self._idle_at.setdefault(member, now)

    def record_response(self, member: str, granted_at: float) -> None:
        """Record the response to the grant of that time: the controller renewed nothing just then."""
        if member not in self._granted_at:
            return
        self._renewed_until[member] = self._latest_renewal_at(member, granted_at)
        self._idle_at[member] = max(granted_at, self._idle_at[member])

    def latest_renewal_at(self, now: float) -> float:
        """No other controller has renewed a lease on this leader's behalf later than this."""
        return max(
            (self._latest_renewal_at(member, now) for member in list(self._granted_at)),
            default=float("-inf"),
        )

    def _latest_renewal_at(self, member: str, now: float) -> float:
        # Without a recent grant a controller may have renewed leases, even if it says that it did not: its
        # process may have restarted since.
        renewed_until = self._renewed_until.get(member, float("-inf"))
        if now - self._idle_at[member] <= self._durations.delegated_renewal_after_s:
            return renewed_until
        return max(renewed_until, min(now, self._granted_at[member] + self._max_grant_s))
