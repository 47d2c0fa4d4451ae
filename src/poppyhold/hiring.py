"""The cloud's side of the fleet: hires, the list, machines that are lost, idle or unwanted."""

from __future__ import annotations

import logging
import math
from collections import Counter
from collections.abc import Callable, Iterable

import msgspec

from poppyhold.attempts import Attempts
from poppyhold.context import OK, REFUSED, CommitRank, Context
from poppyhold.fleet import NOTHING, Attempt, Machine, Room, how_many, room_of
from poppyhold.messages import HireRequest, Listed, convert
from poppyhold.packing import Packing
from poppyhold.placement import Quotas
from poppyhold.provisioning import Arrivals, Demand, Provisioning, Purchase, Space, demand_of, space_of
from poppyhold.records import HireRecord
from poppyhold.store import HIRE, MACHINE, Data, put, remove, stored_bytes

log = logging.getLogger(__name__)

DELETE_LIMIT = 100
# Names in a line of the log.
_NAMED = 8
# A job that failed so often is most likely at fault itself: no machine is rented for it.
_HOPELESS_FAILURES = 4
# A job that fails on no more machines than this may be sound.
_FEW_MACHINES = 2
# Machines of one zone that must all be silent to take the zone for cut off; fewer may have died together.
_FEWEST_OF_A_ZONE = 3
# Silence of such a zone behind which its machines are given up, as a multiple of `cancel_s`.
_ZONE_PATIENCE = 8
# A boot takes up to so many times the usual, as PROTOCOL says; what takes longer may take several times as
# long, and is not waited for.
_LATE_BOOTS = 1.5


class Hire(msgspec.Struct, eq=False):
    """A rental request, durable under its name before it is sent."""

    name: str
    machine_type: str
    zone: str
    spot: bool
    number: int
    machines: list[str] | None = None
    busy: bool = False
    retry_at: float = 0.0


class _Survey(msgspec.Struct, eq=False):
    """How many machines are up, heard and quiet, and those that are silent for too long."""

    up: int = 0
    heard: int = 0
    quiet: int = 0
    silent: list[Machine] = msgspec.field(default_factory=list)
    # By zone: machines that are up, and those of them that were heard lately.
    zones_up: Counter[str] = msgspec.field(default_factory=Counter)
    zones_heard: Counter[str] = msgspec.field(default_factory=Counter)

    def silent_zones(self) -> set[str]:
        """Zones whose machines are all silent: most likely they are cut off, and come back together."""
        return {
            zone
            for zone, up in self.zones_up.items()
            if up >= _FEWEST_OF_A_ZONE and not self.zones_heard[zone]
        }


class Hiring:
    """Rents and returns machines."""

    def __init__(
        self, ctx: Context, attempts: Attempts, quotas: Quotas, on_gone: Callable[[Machine], None]
    ) -> None:
        self._ctx, self._attempts, self._quotas, self._on_gone = ctx, attempts, quotas, on_gone
        self._options = ctx.options.provisioning
        self._provisioning = Provisioning(self._options)
        # The forecast looks back over a few leases, as far as the ratio of slots to leases says.
        self.arrivals = Arrivals(2 * ctx.times.slot_s)
        self._hires: dict[str, Hire] = {}
        self._deleting = False
        # Machines to be deleted that were not told of yet, by reason: hundreds go at one moment at times.
        self._marked_for_deletion: dict[str, list[str]] = {}
        # When many machines were silent last.
        self._many_quiet_at = float("-inf")
        self._next_at = ctx.clock() + ctx.times.report_s * 2
        self._needed: dict[str, float] = {}

    # -- hires -------------------------------------------------------------------------------------

    def load_hire(self, name: str, data: Data) -> None:
        """A hire that an earlier leader made durable: repeat it if its machines aren't known."""
        record = convert(data, HireRecord)
        hire = Hire(name, record.machine_type, record.zone, record.spot, record.number, record.machines)
        self._hires[name] = hire
        if hire.machines is not None:
            self._expect(hire)

    def _buy(self, purchase: Purchase) -> None:
        name = f"r-{self._ctx.number()}"
        hire = Hire(name, purchase.machine_type, purchase.zone, purchase.spot, purchase.number, busy=True)
        log.info("hire %s: %s", name, purchase)
        self._hires[name] = hire

        def durable(done: bool) -> None:
            if done:
                self._send(hire)
            else:
                self._hires.pop(name, None)

        # Machines boot for longer than anything else takes: behind the plans of a first backlog the first
        # requests of a fleet that began small waited for eleven seconds.
        self._ctx.edges.commit({}, [put(HIRE + name, self._data(hire))], durable, CommitRank.SOONEST)

    def _data(self, hire: Hire) -> Data:
        record = HireRecord(hire.machine_type, hire.zone, hire.spot, hire.number, hire.machines)
        data: Data = msgspec.to_builtins(record)
        if stored_bytes(data) <= self._ctx.settings.settings.state.lowest.value_bytes:
            return data
        # Without the names a next leader repeats the request, which rents nothing and names them again.
        nameless: Data = msgspec.to_builtins(msgspec.structs.replace(record, machines=None))
        return nameless

    def _send(self, hire: Hire) -> None:
        hire.busy = True
        request = HireRequest(hire.name, hire.machine_type, hire.zone, hire.spot, hire.number)

        def answered(outcome: str, names: list[str]) -> None:
            hire.busy = False
            now = self._ctx.clock()
            log.info("hire %s: %s, %d machines", hire.name, outcome, len(names))
            if outcome == OK:
                hire.machines = names
                self._ctx.edges.commit({}, [put(HIRE + hire.name, self._data(hire))], lambda done: None)
                self._expect(hire)
                if len(names) < hire.number:
                    self._refused(hire, now)
            elif outcome == REFUSED:
                # No capacity. If a copy of the request is carried out later after all, its machines
                # show up in the list and in reports, and are used or returned like any other.
                self._refused(hire, now)
                self._drop(hire)
            else:
                hire.retry_at = now + self._ctx.times.report_s * 2

        self._ctx.edges.hire(msgspec.to_builtins(request), answered)

    def _refused(self, hire: Hire, now: float) -> None:
        self._refuse(hire.machine_type, hire.zone, hire.spot, now + self._ctx.times.lease_s)

    def _refuse(self, machine_type: str, zone: str, spot: bool, until: float) -> None:
        """Don't ask for machines of a kind before a moment."""
        refused_until = self._provisioning.refused_until
        kind = (machine_type, zone, spot)
        refused_until[kind] = max(until, refused_until.get(kind, until))

    def _drop(self, hire: Hire) -> None:
        self._hires.pop(hire.name, None)
        self._ctx.edges.commit({}, [remove(HIRE + hire.name)], lambda done: None)

    def _expect(self, hire: Hire) -> None:
        """The machines of a hire are on their way."""
        machine_type = self._ctx.machine_types.get(hire.machine_type)
        now = self._ctx.clock()
        for name in hire.machines or []:
            if (
                machine_type is not None
                and name not in self._ctx.fleet.machines
                and name not in self._ctx.dead
            ):
                machine = Machine(name, machine_type, hire.zone, hire.spot, since=now)
                self._ctx.fleet.machines[name] = machine

    def _settle(self) -> None:
        """Hires whose machines have all reported, or are gone, need no record any more."""
        now = self._ctx.clock()
        for hire in list(self._hires.values()):
            if hire.machines is None:
                if not hire.busy and hire.retry_at <= now:
                    self._send(hire)
            elif all(self._settled(name) for name in hire.machines):
                self._drop(hire)

    def _settled(self, name: str) -> bool:
        machine = self._ctx.fleet.machines.get(name)
        return machine is None or machine.recorded

    # -- the list ----------------------------------------------------------------------------------

    def listed(self, entries: Iterable[Listed]) -> None:
        """Take what a list shows. That a machine is missing from it proves nothing."""
        ctx = self._ctx
        now = ctx.clock()
        lag = ctx.settings.settings.cloud.list_lag_s
        for name, at in list(ctx.dead.items()):
            if now - at > 40 * lag:
                del ctx.dead[name]
        present = set()
        for entry in entries:
            present.add(entry.name)
            self._take_entry(entry, now)
        for machine in list(ctx.fleet.machines.values()):
            seen_at = max(machine.since, machine.listed_at, machine.last_report)
            if machine.name not in present and not machine.deleting and now - seen_at > 3 * lag:
                self._not_listed(machine)

    def _take_entry(self, entry: Listed, now: float) -> None:
        """A machine is on the list."""
        machine = self._ctx.fleet.machines.get(entry.name)
        if machine is None:
            machine = self._found(entry, now)
            if machine is None:
                return
        else:
            machine.listed_at = now
        if entry.endpoint and not machine.endpoint:
            machine.endpoint = entry.endpoint
        if entry.status == "failed":
            self._mark_for_deletion(machine, "failed")
        elif not machine.up:
            machine.since = min(machine.since, now - entry.age_s)

    def _found(self, entry: Listed, now: float) -> Machine | None:
        """A machine that we did not know: a late hire, or one of an earlier leader."""
        ctx = self._ctx
        machine_type = ctx.machine_types.get(entry.machine_type)
        if machine_type is None or entry.name in ctx.dead:
            return None
        machine = Machine(entry.name, machine_type, entry.zone, entry.spot, since=now - entry.age_s)
        ctx.fleet.machines[entry.name] = machine
        ctx.dirty = True
        return machine

    def _not_listed(self, machine: Machine) -> None:
        """A machine that should be listed is not: an earlier leader returned it, most likely.

        If it never was up it holds no tasks, and if it does come up after all its reports bring it back.
        Otherwise that it is missing proves nothing; that it is deleted does. Until then what it may hold is
        charged to every team, and tasks of older jobs wait, up to the certain end of its last lease, with
        each leader anew.
        """
        if machine.up:
            self._mark_for_deletion(machine, "not listed")
        else:
            self._ctx.fleet.machines.pop(machine.name)

    # -- machines that must go -----------------------------------------------------------------------

    def watch(self) -> None:
        """Look after machines that are silent, that never came up, or that are to be deleted."""
        now = self._ctx.clock()
        survey = _Survey()
        for machine in self._ctx.fleet.machines.values():
            if machine.deleting:
                # The cloud may not answer for long; the end of a lease is proof too.
                if now - machine.last_report > self._ctx.times.lease_s:
                    self._attempts.expire(machine, now)
            elif machine.up or machine.name in self._attempts.unheard:
                self._survey(machine, survey, now)
            elif now - machine.since > self._provisioning.give_up_s(machine.machine_type):
                self._mark_for_deletion(machine, "never came up")
        self._judge_silence(survey, now)
        for machine in self._ctx.fleet.machines.values():
            gone = not machine.attempts and machine.name not in self._attempts.unheard
            if gone and (machine.leaving or machine.draining):
                self._mark_for_deletion(machine, "left")
        for why, names in self._marked_for_deletion.items():
            log.info("delete %d machines: %s: %s", len(names), why, ", ".join(names[:_NAMED]))
        self._marked_for_deletion.clear()
        self._delete()

    def _quiet_s(self, machine: Machine, now: float) -> float:
        """For how long a machine has been silent, as far as we could have heard it."""
        times, began = self._ctx.times, self._attempts.began_at
        if machine.heard or machine.name not in self._attempts.unheard:
            return now - max(machine.last_report, machine.up_at, began + times.report_s * 2)
        # It was up, and was asked when our term began: a sound worker answers that at once.
        return now - began + times.lost_s / 2

    def _is_quiet(self, quiet_s: float) -> bool:
        """Whether a machine counts among those that may be silent for one and the same reason.

        Those of earlier terms are asked as a term begins. They have the time to answer before they count, or
        all of them would, and a few that hang would keep older jobs waiting for twice as long.
        """
        times = self._ctx.times
        return quiet_s > times.lost_s / 2 + times.report_s / 2

    def _survey(self, machine: Machine, survey: _Survey, now: float) -> None:
        """Count a machine that should be heard, ask it if it is not, and end what it can't hold any more."""
        times = self._ctx.times
        heard = now - machine.last_report <= times.lost_s
        survey.up += 1
        survey.heard += heard
        survey.zones_up[machine.zone] += 1
        survey.zones_heard[machine.zone] += heard
        quiet_s = self._quiet_s(machine, now)
        survey.quiet += self._is_quiet(quiet_s)
        if quiet_s > times.silent_s / 2:
            self._attempts.probe(machine, now)
        if quiet_s > times.lost_s:
            if machine.taken_back_at is not None and now > machine.taken_back_at - times.lost_s:
                self._mark_for_deletion(machine, "recalled")
            else:
                survey.silent.append(machine)
        if quiet_s > times.lease_s:
            self._attempts.expire(machine, now)
        if len(machine.errors) > 1 and self._at_fault(machine):
            machine.leaving = True

    def _judge_silence(self, survey: _Survey, now: float) -> None:
        """Whether silent machines are lost, or cut off, or we are."""
        times, silent = self._ctx.times, survey.silent
        most_silent = len(silent) * 2 >= survey.up and len(silent) > 1
        if most_silent and self._lost_to_others(now) > 2 * survey.heard:
            # They try the other controllers: it is our own way to them that is broken. Where a zone is cut
            # off, half of all are silent too, and those that came to us passed the others on their way: with
            # each new leader resigning for that, nothing was started for the length of the cut.
            self._ctx.edges.resign("most workers are silent")
        if survey.quiet > max(1, survey.up // 4):
            # Those that fall silent with others count as soon as they might be missed: in a zone that is cut
            # off the first ones were deleted, up to a quarter of all, before the rest had been silent long
            # enough. And when it is back they don't all come at one moment.
            self._many_quiet_at = now
        silent_zones = survey.silent_zones()
        self._keep_out_of(silent_zones, now)
        for machine in silent:
            # A zone that is cut off comes back with all its machines: its tasks start elsewhere once its
            # leases are over, but machines are given up for good only a good while behind that.
            heard_at = max(machine.last_report, machine.up_at, self._attempts.began_at)
            if machine.zone in silent_zones:
                # Others in their place would be no more use there, and have to boot when the zone is back:
                # 39 machines were given up 20 s before that, and their tasks waited for 50 s more. Those
                # that are dead are listed as failed meanwhile.
                given_up = now - heard_at > _ZONE_PATIENCE * times.cancel_s
            else:
                given_up = now - self._many_quiet_at > times.lost_s or now - heard_at > 2 * times.cancel_s
            if given_up:
                self._mark_for_deletion(machine, "silent")

    def _keep_out_of(self, zones: set[str], now: float) -> None:
        """Rent nothing in zones that nothing is heard of: nobody could use it there."""
        for machine_type in self._ctx.machine_types.values():
            for zone in zones.intersection(machine_type.zones):
                for spot in (False, True):
                    self._refuse(machine_type.name, zone, spot, now + self._ctx.times.report_s)

    def _lost_to_others(self, now: float) -> int:
        """How many workers have turned to another controller since they reported here last.

        A copy of an old report is none that turned away. Who has just begun to lead has no reports to compare
        with, and gives them the time to come.
        """
        if now - self._attempts.began_at < self._ctx.times.lease_s:
            return 0
        machines = self._ctx.fleet.machines

        def newer(box: str, session: int, sequence: int) -> bool:
            machine = machines.get(box)
            return machine is not None and (session, sequence) > (machine.session, machine.sequence)

        passed_on = self._ctx.edges.passed_on()
        return max((sum(newer(*passed) for passed in there) for there in passed_on), default=0)

    def _mark_for_deletion(self, machine: Machine, why: str) -> None:
        """Delete a machine: from now on nothing starts on it, whether or not an answer comes soon."""
        if not machine.deleting:
            machine.deleting = True
            self._marked_for_deletion.setdefault(why, []).append(machine.name)

    def _at_fault(self, machine: Machine) -> bool:
        """Whether different jobs fail on it that do not fail elsewhere as well.

        A job with a mistake in it fails on every machine: two of those must not cost the whole fleet.
        """
        jobs = [self._ctx.fleet.jobs.get(job_id) for job_id in machine.errors]
        return sum(1 for job in jobs if job is not None and len(job.failed_on) <= _FEW_MACHINES) > 1

    def _delete(self) -> None:
        # Who is not sure to lead must not delete: workers that it misses may have gone to the next leader.
        if self._deleting or not self._ctx.edges.may_start():
            return
        names = [m.name for m in self._ctx.fleet.machines.values() if m.deleting][:DELETE_LIMIT]
        if not names:
            return
        self._deleting = True

        def deleted(done: bool) -> None:
            self._deleting = False
            if done:
                for name in names:
                    machine = self._ctx.fleet.machines.get(name)
                    if machine is not None:
                        self._gone(machine)

        self._ctx.edges.delete(names, deleted)

    def _gone(self, machine: Machine) -> None:
        recorded = machine.recorded or machine.record_asked
        self._attempts.gone(machine)
        self._on_gone(machine)
        if recorded:
            self._ctx.edges.commit({}, [remove(MACHINE + machine.name)], lambda done: None)

    # -- how many ------------------------------------------------------------------------------------

    def provide(self) -> None:
        """Rent what is missing, and return what is not needed."""
        ctx = self._ctx
        now = ctx.clock()
        self._settle()
        if now < self._next_at or not ctx.machine_types:
            return
        self._next_at = now + ctx.times.report_s
        spaces = self._spaces(now)
        if any(hire.busy for hire in self._hires.values()):
            # The cloud takes few requests: one round of hires at a time, with all that it lacks.
            return
        demands = self._demands(now)
        purchases = self._provisioning.decide(ctx.machine_types, spaces, demands, now)
        for purchase in purchases:
            self._buy(purchase)
        self._return(spaces, now)
        if not purchases:
            self._pack(spaces, now)

    def _pack(self, spaces: list[Space], now: float) -> None:
        """Empty little used machines, one replica at a time, when nothing waits for room."""
        ctx = self._ctx
        machines = ctx.fleet.machines
        if self._attempts.unheard or any(j.pending > 0 and not j.over for j in ctx.fleet.jobs.values()):
            return
        most = max(1, len(machines) // 16)

        def settled(attempt: Attempt) -> bool:
            # A start that is stopped soon was none to its user.
            return attempt.running_at is not None and now - attempt.running_at > 2 * ctx.times.cancel_s

        for machine in Packing(most, settled).choose(spaces, lambda m: m.usable(now, ctx.times.silent_s)):
            machine.draining = True
            log.info("empty %s: %d replicas", machine.name, len(machine.attempts))
        moving = {
            a.job.id for m in machines.values() for a in m.attempts.values() if a.stopping_at is not None
        }
        for machine in machines.values():
            if not machine.draining or machine.deleting:
                continue
            for attempt in machine.attempts.values():
                if attempt.stopping_at is None and attempt.job.service and attempt.job.id not in moving:
                    self._attempts.stop(attempt, 0.0, now)
                    break

    def _spaces(self, now: float) -> list[Space]:
        ctx = self._ctx
        spaces = []
        for machine in ctx.fleet.machines.values():
            late = not machine.up and now - machine.since > _LATE_BOOTS * machine.machine_type.boot_s
            gone = machine.deleting or machine.leaving or machine.draining
            if gone or machine.taken_back_at is not None or late:
                continue
            if machine.up and now - machine.last_report > ctx.times.silent_s and machine.heard:
                continue
            spaces.append(space_of(machine))
        for hire in self._hires.values():
            machine_type = ctx.machine_types.get(hire.machine_type)
            if hire.machines is None and machine_type is not None:
                spaces += [
                    Space(None, machine_type, hire.zone, hire.spot, room_of(machine_type))
                    for _ in range(hire.number)
                ]
        return spaces

    def _demands(self, now: float) -> list[Demand]:
        ctx = self._ctx
        demands = []
        left: dict[str, tuple[float, float]] = {}

        def within_limit(team: str, need: Room, tasks: int) -> int:
            # What a team's limit keeps from running needs no machine yet.
            if team not in left:
                left[team] = self._quotas.left(team, ctx.fleet.used.get(team, [0.0, 0.0]))
            cpus, gpus = left[team]
            most = how_many(need, (cpus, gpus, math.inf), tasks)
            left[team] = (cpus - most * need[0], gpus - most * need[1])
            return most

        for job in sorted(ctx.fleet.jobs.values(), key=lambda job: (job.rank, job.at)):
            if job.pending > 0 and not job.over and job.failures < _HOPELESS_FAILURES:
                most = within_limit(job.spec.team, job.need, job.pending)
                if most and (not job.gang or most == job.pending):
                    demands.append(demand_of(job, most))
        boots = [machine_type.boot_s for machine_type in ctx.machine_types.values()]
        ahead = sum(boots) / len(boots) + ctx.times.report_s
        for demand in self.arrivals.forecast(now, ahead, self._options.headroom):
            demand.tasks = within_limit(demand.spec.team, demand.need, demand.tasks)
            demands.append(demand)
        return demands

    def _return(self, spaces: list[Space], now: float) -> None:
        for space in spaces:
            machine = space.machine
            if machine is None:
                continue
            if space.used or machine.attempts or not machine.up or machine.name in self._attempts.unheard:
                self._needed[machine.name] = now
            elif (
                machine.used == NOTHING
                and machine.heard
                and now - self._needed.setdefault(machine.name, now)
                > self._provisioning.keep_s(machine.machine_type)
            ):
                self._mark_for_deletion(machine, "not needed")
                self._needed.pop(machine.name, None)
