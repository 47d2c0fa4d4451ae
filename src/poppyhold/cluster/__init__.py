"""Which controller leads, and what controllers tell one another."""
