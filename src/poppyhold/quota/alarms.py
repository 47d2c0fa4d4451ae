"""What operators have to look at: each alarm is logged as it is raised and as it is over."""

from __future__ import annotations

import logging
from enum import StrEnum

log = logging.getLogger(__name__)


class AlarmKind(StrEnum):
    """What is wrong."""

    USE_ABOVE_SHARE = "use above share"
    UNKNOWN_RECORDS = "unknown records"
    BROKEN_SEQUENCE = "broken sequence"
    OTHER_CELL = "other cell"
    CELLS_DIFFER = "cells differ"


class Alarms:
    """The alarms that stand, by kind and by what they are about."""

    def __init__(self) -> None:
        self._standing: dict[tuple[AlarmKind, str], str] = {}

    def set(self, kind: AlarmKind, subject: str, text: str | None) -> None:
        """Raise an alarm about a cell or a team, or with None note that it is over."""
        key = (kind, subject)
        if text is None:
            if self._standing.pop(key, None) is not None:
                log.warning("over: %s, %s", kind, subject)
            return
        if key not in self._standing:
            log.error("%s, %s: %s", kind, subject, text)
        self._standing[key] = text

    def texts(self) -> list[str]:
        """All that stand, a line each."""
        return [f"{kind}, {subject}: {text}" for (kind, subject), text in sorted(self._standing.items())]
