"""How long heartbeats are accepted after a lost connection."""

from __future__ import annotations

from poppyhold.relay.reconnection import ReconnectionWindow


def _reconnection() -> ReconnectionWindow:
    window = ReconnectionWindow(3.0, 6.0)
    window.connection_lost("hive-0", 100.0)
    return window


def test_an_unreachable_leader_is_awaited_no_longer_than_one_window() -> None:
    window = _reconnection()
    window.record_leader("hive-0", 102.0)
    assert window.is_open(102.9)
    assert not window.is_open(103.1)


def test_a_changing_leader_is_awaited_within_a_bound() -> None:
    window = _reconnection()
    window.record_leader(None, 102.0)
    assert window.is_open(104.9)
    window.record_leader("hive-1", 104.9)
    assert window.is_open(105.9)
    # However often it changes.
    window.record_leader(None, 105.9)
    assert not window.is_open(106.1)
    window.record_leader("hive-2", 106.1)
    assert not window.is_open(106.2)


def test_a_leader_that_accepts_connections_extends_the_window() -> None:
    window = _reconnection()
    window.connection_accepted(102.0)
    assert window.is_open(104.9)
    window.connection_accepted(104.9)
    assert not window.is_open(106.1)
    # Once the window is closed, a connection alone does not open it.
    window.connection_accepted(106.2)
    assert not window.is_open(106.3)
