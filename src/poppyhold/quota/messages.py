"""What the leaders of cells tell one another, over the listener that controllers have for one another.

A message is a tagged tuple like all others between controllers. Fields are only added, with defaults; a
change that an older version would misread raises `PROTOCOL_VERSION`, and such links end.
"""

from __future__ import annotations

import msgspec

from poppyhold.quota.amounts import ResourceAmount, TeamShare
from poppyhold.quota.records import Transfer

PROTOCOL_VERSION = 1


class Want(msgspec.Struct, frozen=True, array_like=True):
    """What a cell could use of a team's share beyond its own: guaranteed, and of the limit in all."""

    team: str
    cpus_guaranteed: int = 0
    cpus_limit: int = 0
    accelerators_guaranteed: int = 0
    accelerators_limit: int = 0

    @property
    def is_guaranteed(self) -> bool:
        """Whether it is for work within the team's guarantee."""
        return bool(self.cpus_guaranteed or self.accelerators_guaranteed)

    @property
    def is_nothing(self) -> bool:
        """Whether nothing is wanted."""
        return not (self.is_guaranteed or self.cpus_limit or self.accelerators_limit)


class TeamView(msgspec.Struct, frozen=True, array_like=True):
    """A team in one cell: its share, what may be in use of it, and what the cell could give away."""

    team: str
    share: TeamShare
    whole: TeamShare
    cpus_used: int = 0
    accelerators_used: int = 0
    cpus_spare: ResourceAmount = ResourceAmount()
    accelerators_spare: ResourceAmount = ResourceAmount()


class PeerView(msgspec.Struct, frozen=True, array_like=True):
    """What passed between one cell and another, as the first one's records say."""

    cell: str
    sent: int
    applied: int
    in_transit: Transfer | None = None


class CellView(msgspec.Struct, frozen=True, array_like=True):
    """A cell as its leader sees it."""

    cell: str
    incarnation: str = ""
    teams: list[TeamView] = []
    peers: list[PeerView] = []
    alarms: list[str] = []


class ShareRequest(msgspec.Struct, frozen=True, array_like=True, tag="share"):
    """A leader asks another cell's: also how that one hears what was applied."""

    version: int
    cell: str
    to_cell: str
    # The cells and their parts, as the sender's operators say.
    layout: str
    # Of the sender's records, and of the other cell's as the sender knows them; empty before a first contact.
    incarnation: str
    to_incarnation: str
    # The number of the last of the other cell's transfers that is durable here.
    applied: int
    wants: list[Want] = []
    view: CellView | None = None


class ShareReply(msgspec.Struct, frozen=True, array_like=True, tag="shared"):
    """The other leader's answer."""

    cell: str
    incarnation: str = ""
    # On its way to who asked; repeated until it is said to be applied.
    transfer: Transfer | None = None
    # A durable step for who asked is under way: ask again soon.
    in_progress: bool = False
    view: CellView | None = None
    # Why nothing is given; empty: it is not refused.
    refused: str = ""


class NotLeading(msgspec.Struct, frozen=True, array_like=True, tag="elsewhere"):
    """The answer of a controller that does not lead: who does, if it knows."""

    member: str = ""


class StatusRequest(msgspec.Struct, frozen=True, array_like=True, tag="share?"):
    """An operator asks a cell's leader for what it knows of all cells."""


class HeardView(msgspec.Struct, frozen=True, array_like=True):
    """Another cell as it was last heard, and seconds since then."""

    view: CellView
    age_s: float


class StatusReply(msgspec.Struct, frozen=True, array_like=True, tag="share!"):
    """The leader's answer: its own cell, the others as last heard, and cells that were never heard."""

    own: CellView
    others: list[HeardView] = []
    uncontacted: list[str] = []
    # Teams whose share is too small for what waits, and settings that differ from the records.
    short: list[str] = []
    differing: list[str] = []


Opening = ShareRequest | StatusRequest
Answer = ShareReply | StatusReply | NotLeading
