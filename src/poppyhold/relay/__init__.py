"""Heartbeat relays: every controller may accept workers' heartbeats for the leader, which alone answers them.

A relay (`queue`, `link`) forwards heartbeats in batches and hands each worker the leader's response to that
very heartbeat. The leader (`server`, `batch_handler`) answers batches as it answers direct heartbeats, and
decides which worker sends its heartbeats to which relay (`assignment`). A relay decides nothing and grants no
lease of its own.
"""
