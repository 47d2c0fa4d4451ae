"""The interface of this controller for its links to others."""

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
    """Handles messages of other controllers, and composes those to them; called on the links' threads."""

    def compose_ping(self) -> Ping:
        """The state of this controller; the links add changed task counts and image hints."""

    def task_counts_if_leading(self) -> dict[str, TaskCounts]:
        """Completed and running tasks by job; empty unless this controller leads."""

    def image_hints_if_leading(self) -> ImageHints:
        """The machines' images; empty unless this controller leads."""

    def delegation_tracker(self) -> DelegationTracker | None:
        """The tracker of delegated leases; None unless this controller leads."""

    def handle_ping(self, ping: Ping) -> Pong:
        """Handle the ping of another controller; returns the response."""

    def handle_pong(self, pong: Pong, requested_at: float) -> None:
        """Handle the response of another controller to a ping that was sent at ``requested_at``."""

    def on_connection_refused(self, member: str) -> None:
        """Handle that another controller's process refuses connections."""

    def serve_relay(self, connection: socket.socket, hello: RelayHello) -> None:
        """Serve a relay on its connection, until the relay or the connection ends."""

    def handle_quota_request(self, request: QuotaRequest) -> QuotaResponse:
        """Answer another cell's leader or an operator.

        Raises:
            ValueError: there is no answer, and the connection must be closed.

        """
