"""The workers' edge: their reports to us, and our commands to them."""

from __future__ import annotations

import logging
import queue
import threading
from collections.abc import Callable

from poppyhold.context import OK, REFUSED, UNSENT, UNSURE, Data
from poppyhold.http import Client, NoAnswer, NotSent
from poppyhold.messages import Malformed, Report, parse_report
from poppyhold.settings import ConfigError, Settings, split_address

log = logging.getLogger(__name__)

Done = Callable[[str, Report | None], None]


class Senders:
    """POST /do from a few threads; requests that may take their time have threads of their own."""

    def __init__(self, settings: Settings) -> None:
        workers = settings.settings.workers
        # A worker that does not answer in this time is treated as one that may still get the command.
        self._timeout = workers.report_s * 1.5
        self._quick: queue.SimpleQueue[tuple[str, Data, Done] | None] = queue.SimpleQueue()
        self._patient: queue.SimpleQueue[tuple[str, Data, Done] | None] = queue.SimpleQueue()
        self._threads = [
            threading.Thread(target=self._run, args=(work,), name="sender", daemon=True)
            for work in (*[self._quick] * 6, *[self._patient] * 3)
        ]
        for thread in self._threads:
            thread.start()

    def send(self, endpoint: str, body: Data, done: Done, patient: bool) -> None:
        """Queue a command."""
        (self._patient if patient else self._quick).put((endpoint, body, done))

    def stop(self) -> None:
        """End the threads behind what is queued."""
        for work in (*[self._quick] * 6, *[self._patient] * 3):
            work.put(None)

    def _run(self, work: queue.SimpleQueue[tuple[str, Data, Done] | None]) -> None:
        while True:
            item = work.get()
            if item is None:
                return
            endpoint, body, done = item
            try:
                done(*self._post(endpoint, body))
            except Exception:
                log.exception("command to %s", endpoint)
                done(UNSURE, None)

    def _post(self, endpoint: str, body: Data) -> tuple[str, Report | None]:
        try:
            host, port = split_address(endpoint)
        except ConfigError:
            return UNSENT, None
        # A new connection each time: on one that was kept open, a lost command and a closed
        # connection look alike, and a lost command has to be waited out.
        client = Client(host, port, keep=0)
        try:
            status, data = client.request("POST", "/do", body, timeout=self._timeout)
        except NotSent as error:
            log.debug("%s: %s", endpoint, error)
            return UNSENT, None
        except NoAnswer as error:
            log.debug("%s: %s", endpoint, error)
            return UNSURE, None
        if status not in (200, 409):
            return REFUSED, None
        try:
            report = parse_report(data)
        except Malformed as error:
            log.debug("%s: %s", endpoint, error)
            report = None
        return (OK if status == 200 else REFUSED), report
