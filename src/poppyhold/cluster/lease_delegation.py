"""Lease proxies: controllers that renew workers' leases in the leader's name, where a cut keeps both from it.

A zone that is cut off goes on working inside, but only as long as somebody there answers its workers. The
leader tells each controller how far it is sure of its lead and of every cancellation. One that then loses
the leader, and either the state service as well or only the way to the leader, may give workers their leases
under the leader's token, without any orders, for as long as the leader itself might: until a lease given now
would end later than `cancel_s` behind that moment. The leader counts on it: it takes no lease for over that
such an answer may have prolonged.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Sequence
from typing import NamedTuple

from poppyhold.model.durations import Durations
from poppyhold.wire.worker_messages import Heartbeat

log = logging.getLogger(__name__)


class LeaseDelegation(NamedTuple):
    """What a leader tells the others."""

    fencing_token: int
    # Time of day up to which it is sure of its lead and knows every cancellation.
    known_wall: float
    # Machines that hold what has to be stopped: their leases must be left to the leader.
    excluded_machines: Sequence[str]


class DelegatedRenewal:
    """The side of a controller that may have to renew leases for the leader."""

    def __init__(
        self, times: Durations, skew_s: float, clock: Callable[[], float], wall: Callable[[], float]
    ) -> None:
        self._times, self._skew_s, self._clock, self._wall = times, skew_s, clock, wall
        self._delegation: LeaseDelegation | None = None
        self._heard_at = float("-inf")
        self._standing_in = False

    def heard(self, fencing_token: int, delegation: LeaseDelegation | None) -> None:
        """The leader spoke. Who can't vouch for anything yet, as behind a change, trusts nobody."""
        if self._delegation is None or fencing_token >= self._delegation.fencing_token:
            self._delegation, self._heard_at = delegation, self._clock()
            self._standing_in = False

    def may_answer(
        self, heartbeat: Heartbeat, state_at: float, known_fencing_token: int, leader_unreachable: bool
    ) -> int | None:
        """The token to answer a worker with; None if that is not for us to do.

        ``state_at`` is when the state service last answered us, ``known_token`` that of the leader's key, and
        ``leader_unreachable`` whether nothing of ours gets through to the leader.
        """
        delegation, now = self._delegation, self._clock()
        if delegation is None or now - self._heard_at <= self._times.delegated_renewal_after_s:
            return None
        if now - state_at <= self._times.delegated_renewal_after_s and not (
            self._is_partition(delegation, known_fencing_token) and leader_unreachable
        ):
            log.debug("%s: the state service names the leader", heartbeat.machine)
            return None
        # A held message may come late: its own time of day tells how old it is.
        if self._wall() + 2 * self._skew_s > delegation.known_wall + self._times.unconfirmed_renewal_s:
            return None
        if (
            heartbeat.fencing_token != delegation.fencing_token
            or known_fencing_token > delegation.fencing_token
            or heartbeat.machine in delegation.excluded_machines
        ):
            log.debug(
                "%s: has token %d, trusted is %d",
                heartbeat.machine,
                heartbeat.fencing_token,
                delegation.fencing_token,
            )
            return None
        if not self._standing_in:
            self._standing_in = True
            log.info("standing in for the leader with token %d", delegation.fencing_token)
        return delegation.fencing_token

    @staticmethod
    def _is_partition(delegation: LeaseDelegation, known_fencing_token: int) -> bool:
        """Whether the leader still leads though it is not heard: its workers here may not reach it either.

        Where two zones can't reach each other and the third is cut off, both have the state service, and
        nobody could lead for all: the leases of the zone without the leader ended behind ten seconds.
        """
        return known_fencing_token == delegation.fencing_token


class LeaseDelegations:
    """The side of the leader: until when others may have answered workers in its name."""

    def __init__(self, times: Durations, skew_s: float) -> None:
        self._times = times
        # Both ends' times of day may be off, and ours moves on between saying and sending.
        self._longest_s = times.unconfirmed_renewal_s * 1.001 + 4 * skew_s
        self._told_at: dict[str, float] = {}
        self._clear_at: dict[str, float] = {}
        self._perhaps: dict[str, float] = {}

    def telling(self, member: str, now: float) -> None:
        """Another controller is about to be told what we are sure of."""
        self._told_at[member] = now
        self._clear_at.setdefault(member, now)

    def answered(self, member: str, asked_at: float) -> None:
        """It answered what it was told at that moment, and stood in for nobody just then."""
        if member not in self._told_at:
            return
        self._perhaps[member] = self._until(member, asked_at)
        self._clear_at[member] = max(asked_at, self._clear_at[member])

    def _until(self, member: str, now: float) -> float:
        # Without our word for a while it may have stood in: even one that says it did not, for its process
        # may have begun anew since.
        perhaps = self._perhaps.get(member, float("-inf"))
        if now - self._clear_at[member] <= self._times.delegated_renewal_after_s:
            return perhaps
        return max(perhaps, min(now, self._told_at[member] + self._longest_s))

    def until(self, now: float) -> float:
        """No worker was answered in our name later than this, by others."""
        return max((self._until(member, now) for member in list(self._told_at)), default=float("-inf"))
