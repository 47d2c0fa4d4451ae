"""A controller node of the simulated deployment: the real decision core and user API, without threads."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

import msgspec

from poppyhold.cluster.connectivity import Connectivity
from poppyhold.cluster.delegated_renewals import DelegatedRenewals
from poppyhold.cluster.leader_key import claim_leadership
from poppyhold.cluster.redirect_backoff import RedirectBackoff
from poppyhold.durable.changes import Entry, decode_event
from poppyhold.durable.errors import (
    ConditionFailedError,
    OutcomeUnknownError,
    StoreRejectedError,
)
from poppyhold.durable.keys import ACTIVE_JOB_PREFIX, LEADER_KEY
from poppyhold.model.durations import Durations
from poppyhold.model.job_status import TaskCounts
from poppyhold.model.outbound import MisdirectedWorker
from poppyhold.node.user_api import UserApi
from poppyhold.options import Options
from poppyhold.reads.batched_job_reads import BatchedJobReads
from poppyhold.scale.jobs import Data
from poppyhold.wire.cloud_messages import ListedMachine, MachineListing, MachineType
from poppyhold.wire.codec import convert, encode
from poppyhold.wire.worker_messages import parse_heartbeat
from sim_leader_term import STEP_S, SimLeaderTerm
from sim_relay import SimRelay
from sim_store import SimStore

if TYPE_CHECKING:
    from world import World


class SimNode:
    """A controller node, with a short form of the election in `cluster.election`."""

    def __init__(self, world: World, member: str) -> None:
        self.world, self.member = world, member
        self.zone = world.zones[world.members.index(member) % len(world.zones)]
        self.settings, self.options = world.settings, world.options
        self.times = Durations(world.settings, Options())
        self.alive = True
        self.lost_state = False
        self.lost_workers = False
        # The same, but heartbeats are dropped instead of refused.
        self.drops_heartbeats = False
        self.lost_peers = False
        # The process is paused while its clocks run on.
        self.frozen = False
        # The previous version has no relays.
        self.relays = True
        self.commit_responses_to_lose = 0
        self.campaign_after = 0.0
        self.restart_at = float("inf")
        self.leader_term: SimLeaderTerm | None = None
        self.boot()

    def boot(self) -> None:
        """Start a new process, without any state in memory."""
        self.alive = True
        self.relay = SimRelay(self)
        self.store = SimStore(self)
        self.leader_term = None
        # First revision that this process read.
        self.first_revision = -1
        self.misdirected_workers: dict[str, tuple[float, MisdirectedWorker]] = {}
        self.delegated_renewal = DelegatedRenewals(
            self.times, 0.0, lambda: self.world.now, lambda: self.world.now
        )
        self._redirect_backoff = RedirectBackoff(self.settings.deployment.workers.lease_s, 1000)
        self._leader_since = self.world.now
        self._leader_fencing_token = 0
        self.connectivity = Connectivity(self.member, self.times.heartbeat_interval_s, lambda: self.world.now)
        builds = {b["name"]: convert(b, MachineType) for b in self.world.cloud.machine_types}
        # Each poll is a batch by itself, so that users are answered from the view.
        reads = BatchedJobReads(self.store, 0.0, 1.0, min_batch_size=1, clock=lambda: self.world.now)
        self.users = UserApi(
            self.settings, self.store, lambda: builds, self._count, lambda: self.world.now, reads
        )

    def downgrade(self) -> None:
        """From its next process on it runs as the previous version: no announced limits, and no relays."""
        self.relays = False
        deployment = msgspec.structs.replace(
            self.world.settings.deployment,
            state=msgspec.structs.replace(self.settings.deployment.state, announced=None),
        )
        self.settings = msgspec.structs.replace(self.world.settings, deployment=deployment)

    def _count(self, job_id: str) -> TaskCounts | None:
        return self.leader_term.controller.task_counts().get(job_id) if self.leader_term else None

    def crash(self, back_s: float) -> None:
        """The process crashes, and restarts after a delay."""
        led = self.leader_term is not None
        self.step_down()
        if led:
            self.world.leader_ended()
        self.alive = False
        self.relay.close()
        self.restart_at = self.world.now + back_s

    def step_down(self) -> None:
        """End the leader term."""
        if self.leader_term is not None:
            self.leader_term.alive = False
            self.leader_term.relays.clear()
            self.leader_term = None

    def handle_heartbeat(self, body: Data) -> tuple[int, Data]:
        """POST /hello."""
        leader_term = self.leader_term
        if leader_term is None:
            held = self.world.state.keys.get(LEADER_KEY)
            named = self.world.leader()
            proxied = self.delegated_renewal.renewal_fencing_token(
                parse_heartbeat(body),
                self.store.contact_at,
                held[0]["baton"] if held is not None and self.reaches_state() else 0,
                named is not None and self.world.is_partitioned(self.zone, named.zone),
            )
            if proxied is not None:
                return 200, {"baton": proxied, "orders": []}
            worker = MisdirectedWorker(body["box"], body["shift"], body["tally"])
            self.misdirected_workers[worker.machine] = self.world.now, worker
            leader = self.world.leader()
            return 421, {"foreman": leader.member} if leader is not None else {}
        if not leader_term.authority.may_renew_leases(self.world.now, leader_term.confirmed):
            return 503, {}
        heartbeat = parse_heartbeat(body)
        relay = leader_term.assignment.assign(
            heartbeat.machine, heartbeat.zone, leader_term.controller.last_answered_at(heartbeat.machine)
        )
        if relay is not None:
            return 421, {"foreman": relay}
        answer = leader_term.controller.handle_heartbeat(heartbeat)
        leader_term.settle()
        if answer is None or not leader_term.alive:
            return 503, {}
        assert len(encode(answer.body())) <= 64 * 1024
        return 200, answer.body()

    def relays_heartbeats(self) -> bool:
        """Whether a heartbeat that arrives now is relayed."""
        return self.leader_term is None and self.relay.is_open()

    def receive_heartbeat(self, body: Data, respond: Callable[[int, Data], None], wait_s: float) -> None:
        """POST /hello: relayed to the leader, or answered within ``wait_s`` if its worker left the leader."""
        if self.relays_heartbeats():
            self.relay.take(body, respond)
            return
        status, answer = self.handle_heartbeat(body)
        if wait_s and status == 421:
            self._await_next_leader(body, respond, self.lowest_fencing_token(), self.world.now + wait_s)
        else:
            respond(status, answer)

    def _note_leader(self) -> int:
        """The leader's token; records since when it is known."""
        fencing_token = self.lowest_fencing_token()
        if fencing_token != self._leader_fencing_token:
            self._leader_fencing_token, self._leader_since = fencing_token, self.world.now
        return fencing_token

    def departure_wait_s(self, body: Data) -> float:
        """How long this node holds a worker that has left a leader which still leads."""
        leader = self.world.leader()
        if self.relays_heartbeats() or leader in (None, self) or not self.reaches_state():
            return 0.0
        fencing_token = self._note_leader()
        now = self.world.now
        return self._redirect_backoff.wait_s(
            parse_heartbeat(body), fencing_token, now - self._leader_since, now
        )

    def _await_next_leader(
        self, body: Data, respond: Callable[[int, Data], None], fencing_token: int, until: float
    ) -> None:
        if not self.alive:
            return
        if self.frozen or (self.lowest_fencing_token() in (0, fencing_token) and self.world.now < until):
            self.world.after(STEP_S, lambda: self._await_next_leader(body, respond, fencing_token, until))
        else:
            respond(*self.handle_heartbeat(body))

    def lowest_fencing_token(self) -> int:
        """The highest token that this node knows of."""
        held = self.world.state.keys.get(LEADER_KEY)
        return int(held[0]["baton"]) if held is not None and self.reaches_state() else 0

    def reaches_state(self) -> bool:
        """Whether the state service answers this node."""
        world = self.world
        return not (world.state.down or self.lost_state or world.isolated_zone == self.zone)

    def step(self) -> None:
        """The periodic work of a node."""
        world = self.world
        if self.frozen:
            return
        try:
            if self.leader_term is not None:
                self._step_leader(self.leader_term)
            elif world.now >= self.campaign_after:
                self._campaign()
            if self.first_revision < 0:
                self.first_revision = self.store.revision()
        except (StoreRejectedError, OutcomeUnknownError, ConditionFailedError):
            pass
        self._note_leader()
        self._exchange_connectivity()
        self._ping_peers()
        leader_term = self.leader_term
        if leader_term is not None:
            better = self.connectivity.better_connected_peer(self.times.delegated_renewal_after_s)
            if better is not None and self.reaches_state():
                leader_term.resign(f"{better} reaches more controllers")
                return
            leader_term.senders.drop_expired()
            leader_term.controller.tick()
            leader_term.assignment.update_machines(leader_term.controller.ctx.fleet.machines.keys())
            leader_term.settle()
        self.relay.step()

    def _step_leader(self, leader_term: SimLeaderTerm) -> None:
        world = self.world
        asked = world.now
        if not world.cloud.down and asked >= leader_term.next_list:
            leader_term.next_list = asked + 4.0
            boxes = [convert(b, ListedMachine) for b in world.cloud.listing()[1]["boxes"]]
            leader_term.controller.handle_machine_listing(MachineListing(boxes, asked))
        if self.store.get(LEADER_KEY) is None or world.state.extend(leader_term.lease_id)[0] == 404:
            self.step_down()
            return
        leader_term.confirmed = asked
        for event in world.state.changes(ACTIVE_JOB_PREFIX, leader_term.authority.applied_revision):
            change = decode_event(event)
            if isinstance(change, Entry):
                leader_term.controller.handle_job_accepted(change)
            else:
                leader_term.controller.handle_job_removed(change.key)
        leader_term.authority.observe_watch(asked, world.state.revision)

    def _campaign(self) -> None:
        world = self.world
        claimed = self.store.get(LEADER_KEY)
        if claimed is not None:
            if claimed.data["member"] == self.member:
                # A claim of this node that got no response, or one of its previous process.
                world.state.end(claimed.data["permit"])
            return
        if self.connectivity.better_connected_peer() is not None:
            return
        lease_id = world.state.lease(2500)[1]["permit"]
        leader = claim_leadership(self.store, self.member, lease_id)
        self.leader_term = SimLeaderTerm(self, leader.fencing_token, leader.key_revision, lease_id)
        world.leader_elected(self)

    def _reachable_nodes(self) -> list[SimNode]:
        """The other nodes that answer this one."""
        world = self.world
        return [
            other
            for other in world.nodes
            if other is not self
            and other.alive
            and not (other.frozen or self.lost_peers or other.lost_peers)
            and not world.is_partitioned(self.zone, other.zone)
        ]

    def _exchange_connectivity(self) -> None:
        """Record which nodes the reachable nodes reach."""
        for other in self._reachable_nodes():
            self.connectivity.record_response(other.member, other.connectivity.reachable_peers())

    def _ping_peers(self) -> None:
        world, leader_term = self.world, self.leader_term
        if leader_term is None:
            return
        self.report_cancellations(leader_term)
        for other in self._reachable_nodes():
            leader_term.delegations.record_grant(other.member, world.now)
            other.delegated_renewal.observe_leader(
                leader_term.fencing_token, leader_term.delegation(), leader_term.highest_fencing_token
            )
            leader_term.delegations.record_response(other.member, world.now)
            if other.leader_term is not None and other.leader_term.fencing_token > leader_term.fencing_token:
                self.step_down()
                return
            other.report_cancellations(leader_term)

    def report_cancellations(self, leader: SimLeaderTerm) -> None:
        """Report the cancellations confirmed here to a leader, as peers' messages do."""
        self.users.cancellations.acknowledge(leader.authority.applied_revision)
        named, bound = self.users.cancellations.summarize(self.first_revision)
        for job_id, _ in named:
            leader.controller.handle_job_removed(ACTIVE_JOB_PREFIX + job_id)
        leader.authority.observe_peer(self.member, self.world.now, bound)
