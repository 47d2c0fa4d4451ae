"""Tracks booting machines: which of them are overdue, so that replacements are launched."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable

from poppyhold.model.entities import Machine

# By PROTOCOL a boot takes up to this many times the usual; a longer one may take several times as long, or
# never end.
_OVERDUE_BOOT_FACTOR = 1.5
# Factor on a boot's time limit while no machine that was launched as late has come up.
_SLOW_BOOT_FACTOR = 2


class BootTracker:
    """Distinguishes a few overdue machines from a type whose boots are all slow.

    Overdue machines are replaced once. Their replacements count as overdue only if a machine that was
    launched no sooner has come up; otherwise all boots are slow, and more launches don't help. When each
    generation was replaced by the next and all timed out, a fleet whose boots took five times as long paid
    for five times its need. This way, expected capacity stays below twice the need until a machine comes up.
    """

    def __init__(self) -> None:
        # By machine type, the latest launch of a machine that came up in this term.
        self._newest_booted_launch: dict[str, float] = defaultdict(lambda: float("-inf"))

    def overdue(self, machines: Iterable[Machine], now: float) -> set[str]:
        """Return the names of the machines that have been booting for too long to count as capacity."""
        booting = []
        for machine in machines:
            if not machine.is_up:
                booting.append(machine)
            elif machine.up_at > float("-inf"):
                name = machine.machine_type.name
                self._newest_booted_launch[name] = max(
                    self._newest_booted_launch[name], machine.estimated_launch_at
                )
        # By machine type, the earliest launch of a machine that is booting.
        oldest: dict[str, float] = {}
        for machine in booting:
            name = machine.machine_type.name
            oldest[name] = min(machine.estimated_launch_at, oldest.get(name, machine.estimated_launch_at))
        return {machine.name for machine in booting if self._is_overdue(machine, oldest, now)}

    def has_timed_out(self, machine: Machine, max_boot_s: float, now: float) -> bool:
        """Whether a boot has timed out; the limit is longer while all boots of the type are slow."""
        factor = 1 if self._later_launch_booted(machine) else _SLOW_BOOT_FACTOR
        return now - machine.estimated_launch_at > max_boot_s * factor

    def _is_overdue(self, machine: Machine, oldest: dict[str, float], now: float) -> bool:
        overdue_s = _OVERDUE_BOOT_FACTOR * machine.machine_type.boot_s
        if now - machine.estimated_launch_at <= overdue_s:
            return False
        is_replacement = machine.estimated_launch_at - oldest[machine.machine_type.name] >= overdue_s
        return not is_replacement or self._later_launch_booted(machine)

    def _later_launch_booted(self, machine: Machine) -> bool:
        """Whether a machine of the same type that was launched no sooner has come up."""
        return self._newest_booted_launch[machine.machine_type.name] >= machine.estimated_launch_at
