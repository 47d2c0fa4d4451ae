"""Links between cells, which a run can cut in one or both directions."""

from __future__ import annotations

from collections.abc import Iterable

from poppyhold.scale.controllers import ControllerProcess
from poppyhold.scale.cuttable_links import CuttableLink, CuttableNetwork

# Indexes of the source cell and the target cell.
Direction = tuple[int, int]


class CellNetwork(CuttableNetwork[int]):
    """All links between cells."""

    async def open(
        self, direction: Direction, controllers: Iterable[ControllerProcess]
    ) -> list[CuttableLink]:
        """Open a link from one cell to each controller of another."""
        links = [CuttableLink(each.peer_port) for each in controllers]
        self.add(direction, links)
        for link in links:
            await link.open()
        return links
