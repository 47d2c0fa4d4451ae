"""The simulated fleet: machines of the cloud stand-in, each with a simulated worker."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable

from poppyhold.scale.cloud_standin import CloudStandIn
from poppyhold.scale.external_services import CLOUD_LAG_S, CloudService
from poppyhold.scale.profile import MachineShape, Profile
from poppyhold.scale.responses import Data
from poppyhold.scale.simulated_worker import SimulatedWorker, WorkerFigures
from poppyhold.scale.worker_standin import WorkerStandIn

_BOOT_S = 5.0
_FETCH_GB_PER_S = 2.0


def _machine_type(shape: MachineShape, zones: list[str]) -> Data:
    return {
        "name": shape.name,
        "cpus": shape.cpus,
        "accelerators": shape.accelerators,
        "memGb": shape.memory_gb,
        "localGb": 1000.0,
        "pullGbPerS": _FETCH_GB_PER_S,
        "rate": 1.0 + 3.0 * shape.accelerators,
        "marketPrice": 0.5 + shape.accelerators,
        "startupS": _BOOT_S,
        "paddocks": zones,
    }


class Fleet:
    """Starts a worker for each launched machine, and stops it when the cloud deletes the machine."""

    def __init__(
        self,
        profile: Profile,
        nodes: dict[str, int],
        describe: Callable[[str], Data | None],
        on_start: Callable[[WorkerStandIn, str], None],
        on_done: Callable[[str], None],
        rng: random.Random,
        worker_type: type[SimulatedWorker] = SimulatedWorker,
    ) -> None:
        self._worker_type = worker_type
        self._profile, self._nodes, self._rng = profile, nodes, rng
        self._describe, self._on_start, self._on_done = describe, on_start, on_done
        self.figures = WorkerFigures()
        self.workers: dict[str, SimulatedWorker] = {}
        self._types = {shape.name: _machine_type(shape, profile.zones) for shape in profile.machine_types}
        self.cloud = CloudService(CloudStandIn(time.monotonic, list(self._types.values()), CLOUD_LAG_S))
        self._tasks: set[asyncio.Task[None]] = set()

    def standins(self) -> list[WorkerStandIn]:
        """The stand-ins of all workers."""
        return [worker.standin for worker in self.workers.values()]

    async def boot(self) -> None:
        """Start the workers of the initial fleet."""
        names = [shape.name for shape in self._profile.machine_types]
        weights = [shape.share for shape in self._profile.machine_types]
        for index in range(self._profile.workers):
            zone = self._profile.zones[index % len(self._profile.zones)]
            shape = self._rng.choices(names, weights)[0]
            key = (shape, zone, False)
            # Deleted machines can be replaced, but no more can be launched: the fleet keeps its size.
            self.cloud.standin.capacity[key] = self.cloud.standin.capacity.get(key, 0) + 1
            await self._add(self.cloud.standin.add(*key, "running"))

    async def run(self) -> None:
        """Start workers of machines that have booted, and stop those of deleted machines."""
        while True:
            self.cloud.standin.record_listing()
            for name, machine in list(self.cloud.standin.machines.items()):
                if machine["status"] == "starting" and time.monotonic() - machine["at"] > _BOOT_S:
                    await self._add(name)
            try:
                async with asyncio.timeout(1.0):
                    await self._delete(await self.cloud.deleted.get())
            except TimeoutError:
                continue

    def restart_share(self, share: float, away_s: float) -> int:
        """Restart a share of the workers at once; returns their number."""
        chosen = self._rng.sample(list(self.workers.values()), int(len(self.workers) * share))
        for worker in chosen:
            worker.restart(away_s)
        return len(chosen)

    def close(self) -> None:
        """Stop every worker."""
        for worker in self.workers.values():
            worker.close()
        for task in self._tasks:
            task.cancel()

    async def _add(self, name: str) -> None:
        machine = self.cloud.standin.machines[name]
        machine["status"] = "running"
        standin = WorkerStandIn(
            name,
            self._types[machine["build"]],
            machine["paddock"],
            machine["loaners"],
            self._profile.lease_s,
            time.monotonic,
            self._describe,
            self._on_start,
            self._on_done,
        )
        worker = self._worker_type(
            standin, self._nodes, self._profile.heartbeat_interval_s, self.figures, self._rng
        )
        await worker.listen()
        machine["endpoint"] = standin.endpoint
        self.workers[name] = worker
        task = asyncio.create_task(worker.run())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _delete(self, name: str) -> None:
        worker = self.workers.pop(name, None)
        if worker is not None:
            worker.close()
        self.cloud.deleted.task_done()
