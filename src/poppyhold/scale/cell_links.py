"""Links between cells, which can be cut in one direction or in both."""

from __future__ import annotations

import asyncio

from poppyhold.scale.controllers import Link


class CuttableLink(Link):
    """What the controllers of one cell send to a controller of another goes through here.

    A cut holds what is sent; when it is over, connections that it held up end, as they do behind a real one.
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


def cut(links: dict[tuple[int, int], list[CuttableLink]], source: int, target: int, passes: bool) -> None:
    """Cut or heal what one cell sends to another: its questions, and its answers to the other's."""
    for link in links[source, target]:
        (link.asking.set if passes else link.asking.clear)()
    for link in links[target, source]:
        (link.answering.set if passes else link.answering.clear)()
