"""Places for the tasks of one job in a pass."""

from __future__ import annotations

import bisect
from collections.abc import Set

from poppyhold.model.entities import Job, Machine
from poppyhold.model.resources import Resources
from poppyhold.scheduling.free_capacity import FreeCapacityView, RankedMachine, Ranking
from poppyhold.scheduling.placement import Choice, Placement, image_wait_s, may_use, zone_allows


class Search:
    """Places on the machines of one view; after a start only its machine is looked at again."""

    def __init__(
        self,
        placement: Placement,
        job: Job,
        view: FreeCapacityView,
        reserved: dict[str, Resources],
        booked: Set[str],
        zones: Set[str],
    ) -> None:
        """``reserved`` is what the view goes by, but on machines where the job itself has ``booked`` room."""
        self._placement, self._job, self._view, self._reserved = placement, job, view, reserved
        self._booked, self._zones = booked, zones
        self._ranking: Ranking | None = None
        self._preemptions: list[tuple[float, int, Choice]] | None = None

    def best(self) -> Choice | None:
        """The best machine with free room, leaving what is reserved for plans."""
        open_zones = self._open_zones()
        own = self._placement.machines_scored_per_job(self._job) | self._booked
        if self._ranking is None:
            self._ranking = self._placement.ranking(self._job, self._view)
        else:
            self._ranking.update()
        best = self._ranking.best(open_zones, own)
        for name in own:
            place = self._scored_for_job(name, open_zones)
            if place is not None and (best is None or place[:2] < best[:2]):
                best = place
        return Choice(best[2]) if best is not None else None

    def _scored_for_job(self, name: str, open_zones: Set[str]) -> RankedMachine | None:
        """A place on a machine that counts differently for this job than for others like it."""
        machine = self._view.machines.get(name)
        if machine is None or machine.zone not in open_zones or not may_use(self._job, machine):
            return None
        score = self._placement.score_if_fits(self._job, machine, self._reserved)
        return (score, machine.number, machine) if score is not None else None

    def best_preemption(self, soon: bool = False) -> Choice | None:
        """The machine where the least is lost by making room; ``soon``: only if its image comes in time."""
        if self._preemptions is None:
            self._preemptions = self._placement.preemptions(self._job, self._view.machines.values())
        open_zones = self._open_zones()
        for _, _, choice in self._preemptions:
            if choice.machine.zone in open_zones and not (
                soon
                and not self._placement.meets_objective(self._job, image_wait_s(choice.machine, self._job))
            ):
                return choice
        return None

    def refresh_machine(self, machine: Machine) -> None:
        """Something was started on a machine."""
        if self._preemptions is None:
            return
        index = next((i for i, entry in enumerate(self._preemptions) if entry[2].machine is machine), None)
        if index is not None:
            order = self._preemptions.pop(index)[1]
            emptied = self._placement.preemption_on(self._job, machine)
            if emptied is not None:
                bisect.insort(self._preemptions, (emptied[0], order, emptied[1]), key=lambda entry: entry[:2])

    def _open_zones(self) -> set[str]:
        return {zone for zone in self._zones if zone_allows(self._job, zone)}
