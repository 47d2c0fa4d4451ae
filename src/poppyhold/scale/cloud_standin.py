"""The cloud as a state machine: machine types, launches, deletions and a list that lags."""

from __future__ import annotations

from collections.abc import Callable

from poppyhold.scale.responses import Data, Status


class CloudStandIn:
    """Rents machines: names once, a list that lags, refusals, boots that fail."""

    def __init__(self, clock: Callable[[], float], machine_types: list[Data], lag_s: float) -> None:
        self._clock, self.machine_types, self._lag_s = clock, machine_types, lag_s
        self.capacity: dict[tuple[str, str, bool], int] = {}
        self.launches: dict[str, list[str]] = {}
        self.machines: dict[str, Data] = {}
        self.down = False
        self.failing = 0
        self._count = 0
        self._listings: list[tuple[float, list[Data]]] = []

    def add(self, machine_type: str, zone: str, spot: bool, status: str = "starting") -> str:
        """Bring a machine into being."""
        self._count += 1
        name = f"vm-{self._count:06d}"
        self.machines[name] = {
            "nameId": name,
            "endpoint": name,
            "build": machine_type,
            "paddock": zone,
            "loaners": spot,
            "status": status,
            "at": self._clock(),
        }
        return name

    def launch(self, body: Data) -> Status:
        """Rent; a name that was answered with 200 is answered alike again."""
        if self.down:
            return 503, {"error": "trouble"}
        if body["hire"] in self.launches:
            return 200, {"boxes": self.launches[body["hire"]]}
        key = (body["build"], body["paddock"], body["loaners"])
        rented = sum(1 for m in self.machines.values() if (m["build"], m["paddock"], m["loaners"]) == key)
        available = min(body["number"], self.capacity.get(key, 0) - rented)
        if available <= 0:
            return 503, {"error": "no capacity"}
        names = [self.add(*key) for _ in range(available)]
        self.launches[body["hire"]] = names
        return 200, {"boxes": names}

    def delete(self, names: list[str]) -> Status:
        """Delete; the caller ends the workers."""
        if self.down:
            return 503, {"error": "trouble"}
        for name in names:
            self.machines.pop(name, None)
        return 200, {}

    def listing(self) -> Status:
        """The list as it was a lag ago."""
        if self.down:
            return 503, {"error": "trouble"}
        now = self._clock()
        seen: list[Data] = []
        for at, listed in self._listings:
            if at <= now - self._lag_s:
                seen = listed
        return 200, {"boxes": seen, "more": False}

    def record_listing(self) -> None:
        """Keep what a list will show a lag from now."""
        now = self._clock()
        listed = [
            {**{k: v for k, v in m.items() if k not in ("at", "boot_s")}, "heldS": now - m["at"]}
            for m in self.machines.values()
        ]
        self._listings.append((now, listed))
        while len(self._listings) > 1 and self._listings[1][0] <= now - self._lag_s:
            # Something newer is old enough to be shown.
            del self._listings[0]
