"""Timeouts and intervals of relays and of the leader's connections with them."""

from __future__ import annotations

from poppyhold.settings import WorkerTimings

# How long a worker waits for the response to a heartbeat.
_WORKER_TIMEOUT_S = 4.0


def heartbeat_response_timeout_s(workers: WorkerTimings) -> float:
    """Return the age from which a heartbeat is not answered: its worker has timed out, or soon will."""
    return min(workers.heartbeat_interval_s * 2.5, _WORKER_TIMEOUT_S * 0.75)


class RelayTimings:
    """A relay's timings, as ratios of the heartbeat interval, the response timeout or the lease."""

    def __init__(self, heartbeat_interval_s: float, response_timeout_s: float, lease_s: float) -> None:
        # A heartbeat that has waited for this long gets no response: its worker times out soon.
        self.response_timeout_s = response_timeout_s
        # Heartbeats that arrive within this time are sent in one batch.
        self.batch_delay_s = heartbeat_interval_s / 20
        # Without heartbeats, an empty batch is sent at this interval to check that the leader responds.
        self.keepalive_interval_s = heartbeat_interval_s / 2
        # A leader that has not answered a batch for this long is unreachable: the connection is closed.
        self.stall_timeout_s = response_timeout_s / 2
        # How long heartbeats are accepted for the next connection after one is lost. Then a delegate may
        # renew leases, as workers of an isolated zone can't reach a leader to which they are redirected.
        self.reconnect_window_s = response_timeout_s
        # The same if the leader changes: an election takes at most a quarter of a lease, loading the state 1
        # to 2 s. The rest of a worker's lease must suffice to reach the leader itself.
        self.max_reconnect_window_s = max(response_timeout_s, 0.4 * lease_s)
        self.retry_interval_s = heartbeat_interval_s / 20
        # No heartbeat expires while the link connects, so this may add to the response timeout.
        self.connect_timeout_s = response_timeout_s / 6
