"""Planner and pricing, compared with brute force on small cases."""

from __future__ import annotations

import itertools
import random

import pytest

import world
from poppyhold.durable.changes import Entry
from poppyhold.durable.keys import ACTIVE_JOB_PREFIX
from poppyhold.model.entities import Job, make_job
from poppyhold.model.resources import NO_RESOURCES, add_scaled, fits
from poppyhold.options import Design
from poppyhold.scale import jobs
from poppyhold.scheduling.ledger import Ledger
from poppyhold.scheduling.planner import Planner
from poppyhold.scheduling.pricing import Pricing, machine_shares, price_of
from poppyhold.settings import Team
from poppyhold.wire.user_messages import Submission, parse_submission

SLOT_S = 60.0


def submission(**changes: object) -> Submission:
    """A submission with default fields; ``changes`` replace fields."""
    return parse_submission(jobs.submission("job-000001", changes))


def make_planner(horizon: int, machines: int, units: int = 16) -> tuple[Planner, Ledger, Pricing]:
    """A planner for machines of four accelerators each, alternating between two zones."""
    ledger = Ledger(horizon)
    for number in range(machines):
        ledger.add_machine(f"m{number}", (16.0, 4.0, 64.0, 64_000.0), "ab"[number % 2], "type", False)
    pricing = Pricing(Design())
    return Planner(pricing, ledger, SLOT_S, units), ledger, pricing


def brute_force(job: Job, ledger: Ledger, pricing: Pricing, estimate_s: float) -> float | None:
    """The best payoff over every way to start the tasks, one slot and machine each."""
    part = estimate_s / SLOT_S
    need = add_scaled(NO_RESOURCES, job.task_resources, part)
    places = [(slot, name) for slot in range(ledger.horizon_slots) for name in ledger.machines]
    best: float | None = None
    for chosen in itertools.combinations_with_replacement(places, job.spec.tasks):
        cost = 0.0
        for slot, name in set(chosen):
            row = ledger.machines[name]
            booked = row.booked(slot)
            if not fits(add_scaled(booked, need, chosen.count((slot, name))), row.capacity):
                break
            cost += chosen.count((slot, name)) * price_of(need, pricing.unit_prices(booked, row.capacity))
        else:
            last = max(slot for slot, _ in chosen)
            end_at = estimate_s if last == 0 else (last + 1) * SLOT_S
            shares = machine_shares(job.task_resources, (16.0, 4.0, 64.0, 64_000.0)) * job.spec.tasks * part
            payoff = pricing.value(job, shares, end_at, SLOT_S) - cost
            best = payoff if best is None else max(best, payoff)
    return best


@pytest.mark.parametrize("seed", range(12))
def test_plan_has_the_best_payoff(seed: int) -> None:
    rng = random.Random(seed)
    planner, ledger, pricing = make_planner(horizon=3, machines=2)
    for name in ledger.machines:
        for slot in range(3):
            ledger.book(name, (4.0, 1.0, 10.0, 1.0), slot, slot, rng.randrange(4))
    due = rng.choice([None, 30.0, 90.0, 150.0])
    job = make_job(submission(chores=rng.randrange(1, 4), dueS=due), 1, 0.0)
    estimate = rng.choice([30.0, 60.0])
    expected = brute_force(job, ledger, pricing, estimate)
    plan = planner.plan(job, job.spec.tasks, estimate, now=0.0)
    if expected is None:
        assert plan is None
    else:
        assert plan is not None
        assert plan.payoff == pytest.approx(expected)
        assert sum(sum(machines.values()) for machines in plan.starts.values()) == job.spec.tasks


def test_price_runs_from_lowest_to_highest() -> None:
    pricing = Pricing(Design())
    assert pricing.price(0.0, 8.0) == pytest.approx(pricing.min_price)
    assert pricing.price(8.0, 8.0) == pytest.approx(pricing.max_price)
    assert pricing.price(4.0, 8.0) == pytest.approx((pricing.min_price * pricing.max_price) ** 0.5)


def test_full_machines_admit_nothing_and_nearly_full_ones_only_high_priority() -> None:
    planner, ledger, _ = make_planner(horizon=2, machines=1)
    ledger.book("m0", (4.0, 1.0, 10.0, 1.0), 0, 1, 3)
    low = planner.plan(make_job(submission(rank="best_effort", chores=1), 1, 0.0), 1, 60.0, 0.0)
    high = planner.plan(make_job(submission(rank="critical", chores=1), 1, 0.0), 1, 60.0, 0.0)
    assert low is not None
    assert low.payoff < 0
    assert high is not None
    assert high.payoff > 0
    ledger.book("m0", (4.0, 1.0, 10.0, 1.0), 0, 1, 1)
    assert planner.plan(make_job(submission(rank="critical", chores=1), 1, 0.0), 1, 60.0, 0.0) is None


def test_apart_keeps_half_of_the_tasks_out_of_a_zone() -> None:
    planner, ledger, _ = make_planner(horizon=2, machines=3)
    plan = planner.plan(make_job(submission(chores=8, apart=True), 1, 0.0), 8, 60.0, 0.0)
    assert plan is not None
    for zones in plan.tasks_by_zone(ledger).values():
        assert max(zones.values()) <= 4


def test_large_jobs_are_planned_in_units() -> None:
    planner, _, _ = make_planner(horizon=16, machines=4)
    job = make_job(submission(chores=200), 1, 0.0)
    plan = planner.plan(job, 200, 60.0, 0.0)
    assert plan is not None
    assert sum(sum(machines.values()) for machines in plan.starts.values()) == 200
    assert len(plan.starts) >= 200 // 16


def test_dispatch_resumes_where_the_time_budget_ended() -> None:
    # Each reading advances the clock: every cycle exceeds its time budget after one or two jobs.
    fleet = world.World(1, 10.0, 30.0, [Team("alpha")])
    for _ in range(4):
        fleet.add_worker(fleet.cloud.add("large", "a", False, "running"))
    fleet.run(3.0)
    leader = fleet.leader()
    assert leader is not None
    assert leader.leader_term is not None
    dispatcher = leader.leader_term.controller.dispatcher
    advancing_clock = itertools.count(fleet.now, 0.02)
    started: list[str] = []
    dispatcher._ctx.clock = lambda: next(advancing_clock)
    dispatcher._start_unplanned = lambda cycle, job, reserved: started.append(job.id)  # type: ignore[method-assign]
    for number in range(1, 7):
        fleet.submit(jobs.submission(f"job-{number:06d}", {}))
        key = f"{ACTIVE_JOB_PREFIX}job-{number:06d}"
        leader.leader_term.controller.handle_job_accepted(Entry(key, *fleet.state.keys[key][:2]))
    for job in dispatcher._ctx.fleet.jobs.values():
        job.plan_durable = True
        job.admitted = False
    for _ in range(8):
        dispatcher.dispatch(True)
    assert set(started) == {f"job-{number:06d}" for number in range(1, 7)}
