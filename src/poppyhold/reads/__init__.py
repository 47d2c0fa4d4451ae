"""Linearizable reads of jobs that share one read of the store's revision: the read-index technique."""
