"""Pings to one other controller, over a connection that is reopened whenever it breaks."""

from __future__ import annotations

import logging
import socket
import threading
import time
from typing import NamedTuple

import msgspec

from poppyhold.cluster.change_feed import ChangeFeed
from poppyhold.cluster.connectivity import Connectivity
from poppyhold.cluster.peer_handler import PeerHandler
from poppyhold.cluster.peer_messages import Pong, receive_peer_message
from poppyhold.configuration_checks import split_address
from poppyhold.model.job_status import TaskCounts
from poppyhold.model.outbound import MisdirectedWorker
from poppyhold.settings import PeerController
from poppyhold.wire.frames import MAX_MESSAGE_ENTRIES_BYTES, open_connection, send_message

log = logging.getLogger(__name__)

# Largest numbers of entries per ping, as `wire.frames` limits the size of a message: a new connection begins
# with every job and every machine. The rest is sent with the next pings, this many per interval.
_MAX_TASK_COUNTS, _MAX_IMAGE_HINTS, _BATCHES_PER_INTERVAL = 4000, 1000, 8
# The same in bytes: images and machines may have long names.
_MAX_TASK_COUNT_BYTES, _MAX_IMAGE_HINT_BYTES = MAX_MESSAGE_ENTRIES_BYTES // 2, MAX_MESSAGE_ENTRIES_BYTES // 2


class PeerTimes(NamedTuple):
    """The interval of pings, and the time-out of each connect, send and receive."""

    interval_s: float
    timeout_s: float


class PeerView(NamedTuple):
    """What is known of another controller."""

    # When the state service last responded to that controller, on this process's clock.
    store_contact_at: float
    misdirected_workers: list[MisdirectedWorker]


class PeerClient:
    """A thread that pings one other controller."""

    def __init__(
        self,
        peer: PeerController,
        times: PeerTimes,
        handler: PeerHandler,
        connectivity: Connectivity,
        stop: threading.Event,
    ) -> None:
        self._peer, self._times, self._handler = peer, times, handler
        self._connectivity, self._stop = connectivity, stop
        # None before the peer's first response.
        self.view: PeerView | None = None
        self._thread = threading.Thread(target=self._run, name=f"peer {peer.member}", daemon=True)

    def start(self) -> None:
        """Start the thread. It ends after the ``stop`` event is set."""
        self._thread.start()

    def _run(self) -> None:
        member, address = self._peer.member, split_address(self._peer.address)
        while not self._stop.is_set():
            try:
                with open_connection(address, self._times.timeout_s) as connection:
                    self._exchange(connection)
            except (OSError, ValueError) as error:
                log.debug("connection to a peer lost: member=%s: %s", member, error)
                self._connectivity.connection_lost(member, timed_out=isinstance(error, TimeoutError))
                if isinstance(error, ConnectionRefusedError):
                    self._handler.on_connection_refused(member)
            except Exception:
                # Thread boundary: without this thread the peer would count as unreachable permanently.
                log.exception("connection to a peer failed: member=%s", member)
            self._stop.wait(self._times.interval_s / 2)

    def _exchange(self, connection: socket.socket) -> None:
        """Send pings and handle their responses, until the connection breaks."""
        counts: ChangeFeed[TaskCounts] = ChangeFeed(_MAX_TASK_COUNTS, _MAX_TASK_COUNT_BYTES)
        images: ChangeFeed[tuple[tuple[str, float], ...]] = ChangeFeed(
            _MAX_IMAGE_HINTS, _MAX_IMAGE_HINT_BYTES
        )
        interval_s = self._times.interval_s
        while not self._stop.is_set():
            changed_counts = [
                (job_id, *count)
                for job_id, count in counts.next_batch(self._handler.task_counts_if_leading())
            ]
            changed_images = images.next_batch(self._handler.image_hints_if_leading())
            requested_at = time.monotonic()
            tracker = self._handler.delegation_tracker()
            if tracker is not None:
                tracker.record_grant(self._peer.member, requested_at)
            ping = msgspec.structs.replace(
                self._handler.compose_ping(), task_counts=changed_counts, image_hints=changed_images
            )
            send_message(connection, ping)
            pong = self._receive_pong(connection)
            self.view = PeerView(requested_at - pong.state_age_s, pong.misdirected_workers)
            self._connectivity.record_response(self._peer.member, pong.reachable_peers)
            if tracker is not None:
                tracker.record_response(self._peer.member, requested_at)
            self._handler.handle_pong(pong, requested_at)
            has_more = counts.has_more or images.has_more
            self._stop.wait(interval_s / _BATCHES_PER_INTERVAL if has_more else interval_s)

    def _receive_pong(self, connection: socket.socket) -> Pong:
        message = receive_peer_message(connection)
        if not isinstance(message, Pong) or message.member != self._peer.member:
            # The leader's bounds on renewals are recorded by member: the response must be that peer's.
            raise ValueError(f"message is not a pong of {self._peer.member}")
        return message
