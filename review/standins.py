"""Stand-ins for the store, the servers and the clients of the platform.

They need nothing but the standard library. Each follows the users' pages: PROTOCOL.md
for what is spoken, DEPLOY.md for the settings of a process.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import os
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from urllib.parse import parse_qsl, urlsplit

ROOT = Path(__file__).resolve().parent.parent
LOOPBACK = "127.0.0.1"
HOST = "site.example"
ENGINES = "engines"
TOOLS = "tools"
ENGINE_EVENT_TOKENS = 14
PARTITIONS = 12
RECORD_BYTES = 262144
CALL_BYTES = 2097152
STORE_SECONDS = 0.004
HEARTBEAT_SECONDS = 1.2


class Record:
    """Write the lines of `record.txt`, with the time since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._started = time.monotonic()

    def line(self, text: str) -> None:
        """Write one line."""
        now = time.monotonic() - self._started
        print(f"{now:8.3f} {text}", file=self._file, flush=True)

    def result(self, text: str) -> None:
        """Write a line that sums up, also to standard output."""
        self.line(text)
        print(text, flush=True)


@dataclass
class HttpMessage:
    """Head and body of a request or a response."""

    start: list[str]
    headers: dict[str, str]
    body: bytes = b""


async def read_head(reader: asyncio.StreamReader) -> HttpMessage | None:
    """Read a request or status line and the headers; None at the end."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return HttpMessage(start=lines[0].split(" ", 2), headers=headers)


async def read_request(reader: asyncio.StreamReader) -> HttpMessage | None:
    """Read a whole request; None at the end of the connection."""
    message = await read_head(reader)
    if message is None:
        return None
    length = int(message.headers.get("content-length", 0))
    try:
        message.body = await reader.readexactly(length)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return message


def response(
    status: int, body: bytes = b"", *, kind: str = "application/json", **headers: str
) -> bytes:
    """Return the bytes of a response with a length."""
    lines = [
        f"HTTP/1.1 {status} X",
        f"Content-Type: {kind}",
        f"Content-Length: {len(body)}",
    ]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


@dataclass
class Partition:
    """Records of one partition, and what its producers last wrote."""

    records: list[tuple[str, bytes]] = field(default_factory=list)
    newest: dict[str, tuple[bytes, int]] = field(default_factory=dict)
    producers: dict[str, tuple[int, int, dict[int, dict[str, int]]]] = field(
        default_factory=dict
    )

    def store(self, entries: list[tuple[str, bytes]]) -> dict[str, int]:
        """Append records and return the answer to the append."""
        offset = len(self.records)
        for key, value in entries:
            if value:
                self.newest[key] = (value, len(self.records))
            else:
                self.newest.pop(key, None)
            self.records.append((key, value))
        return {"offset": offset, "endOffset": len(self.records)}


class Store:
    """The platform's store, as far as gateways use it."""

    def __init__(self) -> None:
        self.partitions: dict[tuple[str, int], Partition] = {}
        self.rejected_records = 0
        self._changed = asyncio.Condition()
        self._server: asyncio.Server | None = None
        self.port = 0

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(
            self._serve, LOOPBACK, 0, limit=4 * CALL_BYTES
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def partition(self, topic: str, number: int) -> Partition:
        """Return a partition, made on its first use."""
        return self.partitions.setdefault((topic, number), Partition())

    async def put(self, topic: str, key: str, value: bytes) -> None:
        """Write a record as the operator or a server does."""
        async with self._changed:
            self.partition(topic, 0).store([(key, value)])
            self._changed.notify_all()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            while (request := await read_request(reader)) is not None:
                await asyncio.sleep(STORE_SECONDS)
                writer.write(await self._answer(request))
                await writer.drain()
        writer.close()

    async def _answer(self, request: HttpMessage) -> bytes:
        url = urlsplit(request.start[1])
        query = dict(parse_qsl(url.query))
        name = url.path.removeprefix("/-/")
        key = (query.get("topic", ""), int(query.get("part", 0)))
        if name == "log-append":
            return await self._append(key, query, request.body)
        if name == "log-read":
            return await self._read(key, query)
        if name == "log-newest":
            return self._newest(key, query)
        return response(404)

    async def _append(
        self, key: tuple[str, int], query: dict[str, str], body: bytes
    ) -> bytes:
        entries = []
        position = 0
        while position < len(body):
            (length,) = struct.unpack_from(">I", body, position)
            content = body[position + 4 : position + 4 + length]
            position += 4 + length
            if length > RECORD_BYTES:
                self.rejected_records += 1
                why = b'{"why":"a record is larger than recordBytes"}'
                return response(413, why)
            size = content[0]
            entries.append((content[1 : 1 + size].decode(), content[1 + size :]))
        if len(body) > CALL_BYTES:
            return response(413, b'{"why":"more than callBytes"}')
        async with self._changed:
            partition = self.partition(*key)
            end = len(partition.records)
            if "asOf" in query and int(query["asOf"]) != end:
                return response(412, json.dumps({"endOffset": end}).encode())
            if "producer" not in query:
                answer = partition.store(entries)
            else:
                epoch, sequence = int(query["epoch"]), int(query["sequence"])
                known = partition.producers.get(query["producer"], (-1, -1, {}))
                if epoch < known[0]:
                    return response(409, b'{"why":"fenced"}')
                if epoch == known[0]:
                    if sequence in known[2]:
                        return response(200, json.dumps(known[2][sequence]).encode())
                    if sequence != known[1] + 1:
                        why = {"why": "seq", "sequence": known[1] + 1}
                        return response(409, json.dumps(why).encode())
                answer = partition.store(entries)
                answers = known[2] if epoch == known[0] else {}
                answers[sequence] = answer
                answers.pop(sequence - 5, None)
                partition.producers[query["producer"]] = (epoch, sequence, answers)
            self._changed.notify_all()
        return response(200, json.dumps(answer).encode())

    async def _read(self, key: tuple[str, int], query: dict[str, str]) -> bytes:
        partition = self.partition(*key)
        start = int(query["from"])
        wait = float(query.get("waitMs", 0)) / 1000
        if wait and len(partition.records) <= start:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait), self._changed:
                    await self._changed.wait_for(lambda: len(partition.records) > start)
        body = struct.pack(">QQ", len(partition.records), 0)
        most = int(query.get("maxKb", 1024)) * 1024
        for record_key, value in partition.records[start:]:
            content = bytes([len(record_key)]) + record_key.encode() + value
            if len(body) + len(content) > most:
                break
            body += struct.pack(">I", len(content)) + content
        return response(200, body, kind="application/octet-stream")

    def _newest(self, key: tuple[str, int], query: dict[str, str]) -> bytes:
        partition = self.partition(*key)
        after = query.get("after", "")
        keys = sorted(name for name in partition.newest if name > after)
        items: list[dict[str, object]] = []
        size = 0
        for name in keys:
            value, offset = partition.newest[name]
            size += len(value)
            if len(items) == 500 or (items and size > 1_000_000):
                break
            encoded = base64.b64encode(value).decode()
            items.append({"key": name, "value": encoded, "offset": offset})
        document = {
            "items": items,
            "hasMore": len(items) < len(keys),
            "endOffset": len(partition.records),
        }
        return response(200, json.dumps(document).encode())


@dataclass
class Run:
    """One request that a server ran."""

    attempt: str
    method: str
    target: str
    body: bytes
    at: float
    headers: dict[str, str]


Behaviour = Callable[["Server", Run, asyncio.StreamWriter], Awaitable[None]]


class Server:
    """An application or model server that registers itself and records its runs."""

    def __init__(
        self,
        *,
        store: Store,
        service: str,
        name: str,
        record: Record,
        behave: Behaviour,
    ) -> None:
        self.name = name
        self.service = service
        self.runs: list[Run] = []
        self._store = store
        self.record = record
        self._behave = behave
        self._server: asyncio.Server | None = None
        self._beat: asyncio.Task[None] | None = None
        self._sequence = 1
        self.port = 0

    async def start(self) -> None:
        """Listen on a free port and register."""
        self._server = await asyncio.start_server(
            self._serve, LOOPBACK, 0, limit=16 * 1024 * 1024
        )
        self.port = self._server.sockets[0].getsockname()[1]
        await self.register()
        self._beat = asyncio.create_task(self._heartbeat())

    async def register(self, state: str = "ready") -> None:
        """Write the entry of this server."""
        self._sequence += 1
        entry = {
            "service": self.service,
            "address": f"{LOOPBACK}:{self.port}",
            "zone": "here",
            "version": "v1",
            "slots": 64,
            "state": state,
            "coldRemainingMs": 0,
            "sequence": self._sequence,
        }
        await self._store.put("keyed.servers", self.name, json.dumps(entry).encode())

    async def _heartbeat(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_SECONDS)
            await self.register()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            while (request := await read_request(reader)) is not None:
                if request.headers.get("x-expect-instance", self.name) != self.name:
                    attempt = request.headers.get("x-attempt-id", "")
                    headers = {"X_Attempt_Id": attempt, "X_Not_Executed": "1"}
                    writer.write(response(421, **headers))
                    continue
                run = Run(
                    attempt=request.headers.get("x-attempt-id", ""),
                    method=request.start[0],
                    target=request.start[1],
                    body=request.body,
                    at=time.monotonic(),
                    headers=request.headers,
                )
                self.runs.append(run)
                self.record.line(
                    f"run {run.attempt} at {self.name}: {run.method} {run.target},"
                    f" {len(run.body)} bytes in"
                )
                await self._behave(self, run, writer)
                await writer.drain()
        writer.close()


def whole_answer(size: int, work: Callable[[], float] = lambda: 0.02) -> Behaviour:
    """Return a behaviour that works for `work` seconds and answers `size` bytes."""

    async def behave(server: Server, run: Run, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(work())
        unit = f"{run.attempt}.".encode()
        body = (unit * (size // len(unit) + 1))[:size]
        headers = {"X_Attempt_Id": run.attempt, "X_Server_Stamp": f"s.{run.attempt}"}
        writer.write(response(200, body, kind="application/octet-stream", **headers))

    return behave


def expected_body(attempt: str, size: int) -> bytes:
    """Return the body that `whole_answer` sends for an attempt."""
    unit = f"{attempt}.".encode()
    return (unit * (size // len(unit) + 1))[:size]


def event_data(attempt: str, number: int, size: int = 100) -> bytes:
    """Return the data of one event of a stream."""
    return f"{attempt}-{number}".encode().ljust(size, b".")


def produced(attempt: str, events: int, size: int = 100) -> bytes:
    """Return what a stream adds to the prompts of later turns."""
    return b"".join(
        event_data(attempt, number, size) + b"\n" for number in range(1, events + 1)
    )


def stream_answer(events: int, size: int = 100, pause: float = 0.01) -> Behaviour:
    """Return a behaviour that answers with events of `size` bytes of data each."""

    async def behave(server: Server, run: Run, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(0.03)
        head = (
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            f"X-Attempt-Id: {run.attempt}\r\nX-Server-Stamp: s.{run.attempt}\r\n"
            "X-Weight-Versions: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
        writer.write(head.encode())
        for number in range(1, events + 1):
            event = b"id: %d\ndata: " % number + event_data(run.attempt, number, size)
            event += b"\n\n"
            writer.write(b"%x\r\n" % len(event) + event + b"\r\n")
            await writer.drain()
            await asyncio.sleep(pause)
        writer.write(b"0\r\n\r\n")

    return behave


@dataclass
class Answer:
    """What a client saw of the answer to one request."""

    attempt: str
    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    complete: bool = False
    error: str = ""
    seconds: float = 0.0

    def describe(self) -> str:
        """Return the outcome for the record."""
        state = "whole" if self.complete else f"not whole ({self.error})"
        stamp = self.headers.get("x-server-stamp", "none")
        return (
            f"answer {self.attempt}: status {self.status}, {len(self.body)} bytes,"
            f" {state}, stamp {stamp}, after {self.seconds:.3f} s"
        )


class Connection:
    """One client connection, kept open for several requests."""

    def __init__(self) -> None:
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def open(self, address: tuple[str, int]) -> None:
        """Connect to a gateway."""
        self._reader, self._writer = await asyncio.open_connection(*address)

    def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            self._writer.close()

    async def request(
        self,
        attempt: str,
        method: str,
        path: str,
        *,
        body: bytes = b"",
        deadline: float = 3.0,
        max_gap: float | None = None,
        **headers: str,
    ) -> Answer:
        """Send a request and read its answer; abandon a stream after `max_gap`."""
        assert self._reader is not None and self._writer is not None
        started = time.monotonic()
        answer = Answer(attempt=attempt)
        lines = [
            f"{method} {path} HTTP/1.1",
            f"Host: {HOST}",
            f"X-Attempt-Id: {attempt}",
            f"X-Deadline-Ms: {int(deadline * 1000)}",
        ]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        lines += [f"{name.replace('_', '-')}: {text}" for name, text in headers.items()]
        try:
            self._writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            async with asyncio.timeout(deadline):
                head = await read_head(self._reader)
                if head is None:
                    raise ConnectionError("closed before the answer")
                answer.status, answer.headers = int(head.start[1]), head.headers
                await self._read_body(answer, max_gap)
            answer.complete = True
        except TimeoutError:
            answer.error = "the client left, as nothing came in time"
            self._writer.transport.abort()
        except (ConnectionError, asyncio.IncompleteReadError) as error:
            answer.error = f"{type(error).__name__}: {error}"
        answer.seconds = time.monotonic() - started
        return answer

    async def _read_body(self, answer: Answer, max_gap: float | None) -> None:
        assert self._reader is not None
        if answer.headers.get("transfer-encoding", "").lower() != "chunked":
            length = int(answer.headers.get("content-length", 0))
            answer.body = await self._reader.readexactly(length)
            return
        while True:
            async with asyncio.timeout(max_gap):
                size = int(await self._reader.readuntil(b"\r\n"), 16)
                answer.body += (await self._reader.readexactly(size + 2))[:size]
            if not size:
                return


def free_port() -> int:
    """Return a free port."""
    with socket.socket() as probe:
        probe.bind((LOOPBACK, 0))
        return int(probe.getsockname()[1])


SETTINGS = """
nodeName = "{name}"
role = "gateway"
machineClass = "edge"
serves = ["edge","control"]
ip = "{ip}"
zone = "{zone}"
region = "walvis"
internalPortRange = [{control},{last}]
seeds = {seeds}
bootstrap = true
faultCounted = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
contracts = {contracts}
[zones]
here = "walvis"
[listen]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
control = "{ip}:{control}"
[limits]
cpuShare = 0.717
cores = 3
memoryMb = 170
maxFds = 8200
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 1
zones = 0
regions = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
contactMs = 3000
ackMs = 4000
catchUpS = 4.4
drainMs = 2000
graceS = {grace}
lossSlackMs = 200
configApplyMs = 2000
revertSlackMs = 250
maxSkewMs = 5000
recoveryS = 12
passMs = 120
retryAfterS = 0
deadlineS = 10
settleMs = 1000
[platform]
address = "{ip}:{store}"
form = "log"
writesPerS = 800
readsPerS = 2000
parts = {parts}
appendMs = 2.0
partMbS = 20.0
readMbS = 80.0
recordBytes = {record_bytes}
callBytes = {call_bytes}
retentionS = 300
partMb = 200
ttlMinMs = 1000
"""
GRACE_SECONDS = 8
CONTRACTS = [
    "base",
    "drain",
    "config",
    "cost",
    "recover",
    "agent",
    "stream",
    "engine",
    "platform",
]


class Gateway:
    """A gateway process, started with the command of the deploy file."""

    def __init__(
        self, *, name: str, store: Store, folder: Path, record: Record
    ) -> None:
        self.name = name
        self.front = free_port()
        self.ready_port = free_port()
        self.control = free_port()
        self._store = store
        self._folder = folder
        self._record = record
        self._process: subprocess.Popen[bytes] | None = None

    def start(self, seeds: list[str]) -> None:
        """Write the settings and start the process."""
        settings = self._folder / f"{self.name}.toml"
        settings.write_text(
            SETTINGS.format(
                name=self.name,
                ip=LOOPBACK,
                zone="here",
                control=self.control,
                last=self.control,
                seeds=json.dumps(seeds),
                contracts=json.dumps(CONTRACTS),
                front=self.front,
                ready=self.ready_port,
                grace=GRACE_SECONDS,
                store=self._store.port,
                parts=PARTITIONS,
                record_bytes=RECORD_BYTES,
                call_bytes=CALL_BYTES,
            )
        )
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "LANG": os.environ.get("LANG", "C.UTF-8"),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "SEQUOIAARCH_SETTINGS": str(settings),
        }
        log = (self._folder / f"{self.name}.log").open("ab")
        self._process = subprocess.Popen(
            ["python3", "-m", "sequoiaarch.platform"],
            cwd=ROOT,
            env=environment,
            stdout=log,
            stderr=log,
        )
        self._record.line(f"start {self.name}, process {self._process.pid}")

    @property
    def address(self) -> tuple[str, int]:
        """Return the address for clients."""
        return LOOPBACK, self.front

    @property
    def running(self) -> bool:
        """Return whether the process runs."""
        return self._process is not None and self._process.poll() is None

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self._process is not None
        self._record.line(f"{number.name} to {self.name}")
        if self.running:
            self._process.send_signal(number)

    async def wait_ready(self, seconds: float = 15.0) -> bool:
        """Wait until the readiness probe answers 200; return whether it did."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if await self.probe() == 200:
                self._record.line(f"{self.name} is ready")
                return True
            await asyncio.sleep(0.05)
        return False

    async def probe(self) -> int:
        """Return the status of the readiness probe; 0 without an answer."""
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(
                    LOOPBACK, self.ready_port
                )
                writer.write(b"GET /-/readyz HTTP/1.1\r\nHost: x\r\n\r\n")
                head = await read_head(reader)
                writer.close()
        except (OSError, TimeoutError):
            return 0
        return int(head.start[1]) if head is not None else 0

    async def wait_ended(self, seconds: float) -> bool:
        """Wait until the process has ended; return whether it did."""
        until = time.monotonic() + seconds
        while self.running and time.monotonic() < until:
            await asyncio.sleep(0.02)
        if not self.running:
            self._record.line(f"{self.name} has ended")
        return not self.running

    def kill(self) -> None:
        """Kill the process if it runs, and wait for its end."""
        if self._process is not None and self.running:
            self.signal(signal.SIGKILL)
            self._process.wait()


def route(prefix: str, kind: str, service: str, **extra: object) -> dict[str, object]:
    """Return a route of the operator's configuration."""
    return {
        "name": f"r-{prefix.strip('/')}",
        "host": HOST,
        "pathPrefix": prefix,
        "type": kind,
        "timeoutMs": 3000,
        "targetLatencyMs": 250,
        "priority": 1,
        "service": service,
        "maxAttempts": 1,
        **extra,
    }


KEPT = route(
    "/kept/",
    "stream",
    ENGINES,
    retained=True,
    retentionS=60,
    sticky=True,
    gapTargetMs=150,
)
SAFE = route("/safe/", "safe", TOOLS, timeoutMs=3000)
ONCE = route("/once/", "unsafe", TOOLS, timeoutMs=3000)


def configuration(version: int, routes: list[dict[str, object]]) -> bytes:
    """Return the operator's configuration."""
    runtime = {
        "slots": 8,
        "kvCapacityTokens": 95119,
        "chunkTokens": ENGINE_EVENT_TOKENS,
    }
    document = {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": ENGINES,
                "healthPath": "/healthz",
                "maxConns": 140,
                "runtime": runtime,
            },
            {"name": TOOLS, "healthPath": "/healthz", "maxConns": 110},
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
    }
    return json.dumps(document).encode()


class Deployment:
    """Store, servers and gateways of one case."""

    def __init__(self, folder: Path) -> None:
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record = Record(folder / "record.txt")
        self.record.line(f"trouble: {'on' if self.trouble else 'off'}")
        self.store = Store()
        self.gateways: list[Gateway] = []
        self.servers: list[Server] = []
        self._folder = tempfile.TemporaryDirectory(prefix="review-")
        self._attempts = 0

    @property
    def logs(self) -> Path:
        """Return the folder with the logs of the processes."""
        return Path(self._folder.name)

    async def start(self, routes: list[dict[str, object]]) -> None:
        """Start the store and write the first configuration."""
        await self.store.start()
        await self.store.put("keyed.op", "config", configuration(1, routes))

    async def add_server(self, service: str, name: str, behave: Behaviour) -> Server:
        """Start a server and register it."""
        server = Server(
            store=self.store,
            service=service,
            name=name,
            record=self.record,
            behave=behave,
        )
        await server.start()
        self.servers.append(server)
        return server

    async def add_gateways(self, count: int) -> None:
        """Start gateways and wait until all are ready; raises RuntimeError."""
        for number in range(count):
            self.gateways.append(
                Gateway(
                    name=f"edge-here-{number + 1}",
                    store=self.store,
                    folder=self.logs,
                    record=self.record,
                )
            )
        await self.start_gateways()

    async def start_gateways(self) -> None:
        """Start all gateways that don't run and wait until they are ready."""
        seeds = [f"{LOOPBACK}:{gateway.control}" for gateway in self.gateways[:3]]
        for gateway in self.gateways:
            if not gateway.running:
                gateway.start(seeds)
        for gateway in self.gateways:
            if not await gateway.wait_ready():
                raise RuntimeError(f"{gateway.name} is not ready")

    def attempt(self) -> str:
        """Return a new attempt id."""
        self._attempts += 1
        return f"{self._attempts:016x}"

    def runs_of(self, attempt: str) -> list[Run]:
        """Return the runs of an attempt at all servers."""
        return [
            run
            for server in self.servers
            for run in server.runs
            if run.attempt == attempt
        ]

    def close(self) -> None:
        """End all processes that were started."""
        for gateway in self.gateways:
            gateway.kill()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            for log in self.logs.glob("*.log"):
                (Path(keep) / log.name).write_bytes(log.read_bytes())
        self._folder.cleanup()


def run_case(
    folder: Path, case: Callable[[Deployment], Awaitable[bool]], seconds: float = 110.0
) -> None:
    """Run a case and exit: 1 if the rule was broken, 0 if it held, else 2.

    With `KEEP_LOGS` the logs of the gateways are copied to that folder.
    """

    async def main() -> int:
        deployment = Deployment(folder)
        task = asyncio.current_task()
        assert task is not None
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        try:
            async with asyncio.timeout(seconds):
                broken = await case(deployment)
        except (Exception, asyncio.CancelledError) as error:
            deployment.record.result(f"the case couldn't run: {error!r}")
            return 2
        finally:
            deployment.close()
        deployment.record.result("the rule was broken" if broken else "the rule held")
        return 1 if broken else 0

    sys.exit(asyncio.run(main()))
