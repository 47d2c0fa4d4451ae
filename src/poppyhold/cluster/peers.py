"""What controllers tell one another: pings and their answers."""

from __future__ import annotations

import logging
import socket
import threading
import time
from collections.abc import Callable
from typing import NamedTuple

import msgspec

from poppyhold.cluster.cancellations import Cancellation
from poppyhold.cluster.change_feed import ChangeFeed
from poppyhold.cluster.connectivity import Connectivity
from poppyhold.cluster.lease_delegation import DelegationTracker, LeaseDelegation
from poppyhold.model.context import ImageHints
from poppyhold.model.job_status import TaskCounts
from poppyhold.model.outbound import MisdirectedWorker
from poppyhold.quota.messages import Answer as QuotaAnswer
from poppyhold.quota.messages import Opening as QuotaOpening
from poppyhold.relay.messages import RelayHello
from poppyhold.settings import Known, Settings, split_address
from poppyhold.wire.frames import receive, send

log = logging.getLogger(__name__)

# Entries of a ping, at the most: a message may take no more than `frames` lets through, and a first one to a
# controller that has just begun names every job and every machine. What is left goes with the next pings,
# which then come so many times as fast.
_MOST_COUNTS, _MOST_IMAGES, _PIECES_EACH = 4000, 1000, 8

Count = tuple[str, int, int]


class Ping(msgspec.Struct, frozen=True, array_like=True, tag="ping"):
    """What a controller is and knows, sent to each other one."""

    member: str
    fencing_token: int
    leading: bool
    # Seconds since the state service last answered the sender.
    state_age_s: float
    # Highest revision of a cancellation that the sender confirmed to a user; -1: it can't know.
    confirmed_revision: int
    # Workers that turned to it lately.
    workers: int
    task_counts: list[Count] = []
    # Images of machines whose images changed: a next leader starts from them.
    image_hints: list[tuple[str, tuple[tuple[str, float], ...]]] = []
    # What a leader is sure of, for those who may have to stand in for it.
    delegation: LeaseDelegation | None = None
    # Revision up to which a leader has acted on every cancellation; -1: it does not lead, or does not say.
    acted_on_revision: int = -1
    # Whether a leader takes reports that others relay to it. A version before this field never does.
    accepts_relays: bool = False


class Pong(msgspec.Struct, frozen=True, array_like=True, tag="pong"):
    """The other one's answer."""

    member: str
    fencing_token: int
    leading: bool
    state_age_s: float
    confirmed_revision: int
    workers: int
    # Cancellations that it confirmed to users and that the leader may not know, and the highest revision of
    # all others that it confirmed. None from a version that names none: then `confirmed` bounds all of them.
    cancellations: list[Cancellation] = []
    unlisted_revision: int | None = None
    # The workers that turned to it lately: the leader knows whether it has heard newer reports of them.
    misdirected_workers: list[MisdirectedWorker] = []
    # Other controllers that answered it lately. None are named by a version before this field.
    reachable_peers: list[str] = []

    @property
    def cancellations_bound(self) -> int:
        """Who knows every change up to this revision knows all that is not named; -1: that can't be said."""
        return self.confirmed_revision if self.unlisted_revision is None else self.unlisted_revision


Message = Ping | Pong
# What may come first on a connection from another controller.
Opening = Message | RelayHello | QuotaOpening
_opening_decoder: msgspec.msgpack.Decoder[Opening] = msgspec.msgpack.Decoder(Opening)


def receive_opening(connection: socket.socket) -> Opening:
    """Receive one frame; a malformed one raises ValueError, and the connection must end."""
    return receive(connection, _opening_decoder)


class PeerView(NamedTuple):
    """What we know of another controller."""

    # When the state service answered it last.
    store_contact_at: float
    misdirected_workers: list[MisdirectedWorker]


class Peers:
    """Dials every other controller, and answers those that dial us."""

    def __init__(
        self,
        settings: Settings,
        describe: Callable[[], Ping],
        counts: Callable[[], dict[str, TaskCounts]],
        image_hints: Callable[[], ImageHints],
        reply: Callable[[Ping], Pong],
        on_pong: Callable[[Pong, float], None],
        on_refused: Callable[[str], None],
        delegations: Callable[[], DelegationTracker | None],
        on_relay: Callable[[socket.socket, RelayHello], None],
        on_quota: Callable[[QuotaOpening], QuotaAnswer],
        quota_links: int = 0,
    ) -> None:
        """``on_quota`` answers other cells' leaders and operators, of whom ``quota_links`` may connect."""
        self._settings = settings
        self._delegations, self._on_relay, self._on_quota = delegations, on_relay, on_quota
        self._quota_links = quota_links
        self._describe, self._counts, self._image_hints = describe, counts, image_hints
        self._reply, self._on_pong, self._on_refused = reply, on_pong, on_refused
        workers = settings.settings.workers
        self._every_s = workers.heartbeat_interval_s / 2
        self._timeout_s = workers.lease_s / 10
        self.views: dict[str, PeerView] = {}
        # A link is taken for broken when two questions in a row got no answer.
        fresh_s = 2 * (self._every_s + self._timeout_s)
        self.connectivity = Connectivity(settings.member, fresh_s, time.monotonic)
        self._stop = threading.Event()
        self._listener = socket.create_server(split_address(settings.back), backlog=16)
        self._threads = [threading.Thread(target=self._accept, name="peers", daemon=True)]
        for known in settings.known:
            self._threads.append(
                threading.Thread(target=self._dial, args=(known,), name=f"peer {known.member}", daemon=True)
            )

    def start(self) -> None:
        """Start the threads."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """End them."""
        self._stop.set()
        self._listener.close()

    def _accept(self) -> None:
        slots = threading.BoundedSemaphore(4 * len(self._settings.known) + 4 + self._quota_links)
        while not self._stop.is_set():
            try:
                connection, _ = self._listener.accept()
            except OSError:
                if self._stop.wait(self._timeout_s / 10):
                    return
                continue
            if not slots.acquire(blocking=False):
                connection.close()
                continue
            threading.Thread(target=self._serve, args=(connection, slots), name="peer", daemon=True).start()

    def _serve(self, connection: socket.socket, slots: threading.BoundedSemaphore) -> None:
        try:
            with connection:
                connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                connection.settimeout(max(10 * self._timeout_s, 4 * self._every_s))
                while not self._stop.is_set():
                    message = receive_opening(connection)
                    if isinstance(message, RelayHello):
                        # It is a relay's from now on, to its end.
                        self._on_relay(connection, message)
                        return
                    if isinstance(message, QuotaOpening):
                        send(connection, self._on_quota(message))
                        continue
                    if not isinstance(message, Ping):
                        raise ValueError("not a ping")
                    send(connection, self._reply(message))
        except (OSError, ValueError, msgspec.MsgspecError) as error:
            log.debug("peer connection: %s", error)
        except Exception:
            log.exception("peer connection")
        finally:
            slots.release()

    def _dial(self, known: Known) -> None:
        address = split_address(known.address)
        while not self._stop.is_set():
            try:
                with socket.create_connection(address, timeout=self._timeout_s) as connection:
                    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                    self._talk(connection, known)
            except (OSError, ValueError, msgspec.MsgspecError) as error:
                log.debug("peer %s: %s", known.member, error)
                self.connectivity.connection_lost(known.member, timed_out=isinstance(error, TimeoutError))
                if isinstance(error, ConnectionRefusedError):
                    self._on_refused(known.member)
            except Exception:
                log.exception("peer %s", known.member)
            self._stop.wait(self._every_s / 2)

    def _talk(self, connection: socket.socket, known: Known) -> None:
        counts: ChangeFeed[TaskCounts] = ChangeFeed(_MOST_COUNTS)
        images: ChangeFeed[tuple[tuple[str, float], ...]] = ChangeFeed(_MOST_IMAGES)
        while not self._stop.is_set():
            changed_counts = [(job, *pair) for job, pair in counts.next_batch(self._counts())]
            changed_images = images.next_batch(self._image_hints())
            asked = time.monotonic()
            delegations = self._delegations()
            if delegations is not None:
                delegations.record_grant(known.member, asked)
            ping = msgspec.structs.replace(
                self._describe(), task_counts=changed_counts, image_hints=changed_images
            )
            send(connection, ping)
            message = receive_opening(connection)
            if not isinstance(message, Pong) or message.member != known.member:
                # What a leader may do depends on who answered.
                raise ValueError(f"not a pong of {known.member}")
            self._note(known.member, message, asked)
            self.connectivity.record_response(known.member, message.reachable_peers)
            if delegations is not None:
                delegations.record_response(known.member, asked)
            self._on_pong(message, asked)
            behind = counts.has_more or images.has_more
            self._stop.wait(self._every_s / _PIECES_EACH if behind else self._every_s)

    def _note(self, member: str, pong: Pong, asked: float) -> None:
        contact_at = asked - pong.state_age_s
        self.views[member] = PeerView(contact_at, pong.misdirected_workers)
