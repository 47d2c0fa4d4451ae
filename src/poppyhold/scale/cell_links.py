"""Links between cells, which can be cut in one direction or in both."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Iterable

from poppyhold.scale.controllers import ControllerProcess, Link

# From one cell to another, by their indexes.
Direction = tuple[int, int]


class CuttableLink(Link):
    """What the controllers of one cell send to a controller of another goes through here.

    A cut holds what is sent; when it is over, connections that it held up end, as they do after a real one.
    """

    def __init__(self, target: int) -> None:
        super().__init__(target)
        # Whether what is asked, and what is answered, passes.
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
    """All links between cells. A way that several cuts hold is open again when the last of them is over."""

    def __init__(self) -> None:
        self._links: dict[Direction, list[CuttableLink]] = {}
        self._cuts: Counter[Direction] = Counter()

    @property
    def is_connected(self) -> bool:
        """Whether no way is cut."""
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
        """Let nothing pass these ways."""
        for direction in directions:
            self._cuts[direction] += 1
            self._apply(direction)

    def heal(self, directions: Iterable[Direction]) -> None:
        """End a cut of these ways."""
        for direction in directions:
            self._cuts[direction] = max(0, self._cuts[direction] - 1)
            self._apply(direction)

    def heal_all(self) -> None:
        """End every cut."""
        self._cuts.clear()
        for direction in self._links:
            self._apply(direction)

    def _apply(self, direction: Direction) -> None:
        """What one cell sends to another: its questions, and its answers to the other's."""
        source, target = direction
        passes = not self._cuts[direction]
        for link in self._links[source, target]:
            (link.requests_pass.set if passes else link.requests_pass.clear)()
        for link in self._links[target, source]:
            (link.responses_pass.set if passes else link.responses_pass.clear)()
