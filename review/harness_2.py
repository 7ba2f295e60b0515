"""Run gateways as processes against small stand-ins on loopback addresses.

The store is the project's own stand-in; the servers and clients here follow the
users' pages. A case writes what was sent, answered and run to `record.txt`.
"""

from __future__ import annotations

import asyncio
import json
import os
import shutil
import signal
import socket
import sys
import tempfile
import time
from pathlib import Path

from sequoiaarch.standins.keyed_store import KeyedStore
from sequoiaarch.tests.platform.http_store import HttpStore

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, UNABLE = 0, 1, 2
SETTINGS = """
nodeName = "{name}"
role = "gateway"
machineClass = "edge"
serves = ["edge", "control"]
ip = "{ip}"
zone = "{zone}"
region = "r"
heartbeatMs = 1200
discovery = "platform"
contracts = {contracts}
internalPortRange = [{control}, {control}]
seeds = {seeds}
[listen]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
control = "{ip}:{control}"
[limits]
cpuShare = 0.717
cores = 3
memoryMb = 552
maxFds = 8200
[bounds]
{bounds}
[platform]
address = "127.0.0.1:{store}"
form = "log"
parts = 12
recordBytes = 262144
callBytes = 2097152
retentionS = 300
"""


class Record:
    """Write one line for each event, with the seconds since the start."""

    def __init__(self, folder: Path) -> None:
        folder = Path(os.environ.get("RECORD_FOLDER", folder))
        self._file = (folder / "record.txt").open("w")
        self._started = time.monotonic()

    def now(self) -> float:
        return time.monotonic() - self._started

    def write(self, text: str) -> None:
        self._file.write(f"{self.now():8.3f} {text}\n")
        self._file.flush()


def free_port(address: str) -> int:
    with socket.socket() as probe:
        probe.bind((address, 0))
        return int(probe.getsockname()[1])


class Gateway:
    """A gateway as a process, started with the command of the deploy file."""

    _count = 0

    def __init__(
        self,
        name: str,
        zone: str,
        folder: Path,
        store_port: int,
        bounds: dict,
        contracts: list[str],
    ) -> None:
        Gateway._count += 1
        pid = os.getpid()
        self.name, self.zone = name, zone
        self.ip = f"127.{1 + (pid >> 8) % 200}.{pid & 0xFF}.{Gateway._count}"
        self.front, self.ready, self.control = (free_port(self.ip) for _ in range(3))
        self.path = folder / f"{name}.toml"
        self._log = folder / f"{name}.log"
        self._store_port = store_port
        self._bounds = "\n".join(
            f"{key} = {json.dumps(value)}" for key, value in bounds.items()
        )
        self._contracts = contracts
        self.process: asyncio.subprocess.Process | None = None
        # Whether the platform sends clients here.
        self.in_rotation = False

    def write(self, seeds: list[str]) -> None:
        self.path.write_text(
            SETTINGS.format(
                name=self.name,
                ip=self.ip,
                zone=self.zone,
                contracts=json.dumps(self._contracts),
                seeds=json.dumps(seeds),
                front=self.front,
                ready=self.ready,
                control=self.control,
                bounds=self._bounds,
                store=self._store_port,
            )
        )

    async def start(self) -> None:
        with self._log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "python3",
                "-m",
                "sequoiaarch.platform",
                cwd=ROOT,
                stdout=log,
                stderr=log,
                env={
                    "PATH": os.environ["PATH"],
                    "HOME": os.environ.get("HOME", "/"),
                    "PYTHONPATH": "target/deps",
                    "PYTHONDONTWRITEBYTECODE": "1",
                    "SEQUOIAARCH_SETTINGS": str(self.path),
                },
            )

    async def is_ready(self) -> bool:
        try:
            async with asyncio.timeout(1):
                answer = await fetch(
                    self.ip, self.ready, "GET", "/-/readyz", {"Host": "x"}, b""
                )
        except (OSError, TimeoutError, EOFError):
            return False
        return answer.status == 200

    async def wait_ready(self, seconds: float) -> bool:
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.1)
        return False

    def signal(self, number: int) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def kill(self) -> None:
        if self.process is None:
            return
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        await self.process.wait()


class Answer:
    """What a client received; `status` is 0 if no whole answer came."""

    def __init__(self) -> None:
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b""
        self.whole = False
        self.first_at = 0.0
        self.error = ""


async def read_answer(reader: asyncio.StreamReader, answer: Answer) -> None:
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    answer.status = int(lines[0].split()[1])
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            answer.headers[name.lower()] = value.strip()
    if answer.headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readuntil(b"\r\n")).strip(), 16)
            data = await reader.readexactly(size + 2)
            if not size:
                break
            answer.first_at = answer.first_at or time.monotonic()
            answer.body += data[:-2]
    else:
        answer.body = await reader.readexactly(
            int(answer.headers.get("content-length", "0"))
        )
    answer.whole = True


async def fetch(
    ip: str,
    port: int,
    method: str,
    path: str,
    headers: dict[str, str],
    body: bytes,
    timeout: float = 10.0,
) -> Answer:
    """Send a request on a new connection and return what came."""
    answer = Answer()
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(ip, port)
            lines = [f"{method} {path} HTTP/1.1"]
            lines += [f"{name}: {value}" for name, value in headers.items()]
            if body or method == "POST":
                lines.append(f"Content-Length: {len(body)}")
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            await read_answer(reader, answer)
    except (
        OSError,
        EOFError,
        TimeoutError,
        ValueError,
        asyncio.LimitOverrunError,
    ) as error:
        answer.error = type(error).__name__
    finally:
        if writer is not None:
            writer.close()
    return answer


class Run:
    """A request that a server began to work on."""

    def __init__(
        self, attempt: str, path: str, headers: dict[str, str], body: bytes
    ) -> None:
        self.attempt, self.path, self.headers, self.body = attempt, path, headers, body
        self.at = time.monotonic()


class Server:
    """A sound server: model streams for POST with token usage, else a plain answer."""

    def __init__(
        self, name: str, service: str, zone: str, record: Record, *, born: int
    ) -> None:
        self.name, self.service, self.zone, self.record = name, service, zone, record
        self.born = born
        self.port = 0
        self.state = "ready"
        self.runs: list[Run] = []
        self.running = 0
        self.events = 4
        self.event_seconds = 0.02
        self.work_seconds = 0.02
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def entry(self) -> bytes:
        return json.dumps(
            {
                "service": self.service,
                "address": f"127.0.0.1:{self.port}",
                "zone": self.zone,
                "version": "v1",
                "slots": 6,
                "state": self.state,
                "coldRemainingMs": 0,
                "sequence": 0,
                "born": self.born,
            }
        ).encode()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while await self._serve_one(reader, writer):
                pass
        except (OSError, EOFError, asyncio.LimitOverrunError):
            pass
        finally:
            writer.close()

    async def _serve_one(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        method, path, _ = head[0].split(" ")
        headers = {}
        for line in head[1:]:
            name, _, value = line.partition(":")
            if name:
                headers[name.lower()] = value.strip()
        body = await reader.readexactly(int(headers.get("content-length", "0")))
        attempt = headers.get("x-attempt-id", "")
        common = f"X-Attempt-Id: {attempt}\r\nKeep-Alive: timeout=20\r\n"
        if headers.get("x-expect-instance", self.name) != self.name:
            writer.write(
                f"HTTP/1.1 421 Misdirected\r\n{common}X-Not-Executed: 1\r\n"
                "Content-Length: 0\r\n\r\n".encode()
            )
            return True
        run = Run(attempt, path, headers, body)
        self.runs.append(run)
        self.record.write(
            f"server {self.name} runs {attempt} tenant={headers.get('x-tenant')}"
        )
        self.running += 1
        try:
            await self._answer(run, writer, common)
        finally:
            self.running -= 1
        return True

    async def _answer(
        self, run: Run, writer: asyncio.StreamWriter, common: str
    ) -> None:
        stamp = f"X-Server-Stamp: {self.name}.{run.attempt}\r\n"
        if "x-token-usage" not in run.headers:
            await asyncio.sleep(self.work_seconds)
            body = f"{self.name} {run.attempt}".encode()
            head = f"HTTP/1.1 200 OK\r\n{common}{stamp}Content-Length: {len(body)}"
            writer.write(f"{head}\r\n\r\n".encode() + body)
            await writer.drain()
            return
        writer.write(
            f"HTTP/1.1 200 OK\r\n{common}{stamp}Content-Type: text/event-stream\r\n"
            "X-Weight-Versions: 1\r\nTransfer-Encoding: chunked\r\n\r\n".encode()
        )
        for number in range(1, self.events + 1):
            await asyncio.sleep(self.event_seconds)
            event = f"id: {number}\ndata: {run.attempt}-{number}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()


class World:
    """The store, the servers and the gateways of one case."""

    def __init__(self, folder: Path, *, bounds: dict, contracts: list[str]) -> None:
        self.record = Record(folder)
        self.folder = Path(tempfile.mkdtemp(prefix="case-"))
        self.store = KeyedStore()
        self.http_store = HttpStore(store=self.store)
        self.bounds, self.contracts = bounds, contracts
        self.gateways: list[Gateway] = []
        self.servers: list[Server] = []
        self._tasks: list[asyncio.Task[None]] = []

    async def start_store(self) -> None:
        await self.http_store.server.start("127.0.0.1", 0)

    def add_gateway(self, name: str, zone: str) -> Gateway:
        gateway = Gateway(
            name,
            zone,
            self.folder,
            self.http_store.server.port,
            self.bounds,
            self.contracts,
        )
        self.gateways.append(gateway)
        return gateway

    def write_settings(self) -> None:
        seeds = [f"{g.ip}:{g.control}" for g in self.gateways[:3]]
        for gateway in self.gateways:
            gateway.write(seeds)

    async def add_server(self, name: str, service: str, zone: str) -> Server:
        server = Server(name, service, zone, self.record, born=int(time.time() * 1000))
        await server.start()
        self.servers.append(server)
        self._tasks.append(asyncio.create_task(self._heartbeat(server)))
        return server

    async def _heartbeat(self, server: Server) -> None:
        while True:
            await self.store.put("keyed.servers", server.name, server.entry())
            await asyncio.sleep(1.2)

    async def publish(self, config: dict) -> None:
        await self.store.put("keyed.op", "config", json.dumps(config).encode())
        self.record.write(f"operator publishes version {config['version']}")

    async def close(self) -> None:
        for task in self._tasks:
            task.cancel()
        for gateway in self.gateways:
            await gateway.kill()
        if os.environ.get("KEEP_LOGS"):
            print("logs in", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def run_case(
    case, folder: Path, *, bounds: dict, contracts: list[str], limit: float = 115.0
) -> None:
    """Run a case and exit with 0 if the rule held, 1 if not, 2 if unable."""

    async def main() -> int:
        world = World(folder, bounds=bounds, contracts=contracts)
        try:
            async with asyncio.timeout(limit):
                await world.start_store()
                return await case(world)
        except Exception as error:
            world.record.write(f"could not run: {error!r}")
            print("could not run:", repr(error))
            return UNABLE
        finally:
            await world.close()

    sys.exit(asyncio.run(main()))
