"""Time-outs and margins of the controllers, derived from the platform's settings."""

from __future__ import annotations

from typing import Final

from poppyhold.options import Options
from poppyhold.settings import Settings

# A clock drifts by up to 0.05%, two clocks by up to 0.1% relative to each other.
_CLOCK_DRIFT_FACTOR: Final = 1.001
# The same factor for a lease that is subtracted from ``cancel_s``, which another clock measures.
_DOUBLE_CLOCK_DRIFT_FACTOR: Final = 1.002
# Margin after the end of a lease before it counts as expired, in heartbeat intervals.
_EXPIRY_MARGIN_INTERVALS: Final = 0.25
# Silence after which a machine is presumed lost, in lease durations.
_PRESUMED_LOST_LEASES: Final = 0.5
# Margin by which unconfirmed renewals end early, in heartbeat intervals. It is small, as a partition may end
# just before the leases that were renewed last expire.
_RENEWAL_MARGIN_INTERVALS: Final = 0.15
# A delegate renews leases after the leader and the state service were silent for the longer of these. Workers
# reach it over four seconds after a partition began, and only some have time for a second heartbeat to it.
_DELEGATION_INTERVALS: Final = 1.5
_DELEGATION_LEASES: Final = 1 / 4
# Time-out of a request to a worker, in heartbeat intervals; the worker may still receive it later.
_COMMAND_TIMEOUT_INTERVALS: Final = 1.5
# Margin beyond ``cancel_s`` until no response of an earlier leader counts, in heartbeat intervals.
_PREDECESSOR_MARGIN_INTERVALS: Final = 1


class Durations:
    """Durations in seconds, computed once from the settings and options of a controller."""

    def __init__(self, settings: Settings, options: Options) -> None:
        workers = settings.deployment.workers
        self.heartbeat_interval_s = workers.heartbeat_interval_s
        self.lease_s = workers.lease_s
        self.cancel_s = workers.cancel_s
        # Time to live of the lease that the leader's key is on.
        self.leader_lease_s = workers.lease_s * options.leadership.term_leases
        self.command_timeout_s = workers.heartbeat_interval_s * _COMMAND_TIMEOUT_INTERVALS
        # Time from a renewal until the lease has expired, whatever the clocks' drift.
        self.lease_expired_s = (
            workers.lease_s * _CLOCK_DRIFT_FACTOR + workers.heartbeat_interval_s * _EXPIRY_MARGIN_INTERVALS
        )
        # Silence after which a worker gets no new tasks.
        self.silent_s = workers.heartbeat_interval_s * options.leadership.silent_reports
        # Silence after which a machine is presumed lost, unless most others are silent too.
        self.presumed_lost_s = workers.lease_s * _PRESUMED_LOST_LEASES
        # How long a leader that can't confirm its leadership may renew leases; then they have to expire.
        # Counted from when the last confirming request was sent, so that its transit time ends this sooner.
        self.unconfirmed_renewal_s = (
            workers.cancel_s
            - workers.lease_s * _DOUBLE_CLOCK_DRIFT_FACTOR
            - workers.heartbeat_interval_s * _RENEWAL_MARGIN_INTERVALS
        )
        # Silence of the leader and the state service after which a delegate renews leases.
        self.delegated_renewal_after_s = max(
            workers.heartbeat_interval_s * _DELEGATION_INTERVALS, workers.lease_s * _DELEGATION_LEASES
        )
        # Time from the start of a term until no response of an earlier leader can keep a task running.
        self.predecessors_expired_s = (
            workers.cancel_s * _CLOCK_DRIFT_FACTOR
            + workers.heartbeat_interval_s * _PREDECESSOR_MARGIN_INTERVALS
        )
        # Length of a slot of the plan.
        self.slot_s = workers.lease_s * options.design.slot_leases
