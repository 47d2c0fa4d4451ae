"""Takes guards out one by one: each time a scenario must break a rule or miss what it expects."""

from __future__ import annotations

import pytest

from guards import Guard, found_without
from poppyhold.cluster.authority import RenewalAuthority
from poppyhold.cluster.cancellations import Cancellations
from poppyhold.cluster.connectivity import Connectivity
from poppyhold.cluster.delegated_renewals import DelegatedRenewals
from poppyhold.cluster.lease_delegation import DelegationTracker
from poppyhold.cluster.redirect_backoff import RedirectBackoff
from poppyhold.execution.completions import Completions
from poppyhold.execution.direct_commands import DirectCommands
from poppyhold.execution.failures import FailureTracker
from poppyhold.execution.gangs import Gangs, GangState
from poppyhold.execution.heartbeat_commands import HeartbeatCommands
from poppyhold.execution.lease_expiry import LeaseExpiry
from poppyhold.execution.reconciliation import AttemptReconciler
from poppyhold.machines.boot_tracker import BootTracker
from poppyhold.machines.launches import Launches
from poppyhold.machines.machine_monitor import FleetSurvey, MachineMonitor
from poppyhold.model.entities import TASK_DONE, Job, Machine
from poppyhold.model.fleet import Fleet
from poppyhold.model.resources import NO_RESOURCES, Resources, max_copies
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


def _long_ago(*_: object) -> float:
    return float("-inf")


def _nobody(*_: object) -> list[str]:
    return []


def _all_of_them(self: MachineMonitor, now: float) -> int:
    return max(map(len, self._ctx.outbound.misdirected_workers()), default=0)


def _plenty(*_: object) -> int:
    return 99


def _no_time(*_: object) -> float:
    return 0.0


def _no_zones(*_: object) -> set[str]:
    return set()


def _no_room(*_: object) -> tuple[float, float, float]:
    return NO_RESOURCES


def _told_nothing(*_: object) -> tuple[list[object], int]:
    return [], 0


def _learned_all(self: RenewalAuthority, member: str, asked: float, bound: int) -> None:
    """Whatever a controller told, it is taken for known."""
    self._peer_watermarks[member] = asked


def _count_nothing(self: Launches, name: str, data: object) -> None:
    """Hires of earlier leaders are forgotten."""


def _unlike(*_: object) -> object:
    """No scheduling key equals another: a cycle remembers nothing."""
    return object()


def _complete_one(self: Job, index: int) -> bool:
    """One task that is done completes that task alone."""
    news = self.states[index] != TASK_DONE
    self.states[index] = TASK_DONE
    self.done += news
    return news


def _only_from_the_beginning(self: Gangs, job: Job) -> bool:
    return self.state_of(job) is GangState.WAITING_FOR_CAPACITY


def _kill(self: Gangs, job: Job, now: float, grace_s: float | None = None) -> None:
    """Gangs are stopped without the time to save."""
    for attempt in list(job.active.values()):
        self._stop_task(attempt, 0.0, now)


def _one_by_one(
    self: GangPlacement, job: Job, machines: list[Machine], reserved: dict[str, Resources]
) -> list[Machine] | None:
    """Tasks of a gang start as soon as there is room for one."""
    return next(([machine] for machine in machines if max_copies(job.task_resources, machine.free, 1)), None)


# Guard that is taken out -> scenario that must then break a rule or miss what it expects.
GUARDS = [
    Guard("late_run_after_cancel", DirectCommands, "raise_fencing_token", _always),
    Guard("held_start_after_leader_change", AttemptReconciler, "_absence_proves_termination", _always),
    Guard("limit_while_unreachable", Quotas, "allows", _always),
    Guard("isolated_leader", RenewalAuthority, "may_renew_leases", _always),
    Guard("lost_hire_answer", Launches, "load", _count_nothing),
    Guard("done_before_reap", HeartbeatCommands, "_may_forget_exit", _always),
    Guard("large_fleet", CycleState, "scheduling_key", _unlike),
    Guard("zone_cut", DelegatedRenewals, "renewal_fencing_token", _never),
    Guard("zone_cut_long", DelegationTracker, "latest_renewal_at", _long_ago),
    Guard("cancelled_before_the_cut", Controller, "excluded_machines", _nobody),
    Guard("limit_and_cancelled", Fleet, "unaccounted_resources", _no_room),
    Guard("mute_machines_and_copies", MachineMonitor, "_count_misdirected", _all_of_them),
    Guard("deaf_machine", AttemptReconciler, "_ignores_responses", _never),
    Guard("gap", Cancellations, "summarize", _told_nothing),
    Guard("gap", RenewalAuthority, "observe_peer", _never),
    Guard("gap_unnamed", RenewalAuthority, "observe_peer", _learned_all),
    Guard("gangs_compete", GangPlacement, "choose", _one_by_one),
    Guard("gang_task_lost_before_start", Gangs, "may_start", _only_from_the_beginning),
    Guard("gang_task_lost_while_running", Gangs, "_fail", _never),
    Guard("gang_gives_up_its_room", Gangs, "abandon", _never),
    Guard("gang_alone", Gangs, "_avoid_late_machines", _never),
    Guard("gang_recall", Gangs, "stop", _kill),
    Guard("gang_preempts", GangPlacement, "choose_with_preemption", _never),
    Guard("gang_preempted", TaskStarter, "_stop_gangs_first", _never),
    Guard("gang_not_starved", GangScheduler, "_reserve_for", _never),
    Guard("gang_team_limit", GangScheduler, "_reserve_for", _never),
    Guard("gang_half_sent", Gangs, "adopt", _never),
    Guard("gang_half_heard", LeaseExpiry, "all_reconciled", _always),
    Guard("gang_short_notice", MachineLifecycle, "_drain_gang", _never),
    Guard("gang_leader_crash_in_stop", Gangs, "stop", _kill),
    Guard("gang_cancelled_at_once", JobLifecycle, "handle_finalized", _never),
    Guard("gang_machine_hangs", Gangs, "task_terminated", _never),
    Guard("gang_done_by_one_report", Job, "complete", _complete_one),
    Guard("gang_unsure_start", DirectCommands, "raise_fencing_token", _always),
    Guard("zone_partition", Connectivity, "better_connected_peer", _never),
    Guard("few_hang_at_change_of_leader", MachineMonitor, "_is_suspected", _always),
    Guard("zone_partition_of_two", DelegatedRenewals, "_is_partition", _never),
    Guard("zone_cut_keeps_machines", FleetSurvey, "silent_zones", _no_zones),
    Guard("zone_cut_keeps_machines", MachineMonitor, "_block_launches_in", _never),
    Guard("image_holders_make_room", Relocation, "relocate_for", _never),
    Guard("image_holders_one_at_a_time", Relocation, "_remaining_moves", _plenty),
    Guard("image_holders_keep_equals", Relocation, "_may_move_to", _always),
]


def _two_errors(self: FailureTracker, machine: Machine) -> bool:
    """Any two jobs that fail on a machine are enough."""
    return len(machine.task_errors) > 1


def _guests_alone(self: Quotas, team: str, cpus: float, gpus: float) -> bool:
    return team == "gamma"


def _all_at_once(self: Job, most: int) -> int:
    return most


# Jobs with a mistake, machines at fault, and guests.
GUARDS += [
    Guard("mistakes_on_one_machine", FailureTracker, "machine_at_fault", _two_errors),
    Guard("mistake_in_a_wide_job", Job, "startable", _all_at_once),
    Guard("mistake_in_a_wide_job", FailureTracker, "load", _never),
    Guard("gang_with_a_mistake", FailureTracker, "_fails_everywhere", _never),
    Guard("faulty_machine_among_mistakes", FailureTracker, "machine_at_fault", _never),
    Guard("sound_job_on_a_faulty_machine", FailureTracker, "_mark_healthy", _never),
    Guard("guests", Quotas, "within_guarantee", _guests_alone),
]


def _overdue_alone(self: BootTracker, machine: Machine, oldest: dict[str, float], now: float) -> bool:
    """Each machine is late by itself, whatever others do."""
    return now - machine.known_since > 1.5 * machine.machine_type.boot_s


def _behind_a_change_too(
    self: RedirectBackoff, heartbeat: Heartbeat, leader_fencing_token: int, leading_s: float, now: float
) -> float:
    """Workers wait wherever they have the leader's token, though they may be on their way to it."""
    return self._wait_s if heartbeat.fencing_token >= leader_fencing_token else 0.0


def _at_one_moment(self: MachineMonitor, survey: FleetSurvey, now: float) -> bool:
    """One look is enough to tell that the workers have turned away."""
    silent = len(survey.silent)
    return silent * 2 >= survey.up and silent > 1 and self._count_misdirected(now) > 2 * survey.responsive


def _again_and_again(
    self: RedirectBackoff, heartbeat: Heartbeat, leader_fencing_token: int, leading_s: float, now: float
) -> float:
    """Workers wait each time that they come."""
    return (
        self._wait_s
        if heartbeat.fencing_token >= leader_fencing_token and leading_s > self._discovery_s
        else 0.0
    )


def _given_up_alone(self: BootTracker, machine: Machine, give_up_s: float, now: float) -> bool:
    """Each machine is given up by itself, whatever others do."""
    return now - machine.known_since > give_up_s


GUARDS += [
    Guard("slow_boots", BootTracker, "_is_overdue", _overdue_alone),
    Guard("slow_boots", BootTracker, "has_timed_out", _given_up_alone),
    Guard("boots_that_never_end", BootTracker, "_is_overdue", _never),
    Guard("boots_that_never_end", BootTracker, "has_timed_out", _never),
]

# Controllers that stand still, and a huge array.
GUARDS += [
    Guard("freeze_in_a_hire", Launches, "load", _count_nothing),
    Guard("huge_array", Completions, "load", _never),
]

# Workers that a leader's cut sends to other controllers.
GUARDS += [
    Guard("leader_drops_workers", RedirectBackoff, "wait_s", _no_time),
    Guard("few_hang_at_change_of_leader", RedirectBackoff, "wait_s", _behind_a_change_too),
    Guard("zone_partition_of_two", RedirectBackoff, "wait_s", _again_and_again),
    Guard("mute_machines_and_copies", MachineMonitor, "_most_workers_misdirected", _at_one_moment),
]

# The same for relays.
GUARDS += [
    Guard("relay_batches_twice_and_late", AttemptReconciler, "_is_newer", _always),
    Guard("relay_cut_while_cancelled", Controller, "excluded_machines", _nobody),
    Guard("relay_gang", LeaseExpiry, "all_reconciled", _always),
]


@pytest.mark.parametrize("guard", GUARDS, ids=str)
def test_scenario_fails_without_its_guard(guard: Guard, monkeypatch: pytest.MonkeyPatch) -> None:
    assert found_without(guard, FOLDER, seeds=(1, 2, 3, 4), monkeypatch=monkeypatch) != []
