"""The totals of the capacity page, recomputed from its slopes, counts and constants."""

from __future__ import annotations

import re
from pathlib import Path

import pytest

PAGE = (Path(__file__).resolve().parent.parent / "docs" / "CAPACITY.md").read_text(encoding="utf-8")
HEADER = ["figure", "slope", "count", "constant", "total", "limit", "used", "from", "how"]
KINDS = {"measured", "worked out", "guess"}


def _number(cell: str) -> float:
    return float(cell.replace(",", ""))


def _decimals(cell: str) -> int:
    return len(cell.partition(".")[2])


def _rows() -> list[list[str]]:
    """Every row of the tables with the expected header."""
    rows: list[list[str]] = []
    inside = False
    for line in PAGE.splitlines():
        cells = [cell.strip() for cell in line.strip().strip("|").split("|")]
        if cells == HEADER:
            inside = True
        elif not line.startswith("|"):
            inside = False
        elif inside and not set(line) <= set("|- "):
            rows.append(cells)
    return rows


ROWS = _rows()


def test_there_is_a_table_for_each_role() -> None:
    roles = re.findall(r"^### (.+)$", PAGE, re.MULTILINE)
    for role in ("Worker", "Leader", "Relay", "Follower", "Users", "State service", "Cloud", "Gateway"):
        assert any(role in name for name in roles), role
    assert len(ROWS) >= 2 * len(roles)


@pytest.mark.parametrize("row", ROWS, ids=lambda row: f"{row[0]}-{row[2]}")
def test_totals_are_slope_times_count_plus_constant(row: list[str]) -> None:
    _, slope, count, constant, total, limit, used, _, how = row
    product = _number(slope) * _number(count) + _number(constant)
    assert abs(product - _number(total)) <= 0.5001 * 10 ** -_decimals(total), product
    assert how in KINDS
    if limit == "none":
        assert used == ""
    else:
        share = 100 * _number(total) / _number(limit)
        assert abs(share - _number(used.rstrip("%"))) <= 0.5001, share
