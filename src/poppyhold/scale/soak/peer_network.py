"""The links between a run's controllers, which faults cut."""

from __future__ import annotations

from poppyhold.scale.controllers import Controllers
from poppyhold.scale.cuttable_links import CuttableLink, CuttableNetwork


def peer_network(controllers: Controllers) -> CuttableNetwork[str]:
    """Return the network of the controllers' links, whose type is `CuttableLink`."""
    network: CuttableNetwork[str] = CuttableNetwork()
    for target in controllers.all:
        for source, link in target.links.items():
            assert isinstance(link, CuttableLink)
            network.add((source, target.member), [link])
    return network
