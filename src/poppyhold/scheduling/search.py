"""Search for machines for the tasks of one job in a scheduling cycle."""

from __future__ import annotations

import bisect
from collections.abc import Set

from poppyhold.model.entities import Job, Machine
from poppyhold.model.resources import Resources
from poppyhold.scheduling.eligibility import image_wait_s, may_use, zone_allows
from poppyhold.scheduling.free_capacity import FreeCapacityView, RankedMachine, Ranking
from poppyhold.scheduling.placement import Placement, PlacementChoice, PreemptionOption


class PlacementSearch:
    """Searches the machines of one view; after a start, only its machine is evaluated again."""

    def __init__(
        self,
        placement: Placement,
        job: Job,
        view: FreeCapacityView,
        reserved: dict[str, Resources],
        booked: Set[str],
        zones: Set[str],
    ) -> None:
        """``reserved`` differs from that of the view only on machines that the job has ``booked``."""
        self._placement, self._job, self._view, self._reserved = placement, job, view, reserved
        self._booked, self._zones = booked, zones
        self._ranking: Ranking | None = None
        self._preemptions: list[PreemptionOption] | None = None

    def best(self) -> PlacementChoice | None:
        """Return the best machine on which a task fits in unreserved resources, if any."""
        open_zones = self._open_zones()
        # Machines whose score or reservation differs for this job are excluded from the shared ranking.
        specific_score_machines = self._placement.machines_with_job_specific_score(self._job) | self._booked
        if self._ranking is None:
            self._ranking = self._placement.ranking(self._job, self._view)
        else:
            self._ranking.update()
        best = self._ranking.best(open_zones, specific_score_machines)
        for name in specific_score_machines:
            ranked = self._scored_for_job(name, open_zones)
            if ranked is not None and (best is None or ranked < best):
                best = ranked
        return PlacementChoice(best.machine) if best is not None else None

    def _scored_for_job(self, name: str, open_zones: Set[str]) -> RankedMachine | None:
        """Return a machine with its full score for the job; None if no task fits there."""
        machine = self._view.machines.get(name)
        if machine is None or machine.zone not in open_zones or not may_use(self._job, machine):
            return None
        score = self._placement.score_if_fits(self._job, machine, self._reserved)
        return RankedMachine(score, machine.number, machine) if score is not None else None

    def best_preemption(self, in_time_only: bool = False) -> PlacementChoice | None:
        """Return the cheapest preemption; ``in_time_only``: where the image wait meets the objective."""
        if self._preemptions is None:
            self._preemptions = self._placement.preemptions(self._job, self._view.machines.values())
        open_zones = self._open_zones()
        for option in self._preemptions:
            machine = option.choice.machine
            if machine.zone in open_zones and (
                not in_time_only
                or self._placement.meets_objective(self._job, image_wait_s(machine, self._job))
            ):
                return option.choice
        return None

    def refresh_machine(self, machine: Machine) -> None:
        """Update the preemption option of a machine on which a task was started."""
        if self._preemptions is None:
            return
        index = next(
            (i for i, option in enumerate(self._preemptions) if option.choice.machine is machine), None
        )
        if index is not None:
            machine_index = self._preemptions.pop(index).machine_index
            option = self._placement.preemption_on(self._job, machine, machine_index)
            if option is not None:
                bisect.insort(self._preemptions, option, key=lambda entry: entry[:2])

    def _open_zones(self) -> set[str]:
        return {zone for zone in self._zones if zone_allows(self._job, zone)}
