"""HTTP responses as the tool handles them: a status and a decoded body."""

from __future__ import annotations

from typing import Any

Data = dict[str, Any]
Status = tuple[int, Data]
