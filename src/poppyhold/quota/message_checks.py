"""Checks of other cells' messages, and the alarms raised when a check fails."""

from __future__ import annotations

from collections.abc import Callable

from poppyhold.options import Cells
from poppyhold.quota.alarms import AlarmKind, Alarms
from poppyhold.quota.errors import QuotaProtocolError, UnknownIncarnationError, WrongCellError
from poppyhold.quota.ledger import AllocationLedger
from poppyhold.quota.messages import TransferRequest


class MessageChecks:
    """Checks messages against this cell's records and settings."""

    def __init__(self, cells: Cells, ledger: AllocationLedger, alarms: Alarms) -> None:
        self._cells, self._ledger, self._alarms = cells, ledger, alarms

    def is_wrong_cell(self) -> bool:
        """Whether the records here belong to another cell, so that no transfer and no start is allowed."""
        try:
            self._ledger.check_identity()
        except WrongCellError as error:
            self._alarms.set(AlarmKind.WRONG_CELL, self._cells.name, str(error))
            return True
        return False

    def rejection(self, request: TransferRequest) -> str:
        """Why a request is rejected; empty if it is accepted."""
        differ = request.layout != self._cells.layout
        text = "its operators name other cells or parts" if differ else None
        self._alarms.set(AlarmKind.LAYOUT_MISMATCH, request.cell, text)
        if differ:
            return "the cells and their parts differ"
        if not self._ledger.incarnation or self.is_wrong_cell():
            return "no allocations are known here"
        if request.to_incarnation not in ("", self._ledger.incarnation):
            return "the request is for records of another incarnation"
        return ""

    def run_guarded(self, cell: str, action: Callable[[], None]) -> str:
        """Run the handler of a message; a protocol error raises an alarm, and its text is returned."""
        try:
            action()
        except UnknownIncarnationError as error:
            self._alarms.set(AlarmKind.UNKNOWN_RECORDS, cell, str(error))
            return str(error)
        except QuotaProtocolError as error:
            self._alarms.set(AlarmKind.BROKEN_SEQUENCE, cell, str(error))
            return str(error)
        self._alarms.set(AlarmKind.UNKNOWN_RECORDS, cell, None)
        self._alarms.set(AlarmKind.BROKEN_SEQUENCE, cell, None)
        return ""
