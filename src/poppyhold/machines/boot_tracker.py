"""Machines that boot: which of them are overdue, so that others are launched in their place."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable

from poppyhold.model.entities import Machine

# A boot takes up to so many times the usual, as PROTOCOL says; what takes longer may take several times as
# long, or never end.
_OVERDUE_BOOT_FACTOR = 1.5
# Where nothing that was launched as late has come up, machines may boot for so many times as long.
_SLOW_BOOT_FACTOR = 2


class BootTracker:
    """Tells a few machines that are overdue from many that boot slowly.

    Overdue machines are replaced once. What was launched in their place is overdue as well only if a machine
    that was launched no sooner has come up: otherwise all boots are slow, whatever is launched beside them.
    Where each generation was replaced by the next, and all were given up in the end, a fleet whose boots took
    five times as long paid for five times its need. So what is expected stays below twice the need until
    something comes up.
    """

    def __init__(self) -> None:
        # By machine type: when the newest of the machines that came up in this term was launched.
        self._newest_booted_launch: dict[str, float] = defaultdict(lambda: float("-inf"))

    def overdue(self, machines: Iterable[Machine], now: float) -> set[str]:
        """Names of the machines that have booted for too long to be counted on."""
        booting = []
        for machine in machines:
            if not machine.is_up:
                booting.append(machine)
            elif machine.up_at > float("-inf"):
                name = machine.machine_type.name
                self._newest_booted_launch[name] = max(self._newest_booted_launch[name], machine.known_since)
        # By machine type: when the oldest of the machines that boot was launched.
        oldest: dict[str, float] = {}
        for machine in booting:
            name = machine.machine_type.name
            oldest[name] = min(machine.known_since, oldest.get(name, machine.known_since))
        return {machine.name for machine in booting if self._is_overdue(machine, oldest, now)}

    def has_timed_out(self, machine: Machine, max_boot_s: float, now: float) -> bool:
        """Whether a machine is to be deleted: much sooner where others boot than where all are slow."""
        factor = 1 if self._later_launch_booted(machine) else _SLOW_BOOT_FACTOR
        return now - machine.known_since > max_boot_s * factor

    def _is_overdue(self, machine: Machine, oldest: dict[str, float], now: float) -> bool:
        overdue_s = _OVERDUE_BOOT_FACTOR * machine.machine_type.boot_s
        if now - machine.known_since <= overdue_s:
            return False
        is_replacement = machine.known_since - oldest[machine.machine_type.name] >= overdue_s
        return not is_replacement or self._later_launch_booted(machine)

    def _later_launch_booted(self, machine: Machine) -> bool:
        """Whether a machine of its type has come up that was launched no sooner."""
        return self._newest_booted_launch[machine.machine_type.name] >= machine.known_since
