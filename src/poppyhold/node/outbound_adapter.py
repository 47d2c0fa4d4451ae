"""The outbound port of `Controller`, connected to the threads that do its I/O."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable, Sequence

from poppyhold.cluster.authority import RenewalAuthority
from poppyhold.cluster.election import Election
from poppyhold.cluster.lease_delegation import DelegationTracker
from poppyhold.cluster.peers import Peers
from poppyhold.concurrency.priority_queue import DECISIONS
from poppyhold.durable.changes import Write
from poppyhold.durable.committer import Committer, CommitUnit
from poppyhold.model.job_status import FinalState
from poppyhold.model.outbound import CommitPriority, Data, MisdirectedWorker
from poppyhold.model.outcome import RequestOutcome
from poppyhold.model.start_grant import StartGrant, StartRefusal
from poppyhold.node.cloud_dispatcher import CloudDispatcher, DeletionCallback, LaunchCallback
from poppyhold.node.command_dispatcher import CommandDispatcher, ResponseCallback, WorkerRequest
from poppyhold.node.decision_loop import DecisionLoop
from poppyhold.node.user_api import UserApi
from poppyhold.wire.worker_messages import Heartbeat


class OutboundAdapter:
    """Implements `OutboundPort`: passes requests to I/O threads and outcomes to the decision thread."""

    def __init__(
        self,
        loop: DecisionLoop,
        election: Election,
        authority: RenewalAuthority,
        delegations: DelegationTracker,
        committer: Committer,
        commands: CommandDispatcher,
        user_api: UserApi,
        peers: Peers,
    ) -> None:
        self._loop, self._election, self._authority = loop, election, authority
        self._delegations, self._committer, self._commands = delegations, committer, commands
        self._user_api, self._peers = user_api, peers
        # None until the state is rebuilt: before that no machine is launched or deleted.
        self.cloud: CloudDispatcher | None = None

    # -- requests ------------------------------------------------------------------------------------

    def commit(
        self,
        conditions: dict[str, int],
        writes: Sequence[Write],
        on_committed: Callable[[bool], None],
        priority: CommitPriority = CommitPriority.BACKGROUND,
    ) -> None:
        """See `OutboundPort`."""

        def post_outcome(committed: bool) -> None:
            self._loop.post(DECISIONS, lambda: on_committed(committed))

        self._committer.submit(CommitUnit(conditions, writes, post_outcome), priority)

    def send_commands(
        self,
        machine: str,
        endpoint: str,
        body: Data,
        on_response: ResponseCallback,
        slow_lane: bool,
        start_grant: StartGrant | None,
    ) -> None:
        """See `OutboundPort`."""

        def post_outcome(outcome: RequestOutcome, heartbeat: Heartbeat | None) -> None:
            self._loop.post(DECISIONS, lambda: on_response(outcome, heartbeat))

        self._commands.send(WorkerRequest(endpoint, body, post_outcome, start_grant), slow_lane)

    def launch_machines(self, body: Data, on_response: LaunchCallback) -> None:
        """See `OutboundPort`."""

        def post_outcome(outcome: RequestOutcome, machines: list[str]) -> None:
            self._loop.post(DECISIONS, lambda: on_response(outcome, machines))

        if self.cloud is not None:
            self.cloud.launch(body, post_outcome)

    def delete_machines(self, names: list[str], on_deleted: DeletionCallback) -> None:
        """See `OutboundPort`."""

        def post_outcome(deleted: bool) -> None:
            self._loop.post(DECISIONS, lambda: on_deleted(deleted))

        if self.cloud is not None:
            self.cloud.delete(names, post_outcome)

    # -- notifications -------------------------------------------------------------------------------

    def leadership_lost(self, fencing_token: int) -> None:
        """See `OutboundPort`."""
        self._election.observe_fencing_token(fencing_token)

    def fencing_tokens_reserved(self, highest_fencing_token: int) -> None:
        """See `OutboundPort`."""
        self._election.record_highest_fencing_token(highest_fencing_token)

    def resign(self, reason: str) -> None:
        """See `OutboundPort`."""
        # The request that revokes the lease must not block the decision thread.
        threading.Thread(target=self._election.resign, args=(reason,), daemon=True).start()

    def job_finalized(self, job_id: str, status: str, tasks: int) -> None:
        """See `OutboundPort`."""
        self._user_api.job_states.final_states.put(job_id, FinalState(status, tasks))

    # -- queries -------------------------------------------------------------------------------------

    def misdirected_workers(self) -> list[list[MisdirectedWorker]]:
        """See `OutboundPort`."""
        return [view.misdirected_workers for view in self._peers.views.values()]

    def start_grant(self) -> StartGrant | StartRefusal:
        """See `OutboundPort`."""
        if not self._loop.alive:
            return StartRefusal.TERM_ENDED
        return self._authority.start_grant(time.monotonic(), self._election.confirmed_at)

    def renewals_allowed_until(self) -> float:
        """See `OutboundPort`."""
        return self._authority.renewals_allowed_until(self._election.confirmed_at)

    def leadership_confirmed_at(self) -> float:
        """See `OutboundPort`."""
        return self._election.confirmed_at if self._loop.alive else float("-inf")

    def latest_delegated_renewal_at(self) -> float:
        """See `OutboundPort`."""
        return self._delegations.latest_possible_renewal_at(time.monotonic())
