"""Errors of the protocol between cells."""

from __future__ import annotations


class QuotaProtocolError(Exception):
    """A message contradicts this cell's records, and is not applied."""


class UnknownIncarnationError(QuotaProtocolError):
    """The other cell's records were recreated after the last transfer."""


class SequenceError(QuotaProtocolError):
    """The other cell acknowledges a transfer that was not sent, or skips one."""


class WrongCellError(QuotaProtocolError):
    """The records in this cell's state service belong to a cell with another name."""
