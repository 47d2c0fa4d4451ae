"""Relays in the options and between versions."""

from __future__ import annotations

import msgspec
import pytest

from poppyhold.cluster.peer_messages import Ping, Pong
from poppyhold.configuration_checks import ConfigError
from poppyhold.options import Options, RelayMode
from poppyhold.options_file import load_options, parse_options
from poppyhold.relay.messages import RelayHello


@pytest.mark.parametrize("mode", list(RelayMode))
def test_operators_choose_the_relay_mode(mode: RelayMode) -> None:
    options = parse_options(f"relays {{ mode: {mode.value.upper()} from_share: 0.3 }}")
    assert (options.relays.mode, options.relays.from_share) == (mode, 0.3)


def test_relays_are_automatic_by_default() -> None:
    assert load_options(None).relays.mode is RelayMode.AUTO
    assert parse_options("design { horizon_slots: 4 }").relays == Options().relays
    with pytest.raises(ConfigError):
        parse_options("relays { mode: SOMETIMES }")


def test_a_version_without_relays_closes_a_relays_connection_and_accepts_no_relays() -> None:
    old: msgspec.msgpack.Decoder[Ping | Pong] = msgspec.msgpack.Decoder(Ping | Pong)
    with pytest.raises(msgspec.MsgspecError):
        old.decode(msgspec.msgpack.encode(RelayHello("hive-1", "a")))
    # Its pings end before the field that asks for relays.
    ping = msgspec.msgpack.encode(["ping", "hive-0", 7, True, 0.5, 12, 2, [], [], None, 41])
    assert old.decode(ping) == Ping("hive-0", 7, True, 0.5, 12, 2, [], [], None, 41, accepts_relays=False)
