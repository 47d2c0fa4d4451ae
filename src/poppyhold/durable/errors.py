"""Errors of requests to the state service, by what the caller may do next."""

from __future__ import annotations

from collections.abc import Iterable


class StoreError(Exception):
    """A request to the state service failed."""


class StoreRejectedError(StoreError):
    """The request was certainly not carried out, and may be retried."""


class InvalidRequestError(StoreRejectedError):
    """The state service will never accept the request, most likely because it is above a limit.

    A retry is of no use; a smaller request may be accepted.
    """


class OutcomeUnknownError(StoreError):
    """The request may have been carried out, or may still be carried out later.

    Only an idempotent request may be retried as it is. Before any other, a late commit of the first attempt
    must be ruled out (`FencedWriter`).
    """


class ConditionFailedError(StoreError):
    """A compare-and-swap failed: the conditions on ``failed_keys`` did not hold, and nothing was written."""

    def __init__(self, failed_keys: Iterable[str]) -> None:
        self.failed_keys = list(failed_keys)
        super().__init__(", ".join(self.failed_keys))


class LeaseExpiredError(StoreError):
    """A lease has expired or was revoked, and its keys are deleted: its owner needs a new lease."""

    def __init__(self, lease_id: int | None = None) -> None:
        super().__init__("the lease has expired" if lease_id is None else f"lease {lease_id} has expired")
        self.lease_id = lease_id


class WatchCompactedError(StoreError):
    """The state service no longer has all changes after a revision: the prefix must be read again."""

    def __init__(self, prefix: str, revision: int) -> None:
        super().__init__(f"changes of {prefix} after revision {revision} are compacted")
        self.prefix, self.revision = prefix, revision
