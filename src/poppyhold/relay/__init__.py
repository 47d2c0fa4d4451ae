"""Heartbeat relays: any controller may accept workers' heartbeats and forward them to the leader.

A relay (`queue`, `link`) forwards heartbeats in batches and returns to each worker the leader's response to
that same heartbeat. The leader (`server`, `batch_handler`) answers batches as it answers direct heartbeats,
and assigns workers to relays (`assignment`). A relay makes no decisions and grants no leases of its own.
"""
