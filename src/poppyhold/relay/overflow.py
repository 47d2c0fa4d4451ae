"""Workers that come to a relay beyond its share, sent on to others as they come.

When a relay ends, all its workers go to one and the same next controller, the one behind it in their lists.
That one had twice its share then, and closed connections that it had no room for.
"""

from __future__ import annotations

import threading
from collections.abc import Callable, Sequence

from poppyhold.relay.rendezvous import rendezvous_weight


class Overflow:
    """A relay's own count of its workers, and the leader's advice on who else has room."""

    def __init__(self, most: int, lease_s: float, clock: Callable[[], float]) -> None:
        """``most``: workers that this controller may have at all."""
        self._most, self._lease_s, self._clock = most, lease_s, clock
        self._advised_most, self._roomy = 0, tuple[str, ...]()
        # When each worker reported here last, and was sent on last; oldest first.
        self._seen: dict[str, float] = {}
        self._sent_on: dict[str, float] = {}
        self._lock = threading.Lock()

    def advise(self, most: int, roomy: Sequence[str]) -> None:
        """The leader tells how many workers a relay should have, and which ones have fewer; 0: neither."""
        with self._lock:
            self._advised_most, self._roomy = most, tuple(roomy)

    def send_on(self, machine: str) -> str | None:
        """Another controller for a worker that reports; None: it is taken here.

        One that is here already stays. One that was sent on and comes back is taken, so that no two relays
        send a worker to and fro until its lease ends.
        """
        now = self._clock()
        with self._lock:
            self._forget(now)
            came = machine not in self._seen
            returned = machine in self._sent_on
            most = min(self._most, self._advised_most)
            if came and not returned and self._roomy and len(self._seen) >= most > 0:
                self._sent_on[machine] = now
                return max(self._roomy, key=lambda member: rendezvous_weight(member, machine))
            self._seen.pop(machine, None)
            self._seen[machine] = now
            return None

    def _forget(self, now: float) -> None:
        for kept in (self._seen, self._sent_on):
            while kept and next(iter(kept.values())) < now - self._lease_s:
                del kept[next(iter(kept))]
