"""What the links to other controllers need of this one."""

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
    """The controller, as its links to others see it. They call it on threads of their own."""

    def compose_ping(self) -> Ping:
        """What we are and know; the links add what changed of task counts and image hints."""

    def task_counts_if_leading(self) -> dict[str, TaskCounts]:
        """Completed and running tasks by job, if we lead."""

    def image_hints_if_leading(self) -> ImageHints:
        """The machines' images, if we lead."""

    def delegation_tracker(self) -> DelegationTracker | None:
        """What tracks the leases that we delegate, if we lead."""

    def handle_ping(self, ping: Ping) -> Pong:
        """Take what another controller says, and respond."""

    def handle_pong(self, pong: Pong, requested_at: float) -> None:
        """Handle the response of another controller to a ping that was sent at ``requested_at``."""

    def on_connection_refused(self, member: str) -> None:
        """Another controller's process does not listen."""

    def serve_relay(self, connection: socket.socket, hello: RelayHello) -> None:
        """Serve a relay on its connection, until either ends."""

    def handle_quota_request(self, request: QuotaRequest) -> QuotaResponse:
        """Answer another cell's leader or an operator.

        Raises:
            ValueError: there is no answer, and the connection must end.

        """
