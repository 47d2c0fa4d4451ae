"""Cells' allocations of teams' limits and guarantees, and their transfer between cells (docs/quota.md)."""
