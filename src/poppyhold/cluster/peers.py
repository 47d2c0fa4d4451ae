"""The links between this controller and all others."""

from __future__ import annotations

import threading
import time

from poppyhold.cluster.connectivity import Connectivity
from poppyhold.cluster.peer_client import PeerClient, PeerTimes, PeerView
from poppyhold.cluster.peer_handler import PeerHandler
from poppyhold.cluster.peer_server import PeerServer
from poppyhold.settings import Settings


class Peers:
    """Pings every other controller, and responds to their pings."""

    def __init__(self, settings: Settings, handler: PeerHandler, extra_connections: int = 0) -> None:
        """``extra_connections`` is added to the maximum, for other cells' leaders and operators."""
        workers = settings.deployment.workers
        times = PeerTimes(workers.heartbeat_interval_s / 2, workers.lease_s / 10)
        # A peer counts as reachable until two pings in a row get no response, or its connection breaks.
        reachable_for_s = 2 * (times.interval_s + times.timeout_s)
        self.connectivity = Connectivity(settings.member, reachable_for_s, time.monotonic)
        self._stop = threading.Event()
        self._server = PeerServer(settings, times, handler, extra_connections, self._stop)
        self._clients = {
            peer.member: PeerClient(peer, times, handler, self.connectivity, self._stop)
            for peer in settings.peers
        }

    @property
    def views(self) -> dict[str, PeerView]:
        """What is known of the controllers that have responded."""
        return {member: client.view for member, client in self._clients.items() if client.view is not None}

    def start(self) -> None:
        """Start the threads."""
        self._server.start()
        for client in self._clients.values():
            client.start()

    def stop(self) -> None:
        """Signal the threads to stop, and stop accepting connections; does not wait for the threads."""
        self._stop.set()
        self._server.close()
