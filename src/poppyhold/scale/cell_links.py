"""Links between cells, which a run can cut in one or both directions."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Iterable

from poppyhold.scale.controllers import ControllerProcess, Link

# Indexes of the source cell and the target cell.
Direction = tuple[int, int]


class CuttableLink(Link):
    """Forwards connections from the controllers of one cell to one controller of another cell.

    A cut holds back data; when it ends, connections with held data are closed, as after a real network cut.
    """

    def __init__(self, target: int) -> None:
        super().__init__(target)
        # Set while requests, or responses, are forwarded.
        self.requests_pass = asyncio.Event()
        self.responses_pass = asyncio.Event()
        self.requests_pass.set()
        self.responses_pass.set()

    async def _may_forward(self, is_request: bool) -> bool:
        direction = self.requests_pass if is_request else self.responses_pass
        if direction.is_set():
            return True
        await direction.wait()
        return False


class CellNetwork:
    """All links between cells. Overlapping cuts of a direction end when the last of them ends."""

    def __init__(self) -> None:
        self._links: dict[Direction, list[CuttableLink]] = {}
        self._cuts: Counter[Direction] = Counter()

    @property
    def is_connected(self) -> bool:
        """Whether no direction is cut."""
        return not any(self._cuts.values())

    async def open(
        self, direction: Direction, controllers: Iterable[ControllerProcess]
    ) -> list[CuttableLink]:
        """Open a link from one cell to each controller of another."""
        links = self._links[direction] = [CuttableLink(each.peer_port) for each in controllers]
        for link in links:
            await link.open()
        return links

    def cut(self, directions: Iterable[Direction]) -> None:
        """Stop all data in these directions."""
        for direction in directions:
            self._cuts[direction] += 1
            self._apply(direction)

    def heal(self, directions: Iterable[Direction]) -> None:
        """End one cut of these directions."""
        for direction in directions:
            self._cuts[direction] = max(0, self._cuts[direction] - 1)
            self._apply(direction)

    def heal_all(self) -> None:
        """End every cut."""
        self._cuts.clear()
        for direction in self._links:
            self._apply(direction)

    def _apply(self, direction: Direction) -> None:
        """Stop or pass the source's requests to the target and its responses to the target's requests."""
        source, target = direction
        passes = not self._cuts[direction]
        for link in self._links[source, target]:
            (link.requests_pass.set if passes else link.requests_pass.clear)()
        for link in self._links[target, source]:
            (link.responses_pass.set if passes else link.responses_pass.clear)()
