"""The relay's connection to the leader: one thread that sends batches, one that reads answers."""

from __future__ import annotations

import logging
import random
import socket
import threading
import time
from collections import deque
from collections.abc import Callable, Iterable

import msgspec

from poppyhold.relay.messages import AnswerBatch, RelayHello
from poppyhold.relay.queue import HeartbeatQueue, Respond, Response
from poppyhold.relay.regaining import Regaining
from poppyhold.wire.frames import receive_message, send_message, shut_down
from poppyhold.wire.worker_messages import Heartbeat

log = logging.getLogger(__name__)

_decoder = msgspec.msgpack.Decoder(AnswerBatch)
# Reports in a batch: what comes in while one is under way, bounded so that the leader does other things too.
_MOST_IN_BATCH = 64
# Of so many batches the fastest tells whether the way to the leader is slow: one may wait for a decision.
_ROUND_TRIPS = 4


class RelayTimes:
    """Spans of time of a relay, each a ratio to the interval of reports or to the workers' patience."""

    def __init__(self, heartbeat_interval_s: float, patience_s: float, lease_s: float) -> None:
        # A report that has waited so long is not answered any more: its worker gives up soon.
        self.patience_s = patience_s
        # Reports that come so close to one another go in one batch.
        self.gather_s = heartbeat_interval_s / 20
        # Without reports the leader is asked so often whether it is there.
        self.keepalive_s = heartbeat_interval_s / 2
        # A batch without answers for so long: the leader is cut off, and workers had better go elsewhere.
        self.stalled_s = patience_s / 2
        # Behind a connection that is gone, reports are taken so long for the next one. By its end a lease
        # proxy may answer: workers of a cut zone were sent to a leader that they could not reach.
        self.regain_s = patience_s
        # The same where the leader changes: an election takes a quarter of a lease at the most, and reading a
        # second or two. What is left of a worker's lease must do for the way to the leader itself.
        self.longest_regain_s = max(patience_s, 0.4 * lease_s)
        self.retry_s = heartbeat_interval_s / 20
        # Nothing that waits is given up meanwhile, so that this comes on top of its patience at the most.
        self.connect_s = patience_s / 6


class RelayLink:
    """Passes reports on to whoever leads, while that one wants it."""

    def __init__(
        self,
        hello: RelayHello,
        addresses: dict[str, tuple[str, int]],
        target: Callable[[], str | None],
        lowest_fencing_token: Callable[[], int],
        times: RelayTimes,
        most: int,
        rng: random.Random,
        on_advice: Callable[[int, list[str]], None] = lambda most, roomy: None,
    ) -> None:
        """``target`` names the controller to relay to now; ``lowest_token`` is the highest token seen.

        ``on_advice`` is told how many workers a relay should have, and which others have room.
        """
        self._on_advice = on_advice
        self._hello, self._addresses = hello, addresses
        self._target, self._lowest_fencing_token = target, lowest_fencing_token
        self._times, self._rng = times, rng
        self._queue = HeartbeatQueue(most, times.patience_s)
        self._wake = threading.Condition(threading.Lock())
        self._connected = False
        self._regaining = Regaining(times.regain_s, times.longest_regain_s)
        # When each batch was sent that has no answers yet, and how long the last ones took.
        self._under_way: deque[float] = deque()
        self._round_trips: deque[float] = deque(maxlen=_ROUND_TRIPS)
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, name="relay", daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """End it; whatever waits is refused."""
        self._stop.set()
        with self._wake:
            self._wake.notify_all()

    def is_open(self) -> bool:
        """Whether reports are relayed now."""
        return self._connected or self.is_regaining()

    def is_regaining(self) -> bool:
        """Whether the connection was lost just now, and reports wait for the next one."""
        return not self._connected and self._regaining.is_on(time.monotonic())

    def offer(self, heartbeat: Heartbeat, respond: Respond) -> bool:
        """Pass a report on; False if it is refused at once, as too many wait."""
        with self._wake:
            taken = self._queue.put(heartbeat, time.monotonic(), respond)
            self._wake.notify()
        return taken

    # -- the connection ----------------------------------------------------------------------------

    def _run(self) -> None:
        while not self._stop.is_set():
            target = self._target()
            self._regaining.look(target, time.monotonic())
            if target in self._addresses:
                self._connect(target)
            elif target is None and not self.is_open():
                with self._wake:
                    responses = self._queue.give_up_all()
                self._respond(responses)
            self._give_up()
            self._stop.wait(self._times.retry_s * self._rng.uniform(0.5, 1.5))
        with self._wake:
            responses = self._queue.give_up_all()
        self._respond(responses)

    def _connect(self, target: str) -> None:
        try:
            with socket.create_connection(
                self._addresses[target], timeout=self._times.connect_s
            ) as connection:
                connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                connection.settimeout(self._times.keepalive_s + self._times.stalled_s)
                send_message(connection, self._hello)
                self._serve(connection, target)
        except (OSError, ValueError, msgspec.MsgspecError) as error:
            log.debug("relaying to %s: %s", target, error)
        except Exception:
            log.exception("relaying to %s", target)

    def _serve(self, connection: socket.socket, target: str) -> None:
        """Send batches until the connection or the leader is gone."""
        self._regaining.reached(time.monotonic())
        with self._wake:
            self._under_way.clear()
            self._round_trips.clear()
        reader = threading.Thread(target=self._read, args=(connection,), name="relay answers", daemon=True)
        reader.start()
        try:
            while not self._stop.is_set() and self._target() == target and reader.is_alive():
                self._send_next(connection)
        finally:
            # Closed under the reader, the descriptor could be another connection's by the time it reads on.
            shut_down(connection)
            reader.join()
            self._lost(target)

    def _send_next(self, connection: socket.socket) -> None:
        times = self._times
        with self._wake:
            if not self._queue.unsent and self._round_trips:
                self._wake.wait(times.keepalive_s)
            elif not self._queue.unsent:
                # The first batches show how long they take.
                self._wake.wait(times.gather_s)
        if self._queue.unsent:
            self._stop.wait(times.gather_s)
        now = time.monotonic()
        with self._wake:
            if self._under_way and now - self._under_way[0] > times.stalled_s:
                raise TimeoutError("no answers")
            batch = self._queue.next_batch(now, _MOST_IN_BATCH, min(self._round_trips, default=0.0))
            self._under_way.append(now)
        send_message(connection, batch)
        self._give_up()

    def _read(self, connection: socket.socket) -> None:
        try:
            while True:
                batch = receive_message(connection, _decoder)
                self._answered(batch)
        except (OSError, ValueError, msgspec.MsgspecError) as error:
            log.debug("relayed answers: %s", error)
        except Exception:
            log.exception("relayed answers")
        with self._wake:
            # The sending thread looks whether we are still there.
            self._wake.notify()

    def _answered(self, batch: AnswerBatch) -> None:
        self._on_advice(batch.most_workers, batch.roomy)
        with self._wake:
            # The first answers of all show that the leader takes us.
            self._connected = True
            if self._under_way:
                self._round_trips.append(time.monotonic() - self._under_way.popleft())
            responses = self._queue.take_answers(batch, time.monotonic(), self._lowest_fencing_token())
            if self._queue.unsent:
                self._wake.notify()
        self._respond(responses)

    def _lost(self, target: str) -> None:
        with self._wake:
            if self._connected:
                self._connected = False
                self._regaining.lost(target, time.monotonic())
            self._queue.connection_lost()
        self._on_advice(0, [])

    def _give_up(self) -> None:
        with self._wake:
            responses = self._queue.give_up(time.monotonic())
        self._respond(responses)

    @staticmethod
    def _respond(responses: Iterable[Response]) -> None:
        for response in responses:
            try:
                response.give()
            except Exception:
                log.exception("answer to a report")
