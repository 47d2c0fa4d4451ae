"""One soak run: a schedule played on real controllers, and its verdict."""

from __future__ import annotations

import asyncio
import time
from enum import StrEnum
from pathlib import Path

import msgspec

from poppyhold.scale.controller_logs import tracebacks
from poppyhold.scale.controllers import members, team_limits
from poppyhold.scale.cuttable_links import CuttableLink
from poppyhold.scale.event_loop import drop_loop_errors
from poppyhold.scale.profile import JobClass, MachineShape, Profile
from poppyhold.scale.run import ScaleRun, StoppedError
from poppyhold.scale.soak.checks import SoakChecks
from poppyhold.scale.soak.faults import FaultPlayer
from poppyhold.scale.soak.faulty_worker import FaultyWorker
from poppyhold.scale.soak.peer_network import peer_network
from poppyhold.scale.soak.schedule import SoakSchedule
from poppyhold.scale.soak.state_gate import StateGate
from poppyhold.scale.soak.users import JOB_CLASS, SoakUsers
from poppyhold.scale.users import Users

# Seconds of the deployment: shorter than an operator's, so that a run meets many leases.
_HEARTBEAT_INTERVAL_S, _LEASE_S, _CANCEL_S = 1.0, 8.0, 16.0
_WARM_UP_S = 4.0
# After all faults every job gets on within this time: leases of lost machines end, and others boot.
_SETTLE_S = 75.0
_LEADER_POLL_S = 0.1
# A load whose event loop was late by more than this share of an interval can't judge the deadlines.
_MAX_LOOP_DELAY_INTERVALS = 0.5


class Verdict(StrEnum):
    """The outcome of a run."""

    PASSED = "passed"
    FAILED = "failed"
    # The load was too late to judge.
    INVALID = "invalid"
    NOT_RUN = "not run"


class SoakResult(msgspec.Struct, kw_only=True):
    """The result of one run."""

    seed: int
    workers: int
    verdict: Verdict
    # Violated rules and invariants, tracebacks, and controllers that ended by themselves.
    broken: list[str]
    starts_after_cancellation: int
    loop_late_s: float
    jobs: int
    cancelled: int
    faults: int
    leases_lost: int
    took_s: float


def soak_profile(schedule: SoakSchedule) -> Profile:
    """The deployment of a soak run."""
    return Profile(
        name="soak",
        workers=schedule.workers,
        controllers=schedule.controllers,
        heartbeat_interval_s=_HEARTBEAT_INTERVAL_S,
        lease_s=_LEASE_S,
        cancel_s=_CANCEL_S,
        warm_up_s=_WARM_UP_S,
        most_s=_WARM_UP_S + schedule.faults_end_s + 2 * _SETTLE_S,
        machine_types=[MachineShape("duo", share=1.0, cpus=16.0, accelerators=2.0, memory_gb=64.0)],
        jobs=[JobClass(JOB_CLASS, "array", "high", tasks=1, cpus=1.0, accelerators=1.0)],
    )


class SoakRun(ScaleRun):
    """A scale run whose faults, load and users come from a schedule."""

    worker_type = FaultyWorker
    link_type = CuttableLink

    def __init__(self, schedule: SoakSchedule, folder: Path) -> None:
        profile = soak_profile(schedule)
        super().__init__(profile, schedule.seed, folder)
        self._schedule = schedule
        limits = team_limits(profile)
        self.soak_checks = SoakChecks(self._standins, limits, profile.cancel_s, time.monotonic)
        self.checks = self.soak_checks
        self._gate = StateGate(self.state, self._rng)
        self.soak_users: SoakUsers

    # -- what the run is made of -----------------------------------------------------------------------

    async def _open_state_ports(self) -> dict[str, int]:
        return {member: await self._gate.open(member) for member in members(self.profile)}

    def _make_users(self, nodes: dict[str, int]) -> Users:
        self.soak_users = SoakUsers(self.profile, nodes, self.soak_checks, self._rng, self._schedule)
        return self.soak_users

    def end(self) -> None:
        """Stop everything that was started."""
        super().end()
        self._gate.close()

    # -- the measured time -----------------------------------------------------------------------------

    async def _measure(self) -> None:
        """Play the faults, then wait until every job gets on."""
        self.clear()
        player = FaultPlayer(
            self.controllers,
            peer_network(self.controllers),
            self._gate,
            self.fleet,
            self.soak_users,
            self._leader,
            self._rng,
        )
        self._spawn(self._deliver_copies_to_next_leaders(player))
        began_at = time.monotonic()
        faults = []
        for fault in self._schedule.faults:
            await self.wait(began_at + fault.at_s - time.monotonic())
            faults.append(asyncio.create_task(player.play(fault)))
        await self.wait(began_at + self._schedule.faults_end_s - time.monotonic())
        await asyncio.gather(*faults)
        await self._settle()

    async def _settle(self) -> None:
        """Wait until every job gets on; record those that don't in time."""
        until = time.monotonic() + _SETTLE_S
        while time.monotonic() < until and any(self.soak_checks.unsettled()):
            await self.wait(1.0)
        self.soak_checks.check_settled()

    async def _deliver_copies_to_next_leaders(self, player: FaultPlayer) -> None:
        known = self._leader()
        while True:
            await asyncio.sleep(_LEADER_POLL_S)
            leader = self._leader()
            if leader not in (None, known):
                known = leader
                player.deliver_kept_copies()

    # -- the verdict -----------------------------------------------------------------------------------

    def verdict(self) -> SoakResult:
        """Judge the run, after it has ended."""
        result = self.result()
        broken = [*result.broken, *tracebacks(self._folder)]
        broken += [
            f"ended_by_itself: {each.member} {each.ended_by_itself} times"
            for each in result.controllers
            if each.ended_by_itself
        ]
        if result.stopped is not None:
            broken.append(f"stopped: {result.stopped}")
        loop_late_s = result.loop_late.get("max", 0.0)
        verdict = Verdict.FAILED if broken else Verdict.PASSED
        if loop_late_s > _MAX_LOOP_DELAY_INTERVALS * self.profile.heartbeat_interval_s:
            verdict = Verdict.INVALID
        return SoakResult(
            seed=self._schedule.seed,
            workers=self._schedule.workers,
            verdict=verdict,
            broken=broken,
            starts_after_cancellation=self.soak_checks.starts_after_cancellation,
            loop_late_s=loop_late_s,
            jobs=len(self.checks.jobs),
            cancelled=sum(map(self.soak_checks.is_cancelled, self.checks.jobs)),
            faults=len(self._schedule.faults),
            leases_lost=int(result.counts["leases lost"]),
            took_s=time.monotonic() - self._began_at,
        )


async def play_soak(schedule: SoakSchedule, folder: Path) -> SoakResult:
    """Play a schedule; the controllers' files are written to ``folder``."""
    drop_loop_errors()
    run = SoakRun(schedule, folder)
    await run.play()
    try:
        return run.verdict()
    except StoppedError as error:
        raise StoppedError(f"seed {schedule.seed}: {error}") from error
