"""The messages between controllers: pings and their responses.

They are sent by position. Fields are only appended, with defaults: an older version ignores fields after the
last one that it knows.
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

# A job, the number of its completed tasks, and that of its running tasks.
JobTaskCounts = tuple[str, int, int]
# A machine with its images, and the size of each.
MachineImages = tuple[str, tuple[tuple[str, float], ...]]


class ControllerState(msgspec.Struct, frozen=True, array_like=True):
    """The state of the sender, in pings and in their responses."""

    member: str
    fencing_token: int
    leading: bool
    # Seconds since the state service last responded to the sender.
    state_age_s: float
    # Highest revision of a cancellation that the sender confirmed to a user; -1: unknown.
    confirmed_revision: int
    # Number of workers that were recently misdirected to the sender.
    workers: int


class Ping(ControllerState, frozen=True, array_like=True, tag="ping"):
    """The state of a controller, sent to every other one."""

    task_counts: list[JobTaskCounts] = []
    # Machines whose images changed: the next leader starts from them.
    image_hints: list[MachineImages] = []
    # The leader's permission to renew workers' leases for it (`cluster.lease_delegation`).
    delegation: LeaseDelegation | None = None
    # Revision up to which a leader has applied every cancellation; -1: not the leader, or not stated.
    applied_revision: int = -1
    # Whether a leader accepts relayed heartbeats. Versions before this field never do.
    accepts_relays: bool = False
    # The highest fencing token of a leader's term; `fencing_token` is the lowest. 0 from versions before this
    # field, which use one at a time.
    highest_fencing_token: int = 0


class Pong(ControllerState, frozen=True, array_like=True, tag="pong"):
    """The response to a ping."""

    # Cancellations that the sender confirmed to users and that the leader may not know, and the highest
    # revision of all others that it confirmed. None from versions without the list: then
    # `confirmed_revision` bounds all of them.
    cancellations: list[Cancellation] = []
    unlisted_revision: int | None = None
    # The leader checks whether it has received newer heartbeats of these workers.
    misdirected_workers: list[MisdirectedWorker] = []
    # Other controllers that recently responded to the sender; empty from versions before this field.
    reachable_peers: list[str] = []

    @property
    def cancellations_bound(self) -> int:
        """Every cancellation that is not listed has at most this revision; -1: unknown."""
        return self.confirmed_revision if self.unlisted_revision is None else self.unlisted_revision


Message = Ping | Pong
# What is received from other controllers, relays, other cells and operators.
PeerMessage = Message | RelayHello | QuotaRequest
_peer_message_decoder: msgspec.msgpack.Decoder[PeerMessage] = msgspec.msgpack.Decoder(PeerMessage)


def receive_peer_message(connection: socket.socket) -> PeerMessage:
    """Receive one message.

    Raises:
        ValueError: the message is malformed, and the connection must be closed.
        OSError: the connection broke, or timed out.

    """
    return receive_message(connection, _peer_message_decoder)
