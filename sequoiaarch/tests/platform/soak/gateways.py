"""Run gateways as separate processes, each behind its own proxies."""

from __future__ import annotations

import asyncio
import math
import os
import signal
import socket
import sys
from pathlib import Path

from ....standins.keyed_store import KeyedStore
from ..http_store import HttpStore
from .proxied_store import ProxiedStore
from .proxy import LOOPBACK, FaultProxy

MODULE = "sequoiaarch.platform"
GRACE_SECONDS = 8
START_SECONDS = 10.0
SIGHUP_POLL_INTERVAL = 0.01
PARTITIONS = 12
SETTINGS = """
nodeName = "{name}"
heartbeatMs = 1200
ip = "{ip}"
zone = "{zone}"
contracts = {contracts}
internalPortRange = [{control}, {control}]
seeds = {seeds}
[listen]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
control = "{ip}:{control}"
[limits]
memoryMb = {memory_mb}
maxFds = {descriptors}
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
    """Return a loopback address that depends on the process id.

    Otherwise another soak could take a free port before the gateway listens on it.
    """
    process_id = os.getpid()
    return f"127.{1 + (process_id >> 8) % 200}.{process_id & 0xFF}.{1 + number}"


def free_port(address: str) -> int:
    """Return a free port."""
    with socket.socket() as probe:
        probe.bind((address, 0))
        return int(probe.getsockname()[1])


class Gateway:
    """One gateway: its process, its settings and its proxies.

    `generation` counts the processes started. Callers connect through
    `caller_proxy`, other gateways through `peer_proxy`, and the gateway connects to
    the store through `store_proxy`.
    """

    def __init__(
        self,
        *,
        number: int,
        zone: str,
        store: KeyedStore,
        proxies: dict[str, str],
        folder: Path,
        module: str,
        name: str | None = None,
        contracts: tuple[str, ...] = (),
        memory_mb: int = 200,
        descriptors: int = 2000,
    ) -> None:
        self.name = name or f"gateway-{number}"
        self._address = own_address(number)
        self.zone = zone
        self.control_port = free_port(self._address)
        self._proxies = proxies
        self._inner_address = f"{self._address}:{self.control_port}"
        self.store_server = HttpStore(
            store=ProxiedStore(
                shared=store, proxies=proxies, own_address=self._inner_address
            )
        )
        self.generation = 0
        # Loop time of the last fault that may break connections of this gateway.
        self.disturbed_at = 0.0
        self.killed_at = 0.0
        self.started_at = 0.0
        self._store_away = 0
        self._store_back_at = 0.0
        self._stopping = False
        self._ready_port = free_port(self._address)
        self._front_port = free_port(self._address)
        self._module = module
        self._contracts = list(contracts)
        self._memory_mb = memory_mb
        self._descriptors = descriptors
        self._settings = folder / f"gateway-{number}.toml"
        self._log = folder / f"gateway-{number}.log"
        self._process: asyncio.subprocess.Process | None = None
        self.caller_proxy = FaultProxy(target=(self._address, self._front_port))
        self.peer_proxy = FaultProxy(target=(self._address, self.control_port))
        self.store_proxy = FaultProxy(target=(LOOPBACK, 0))

    @property
    def running(self) -> bool:
        """Return whether the process runs."""
        return self._process is not None and self._process.returncode is None

    @property
    def peer_address(self) -> str:
        """Return the address at which other gateways connect to this one."""
        return f"{LOOPBACK}:{self.peer_proxy.port}"

    @property
    def front_address(self) -> tuple[str, int]:
        """Return the address for callers that is behind no proxy."""
        return self._address, self._front_port

    @property
    def ready_address(self) -> tuple[str, int]:
        """Return the address of the readiness probe."""
        return self._address, self._ready_port

    @property
    def inner_address(self) -> tuple[str, int]:
        """Return the address for other gateways that is behind no proxy."""
        return self._address, self.control_port

    @property
    def pid(self) -> int:
        """Return the id of the process."""
        assert self._process is not None
        return self._process.pid

    @property
    def undisturbed_since(self) -> float:
        """Return since when the process and its links are undisturbed."""
        if self._store_away or self._stopping or not self.running:
            return math.inf
        return max(self.disturbed_at, self.started_at, self._store_back_at)

    def store_away(self) -> None:
        """Note that this gateway's path to the store, or its process, is disturbed."""
        self._store_away += 1

    def store_back(self) -> None:
        """Note the end of such a disturbance."""
        self._store_away -= 1
        self._store_back_at = asyncio.get_running_loop().time()

    def silence(self, *, peers_too: bool) -> None:
        """Silence the open connections to the store, and those from peers too."""
        self.store_proxy.silence()
        if peers_too:
            self.peer_proxy.silence()
        self._store_back_at = asyncio.get_running_loop().time()

    async def listen(self) -> None:
        """Start the store server and the proxies."""
        await self.store_server.server.start(LOOPBACK, 0)
        self.store_proxy.target = (LOOPBACK, self.store_server.server.port)
        await self.store_proxy.start()
        await self.caller_proxy.start()
        await self.peer_proxy.start()
        self._proxies[self._inner_address] = self.peer_address

    def write_settings(self, seeds: list[str]) -> None:
        """Write the settings, with addresses of other gateways as seeds."""
        text = SETTINGS.format(
            name=self.name,
            ip=self._address,
            store_ip=LOOPBACK,
            zone=self.zone,
            seeds=seeds,
            contracts=self._contracts,
            memory_mb=self._memory_mb,
            descriptors=self._descriptors,
            front=self._front_port,
            ready=self._ready_port,
            control=self.control_port,
            store=self.store_proxy.port,
            grace=GRACE_SECONDS,
            parts=PARTITIONS,
        )
        self._settings.write_text(text.replace("'", '"'))

    async def start(self) -> None:
        """Start a process without waiting until it is ready."""
        self.generation += 1
        self._stopping = False
        self.started_at = asyncio.get_running_loop().time()
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
        """Return whether the readiness endpoint answers 200."""
        return await self._get("/-/readyz") is not None

    async def programs_on_engines(self) -> float | None:
        """Return the programs on all owned engines; None if no metrics are served."""
        text = await self._get("/metrics")
        if text is None:
            return None
        return sum(
            float(line.split()[-1])
            for line in text.splitlines()
            if line.startswith(b"sequoiaarch_engine_programs{")
        )

    async def _get(self, path: str) -> bytes | None:
        """Return the answer of the ready address; None unless its status is 200."""
        request = f"GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(
                    self._address, self._ready_port
                )
                writer.write(request.encode())
                text = await reader.read()
                writer.close()
        except (OSError, TimeoutError):
            return None
        return text if b" 200 " in text.split(b"\n", 1)[0] else None

    @property
    def process_state(self) -> str:
        """Return whether the process runs, or how it ended."""
        if self.running:
            return "running"
        code = None if self._process is None else self._process.returncode
        return f"ended with {code}"

    async def send_hangup(self) -> None:
        """Send SIGHUP once the process handles or ignores it.

        The signal ends a process that has not set up its handling yet.
        """
        while self.running and self._is_terminated_by(signal.SIGHUP):
            await asyncio.sleep(SIGHUP_POLL_INTERVAL)
        self.signal(signal.SIGHUP)

    def _is_terminated_by(self, number: signal.Signals) -> bool:
        """Return whether the process neither ignores nor handles the signal."""
        assert self._process is not None
        try:
            text = Path(f"/proc/{self._process.pid}/status").read_text()
        except FileNotFoundError:
            # The process has ended, which `running` notices a moment later.
            return True
        lines = text.splitlines()
        fields = dict(line.split(":\t", 1) for line in lines if ":\t" in line)
        handled = int(fields["SigIgn"], 16) | int(fields["SigCgt"], 16)
        return not handled >> (number - 1) & 1

    def record_disturbance(self) -> None:
        """Record a fault that may break open connections."""
        self.disturbed_at = asyncio.get_running_loop().time()

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it runs."""
        if self.running:
            assert self._process is not None
            self._process.send_signal(number)

    async def wait_ended(self, timeout: float) -> bool:
        """Wait until the process has ended; return False on timeout."""
        if self._process is None:
            return True
        try:
            async with asyncio.timeout(timeout):
                await self._process.wait()
        except TimeoutError:
            return False
        return True

    async def kill(self) -> None:
        """Kill the process and wait until it has ended."""
        self.record_disturbance()
        self.killed_at = asyncio.get_running_loop().time()
        self.signal(signal.SIGKILL)
        await self.wait_ended(START_SECONDS)

    async def stop_gracefully(self) -> None:
        """Stop as the platform does: SIGTERM, and SIGKILL after the grace period."""
        self._stopping = True
        self.signal(signal.SIGTERM)
        if not await self.wait_ended(GRACE_SECONDS):
            await self.kill()

    async def close(self) -> None:
        """End the process and the proxies."""
        self.signal(signal.SIGCONT)
        await self.kill()
        await self.caller_proxy.stop()
        await self.peer_proxy.stop()
        await self.store_proxy.stop()
        self.store_server.server.stop_accepting()
        self.store_server.server.abort()
