"""Spans of time that the controllers go by, each a ratio to the platform's settings."""

from __future__ import annotations

from typing import Final

from poppyhold.options import Options
from poppyhold.settings import Settings

# Clocks drift apart by 0.05%: two of them by 0.1%.
_CLOCK_DRIFT_FACTOR: Final = 1.001
# The same where a lease is subtracted from ``cancel_s``, which another clock measures.
_DOUBLE_CLOCK_DRIFT_FACTOR: Final = 1.002
# Heartbeat intervals beyond a lease after which it has certainly expired.
_EXPIRY_MARGIN_INTERVALS: Final = 0.25
# Leases of silence after which a machine is presumed lost.
_PRESUMED_LOST_LEASES: Final = 0.5
# Heartbeat intervals kept as a margin from unconfirmed renewals. Every second counts when a partition ends
# just before the leases that were given last, so it is small.
_RENEWAL_MARGIN_INTERVALS: Final = 0.15
# Silence of the leader and the state service before a delegate renews leases: the larger of these. Workers
# come to it a good four seconds after a partition began, and only some have the time to come twice.
_DELEGATION_INTERVALS: Final = 1.5
_DELEGATION_LEASES: Final = 1 / 4
# Heartbeat intervals beyond ``cancel_s`` after which no response of an earlier leader can count any more.
_PREDECESSOR_MARGIN_INTERVALS: Final = 1


class Durations:
    """Spans of time in seconds, computed once from the settings and options of a controller."""

    def __init__(self, settings: Settings, options: Options) -> None:
        workers = settings.deployment.workers
        self.heartbeat_interval_s = workers.heartbeat_interval_s
        self.lease_s = workers.lease_s
        self.cancel_s = workers.cancel_s
        # A lease has certainly expired this long after it was renewed, whatever the clocks' drift.
        self.lease_expired_s = (
            workers.lease_s * _CLOCK_DRIFT_FACTOR + workers.heartbeat_interval_s * _EXPIRY_MARGIN_INTERVALS
        )
        # A worker that has been silent for so long gets no new tasks.
        self.silent_s = workers.heartbeat_interval_s * options.leadership.silent_reports
        # After so long a silent machine is given up, unless most others are silent too.
        self.presumed_lost_s = workers.lease_s * _PRESUMED_LOST_LEASES
        # A leader that can't confirm its leadership may answer workers for so long; then their leases have to
        # end. The span begins when a heartbeat was sent, so that the time it took to arrive is on the safe
        # side.
        self.unconfirmed_renewal_s = (
            workers.cancel_s
            - workers.lease_s * _DOUBLE_CLOCK_DRIFT_FACTOR
            - workers.heartbeat_interval_s * _RENEWAL_MARGIN_INTERVALS
        )
        # A delegate that hears neither the leader nor the state service for so long renews leases.
        self.delegated_renewal_after_s = max(
            workers.heartbeat_interval_s * _DELEGATION_INTERVALS, workers.lease_s * _DELEGATION_LEASES
        )
        # So long after our term began, no response of an earlier leader can keep a task alive any more.
        self.predecessors_expired_s = (
            workers.cancel_s * _CLOCK_DRIFT_FACTOR
            + workers.heartbeat_interval_s * _PREDECESSOR_MARGIN_INTERVALS
        )
        # A slot of the plan.
        self.slot_s = workers.lease_s * options.design.slot_leases
