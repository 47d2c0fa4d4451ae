"""Conditions that need an operator: each alarm is logged when it is raised and when it is cleared."""

from __future__ import annotations

import logging
from enum import StrEnum

log = logging.getLogger(__name__)


class AlarmKind(StrEnum):
    """The condition of an alarm; the values are shown to operators and sent to other cells."""

    USE_ABOVE_ALLOCATION = "use above share"
    UNKNOWN_RECORDS = "unknown records"
    BROKEN_SEQUENCE = "broken sequence"
    WRONG_CELL = "other cell"
    LAYOUT_MISMATCH = "cells differ"


class Alarms:
    """The active alarms, by kind and subject."""

    def __init__(self) -> None:
        self._active: dict[tuple[AlarmKind, str], str] = {}

    def set(self, kind: AlarmKind, subject: str, text: str | None) -> None:
        """Raise an alarm on a cell or team with a description, or clear it with None."""
        key = (kind, subject)
        if text is None:
            if self._active.pop(key, None) is not None:
                log.warning("quota alarm cleared: kind=%r subject=%s", kind.value, subject)
            return
        if key not in self._active:
            log.error("quota alarm raised: kind=%r subject=%s detail=%r", kind.value, subject, text)
        self._active[key] = text

    def texts(self) -> list[str]:
        """One line for each active alarm."""
        return [f"{kind}, {subject}: {text}" for (kind, subject), text in sorted(self._active.items())]
