"""The platform's settings file (TOML), checked; fields we don't know are ignored."""

from __future__ import annotations

import tomllib
from collections import Counter
from pathlib import Path

import msgspec


class ConfigError(Exception):
    """A settings or options file that can't be used; the text names the field."""


class Known(msgspec.Struct, frozen=True):
    """Another controller."""

    member: str
    domain: str
    address: str


class Outside(msgspec.Struct, frozen=True):
    """The services that controllers call."""

    cloud: str
    state: str


class Team(msgspec.Struct, frozen=True):
    """A team's guarantee and limit; 0 as a limit means that there is none."""

    name: str
    cpus: float = 0.0
    cpus_max: float = 0.0
    gpus: float = 0.0
    gpus_max: float = 0.0


class Objective(msgspec.Struct, frozen=True):
    """What is expected of a class of jobs."""

    kind: str
    job_class: str | None = msgspec.field(name="class", default=None)
    within_s: float | None = None
    share: float | None = None
    times: float | None = None


class Workers(msgspec.Struct, frozen=True):
    """The workers' times."""

    heartbeat_interval_s: float = msgspec.field(name="report_s", default=1.0)
    lease_s: float = 10.0
    cancel_s: float = 30.0
    # How long a gang's task waits for the rest of its gang before it exits.
    gang_wait_s: float = 30.0
    # Within this time the tasks of a running gang notice that one of them is gone, and all of them have to
    # be told of an orderly stop.
    gang_peer_s: float = 6.0


class NextState(msgspec.Struct, frozen=True):
    """Limits that the state service will have from some moment on, without notice."""

    rps: float | None = None
    write_rps: float | None = None
    value_kb: float | None = None
    txn_ops: int | None = None


class State(msgspec.Struct, frozen=True):
    """Limits of the state service."""

    rps: float = 50.0
    write_rps: float = 20.0
    value_kb: float = 8.0
    txn_ops: int = 10
    next: NextState | None = None

    @property
    def lowest(self) -> State:
        """The limits that hold now and from the announced change on: the smaller of each."""
        if self.next is None:
            return self
        after = self.next
        return State(
            rps=min(self.rps, after.rps or self.rps),
            write_rps=min(self.write_rps, after.write_rps or self.write_rps),
            value_kb=min(self.value_kb, after.value_kb or self.value_kb),
            txn_ops=min(self.txn_ops, after.txn_ops or self.txn_ops),
        )

    @property
    def value_bytes(self) -> int:
        """The largest value that may be stored, as JSON."""
        return int(self.value_kb * 1024)


class Cloud(msgspec.Struct, frozen=True):
    """Limits and lag of the cloud's interface."""

    rps: float = 2.0
    list_lag_s: float = 8.0


# What a process takes before anybody connects; what a connection takes with its thread and its machine's
# state; and what that state alone takes where a worker reports through a relay. See docs/CAPACITY.md.
BASE_MB, CONNECTION_MB, MACHINE_MB = 30.0, 0.06, 0.02
# Sockets and threads for the state service, the cloud, other controllers and commands; fewer are not enough.
_LEAST_SOCKETS = 64
# Share of the threads that users' and workers' connections may take.
_CONNECTION_SHARE = 0.68


class MachineLimits(msgspec.Struct, frozen=True):
    """What this process may use."""

    core_share: float = 1.0
    ram_mb: float = 256.0
    max_sockets: int = 1000

    @property
    def threads(self) -> int:
        """What threads that hold a connection each are counted in: sockets, as far as memory carries them."""
        return min(self.max_sockets, int(self.carried / _CONNECTION_SHARE))

    @property
    def carried(self) -> int:
        """Connections with their threads that memory carries."""
        return max(_LEAST_SOCKETS, int((self.ram_mb - BASE_MB) / CONNECTION_MB))

    @property
    def connections(self) -> int:
        """Connections from users and workers: beside them are commands to workers, peers and the rest."""
        return min(int(self.max_sockets * _CONNECTION_SHARE), self.carried)

    @property
    def machines(self) -> int:
        """Machines whose state memory carries; what is kept of each machine is bounded by it."""
        return max(_LEAST_SOCKETS, int((self.ram_mb - BASE_MB) / MACHINE_MB))


class Deployment(msgspec.Struct, frozen=True):
    """The figures of a deployment."""

    count: int
    zones: list[str]
    skew_ms: float = 0.0
    teams: list[Team] = []
    objectives: list[Objective] = []
    workers: Workers = Workers()
    state: State = State()
    cloud: Cloud = Cloud()
    machine_limits: MachineLimits = MachineLimits()


class Settings(msgspec.Struct, frozen=True):
    """One controller's settings file."""

    member: str
    domain: str
    client_listen: str
    back: str
    outside: Outside
    settings: Deployment
    known: list[Known] = []


# A job's move to its final record takes three changes in one transaction.
_LEAST_CHANGES = 3

# What must be above 0 for the ratios built on it to mean anything.
_POSITIVE = {
    "workers": ("report_s", "lease_s", "cancel_s", "gang_wait_s", "gang_peer_s"),
    "state": ("rps", "write_rps", "value_kb", "txn_ops"),
    "cloud": ("rps", "list_lag_s"),
    "machine_limits": ("core_share", "ram_mb", "max_sockets"),
}


def strains(settings: Settings) -> list[str]:
    """Limits that don't go together, a line each: the service runs with them, but not as it might."""
    limits = settings.settings.machine_limits
    found = []
    if limits.max_sockets < _LEAST_SOCKETS:
        found.append(f"settings.machine_limits.max_sockets: {limits.max_sockets} leave workers hardly any")
    wanted = int(limits.max_sockets * _CONNECTION_SHARE)
    if limits.connections < wanted:
        part = f"carries about {limits.connections} of {wanted} connections"
        found.append(f"settings.machine_limits.ram_mb: {part}")
    workers = settings.settings.workers
    if workers.cancel_s < 2 * workers.lease_s:
        found.append("settings.workers.cancel_s: below two leases, so work will not outlast long outages")
    return found


_HIGHEST_PORT = 65535


def split_address(text: str, field: str = "address") -> tuple[str, int]:
    """Split ``host:port``."""
    host, _, port = text.rpartition(":")
    if not host or not port.isascii() or not port.isdigit() or not 0 < int(port) <= _HIGHEST_PORT:
        raise ConfigError(f"{field}: {text!r} is not host:port")
    return host, int(port)


def load_settings(path: str | Path) -> Settings:
    """Read and check a settings file."""
    try:
        raw = tomllib.loads(Path(path).read_text(encoding="utf-8"))
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror}") from error
    except (UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise ConfigError(f"{path}: {error}") from error
    try:
        settings = msgspec.convert(raw, Settings)
    except msgspec.ValidationError as error:
        raise ConfigError(f"{path}: {error}") from error
    try:
        _check(settings)
    except ConfigError as error:
        raise ConfigError(f"{path}: {error}") from error
    return settings


def _check(settings: Settings) -> None:
    split_address(settings.client_listen, "client_listen")
    split_address(settings.back, "back")
    split_address(settings.outside.cloud, "outside.cloud")
    split_address(settings.outside.state, "outside.state")
    for peer in settings.known:
        split_address(peer.address, f"known.{peer.member}.address")
    deployment = settings.settings
    if deployment.count < 1:
        raise ConfigError("settings.count: must be above 0")
    if not 0 <= deployment.skew_ms < float("inf"):
        raise ConfigError("settings.skew_ms: must not be below 0")
    for section, names in _POSITIVE.items():
        values = msgspec.to_builtins(getattr(deployment, section))
        for name in names:
            value = values[name]
            if not 0 < value < float("inf"):
                raise ConfigError(f"settings.{section}.{name}: must be above 0")
    _check_next(deployment.state.next)
    _check_zones(settings)
    _check_teams(deployment.teams)
    if deployment.workers.cancel_s <= deployment.workers.lease_s:
        raise ConfigError("settings.workers.cancel_s: must be above lease_s")


def _check_zones(settings: Settings) -> None:
    """Each zone is named once, each controller stands in one of them, and none of them is there twice."""
    zones = settings.settings.zones
    if not zones:
        raise ConfigError("settings.zones: must name a zone")
    _check_unique("settings.zones", zones)
    _check_unique("known.member", [settings.member, *(peer.member for peer in settings.known)])
    if settings.domain not in zones:
        raise ConfigError(f"domain: {settings.domain!r} is not in settings.zones")
    for peer in settings.known:
        if peer.domain not in zones:
            raise ConfigError(f"known.{peer.member}.domain: {peer.domain!r} is not in settings.zones")


def _check_teams(teams: list[Team]) -> None:
    """Each team is named once, with amounts that can be."""
    _check_unique("settings.teams.name", [team.name for team in teams])
    for team in teams:
        if not team.name:
            raise ConfigError("settings.teams.name: must not be empty")
        for name in ("cpus", "cpus_max", "gpus", "gpus_max"):
            if not 0 <= getattr(team, name) < float("inf"):
                raise ConfigError(f"settings.teams.{team.name}.{name}: must not be below 0")


def _check_unique(field: str, names: list[str]) -> None:
    twice = next((name for name, times in Counter(names).items() if times > 1), None)
    if twice is not None:
        raise ConfigError(f"{field}: {twice!r} is there twice")


def _check_next(limits: NextState | None) -> None:
    for name in ("rps", "write_rps", "value_kb", "txn_ops"):
        value = getattr(limits, name, None)
        if value is not None and not 0 < value < float("inf"):
            raise ConfigError(f"settings.state.next.{name}: must be above 0")
    if limits is not None and limits.txn_ops is not None and limits.txn_ops < _LEAST_CHANGES:
        raise ConfigError(f"settings.state.next.txn_ops: must be at least {_LEAST_CHANGES}")
