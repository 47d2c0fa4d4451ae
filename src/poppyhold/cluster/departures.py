"""Workers that turn to another controller although the leader that answered them still leads."""

from __future__ import annotations

from poppyhold.wire.messages import Report

# Share of a lease that such a worker is kept waiting for the next leader.
_WAIT_RATIO = 0.2
# Share of a lease within which a new leader is found by its workers.
_FOUND_RATIO = 0.5


class Departures:
    """Tells how long a worker waits for the leader to change before it is sent back to it.

    Where a leader's way to the workers drops packets, a worker comes four seconds behind its last report and
    another one later. Sent straight back, it waited four seconds more, and by then its lease was over: in a
    fleet of 200 machines 400 tasks were lost though the next leader stood ready before the leases ended.
    The leader resigns as soon as most workers have turned away, within a second of the first ones.
    """

    def __init__(self, lease_s: float) -> None:
        self._wait_s, self._found_s = lease_s * _WAIT_RATIO, lease_s * _FOUND_RATIO

    def wait_s(self, report: Report, leader_token: int, led_s: float) -> float:
        """How long to wait; no time for workers that may not have found this leader yet.

        Behind a change they have its token from its direct commands before they report to it. ``led_s`` is
        for how long it has led.
        """
        return self._wait_s if report.token >= leader_token and led_s > self._found_s else 0.0
