"""Delays redirects of workers that contact this controller although the leader that they know still leads."""

from __future__ import annotations

from poppyhold.concurrency.bounded_dict import BoundedDict
from poppyhold.wire.worker_messages import Heartbeat

# How long such a worker waits for the next leader, as a ratio to `lease_s`.
_WAIT_RATIO = 0.25
# How long workers take to find a new leader, as a ratio to `lease_s`.
_DISCOVERY_RATIO = 0.5


class RedirectBackoff:
    """Decides how long a worker waits for a failover before it is redirected to the same leader.

    Where the leader's path to the workers drops packets, a worker waits 4 s for a response and contacts
    another controller 1 s later. If it were redirected at once, it would wait for the unreachable leader for
    another 4 s, and its lease would expire (400 tasks in a fleet of 200 machines), although the leader
    resigns once most workers contact other controllers, within 2 s of the first ones, and the next leader is
    ready before the leases end. A worker that contacts this controller again within `lease_s` has already
    waited without a failover, and its lease may be about to expire: it is redirected at once.
    """

    def __init__(self, lease_s: float, max_workers: int) -> None:
        """Keeps at most ``max_workers`` workers that waited."""
        self._lease_s = lease_s
        self._wait_s, self._discovery_s = lease_s * _WAIT_RATIO, lease_s * _DISCOVERY_RATIO
        self._waited_at: BoundedDict[float] = BoundedDict(max_workers)

    def wait_s(self, heartbeat: Heartbeat, leader_fencing_token: int, leading_s: float, now: float) -> float:
        """How long to wait; zero for workers that may not have found this leader yet.

        These have a lower fencing token, or the leader has led for only a short time (``leading_s``): with
        direct commands workers get its fencing token before they send it heartbeats.
        """
        if heartbeat.fencing_token < leader_fencing_token or leading_s <= self._discovery_s:
            return 0.0
        waited_at = self._waited_at.get(heartbeat.machine)
        if waited_at is not None and now - waited_at < self._lease_s:
            return 0.0
        self._waited_at.put(heartbeat.machine, now)
        return self._wait_s
