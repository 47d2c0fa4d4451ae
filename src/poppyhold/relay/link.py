"""The relay's connection to the leader: one thread sends batches, another reads responses."""

from __future__ import annotations

import logging
import random
import socket
import threading
import time
from collections import deque
from collections.abc import Callable, Iterable

import msgspec

from poppyhold.relay.messages import RelayHello, ResponseBatch
from poppyhold.relay.queue import Delivery, HeartbeatQueue, OnResponse
from poppyhold.relay.reconnection import ReconnectionWindow
from poppyhold.relay.timings import RelayTimings
from poppyhold.wire.frames import open_connection, receive_message, send_message, shut_down
from poppyhold.wire.worker_messages import Heartbeat

log = logging.getLogger(__name__)

_decoder = msgspec.msgpack.Decoder(ResponseBatch)
# Most heartbeats of a batch, so that a batch does not keep the leader from other work.
_MAX_BATCH_SIZE = 64
# The minimum of this many round trips is reported, since a batch may wait for a scheduling decision.
_ROUND_TRIP_SAMPLES = 4


class RelayLink:
    """Forwards heartbeats to the leader while it accepts relays."""

    def __init__(
        self,
        hello: RelayHello,
        addresses: dict[str, tuple[str, int]],
        target: Callable[[], str | None],
        min_fencing_token: Callable[[], int],
        timings: RelayTimings,
        max_pending: int,
        rng: random.Random,
        on_advice: Callable[[int, list[str]], None] = lambda max_workers, underloaded: None,
    ) -> None:
        """``target`` returns the controller to which to relay now.

        ``min_fencing_token`` returns the highest token seen: responses with a lower one are dropped.
        ``on_advice`` is called with a relay's maximum number of workers and the underloaded relays.
        """
        self._on_advice = on_advice
        self._hello, self._addresses = hello, addresses
        self._target, self._min_fencing_token = target, min_fencing_token
        self._timings, self._rng = timings, rng
        self._queue = HeartbeatQueue(max_pending, timings.response_timeout_s)
        self._wake = threading.Condition(threading.Lock())
        self._connected = False
        self._reconnection = ReconnectionWindow(timings.reconnect_window_s, timings.max_reconnect_window_s)
        # When each batch without a response was sent, and the last round trips.
        self._in_flight: deque[float] = deque()
        self._round_trips: deque[float] = deque(maxlen=_ROUND_TRIP_SAMPLES)
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, name="relay", daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread; pending heartbeats get no response."""
        self._stop.set()
        with self._wake:
            self._wake.notify_all()

    def is_open(self) -> bool:
        """Whether heartbeats are accepted for relaying now."""
        return self._connected or self.is_reconnecting()

    def is_reconnecting(self) -> bool:
        """Whether the connection was lost recently and heartbeats wait for the next one."""
        return not self._connected and self._reconnection.is_open(time.monotonic())

    def offer(self, heartbeat: Heartbeat, on_response: OnResponse) -> bool:
        """Queue a heartbeat to be forwarded; False if the queue is full."""
        with self._wake:
            accepted = self._queue.put(heartbeat, time.monotonic(), on_response)
            self._wake.notify()
        return accepted

    # -- the connection ----------------------------------------------------------------------------

    def _run(self) -> None:
        while not self._stop.is_set():
            target = self._target()
            self._reconnection.record_leader(target, time.monotonic())
            if target in self._addresses:
                self._connect(target)
            elif target is None and not self.is_open():
                self._fail_all()
            self._expire()
            self._stop.wait(self._timings.retry_interval_s * self._rng.uniform(0.5, 1.5))
        self._fail_all()

    def _connect(self, target: str) -> None:
        try:
            with open_connection(self._addresses[target], self._timings.connect_timeout_s) as connection:
                connection.settimeout(self._timings.keepalive_interval_s + self._timings.stall_timeout_s)
                send_message(connection, self._hello)
                self._serve(connection, target)
        except (OSError, ValueError) as error:
            log.debug("relay connection ended: leader=%s error=%r", target, str(error))
        except Exception:
            # The thread must run as long as the process; it opens a new connection next.
            log.exception("relay connection failed unexpectedly: leader=%s", target)

    def _serve(self, connection: socket.socket, target: str) -> None:
        """Send batches until the connection is lost or the leader changes."""
        self._reconnection.connection_accepted(time.monotonic())
        with self._wake:
            self._in_flight.clear()
            self._round_trips.clear()
        reader = threading.Thread(target=self._read, args=(connection,), name="relay answers", daemon=True)
        reader.start()
        try:
            while not self._stop.is_set() and self._target() == target and reader.is_alive():
                self._send_next(connection)
        finally:
            # Closed only after the reader has ended: its descriptor could be reused for another connection.
            shut_down(connection)
            reader.join()
            self._connection_lost(target)

    def _send_next(self, connection: socket.socket) -> None:
        timings = self._timings
        with self._wake:
            if not self._queue.unsent_count and self._round_trips:
                self._wake.wait(timings.keepalive_interval_s)
            elif not self._queue.unsent_count:
                # Without heartbeats, empty batches are sent to measure the round trip.
                self._wake.wait(timings.batch_delay_s)
        if self._queue.unsent_count:
            self._stop.wait(timings.batch_delay_s)
        now = time.monotonic()
        with self._wake:
            if self._in_flight and now - self._in_flight[0] > timings.stall_timeout_s:
                raise TimeoutError("leader did not answer a batch in time")
            batch = self._queue.next_batch(now, _MAX_BATCH_SIZE, min(self._round_trips, default=0.0))
            self._in_flight.append(now)
        send_message(connection, batch)
        self._expire()

    def _read(self, connection: socket.socket) -> None:
        try:
            while True:
                self._handle_responses(receive_message(connection, _decoder))
        except (OSError, ValueError) as error:
            log.debug("relay response reader ended: error=%r", str(error))
        except Exception:
            # The sending thread has to be woken after any failure: it closes the connection.
            log.exception("relay response reader failed unexpectedly")
        with self._wake:
            # The sending thread then finds that this thread has ended.
            self._wake.notify()

    def _handle_responses(self, batch: ResponseBatch) -> None:
        self._on_advice(batch.max_workers, batch.underloaded_relays)
        with self._wake:
            # The first response shows that the leader accepts this relay.
            self._connected = True
            if self._in_flight:
                self._round_trips.append(time.monotonic() - self._in_flight.popleft())
            deliveries = self._queue.match_responses(batch, time.monotonic(), self._min_fencing_token())
            if self._queue.unsent_count:
                self._wake.notify()
        self._deliver(deliveries)

    def _connection_lost(self, target: str) -> None:
        with self._wake:
            if self._connected:
                self._connected = False
                self._reconnection.connection_lost(target, time.monotonic())
            self._queue.connection_lost()
        self._on_advice(0, [])

    def _expire(self) -> None:
        with self._wake:
            deliveries = self._queue.expire(time.monotonic())
        self._deliver(deliveries)

    def _fail_all(self) -> None:
        with self._wake:
            deliveries = self._queue.fail_all()
        self._deliver(deliveries)

    @staticmethod
    def _deliver(deliveries: Iterable[Delivery]) -> None:
        for delivery in deliveries:
            try:
                delivery.deliver()
            except Exception:
                # An error in one worker's callback must not prevent the other deliveries.
                log.exception(
                    "delivery of a relayed response failed: machine=%s", delivery.pending.heartbeat.machine
                )
