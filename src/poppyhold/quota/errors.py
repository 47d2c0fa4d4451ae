"""Errors of the protocol between cells."""

from __future__ import annotations


class QuotaProtocolError(Exception):
    """A message contradicts this cell's records: nothing of it is applied."""


class UnknownIncarnationError(QuotaProtocolError):
    """The other cell's records were created anew since the last transfer."""


class SequenceError(QuotaProtocolError):
    """The other cell names a transfer that it cannot know, or skips one."""


class WrongCellError(QuotaProtocolError):
    """The records in this cell's state service belong to a cell with another name."""
