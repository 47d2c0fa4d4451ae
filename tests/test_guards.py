"""Replaces guards one by one: each time a scenario must violate a rule or an expectation."""

from __future__ import annotations

import pytest

from guards import Guard, violations_without
from poppyhold.cluster.authority import RenewalAuthority
from poppyhold.cluster.cancellations import Cancellations
from poppyhold.cluster.connectivity import Connectivity
from poppyhold.cluster.delegated_renewals import DelegatedRenewals
from poppyhold.cluster.lease_delegation import DelegationTracker
from poppyhold.cluster.redirect_backoff import RedirectBackoff
from poppyhold.execution.completions import Completions
from poppyhold.execution.failures import FailureTracker
from poppyhold.execution.gangs import Gangs, GangState
from poppyhold.execution.heartbeat_commands import HeartbeatCommands
from poppyhold.execution.lease_expiry import LeaseExpiry
from poppyhold.execution.lease_renewal import LeaseRenewal
from poppyhold.execution.reconciliation import AttemptReconciler
from poppyhold.execution.start_fencing import StartFencing
from poppyhold.machines.boot_tracker import BootTracker
from poppyhold.machines.launches import Launches
from poppyhold.machines.machine_monitor import FleetSurvey, MachineMonitor
from poppyhold.model.entities import TASK_DONE, Job, Machine
from poppyhold.model.fleet import Fleet
from poppyhold.model.resources import NO_RESOURCES, Resources, max_copies
from poppyhold.model.start_grant import StartGrant
from poppyhold.node.controller import Controller
from poppyhold.node.job_lifecycle import JobLifecycle
from poppyhold.node.machine_lifecycle import MachineLifecycle
from poppyhold.scheduling.cycle_state import CycleState
from poppyhold.scheduling.gang_placement import GangPlacement
from poppyhold.scheduling.gang_scheduler import GangScheduler
from poppyhold.scheduling.quotas import Quotas
from poppyhold.scheduling.relocation import Relocation
from poppyhold.scheduling.task_starter import TaskStarter
from poppyhold.wire.worker_messages import Heartbeat
from scenario import FOLDER


def _always(*_: object) -> bool:
    return True


def _never(*_: object) -> None:
    return None


def _never_renewed(*_: object) -> float:
    return float("-inf")


def _no_machines(*_: object) -> list[str]:
    return []


def _lowest_fencing_token(self: StartFencing, machine: Machine) -> int:
    """Every message of a term carries its lowest token."""
    return self._ctx.term_fencing_token


def _count_all_misdirected(self: MachineMonitor, now: float) -> int:
    return max(map(len, self._ctx.outbound.misdirected_workers()), default=0)


def _unlimited_moves(*_: object) -> int:
    return 99


def _zero_seconds(*_: object) -> float:
    return 0.0


def _no_zones(*_: object) -> set[str]:
    return set()


def _no_resources(*_: object) -> Resources:
    return NO_RESOURCES


def _empty_summary(*_: object) -> tuple[list[object], int]:
    return [], 0


def _treat_as_complete(self: RenewalAuthority, member: str, asked: float, bound: int) -> None:
    """Every response of a controller counts as complete."""
    self._peer_watermarks[member] = asked


def _ignore_launch(self: Launches, name: str, data: object) -> None:
    """Launches of earlier leaders are ignored."""


def _unique_key(*_: object) -> object:
    """No scheduling key equals another: a cycle caches nothing."""
    return object()


def _complete_task_alone(self: Job, index: int) -> bool:
    """A completed task does not complete the rest of its gang."""
    news = self.states[index] != TASK_DONE
    self.states[index] = TASK_DONE
    self.done += news
    return news


def _only_waiting_for_capacity(self: Gangs, job: Job) -> bool:
    return self.state_of(job) is GangState.WAITING_FOR_CAPACITY


def _stop_without_grace(self: Gangs, job: Job, now: float, grace_s: float | None = None) -> None:
    """Gangs are stopped without time to save."""
    for attempt in list(job.active.values()):
        self._stop_task(attempt, 0.0, now)


def _start_one_by_one(
    self: GangPlacement, job: Job, machines: list[Machine], reserved: dict[str, Resources]
) -> list[Machine] | None:
    """Tasks of a gang start as soon as there is capacity for one."""
    return next(([machine] for machine in machines if max_copies(job.task_resources, machine.free, 1)), None)


# Scenario that must fail, and the guard that is replaced.
GUARDS = [
    Guard("delayed_start_after_cancel", StartFencing, "reserve_fencing_tokens", _always),
    Guard("delayed_start_after_cancel", StartFencing, "fencing_token", _lowest_fencing_token),
    Guard("start_held_back_in_state_outage", LeaseRenewal, "_lease_must_expire", _never),
    Guard("starts_wait_behind_silent_machines", StartGrant, "allows_sending", _always),
    Guard("held_back_start_of_idle_machine", AttemptReconciler, "_absence_proves_termination", _always),
    Guard("start_repeated_after_exit", StartFencing, "record_sent_starts", _never),
    Guard("cancelled_start_repeated", StartFencing, "record_sent_starts", _never),
    Guard("short_tasks_repeated", StartFencing, "record_sent_starts", _never),
    Guard("limit_counts_unreachable_machines", Quotas, "allows", _always),
    Guard("isolated_leader", RenewalAuthority, "may_renew_leases", _always),
    Guard("launch_response_lost", Launches, "load", _ignore_launch),
    Guard("completions_durable_before_forgotten", HeartbeatCommands, "_may_forget_exit", _always),
    Guard("large_fleet", CycleState, "scheduling_key", _unique_key),
    Guard("isolated_zone", DelegatedRenewals, "renewal_fencing_token", _never),
    Guard("zone_isolated_past_delegation", DelegationTracker, "latest_possible_renewal_at", _never_renewed),
    Guard("cancelled_before_zone_isolation", Controller, "excluded_machines", _no_machines),
    Guard("limit_counts_cancelled_job", Fleet, "unaccounted_resources", _no_resources),
    Guard("silent_machines_and_duplicates", MachineMonitor, "_count_misdirected", _count_all_misdirected),
    Guard("inbound_messages_lost", AttemptReconciler, "_seems_to_miss_responses", _never),
    Guard("cancellations_before_state_outage", Cancellations, "summarize", _empty_summary),
    Guard("cancellations_before_state_outage", RenewalAuthority, "observe_peer", _never),
    Guard(
        "cancellations_forgotten_before_state_outage", RenewalAuthority, "observe_peer", _treat_as_complete
    ),
    Guard("gangs_compete", GangPlacement, "choose", _start_one_by_one),
    Guard("gang_task_lost_before_start", Gangs, "may_start", _only_waiting_for_capacity),
    Guard("gang_task_lost_while_running", Gangs, "_fail", _never),
    Guard("gang_releases_capacity", Gangs, "abandon", _never),
    Guard("gang_avoids_slow_machine", Gangs, "_avoid_late_machines", _never),
    Guard("gang_reclaimed", Gangs, "stop", _stop_without_grace),
    Guard("gang_preempts", GangPlacement, "choose_with_preemption", _never),
    Guard("gang_preempted", TaskStarter, "_stop_gangs_first", _never),
    Guard("gang_not_starved", GangScheduler, "_reserve_for", _never),
    Guard("gang_team_limit", GangScheduler, "_reserve_for", _never),
    Guard("gang_partly_started", Gangs, "adopt", _never),
    Guard("gang_partly_reconciled", LeaseExpiry, "all_reconciled_or_expired", _always),
    Guard("gang_short_notice", MachineLifecycle, "_drain_gang", _never),
    Guard("gang_leader_crash_in_stop", Gangs, "stop", _stop_without_grace),
    Guard("gang_cancelled_without_faults", JobLifecycle, "handle_finalized", _never),
    Guard("gang_machine_hangs", Gangs, "task_terminated", _never),
    Guard("gang_completed_by_one_heartbeat", Job, "complete", _complete_task_alone),
    Guard("gang_unconfirmed_start", StartFencing, "reserve_fencing_tokens", _always),
    Guard("zone_partition", Connectivity, "better_connected_peer", _never),
    Guard("machine_hangs_at_leader_change", MachineMonitor, "_is_suspected", _always),
    Guard("zone_partition_of_two", DelegatedRenewals, "_is_partition", _never),
    Guard("isolated_zone_keeps_machines", FleetSurvey, "silent_zones", _no_zones),
    Guard("isolated_zone_keeps_machines", MachineMonitor, "_block_launches_in", _never),
    Guard("relocation_frees_image_holder", Relocation, "relocate_for", _never),
    Guard("relocation_one_at_a_time", Relocation, "_remaining_moves", _unlimited_moves),
    Guard("relocation_spares_equal_priority", Relocation, "_may_move_to", _always),
]


def _any_two_errors(self: FailureTracker, machine: Machine) -> bool:
    """Any two jobs that fail on a machine put it at fault."""
    return len(machine.task_errors) > 1


def _only_team_without_guarantee(self: Quotas, team: str, cpus: float, gpus: float) -> bool:
    return team == "gamma"


def _start_all(self: Job, most: int) -> int:
    return most


# Jobs that always fail, machines at fault, and teams without a guarantee.
GUARDS += [
    Guard("failing_jobs_on_one_machine", FailureTracker, "machine_at_fault", _any_two_errors),
    Guard("large_array_that_always_fails", Job, "startable", _start_all),
    Guard("large_array_that_always_fails", FailureTracker, "load", _never),
    Guard("gang_that_always_fails", FailureTracker, "_fails_everywhere", _never),
    Guard("faulty_machine_among_failing_jobs", FailureTracker, "machine_at_fault", _never),
    Guard("healthy_job_on_faulty_machine", FailureTracker, "_mark_healthy", _never),
    Guard("team_without_guarantee", Quotas, "within_guarantee", _only_team_without_guarantee),
]


def _is_overdue_alone(self: BootTracker, machine: Machine, oldest: dict[str, float], now: float) -> bool:
    """Each machine is overdue by its own boot time, regardless of others."""
    return now - machine.estimated_launch_at > 1.5 * machine.machine_type.boot_s


def _hold_also_after_change(
    self: RedirectBackoff, heartbeat: Heartbeat, leader_fencing_token: int, leading_s: float, now: float
) -> float:
    """Workers with the leader's token are held, though they may be on their way to a new leader."""
    return self._wait_s if heartbeat.fencing_token >= leader_fencing_token else 0.0


def _decide_by_one_check(self: MachineMonitor, survey: FleetSurvey, now: float) -> bool:
    """A single check is enough to conclude that the workers have turned away."""
    silent = len(survey.silent)
    return silent * 2 >= survey.up and silent > 1 and self._count_misdirected(now) > 2 * survey.responsive


def _hold_each_time(
    self: RedirectBackoff, heartbeat: Heartbeat, leader_fencing_token: int, leading_s: float, now: float
) -> float:
    """Workers are held at each heartbeat."""
    return (
        self._wait_s
        if heartbeat.fencing_token >= leader_fencing_token and leading_s > self._discovery_s
        else 0.0
    )


def _is_given_up_alone(self: BootTracker, machine: Machine, give_up_s: float, now: float) -> bool:
    """Each machine is given up by its own boot time, regardless of others."""
    return now - machine.estimated_launch_at > give_up_s


GUARDS += [
    Guard("slow_boots", BootTracker, "_is_overdue", _is_overdue_alone),
    Guard("slow_boots", BootTracker, "has_timed_out", _is_given_up_alone),
    Guard("boots_never_complete", BootTracker, "_is_overdue", _never),
    Guard("boots_never_complete", BootTracker, "has_timed_out", _never),
]

# Frozen controllers, and a huge array.
GUARDS += [
    Guard("leader_freezes_in_launch", Launches, "load", _ignore_launch),
    Guard("huge_array", Completions, "load", _never),
]

# Workers that turn to other controllers when the leader is unreachable.
GUARDS += [
    Guard("leader_drops_heartbeats", RedirectBackoff, "wait_s", _zero_seconds),
    Guard("machine_hangs_at_leader_change", RedirectBackoff, "wait_s", _hold_also_after_change),
    Guard("zone_partition_of_two", RedirectBackoff, "wait_s", _hold_each_time),
    Guard(
        "silent_machines_and_duplicates", MachineMonitor, "_most_workers_misdirected", _decide_by_one_check
    ),
]

# The same for relays.
GUARDS += [
    Guard("relay_duplicate_and_delayed_batches", AttemptReconciler, "_is_newer", _always),
    Guard("relay_cut_while_cancelled", Controller, "excluded_machines", _no_machines),
    Guard("relay_gang", LeaseExpiry, "all_reconciled_or_expired", _always),
]


# What a machine's heartbeat can list.
GUARDS += [
    Guard("array_of_tiny_tasks", Machine, "set_unrecorded_bytes", _never),
]


@pytest.mark.parametrize("guard", GUARDS, ids=str)
def test_scenario_fails_without_its_guard(guard: Guard, monkeypatch: pytest.MonkeyPatch) -> None:
    assert violations_without(guard, FOLDER, seeds=(1, 2, 3, 4), monkeypatch=monkeypatch) != []
