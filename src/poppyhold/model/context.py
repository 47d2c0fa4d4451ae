"""What the parts of the decision core share during one term."""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from typing import Final

import msgspec

from poppyhold.model.durations import Durations
from poppyhold.model.fleet import Fleet
from poppyhold.model.outbound import OutboundPort
from poppyhold.options import Options
from poppyhold.settings import Settings
from poppyhold.wire.cloud_messages import MachineType

# Machine -> its images and their sizes, least recently used first.
ImageHints = dict[str, tuple[tuple[str, float], ...]]


class Context(msgspec.Struct, eq=False, kw_only=True):
    """Shared by the parts of one term's core; only the decision thread touches it.

    The final fields are what a term is given as it begins. The others are its state, each with the one part
    that writes it, or the reason why several do.
    """

    # -- given as the term begins ----------------------------------------------------------------

    settings: Final[Settings]
    options: Final[Options]
    durations: Final[Durations]
    outbound: Final[OutboundPort]
    clock: Final[Callable[[], float]]
    wall_clock: Final[Callable[[], float]]
    rng: Final[random.Random]
    # The fencing token that the term began with.
    term_fencing_token: Final[int]
    # Up to this many machines are asked for heartbeats at one moment as a term begins.
    max_initial_probes: Final[float] = math.inf
    # This many silent workers are asked for heartbeats within one interval.
    silent_probes_per_interval: Final[float] = 1e9

    # -- state of the term -----------------------------------------------------------------------

    # The fencing token of commands, raised within the term. Written by `execution.direct_commands`.
    fencing_token: int
    # Jobs and machines. Each part writes those of their fields that it decides on.
    fleet: Fleet = msgspec.field(default_factory=Fleet)
    # Written by `node.controller`: as a term begins, and as the cloud tells its machine types.
    machine_types: dict[str, MachineType] = msgspec.field(default_factory=dict)
    # Machines that were deleted, and when: old lists and heartbeats still name them. `execution.lease_expiry`
    # adds them, and `machines.machine_list` drops them once no list can name them any more.
    deleted_at: dict[str, float] = msgspec.field(default_factory=dict)
    # What the last leader told of the machines' images. Written by `node.controller` as a term begins.
    image_hints: ImageHints = msgspec.field(default_factory=dict)
    # Raised by whatever changes what could be started; lowered by `node.controller` before each scheduling
    # cycle, and raised again by `scheduling.dispatch` for a cycle that it broke off.
    scheduling_needed: bool = True
    # Numbers given out in this term. Written by `next_unique_number` alone.
    numbers_issued: int = 0

    def next_unique_number(self) -> int:
        """Return a number that no attempt and no launch has had, in this term or any other."""
        self.numbers_issued += 1
        return (self.term_fencing_token << 24) + self.numbers_issued
