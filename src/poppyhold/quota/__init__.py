"""Allocations of teams' limits and guarantees that move between cells (docs/quota.md)."""
