"""What the leaders of cells send one another, over the listener that controllers have for one another.

A message is a tagged tuple like all others between controllers: the fields go by position, and their order
and the tags must stay. Fields are only added, with defaults; a change that an older version would misread
raises `PROTOCOL_VERSION`, and such links end.
"""

from __future__ import annotations

import msgspec

from poppyhold.quota.amounts import ResourceAmount, TeamAllocation
from poppyhold.quota.records import Transfer

PROTOCOL_VERSION = 1


class UnmetDemand(msgspec.Struct, frozen=True, array_like=True):
    """What a cell could use of a team beyond its own allocation: guaranteed, and of the limit in total."""

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
    def is_zero(self) -> bool:
        """Whether there is none."""
        return not (self.is_guaranteed or self.cpus_limit or self.accelerators_limit)


class TeamView(msgspec.Struct, frozen=True, array_like=True):
    """A team in one cell: its allocation, its use, and what the cell can spare."""

    team: str
    allocation: TeamAllocation
    total: TeamAllocation
    cpus_used: int = 0
    accelerators_used: int = 0
    cpus_spare: ResourceAmount = ResourceAmount()
    accelerators_spare: ResourceAmount = ResourceAmount()


class PeerView(msgspec.Struct, frozen=True, array_like=True):
    """The transfers between one cell and another, by the first one's records."""

    cell: str
    last_sent: int
    last_applied: int
    in_transit: Transfer | None = None


class CellView(msgspec.Struct, frozen=True, array_like=True):
    """A cell as its leader sees it."""

    cell: str
    incarnation: str = ""
    teams: list[TeamView] = []
    peers: list[PeerView] = []
    alarms: list[str] = []


class TransferRequest(msgspec.Struct, frozen=True, array_like=True, tag="share"):
    """A leader's request to another cell's; it also acknowledges what was applied."""

    version: int
    cell: str
    to_cell: str
    # The cells and their parts, as the sender's operators configured them.
    layout: str
    # The incarnation of the sender's records, and of the other cell's as the sender knows them; the latter is
    # empty before the first contact.
    incarnation: str
    to_incarnation: str
    # The number of the last of the other cell's transfers that is durable here.
    last_applied: int
    unmet_demands: list[UnmetDemand] = []
    view: CellView | None = None


class TransferResponse(msgspec.Struct, frozen=True, array_like=True, tag="shared"):
    """The other leader's response."""

    cell: str
    incarnation: str = ""
    # In transit to the requesting cell; repeated until it is acknowledged.
    transfer: Transfer | None = None
    # A commit for the requesting cell is in progress: it should ask again soon.
    in_progress: bool = False
    view: CellView | None = None
    # Why the request was rejected; empty: it was not.
    rejection: str = ""


class NotLeading(msgspec.Struct, frozen=True, array_like=True, tag="elsewhere"):
    """The response of a controller that does not lead: the leader's name, if it knows it."""

    member: str = ""


class StatusRequest(msgspec.Struct, frozen=True, array_like=True, tag="share?"):
    """An operator's request to a cell's leader for what it knows of all cells."""


class RemoteCellView(msgspec.Struct, frozen=True, array_like=True):
    """Another cell's last view, and its age in seconds."""

    view: CellView
    age_s: float


class StatusResponse(msgspec.Struct, frozen=True, array_like=True, tag="share!"):
    """The leader's response: its own view, the others' last views, and cells that were never contacted."""

    own: CellView
    others: list[RemoteCellView] = []
    uncontacted: list[str] = []
    # Teams whose allocation is too small for what is pending, and those whose settings differ from the
    # records.
    short: list[str] = []
    differing: list[str] = []


QuotaRequest = TransferRequest | StatusRequest
QuotaResponse = TransferResponse | StatusResponse | NotLeading
