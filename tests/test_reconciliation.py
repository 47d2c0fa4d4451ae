"""Queued starts that must not be sent, in states that scenarios reach only by chance."""

from __future__ import annotations

from typing import Any

from poppyhold.scale.jobs import submission
from poppyhold.settings import Team
from poppyhold.wire.worker_messages import Command, CommandKind
from sim_leader_term import SimLeaderTerm
from world import World


def leading_world() -> tuple[World, SimLeaderTerm]:
    """A world with one machine of four accelerators, a leader and one running replica."""
    world = World(1, 10.0, 30.0, [Team("alpha")])
    world.add_worker(world.cloud.add("small", "a", False, "running"))
    world.run(2.0)
    world.submit(submission("job-000001", {"shape": "service", "chores": 1, "rank": "critical"}))
    world.run(6.0)
    leader = world.leader()
    assert leader is not None
    assert leader.leader_term is not None
    assert world.workers["vm-000001"].on_machine() == ["job-000001/0"]
    return world, leader.leader_term


def test_start_queued_before_a_new_incarnation_is_not_sent() -> None:
    # The worker's lease expired while a start waited for the response to the command before it. The task was
    # started elsewhere, and then the old start was sent under the new incarnation and executed as well.
    world, leader_term = leading_world()
    controller = leader_term.controller
    machine = controller.ctx.fleet.machines["vm-000001"]
    worker = world.workers["vm-000001"]
    sent: list[dict[str, Any]] = []
    leader_term.send_commands = lambda *request: sent.append(request[2])  # type: ignore[method-assign]
    machine.command_in_flight = True
    job = controller.ctx.fleet.jobs["job-000001"]
    controller.reconciler.lifecycle.stop(job.active[0], 0.0, world.now)
    worker.tasks.clear()
    worker.incarnation += 1
    machine.queued_commands.clear()
    second = submission("job-000002", {"chores": 1})
    world.jobs["job-000002"] = second
    waiting = controller.reconciler.lifecycle.start(job, 0, machine, [])
    assert [command.kind for command in machine.queued_commands] == ["run"]
    leader_term.node.handle_heartbeat(worker.heartbeat())
    assert machine.attempts.get(waiting.name) is not waiting
    machine.command_in_flight = False
    machine.queued_commands = [
        command for command in machine.queued_commands if command.attempt == waiting.number
    ]
    controller.reconciler.lifecycle.commands.send_queued()
    assert all(order["try"] != waiting.number for body in sent for order in body["orders"])


def test_queued_start_of_a_stopped_attempt_is_not_sent() -> None:
    _, leader_term = leading_world()
    controller = leader_term.controller
    machine = controller.ctx.fleet.machines["vm-000001"]
    sent: list[dict[str, Any]] = []
    leader_term.send_commands = lambda *request: sent.append(request[2])  # type: ignore[method-assign]
    machine.command_in_flight = True
    job = controller.ctx.fleet.jobs["job-000001"]
    attempt = job.active[0]
    controller.reconciler.lifecycle.commands.enqueue(
        machine, Command(CommandKind.START, attempt.name, attempt.number + 1)
    )
    machine.command_in_flight = False
    controller.reconciler.lifecycle.commands.send_queued()
    assert sent
    assert sent[0]["orders"] == []
