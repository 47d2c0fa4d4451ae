"""The cloud as a state machine: machine types, launches, deletions and a machine list that lags."""

from __future__ import annotations

from collections.abc import Callable

from poppyhold.scale.responses import Data, Status


class CloudStandIn:
    """Launches and deletes machines, with unique names, limited capacity, outages and a lagging list."""

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
        """Create a machine; returns its name."""
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
        """Launch machines; a repeated request whose first response was 200 gets the same response."""
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
        """Delete machines; the caller stops their workers."""
        if self.down:
            return 503, {"error": "trouble"}
        for name in names:
            self.machines.pop(name, None)
        return 200, {}

    def listing(self) -> Status:
        """The machine list as of one lag ago."""
        if self.down:
            return 503, {"error": "trouble"}
        now = self._clock()
        seen: list[Data] = []
        for at, listed in self._listings:
            if at <= now - self._lag_s:
                seen = listed
        return 200, {"boxes": seen, "more": False}

    def record_listing(self) -> None:
        """Record the machines, for lists that are read one lag later."""
        now = self._clock()
        listed = [
            {**{k: v for k, v in m.items() if k not in ("at", "boot_s")}, "heldS": now - m["at"]}
            for m in self.machines.values()
        ]
        self._listings.append((now, listed))
        while len(self._listings) > 1 and self._listings[1][0] <= now - self._lag_s:
            # The next listing is already old enough to be shown.
            del self._listings[0]
