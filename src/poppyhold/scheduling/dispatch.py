"""Dispatch: every start of a task goes through a pass over the jobs that wait."""

from __future__ import annotations

from collections.abc import Collection

from poppyhold.execution.gangs import GangState
from poppyhold.execution.reconciliation import AttemptReconciler
from poppyhold.model.context import Context
from poppyhold.model.entities import Attempt, Job, JobPhase, Machine
from poppyhold.model.resources import NO_RESOURCES, Resources, add_scaled, max_copies
from poppyhold.scheduling.admission import Admission
from poppyhold.scheduling.free_capacity import FreeCapacityView
from poppyhold.scheduling.gang_placement import GangPlacement
from poppyhold.scheduling.placement import Choice, Placement, image_wait_s, may_use, zone_allows
from poppyhold.scheduling.quotas import Quotas
from poppyhold.scheduling.relocation import Relocation
from poppyhold.scheduling.search import Search

# Leases after which a job that has not begun is no longer passed over for more valuable ones. With twice as
# many, large arrays of a small fleet under overload began four minutes and more behind their submission.
_PATIENCE_LEASES = 6


def _room_for(job: Job, machine: Machine, reserved: dict[str, Resources]) -> int:
    """How many of the job's pending tasks fit on a machine now, beside what is reserved."""
    return max_copies(job.task_resources, machine.free_after_reservations(reserved), job.pending)


class Pass:
    """One pass over the jobs that wait. Room only gets less in it: who finds none, others like it won't.

    Without this, a full fleet of 200 machines was searched for every waiting task at every event, and
    reports were answered so late that leases ran out.
    """

    def __init__(self, machines: list[Machine], steady: list[Machine], extra: Resources) -> None:
        self.machines, self.steady, self.extra = machines, steady, extra
        self.zones = {machine.zone for machine in machines}
        self.hopeless: set[tuple[object, ...]] = set()
        # Teams whose limit is kept for a gang that has waited long.
        self.held_teams: set[str] = set()
        # Room by machine that is kept for such gangs.
        self.held: dict[str, Resources] = {}

    @staticmethod
    def claim(job: Job, limited: bool, reserved: bool) -> tuple[object, ...]:
        """All that decides whether there is a place for a task of a job, zones aside."""
        spec = job.spec
        machine_types = None if spec.machine_types is None else tuple(spec.machine_types)
        place = (job.task_resources, machine_types, spec.zone, spec.spot)
        return (*place, spec.team, job.priority, job.within_guarantee, limited, reserved)


class Rooms:
    """Free room on the machines that get our commands, and on all of them where some do not."""

    def __init__(self) -> None:
        self.steady, self._all = FreeCapacityView(), FreeCapacityView()
        self.views = [self.steady]

    def begin(self, here: Pass, reserved: dict[str, Resources]) -> None:
        """A new pass, or the part of one that leaves more room reserved."""
        self.steady.begin_cycle(here.steady, reserved)
        self.views = [self.steady]
        if len(here.steady) < len(here.machines):
            self._all.begin_cycle(here.machines, reserved)
            self.views.append(self._all)

    def refresh(self) -> None:
        """More was reserved."""
        for view in self.views:
            view.refresh_all()

    def changed(self, machine: Machine) -> None:
        """Something was started on a machine."""
        for view in self.views:
            view.refresh_machine(machine)


class Dispatcher:
    """Starts what plans or spare room allow."""

    def __init__(
        self, ctx: Context, attempts: AttemptReconciler, quotas: Quotas, admission: Admission
    ) -> None:
        self._ctx, self._reconciler, self._quotas, self._admission = ctx, attempts, quotas, admission
        # What users expect of a class: seconds within which its tasks should have started.
        aims = {
            objective.job_class: objective.within_s
            for objective in ctx.settings.settings.objectives
            if objective.kind == "wait" and objective.job_class is not None and objective.within_s is not None
        }
        self.placement = Placement(aims, self._loss)
        self._gang_placement = GangPlacement(self.placement)
        self._relocation = Relocation(
            admission.pricing.weights, ctx.durations, self.placement.meets_objective, ctx.clock
        )
        self._pass = Pass([], [], NO_RESOURCES)
        self._planned_rooms, self._unplanned_rooms = Rooms(), Rooms()
        self._rooms = self._planned_rooms
        # Jobs that passes which were broken off came to.
        self._looked_at: set[str] = set()

    def dispatch(self, all_reconciled: bool) -> None:
        """Start what may start now."""
        ctx = self._ctx
        now = ctx.clock()
        jobs = [
            job
            for job in ctx.fleet.jobs.values()
            if job.pending > 0 and job.phase is JobPhase.ACTIVE and job.retry_at <= now
        ]
        # An older job's tasks may run on a machine that has not been heard yet.
        ready = [job for job in jobs if job.plan_durable and (job.never_started or all_reconciled)]
        ready.sort(key=lambda job: self._urgency(job, now))
        waiting = [job for job in ready if not (job.admitted or job.failures.at_fault)]
        self._admission.reconsider(waiting, now)
        if not ready:
            return
        machines = [
            machine
            for machine in ctx.fleet.machines.values()
            if machine.is_schedulable(now, ctx.durations.silent_s)
        ]
        if not machines:
            return
        # Machines that did not get our commands lately, or may be at fault, come last.
        suspects = self._reconciler.failures.is_suspect
        steady = [
            machine for machine in machines if machine.unreliable_until <= now and not suspects(machine)
        ]
        self._pass = Pass(machines, steady, ctx.fleet.unaccounted_resources(self._reconciler.unreconciled))
        self.placement.begin_cycle(machines, [job for job in ctx.fleet.jobs.values() if job.active])
        self._gang_placement.begin_cycle(ctx.fleet.jobs.values())
        self._relocation.begin_cycle(self._pass.held)
        # A backlog that meets a thousand empty machines takes seconds: reports must not wait for it. The next
        # pass goes on with those that this one did not come to.
        budget_s = ctx.durations.heartbeat_interval_s / 16
        self._look_for_room(self._planned_rooms, self._pass.held)
        stop_at = ctx.clock() + budget_s
        ready.sort(key=lambda job: job.id in self._looked_at)
        for job in ready:
            if ctx.clock() <= stop_at:
                self._start_planned(job, now)
        reserved = self._reserved()
        self._look_for_room(self._unplanned_rooms, reserved)
        stop_at = ctx.clock() + budget_s
        for job in ready:
            if ctx.clock() > stop_at:
                ctx.scheduling_needed = True
                return
            self._looked_at.add(job.id)
            if job.pending > 0:
                self._start_unplanned(job, reserved)
        self._looked_at.clear()

    def _look_for_room(self, rooms: Rooms, reserved: dict[str, Resources]) -> None:
        """From now on, starts go by what is free beside this."""
        rooms.begin(self._pass, reserved)
        self._rooms = rooms

    def _start_planned(self, job: Job, now: float) -> None:
        """Start what the job's plan lets start by now."""
        if job.is_gang:
            # One that has waited long goes first like one with a plan.
            if self._waited_long(job, now) or (job.admitted and self._admission.cap(job) >= job.pending):
                self._start_gang(job, self._pass.held)
        elif job.admitted:
            self._start_some(job, self._admission.cap(job), self._pass.held, shared=True)

    def _start_unplanned(self, job: Job, reserved: dict[str, Resources]) -> None:
        """Start on room that no plan books now."""
        booked = bool(job.booked.get(self._admission.ledger.current_slot))
        own = self._admission.without_own(reserved, job) if booked else reserved
        if job.is_gang:
            self._start_gang(job, own)
        else:
            self._start_some(job, job.pending, own, shared=not booked)

    def _reserved(self) -> dict[str, Resources]:
        """Room that plans book now and have not used yet, and what is kept for gangs."""
        reserved = self._admission.booked_now()
        for name, room in self._pass.held.items():
            reserved[name] = add_scaled(reserved.get(name, NO_RESOURCES), room)
        return reserved

    def _waited_long(self, job: Job, now: float) -> bool:
        """Whether a job that has not begun is no longer passed over for others."""
        return (
            not job.active
            and not job.done
            and now - job.submitted_at > self._ctx.durations.lease_s * _PATIENCE_LEASES
        )

    def _urgency(self, job: Job, now: float) -> tuple[int, bool, int, float, float, str]:
        """Order of the jobs that wait: priority, guarantee, and then by what their value does.

        A job that can still meet its deadline loses value by waiting; one that can't has lost it already.
        Among those alike, the one with the least work left goes first: under overload that serves the most
        of them, where the most urgent first makes all of them late. One that has waited too long to begin
        goes first all the same, so that none starves.
        """
        spec = job.spec
        if job.is_service:
            return job.priority, not job.within_guarantee, 1, 0.0, job.submitted_at, job.id
        rest = max(0.0, self._admission.estimates.estimate_s(job) - job.saved_s())
        group = 1 if job.due_at is None or now + rest <= job.due_at else 2
        if self._waited_long(job, now):
            # By arrival: by least work, the largest of them would again come last.
            return job.priority, not job.within_guarantee, 0, 0.0, job.submitted_at, job.id
        work = rest * job.pending * (spec.accelerators or spec.cpus)
        return job.priority, not job.within_guarantee, group, work, job.submitted_at, job.id

    def _loss(self, victim: Attempt) -> float:
        """Seconds that are lost with an attempt: of its work, and of the wait for what takes its place."""
        job, boot = victim.job, victim.machine.machine_type.boot_s
        if job.is_service:
            # Somebody waits for a replica all the time; an array's task only at its end.
            return boot
        if job.is_gang:
            return boot + self._gang_loss(victim)
        if victim.running_at is None:
            return 0.0
        now = self._ctx.clock()
        ran = now - victim.running_at
        lost = ran % job.spec.checkpoint_s if job.spec.checkpoint_s > 0 else ran
        if job.due_at is not None:
            # Whom it makes late is stopped last, and who is late anyway has nothing more to lose.
            rest = max(
                0.0, self._admission.estimates.estimate_s(job) - job.progress.get(victim.index, 0.0) - ran
            )
            slack = job.due_at - now - rest
            if 0 <= slack < lost + self._ctx.durations.lease_s:
                lost += boot
        return lost

    def _gang_loss(self, victim: Attempt) -> float:
        """Seconds of work that all tasks of a gang lose with one of them."""
        job, now = victim.job, self._ctx.clock()
        if victim.running_at is None:
            return 0.0
        ran = now - victim.running_at
        if job.spec.checkpoint_s <= 0:
            return ran * job.spec.tasks
        silent_s = self._ctx.durations.silent_s
        # It saves its progress only if all of its machines can be told in time.
        reachable = all(now - mate.machine.last_heartbeat_at <= silent_s for mate in job.active.values())
        lost = min(ran, job.spec.save_s) if reachable else ran % job.spec.checkpoint_s
        return lost * job.spec.tasks

    def _start_some(self, job: Job, most: int, reserved: dict[str, Resources], shared: bool) -> None:
        """Start up to so many tasks beside reserved room; ``shared``: it is the same for all jobs."""
        here = self._pass
        used = self._ctx.fleet.used_by_team
        if job.spec.team in here.held_teams:
            return
        searches: list[Search] = []
        most = job.startable(most)
        while most > 0:
            index = job.next_pending()
            if index is None:
                return
            mine = used.get(job.spec.team, [0.0, 0.0])
            in_use = (mine[0] + here.extra[0], mine[1] + here.extra[1])
            limited = not self._quotas.allows(job.spec.team, in_use, job.task_resources)
            # Room that the job itself has booked is free for it alone; at the limit no free room counts.
            alike = shared or limited
            claim = here.claim(job, limited, bool(reserved) and not limited)
            if alike and claim in here.hopeless:
                return
            if limited:
                choice = self._within_limit(job, in_use)
            else:
                if not searches or job.spec.one_zone:
                    searches = self._searches(job, reserved)
                choices = (self._choose(job, search, reserved) for search in searches)
                choice = next((found for found in choices if found is not None), None)
            if choice is None:
                anywhere = not job.spec.one_zone and all(zone_allows(job, zone) for zone in here.zones)
                if alike and anywhere:
                    here.hopeless.add(claim)
                return
            most -= 1
            self._start(job, index, choice)
            self._rooms.changed(choice.machine)
            for search in searches:
                search.refresh_machine(choice.machine)

    def _searches(self, job: Job, reserved: dict[str, Resources]) -> list[Search]:
        """Where to look for places, in this order."""
        booked: set[str] = set()
        if reserved is not self._rooms.steady.reserved:
            booked = set(job.booked.get(self._admission.ledger.current_slot, ()))
        searches = []
        for view in self._rooms.views:
            zones = view.zones
            if job.spec.one_zone and not job.active:
                zones = {machine.zone for machine in self._home(job, view.machines.values(), reserved)}
            searches.append(Search(self.placement, job, view, reserved, booked, zones))
        return searches

    def _choose(self, job: Job, search: Search, reserved: dict[str, Resources]) -> Choice | None:
        """The best machine with room; else, or where its image would come too late, one that makes room."""
        choice = search.best()
        if self._ctx.clock() < job.may_preempt_at or job.failures.at_fault:
            return choice
        if choice is None:
            return search.best_preemption()
        wait = image_wait_s(choice.machine, job)
        if self.placement.meets_objective(job, wait):
            return choice
        return self._sooner(job, search, wait, reserved) or choice

    def _sooner(self, job: Job, search: Search, wait: float, reserved: dict[str, Resources]) -> Choice | None:
        """A machine that has the image, if making room there loses less than the wait elsewhere."""
        other = search.best_preemption(soon=True)
        if other is not None and not any(victim.job.is_service for victim in other.victims):
            saved = wait - image_wait_s(other.machine, job)
            if sum(self._loss(victim) for victim in other.victims) <= saved:
                return other
        made = self._relocation.relocate_for(job, wait, self._pass.steady, reserved)
        if made is not None:
            # Room was reserved for the replicas that move.
            self._rooms.refresh()
        return made

    def _within_limit(self, job: Job, in_use: tuple[float, float]) -> Choice | None:
        """At its team's limit, a job may still take the room of lower work of the team."""
        if job.failures.at_fault:
            return None
        for other in self._ctx.fleet.jobs.values():
            if other.spec.team == job.spec.team and any(
                attempt.stopping_at is not None for attempt in other.active.values()
            ):
                # One at a time: what is being stopped still counts, and would be made up for twice.
                return None
        owed = self._quotas.excess(job.spec.team, in_use, job.task_resources)
        places = self.placement.preemptions(job, self._pass.steady, owed)
        return next((place[2] for place in places if zone_allows(job, place[2].machine.zone)), None)

    @staticmethod
    def _home(job: Job, machines: Collection[Machine], reserved: dict[str, Resources]) -> list[Machine]:
        """The machines of the zone with the most room, for a job that has to stay in one."""
        rooms: dict[str, int] = {}
        for machine in machines:
            if may_use(job, machine):
                rooms[machine.zone] = rooms.get(machine.zone, 0) + _room_for(job, machine, reserved)
        best = max(rooms, key=lambda zone: (rooms[zone], zone), default=None)
        return [machine for machine in machines if machine.zone == best]

    def _start_gang(self, job: Job, reserved: dict[str, Resources]) -> None:
        """Start all pending tasks of a gang in one step, or none."""
        gangs = self._reconciler.gangs
        if not gangs.may_start(job):
            return
        within_limit = self._gang_within_limit(job)
        choices = self._gang_choices(job, reserved) if within_limit else None
        if choices is not None:
            for choice in choices:
                index = job.next_pending()
                if index is not None:
                    self._start(job, index, choice)
                    self._rooms.changed(choice.machine)
        elif gangs.state_of(job) is GangState.ASSEMBLING:
            gangs.abandon(job, "no room for a replacement", self._ctx.clock())
        elif self._waited_long(job, self._ctx.clock()) and not job.failures.at_fault:
            self._hold_for_gang(job, within_limit)

    def _gang_choices(self, job: Job, reserved: dict[str, Resources]) -> list[Choice] | None:
        """A machine for each pending task, if need be those that did not get our commands lately.

        Where all of the gang's room is not free, lower work makes room: for all of it, or none is stopped.
        """
        here = self._pass
        chosen = self._gang_placement.choose(job, here.steady, reserved)
        if chosen is None and len(here.steady) < len(here.machines):
            chosen = self._gang_placement.choose(job, here.machines, reserved)
        if chosen is not None:
            return [Choice(machine) for machine in chosen]
        if job.failures.at_fault:
            return None
        return self._gang_placement.preempt_for(job, here.steady, reserved)

    def _gang_within_limit(self, job: Job) -> bool:
        """Whether all pending tasks together stay within the team's limit."""
        used = self._ctx.fleet.used_by_team.get(job.spec.team, [0.0, 0.0])
        extra = self._pass.extra
        in_use = (used[0] + extra[0], used[1] + extra[1])
        return self._quotas.allows(
            job.spec.team, in_use, add_scaled(NO_RESOURCES, job.task_resources, job.pending)
        )

    def _hold_for_gang(self, job: Job, within_limit: bool) -> None:
        """Keep freed room for a gang that has waited long, for a while at a time.

        Smaller jobs would take each room that is released, and the gang would never find enough at once. Held
        without end, a gang that nothing can serve would block all others.
        """
        waited_s = self._ctx.clock() - job.submitted_at - self._ctx.durations.lease_s * _PATIENCE_LEASES
        hold_s = self._ctx.settings.settings.workers.gang_wait_s
        if int(waited_s / hold_s) % 2:
            return
        held = self._pass.held
        if not within_limit:
            self._pass.held_teams.add(job.spec.team)
            return
        machines = [machine for machine in self._pass.machines if may_use(job, machine)]
        if job.spec.one_zone:
            machines = self._home(job, machines, held)
        for machine in machines:
            room = _room_for(job, machine, held)
            if room:
                held[machine.name] = add_scaled(
                    held.get(machine.name, NO_RESOURCES), job.task_resources, room
                )
        self._rooms.refresh()

    def _start(self, job: Job, index: int, choice: Choice) -> None:
        if self._await_gangs(job, choice):
            return
        attempt = self._reconciler.start(job, index, choice.machine, choice.victims)
        self.placement.record_preemptions(choice)
        self._admission.use_booking(job, choice.machine.name)
        self._admission.book(attempt, 1.0)

    def _await_gangs(self, job: Job, choice: Choice) -> bool:
        """Whether a start has to wait for gangs among its victims, which are stopped whole and save first."""
        gangs = {victim.job.id: victim.job for victim in choice.victims if victim.job.is_gang}
        if not gangs:
            return False
        now = self._ctx.clock()
        for gang in gangs.values():
            self._reconciler.gangs.stop(gang, now)
        saving_s = max(gang.spec.save_s for gang in gangs.values())
        job.may_preempt_at = now + saving_s + 2 * self._ctx.durations.heartbeat_interval_s
        return True
