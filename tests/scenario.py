"""Runs scenarios; scenarios/README.md describes their language."""

from __future__ import annotations

from pathlib import Path
from typing import Any
from unittest import mock

import msgspec

from cells_world import CellsWorld
from poppyhold.durable.changes import Delete
from poppyhold.durable.keys import FENCING_TOKEN_KEY, QUOTA_PREFIX
from poppyhold.durable.store import transaction_body
from poppyhold.model import fencing_tokens
from poppyhold.options import Options, RelayMode
from poppyhold.scale.jobs import submission
from poppyhold.settings import AnnouncedStateLimits, Objective, Team
from sim_node import SimNode
from world import RepeatTime, World

FOLDER = Path(__file__).parent / "scenarios"


class Scenario:
    """The text of a scenario, and the simulated deployment in which its lines are executed."""

    def __init__(self, text: str, seed: int) -> None:
        self.lines = [line.split("#")[0].split() for line in text.splitlines() if line.split("#")[0].strip()]
        head = {}
        for words in self.lines:
            if words[0] == "world":
                head = dict(word.split("=") for word in words[1:])
        self._fencing_tokens = int(head.get("fencing_tokens", fencing_tokens.FENCING_TOKENS_PER_RESERVATION))
        limit = float(head.get("limit", 0))
        guaranteed = float(head.get("guaranteed", 8))
        teams = [
            Team("alpha", accelerators=guaranteed, accelerators_max=limit),
            Team("beta", accelerators=8, accelerators_max=0),
        ]
        # Teams without a guarantee or a limit.
        teams += [Team(name) for name in head.get("unguaranteed", "").split(",") if name]

        def make_world(options: Options) -> World:
            world = World(
                seed,
                float(head.get("lease_s", 10)),
                float(head.get("cancel_s", 30)),
                teams,
                _next_limits(head),
                head["zones"].split(",") if "zones" in head else None,
                _wait_objectives(head.get("wait", "")),
                RelayMode(head.get("relays", "off")),
                float(head.get("report_s", 1)),
                options,
            )
            world.max_command_threads = int(head.get("command_threads", 0))
            return world

        # With `parts` the fleet consists of several cells; lines that name none apply to the first.
        self.cells = None
        if "parts" in head:
            parts = [float(part) for part in head["parts"].split(",")]
            self.cells = CellsWorld(seed, parts, float(head.get("reserve", 0)), make_world)
            self.world = self.cells.worlds[0]
        else:
            self.world = make_world(Options())
        self.failures: list[str] = []

    def play(self) -> None:
        """Execute the lines in order; times are absolute."""
        with mock.patch.object(fencing_tokens, "FENCING_TOKENS_PER_RESERVATION", self._fencing_tokens):
            for line in self.lines:
                words = line
                if line[0] == "at":
                    (self.cells or self.world).run(float(line[1]))
                    words = line[2:]
                self._do(words)

    def _do(self, words: list[str]) -> None:
        getattr(self, f"do_{words[0]}")(*words[1:])

    def _several(self) -> CellsWorld:
        assert self.cells is not None, "`world` has no parts"
        return self.cells

    def do_in(self, cell: str, *words: str) -> None:
        """The rest of the line applies to that cell."""
        before, self.world = self.world, self._several().worlds[int(cell)]
        self._do(list(words))
        self.world = before

    def do_cut_cell_link(self, source: str, target: str, word: str, seconds: str) -> None:
        """Messages from the first cell to the second are dropped."""
        cells, way = self._several(), (int(source), int(target))
        cells.cut_links.add(way)
        self.world.after(float(seconds), lambda: cells.cut_links.discard(way))

    def do_cell_messages(self, how: str, share: str, word: str, seconds: str) -> None:
        """That share of messages between cells is duplicated, lost, or up to two minutes late."""
        self._for_a_while(self._several(), f"{how}_share", seconds, float(share))

    def do_cut_cell_link_at(self, way: str, word: str, seconds: str) -> None:
        """`SOURCE-TARGET@TIME`: see `do_cut_cell_link`."""
        ends, _, at = way.partition("@")
        source, target = ends.split("-")
        cut = [source, target, word, seconds]
        self.world.after(float(at) - self.world.now, lambda: self.do_cut_cell_link(*cut))

    def do_crash_in_transfer(self, step: str) -> None:
        """`source-planned-1`: the leader of cell 1 crashes when it is about to write its first such step."""
        side, stage, number = step.split("-")
        self.do_in("1" if side == "source" else "0", "fault_in_transfer", stage, number, "crash")

    def do_fault_in_transfer(self, stage: str, number: str, what: str, seconds: str = "5") -> None:
        """When that step of a transfer is planned, or was just written, its leader crashes or freezes."""
        world, left = self.world, int(number)

        def reached(node: SimNode, now: str) -> None:
            nonlocal left
            left -= now == stage
            if left or now != stage:
                return
            if what == "crash":
                node.crash(float(seconds))
            else:
                self._for_a_while(node, "frozen", seconds)

        world.on_transfer_step = reached

    def do_remove_cells_file(self, which: str) -> None:
        """The nodes restart without other cells: as the previous version, or without the file."""
        self._several().without_cells_file.add(self._several().worlds.index(self.world))
        for node in self._nodes(which):
            node.options = Options()
            node.boot()

    def do_lose_allocations(self) -> None:
        """The cell's quota records are lost, as if its state service was restored from nothing."""
        self._several().records_are_lost = True
        self._remove_shares(self.world)

    def do_recreate_allocations(self) -> None:
        """Operators stop all controllers of all cells, remove all quota records, and start again."""
        cells = self._several()
        for world in cells.worlds:
            for node in world.nodes:
                node.crash(3.0)
            self._remove_shares(world)
        cells.records_are_lost = False

    @staticmethod
    def _remove_shares(world: World) -> None:
        keys = [key for key in world.state.keys if key.startswith(QUOTA_PREFIX)]
        for node in world.nodes:
            node.crash(3.0)
        for key in keys:
            world.state.commit(transaction_body({}, [Delete(key)]))

    def do_rename_cell(self, name: str) -> None:
        """The cell's controllers restart with a file that gives the cell another name."""
        for node in self.world.nodes:
            assert node.options.cells is not None
            node.options = Options(cells=msgspec.structs.replace(node.options.cells, name=name))
            node.crash(3.0)

    def do_restore_cells_file(self, which: str) -> None:
        """The nodes are killed and restart with the file."""
        for node in self._nodes(which):
            node.options = self.world.options
            node.crash(3.0)

    def _expect_allocation(self, cell: str, least: str, most: str) -> None:
        """The durable allocation of accelerators to team alpha in a cell."""
        limit = self._several().allocation(int(cell))
        self._expect(float(least) <= limit <= float(most), f"cell {cell} has an allocation of {limit:g}")

    def _expect_in_use(self, least: str, most: str) -> None:
        """The accelerators that team alpha uses in all cells."""
        used = self._several().used()
        self._expect(float(least) <= used <= float(most), f"{used:g} accelerators are in use")

    def _expect_in_transit(self, number: str) -> None:
        """Transfers that a cell still has a record of."""
        found = self._several().in_transit()
        self._expect(len(found) == int(number), f"in transit: {found}")

    def _expect_transfers(self, most: str) -> None:
        """Transfers that were ever started."""
        moves = self._several().moves()
        self._expect(moves <= int(most), f"{moves} transfers")

    def _expect_alarm(self, cell: str, *words: str) -> None:
        """The cell's leader has an alarm that contains these words, or has none."""
        alarms, text = self._several().alarms(int(cell)), " ".join(words)
        holds = not alarms if text == "none" else any(text in alarm for alarm in alarms)
        self._expect(holds, f"alarms of cell {cell}: {alarms}")

    def do_downgrade(self, which: str) -> None:
        """The nodes run as the previous version where it stores differently, also after a restart."""
        for node in self._nodes(which):
            node.downgrade()
            node.boot()

    def do_upgrade(self, which: str) -> None:
        """The nodes are killed and restart with the new version."""
        for node in self._nodes(which):
            node.settings, node.relays = self.world.settings, True
            node.crash(3.0)

    def do_lower_limits(self) -> None:
        """The state service applies the announced limits."""
        limits = self.world.settings.deployment.state.lowest
        self.world.state.lower_limits(limits.txn_ops, limits.value_kb)

    def do_world(self, *fields: str) -> None:
        """Settings of the deployment, which `__init__` reads."""

    def do_capacity(self, build: str, zone: str, kind: str, number: str) -> None:
        self.world.cloud.capacity[(build, zone, kind == "spot")] = int(number)

    def do_machines(self, build: str, zone: str, kind: str, number: str) -> None:
        for _ in range(int(number)):
            self.world.add_worker(self.world.cloud.add(build, zone, kind == "spot", "running"))

    def do_submit(self, job_id: str, *fields: str) -> None:
        values = dict(field.split("=") for field in fields)
        self.world.submit(submission(job_id, {key: _value(text) for key, text in values.items()}))

    def do_submit_many(self, number: str, first: str, *fields: str) -> None:
        for index in range(int(number)):
            self.do_submit(f"job-{int(first) + index:06d}", *fields)

    def do_cancel(self, job_id: str, word: str = "at", which: str = "all") -> None:
        self.world.cancel(job_id, self._nodes(which))

    def _nodes(self, which: str) -> list[Any]:
        world = self.world
        if which == "all":
            return list(world.nodes)
        leader = world.leader()
        if which == "leader":
            return [leader] if leader is not None else []
        if which == "others":
            return [node for node in world.nodes if node is not leader]
        return [world.nodes[int(which)]]

    def do_crash(self, which: str, word: str = "for", seconds: str = "5") -> None:
        for node in self._nodes(which):
            node.crash(float(seconds))

    def do_rolling_restart(self, every: str) -> None:
        for index, node in enumerate(self.world.nodes):
            self.world.after(index * float(every), lambda node=node: node.crash(3.0))  # type: ignore[misc]

    def _for_a_while(
        self, target: Any, name: str, seconds: str, value: bool | float | set[str] = True
    ) -> None:
        setattr(target, name, value)
        self.world.after(float(seconds), lambda: setattr(target, name, type(value)()))

    def do_cut_state(self, which: str, word: str, seconds: str) -> None:
        for node in self._nodes(which):
            self._for_a_while(node, "lost_state", seconds)

    def do_isolate(self, which: str, word: str, seconds: str) -> None:
        """The nodes keep their workers, and lose the state service and the other nodes."""
        for node in self._nodes(which):
            self._for_a_while(node, "lost_state", seconds)
            self._for_a_while(node, "lost_peers", seconds)

    def do_cut_workers(self, which: str, word: str, seconds: str, how: str = "refused") -> None:
        """The nodes lose their workers: heartbeats are refused, or dropped."""
        for node in self._nodes(which):
            self._for_a_while(node, "lost_workers", seconds)
            if how == "dropped":
                self._for_a_while(node, "drops_heartbeats", seconds)

    def do_freeze(self, which: str, word: str, seconds: str) -> None:
        """The nodes' processes are paused while their clocks run on."""
        for node in self._nodes(which):
            self._for_a_while(node, "frozen", seconds)

    def do_lose_commit_responses(self, which: str, number: str) -> None:
        for node in self._nodes(which):
            node.commit_responses_to_lose = int(number)

    def do_delay_commits(self, share: str, word: str, seconds: str) -> None:
        """Transactions get no response and are applied late, after newer ones."""
        self._for_a_while(self.world, "delayed_commit_share", seconds, float(share))

    def do_drop_commit_responses(self, share: str, word: str, seconds: str) -> None:
        """Transactions are applied at once and get no response."""
        self._for_a_while(self.world, "dropped_response_share", seconds, float(share))

    def do_slow_links(self, delay: str, word: str, seconds: str) -> None:
        """Messages between controllers and workers take that much longer, each way."""
        self._for_a_while(self.world, "link_delay_s", seconds, float(delay))

    def do_lose_launch_responses(self, number: str) -> None:
        self.world.launch_responses_to_lose = int(number)

    def do_outage(self, what: str, word: str, seconds: str) -> None:
        world = self.world
        if what == "state":
            world.state.down = True
            world.after(float(seconds), world.state.end_outage)
        else:
            world.cloud.down = True
            world.after(float(seconds), lambda: setattr(world.cloud, "down", False))

    def do_cut_peers(self, which: str, word: str, seconds: str) -> None:
        """The nodes lose the other nodes, and keep their workers and the state service."""
        for node in self._nodes(which):
            self._for_a_while(node, "lost_peers", seconds)

    def do_duplicate_batches(self, word: str, seconds: str) -> None:
        """Relayed batches arrive twice."""
        self._for_a_while(self.world, "duplicates_batches", seconds)

    def do_delay_batches(self, delay: str, word: str, seconds: str) -> None:
        """Relayed batches take that much longer."""
        self._for_a_while(self.world, "batch_delay_s", seconds, float(delay))

    def do_isolate_zone(self, zone: str, word: str, seconds: str) -> None:
        """The zone is cut off from everything outside it."""
        world = self.world
        world.isolated_zone = zone
        world.after(float(seconds), lambda: setattr(world, "isolated_zone", None))

    def do_partition(self, zones: str, word: str, seconds: str) -> None:
        """The two zones can't reach each other; both reach everything else."""
        self._for_a_while(self.world, "partitioned_zones", seconds, set(zones.split(",")))

    def do_fault(self, kind: str, machine: str, word: str, seconds: str) -> None:
        """A fault of a machine, or of all; scenarios/README.md lists the kinds."""
        world = self.world
        names = list(world.workers) if machine == "all" else [machine]
        for name in names:
            world.faults.setdefault(name, set()).add(kind)
            world.after(
                float(seconds),
                lambda name=name: world.faults[name].discard(kind),  # type: ignore[misc]
            )

    def do_fail_tasks_on(self, machine: str) -> None:
        worker = self.world.workers.get(machine)
        # A random scenario may name a machine that is already gone.
        if worker is not None:
            worker.faulty = True

    def do_slow_fetch(self, machine: str, gb_per_s: str) -> None:
        worker = self.world.workers[machine]
        worker.machine_type = {**worker.machine_type, "pullGbPerS": float(gb_per_s)}

    def do_kill_machine(self, machine: str) -> None:
        self.world.end_worker(machine)

    def do_kill_machines(self, share: str) -> None:
        """That share of the machines is lost at once, with all their tasks."""
        names = sorted(self.world.workers)
        for name in self.world.rng.sample(names, int(len(names) * float(share))):
            self.world.end_worker(name)

    def do_reclaim(self, machine: str, notice: str, real: str) -> None:
        worker = self.world.workers.get(machine)
        if worker is None:
            # A random scenario may name a machine that is already gone.
            return
        worker.notice_s = float(notice)
        self.world.after(float(real), lambda: self._take_back(machine))

    def _take_back(self, machine: str) -> None:
        self.world.end_worker(machine)
        self.world.cloud.machines.pop(machine, None)

    def do_fail_boots(self, number: str) -> None:
        self.world.cloud.failing = int(number)

    def do_slow_boots(self, factor: str, word: str, seconds: str) -> None:
        """Boots that begin meanwhile take that many times as long."""
        self._for_a_while(self.world, "boot_factor", seconds, float(factor))

    def do_poll_storm(self, factor: str, word: str, seconds: str) -> None:
        """Users poll that many times as often."""
        self._for_a_while(self.world, "poll_factor", seconds, int(factor))

    def do_duplicate_heartbeats(self, share: str, word: str, seconds: str, when: str = "") -> None:
        """Duplicates of that share of heartbeats arrive 1 to 25 s late, or at the next election."""
        self.world.duplicates_to_next_leader = when == "to_next_leader"
        self._for_a_while(self.world, "duplicated_heartbeat_share", seconds, float(share))

    def do_repeat_commands(self, share: str, word: str, seconds: str, when: str = "later") -> None:
        """That share of executed direct commands arrives again."""
        self.world.repeat_time = RepeatTime(when)
        self._for_a_while(self.world, "repeated_command_share", seconds, float(share))

    def do_deliver_repeats(self) -> None:
        """The commands that are held to be repeated on request arrive again."""
        self.world.deliver_repeats()

    def do_cancel_running(self, number: str, word: str = "hang", seconds: str = "0") -> None:
        """Users cancel so many running jobs; machines that run them hang for a while."""
        world = self.world
        running = [(w, t.rpartition("/")[0]) for w in world.workers.values() for t in w.on_machine()]
        jobs = sorted({job for _, job in running if world.observed_status.get(job) != "cancelled"})
        chosen = world.rng.sample(jobs, min(int(number), len(jobs)))
        for job in chosen:
            world.after(world.rng.uniform(0.0, 0.2), lambda job=job: world.cancel(job))  # type: ignore[misc]
        if float(seconds):
            for name in sorted({worker.name for worker, job in running if job in chosen})[:8]:
                self.do_fault("hang", name, "for", seconds)

    def do_cancel_on_completion(self, share: str, word: str, seconds: str) -> None:
        """That share of the jobs is cancelled at the moment of completion."""
        self._for_a_while(self.world, "cancelled_on_completion_share", seconds, float(share))

    def do_poll_all_nodes(self, word: str, seconds: str) -> None:
        """After each response users poll all nodes at once and repeat the submission."""
        self._for_a_while(self.world, "polls_all_nodes", seconds)

    def do_invalid_requests(self, word: str, seconds: str) -> None:
        """Once a second users repeat submissions, cancel completed jobs and send invalid requests."""
        for number in range(int(float(seconds))):
            self.world.after(float(number), self.world.send_invalid_requests)

    def do_check_liveness(self) -> None:
        """All faults are over: rules for liveness are checked from now on."""
        self.world.liveness_checked_from = self.world.now

    def _expect(self, holds: bool, text: str) -> None:
        if not holds:
            self.failures.append(f"at {self.world.now:.1f}: {text}")

    def do_expect(self, what: str, *words: str) -> None:
        getattr(self, f"_expect_{what}")(*words)

    def _expect_status(self, job_id: str, status: str) -> None:
        told = self.world.observed_status.get(job_id)
        self._expect(told == status, f"{job_id} is {told}")

    def _expect_running(self, job_id: str, number: str) -> None:
        tasks = [task for worker in self.world.workers.values() for task in worker.on_machine()]
        up = {task for task in tasks if task.startswith(job_id + "/")}
        self._expect(len(up) == int(number), f"{job_id} has {len(up)} running tasks")

    def _expect_attempts(self, job_id: str, number: str) -> None:
        """Attempts of a gang in which all tasks started."""
        attempts = self.world.gangs.starts.get(job_id, 0)
        self._expect(attempts == int(number), f"{job_id} started {attempts} times")

    def _expect_checkpointed(self, job_id: str, least: str) -> None:
        """At least so many seconds of a gang's work are saved."""
        saved = self.world.gangs.saved.get(job_id, 0.0)
        self._expect(saved >= float(least), f"{job_id} has saved {saved:.1f} s")

    def _starts(self, job_id: str) -> list[int]:
        """How often each task of a job was started."""
        return [number for task, number in self.world.starts.items() if task.startswith(job_id + "/")]

    def _expect_starts(self, job_id: str, most: str) -> None:
        starts = max(self._starts(job_id), default=0)
        self._expect(starts <= int(most), f"a task of {job_id} started {starts} times")

    def _expect_total_starts(self, job_id: str, most: str) -> None:
        """The number of starts of all tasks of a job."""
        starts = sum(self._starts(job_id))
        self._expect(starts <= int(most), f"tasks of {job_id} started {starts} times")

    def _expect_launched(self, most: str) -> None:
        launched = sum(len(names) for names in self.world.cloud.launches.values())
        self._expect(launched <= int(most), f"{launched} machines were launched")

    def _expect_billed(self, least: str, most: str) -> None:
        held = len(self.world.cloud.machines)
        self._expect(int(least) <= held <= int(most), f"{held} machines are paid for")

    def _expect_deleted(self, machine: str) -> None:
        self._expect(machine not in self.world.workers, f"{machine} was not deleted")

    def _expect_machines(self, least: str, most: str) -> None:
        number = len(self.world.workers)
        self._expect(int(least) <= number <= int(most), f"{number} machines")

    def _expect_zone(self, job_id: str, expected: str) -> None:
        workers = self.world.workers.values()
        zones = {worker.zone for worker in workers for task in worker.on_machine() if task.startswith(job_id)}
        self._expect(zones == set(expected.split(",")), f"{job_id} is in {zones}")

    def _expect_work(self, name: str, ratio: str, each: str) -> None:
        """At most so many calls of one kind for each call of another."""
        count, of = self.world.work[name], self.world.work[each]
        self._expect(count <= float(ratio) * of, f"{count} {name} for {of} {each}")

    def _expect_relayed(self, least: str) -> None:
        share = self.world.work["relayed"] / max(1, self.world.work["reports"])
        self._expect(share >= float(least), f"{share:.2f} of all heartbeats were relayed")

    def _expect_lost_leases(self, most: str) -> None:
        lost = [worker.name for worker in self.world.workers.values() if worker.incarnation > 1]
        self._expect(len(lost) <= int(most), f"lost their leases: {', '.join(lost)}")

    def _expect_terms(self, most: str) -> None:
        # Each term reserves its fencing tokens once, or again where it has used them all.
        reservations = -(-self.world.state.keys[FENCING_TOKEN_KEY][0]["baton"] // self._fencing_tokens)
        self._expect(reservations <= int(most), f"{reservations} terms")

    def _expect_settled(self) -> None:
        for text in self.world.settled():
            self._expect(False, text)

    def _expect_leader(self, word: str) -> None:
        self._expect((self.world.leader() is not None) == (word == "yes"), "leader")


def _next_limits(head: dict[str, str]) -> AnnouncedStateLimits | None:
    if "next_txn_ops" not in head:
        return None
    return AnnouncedStateLimits(txn_ops=int(head["next_txn_ops"]), value_kb=float(head["next_value_kb"]))


def _wait_objectives(text: str) -> list[Objective]:
    """`CLASS:SECONDS,...`: within which time the tasks of a class should start."""
    pairs = (entry.split(":") for entry in text.split(",") if entry)
    return [Objective("wait", job_class=name, within_s=float(seconds)) for name, seconds in pairs]


def _value(text: str) -> object:
    if text in ("true", "false"):
        return text == "true"
    if text.replace(".", "", 1).isdigit():
        return float(text) if "." in text else int(text)
    return text.split(",") if "," in text else text


def variants(path: Path) -> list[tuple[str, str]]:
    """The texts of a scenario file, with their names: one for each value of its `each` line."""
    text = path.read_text()
    words = next((line.split() for line in text.splitlines() if line.startswith("each ")), None)
    if words is None:
        return [(path.stem, text)]
    lines = [line for line in text.splitlines() if not line.startswith("each ")]
    return [(f"{path.stem}-{value}", "\n".join(lines).replace(words[1], value)) for value in words[2:]]


def play(text: str, seed: int) -> list[str]:
    """Run a scenario; violated rules and failed expectations, a line each."""
    scenario = Scenario(text, seed)
    scenario.play()
    return scenario.world.violations + scenario.failures
