"""Which direct starts a worker may still execute, and the fencing tokens that void them.

A network may deliver a request to a worker again at any later time, also one that was answered. The worker
ignores the start of an attempt that it lists. It executes any other start whose incarnation is its own and
whose fencing token is not below the highest that it has seen. So a start is void only once its worker lists
the attempt for good, has begun a later incarnation, or has seen a higher token.
"""

from __future__ import annotations

import logging

from poppyhold.durable.changes import put_record
from poppyhold.durable.keys import FENCING_TOKEN_KEY
from poppyhold.durable.records import FencingTokenRecord
from poppyhold.model.context import Context
from poppyhold.model.entities import Machine
from poppyhold.model.fencing_tokens import highest_reserved_fencing_token
from poppyhold.model.outbound import CommitPriority

log = logging.getLogger(__name__)

# While a machine has at most this many exits to forget, they wait for the outcome of a request in flight.
_MAX_DEFERRED_EXITS = 100


class StartFencing:
    """Decides which fencing token each machine's next message carries, and when its worker may forget exits.

    Each machine has a token of its own within the range that is reserved for the term. A rise costs no write
    unless the range is used up, and concerns no other worker.
    """

    def __init__(self, ctx: Context) -> None:
        self._ctx = ctx
        # The highest token that any machine needs; above the reserved ones, more have to be reserved.
        self._required_fencing_token = 0
        self._reservation_in_flight = False

    def fencing_token(self, machine: Machine) -> int:
        """Return the fencing token of the next request or response to a machine's worker."""
        ctx = self._ctx
        return min(max(machine.required_fencing_token, ctx.term_fencing_token), ctx.highest_fencing_token)

    def observe_fencing_token(self, machine: Machine, fencing_token: int) -> None:
        """Record a token that the machine's worker has seen: messages with a lower one have no effect."""
        if fencing_token > machine.required_fencing_token:
            self._require(machine, fencing_token)

    def record_sent_starts(self, machine: Machine) -> None:
        """Record that a request with starts is sent, under the machine's present token."""
        machine.newest_start_fencing_token = self.fencing_token(machine)

    def void_sent_starts(self, machine: Machine) -> int:
        """Raise the machine's token above those of all starts sent to it, and return that token.

        The starts are void once the worker has seen it. Until enough tokens are reserved, messages carry the
        highest reserved one.
        """
        voiding_fencing_token = machine.newest_start_fencing_token + 1
        self._require(machine, voiding_fencing_token)
        return voiding_fencing_token

    def may_forget_exits(self, machine: Machine, exits: int) -> bool:
        """Whether the next response may let the worker forget ``exits`` exited attempts.

        Its token is then above those of all starts sent to the worker, so that by one message the worker
        forgets the attempts and learns the token that voids copies of their starts.
        """
        if self.fencing_token(machine) > machine.newest_start_fencing_token:
            return True
        if machine.command_in_flight and exits <= _MAX_DEFERRED_EXITS:
            # The response may overtake the request, whose starts would then be rejected.
            return False
        return self.void_sent_starts(machine) <= self._ctx.highest_fencing_token

    def _require(self, machine: Machine, fencing_token: int) -> None:
        machine.required_fencing_token = max(machine.required_fencing_token, fencing_token)
        self._required_fencing_token = max(self._required_fencing_token, machine.required_fencing_token)

    def reserve_fencing_tokens(self) -> None:
        """Reserve more tokens if a machine needs one above those that are reserved."""
        ctx = self._ctx
        if self._reservation_in_flight or self._required_fencing_token <= ctx.highest_fencing_token:
            return
        self._reservation_in_flight = True
        highest_fencing_token = highest_reserved_fencing_token(ctx.highest_fencing_token + 1)

        def on_committed(done: bool) -> None:
            self._reservation_in_flight = False
            if done:
                log.info("fencing tokens reserved: highest_fencing_token=%d", highest_fencing_token)
                ctx.highest_fencing_token = highest_fencing_token
                ctx.outbound.fencing_tokens_reserved(highest_fencing_token)

        ctx.outbound.commit(
            {},
            [put_record(FENCING_TOKEN_KEY, FencingTokenRecord(highest_fencing_token))],
            on_committed,
            CommitPriority.HIGHEST,
        )
