"""The fleet as the decision core sees it, and what its parts share."""
