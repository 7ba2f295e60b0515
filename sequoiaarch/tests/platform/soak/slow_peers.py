"""Run one seed of the soak of callers and targets that read slowly or in steps."""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import shutil
import signal
import socket
import sys
from collections import Counter
from pathlib import Path

import click
import msgspec

from ....standins.keyed_store import KeyedStore
from ....standins.target import whole_answer
from ..deployment import HOST, TOOLS, config, registration, route
from .gateways import GRACE_SECONDS, MODULE, START_SECONDS, Gateway
from .proxy import LOOPBACK

TARGETS = 3
CALLERS_PER_GATEWAY = 30
# One in so many callers reads nothing after the head of its first answer.
IDLE_READER_EVERY = 15
# Seconds. The deadline exceeds what the slowest answer takes, and the grace.
DEADLINE = 14.0
ROUTE_TIMEOUT = 15.0
MAX_THINK_SECONDS = 0.5
# Of the deadline, in which answers that end are not judged.
DEADLINE_MARGIN = 0.5
# Bytes; the smallest buffer of the kernel, answers, and requests above the buffer.
SOCKET_BUFFER = 2304
ANSWER_BYTES = (200, 12_000)
LONG_REQUEST_BYTES = 9_000
LONG_REQUEST_FRACTION = 0.2
HEAD_BYTES = 1024
# Seconds between two reads: of small pieces, and of all that has arrived.
PIECE_BYTES = 512
PIECE_PAUSE = (0.02, 0.25)
STEP_PAUSE = (0.5, 3.8)
STEP_FRACTION = 0.6
MAX_STEPS = 3
# Seconds for which a target stops to read within a request.
TARGET_PAUSE = (0.2, 2.8)
# Seconds between two actions of the operator, and until an ended process is replaced.
ACTION_INTERVAL = (0.5, 2.0)
RESTART_SECONDS = (0.2, 1.0)
# The grace less the margin for the end, which no stop may need in full for a caller
# that reads nothing.
MAX_STOP_SECONDS = GRACE_SECONDS - 1.0
NEW_CONNECTION_SECONDS = 0.2
# Until the connections between gateways have ended.
PROXY_END_SECONDS = 1.2


class SlowPlan(msgspec.Struct, frozen=True, kw_only=True):
    """Size and duration of a run, with or without planned stops and changes."""

    seed: int
    seconds: float = 40.0
    gateways: int = 4
    planned: bool = True
    module: str = MODULE


class SlowReport(msgspec.Struct, kw_only=True):
    """Result of a run."""

    seed: int
    planned: bool
    counts: dict[str, int]
    broken: list[str]


class SlowTarget:
    """Target with the smallest window that pauses within long requests."""

    def __init__(self, *, rng: random.Random, runs: set[str]) -> None:
        self._rng = rng
        self._runs = runs
        self._server: asyncio.Server | None = None
        self.port = 0

    async def start(self) -> None:
        """Listen on a free port."""
        listener = small_socket()
        listener.bind((LOOPBACK, 0))
        self.port = listener.getsockname()[1]
        self._server = await asyncio.start_server(self._serve, sock=listener)

    def stop(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                headers = await read_headers(reader)
                size = int(headers.get("content-length", 0))
                if size >= LONG_REQUEST_BYTES:
                    writer.transport.pause_reading()  # type: ignore[attr-defined]
                    await asyncio.sleep(self._rng.uniform(*TARGET_PAUSE))
                    writer.transport.resume_reading()  # type: ignore[attr-defined]
                await reader.readexactly(size)
                attempt = headers["x-attempt-id"]
                self._runs.add(attempt)
                stamp = (("X-Attempt-Id", attempt), ("X-Server-Stamp", "s"))
                writer.write(whole_answer(answer_of(attempt), headers=stamp))
                await writer.drain()
        writer.close()


class SlowCaller:
    """Send unsafe requests on one connection, and read the answers slowly.

    `stalls` callers read nothing more of their first answer.
    """

    def __init__(self, *, soak: SlowPeersSoak, rng: random.Random, stalls: bool):
        self._soak = soak
        self._rng = rng
        self._stalls = stalls
        self._steps = rng.random() < STEP_FRACTION

    async def run(self, until: float) -> None:
        """Use connections to random gateways until the loop time `until`."""
        loop = asyncio.get_running_loop()
        while loop.time() < until:
            gateway = self._rng.choice(self._soak.gateways)
            with small_socket() as sock:
                sock.setblocking(False)
                with contextlib.suppress(OSError):
                    await loop.sock_connect(sock, gateway.front_address)
                    while loop.time() < until and await self._call(sock, gateway):
                        await asyncio.sleep(self._rng.uniform(0.0, MAX_THINK_SECONDS))
            await asyncio.sleep(NEW_CONNECTION_SECONDS)

    async def _call(self, sock: socket.socket, gateway: Gateway) -> bool:
        """Send a request; return whether the connection may be used again."""
        attempt = f"{self._rng.getrandbits(64):016x}"
        long_request = self._rng.random() < LONG_REQUEST_FRACTION
        body = bytes(LONG_REQUEST_BYTES if long_request else 10)
        head = (
            f"POST /once/x HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {attempt}\r\n"
            f"X-Deadline-Ms: {int(DEADLINE * 1000)}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        loop = asyncio.get_running_loop()
        started = loop.time()
        received, error = bytearray(), "the gateway closed the connection"
        try:
            async with asyncio.timeout(DEADLINE):
                await loop.sock_sendall(sock, head.encode() + body)
                await self._read(sock, received)
        except TimeoutError:
            error = "the caller left"
        except OSError as failure:
            error = repr(failure)
        seconds = loop.time() - started
        whole = is_whole(received)
        kind = "whole" if whole else "cut off" if attempt in self._soak.runs else "none"
        self._soak.counts[kind] += 1
        judged = not self._stalls and seconds < DEADLINE - DEADLINE_MARGIN
        if judged and not whole and attempt in self._soak.runs:
            self._soak.broken.append(
                f"LOST: {attempt} of {gateway.name} ended with {len(received)} bytes"
                f" after {seconds:.2f} s: {error}"
            )
        if whole and received.partition(b"\r\n\r\n")[2] != answer_of(attempt):
            status = received[:12].decode()
            self._soak.counts[status] += 1
            if " 200" in status:
                self._soak.broken.append(f"WHOLE: {attempt} got another body")
        return whole and b"connection: close" not in received[:HEAD_BYTES].lower()

    async def _read(self, sock: socket.socket, received: bytearray) -> None:
        """Read an answer in small pieces, or in a few steps with long pauses."""
        loop = asyncio.get_running_loop()
        steps = 0
        while not is_whole(received):
            data = await loop.sock_recv(sock, PIECE_BYTES)
            if not data:
                return
            received += data
            if self._stalls:
                await asyncio.sleep(DEADLINE)
            if self._steps:
                while data and steps < MAX_STEPS:
                    data = b""
                    with contextlib.suppress(BlockingIOError):
                        data = sock.recv(PIECE_BYTES)
                    received += data
                if steps < MAX_STEPS and not is_whole(received):
                    await asyncio.sleep(self._rng.uniform(*STEP_PAUSE))
                steps += 1
            else:
                await asyncio.sleep(self._rng.uniform(*PIECE_PAUSE))


class SlowPeersSoak:
    """Run gateway processes between slow callers and slow targets."""

    def __init__(self, *, plan: SlowPlan, folder: Path) -> None:
        self._plan = plan
        self._rng = random.Random(plan.seed)
        self._store = KeyedStore()
        self._version = 0
        self.counts: Counter[str] = Counter()
        self.broken: list[str] = []
        self.runs: set[str] = set()
        proxies: dict[str, str] = {}
        self.gateways = [
            Gateway(
                number=number,
                zone="here",
                store=self._store,
                proxies=proxies,
                folder=folder,
                module=plan.module,
            )
            for number in range(plan.gateways)
        ]
        self._targets = [
            SlowTarget(rng=self._fresh_rng(), runs=self.runs) for _ in range(TARGETS)
        ]
        self._callers = [
            SlowCaller(
                soak=self,
                rng=self._fresh_rng(),
                stalls=number % IDLE_READER_EVERY == 0,
            )
            for number in range(CALLERS_PER_GATEWAY * plan.gateways)
        ]

    async def run(self) -> SlowReport:
        """Run callers beside planned stops, signals and changes, and report."""
        try:
            await self._start()
            until = asyncio.get_running_loop().time() + self._plan.seconds
            await asyncio.gather(
                *(caller.run(until) for caller in self._callers),
                self._operate(until),
            )
        finally:
            await asyncio.gather(*(gateway.close() for gateway in self.gateways))
            for target in self._targets:
                target.stop()
            await asyncio.sleep(PROXY_END_SECONDS)
        return SlowReport(
            seed=self._plan.seed,
            planned=self._plan.planned,
            counts=dict(sorted(self.counts.items())),
            broken=self.broken,
        )

    def _fresh_rng(self) -> random.Random:
        return random.Random(self._rng.getrandbits(64))

    async def _start(self) -> None:
        await self._publish()
        for number, target in enumerate(self._targets):
            await target.start()
            entry = registration(TOOLS, f"{LOOPBACK}:{target.port}", slots=1000)
            value = json.dumps(entry).encode()
            await self._store.put("keyed.servers", f"i-{number}", value)
        for gateway in self.gateways:
            await gateway.listen()
        for gateway in self.gateways:
            gateway.write_settings([other.peer_address for other in self.gateways[:3]])
            await gateway.start()
        async with asyncio.timeout(START_SECONDS):
            for gateway in self.gateways:
                while not await gateway.ready():
                    await asyncio.sleep(0.05)

    async def _publish(self) -> None:
        self._version += 1
        timeout = int(ROUTE_TIMEOUT * 1000)
        routes = [route("/once/", "unsafe", TOOLS, timeoutMs=timeout)]
        await self._store.put("keyed.op", "config", config(self._version, routes))
        self.counts["configurations"] += 1

    async def _operate(self, until: float) -> None:
        """Stop gateways, reload settings and change the configuration, overlapping."""
        loop = asyncio.get_running_loop()
        stopping: set[str] = set()
        async with asyncio.TaskGroup() as group:
            while self._plan.planned and loop.time() < until - GRACE_SECONDS:
                gateway = self._rng.choice(self.gateways)
                action = self._rng.choice(("stop", "hang up", "publish"))
                if action == "publish":
                    await self._publish()
                elif action == "hang up":
                    self.counts["hang-ups"] += 1
                    await gateway.send_hangup()
                elif gateway.name not in stopping and len(stopping) < 2:
                    stopping.add(gateway.name)
                    group.create_task(self._stop(gateway, stopping))
                await asyncio.sleep(self._rng.uniform(*ACTION_INTERVAL))

    async def _stop(self, gateway: Gateway, stopping: set[str]) -> None:
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        stop = asyncio.create_task(gateway.stop_gracefully())
        if self._rng.random() < 0.5:
            await asyncio.sleep(self._rng.uniform(0.0, GRACE_SECONDS / 2))
            self.counts["second SIGTERMs"] += 1
            gateway.signal(signal.SIGTERM)
        await stop
        seconds = loop.time() - began_at
        self.counts["stops"] += 1
        longest = "longest stop in ms"
        self.counts[longest] = max(self.counts[longest], round(seconds * 1000))
        if seconds > MAX_STOP_SECONDS + 0.5:
            text = f"STOP: {gateway.name} took {seconds:.2f} s to stop"
            self.broken.append(text)
        await asyncio.sleep(self._rng.uniform(*RESTART_SECONDS))
        await gateway.start()
        stopping.discard(gateway.name)


def small_socket() -> socket.socket:
    """Return a socket that announces the smallest window."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_BUFFER)
    return sock


def answer_of(attempt: str) -> bytes:
    """Return the body of the answer to an attempt."""
    low, high = ANSWER_BYTES
    size = low + int(attempt, 16) % (high - low)
    return (attempt.encode() * (size // len(attempt) + 1))[:size]


def is_whole(received: bytes | bytearray) -> bool:
    """Return whether the bytes are a whole answer with a length."""
    head, end, body = bytes(received).partition(b"\r\n\r\n")
    for line in head.lower().split(b"\r\n") if end else []:
        if line.startswith(b"content-length:"):
            return len(body) == int(line.split(b":")[1])
    return False


async def read_headers(reader: asyncio.StreamReader) -> dict[str, str]:
    """Read the head of a request and return its headers by lower-case name."""
    text = (await reader.readuntil(b"\r\n\r\n")).decode()
    pairs = [line.split(": ", 1) for line in text.split("\r\n")[1:] if line]
    return {name.lower(): value for name, value in pairs}


def run_seed(plan: SlowPlan, folder: Path) -> SlowReport:
    """Run one seed; the gateways write their logs to the folder."""
    folder.mkdir(parents=True, exist_ok=True)
    return asyncio.run(SlowPeersSoak(plan=plan, folder=folder).run())


@click.command()
@click.option("--seed", default=1, help="First seed.")
@click.option("--seeds", default=1, help="How many seeds, one after the other.")
@click.option("--seconds", default=40.0, help="Seconds of each run.")
@click.option("--gateways", default=4, help="Gateway processes.")
@click.option("--module", default=MODULE, help="Module that gateways run.")
@click.option("--calm", is_flag=True, help="No stops, signals and changes.")
@click.option("--folder", type=Path, default=Path("results/slow-peers"))
def soak(
    seed: int,
    seeds: int,
    seconds: float,
    gateways: int,
    module: str,
    calm: bool,
    folder: Path,
) -> None:
    """Print one line of JSON for each seed; exit with 1 if an answer was cut off.

    The gateways' logs of a seed that cut an answer off stay in the folder.
    """
    failed = 0
    for number in range(seed, seed + seeds):
        plan = SlowPlan(
            seed=number,
            seconds=seconds,
            gateways=gateways,
            planned=not calm,
            module=module,
        )
        seed_folder = folder / f"seed-{number}"
        shutil.rmtree(seed_folder, ignore_errors=True)
        report = run_seed(plan, seed_folder.resolve())
        click.echo(msgspec.json.encode(report).decode())
        if report.broken:
            failed += 1
        else:
            shutil.rmtree(seed_folder, ignore_errors=True)
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    soak()
