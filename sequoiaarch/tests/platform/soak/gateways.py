"""Run gateways as separate processes, each behind proxies of its own."""

from __future__ import annotations

import asyncio
import os
import signal
import socket
import sys
from pathlib import Path

from ....standins.keyed_store import KeyedStore
from ..http_store import HttpStore
from .proxy import LOOPBACK, FaultProxy

MODULE = "sequoiaarch.platform"
GRACE_SECONDS = 8
START_SECONDS = 10.0
HANG_UP_POLL = 0.01
PARTITIONS = 12
SETTINGS = """
nodeName = "{name}"
ip = "{ip}"
zone = "{zone}"
internalPortRange = [{control}, {control}]
seeds = {seeds}
[listen]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
control = "{ip}:{control}"
[limits]
memoryMb = 200
maxFds = 2000
[bounds]
graceS = {grace}
revokeStrict = true
revokeMs = 5000
quotaWindowS = 5
quotaOverage = 0.1
quotaSlack = 20
[platform]
address = "{store_ip}:{store}"
parts = {parts}
"""


def own_address(number: int) -> str:
    """Return a loopback address that no other process of the machine uses.

    A port that was free a moment ago may be another soak's by the time that a
    gateway binds it; on an address of its own nobody else takes it.
    """
    pid = os.getpid()
    return f"127.{1 + (pid >> 8) % 200}.{pid & 0xFF}.{1 + number}"


def free_port(address: str) -> int:
    """Return a port that the kernel has free."""
    with socket.socket() as probe:
        probe.bind((address, 0))
        return int(probe.getsockname()[1])


class Gateway:
    """Hold one gateway: its process, its settings and the proxies around it.

    `life` counts its processes. Callers come through `callers`, other gateways
    through `from_peers`, its calls to the store go through `to_store`.
    """

    def __init__(
        self, *, number: int, zone: str, store: KeyedStore, folder: Path, module: str
    ) -> None:
        name = f"gateway-{number}"
        self.name = name
        self._address = own_address(number)
        self.zone = zone
        self.control = free_port(self._address)
        self.store = HttpStore(store=store)
        self.life = 0
        # Changes with each fault that may cut connections of this gateway.
        self.quiet_since = 0.0
        self.killed_at = 0.0
        self._ready_port = free_port(self._address)
        self._front_port = free_port(self._address)
        self._module = module
        self._settings = folder / f"{name}.toml"
        self._log = folder / f"{name}.log"
        self._process: asyncio.subprocess.Process | None = None
        self.callers = FaultProxy(target=(self._address, self._front_port))
        self.from_peers = FaultProxy(target=(self._address, self.control))
        self.to_store = FaultProxy(target=(LOOPBACK, 0))

    @property
    def running(self) -> bool:
        """Return whether the process runs."""
        return self._process is not None and self._process.returncode is None

    @property
    def inner(self) -> str:
        """Return the address at which other gateways reach this one."""
        return f"{LOOPBACK}:{self.from_peers.port}"

    async def listen(self) -> None:
        """Start the proxies."""
        await self.store.server.start(LOOPBACK, 0)
        self.to_store.target = (LOOPBACK, self.store.server.port)
        await self.to_store.start()
        await self.callers.start()
        await self.from_peers.start()

    def write_settings(self, seeds: list[str]) -> None:
        """Write the settings, with addresses of other gateways."""
        text = SETTINGS.format(
            name=self.name,
            ip=self._address,
            store_ip=LOOPBACK,
            zone=self.zone,
            seeds=seeds,
            front=self._front_port,
            ready=self._ready_port,
            control=self.control,
            store=self.to_store.port,
            grace=GRACE_SECONDS,
            parts=PARTITIONS,
        )
        self._settings.write_text(text.replace("'", '"'))

    async def start(self) -> None:
        """Start a process; it may not be ready yet."""
        self.life += 1
        with self._log.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                self._module,
                stdout=log,
                stderr=log,
                env={**os.environ, "SEQUOIAARCH_SETTINGS": str(self._settings)},
            )

    async def ready(self) -> bool:
        """Return whether the process says that it takes callers."""
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(
                    self._address, self._ready_port
                )
                writer.write(b"GET /-/readyz HTTP/1.1\r\nHost: x\r\n\r\n")
                line = await reader.readline()
                writer.close()
        except (OSError, TimeoutError):
            return False
        return b" 200 " in line

    @property
    def standing(self) -> str:
        """Return whether the process runs, or how it ended."""
        if self.running:
            return "running"
        code = None if self._process is None else self._process.returncode
        return f"ended with {code}"

    async def hang_up(self) -> None:
        """Tell the process that its settings have changed.

        In its first 50 ms the interpreter runs none of the product yet, and the
        signal ends it whatever the product does.
        """
        while self.running and self._dies_of(signal.SIGHUP):
            await asyncio.sleep(HANG_UP_POLL)
        self.signal(signal.SIGHUP)

    def _dies_of(self, number: signal.Signals) -> bool:
        """Return whether the process neither ignores nor handles a signal."""
        assert self._process is not None
        try:
            text = Path(f"/proc/{self._process.pid}/status").read_text()
        except FileNotFoundError:
            # It has ended, which `running` tells a moment later.
            return True
        lines = text.splitlines()
        fields = dict(line.split(":\t", 1) for line in lines if ":\t" in line)
        dealt_with = int(fields["SigIgn"], 16) | int(fields["SigCgt"], 16)
        return not dealt_with >> (number - 1) & 1

    def disturb(self) -> None:
        """Note a fault that may cut what is under way."""
        self.quiet_since = asyncio.get_running_loop().time()

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it runs."""
        if self.running:
            assert self._process is not None
            self._process.send_signal(number)

    async def ended(self, timeout: float) -> bool:
        """Wait until the process has ended; False after so many seconds."""
        if self._process is None:
            return True
        try:
            async with asyncio.timeout(timeout):
                await self._process.wait()
        except TimeoutError:
            return False
        return True

    async def kill(self) -> None:
        """Kill the process and wait for its end."""
        self.disturb()
        self.killed_at = asyncio.get_running_loop().time()
        self.signal(signal.SIGKILL)
        await self.ended(START_SECONDS)

    async def stop_planned(self) -> None:
        """Stop as the platform does: a request first, force after the grace."""
        self.signal(signal.SIGTERM)
        if not await self.ended(GRACE_SECONDS):
            await self.kill()

    async def close(self) -> None:
        """End the process and the proxies."""
        self.signal(signal.SIGCONT)
        await self.kill()
        await self.callers.stop()
        await self.from_peers.stop()
        await self.to_store.stop()
        self.store.server.stop_accepting()
        self.store.server.abort()
