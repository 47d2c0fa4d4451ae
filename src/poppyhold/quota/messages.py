"""Messages between the leaders of cells, sent to the listener that controllers have for each other.

Like all messages between controllers, each is a tagged array: fields are identified by position, so their
order and the tags must stay. New fields are appended, with defaults. A change that an older version would
misread needs a new `PROTOCOL_VERSION`; a link between different versions is closed.
"""

from __future__ import annotations

import msgspec

from poppyhold.quota.amounts import ResourceAmount, TeamAllocation
from poppyhold.quota.records import Transfer

PROTOCOL_VERSION = 1


class UnmetDemand(msgspec.Struct, frozen=True, array_like=True):
    """A team's demand beyond its allocation in a cell: of the guarantee, and of the limit in total."""

    team: str
    cpus_guaranteed: int = 0
    cpus_limit: int = 0
    accelerators_guaranteed: int = 0
    accelerators_limit: int = 0

    @property
    def is_guaranteed(self) -> bool:
        """Whether a part of it is for work within the team's guarantee."""
        return bool(self.cpus_guaranteed or self.accelerators_guaranteed)

    @property
    def is_zero(self) -> bool:
        """Whether no demand is unmet."""
        return not (self.is_guaranteed or self.cpus_limit or self.accelerators_limit)


class TeamView(msgspec.Struct, frozen=True, array_like=True):
    """A team in one cell: its allocation, its use, and the spare amounts."""

    team: str
    allocation: TeamAllocation
    total: TeamAllocation
    cpus_used: int = 0
    accelerators_used: int = 0
    cpus_spare: ResourceAmount = ResourceAmount()
    accelerators_spare: ResourceAmount = ResourceAmount()


class PeerView(msgspec.Struct, frozen=True, array_like=True):
    """The transfers between a cell and another one, according to the former's records."""

    cell: str
    last_sent: int
    last_applied: int
    in_transit: Transfer | None = None


class CellView(msgspec.Struct, frozen=True, array_like=True):
    """A cell's view of itself, made by its leader."""

    cell: str
    incarnation: str = ""
    teams: list[TeamView] = []
    peers: list[PeerView] = []
    alarms: list[str] = []


class TransferRequest(msgspec.Struct, frozen=True, array_like=True, tag="share"):
    """A leader's request to another cell's leader; it also acknowledges applied transfers."""

    version: int
    cell: str
    to_cell: str
    # The cells and their parts, as in the sender's options.
    layout: str
    # The incarnation of the sender's records, and the last known one of the other cell's; the latter is empty
    # before the first contact.
    incarnation: str
    to_incarnation: str
    # The number of the last transfer from the other cell whose credit is durable at the sender.
    last_applied: int
    unmet_demands: list[UnmetDemand] = []
    view: CellView | None = None


class TransferResponse(msgspec.Struct, frozen=True, array_like=True, tag="shared"):
    """The response to a transfer request."""

    cell: str
    incarnation: str = ""
    # The transfer in transit to the requesting cell; sent again until it is acknowledged.
    transfer: Transfer | None = None
    # A commit is in progress: the requesting cell should send its next request soon.
    in_progress: bool = False
    view: CellView | None = None
    # Why the request was rejected; empty if it was accepted.
    rejection: str = ""


class NotLeading(msgspec.Struct, frozen=True, array_like=True, tag="elsewhere"):
    """A redirect from a controller that does not lead: the leader's name, or empty if unknown."""

    member: str = ""


class StatusRequest(msgspec.Struct, frozen=True, array_like=True, tag="share?"):
    """An operator's request to a cell's leader for its status of all cells."""


class RemoteCellView(msgspec.Struct, frozen=True, array_like=True):
    """Another cell's last view, and its age in seconds."""

    view: CellView
    age_s: float


class StatusResponse(msgspec.Struct, frozen=True, array_like=True, tag="share!"):
    """The leader's response: its own view, the others' last views, and cells without contact in this term."""

    own: CellView
    others: list[RemoteCellView] = []
    uncontacted: list[str] = []
    # Teams whose demand has been unmet for longer than a lease, and those whose settings differ from the
    # records.
    short: list[str] = []
    differing: list[str] = []


QuotaRequest = TransferRequest | StatusRequest
QuotaResponse = TransferResponse | StatusResponse | NotLeading
