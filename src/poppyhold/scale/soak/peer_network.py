"""The links between a run's controllers, which faults cut."""

from __future__ import annotations

from collections import Counter

from poppyhold.scale.cell_links import CuttableLink
from poppyhold.scale.controllers import Controllers


class PeerNetwork:
    """Cuts messages from one controller to another. Overlapping cuts end when the last of them ends."""

    def __init__(self, controllers: Controllers) -> None:
        self._controllers = controllers
        self._cuts: Counter[tuple[str, str]] = Counter()

    def change(self, source: str, target: str, change: int) -> None:
        """Begin (1) or end (-1) a cut of all messages from one controller to another."""
        self._cuts[source, target] += change
        passes = not self._cuts[source, target]
        # Requests of the source, and its responses to requests of the target.
        for event in (self._link(source, target).requests_pass, self._link(target, source).responses_pass):
            if passes:
                event.set()
            else:
                event.clear()

    def _link(self, source: str, target: str) -> CuttableLink:
        """The link by which the source reaches the target."""
        link = self._controllers.get(target).links[source]
        assert isinstance(link, CuttableLink)
        return link
