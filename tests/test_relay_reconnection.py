"""How long heartbeats are accepted after a lost connection."""

from __future__ import annotations

from poppyhold.relay.reconnection import ReconnectionWindow


def _reconnection() -> ReconnectionWindow:
    regaining = ReconnectionWindow(3.0, 6.0)
    regaining.connection_lost("hive-0", 100.0)
    return regaining


def test_a_leader_that_stays_away_is_waited_for_no_longer_than_a_worker_waits() -> None:
    regaining = _reconnection()
    regaining.note_leader("hive-0", 102.0)
    assert regaining.is_open(102.9)
    assert not regaining.is_open(103.1)


def test_a_leader_that_changes_is_waited_for_within_a_bound() -> None:
    regaining = _reconnection()
    regaining.note_leader(None, 102.0)
    assert regaining.is_open(104.9)
    regaining.note_leader("hive-1", 104.9)
    assert regaining.is_open(105.9)
    # However often it changes.
    regaining.note_leader(None, 105.9)
    assert not regaining.is_open(106.1)
    regaining.note_leader("hive-2", 106.1)
    assert not regaining.is_open(106.2)


def test_a_leader_that_takes_connections_is_slow_and_not_cut_off() -> None:
    regaining = _reconnection()
    regaining.connection_accepted(102.0)
    assert regaining.is_open(104.9)
    regaining.connection_accepted(104.9)
    assert not regaining.is_open(106.1)
    # Once workers were sent elsewhere, a connection alone brings nobody back.
    regaining.connection_accepted(106.2)
    assert not regaining.is_open(106.3)
