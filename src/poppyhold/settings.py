"""The platform's settings, as its file names them; `settings_file` reads and checks it."""

from __future__ import annotations

import msgspec


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
LEAST_SOCKETS = 64
# Share of the threads that users' and workers' connections may take.
CONNECTION_SHARE = 0.68


class MachineLimits(msgspec.Struct, frozen=True):
    """What this process may use."""

    core_share: float = 1.0
    ram_mb: float = 256.0
    max_sockets: int = 1000

    @property
    def threads(self) -> int:
        """What threads that hold a connection each are counted in: sockets, as far as memory carries them."""
        return min(self.max_sockets, int(self.carried / CONNECTION_SHARE))

    @property
    def carried(self) -> int:
        """Connections with their threads that memory carries."""
        return max(LEAST_SOCKETS, int((self.ram_mb - BASE_MB) / CONNECTION_MB))

    @property
    def connections(self) -> int:
        """Connections from users and workers: beside them are commands to workers, peers and the rest."""
        return min(int(self.max_sockets * CONNECTION_SHARE), self.carried)

    @property
    def machines(self) -> int:
        """Machines whose state memory carries; what is kept of each machine is bounded by it."""
        return max(LEAST_SOCKETS, int((self.ram_mb - BASE_MB) / MACHINE_MB))


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
