"""One run of a profile: real controller processes, with simulated workers, users, state service and cloud."""

from __future__ import annotations

import asyncio
import os
import random
import sys
import time
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

import msgspec
import psutil

from poppyhold.durable.keys import LEADER_KEY
from poppyhold.scale.checks import RuleChecks
from poppyhold.scale.controller_logs import violated_invariants
from poppyhold.scale.controllers import ControllerProcess, Controllers, Link, members, team_limits
from poppyhold.scale.event_loop import drop_loop_errors
from poppyhold.scale.external_services import StateService
from poppyhold.scale.fleet import Fleet
from poppyhold.scale.measure import Latency, ProcessMeter
from poppyhold.scale.profile import Fault, Profile
from poppyhold.scale.result import ControllerResult, FaultResult, Result
from poppyhold.scale.simulated_worker import SimulatedWorker
from poppyhold.scale.users import Users
from poppyhold.scale.worker_standin import WorkerStandIn

# Intervals: sampling processes and checking background tasks, printing progress, counting tasks,
# measuring the event loop's delay, polling for the end of an outage.
_SAMPLE_S, _PROGRESS_S, _COUNT_S, _LOOP_CHECK_S, _OUTAGE_POLL_S = 1.0, 5.0, 0.5, 0.05, 0.02
# Connections are listed only in every n-th sample, because listing thousands of them is slow.
_SAMPLES_PER_LISTING = 10


class StoppedError(Exception):
    """The run ended early: it exceeded a memory or time limit, or ended before its users were created."""


class ScaleRun:
    """The controllers, stand-ins, workers and users of one run, and its checks and measurements."""

    worker_type: type[SimulatedWorker] = SimulatedWorker
    link_type: type[Link] = Link

    def __init__(self, profile: Profile, seed: int, folder: Path) -> None:
        self.profile, self.seed = profile, seed
        self._folder = folder
        self._rng = random.Random(seed)
        limits = team_limits(profile)
        self.checks = RuleChecks(self._standins, limits, profile.cancel_s, time.monotonic)
        self.state = StateService(profile.state, self._rng)
        self._loop_delay = Latency()
        self._own_process = ProcessMeter()
        self._own_process.follow(os.getpid())
        self._led_in_measured_time: set[str] = set()
        self._faults: list[FaultResult] = []
        self._stop_reason: str | None = None
        self._began_at = time.monotonic()
        self._measured_since: float | None = None
        self._running_tasks = 0
        self._cpu_times_before = psutil.cpu_times()
        self._peer_bytes_before = 0
        self._background: set[asyncio.Task[None]] = set()
        # Called after each task start. A run of several cells sets it to check the limits over all cells.
        self.on_started: Callable[[], None] = lambda: None
        self.controllers: Controllers
        self.fleet: Fleet
        self.users: Users

    def _standins(self) -> list[WorkerStandIn]:
        return self.fleet.standins()

    async def play(self) -> Result:
        """Run the profile and stop everything that was started; returns the result."""
        try:
            async with asyncio.timeout(self.profile.most_s):
                await self._prepare()
                await self._measure()
        except StoppedError as error:
            self._stop_reason = str(error)
        except TimeoutError:
            self._stop_reason = f"did not finish within most_s = {self.profile.most_s:g} s"
        except asyncio.CancelledError:
            self._stop_reason = "interrupted"
        finally:
            result = self.result()
            self.end()
        return result

    async def _prepare(self) -> None:
        """Start everything, then wait until the warm-up time is over."""
        await self.build()
        await self.begin()
        await self.wait(self.profile.warm_up_s)

    async def build(self) -> None:
        """Start the simulated state service and cloud; create the controllers, fleet and users unstarted."""
        state_ports = await self._open_state_ports()
        # The controllers' settings need the cloud's port. The fleet needs the controllers' ports,
        # which are put into `nodes` once the controllers exist.
        self.fleet = Fleet(
            self.profile,
            nodes := {},
            lambda task: self.checks.jobs.get(task.rpartition("/")[0]),
            self._task_started,
            self.checks.completed,
            self._rng,
            self.worker_type,
        )
        cloud_port = await self.fleet.cloud.server.start()
        self.controllers = Controllers(self.profile, self._folder, state_ports, cloud_port, self.link_type)
        nodes.update(self.controllers.ports)
        self.users = self._make_users(nodes)

    async def _open_state_ports(self) -> dict[str, int]:
        """Open the state service, and return its port for each controller."""
        port = await self.state.server.start()
        return dict.fromkeys(members(self.profile), port)

    def _make_users(self, nodes: dict[str, int]) -> Users:
        return Users(self.profile, nodes, self.checks, self._rng)

    async def begin(self) -> None:
        """Start the controllers, then the workers, the users and the run's own measurements."""
        await asyncio.gather(*(self.controllers.start(each) for each in self.controllers.all))
        self._spawn(self._watch_processes())
        await asyncio.gather(*(self.controllers.ready(each) for each in self.controllers.all))
        self._print("controllers are ready")
        await self.fleet.boot()
        for coroutine in (
            self.fleet.run(),
            self._count_tasks(),
            self._measure_loop_delay(),
            self.users.run(),
        ):
            self._spawn(coroutine)

    async def _measure(self) -> None:
        """Inject the profile's faults at their times, and wait until the measured time is over."""
        self.clear()
        began_at = time.monotonic()
        for fault in sorted(self.profile.faults, key=lambda fault: fault.at_s):
            await self.wait(began_at + fault.at_s - time.monotonic())
            await self.inject(fault)
        await self.wait(began_at + self.profile.measured_s - time.monotonic())

    def clear(self) -> None:
        """Start the measured time: reset its figures; violations and jobs count from the start of the run."""
        self.users.clear()
        self.fleet.figures.clear()
        self.state.clear()
        self._loop_delay.clear()
        for meter in self._meters():
            meter.clear()
        self._cpu_times_before = psutil.cpu_times()
        self._peer_bytes_before = self.controllers.peer_bytes()
        self._measured_since = time.monotonic()
        # Called for its side effect: records the current leader as one that led in the measured time.
        self._leader()

    async def inject(self, fault: Fault) -> None:
        """Inject a fault, which ends after ``away_s``; a fault of the leader is omitted if there is none."""
        if fault.kind == "restart_workers":
            count = self.fleet.restart_share(fault.share, fault.away_s)
            self._faults.append(FaultResult(fault.kind, fault.at_s, f"{count} workers"))
            return
        member = self._leader()
        if member is None:
            self._faults.append(FaultResult(fault.kind, fault.at_s, "no leader"))
            return
        controller = self.controllers.get(member)
        if fault.kind == "freeze_leader":
            self._faults.append(FaultResult(fault.kind, fault.at_s, member))
            controller.suspend()
            self._spawn(self._resume_after(controller, fault.away_s))
            return
        controller.kill()
        result = FaultResult(fault.kind, fault.at_s, member)
        self._faults.append(result)
        self._spawn(self._measure_outage(controller, time.monotonic(), result))
        self._spawn(self._restart_after(controller, fault.away_s))

    async def _measure_outage(
        self, controller: ControllerProcess, killed_at: float, result: FaultResult
    ) -> None:
        """Measure the time from the kill to another leader, and to the next answered heartbeat after that."""
        # The killed controller can still be stored as leader.
        while (leader := self._leader()) is None or leader == controller.member:
            await asyncio.sleep(_OUTAGE_POLL_S)
        result.without_leader_s = time.monotonic() - killed_at
        answered = self.fleet.figures.answered.total
        while self.fleet.figures.answered.total == answered:
            await asyncio.sleep(_OUTAGE_POLL_S)
        result.without_answers_s = time.monotonic() - killed_at

    @staticmethod
    async def _resume_after(controller: ControllerProcess, away_s: float) -> None:
        await asyncio.sleep(away_s)
        controller.resume()

    async def _restart_after(self, controller: ControllerProcess, away_s: float) -> None:
        await asyncio.sleep(away_s)
        await self.controllers.start(controller)

    def _leader(self) -> str | None:
        """Return the stored leader; in the measured time, also record it as having led."""
        entry = self.state.standin.keys.get(LEADER_KEY)
        member = entry[0]["member"] if entry is not None else None
        if member is not None and self._measured_since is not None:
            self._led_in_measured_time.add(member)
        return member

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(coroutine)
        self._background.add(task)

    async def wait(self, seconds: float) -> None:
        """Wait; re-raises an exception of a background task, such as `StoppedError` for exceeded memory."""
        until = time.monotonic() + seconds
        while (left := until - time.monotonic()) > 0:
            await asyncio.sleep(min(left, _SAMPLE_S))
            for task in self._background:
                if task.done() and (error := task.exception()) is not None:
                    raise error

    def _task_started(self, worker: WorkerStandIn, task: str) -> None:
        self.checks.started(worker, task)
        self.users.task_started(task)
        self.on_started()

    async def _count_tasks(self) -> None:
        while True:
            self._running_tasks = self.checks.count()
            await asyncio.sleep(_COUNT_S)

    async def _measure_loop_delay(self) -> None:
        while True:
            before = time.monotonic()
            await asyncio.sleep(_LOOP_CHECK_S)
            self._loop_delay.record(max(0.0, time.monotonic() - before - _LOOP_CHECK_S))

    async def _watch_processes(self) -> None:
        """Sample processes, enforce the memory bound, restart controllers that exited and print progress."""
        samples, printed_at = 0, 0.0
        memory_bound_mb = psutil.virtual_memory().total / 2**20 * self.profile.most_memory
        while True:
            samples += 1
            for meter in self._meters():
                meter.sample(with_connections=samples % _SAMPLES_PER_LISTING == 0)
            used_mb = sum(meter.use.memory_mb for meter in self._meters())
            if used_mb > memory_bound_mb:
                raise StoppedError(
                    f"peak memory of the controllers and this process adds up to {used_mb:.0f} MB; "
                    f"most_memory allows {memory_bound_mb:.0f} MB"
                )
            for controller in self.controllers.all:
                if controller.poll_exit():
                    self._print(f"{controller.member} exited unexpectedly; restarting")
                    await self.controllers.start(controller)
            if time.monotonic() - printed_at > _PROGRESS_S:
                printed_at = time.monotonic()
                self._print_progress()
            await asyncio.sleep(_SAMPLE_S)

    def _meters(self) -> list[ProcessMeter]:
        return [*(controller.meter for controller in self.controllers.all), self._own_process]

    def _print_progress(self) -> None:
        figures = self.fleet.figures
        phase = "measuring" if self._measured_since is not None else "warming up"
        self._print(
            f"{phase}: {len(self.fleet.workers)} workers, {self._running_tasks} tasks, "
            f"{figures.answered.total} heartbeats answered, {figures.failed.total} heartbeats failed, "
            f"{figures.leases_lost} leases lost, {self.checks.violations.count} violations, "
            f"leader {self._leader() or 'none'}"
        )

    def _print(self, text: str) -> None:
        print(f"{time.monotonic() - self._began_at:6.1f} s  {text}", file=sys.stderr, flush=True)

    def end(self) -> None:
        """Stop everything that was started."""
        for task in self._background:
            task.cancel()
        if hasattr(self, "users"):
            self.users.close()
        if hasattr(self, "controllers"):
            self.controllers.kill_all()
        if hasattr(self, "fleet"):
            self.fleet.close()
            self.fleet.cloud.server.close()
        self.state.server.close()

    def _steal_share(self) -> float:
        """Steal time since the start of the measured time, as a share of all CPU time.

        In steal time, the host ran something else although this virtual machine had work. With a high share,
        the measured latencies include waiting for the host's CPUs.
        """
        now = psutil.cpu_times()
        total = sum(now) - sum(self._cpu_times_before)
        steal = getattr(now, "steal", 0.0) - getattr(self._cpu_times_before, "steal", 0.0)
        return steal / total if total > 0 else 0.0

    def result(self) -> Result:
        """Return the result so far. Raises StoppedError if the run ended before its users were created."""
        if not hasattr(self, "users"):
            raise StoppedError(self._stop_reason or "the run ended before its users were created")
        measured_since = self._measured_since or time.monotonic()
        # Not 0, as it is a divisor.
        measured_s = max(0.001, time.monotonic() - measured_since)
        figures, users = self.fleet.figures, self.users
        peer_bytes = self.controllers.peer_bytes() - self._peer_bytes_before
        broken_invariants = violated_invariants(self._folder)
        starts = {f"start, {name}": latency.summary() for name, latency in users.starts.items()}
        return Result(
            profile=msgspec.to_builtins(self.profile),
            seed=self.seed,
            measured_s=measured_s,
            workers_up=len(self.fleet.workers),
            tasks_running=self._running_tasks,
            controllers=[
                ControllerResult(
                    c.member, c.zone, c.member in self._led_in_measured_time, c.meter.use, c.ended_by_itself
                )
                for c in self.controllers.all
            ],
            load=self._own_process.use,
            loop_late=self._loop_delay.summary(),
            latencies={
                "report": figures.heartbeats.summary(),
                "submission": users.submissions.summary(),
                "question": users.polls.summary(),
                **starts,
            },
            rates={
                "reports answered a second": figures.answered.total / measured_s,
                "reports sent elsewhere a second": figures.redirected.total / measured_s,
                "reports failed a second": figures.failed.total / measured_s,
                "starts a second": users.started.total / measured_s,
                "starts a second, best 5 s": users.started.peak(),
                "direct commands a second": figures.direct_commands.total / measured_s,
                "bytes a second and worker, reports": figures.bytes
                / measured_s
                / max(1, len(self.fleet.workers)),
                "bytes a second between controllers": peer_bytes / measured_s,
                "bytes a second at the state service": self.state.server.bytes / measured_s,
                "requests a second at the state service": sum(self.state.requests.values()) / measured_s,
                "changes a second at the state service": self.state.writes / measured_s,
                "share of this machine's processors taken by others": self._steal_share(),
            },
            counts={
                "leases lost": figures.leases_lost,
                "tasks lost with leases or restarts": figures.tasks_lost,
                "requests refused by the state service": self.state.refused["requests"],
                "changes refused by the state service": self.state.refused["changes"],
                "jobs submitted": len(self.checks.jobs),
                "submissions given up": users.given_up,
            },
            state_requests=dict(self.state.requests),
            statuses={str(status): count for status, count in users.statuses.items()},
            faults=self._faults,
            broken=[*self.checks.violations.messages, *broken_invariants],
            broken_count=self.checks.violations.count + len(broken_invariants),
            stopped=self._stop_reason,
        )


async def play(profile: Profile, seed: int, folder: Path) -> Result:
    """Run a profile; the controllers' files are written to ``folder``."""
    drop_loop_errors()
    return await ScaleRun(profile, seed, folder).play()
