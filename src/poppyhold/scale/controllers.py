"""Real controllers as processes on loopback, and the links between them, which count bytes."""

from __future__ import annotations

import asyncio
import contextlib
import os
import random
import signal
import socket
import subprocess
import sys
from pathlib import Path

from poppyhold.scale.async_http import Connection, NoResponseError
from poppyhold.scale.external_services import CLOUD_LAG_S, CLOUD_RPS
from poppyhold.scale.measure import ProcessMeter
from poppyhold.scale.profile import Profile

_CHUNK_BYTES = 64 * 1024
_POLL_INTERVAL_S = 0.05
_KILL_WAIT_S = 5.0
_PORT_RANGE = range(15_000, 32_000)
_allocated_ports: set[int] = set()


def free_port() -> int:
    """Return an unused loopback port below the ephemeral range.

    An outgoing connection can take an ephemeral port before the listener binds it. No port is returned twice:
    several cells need some fifty at once, and a controller whose port duplicates another's never starts.
    """
    for port in random.sample(_PORT_RANGE, len(_PORT_RANGE)):
        if port in _allocated_ports:
            continue
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind(("127.0.0.1", port))
            _allocated_ports.add(port)
            return port
    raise OSError("no port is free")


class Link:
    """Forwards connections from one controller to another's port and counts the bytes.

    While the target's process is down, the link does not listen either: controllers detect a stopped process
    by refused connections.
    """

    def __init__(self, target: int) -> None:
        self.port = free_port()
        self._target = target
        self._server: asyncio.Server | None = None
        self.bytes = 0

    async def open(self) -> None:
        """Start to listen."""
        if self._server is None:
            self._server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)

    def close(self) -> None:
        """Refuse new connections; open ones end with the target's process."""
        if self._server is not None:
            self._server.close()
            self._server = None

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            target_reader, target_writer = await asyncio.open_connection("127.0.0.1", self._target)
        except OSError:
            writer.close()
            return
        await asyncio.gather(
            self._forward(reader, target_writer, is_request=True),
            self._forward(target_reader, writer, is_request=False),
        )

    async def _may_forward(self, is_request: bool) -> bool:
        """Whether data that was read is forwarded; if not, the connection is closed."""
        return True

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, is_request: bool
    ) -> None:
        try:
            while data := await reader.read(_CHUNK_BYTES):
                if not await self._may_forward(is_request):
                    return
                self.bytes += len(data)
                writer.write(data)
                await writer.drain()
        except OSError:
            return
        finally:
            writer.close()


class ControllerProcess:
    """One controller: its settings file, its process, and the links that lead to it."""

    def __init__(self, member: str, zone: str) -> None:
        self.member, self.zone = member, zone
        self.port, self.peer_port = free_port(), free_port()
        self.links: dict[str, Link] = {}
        self.meter = ProcessMeter()
        self.settings: Path | None = None
        self._process: subprocess.Popen[bytes] | None = None
        # Exits other than by `kill`.
        self.ended_by_itself = 0

    @property
    def alive(self) -> bool:
        """Whether the process is running."""
        return self._process is not None and self._process.poll() is None

    def start(self, options: Path, log: Path) -> None:
        """Start the process."""
        assert self.settings is not None
        files = ["--config", str(self.settings), "--options", str(options)]
        command = [sys.executable, "-m", "poppyhold", "serve", *files]
        environment = {**os.environ, "PYTHONPATH": os.pathsep.join(path for path in sys.path if path)}
        with log.open("ab") as stderr:
            self._process = subprocess.Popen(command, env=environment, stderr=stderr)
        self.meter.follow(self._process.pid)

    def kill(self) -> None:
        """Kill the process and close the links that lead to it."""
        if self._process is not None:
            self._process.kill()
            self._process.wait(_KILL_WAIT_S)
            self._process = None
        for link in self.links.values():
            link.close()

    def suspend(self) -> None:
        """Suspend the process (SIGSTOP)."""
        if self._process is not None:
            self._process.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resume the process if it is suspended (SIGCONT)."""
        if self._process is not None:
            self._process.send_signal(signal.SIGCONT)

    def poll_exit(self) -> bool:
        """Whether the process has exited unexpectedly since the last call; counts such exits."""
        if self._process is None or self._process.poll() is None:
            return False
        self._process = None
        self.ended_by_itself += 1
        return True


def members(profile: Profile) -> list[str]:
    """Names of a run's controllers."""
    return [f"hive-{index}" for index in range(profile.controllers)]


class Controllers:
    """All controllers of a run."""

    def __init__(
        self,
        profile: Profile,
        folder: Path,
        state_ports: dict[str, int],
        cloud_port: int,
        link_type: type[Link] = Link,
    ) -> None:
        """``state_ports`` is the port of the state service for each member."""
        self._profile, self._folder = profile, folder
        zones = profile.zones
        self.all = [
            ControllerProcess(member, zones[index % len(zones)])
            for index, member in enumerate(members(profile))
        ]
        self._options = folder / "options.txtpb"
        relays = f"relays {{ mode: {profile.relays.upper()} }}\n"
        self._options.write_text(_OPTIONS + relays, encoding="utf-8")
        for controller in self.all:
            for other in self.all:
                if other is not controller:
                    controller.links[other.member] = link_type(controller.peer_port)
        for controller in self.all:
            controller.settings = folder / f"{controller.member}.toml"
            text = self._settings(controller, state_ports[controller.member], cloud_port)
            controller.settings.write_text(text, encoding="utf-8")

    def add_options(self, text: str) -> None:
        """Append to the options file that controllers read at their next start."""
        with self._options.open("a", encoding="utf-8") as options:
            options.write(text)

    @property
    def ports(self) -> dict[str, int]:
        """Each controller's port for users and workers."""
        return {controller.member: controller.port for controller in self.all}

    def get(self, member: str) -> ControllerProcess:
        """The controller with that name."""
        return next(controller for controller in self.all if controller.member == member)

    async def start(self, controller: ControllerProcess) -> None:
        """Start a controller, and open the links to it once it listens."""
        controller.start(self._options, self._folder / f"{controller.member}.log")
        while controller.alive:
            try:
                _, writer = await asyncio.open_connection("127.0.0.1", controller.peer_port)
            except OSError:
                await asyncio.sleep(_POLL_INTERVAL_S)
                continue
            writer.close()
            for link in controller.links.values():
                await link.open()
            return

    async def ready(self, controller: ControllerProcess) -> None:
        """Wait until the controller serves requests."""
        connection = Connection(controller.port)
        while True:
            try:
                if (await connection.request("GET", "/ready", None, 1.0))[0] == 200:  # noqa: PLR2004
                    connection.close()
                    return
            except NoResponseError:
                pass
            await asyncio.sleep(_POLL_INTERVAL_S)

    def kill_all(self) -> None:
        """Kill every process."""
        for controller in self.all:
            controller.kill()

    def peer_bytes(self) -> int:
        """Bytes sent between controllers, in both directions."""
        return sum(link.bytes for controller in self.all for link in controller.links.values())

    def _settings(self, controller: ControllerProcess, state_port: int, cloud_port: int) -> str:
        profile = self._profile
        zones = ", ".join(f'"{zone}"' for zone in profile.zones)
        lines = [
            f'member = "{controller.member}"',
            f'domain = "{controller.zone}"',
            f'client_listen = "127.0.0.1:{controller.port}"',
            f'back = "127.0.0.1:{controller.peer_port}"',
        ]
        for other in self.all:
            if other is not controller:
                port = other.links[controller.member].port
                lines += ["[[known]]", f'member = "{other.member}"', f'domain = "{other.zone}"']
                lines.append(f'address = "127.0.0.1:{port}"')
        lines += [
            "[outside]",
            f'cloud = "127.0.0.1:{cloud_port}"',
            f'state = "127.0.0.1:{state_port}"',
            "[settings]",
            f"count = {profile.controllers}",
            f"zones = [{zones}]",
        ]
        for team, limit in team_limits(profile).items():
            guaranteed = round(limit * profile.team_guarantee)
            lines += ["[[settings.teams]]", f'name = "{team}"', f"gpus_max = {limit}"]
            lines += [f"gpus = {guaranteed}"]
        lines += [
            *_section(
                "workers",
                report_s=profile.heartbeat_interval_s,
                lease_s=profile.lease_s,
                cancel_s=profile.cancel_s,
            ),
            *_section(
                "state",
                rps=profile.state.rps,
                write_rps=profile.state.write_rps,
                value_kb=profile.state.value_kb,
                txn_ops=profile.state.txn_ops,
            ),
            *_section("cloud", rps=CLOUD_RPS, list_lag_s=CLOUD_LAG_S),
            *_section(
                "machine_limits",
                core_share=profile.limits.core_share,
                ram_mb=profile.limits.ram_mb,
                max_sockets=profile.limits.max_sockets,
            ),
        ]
        return "\n".join(lines) + "\n"


# Idle machines are kept, so that the fleet stays at its given size.
_OPTIONS = "provisioning { keep_boots: 100 }\n"


def _section(name: str, **fields: float) -> list[str]:
    return [f"[settings.{name}]", *(f"{field} = {value}" for field, value in fields.items())]


def team_limits(profile: Profile) -> dict[str, float]:
    """Each team's limit of accelerators, over all cells."""
    shapes = profile.machine_types
    each_worker = sum(shape.accelerators * shape.share for shape in shapes)
    accelerators = each_worker * profile.workers * profile.cells
    limit = max(1.0, round(accelerators * profile.team_limit / profile.teams))
    return {f"team-{index}": limit for index in range(profile.teams)}
