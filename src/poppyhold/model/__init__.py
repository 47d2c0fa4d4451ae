"""The fleet as the decision core sees it, and what the parts of the core share."""
