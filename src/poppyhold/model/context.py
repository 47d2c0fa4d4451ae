"""State and dependencies that the parts of the decision core share during one term."""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from typing import Final

import msgspec

from poppyhold.model.durations import Durations
from poppyhold.model.fleet import Fleet
from poppyhold.model.outbound import OutboundPort
from poppyhold.model.start_grant import StartGrant
from poppyhold.options import Options
from poppyhold.settings import Settings
from poppyhold.wire.cloud_messages import MachineType

# Machine -> its cached images and their sizes, least recently used first.
ImageHints = dict[str, tuple[tuple[str, float], ...]]

# The lower bits of a unique number count within the term, the higher ones are its fencing token.
_NUMBER_BITS = 24


class Context(msgspec.Struct, eq=False, kw_only=True):
    """Shared by the parts of one term's core; only the decision thread touches it.

    Final fields are set as the term begins. The others are its state; their comments name the part that
    writes them, or say why several do.
    """

    settings: Final[Settings]
    options: Final[Options]
    durations: Final[Durations]
    outbound: Final[OutboundPort]
    clock: Final[Callable[[], float]]
    wall_clock: Final[Callable[[], float]]
    rng: Final[random.Random]
    # The lowest fencing token of the term, with which it began.
    term_fencing_token: Final[int]
    # Largest fleet whose workers are probed for heartbeats as soon as a term begins.
    max_initial_probes: Final[float] = math.inf
    # Largest number of probes of silent workers within one heartbeat interval.
    silent_probes_per_interval: Final[float] = 1e9

    # The highest fencing token that is reserved for the term; each machine has its own in between. Written by
    # `execution.start_fencing`.
    highest_fencing_token: int
    # Jobs and machines; each part writes those of their fields that it decides on.
    fleet: Fleet = msgspec.field(default_factory=Fleet)
    # Written by `node.controller` as a term begins and when the cloud lists its machine types.
    machine_types: dict[str, MachineType] = msgspec.field(default_factory=dict)
    # When machines were deleted, by name: late lists and heartbeats may still name them. Added by
    # `execution.lease_expiry`, removed by `machines.machine_list` once no list can name the machine.
    deleted_at: dict[str, float] = msgspec.field(default_factory=dict)
    # The machines' images, as sent by the last leader. Written by `node.controller` as a term begins.
    image_hints: ImageHints = msgspec.field(default_factory=dict)
    # Set by every change that may allow a start; cleared by `node.scheduling_cycle` before each cycle,
    # and set again by `scheduling.dispatch` for a cycle that it aborted.
    scheduling_needed: bool = True
    # Count of numbers issued in this term. Written by `next_unique_number` alone.
    numbers_issued: int = 0

    def may_start_tasks(self) -> bool:
        """Whether this leadership was confirmed recently enough to start tasks."""
        return isinstance(self.outbound.start_grant(), StartGrant)

    @property
    def attempt_digits(self) -> int:
        """The number of digits that no attempt of this term or an earlier one exceeds."""
        return len(str((self.term_fencing_token + 1) << _NUMBER_BITS))

    def next_unique_number(self) -> int:
        """Return a number that no other attempt or launch of any term has."""
        self.numbers_issued += 1
        return (self.term_fencing_token << _NUMBER_BITS) + self.numbers_issued
