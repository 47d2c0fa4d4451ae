"""The platform's settings, one type per section of the file; `settings_file` reads and checks it."""

from __future__ import annotations

import msgspec


class PeerController(msgspec.Struct, frozen=True):
    """Another controller."""

    member: str
    zone: str = msgspec.field(name="domain")
    address: str


class ExternalServices(msgspec.Struct, frozen=True):
    """Addresses of the services that controllers call."""

    cloud: str
    state: str


class Team(msgspec.Struct, frozen=True):
    """A team's guarantees and limits; 0 means none."""

    name: str
    cpus: float = 0.0
    cpus_max: float = 0.0
    accelerators: float = msgspec.field(name="gpus", default=0.0)
    accelerators_max: float = msgspec.field(name="gpus_max", default=0.0)


class Objective(msgspec.Struct, frozen=True):
    """A service level objective for a class of jobs."""

    kind: str
    job_class: str | None = msgspec.field(name="class", default=None)
    within_s: float | None = None
    share: float | None = None
    times: float | None = None


class WorkerTimings(msgspec.Struct, frozen=True):
    """The workers' intervals and timeouts."""

    heartbeat_interval_s: float = msgspec.field(name="report_s", default=1.0)
    lease_s: float = 10.0
    cancel_s: float = 30.0
    # How long a gang's task waits for the other tasks of its gang before it exits.
    gang_wait_s: float = 30.0
    # Within this time the tasks of a running gang detect the loss of one of them, and an orderly stop has to
    # reach all of them.
    gang_peer_s: float = 6.0


class AnnouncedStateLimits(msgspec.Struct, frozen=True):
    """Limits that the state service will apply from an unspecified time on, without further notice."""

    rps: float | None = None
    write_rps: float | None = None
    value_kb: float | None = None
    txn_ops: int | None = None


class StateLimits(msgspec.Struct, frozen=True):
    """Limits of the state service."""

    rps: float = 50.0
    write_rps: float = 20.0
    value_kb: float = 8.0
    txn_ops: int = 10
    announced: AnnouncedStateLimits | None = msgspec.field(name="next", default=None)

    @property
    def lowest(self) -> StateLimits:
        """The lower of the current and the announced value of each limit."""
        if self.announced is None:
            return self
        after = self.announced
        return StateLimits(
            rps=min(self.rps, after.rps or self.rps),
            write_rps=min(self.write_rps, after.write_rps or self.write_rps),
            value_kb=min(self.value_kb, after.value_kb or self.value_kb),
            txn_ops=min(self.txn_ops, after.txn_ops or self.txn_ops),
        )

    @property
    def value_bytes(self) -> int:
        """The largest size of a stored value, encoded as JSON."""
        return int(self.value_kb * 1024)


class CloudLimits(msgspec.Struct, frozen=True):
    """Request limit and list lag of the cloud's API."""

    rps: float = 2.0
    list_lag_s: float = 8.0


# Memory of a process without connections; of a connection with its thread and its machine's state; and of a
# machine's state alone, if the worker's heartbeats come through a relay. See docs/CAPACITY.md.
BASE_MB, CONNECTION_MB, MACHINE_MB = 30.0, 0.06, 0.02
# Fewer sockets or threads do not suffice for the state service, the cloud, other controllers and commands.
MIN_SOCKETS = 64
# Share of the sockets available to connections of users and workers.
CONNECTION_SHARE = 0.68


class MachineLimits(msgspec.Struct, frozen=True):
    """Resources that this process may use."""

    core_share: float = 1.0
    ram_mb: float = 256.0
    max_sockets: int = 1000

    @property
    def threads(self) -> int:
        """Connection threads, one per connection, that the sockets and the memory allow."""
        return min(self.max_sockets, int(self.memory_connections / CONNECTION_SHARE))

    @property
    def memory_connections(self) -> int:
        """Connections, with their threads, that fit in memory."""
        return max(MIN_SOCKETS, int((self.ram_mb - BASE_MB) / CONNECTION_MB))

    @property
    def connections(self) -> int:
        """Connections of users and workers; the other sockets are for commands, peers and other calls."""
        return min(int(self.max_sockets * CONNECTION_SHARE), self.memory_connections)

    @property
    def machines(self) -> int:
        """Machines whose state fits in memory; bounds the records that are kept per machine."""
        return max(MIN_SOCKETS, int((self.ram_mb - BASE_MB) / MACHINE_MB))


class Deployment(msgspec.Struct, frozen=True):
    """The settings that all controllers of a deployment share."""

    controllers: int = msgspec.field(name="count")
    zones: list[str]
    skew_ms: float = 0.0
    teams: list[Team] = []
    objectives: list[Objective] = []
    workers: WorkerTimings = WorkerTimings()
    state: StateLimits = StateLimits()
    cloud: CloudLimits = CloudLimits()
    machine_limits: MachineLimits = MachineLimits()


class Settings(msgspec.Struct, frozen=True):
    """One controller's settings file."""

    member: str
    zone: str = msgspec.field(name="domain")
    client_listen: str
    peer_listen: str = msgspec.field(name="back")
    external_services: ExternalServices = msgspec.field(name="outside")
    deployment: Deployment = msgspec.field(name="settings")
    peers: list[PeerController] = msgspec.field(name="known", default=[])
