"""Links that a run can cut in one or both directions."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Iterable
from typing import Generic, TypeVar

from poppyhold.scale.controllers import Link

# What the links connect: cells, or controllers.
Node = TypeVar("Node", int, str)


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


class CuttableNetwork(Generic[Node]):
    """Links between nodes. Overlapping cuts of a direction, source and target, end when the last one ends."""

    def __init__(self) -> None:
        self._links: dict[tuple[Node, Node], list[CuttableLink]] = {}
        self._cuts: Counter[tuple[Node, Node]] = Counter()

    @property
    def is_connected(self) -> bool:
        """Whether no direction is cut."""
        return not any(self._cuts.values())

    def add(self, direction: tuple[Node, Node], links: list[CuttableLink]) -> None:
        """Add the links by which the source reaches the target."""
        self._links[direction] = links

    def cut(self, directions: Iterable[tuple[Node, Node]]) -> None:
        """Stop all data in these directions."""
        for direction in directions:
            self._cuts[direction] += 1
            self._apply(direction)

    def heal(self, directions: Iterable[tuple[Node, Node]]) -> None:
        """End one cut of these directions."""
        for direction in directions:
            self._cuts[direction] = max(0, self._cuts[direction] - 1)
            self._apply(direction)

    def heal_all(self) -> None:
        """End every cut."""
        self._cuts.clear()
        for direction in self._links:
            self._apply(direction)

    def _apply(self, direction: tuple[Node, Node]) -> None:
        """Stop or pass the source's requests to the target and its responses to the target's requests."""
        source, target = direction
        passes = not self._cuts[direction]
        for link in self._links[source, target]:
            (link.requests_pass.set if passes else link.requests_pass.clear)()
        for link in self._links[target, source]:
            (link.responses_pass.set if passes else link.responses_pass.clear)()
