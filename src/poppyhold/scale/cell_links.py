"""Links between cells, which can be cut in one direction or in both."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Iterable

from poppyhold.scale.controllers import ControllerProcess, Link

# From one cell to another, by their indexes.
Way = tuple[int, int]


class CuttableLink(Link):
    """What the controllers of one cell send to a controller of another goes through here.

    A cut holds what is sent; when it is over, connections that it held up end, as they do after a real one.
    """

    def __init__(self, target: int) -> None:
        super().__init__(target)
        # Whether what is asked, and what is answered, passes.
        self.asking = asyncio.Event()
        self.answering = asyncio.Event()
        self.asking.set()
        self.answering.set()

    async def _may_pass(self, is_question: bool) -> bool:
        way = self.asking if is_question else self.answering
        if way.is_set():
            return True
        await way.wait()
        return False


class CellNetwork:
    """All links between cells. A way that several cuts hold is open again when the last of them is over."""

    def __init__(self) -> None:
        self._links: dict[Way, list[CuttableLink]] = {}
        self._cuts: Counter[Way] = Counter()

    @property
    def is_whole(self) -> bool:
        """Whether no way is cut."""
        return not any(self._cuts.values())

    async def open(self, way: Way, controllers: Iterable[ControllerProcess]) -> list[CuttableLink]:
        """Open a link from one cell to each controller of another."""
        links = self._links[way] = [CuttableLink(each.back) for each in controllers]
        for link in links:
            await link.open()
        return links

    def cut(self, ways: Iterable[Way]) -> None:
        """Let nothing pass these ways."""
        for way in ways:
            self._cuts[way] += 1
            self._apply(way)

    def heal(self, ways: Iterable[Way]) -> None:
        """End a cut of these ways."""
        for way in ways:
            self._cuts[way] = max(0, self._cuts[way] - 1)
            self._apply(way)

    def heal_all(self) -> None:
        """End every cut."""
        self._cuts.clear()
        for way in self._links:
            self._apply(way)

    def _apply(self, way: Way) -> None:
        """What one cell sends to another: its questions, and its answers to the other's."""
        source, target = way
        passes = not self._cuts[way]
        for link in self._links[source, target]:
            (link.asking.set if passes else link.asking.clear)()
        for link in self._links[target, source]:
            (link.answering.set if passes else link.answering.clear)()
