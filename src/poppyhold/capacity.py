"""Whether a deployment's limits suffice for the expected fleet; docs/CAPACITY.md has the costs."""

from __future__ import annotations

import math
from collections.abc import Iterator

from poppyhold.machines.machine_list import MISSING_AFTER_LAGS
from poppyhold.node.cloud_client import LIST_PAGE_SIZE
from poppyhold.node.cloud_dispatcher import LIST_REQUEST_SHARE
from poppyhold.options import Options, RelayMode
from poppyhold.relay.assignment import MAX_LOAD_RATIO
from poppyhold.settings import BASE_MB, CONNECTION_MB, MACHINE_MB, Settings

# The leader's processor time, a line through two runs: cores per machine with its starts, and a constant.
_CORES_PER_MACHINE, _CORES_BASE = 0.000194, -0.06
# Part of the state service's changes that the leader keeps to.
_LEADER_SHARE = 2 / 3
# Leases within which it must have recorded every machine of a fleet that begins at once.
_LONGEST_RECORDING_LEASES = 8


def shortfalls(settings: Settings, options: Options) -> list[str]:
    """Describe the limits that don't suffice for ``fleet.machines``, a line each that names the setting.

    There are none if ``fleet.machines`` is not configured.
    """
    machines = options.fleet.machines
    if not machines:
        return []
    found = _shortfalls(settings, options, machines)
    return [f"{line} (fleet.machines: {machines})" for line in found]


def _shortfalls(settings: Settings, options: Options, machines: int) -> Iterator[str]:
    deployment = settings.deployment
    limits, workers = deployment.machine_limits, deployment.workers
    most = _most_connections(deployment.controllers, options, machines)
    if most > limits.connections:
        yield f"settings.machine_limits.max_sockets: {limits.connections} connections of {most} needed"
    memory_mb = BASE_MB + MACHINE_MB * machines + CONNECTION_MB * min(most, limits.connections)
    if memory_mb > limits.ram_mb:
        yield f"settings.machine_limits.ram_mb: {limits.ram_mb:g} of {memory_mb:.0f} MB needed on the leader"
    cores = _CORES_PER_MACHINE * machines + _CORES_BASE
    if cores > limits.core_share:
        yield f"settings.machine_limits.core_share: {limits.core_share:g} of {cores:.2f} needed on the leader"
    list_s = math.ceil(machines / LIST_PAGE_SIZE) / (deployment.cloud.rps * LIST_REQUEST_SHARE)
    # A machine that no list has shown for so long counts as missing.
    if list_s > MISSING_AFTER_LAGS * deployment.cloud.list_lag_s:
        yield f"settings.cloud.rps: reading the list of machines takes {list_s:.0f} s"
    recording_s = machines / (deployment.state.lowest.write_rps * _LEADER_SHARE)
    if recording_s > _LONGEST_RECORDING_LEASES * workers.lease_s:
        yield f"settings.state.write_rps: recording all machines takes {recording_s:.0f} s"


def _most_connections(controllers: int, options: Options, machines: int) -> int:
    """Return the most workers' connections of one controller, with one of the others lost."""
    relays = controllers - 2
    if options.relays.mode is RelayMode.OFF or relays < 1:
        return machines
    return math.ceil(min(machines, MAX_LOAD_RATIO * machines / relays))
