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

    def __init__(self, settings: Settings, handler: PeerHandler, max_cell_links: int = 0) -> None:
        """``max_cell_links`` connections may come from other cells' leaders and operators."""
        workers = settings.deployment.workers
        times = PeerTimes(workers.heartbeat_interval_s / 2, workers.lease_s / 10)
        # A link counts as broken when two pings in a row get no response.
        fresh_s = 2 * (times.interval_s + times.timeout_s)
        self.connectivity = Connectivity(settings.member, fresh_s, time.monotonic)
        self._stop = threading.Event()
        self._server = PeerServer(settings, times, handler, max_cell_links, self._stop)
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
        """Stop the threads."""
        self._stop.set()
        self._server.close()
