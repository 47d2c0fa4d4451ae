"""Stored records, messages, files and JSON output keep their names and types.

`fixtures/wire_forms.json` was written by the code of commit 5d1323a, the last one before attributes, types
and modules were renamed. No attribute is named here: a recorded form is decoded and encoded again, and must
be unchanged. Two fields of one type that change places in a tuple between controllers are not detected.
`test_program_forms.py` covers what a running controller writes without a type of its own.

A form that is added on purpose is recorded by `python tests/test_wire_forms.py`, which adds the forms that
the fixture lacks and changes no recorded one. For a field that is appended to a message, its recorded form
first moves to `earlier_messages`.
"""

from __future__ import annotations

import contextlib
import io
import json
import os
import re
import socket
import sys
import tempfile
import threading
from collections.abc import Iterator
from pathlib import Path
from typing import Any, Union
from unittest import mock

if __name__ == "__main__":
    sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

import cbor2
import msgspec
import pytest

import poppyhold
from poppyhold.cli import main
from poppyhold.configuration_checks import ConfigError
from poppyhold.durable import keys
from poppyhold.options_file import parse_options
from poppyhold.options_pb2 import Options as OptionsMessage
from poppyhold.quota import records
from poppyhold.scale.__main__ import main as scale_main
from poppyhold.settings_file import load_settings
from poppyhold.wire.codec import convert, decode, encode
from wire_kinds import MAPS, MESSAGES, WORDS, sample, words

FIXTURE_FILE = Path(__file__).parent / "fixtures" / "wire_forms.json"
FIXTURE: dict[str, Any] = json.loads(FIXTURE_FILE.read_text()) if FIXTURE_FILE.exists() else {}
ANY_MESSAGE: Any = Union[tuple(MESSAGES.values())]  # noqa: UP007 (of a table)


def _round_trip(value: object, kind: Any) -> Any:
    """Decode a map and encode it again, as the program does with records and bodies."""
    return decode(encode(msgspec.to_builtins(convert(value, kind))))


def _shape(value: Any) -> Any:
    """The names in a value, with the types of their values."""
    if isinstance(value, dict):
        return {name: _shape(each) for name, each in value.items()}
    return [_shape(each) for each in value] if isinstance(value, list) else type(value).__name__


def _message_round_trip(data: bytes) -> bytes:
    return msgspec.msgpack.encode(msgspec.msgpack.decode(data, type=ANY_MESSAGE))


def _map_forms(name: str) -> Any:
    kind = MAPS[name]
    least = sample(kind, only_required=True)
    return {"full": sample(kind), "least": least, "least_written": _round_trip(least, kind)}


@pytest.mark.parametrize("name", MAPS)
def test_map_is_read_and_written_as_recorded(name: str) -> None:
    recorded = FIXTURE["maps"][name]
    assert _round_trip(recorded["full"], MAPS[name]) == recorded["full"]
    assert cbor2.loads(encode(recorded["full"])) == recorded["full"]
    assert json.loads(msgspec.json.encode(convert(recorded["full"], MAPS[name]))) == recorded["full"]


@pytest.mark.parametrize("name", MAPS)
def test_map_has_its_recorded_defaults(name: str) -> None:
    recorded = FIXTURE["maps"][name]
    assert _round_trip(recorded["least"], MAPS[name]) == recorded["least_written"]
    for field in recorded["least"]:
        with pytest.raises(msgspec.ValidationError):
            msgspec.convert({k: v for k, v in recorded["least"].items() if k != field}, MAPS[name])


@pytest.mark.parametrize("name", MAPS)
def test_map_has_no_field_that_is_not_recorded(name: str) -> None:
    assert _shape(sample(MAPS[name])) == _shape(FIXTURE["maps"][name]["full"])
    least = sample(MAPS[name], only_required=True)
    assert _shape(least) == _shape(FIXTURE["maps"][name]["least"])


def _message_forms(name: str) -> Any:
    least = msgspec.msgpack.encode(sample(MESSAGES[name], only_required=True))
    return {
        "full": msgspec.msgpack.encode(sample(MESSAGES[name])).hex(),
        "least": least.hex(),
        "least_written": _message_round_trip(least).hex(),
    }


@pytest.mark.parametrize("name", MESSAGES)
def test_message_is_read_and_written_as_recorded(name: str) -> None:
    recorded = bytes.fromhex(FIXTURE["messages"][name]["full"])
    message = msgspec.msgpack.decode(recorded, type=ANY_MESSAGE)
    assert type(message) is MESSAGES[name]
    assert msgspec.msgpack.encode(message) == recorded
    assert msgspec.msgpack.decode(recorded)[0] == name


@pytest.mark.parametrize("name", MESSAGES)
def test_message_has_its_recorded_defaults(name: str) -> None:
    recorded = FIXTURE["messages"][name]
    least = bytes.fromhex(recorded["least"])
    assert _message_round_trip(least).hex() == recorded["least_written"]
    values = msgspec.msgpack.decode(least)
    if len(values) > 1:
        with pytest.raises(msgspec.ValidationError):
            _message_round_trip(msgspec.msgpack.encode(values[:-1]))


@pytest.mark.parametrize("name", MESSAGES)
def test_message_has_no_field_that_is_not_recorded(name: str) -> None:
    assert msgspec.msgpack.encode(sample(MESSAGES[name])).hex() == FIXTURE["messages"][name]["full"]


@pytest.mark.parametrize("name", FIXTURE.get("earlier_messages", ()))
def test_message_of_an_earlier_version_is_read_and_only_has_fields_appended(name: str) -> None:
    for form, written in (("full", "full"), ("least", "least_written")):
        earlier = FIXTURE["earlier_messages"][name]
        values = msgspec.msgpack.decode(_message_round_trip(bytes.fromhex(earlier[form])))
        recorded = msgspec.msgpack.decode(bytes.fromhex(earlier[written]))
        assert values[: len(recorded)] == recorded
        assert len(values) > len(recorded)


@pytest.mark.parametrize("name", WORDS)
def test_words_are_those_recorded(name: str) -> None:
    assert words(WORDS[name]) == FIXTURE["words"][name]


def _keys() -> list[str]:
    """Every key and key prefix in the state service, whatever its constant is named."""
    texts = [value for module in (keys, records) for value in vars(module).values()]
    return sorted({text for text in texts if isinstance(text, str) and text.startswith("ph/")})


def test_keys_are_those_recorded() -> None:
    assert _keys() == FIXTURE["keys"]


SETTINGS: dict[str, Any] = {
    "member": "hive-0",
    "domain": "a",
    "client_listen": "127.0.0.1:1001",
    "back": "127.0.0.1:1002",
    "outside": {"cloud": "127.0.0.1:1003", "state": "127.0.0.1:1004"},
    "known": [{"member": "hive-1", "domain": "b", "address": "127.0.0.1:1005"}],
    "settings": {
        "count": 2,
        "zones": ["a", "b"],
        "skew_ms": 20.0,
        "teams": [{"name": "alpha", "cpus": 1.0, "cpus_max": 2.0, "gpus": 3.0, "gpus_max": 4.0}],
        "objectives": [{"kind": "wait", "class": "sweep", "within_s": 9.0, "share": 0.5, "times": 2.0}],
        "workers": {
            "report_s": 1.5,
            "lease_s": 11.0,
            "cancel_s": 31.0,
            "gang_wait_s": 32.0,
            "gang_peer_s": 7.0,
        },
        "state": {
            "rps": 60.0,
            "write_rps": 25.0,
            "value_kb": 9.0,
            "txn_ops": 11,
            "next": {"rps": 55.0, "write_rps": 21.0, "value_kb": 8.5, "txn_ops": 9},
        },
        "cloud": {"rps": 3.0, "list_lag_s": 9.0},
        "machine_limits": {"core_share": 0.9, "ram_mb": 300.0, "max_sockets": 1100},
    },
}


def _toml(value: Any) -> str:
    if isinstance(value, dict):
        return "{" + ", ".join(f"{name} = {_toml(each)}" for name, each in value.items()) + "}"
    if isinstance(value, list):
        return "[" + ", ".join(map(_toml, value)) + "]"
    return json.dumps(value)


def _leaves(value: Any, *path: str | int) -> Iterator[tuple[str | int, ...]]:
    if isinstance(value, dict | list):
        for key, each in value.items() if isinstance(value, dict) else enumerate(value):
            yield from _leaves(each, *path, key)
    else:
        yield path


def _settings_result(values: Any, folder: Path) -> str:
    """The error that the program reports for a settings file, or "ok"."""
    file = folder / "settings.toml"
    file.write_text("".join(f"{name} = {_toml(value)}\n" for name, value in values.items()))
    try:
        load_settings(file)
    except ConfigError as error:
        return str(error).removeprefix(f"{file}: ")
    return "ok"


def _settings_results(folder: Path) -> dict[str, str]:
    """The result for each field with an invalid value: a negative number, or an empty address or name."""
    found = {"": _settings_result(SETTINGS, folder)}
    for path in _leaves(SETTINGS):
        values = json.loads(json.dumps(SETTINGS))
        holder = values
        for key in path[:-1]:
            holder = holder[key]
        holder[path[-1]] = -1 if isinstance(holder[path[-1]], int | float) else ""
        found[".".join(map(str, path))] = _settings_result(values, folder)
    return found


def test_settings_are_checked_by_their_recorded_names(tmp_path: Path) -> None:
    assert _settings_results(tmp_path) == FIXTURE["settings_answers"]


def _option_fields(message: Any, prefix: str = "") -> Iterator[tuple[str, Any]]:
    for field in message.fields:
        yield prefix + field.name, field
        if field.message_type is not None:
            yield from _option_fields(field.message_type, f"{prefix}{field.name}.")


def _options() -> dict[str, str]:
    """Number, type and values of each option."""
    found = {}
    for name, field in _option_fields(OptionsMessage.DESCRIPTOR):
        members = [f"{v.name}={v.number}" for v in field.enum_type.values] if field.enum_type else []
        found[name] = " ".join([str(field.number), f"type {field.type}", *members])
    return found


def _proto_lines() -> list[str]:
    """The lines of options.proto, without comments and blank lines."""
    text = (Path(poppyhold.__file__).parent / "options.proto").read_text()
    lines = (re.sub(r"//.*", "", line).strip() for line in text.splitlines())
    return [line for line in lines if line]


def test_options_are_those_recorded() -> None:
    assert _options() == FIXTURE["options"]
    assert _proto_lines() == FIXTURE["options_proto"]


def _option_text(name: str, value: object = None) -> str:
    """An options file that sets one option and the required fields of its section."""
    section, field = name.split(".")
    cells = 'name: "x" part: 0.5 others { name: "y" part: 0.5 controllers { member: "m" address: "h:1" } }'
    setting = f"{field}: {value}" if value is not None else ""
    return f"{section} {{ {cells if section == 'cells' else ''} {setting} }}"


def _scalar_options() -> list[str]:
    """Options with a number or an enum value, but for `cells.part`, which depends on other cells' parts."""
    return [
        name
        for name, field in _option_fields(OptionsMessage.DESCRIPTOR)
        if name.count(".") == 1 and field.message_type is None and field.type != field.TYPE_STRING
        if name != "cells.part"
    ]


def _out_of_bounds_result(name: str) -> str:
    """The error for a value out of bounds, "not parsed", or "ok"."""
    try:
        parse_options(_option_text(name, 1_000_000_000))
    except ConfigError as error:
        # A value of the wrong type is rejected with the parser's own message.
        return str(error) if str(error).startswith(name) else "not parsed"
    return "ok"


def test_options_are_checked_by_their_recorded_names() -> None:
    assert {name: _out_of_bounds_result(name) for name in _scalar_options()} == FIXTURE["option_answers"]
    assert FIXTURE["option_defaults"].keys() == FIXTURE["option_answers"].keys()


@pytest.mark.parametrize("name", FIXTURE.get("option_defaults", ()))
def test_option_has_its_recorded_default_and_takes_effect(name: str) -> None:
    default, other = FIXTURE["option_defaults"][name]
    unset = parse_options(_option_text(name))
    assert parse_options(_option_text(name, default)) == unset
    assert parse_options(_option_text(name, other)) != unset


COMMANDS = {
    "": main,
    "quota": main,
    "quota status": main,
    "serve": main,
    "check-config": main,
    "scale": scale_main,
}


def _usage(name: str) -> str:
    """A command's usage line: its subcommands and flags, and which of them are required."""
    words_given = [] if name == "scale" else name.split()
    output = io.StringIO()
    wide = mock.patch.dict(os.environ, {"COLUMNS": "10000"})
    with wide, contextlib.redirect_stdout(output), contextlib.suppress(SystemExit):
        COMMANDS[name]([*words_given, "--help"])
    return output.getvalue().splitlines()[0]


@pytest.mark.parametrize("name", COMMANDS)
def test_command_line_has_its_recorded_names(name: str) -> None:
    assert _usage(name) == FIXTURE["commands"][name]


STATUS_OPTIONS = """cells {
  name: "text-1" part: 0.5
  others { name: "text-85" part: 0.5 controllers { member: "other-0" address: "127.0.0.1:1" } }
}"""


def _serve_once(listener: socket.socket, answer: bytes, requests: list[bytes]) -> None:
    """Receive one frame, and respond with another."""
    connection, _ = listener.accept()
    with connection, connection.makefile("rb") as stream:
        requests.append(stream.read(int.from_bytes(stream.read(4), "big")))
        connection.sendall(len(answer).to_bytes(4, "big") + answer)


def _status_json(folder: Path) -> tuple[str, str]:
    """The request of `quota status --json`, as hexadecimal, and its output for the recorded response."""
    requests: list[bytes] = []
    with socket.create_server(("127.0.0.1", 0)) as listener:
        back = f"127.0.0.1:{listener.getsockname()[1]}"
        _settings_result({**SETTINGS, "back": back}, folder)
        (folder / "options").write_text(STATUS_OPTIONS)
        answer = msgspec.msgpack.encode(sample(MESSAGES["share!"]))
        server = threading.Thread(target=_serve_once, args=(listener, answer, requests), daemon=True)
        server.start()
        files = ["--config", str(folder / "settings.toml"), "--options", str(folder / "options")]
        output = io.StringIO()
        with contextlib.redirect_stdout(output):
            main(["quota", "status", "--json", *files])
        server.join()
    return requests[0].hex(), output.getvalue().strip()


def test_quota_status_requests_and_prints_as_recorded(tmp_path: Path) -> None:
    assert list(_status_json(tmp_path)) == FIXTURE["quota_status"]


def _option_defaults() -> dict[str, Any]:
    """Each option's default, and another valid value."""
    found: dict[str, Any] = {}
    for name in _scalar_options():
        section, field = name.split(".")
        default = msgspec.to_builtins(parse_options(_option_text(name)))[section][field]
        if isinstance(default, str):
            found[name] = [default.upper(), "OFF"]
        else:
            found[name] = [default, default + 1 if isinstance(default, int) else default * 0.75 or 0.25]
    return found


def _forms(folder: Path) -> dict[str, Any]:
    return {
        "maps": {name: _map_forms(name) for name in MAPS},
        "messages": {name: _message_forms(name) for name in MESSAGES},
        "words": {name: words(kind) for name, kind in WORDS.items()},
        "keys": _keys(),
        "settings_answers": _settings_results(folder),
        "options": _options(),
        "options_proto": _proto_lines(),
        "option_answers": {name: _out_of_bounds_result(name) for name in _scalar_options()},
        "option_defaults": _option_defaults(),
        "commands": {name: _usage(name) for name in COMMANDS},
        "quota_status": list(_status_json(folder)),
    }


def _record() -> None:
    """Add the forms that the fixture lacks."""
    with tempfile.TemporaryDirectory() as folder:
        forms = _forms(Path(folder))
    for name, entries in forms.items():
        recorded = FIXTURE.setdefault(name, entries)
        if isinstance(entries, dict):
            FIXTURE[name] = {**entries, **recorded}
    FIXTURE_FILE.write_text(json.dumps(FIXTURE, indent=1) + "\n")


if __name__ == "__main__":
    _record()
