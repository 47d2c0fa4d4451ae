"""A leader term of the simulated deployment: the core's outbound port, in virtual time."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING, Any

from poppyhold.cluster.authority import AuthorityLimits, RenewalAuthority
from poppyhold.cluster.lease_delegation import DelegationTracker, LeaseDelegation
from poppyhold.durable.changes import Put, Write
from poppyhold.durable.errors import (
    ConditionFailedError,
    OutcomeUnknownError,
    StoreRejectedError,
)
from poppyhold.durable.fenced_writer import FencedWriter
from poppyhold.durable.keys import LEADER_KEY
from poppyhold.durable.snapshot import SnapshotReader
from poppyhold.model.fencing_tokens import highest_reserved_fencing_token
from poppyhold.model.job_status import FinalState
from poppyhold.model.outbound import CommitPriority, MisdirectedWorker
from poppyhold.model.outcome import RequestOutcome
from poppyhold.model.start_grant import StartGrant, StartRefusal
from poppyhold.node.controller import Controller
from poppyhold.node.leader_term import DIRECT_WORKERS_CONNECTION_SHARE
from poppyhold.options import RelayMode
from poppyhold.quota.records import PEER_PREFIX
from poppyhold.relay.assignment import Assignment
from poppyhold.relay.batch_handler import BatchHandler
from poppyhold.relay.connected_relay import ConnectedRelay
from poppyhold.relay.timings import heartbeat_response_timeout_s
from poppyhold.scale.jobs import Data
from poppyhold.wire.cloud_messages import MachineType
from poppyhold.wire.codec import convert
from poppyhold.wire.worker_messages import Heartbeat, HeartbeatResponse, parse_heartbeat
from sim_senders import SimRequest, SimSenders

if TYPE_CHECKING:
    from sim_node import SimNode


STEP_S = 0.05
# Delay of a command that the network holds back while others pass.
COMMAND_DELAY_S = 40.0


class SimLeaderTerm:
    """One leader term: the core's outbound port, with latencies, losses and late deliveries."""

    def __init__(self, node: SimNode, fencing_token: int, version: int, lease_id: int) -> None:
        self.node, self.world = node, node.world
        self.fencing_token, self.version, self.lease_id = fencing_token, version, lease_id
        self.highest_fencing_token = highest_reserved_fencing_token(fencing_token)
        self.alive = True
        self.confirmed = self.world.now
        self.delegations = DelegationTracker(node.times, 0.0)
        world = self.world
        self.authority = RenewalAuthority(AuthorityLimits.of(node.times), world.members, world.now)
        self._writer = FencedWriter(node.store, version)
        self._units: deque[tuple[dict[str, int], Sequence[Write], Callable[[bool], None]]] = deque()
        self._priorities: deque[CommitPriority] = deque()
        # Writes of the last transfer whose commit was started.
        self._planned: Sequence[Write] | None = None
        self.senders = SimSenders(
            world.max_command_threads or node.settings.deployment.machine_limits.threads, lambda: world.now
        )
        # When the next request to each other cell is due.
        self.next_request_at: dict[int, float] = {}
        self.controller = Controller(
            node.settings, node.options, self, fencing_token, lambda: world.now, lambda: world.now, world.rng
        )
        dispatcher = self.controller.dispatcher
        self._count_calls("cycles", dispatcher, "dispatch")
        self._count_calls("plans", self.controller.admission.planner, "plan")
        self._count_calls("searches", dispatcher.placement, "ranking")
        self._count_calls("searches", dispatcher.placement, "preemptions")
        self.assignment = Assignment(
            world.relays if node.relays else RelayMode.OFF,
            world.relays_from,
            node.settings.deployment.machine_limits.connections * DIRECT_WORKERS_CONNECTION_SHARE,
            node.member,
            node.zone,
            node.times,
            lambda: world.now,
            world.rng,
        )
        # State of each connected relay.
        self.relays: dict[str, ConnectedRelay] = {}
        response_timeout_s = heartbeat_response_timeout_s(node.settings.deployment.workers)
        self.batch_handler = BatchHandler(
            self.answer_heartbeat, self.controller.last_answered_at, self.assignment, response_timeout_s
        )
        self.authority.observe_watch(world.now, node.store.revision())
        self.controller.load(
            SnapshotReader(node.store, with_quota=node.options.cells is not None).read(),
            [convert(b, MachineType) for b in world.cloud.machine_types],
        )
        self.next_list = world.now
        self.woken_at = world.now

    def _commit_next(self) -> None:
        """Try to commit the first queued unit, as the committer's thread does."""
        conditions, writes, done = self._units[0]
        is_transfer = any(isinstance(write, Put) and write.key.startswith(PEER_PREFIX) for write in writes)
        if is_transfer and self._planned is not writes:
            self._planned = writes
            self.world.on_transfer_step(self.node, "planned")
            if self.node.frozen or not self.alive:
                self._later(0.0, self._commit_next)
                return
        try:
            self._writer.commit(conditions, writes)
        except ConditionFailedError as conflict:
            if LEADER_KEY in conflict.failed_keys:
                self.node.step_down()
                return
            result = False
        except (StoreRejectedError, OutcomeUnknownError):
            self._later(0.2, self._commit_next)
            return
        else:
            result = True
            if is_transfer:
                self.world.on_transfer_step(self.node, "written")
        self._units.popleft()
        self._priorities.popleft()
        self._later(0.002, lambda: done(result))
        if self._units:
            self._later(0.003, self._commit_next)

    def _count_calls(self, name: str, owner: object, method: str) -> None:
        inner = getattr(owner, method)

        def counted(*args: Any) -> Any:
            self.world.work[name] += 1
            return inner(*args)

        setattr(owner, method, counted)

    def _later(self, delay: float, work: Callable[[], None]) -> None:
        def run() -> None:
            if self.node.frozen:
                self.world.after(STEP_S, run)
            elif self.alive and self.node.alive:
                work()
                self.settle()

        self.world.after(delay, run)

    def settle(self) -> None:
        """Run a scheduling cycle, or schedule it for when it is due, as the decision thread does."""
        if not self.alive or not self.node.alive or self.node.frozen:
            return
        self.controller.run_scheduling_cycle()
        due_at = self.controller.scheduling_due_at()
        if due_at is not None and due_at > max(self.world.now, self.woken_at):
            self.woken_at = due_at
            self.world.after(self.woken_at - self.world.now, self.settle)

    def commit(
        self,
        conditions: dict[str, int],
        writes: Sequence[Write],
        on_committed: Callable[[bool], None],
        priority: CommitPriority = CommitPriority.BACKGROUND,
    ) -> None:
        self.world.work["commits"] += 1
        unit = (conditions, writes, on_committed)
        if not self._units:
            self._later(0.003, self._commit_next)
        # After the unit that is being committed, and those of its own priority.
        place = len(self._units)
        while place > 1 and self._priorities[place - 1] > priority:
            place -= 1
        self._units.insert(place, unit)
        self._priorities.insert(place, priority)

    def send_commands(
        self,
        machine: str,
        endpoint: str,
        body: Data,
        on_response: Callable[[RequestOutcome, Heartbeat | None], None],
        slow_lane: bool,
        start_grant: StartGrant | None,
    ) -> None:
        def send(release: Callable[[], None]) -> None:
            def on_outcome(outcome: RequestOutcome, heartbeat: Heartbeat | None) -> None:
                release()
                on_response(outcome, heartbeat)

            self._transmit_commands(endpoint, body, on_outcome)

        def on_expired() -> None:
            self._later(0.0, lambda: on_response(RequestOutcome.NOT_SENT, None))

        self.senders.submit(SimRequest(send, on_expired, start_grant), slow_lane)

    def _transmit_commands(
        self,
        endpoint: str,
        body: Data,
        on_response: Callable[[RequestOutcome, Heartbeat | None], None],
    ) -> None:
        """Pass commands to a worker, as the sender thread and the network do."""
        world = self.world
        worker = world.workers.get(endpoint)

        def answered(outcome: RequestOutcome, heartbeat: Data | None) -> None:
            parsed = parse_heartbeat(heartbeat) if heartbeat is not None else None
            self._later(0.001 + world.link_delay_s, lambda: on_response(outcome, parsed))

        if worker is None or worker.gone or self.node.lost_workers:
            self._later(1.5, lambda: on_response(RequestOutcome.NOT_SENT, None))
            return
        faults = world.faults.get(worker.name, set())
        if world.is_partitioned(self.node.zone, worker.zone):
            faults = faults | {"hold"}
        if "delay" in faults:

            def deliver_late() -> None:
                worker.handle_command(body)

            world.after(COMMAND_DELAY_S, deliver_late)
            self._later(1.5, lambda: on_response(RequestOutcome.UNKNOWN, None))
            return
        if faults & {"hang", "hold"}:
            # The command waits in the network or in a hanging machine, and is executed later.
            worker.held_commands.append(body)
            self._later(1.5, lambda: on_response(RequestOutcome.UNKNOWN, None))
            return
        if "drop_inbound" in faults:
            self._later(1.5, lambda: on_response(RequestOutcome.NOT_SENT, None))
            return

        def deliver() -> None:
            status, heartbeat = world.deliver_command(worker, body)
            if "drop_responses" in faults:
                self._later(1.5, lambda: on_response(RequestOutcome.UNKNOWN, None))
                return
            answered(RequestOutcome.OK if status == 200 else RequestOutcome.REJECTED, heartbeat)

        world.after(0.001 + world.link_delay_s, deliver)

    def launch_machines(self, body: Data, on_response: Callable[[RequestOutcome, list[str]], None]) -> None:
        def send() -> None:
            if self.world.isolated_zone == self.node.zone:
                on_response(RequestOutcome.UNKNOWN, [])
                return
            status, answer = self.world.cloud.launch(body)
            if self.world.launch_responses_to_lose > 0 and status == 200:
                self.world.launch_responses_to_lose -= 1
                on_response(RequestOutcome.UNKNOWN, [])
            elif status == 200:
                on_response(RequestOutcome.OK, answer["boxes"])
            else:
                on_response(
                    RequestOutcome.REJECTED if answer["error"] == "no capacity" else RequestOutcome.UNKNOWN,
                    [],
                )

        self._later(0.1, send)

    def delete_machines(self, names: list[str], on_deleted: Callable[[bool], None]) -> None:
        def send() -> None:
            if self.world.isolated_zone == self.node.zone:
                on_deleted(False)
                return
            status, _ = self.world.cloud.delete(names)
            if status == 200:
                for name in names:
                    self.world.end_worker(name)
            on_deleted(status == 200)

        self._later(0.1, send)

    def leadership_lost(self, fencing_token: int) -> None:
        self.node.step_down()

    def fencing_tokens_reserved(self, highest_fencing_token: int) -> None:
        self.highest_fencing_token = highest_fencing_token

    def resign(self, reason: str) -> None:
        self.node.campaign_after = self.world.now + self.world.settings.deployment.workers.lease_s
        if not self.world.state.down and not self.node.lost_state:
            self.world.state.end(self.lease_id)
        self.node.step_down()

    def job_finalized(self, job_id: str, status: str, task_count: int) -> None:
        self.node.users.job_states.final_states.put(job_id, FinalState(status, task_count))

    def misdirected_workers(self) -> list[list[MisdirectedWorker]]:
        since = self.world.now - self.world.settings.deployment.workers.lease_s / 2
        return [
            [worker for at, worker in node.misdirected_workers.values() if at > since]
            for node in self.world.nodes
            if node is not self.node
            and node.alive
            and not (node.lost_peers or self.node.lost_peers)
            and not self.world.is_partitioned(node.zone, self.node.zone)
        ]

    def answer_heartbeat(self, heartbeat: Heartbeat, deadline: float) -> HeartbeatResponse | None:
        """The response to a heartbeat that a relay forwarded."""
        now = self.world.now
        if not self.alive or now >= deadline or not self.authority.may_renew_leases(now, self.confirmed):
            return None
        return self.controller.handle_heartbeat(heartbeat)

    def start_grant(self) -> StartGrant | StartRefusal:
        if not self.alive:
            return StartRefusal.TERM_ENDED
        return self.authority.start_grant(self.world.now, self.confirmed)

    def renewals_allowed_until(self) -> float:
        return self.authority.renewals_allowed_until(self.confirmed)

    def leadership_confirmed_at(self) -> float:
        return self.confirmed if self.alive else float("-inf")

    def latest_delegated_renewal_at(self) -> float:
        return self.delegations.latest_possible_renewal_at(self.world.now)

    def delegation(self) -> LeaseDelegation | None:
        """The grant under which other nodes may renew leases."""
        excluded = self.controller.excluded_machines()
        return (
            None
            if excluded is None
            else LeaseDelegation(
                self.fencing_token, min(self.confirmed, self.authority.watch_caught_up_at), excluded
            )
        )
