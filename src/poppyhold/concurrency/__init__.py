"""Bounded queues and dictionaries, and a rate limiter."""
