"""Timeouts of a relay and of the leader towards it."""

from __future__ import annotations

from poppyhold.settings import WorkerTimings

# A worker waits so long for the response to a heartbeat.
_WORKER_TIMEOUT_S = 4.0


def heartbeat_response_timeout_s(workers: WorkerTimings) -> float:
    """After so long a heartbeat is not answered any more: its worker times out soon, or has done so."""
    return min(workers.heartbeat_interval_s * 2.5, _WORKER_TIMEOUT_S * 0.75)


class RelayTimings:
    """Timings of a relay, each a ratio to the heartbeat interval, the response timeout or the lease."""

    def __init__(self, heartbeat_interval_s: float, response_timeout_s: float, lease_s: float) -> None:
        # A heartbeat that has waited so long is not answered any more: its worker times out soon.
        self.response_timeout_s = response_timeout_s
        # Heartbeats that arrive within this time go in one batch.
        self.batch_delay_s = heartbeat_interval_s / 20
        # Without heartbeats, an empty batch is sent this often to check that the leader is there.
        self.keepalive_interval_s = heartbeat_interval_s / 2
        # If a batch has no responses for so long, the leader is unreachable, and workers should go elsewhere.
        self.stall_timeout_s = response_timeout_s / 2
        # After a connection is lost, heartbeats are accepted for so long for the next one. At the end of it a
        # delegate may renew leases: workers of an isolated zone were sent to a leader that they could not
        # reach.
        self.reconnect_window_s = response_timeout_s
        # The same if the leader changes: an election takes a quarter of a lease at the most, and loading the
        # state a second or two. The rest of a worker's lease must suffice to reach the leader itself.
        self.max_reconnect_window_s = max(response_timeout_s, 0.4 * lease_s)
        self.retry_interval_s = heartbeat_interval_s / 20
        # Nothing that waits expires meanwhile, so this adds to its response timeout at the most.
        self.connect_timeout_s = response_timeout_s / 6
