"""Spans of time that the controllers go by, each a ratio to the platform's settings."""

from __future__ import annotations

from poppyhold.options import Options
from poppyhold.settings import Settings


class Durations:
    """Spans of time, each a ratio to the settings."""

    def __init__(self, settings: Settings, options: Options) -> None:
        workers = settings.settings.workers
        self.heartbeat_interval_s = workers.heartbeat_interval_s
        self.lease_s = workers.lease_s
        self.cancel_s = workers.cancel_s
        # Clocks drift apart by 0.05%: a lease is over for certain only a little later.
        self.lease_expired_s = workers.lease_s * 1.001 + workers.heartbeat_interval_s * 0.25
        # A worker that has been silent so long gets no new tasks.
        self.silent_s = workers.heartbeat_interval_s * options.leadership.silent_reports
        # After so long its machine is given up, if that is not the way of most others too.
        self.presumed_lost_s = workers.lease_s * 0.5
        # A leader that lost its way may answer workers this long; then their leases have to end. They run
        # from when a report was sent, so that its way here is on the safe side; every second counts when a
        # cut ends just before the leases that were given last.
        self.unconfirmed_renewal_s = (
            workers.cancel_s - workers.lease_s * 1.002 - workers.heartbeat_interval_s * 0.15
        )
        # Who hears neither the leader nor the state service for so long stands in for it. Workers come to
        # it a good four seconds behind a cut, and only some of them have the time to come twice.
        self.delegated_renewal_after_s = max(workers.heartbeat_interval_s * 1.5, workers.lease_s / 4)
        # Since our term began, nobody else's answers can keep a task alive longer.
        self.predecessors_expired_s = workers.cancel_s * 1.001 + workers.heartbeat_interval_s
        self.slot_s = workers.lease_s * options.design.slot_leases
