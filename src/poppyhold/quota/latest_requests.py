"""The latest request to each cell: written by the decision thread, read by the links' threads."""

from __future__ import annotations

import threading

from poppyhold.quota.messages import TransferRequest


class LatestRequests:
    """Holds the latest requests, and wakes the links that wait for a change."""

    def __init__(self) -> None:
        self._requests: dict[str, TransferRequest] = {}
        self._changed = threading.Condition()

    def publish(self, requests: dict[str, TransferRequest]) -> None:
        """Replace the requests, and wake the waiting links if a demand or an acknowledgement has changed."""
        if requests is self._requests:
            return
        with self._changed:
            before, self._requests = self._requests, requests
            if any(_differs(before.get(cell), request) for cell, request in requests.items()):
                self._changed.notify_all()

    def get(self, cell: str) -> TransferRequest | None:
        """The latest request to a cell; None before the first."""
        return self._requests.get(cell)

    def wait_for_change(self, cell: str, sent: TransferRequest | None, timeout_s: float) -> None:
        """Wait until the demand or acknowledgement for a cell differs from ``sent``, or time out."""
        with self._changed:
            self._changed.wait_for(lambda: _differs(sent, self._requests.get(cell)), timeout_s)

    def wake_all(self) -> None:
        """Wake all waiting links."""
        with self._changed:
            self._changed.notify_all()


def _differs(before: TransferRequest | None, after: TransferRequest | None) -> bool:
    if before is None or after is None:
        return after is not before
    return before.last_applied != after.last_applied or before.unmet_demands != after.unmet_demands
