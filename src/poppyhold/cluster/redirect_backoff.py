"""Workers that turn to another controller although the leader that answered them still leads."""

from __future__ import annotations

from poppyhold.concurrency.bounded_dict import BoundedDict
from poppyhold.wire.worker_messages import Heartbeat

# Share of a lease that such a worker is kept waiting for the next leader.
_WAIT_RATIO = 0.25
# Share of a lease within which the workers find a new leader.
_DISCOVERY_RATIO = 0.5


class RedirectBackoff:
    """Decides how long a worker is kept waiting for a failover before it is redirected to the same leader.

    Where a leader's way to the workers drops packets, a worker comes four seconds after its last heartbeat
    and another one later. Redirected at once, it waited four seconds more, and by then its lease had expired:
    in a fleet of 200 machines 400 tasks were lost though the next leader stood ready before the leases ended.
    The leader resigns as soon as most workers have turned away, within two seconds of the first ones. A
    worker that comes once more within a lease has waited in vain, and its lease may be about to expire: it is
    redirected at once.
    """

    def __init__(self, lease_s: float, max_workers: int) -> None:
        """At most ``max_workers`` workers that waited are remembered."""
        self._lease_s = lease_s
        self._wait_s, self._discovery_s = lease_s * _WAIT_RATIO, lease_s * _DISCOVERY_RATIO
        self._waited_at: BoundedDict[float] = BoundedDict(max_workers)

    def wait_s(self, heartbeat: Heartbeat, leader_fencing_token: int, leading_s: float, now: float) -> float:
        """How long to wait; not at all for workers that may not have found this leader yet.

        After a failover they have its fencing token from its direct commands before they send it heartbeats.
        ``leading_s`` is for how long it has led.
        """
        if heartbeat.fencing_token < leader_fencing_token or leading_s <= self._discovery_s:
            return 0.0
        waited_at = self._waited_at.get(heartbeat.machine)
        if waited_at is not None and now - waited_at < self._lease_s:
            return 0.0
        self._waited_at.put(heartbeat.machine, now)
        return self._wait_s
