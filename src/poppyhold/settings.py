"""The platform's settings, as its file names them; `settings_file` reads and checks it."""

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
    """A team's guarantees and limits; 0 means that there is none."""

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
    # How long a gang's task waits for the rest of its gang before it exits.
    gang_wait_s: float = 30.0
    # Within this time the tasks of a running gang notice that one of them is lost, and all of them have to
    # be told of an orderly stop.
    gang_peer_s: float = 6.0


class AnnouncedStateLimits(msgspec.Struct, frozen=True):
    """Limits that the state service will have from some moment on, without further notice."""

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
        """The limits that apply now and after the announced change: the smaller of each."""
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
        """The largest value that may be stored, as JSON."""
        return int(self.value_kb * 1024)


class CloudLimits(msgspec.Struct, frozen=True):
    """Limits and lag of the cloud's interface."""

    rps: float = 2.0
    list_lag_s: float = 8.0


# Memory of a process before anybody connects; of a connection with its thread and its machine's state; and of
# that state alone, where a worker's heartbeats come through a relay. See docs/CAPACITY.md.
BASE_MB, CONNECTION_MB, MACHINE_MB = 30.0, 0.06, 0.02
# Sockets and threads for the state service, the cloud, other controllers and commands; fewer are not enough.
MIN_SOCKETS = 64
# Share of the sockets that users' and workers' connections may take.
CONNECTION_SHARE = 0.68


class MachineLimits(msgspec.Struct, frozen=True):
    """Resources that this process may use."""

    core_share: float = 1.0
    ram_mb: float = 256.0
    max_sockets: int = 1000

    @property
    def threads(self) -> int:
        """Threads that may hold a connection each: as many as there are sockets, and memory for."""
        return min(self.max_sockets, int(self.memory_connections / CONNECTION_SHARE))

    @property
    def memory_connections(self) -> int:
        """Connections with their threads that there is memory for."""
        return max(MIN_SOCKETS, int((self.ram_mb - BASE_MB) / CONNECTION_MB))

    @property
    def connections(self) -> int:
        """Connections from users and workers; the others are for commands to workers, peers and the rest."""
        return min(int(self.max_sockets * CONNECTION_SHARE), self.memory_connections)

    @property
    def machines(self) -> int:
        """Machines whose state there is memory for; it bounds what is kept of each machine."""
        return max(MIN_SOCKETS, int((self.ram_mb - BASE_MB) / MACHINE_MB))


class Deployment(msgspec.Struct, frozen=True):
    """The part of the settings that all controllers of a deployment share."""

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
