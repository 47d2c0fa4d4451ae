"""The messages between controllers: pings and their responses.

They are sent by position. Fields are only added, at the end and with defaults: an older version ignores what
follows the last field that it knows.
"""

from __future__ import annotations

import socket

import msgspec

from poppyhold.cluster.cancellations import Cancellation
from poppyhold.cluster.lease_delegation import LeaseDelegation
from poppyhold.model.outbound import MisdirectedWorker
from poppyhold.quota.messages import QuotaRequest
from poppyhold.relay.messages import RelayHello
from poppyhold.wire.frames import receive_message

# A job with its completed and running tasks.
JobTaskCounts = tuple[str, int, int]
# A machine with its images, and the size of each.
MachineImages = tuple[str, tuple[tuple[str, float], ...]]


class ControllerState(msgspec.Struct, frozen=True, array_like=True):
    """What a controller says of itself, in pings and in their responses."""

    member: str
    fencing_token: int
    leading: bool
    # Seconds since the state service last responded to the sender.
    state_age_s: float
    # Highest revision of a cancellation that the sender confirmed to a user; -1: it can't know.
    confirmed_revision: int
    # Number of workers that were misdirected to it lately.
    workers: int


class Ping(ControllerState, frozen=True, array_like=True, tag="ping"):
    """What a controller is and knows, sent to each other one."""

    task_counts: list[JobTaskCounts] = []
    # Machines whose images changed: a next leader starts from them.
    image_hints: list[MachineImages] = []
    # What a leader grants those who may have to renew leases for it.
    delegation: LeaseDelegation | None = None
    # Revision up to which a leader has acted on every cancellation; -1: it does not lead, or does not say.
    applied_revision: int = -1
    # Whether a leader accepts heartbeats that others relay to it. A version before this field never does.
    accepts_relays: bool = False


class Pong(ControllerState, frozen=True, array_like=True, tag="pong"):
    """The response to a ping."""

    # Cancellations that the sender confirmed to users and that the leader may not know, and the highest
    # revision of all others that it confirmed. A version that lists none sends None: then
    # `confirmed_revision` bounds all of them.
    cancellations: list[Cancellation] = []
    unlisted_revision: int | None = None
    # The leader knows whether it has had newer heartbeats of them.
    misdirected_workers: list[MisdirectedWorker] = []
    # Other controllers that responded to it lately. A version before this field lists none.
    reachable_peers: list[str] = []

    @property
    def cancellations_bound(self) -> int:
        """Every cancellation that is not listed has at most this revision; -1: that can't be said."""
        return self.confirmed_revision if self.unlisted_revision is None else self.unlisted_revision


Message = Ping | Pong
# What may come first on a connection from another controller.
PeerMessage = Message | RelayHello | QuotaRequest
_peer_message_decoder: msgspec.msgpack.Decoder[PeerMessage] = msgspec.msgpack.Decoder(PeerMessage)


def receive_peer_message(connection: socket.socket) -> PeerMessage:
    """Receive one message.

    Raises:
        ValueError: it is malformed, and the connection must end.
        OSError: the connection broke, or nothing came in time.

    """
    return receive_message(connection, _peer_message_decoder)
