"""The section `cells` of the options, and a deployment without it."""

from __future__ import annotations

from pathlib import Path

import pytest

from poppyhold.cli import main
from poppyhold.configuration_checks import ConfigError
from poppyhold.durable.keys import QUOTA_PREFIX
from poppyhold.durable.snapshot import SnapshotReader
from poppyhold.options import Cells, Options
from poppyhold.options_file import parse_options
from scenario import FOLDER, Scenario


def test_without_cells_no_quota_record_is_read_or_written() -> None:
    scenario = Scenario((FOLDER / "limit_counts_unreachable_machines.txt").read_text(), 1)
    scanned_prefixes: list[str] = []
    state = scenario.world.state
    scan = state.scan

    def recorded_scan(prefix: str, after: str, most: int) -> tuple[int, dict[str, object]]:
        scanned_prefixes.append(prefix)
        return scan(prefix, after, most)

    state.scan = recorded_scan  # type: ignore[method-assign]
    scenario.play()
    assert scenario.world.violations + scenario.failures == []
    assert set(scanned_prefixes) == {f"ph/{name}/" for name in ("a", "p", "d", "e", "h", "m", "none")}
    assert not [key for key in state.keys if key.startswith(QUOTA_PREFIX)]
    leader = scenario.world.leader()
    assert leader is not None
    assert leader.leader_term is not None
    assert leader.leader_term.controller.quota is None
    # With the file it is one prefix more.
    scanned_prefixes.clear()
    SnapshotReader(leader.store, with_quota=True).read()
    assert QUOTA_PREFIX in scanned_prefixes


EXAMPLE_FILE = Path(__file__).resolve().parent.parent / "deploy" / "cells.txtpb"


def test_the_example_names_three_cells() -> None:
    cells = parse_options(EXAMPLE_FILE.read_text()).cells
    assert cells is not None
    assert [cells.name, *(cell.name for cell in cells.others)] == ["east", "north", "west"]
    assert cells.keep_leases == Cells("", 0, ()).keep_leases
    assert Options().cells is None


@pytest.mark.parametrize(
    ("valid", "invalid", "field"),
    [
        ('name: "north"', 'name: "east"', "cells.others.name"),
        ('name: "north"', 'name: "no rth"', "cells.others.name"),
        ('name: "east"', "", "cells.name"),
        ("part: 0.3", "part: 0.4", "cells.part"),
        ("part: 0.3", "part: -0.3", "cells.part"),
        ('"10.1.0.1:8081"', '"10.1.0.1"', "cells.others.north.controllers.hive-0.address"),
        ('member: "hive-1" address: "10.1', 'member: "hive-0" address: "10.1', "controllers.member"),
        ("# keep_leases: 1", "keep_leases: -1", "cells.keep_leases"),
        ("# moves_share: 0.2", "moves_share: 0.9", "cells.moves_share"),
        ("# reserve: 0", "reserve: 1.5", "cells.reserve"),
    ],
)
def test_an_invalid_file_is_rejected_with_the_field(valid: str, invalid: str, field: str) -> None:
    text = EXAMPLE_FILE.read_text()
    assert valid in text
    with pytest.raises(ConfigError) as caught:
        parse_options(text.replace(valid, invalid, 1))
    assert field in str(caught.value)
    assert "\n" not in str(caught.value)


CONFIG = """
member = "hive-0"
domain = "a"
client_listen = "127.0.0.1:1"
back = "127.0.0.1:2"
[outside]
cloud = "127.0.0.1:3"
state = "127.0.0.1:4"
[settings]
count = 1
zones = ["a"]
[[settings.teams]]
name = "alpha"
gpus = 9.0
gpus_max = 8.0
"""


@pytest.fixture
def config(tmp_path: Path) -> Path:
    """A settings file in which a guarantee is above the limit."""
    path = tmp_path / "settings.toml"
    path.write_text(CONFIG)
    return path


def test_with_cells_a_guarantee_above_the_limit_is_rejected(
    config: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    assert main(["check-config", "--config", str(config), "--options", str(EXAMPLE_FILE)]) == 2
    assert "settings.teams.alpha.gpus" in capsys.readouterr().err


def test_without_cells_a_guarantee_above_the_limit_is_accepted(config: Path) -> None:
    assert main(["check-config", "--config", str(config)]) == 0


def test_quota_status_needs_cells(config: Path) -> None:
    assert main(["quota", "status", "--config", str(config)]) == 2


def test_quota_status_without_a_leader_prints_one_line(
    config: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    config.write_text(CONFIG.replace("9.0", "4.0"))
    assert main(["quota", "status", "--config", str(config), "--options", str(EXAMPLE_FILE)]) == 1
    assert capsys.readouterr().err.count("\n") == 1
