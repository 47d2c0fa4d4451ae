"""What the parts of the decision core share during one term."""

from __future__ import annotations

import math
import random
from collections.abc import Callable

import msgspec

from poppyhold.model.durations import Durations
from poppyhold.model.fleet import Fleet
from poppyhold.model.outbound import OutboundPort
from poppyhold.options import Options
from poppyhold.settings import Settings
from poppyhold.wire.cloud_messages import MachineType

# Machine -> its images and their sizes, least recently used first.
ImageHints = dict[str, tuple[tuple[str, float], ...]]


class Context(msgspec.Struct, eq=False):
    """Shared by the parts of one term's core; only the decision thread touches it."""

    settings: Settings
    options: Options
    outbound: OutboundPort
    clock: Callable[[], float]
    wall_clock: Callable[[], float]
    rng: random.Random
    term_fencing_token: int
    fencing_token: int
    durations: Durations
    fleet: Fleet = msgspec.field(default_factory=Fleet)
    machine_types: dict[str, MachineType] = msgspec.field(default_factory=dict)
    # Machines that we deleted, and when: old lists and reports still name them.
    deleted_at: dict[str, float] = msgspec.field(default_factory=dict)
    image_hints: ImageHints = msgspec.field(default_factory=dict)
    # Up to so many machines are asked for reports at one moment as a term begins.
    max_initial_probes: float = math.inf
    # So many silent workers are asked for reports within one interval.
    silent_probe_rate: float = 1e9
    scheduling_needed: bool = True
    counter: int = 0

    def next_unique_number(self) -> int:
        """A number that no attempt and no hire has had, in this term or any other."""
        self.counter += 1
        return (self.term_fencing_token << 24) + self.counter
