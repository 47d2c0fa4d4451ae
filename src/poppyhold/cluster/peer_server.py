"""The listener for other controllers, relays, other cells' leaders and operators."""

from __future__ import annotations

import logging
import socket
import threading

from poppyhold.cluster.peer_client import PeerTimes
from poppyhold.cluster.peer_handler import PeerHandler
from poppyhold.cluster.peer_messages import Ping, receive_peer_message
from poppyhold.configuration_checks import split_address
from poppyhold.quota.messages import QuotaRequest
from poppyhold.relay.messages import RelayHello
from poppyhold.settings import Settings
from poppyhold.wire.frames import send_message

log = logging.getLogger(__name__)

_BACKLOG = 16
# Connections per other controller, and spare ones, as the sender is unknown until its first message.
_CONNECTIONS_PER_PEER, _SPARE_CONNECTIONS = 4, 4


class PeerServer:
    """Accepts connections on one thread, and serves each on its own thread."""

    def __init__(
        self,
        settings: Settings,
        times: PeerTimes,
        handler: PeerHandler,
        max_cell_links: int,
        stop: threading.Event,
    ) -> None:
        """``max_cell_links`` connections may come from other cells' leaders and operators."""
        self._times, self._handler, self._stop = times, handler, stop
        self._idle_s = max(10 * times.timeout_s, 4 * times.interval_s)
        self._slots = threading.BoundedSemaphore(
            _CONNECTIONS_PER_PEER * len(settings.peers) + _SPARE_CONNECTIONS + max_cell_links
        )
        self._listener = socket.create_server(split_address(settings.peer_listen), backlog=_BACKLOG)
        self._thread = threading.Thread(target=self._accept, name="peers", daemon=True)

    def start(self) -> None:
        """Start to accept connections."""
        self._thread.start()

    def close(self) -> None:
        """Stop accepting connections. Open ones end once the ``stop`` event is set."""
        self._listener.close()

    def _accept(self) -> None:
        while not self._stop.is_set():
            try:
                connection, _ = self._listener.accept()
            except OSError:
                if self._stop.wait(self._times.timeout_s / 10):
                    return
                continue
            if not self._slots.acquire(blocking=False):
                connection.close()
                continue
            threading.Thread(target=self._serve, args=(connection,), name="peer", daemon=True).start()

    def _serve(self, connection: socket.socket) -> None:
        try:
            with connection:
                connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                connection.settimeout(self._idle_s)
                while not self._stop.is_set():
                    if not self._serve_message(connection):
                        return
        except (OSError, ValueError) as error:
            log.debug("connection of a peer lost: %s", error)
        except Exception:
            # Thread boundary: any failure on a message is logged, and the connection is closed.
            log.exception("connection of a peer failed")
        finally:
            self._slots.release()

    def _serve_message(self, connection: socket.socket) -> bool:
        """Serve the next message; returns whether the connection stays open."""
        message = receive_peer_message(connection)
        if isinstance(message, RelayHello):
            # The relay uses the connection until it ends.
            self._handler.serve_relay(connection, message)
            return False
        if isinstance(message, QuotaRequest):
            send_message(connection, self._handler.handle_quota_request(message))
        elif isinstance(message, Ping):
            send_message(connection, self._handler.handle_ping(message))
        else:
            # The message is malformed; the caller's types are correct.
            raise ValueError(f"unexpected message: {type(message).__name__}")  # noqa: TRY004
        return True
