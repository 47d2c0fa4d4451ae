"""The leader's side: batches of reports, answered as reports are that come directly."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Set

import msgspec

from poppyhold.relay.assignment import Assignment
from poppyhold.relay.messages import AnswerBatch, HeartbeatBatch, Outcome, RelayedAnswer, UnchangedHeartbeat
from poppyhold.wire.worker_messages import Heartbeat, HeartbeatResponse


class RelayState:
    """What the leader keeps of one relay's connection; with the connection it is forgotten."""

    def __init__(self, member: str, zone: str) -> None:
        self.member, self.zone = member, zone
        self.alive = True
        # The last report that came in full, by machine.
        self._full: dict[str, Heartbeat] = {}

    def keep(self, heartbeat: Heartbeat) -> None:
        """Heartbeats may refer to this report from now on."""
        self._full[heartbeat.machine] = heartbeat

    def restore(self, unchanged: UnchangedHeartbeat) -> Heartbeat | None:
        """The report that a heartbeat stands for; None if the full one is not known here."""
        full = self._full.get(unchanged.machine)
        if full is None or (full.incarnation, full.sequence) != (
            unchanged.incarnation,
            unchanged.full_sequence,
        ):
            return None
        return msgspec.structs.replace(full, sequence=unchanged.sequence)

    def forget_others(self, machines: Set[str]) -> None:
        """Drop what is kept of all other machines: they are gone."""
        for machine in [machine for machine in self._full if machine not in machines]:
            del self._full[machine]


class RelayIntake:
    """Answers batches, on the decision thread."""

    def __init__(
        self,
        answer: Callable[[Heartbeat, float], HeartbeatResponse | None],
        answered_at: Callable[[str], float],
        assignment: Assignment,
        patience_s: float,
    ) -> None:
        """``answer`` takes a report and the moment behind which nobody waits for its answer.

        ``answered_at`` tells when a machine's worker was answered last.
        """
        self._answer_heartbeat, self._answered_at = answer, answered_at
        self._assignment, self._patience_s = assignment, patience_s

    def handle(self, relay: RelayState, batch: HeartbeatBatch, received_at: float) -> AnswerBatch:
        """Answer each report of a batch that arrived at that moment."""
        self._assignment.took(relay.member, batch.round_trip_ms / 1000)
        answers = list(self._answers(relay, batch, received_at))
        return AnswerBatch(answers, *self._assignment.advice(relay.member))

    def _answers(
        self, relay: RelayState, batch: HeartbeatBatch, received_at: float
    ) -> Iterator[RelayedAnswer]:
        for full in batch.heartbeats:
            relay.keep(full.heartbeat)
            yield self._answer(relay, full.number, full.waited_ms, full.heartbeat, received_at)
        for unchanged in batch.unchanged:
            heartbeat = relay.restore(unchanged)
            if heartbeat is None:
                yield RelayedAnswer(unchanged.number, Outcome.FULL_WANTED)
            else:
                yield self._answer(relay, unchanged.number, unchanged.waited_ms, heartbeat, received_at)

    def _answer(
        self, relay: RelayState, number: int, waited_ms: int, heartbeat: Heartbeat, received_at: float
    ) -> RelayedAnswer:
        answered_at = self._answered_at(heartbeat.machine)
        target = self._assignment.move(heartbeat.machine, heartbeat.zone, relay.member, answered_at)
        if target is not None:
            return RelayedAnswer(number, Outcome.MOVED, controller=target)
        # The relay's clock only tells how long the report waited there, so that clocks need not agree.
        late_at = received_at + self._patience_s - waited_ms / 1000
        answer = self._answer_heartbeat(heartbeat, late_at)
        if answer is None:
            return RelayedAnswer(number, Outcome.REFUSED)
        self._assignment.heard(heartbeat.machine, relay.member)
        return RelayedAnswer(number, Outcome.ANSWERED, answer.fencing_token, answer.commands)
