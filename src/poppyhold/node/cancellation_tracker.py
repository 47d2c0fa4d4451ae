"""Confirmed cancellations that the leader has applied, and the leases that it may renew or delegate."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterable

from poppyhold.cluster.authority import RenewalAuthority
from poppyhold.cluster.cancellations import Cancellation, Cancellations
from poppyhold.cluster.lease_delegation import LeaseDelegation
from poppyhold.cluster.peer_messages import Pong
from poppyhold.concurrency.priority_queue import DECISIONS
from poppyhold.durable.keys import ACTIVE_JOB_PREFIX
from poppyhold.node.controller import Controller
from poppyhold.node.decision_loop import DecisionLoop
from poppyhold.wire.frames import MAX_MESSAGE_ENTRIES_BYTES
from poppyhold.wire.message_limits import json_bytes

# The most that the machines which a delegation excludes may take of a ping.
_MAX_EXCLUDED_BYTES = MAX_MESSAGE_ENTRIES_BYTES // 2


class CancellationTracker:
    """Applies cancellations that controllers confirmed to users, whether or not the watch delivers them.

    The leader may renew leases only for a limited time after it has applied all confirmed cancellations;
    `RenewalAuthority` computes that time.
    """

    def __init__(
        self,
        member: str,
        loop: DecisionLoop,
        controller: Controller,
        authority: RenewalAuthority,
        own_cancellations: Cancellations,
        first_revision: Callable[[], int],
        leadership_confirmed_at: Callable[[], float],
    ) -> None:
        """``first_revision`` returns the first store revision that this process read, or -1."""
        self._member, self._loop, self._controller = member, loop, controller
        self._authority, self._own_cancellations = authority, own_cancellations
        self._first_revision, self._leadership_confirmed_at = first_revision, leadership_confirmed_at
        # Allows other controllers to renew leases for this leader; None if it can grant no delegation.
        self.delegation: LeaseDelegation | None = None

    def may_renew_leases(self) -> bool:
        """Whether the leader may renew workers' leases now."""
        return self._authority.may_renew_leases(time.monotonic(), self._leadership_confirmed_at())

    def on_caught_up(self, requested_at: float, revision: int) -> None:
        """Handle that the watch has delivered every change up to ``revision``."""
        # Queued behind the removals of jobs up to this revision, which have the same priority.
        self._loop.post(DECISIONS, lambda: self._authority.observe_watch(requested_at, revision))

    def on_peer_response(self, pong: Pong, requested_at: float) -> None:
        """Apply the cancellations that another controller confirmed to users."""
        self._loop.post(
            DECISIONS,
            lambda: self._apply(pong.member, pong.cancellations, pong.cancellations_bound, requested_at),
        )

    def apply_own_cancellations(self) -> None:
        """Apply this node's own cancellations: the watch lacks them while its requests are rejected."""
        requested_at = time.monotonic()
        self._own_cancellations.acknowledge(self._authority.applied_revision)
        listed, unlisted_revision = self._own_cancellations.summarize(self._first_revision())
        self._apply(self._member, listed, unlisted_revision, requested_at)

    def _apply(
        self, member: str, listed: Iterable[Cancellation], unlisted_revision: int, requested_at: float
    ) -> None:
        """Stop the listed jobs: their cancellations are durable, whether or not the watch delivered them.

        ``unlisted_revision`` is the highest revision of the member's other cancellations; -1: unknown.
        """
        for job_id, _ in listed:
            self._controller.handle_job_removed(ACTIVE_JOB_PREFIX + job_id)
        self._authority.observe_peer(member, requested_at, unlisted_revision)

    def update_delegation(self) -> None:
        """Update the delegation that other controllers use when they can't reach this leader."""
        confirmed_at = min(self._authority.watch_caught_up_at, self._leadership_confirmed_at())
        excluded_machines = self._controller.excluded_machines()
        if (
            excluded_machines is None
            or confirmed_at == float("-inf")
            # A ping has to name all of them, beside what else it carries.
            or json_bytes(excluded_machines) > _MAX_EXCLUDED_BYTES
        ):
            self.delegation = None
            return
        confirmed_wall_time = time.time() - (time.monotonic() - confirmed_at)
        self.delegation = LeaseDelegation(
            self._controller.ctx.term_fencing_token, confirmed_wall_time, excluded_machines
        )
