"""Workers that turn to another controller although the leader that answered them still leads."""

from __future__ import annotations

from poppyhold.wire.messages import Report

# Share of a lease that such a worker is kept waiting for the next leader.
_WAIT_RATIO = 0.2


class Departures:
    """Tells how long a worker waits for the leader to change before it is sent back to it.

    Where a leader's way to the workers drops packets, a worker comes four seconds behind its last report and
    another one later. Sent straight back, it waited four seconds more, and by then its lease was over: in a
    fleet of 200 machines 400 tasks were lost though the next leader stood ready before the leases ended.
    The leader resigns as soon as most workers have turned away, within a second of the first ones.
    """

    def __init__(self, lease_s: float) -> None:
        self._wait_s = lease_s * _WAIT_RATIO

    def wait_s(self, report: Report, leader_token: int) -> float:
        """How long to wait; no time for workers that may not have found this leader yet."""
        return self._wait_s if report.token >= leader_token else 0.0
