"""Checks whether a deployment's limits suffice for the expected fleet; docs/CAPACITY.md lists the costs."""

from __future__ import annotations

import math
from collections.abc import Iterator

from poppyhold.machines.machine_list import MISSING_AFTER_LAGS
from poppyhold.node.cloud_client import LIST_PAGE_SIZE
from poppyhold.node.cloud_dispatcher import LIST_REQUEST_SHARE
from poppyhold.options import Options, RelayMode
from poppyhold.relay.assignment import MAX_LOAD_RATIO
from poppyhold.settings import BASE_MB, CONNECTION_MB, MACHINE_MB, Settings

# Linear model of the leader's CPU use in cores: per machine, task starts included, and a constant. The line
# goes through the figures of two scale runs.
_CORES_PER_MACHINE, _CORES_BASE = 0.000194, -0.06
# Share of the state service's write rate that the leader uses at most.
_LEADER_WRITE_SHARE = 2 / 3
# Leases within which the leader must record every machine of a fleet whose machines all start at once.
_MAX_RECORDING_LEASES = 8


def shortfalls(settings: Settings, options: Options) -> list[str]:
    """Return one line, which names the setting, for each limit that is too low for ``fleet.machines``.

    The list is empty if ``fleet.machines`` is not configured.
    """
    machines = options.fleet.machines
    if not machines:
        return []
    found = _shortfalls(settings, options, machines)
    return [f"{line} (fleet.machines: {machines})" for line in found]


def _shortfalls(settings: Settings, options: Options, machines: int) -> Iterator[str]:
    deployment = settings.deployment
    limits, workers = deployment.machine_limits, deployment.workers
    needed = _max_connections(deployment.controllers, options, machines)
    if needed > limits.connections:
        yield f"settings.machine_limits.max_sockets: {limits.connections} connections of {needed} needed"
    memory_mb = BASE_MB + MACHINE_MB * machines + CONNECTION_MB * min(needed, limits.connections)
    if memory_mb > limits.ram_mb:
        yield f"settings.machine_limits.ram_mb: {limits.ram_mb:g} of {memory_mb:.0f} MB needed on the leader"
    cores = _CORES_PER_MACHINE * machines + _CORES_BASE
    if cores > limits.core_share:
        yield f"settings.machine_limits.core_share: {limits.core_share:g} of {cores:.2f} needed on the leader"
    list_s = math.ceil(machines / LIST_PAGE_SIZE) / (deployment.cloud.rps * LIST_REQUEST_SHARE)
    # A machine that has been in no list for this long counts as missing.
    if list_s > MISSING_AFTER_LAGS * deployment.cloud.list_lag_s:
        yield f"settings.cloud.rps: reading the list of machines takes {list_s:.0f} s"
    recording_s = machines / (deployment.state.lowest.write_rps * _LEADER_WRITE_SHARE)
    if recording_s > _MAX_RECORDING_LEASES * workers.lease_s:
        yield f"settings.state.write_rps: recording all machines takes {recording_s:.0f} s"


def _max_connections(controllers: int, options: Options, machines: int) -> int:
    """Return the highest number of worker connections to one controller after the loss of another."""
    relays = controllers - 2
    if options.relays.mode is RelayMode.OFF or relays < 1:
        return machines
    return math.ceil(min(machines, MAX_LOAD_RATIO * machines / relays))
