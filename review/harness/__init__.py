"""Stand-ins and processes for the cases of the review."""
