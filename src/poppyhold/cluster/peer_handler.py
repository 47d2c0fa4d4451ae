"""What the connections to other controllers, relays and other cells call on this controller."""

from __future__ import annotations

import socket
from typing import Protocol

from poppyhold.cluster.lease_delegation import DelegationTracker
from poppyhold.cluster.peer_messages import Ping, Pong
from poppyhold.model.context import ImageHints
from poppyhold.model.job_status import TaskCounts
from poppyhold.quota.messages import QuotaRequest, QuotaResponse
from poppyhold.relay.messages import RelayHello


class PeerHandler(Protocol):
    """Composes and handles messages; called on the threads of `PeerClient` and `PeerServer`."""

    def compose_ping(self) -> Ping:
        """The state of this controller; `PeerClient` adds changed task counts and image hints."""

    def task_counts_if_leading(self) -> dict[str, TaskCounts]:
        """Completed and running tasks by job; empty unless this controller leads."""

    def image_hints_if_leading(self) -> ImageHints:
        """The machines' images; empty unless this controller leads."""

    def delegation_tracker(self) -> DelegationTracker | None:
        """The tracker of delegated renewals; None unless this controller leads."""

    def handle_ping(self, ping: Ping) -> Pong:
        """Handle the ping of another controller; returns the response."""

    def handle_pong(self, pong: Pong, requested_at: float) -> None:
        """Handle the response of another controller to a ping that was sent at ``requested_at``."""

    def on_connection_refused(self, member: str) -> None:
        """Handle that a connection to another controller was refused."""

    def serve_relay(self, connection: socket.socket, hello: RelayHello) -> None:
        """Serve a relay on its connection, until the relay or the connection ends."""

    def handle_quota_request(self, request: QuotaRequest) -> QuotaResponse:
        """Answer another cell's leader or an operator.

        Raises:
            ValueError: there is no answer, and the connection must be closed.

        """
