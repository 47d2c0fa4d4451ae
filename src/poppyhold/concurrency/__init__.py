"""Bounded structures that threads share."""
