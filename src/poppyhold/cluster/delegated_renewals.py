"""Renewals of workers' leases on behalf of an unreachable leader (`cluster.lease_delegation`)."""

from __future__ import annotations

import logging
from collections.abc import Callable

from poppyhold.cluster.lease_delegation import LeaseDelegation
from poppyhold.model.durations import Durations
from poppyhold.wire.worker_messages import Heartbeat

log = logging.getLogger(__name__)


class DelegatedRenewals:
    """The delegate's side: decides whether a worker's lease may be renewed on behalf of the leader."""

    def __init__(
        self,
        durations: Durations,
        skew_s: float,
        clock: Callable[[], float],
        wall_clock: Callable[[], float],
    ) -> None:
        self._durations, self._skew_s = durations, skew_s
        self._clock, self._wall_clock = clock, wall_clock
        self._delegation: LeaseDelegation | None = None
        # The highest token of the delegating leader's term.
        self._highest_fencing_token = 0
        self._last_ping_at = float("-inf")
        # Whether leases are being renewed: only the first renewal is logged.
        self._renewing = False

    def observe_leader(
        self, fencing_token: int, delegation: LeaseDelegation | None, highest_fencing_token: int = 0
    ) -> None:
        """Record a leader's ping. One without a delegation, as after a failover, revokes an earlier one.

        Pings with a lower fencing token than that of the delegation are ignored. ``highest_fencing_token`` is
        the highest of the leader's term; 0 if it uses ``fencing_token`` alone.
        """
        if self._delegation is None or fencing_token >= self._delegation.fencing_token:
            self._delegation, self._last_ping_at = delegation, self._clock()
            self._highest_fencing_token = max(fencing_token, highest_fencing_token)
            self._renewing = False

    def renewal_fencing_token(
        self,
        heartbeat: Heartbeat,
        store_contact_at: float,
        known_fencing_token: int,
        leader_unreachable: bool,
    ) -> int | None:
        """The fencing token to renew a worker's lease with; None if this controller must not renew it.

        ``store_contact_at`` is when the state service last responded to this controller,
        ``known_fencing_token`` is the leader's, 0 if no leader is known, and ``leader_unreachable`` whether
        connections from this controller to the leader time out.
        """
        delegation = self._delegation
        if delegation is None or not self._is_due(
            delegation, heartbeat, store_contact_at, known_fencing_token, leader_unreachable
        ):
            return None
        # By the wall clock, as the ping with the delegation may have been in transit for long.
        expires_at_wall = delegation.confirmed_until_wall + self._durations.unconfirmed_renewal_s
        if self._wall_clock() + 2 * self._skew_s > expires_at_wall:
            return None
        if not self._covers(delegation, heartbeat, known_fencing_token):
            return None
        if not self._renewing:
            self._renewing = True
            log.info("renewing leases on behalf of the leader: fencing_token=%d", delegation.fencing_token)
        # Workers accept a response with the very token that they have seen.
        return heartbeat.fencing_token

    def _is_due(
        self,
        delegation: LeaseDelegation,
        heartbeat: Heartbeat,
        store_contact_at: float,
        known_fencing_token: int,
        leader_unreachable: bool,
    ) -> bool:
        """Whether the leader's pings have been missing for long enough, and workers may not reach it either.

        The latter is assumed if the state service does not respond to this controller, or in a partition.
        """
        now, renewal_after_s = self._clock(), self._durations.delegated_renewal_after_s
        if now - self._last_ping_at <= renewal_after_s:
            return False
        if now - store_contact_at <= renewal_after_s and not (
            self._is_partition(delegation, known_fencing_token) and leader_unreachable
        ):
            log.debug("lease not renewed, state service reachable: machine=%s", heartbeat.machine)
            return False
        return True

    def _covers(self, delegation: LeaseDelegation, heartbeat: Heartbeat, known_fencing_token: int) -> bool:
        """Whether the delegation covers this worker's lease, and no later leader is known.

        A token of the leader's term shows that the worker has heard this leader and no later one.
        """
        if (
            delegation.fencing_token <= heartbeat.fencing_token <= self._highest_fencing_token
            and known_fencing_token <= delegation.fencing_token
            and heartbeat.machine not in delegation.excluded_machines
        ):
            return True
        log.debug(
            "lease not renewed: machine=%s fencing_token=%d delegated_fencing_token=%d"
            " highest_fencing_token=%d",
            heartbeat.machine,
            heartbeat.fencing_token,
            delegation.fencing_token,
            self._highest_fencing_token,
        )
        return False

    @staticmethod
    def _is_partition(delegation: LeaseDelegation, known_fencing_token: int) -> bool:
        """Whether the delegating leader still leads, so that its missing pings indicate a partition.

        Where two zones can't reach each other and the third is cut off, both reach the state service, and no
        controller reaches all workers: without these renewals, leases in the zone without the leader would
        expire after `lease_s` (10 s).
        """
        return known_fencing_token == delegation.fencing_token
