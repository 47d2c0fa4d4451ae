"""Random scenarios of overlapping faults, generated from a seed.

`python tests/mix.py FIRST COUNT [ZONES [RELAYS [repeated]]]` runs more of them than the tests do, and prints
those that violate a rule. ZONES are letters, by default `ab`; with `abc` each zone has a controller, and two
may be partitioned. RELAYS is `off`, or `forced` for relayed heartbeats. With `repeated`, direct commands that
were executed arrive again.
"""

from __future__ import annotations

import random
import sys
from collections.abc import Iterator

# All faults have ended by the first time; by the second one all jobs have to be settled.
FAULTS_END_S, SCENARIO_END_S = 140.0, 320.0
# With more zones than this, two can be partitioned that both reach a third; the share of overlaps with that.
_TWO_ZONES, _PARTITION_SHARE = 2, 0.6
# Lengths of command lines that name no zones, and no relays.
_ARGS_WITHOUT_ZONES = 3
_ARGS_WITHOUT_RELAYS = 4


def _fault(rng: random.Random, at: float, zones: str) -> str:
    """A single fault."""
    short, long = rng.uniform(1.0, 8.0), min(rng.uniform(8.0, 48.0), FAULTS_END_S - at)
    machine = f"vm-{rng.randrange(1, 9):06d}"
    nodes = rng.choice(["leader", "leader", "others", "all", str(rng.randrange(3))])
    share = rng.choice([0.1, 0.3, 0.6])
    kind = rng.choice(["hang", "hold", "delay", "drop_inbound", "drop_responses", "drop_heartbeats"])
    return rng.choice(
        [
            *([f"partition {_pair(rng, zones)} for {long:.1f}"] * 3 if len(zones) > _TWO_ZONES else []),
            f"crash {nodes} for {rng.choice([0.3, 1.0, short, long / 2]):.2f}",
            f"rolling_restart {rng.uniform(1.0, 12.0):.1f}",
            f"cut_state leader for {long:.1f}",
            f"isolate leader for {long:.1f}",
            f"cut_workers {nodes} for {short:.1f}",
            f"freeze leader for {rng.choice([short, long / 2]):.1f}",
            f"outage state for {long:.1f}",
            f"outage cloud for {long:.1f}",
            f"isolate_zone {rng.choice(zones)} for {long:.1f}",
            f"delay_commits {share} for {long:.1f}",
            f"drop_commit_responses {share} for {long:.1f}",
            f"duplicate_heartbeats {share} for {long:.1f}",
            f"duplicate_heartbeats 1.0 for {long:.1f} to_next_leader",
            f"cancel_running {rng.randrange(1, 5)} hang {rng.choice([0.0, 6.0, 9.0])}",
            f"cancel_on_completion 0.5 for {long:.1f}",
            f"poll_all_nodes for {long:.1f}",
            f"invalid_requests for {short:.1f}",
            f"fault {kind} {machine} for {long:.1f}",
            (
                f"fault {rng.choice(['hold', 'drop_inbound', 'drop_responses', 'drop_heartbeats'])} all "
                f"for {short:.1f}"
            ),
            f"kill_machine {machine}",
            f"reclaim {machine} 20 {rng.uniform(10.0, 25.0):.1f}",
            f"fail_boots {rng.randrange(1, 3)}",
            f"lose_launch_responses {rng.randrange(1, 3)}",
            f"lose_commit_responses {nodes} {rng.randrange(1, 4)}",
        ]
    )


def _pair(rng: random.Random, zones: str) -> str:
    """Two of the zones."""
    return ",".join(rng.sample(zones, 2))


def _faults_in_partition(rng: random.Random, zones: str, away: float) -> list[tuple[float, str]]:
    """A partition of two zones, and other faults at critical moments of it."""
    soon, cancel = (
        rng.uniform(0.0, 4.0),
        f"cancel_running {rng.randrange(1, 5)} hang {rng.choice([0.0, 9.0])}",
    )
    partition = (0.0, f"partition {_pair(rng, zones)} for {away:.1f}")
    return rng.choice(
        [
            [partition, (soon, cancel), (soon + 4, cancel)],
            [partition, (soon, "crash leader for 3"), (soon + 1, cancel)],
            [partition, (soon + 2, "crash all for 4"), (soon + 3, cancel)],
            [partition, (soon, cancel), (soon + 1, f"outage state for {away:.1f}")],
            [partition, (soon, cancel), (soon + 6, "cut_state leader for 12")],
            [
                (0.0, f"isolate_zone {rng.choice(zones)} for {away / 2:.1f}"),
                (away / 3, partition[1]),
                (away / 3 + 1, cancel),
            ],
            [partition, (soon, cancel), (soon + 1, "isolate leader for 14")],
            [(0.0, "fault delay all for 3"), (0.5, partition[1]), (1.0, cancel)],
            [(0.0, "delay_commits 0.5 for 20"), partition, (soon, cancel)],
        ]
    )


def _overlapping_faults(
    rng: random.Random, at: float, cancel_s: float, zones: str
) -> list[tuple[float, str]]:
    """Faults that overlap, each at a critical moment of the others."""
    machine = f"vm-{rng.randrange(1, 5):06d}"
    soon, few = rng.uniform(0.0, 1.5), rng.randrange(1, 5)
    hang = rng.choice([0.0, 6.0, 9.0])
    away = min(cancel_s + rng.uniform(2.0, 12.0), FAULTS_END_S - at - 3.0)
    cancel = f"cancel_running {few} hang {hang}"
    if len(zones) > _TWO_ZONES and rng.random() < _PARTITION_SHARE:
        return _faults_in_partition(rng, zones, away)
    return rng.choice(
        [
            [
                (0.0, f"cut_state leader for {soon + 14:.1f}"),
                (soon, cancel),
                (soon + 1, f"outage state for {away}"),
            ],
            [
                (0.0, cancel),
                (soon / 20, f"cut_state leader for {away:.1f}"),
                (1.0, f"outage state for {away:.1f}"),
            ],
            [(0.0, f"isolate leader for {away:.1f}"), (soon, cancel), (soon + 5, cancel)],
            [
                (0.0, f"isolate_zone {rng.choice(zones)} for {away:.1f}"),
                (soon, cancel),
                (soon + 3, "crash leader for 3"),
            ],
            [(0.0, cancel), (soon / 10, f"isolate_zone {rng.choice(zones)} for {away:.1f}")],
            [(0.0, "fault delay all for 2"), (0.3, cancel), (soon, "crash leader for 1")],
            [(0.0, "fault drop_responses all for 4"), (soon, "crash leader for 4"), (soon + 1, cancel)],
            [(0.0, f"fault hold {machine} for 20"), (soon, cancel), (soon + 1, "crash leader for 5")],
            [(0.0, f"fault drop_inbound {machine} for 30"), (soon, "crash leader for 5"), (soon + 1, cancel)],
            [
                (0.0, f"fault drop_heartbeats all for {soon + 9:.1f}"),
                (soon, cancel),
                (soon, "crash leader for 0.4"),
            ],
            [
                (0.0, "duplicate_heartbeats 1.0 for 8 to_next_leader"),
                (6.0, "crash leader for 3"),
                (7.0, cancel),
            ],
            [
                (0.0, "delay_commits 0.5 for 30"),
                (soon, cancel),
                (9.0, "crash leader for 3"),
                (9 + soon, cancel),
            ],
            [(0.0, "drop_commit_responses 0.5 for 30"), (soon, cancel), (9.0, "crash leader for 3")],
            [(0.0, f"crash all for {rng.choice([0.4, 4.0, 11.0])}"), (soon - 1, cancel)],
            [(10.0 * k, "crash leader for 1") for k in range(5)] + [(soon, f"outage state for {away:.1f}")],
            [
                (0.0, "cancel_on_completion 1.0 for 20"),
                (0.0, "poll_all_nodes for 20"),
                (soon, "crash leader for 2"),
            ],
            [
                (0.0, f"fault hang {machine} for 9"),
                (soon, f"kill_machine {machine}"),
                (soon, "crash leader for 2"),
            ],
        ]
    )


def _job(rng: random.Random, zones: str) -> dict[str, str]:
    """The fields of a submission."""
    fields = {"crew": rng.choice(["alpha", "alpha", "beta"])}
    if rng.random() < 0.5:
        fields |= {"shape": "service", "rank": rng.choice(["critical", "high"])}
        tasks = rng.randrange(1, 4)
    else:
        fields |= {"shape": "array", "rank": rng.choice(["standard", "best_effort", "high"])}
        fields["guessS"] = str(rng.choice([2, 8, 20]))
        tasks = rng.choice([1, 1, 2, 3, 6])
        if rng.random() < 0.3:
            fields |= {"bookmarkS": "5", "stashS": "1"}
        fields["loaners"] = rng.choice(["true", "false"])
    fields["chores"] = str(tasks)
    kind = rng.random()
    if kind < 0.15:
        fields["samePlace"] = "true"
    elif kind < 0.3:
        fields["apart"] = "true"
    elif kind < 0.4:
        fields["paddock"] = rng.choice("ab")
    return fields


def _gang(rng: random.Random) -> dict[str, str]:
    """The fields of a gang's submission."""
    fields = {
        "shape": "group",
        "crew": rng.choice(["alpha", "beta"]),
        "rank": rng.choice(["standard", "high"]),
        # The smallest limit has capacity for it beside the replicas that are kept.
        "chores": str(rng.randrange(2, 6)),
        "guessS": str(rng.choice([4, 12, 25])),
        "samePlace": rng.choice(["true", "false"]),
        "loaners": rng.choice(["true", "false"]),
        "sizeGb": rng.choice(["1.0", "5.0", "30.0"]),
    }
    if rng.random() < 0.6:
        fields |= {"bookmarkS": "5", "stashS": rng.choice(["1", "3"])}
    return fields


def _events(rng: random.Random, cancel_s: float, zones: str) -> Iterator[tuple[float, str]]:
    replicas_kept = 0
    for number in range(rng.randrange(14, 30)):
        job_id, at, job = f"job-{number:06d}", rng.uniform(2.0, 110.0), _job(rng, zones)
        yield at, f"submit {job_id} {' '.join(f'{name}={value}' for name, value in job.items())}"
        if rng.random() < 0.25:
            yield at + rng.choice([0.0, rng.uniform(0.0, 30.0)]), f"cancel {job_id}"
        elif job["shape"] == "service":
            # Only a few are kept: with more of them a team's limit would never let arrays run.
            replicas_kept += int(job["chores"])
            if replicas_kept > 3:
                replicas_kept -= int(job["chores"])
                yield rng.uniform(at + 20.0, FAULTS_END_S), f"cancel {job_id}"
    for _ in range(rng.randrange(2, 4)):
        begin = rng.uniform(10.0, 80.0)
        for later, text in _overlapping_faults(rng, begin, cancel_s, zones):
            yield begin + later, text
    for _ in range(rng.randrange(2, 5)):
        at = rng.uniform(8.0, 100.0)
        yield at, _fault(rng, at, zones)
    # Last, so that a seed's other draws do not depend on gangs.
    for number in range(500, 500 + rng.randrange(2, 7)):
        job_id, at, gang = f"job-{number:06d}", rng.uniform(2.0, 110.0), _gang(rng)
        yield at, f"submit {job_id} {' '.join(f'{name}={value}' for name, value in gang.items())}"
        if rng.random() < 0.2:
            yield at + rng.choice([0.0, rng.uniform(0.0, 30.0)]), f"cancel {job_id}"


def _operations(rng: random.Random, zones: str) -> Iterator[tuple[float, str]]:
    """Late boots, frozen or isolated controllers, and poll storms.

    Beside them jobs of a team without a guarantee, a large array, jobs that always fail, and a machine on
    which every task fails.
    """
    at, long = rng.uniform(8.0, 60.0), rng.uniform(20.0, 70.0)
    nodes = rng.choice(["leader", "leader", "others", "all", str(rng.randrange(3))])
    soon = rng.uniform(2.5, 6.0)
    yield at, f"poll_storm 8 for {long:.1f}"
    yield from rng.choice(
        [
            [(at, f"freeze {nodes} for {long:.1f}")],
            # The second leader freezes during its election, or just after it.
            [
                (at, "freeze leader for 20"),
                (at + soon, "freeze leader for 8"),
                (at + soon, "cancel_running 3 hang 6"),
            ],
            [
                (at, "freeze leader for 12"),
                (at + 1, "cancel_running 3 hang 0"),
                (at + 2, "delay_commits 0.5 for 10"),
            ],
            [(at, "fail_boots 3"), (at, f"slow_boots 4.0 for {long:.1f}"), (at + soon, "crash leader for 3")],
            [
                (at, "lose_launch_responses 2"),
                (at, f"freeze leader for {soon:.1f}"),
                (at, "slow_boots 0.1 for 30"),
            ],
            [(at, f"cut_workers leader for {long:.1f} dropped"), (at + soon, "cancel_running 3 hang 6")],
            [(at, f"cut_workers leader for {long:.1f}"), (at + soon, "crash others for 2")],
            [(at, f"cut_peers {nodes} for {long:.1f}"), (at + soon, "freeze leader for 6")],
            [(at, f"isolate leader for {long:.1f}"), (at + soon, "freeze leader for 9")],
            [(at, f"cut_state leader for {long:.1f}"), (at + soon, "cancel_running 3 hang 0")],
            [(at, f"crash {nodes} for {min(long, 60.0):.1f}"), (at + soon, "freeze leader for 5")],
        ]
    )
    for number in range(600, 600 + rng.randrange(1, 4)):
        begin = rng.uniform(4.0, 90.0)
        fields = rng.choice(
            [
                f"shape=array chores={rng.randrange(1, 9)} rank=high",
                f"shape=service chores={rng.randrange(1, 4)} rank=standard",
                f"shape=group chores={rng.randrange(2, 5)} rank=standard",
            ]
        )
        yield begin, f"submit job-{number:06d} crew=beta mistake=true {fields}"
        yield rng.uniform(begin, FAULTS_END_S), f"cancel job-{number:06d}"
    if rng.random() < 0.5:
        yield rng.uniform(3.0, 60.0), f"fail_tasks_on vm-{rng.randrange(1, 5):06d}"
    for number in range(700, 700 + rng.randrange(0, 20)):
        unguaranteed = "crew=gamma rank=best_effort accelerators=0.0 cpus=1.0 sizeGb=0.1 guessS=8"
        yield rng.uniform(4.0, 90.0), f"submit job-{number:06d} {unguaranteed} loaners=true"
    if rng.random() < 0.5:
        yield (
            rng.uniform(4.0, 60.0),
            "submit job-000800 crew=gamma rank=best_effort chores=150 guessS=1 sizeGb=0.1",
        )


def _repeats(rng: random.Random) -> Iterator[tuple[float, str]]:
    """Direct commands that were executed arrive again, in two spells, one of which may end with a leader."""
    for _ in range(2):
        at = rng.uniform(2.0, 50.0)
        share, when = rng.choice([0.3, 1.0]), rng.choice(["later", "as_leader_ends"])
        yield at, f"repeat_commands {share} for {rng.uniform(10.0, 30.0):.1f} {when}"
    yield rng.uniform(20.0, 90.0), "crash leader for 2"


def random_scenario(seed: int, zones: str = "ab", relays: str = "off", repeats: bool = False) -> str:
    """The text of a scenario; each letter of ``zones`` names a zone.

    A seed's other draws do not depend on whether heartbeats are relayed, or direct commands repeated.
    """
    rng = random.Random(seed)
    cancel_s = rng.choice([22, 22, 30, 45])
    lines = [
        (
            f"world limit={rng.choice([8, 10, 14])} lease_s=10 cancel_s={cancel_s} zones={','.join(zones)} "
            f"relays={relays} unguaranteed=gamma"
        ),
        *(f"machines small {zone} on_demand {rng.randrange(2, 4)}" for zone in zones),
    ]
    lines += [
        f"capacity small {zone} {kind} {number}"
        for zone in zones
        for kind, number in (("on_demand", 12), ("spot", 4))
    ]
    events = [*_events(rng, cancel_s, zones), *_operations(rng, zones)]
    if repeats:
        events += _repeats(rng)
    lines += [f"at {at:.2f} {text}" for at, text in sorted(events)]
    return "\n".join(
        [*lines, f"at {FAULTS_END_S + 10} check_liveness", f"at {SCENARIO_END_S} expect settled", ""]
    )


def main() -> int:
    """Run random scenarios from the command line."""
    from scenario import Scenario

    first, count = int(sys.argv[1]), int(sys.argv[2])
    zones = sys.argv[3] if len(sys.argv) > _ARGS_WITHOUT_ZONES else "ab"
    relays = sys.argv[4] if len(sys.argv) > _ARGS_WITHOUT_RELAYS else "off"
    repeats = "repeated" in sys.argv[_ARGS_WITHOUT_RELAYS:]
    failed = 0
    for seed in range(first, first + count):
        scenario = Scenario(random_scenario(seed, zones, relays, repeats), seed)
        scenario.play()
        if scenario.world.violations or scenario.failures:
            failed += 1
            print(f"seed {seed}: {scenario.world.violations[:4]} {scenario.failures[:4]}")
    print(f"{count} scenarios from seed {first}: {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.path[:0] = ["src", "tests"]
    sys.exit(main())
