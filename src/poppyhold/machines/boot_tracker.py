"""Machines that boot: which of them are not waited for any more, so that others are rented in their place."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable

from poppyhold.model.entities import Machine

# A boot takes up to so many times the usual, as PROTOCOL says; what takes longer may take several times as
# long, or never end.
_LATE_BOOTS = 1.5
# Where nothing that was rented as late has come up, machines are given up so many times as late.
_SLOW_PATIENCE = 2


class BootTracker:
    """Tells a few machines that are late from many that boot slowly.

    Those that are late are replaced once. What was rented in their place is late as well only if a machine
    that was rented no sooner has come up: otherwise all boots are slow, whatever is rented beside them. Where
    each generation was replaced by the next, and all were given up in the end, a fleet whose boots took five
    times as long paid for five times its need. So what is on its way stays below twice the need until
    something comes up.
    """

    def __init__(self) -> None:
        # By machine type: when the newest of the machines that came up in this term was rented.
        self._newest_booted_launch: dict[str, float] = defaultdict(lambda: float("-inf"))

    def overdue(self, machines: Iterable[Machine], now: float) -> set[str]:
        """Names of the machines that are not waited for."""
        booting = []
        for machine in machines:
            if not machine.is_up:
                booting.append(machine)
            elif machine.up_at > float("-inf"):
                name = machine.machine_type.name
                self._newest_booted_launch[name] = max(self._newest_booted_launch[name], machine.known_since)
        oldest: dict[str, float] = {}
        for machine in booting:
            name = machine.machine_type.name
            oldest[name] = min(machine.known_since, oldest.get(name, machine.known_since))
        return {machine.name for machine in booting if self._is_overdue(machine, oldest, now)}

    def is_given_up(self, machine: Machine, give_up_s: float, now: float) -> bool:
        """Whether a machine is given up: much sooner where others boot than where all are slow."""
        patience = 1 if self._others_boot(machine) else _SLOW_PATIENCE
        return now - machine.known_since > give_up_s * patience

    def _is_overdue(self, machine: Machine, oldest: dict[str, float], now: float) -> bool:
        late_s = _LATE_BOOTS * machine.machine_type.boot_s
        if now - machine.known_since <= late_s:
            return False
        replaces_others = machine.known_since - oldest[machine.machine_type.name] >= late_s
        return not replaces_others or self._others_boot(machine)

    def _others_boot(self, machine: Machine) -> bool:
        """Whether a machine of its type has come up that was rented no sooner."""
        return self._newest_booted_launch[machine.machine_type.name] >= machine.known_since
