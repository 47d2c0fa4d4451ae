"""Soak runs: real controllers under faults, load and users that are drawn from a seed."""
