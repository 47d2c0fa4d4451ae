"""Shares of teams' limits and guarantees, held by several cells and moved between them (docs/quota.md)."""
