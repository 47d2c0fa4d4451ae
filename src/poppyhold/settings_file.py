"""Reads and checks the platform's settings file (TOML); unknown fields are ignored."""

from __future__ import annotations

import tomllib
from pathlib import Path

import msgspec

from poppyhold.configuration_checks import (
    ConfigError,
    check_not_negative,
    check_positive,
    check_unique,
    split_address,
)
from poppyhold.settings import CONNECTION_SHARE, MIN_SOCKETS, AnnouncedStateLimits, Settings, Team

# Moving a job to its final record takes three writes in one transaction.
_MIN_TXN_OPS = 3

# Fields that must be above 0 by section: ratios are computed from them.
_POSITIVE = {
    "workers": ("report_s", "lease_s", "cancel_s", "gang_wait_s", "gang_peer_s"),
    "state": ("rps", "write_rps", "value_kb", "txn_ops"),
    "cloud": ("rps", "list_lag_s"),
    "machine_limits": ("core_share", "ram_mb", "max_sockets"),
}


def limit_warnings(settings: Settings) -> list[str]:
    """Return one line per inconsistent limit: the service runs with it, but worse."""
    limits = settings.deployment.machine_limits
    found = []
    if limits.max_sockets < MIN_SOCKETS:
        found.append(f"settings.machine_limits.max_sockets: {limits.max_sockets} leave workers hardly any")
    wanted = int(limits.max_sockets * CONNECTION_SHARE)
    if limits.connections < wanted:
        part = f"carries about {limits.connections} of {wanted} connections"
        found.append(f"settings.machine_limits.ram_mb: {part}")
    workers = settings.deployment.workers
    if workers.cancel_s < 2 * workers.lease_s:
        found.append("settings.workers.cancel_s: below two leases, so work will not outlast long outages")
    return found


def load_settings(path: str | Path) -> Settings:
    """Read and check a settings file.

    Raises:
        ConfigError: names the file and the field.

    """
    try:
        settings = msgspec.convert(tomllib.loads(Path(path).read_text(encoding="utf-8")), Settings)
        _check(settings)
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror}") from error
    except (UnicodeDecodeError, tomllib.TOMLDecodeError, msgspec.ValidationError, ConfigError) as error:
        raise ConfigError(f"{path}: {error}") from error
    return settings


def _check(settings: Settings) -> None:
    split_address(settings.client_listen, "client_listen")
    split_address(settings.peer_listen, "back")
    split_address(settings.external_services.cloud, "outside.cloud")
    split_address(settings.external_services.state, "outside.state")
    for peer in settings.peers:
        split_address(peer.address, f"known.{peer.member}.address")
    deployment = settings.deployment
    if deployment.controllers < 1:
        raise ConfigError("settings.count: must be above 0")
    check_not_negative("settings.skew_ms", deployment.skew_ms)
    for section, names in _POSITIVE.items():
        values = msgspec.to_builtins(getattr(deployment, section))
        for name in names:
            check_positive(f"settings.{section}.{name}", values[name])
    _check_announced_limits(deployment.state.announced)
    _check_zones(settings)
    _check_teams(deployment.teams)
    if deployment.workers.cancel_s <= deployment.workers.lease_s:
        raise ConfigError("settings.workers.cancel_s: must be above lease_s")


def _check_zones(settings: Settings) -> None:
    """Check that zones and controllers are unique, and that each controller is in a configured zone."""
    zones = settings.deployment.zones
    if not zones:
        raise ConfigError("settings.zones: must name a zone")
    check_unique("settings.zones", zones)
    check_unique("known.member", [settings.member, *(peer.member for peer in settings.peers)])
    if settings.zone not in zones:
        raise ConfigError(f"domain: {settings.zone!r} is not in settings.zones")
    for peer in settings.peers:
        if peer.zone not in zones:
            raise ConfigError(f"known.{peer.member}.domain: {peer.zone!r} is not in settings.zones")


def _check_teams(teams: list[Team]) -> None:
    """Check that teams are unique and named, and that no amount is negative or infinite."""
    check_unique("settings.teams.name", [team.name for team in teams])
    for team in teams:
        if not team.name:
            raise ConfigError("settings.teams.name: must not be empty")
        # Keyed by the field names in the file.
        values = msgspec.to_builtins(team)
        for name in ("cpus", "cpus_max", "gpus", "gpus_max"):
            check_not_negative(f"settings.teams.{team.name}.{name}", values[name])


def _check_announced_limits(limits: AnnouncedStateLimits | None) -> None:
    if limits is None:
        return
    for name in _POSITIVE["state"]:
        value = getattr(limits, name)
        if value is not None:
            check_positive(f"settings.state.next.{name}", value)
    if limits.txn_ops is not None and limits.txn_ops < _MIN_TXN_OPS:
        raise ConfigError(f"settings.state.next.txn_ops: must be at least {_MIN_TXN_OPS}")
