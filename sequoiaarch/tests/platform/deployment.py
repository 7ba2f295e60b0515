"""Run a store, targets and ingress daemons in one process for tests."""

from __future__ import annotations

import asyncio
import json
import socket
import unittest
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

from ...fleet.peers import Peers
from ...http1.client import ClientConnection, connect
from ...http1.messages import ExchangeError, RequestMessage
from ...ids import DataCentre, HostName
from ...ingress.daemon import IngressDaemon
from ...ingress.options import IngressOptions, StoreOptions
from ...observe.events import EventLog
from ...platform.headers import PlatformCallCodec
from ...platform.program import SOURCES
from ...standins.keyed_store import KeyedStore, KeyedStoreClient
from ...standins.target import (
    TargetExchange,
    TargetStandIn,
    chunk,
    stream_head,
    whole_answer,
)
from ...storage.keyed import KeyedLog

TIMEOUT = 15.0
HOST = "site.example"
ENGINES = "engines"
TOOLS = "tools"
EVENT_TOKENS = 10
# Turns request at most 100 tokens.
MAX_EVENTS = 10
LOOPBACK = "127.0.0.1"
# Bytes; the kernel's smallest receive buffer.
SMALLEST_BUFFER = 2304


def route(prefix: str, kind: str, service: str, **extra: Any) -> dict[str, Any]:
    """Return a route as a configuration entry."""
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


def registration(service: str, address: str, **extra: Any) -> dict[str, Any]:
    """Return the registration that a target writes to the store."""
    return {
        "service": service,
        "address": address,
        "zone": "here",
        "version": "v1",
        "slots": 8,
        "state": "ready",
        "coldRemainingMs": 0,
        "sequence": 1,
        **extra,
    }


def tenant(name: str, *keys: str, **extra: Any) -> dict[str, Any]:
    """Return a workspace as a configuration entry."""
    return {"name": name, "apiKeys": list(keys), "priority": 1, **extra}


def config(
    version: int, routes: list[dict[str, Any]], *, cache: int = 90000, **extra: Any
) -> bytes:
    """Return an encoded configuration document, with the engines' cache in tokens."""
    engine = {"slots": 8, "kvCapacityTokens": cache, "chunkTokens": EVENT_TOKENS}
    services = [
        {"name": ENGINES, "healthPath": "/h", "maxConns": 100, "runtime": engine},
        {"name": TOOLS, "healthPath": "/h", "maxConns": 100},
    ]
    document = {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {"idleTimeoutMs": 15000},
        **extra,
    }
    return json.dumps(document).encode()


ROUTES = [
    route("/kept/", "stream", ENGINES, retained=True, retentionS=60, sticky=True),
    route("/free/", "stream", ENGINES, resumable=True, sticky=True),
    route("/safe/", "safe", TOOLS, maxAttempts=2),
    route("/once/", "unsafe", TOOLS),
]


@dataclass(kw_only=True)
class Answer:
    """Answer to a caller; `complete` is set if it arrived to its end."""

    status: int
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    complete: bool = True


def events_of(attempt: str, count: int = 3) -> list[bytes]:
    """Return the encoded events of an engine's answer."""
    return [
        f"id: {number}\ndata: {attempt}-{number}\n\n".encode()
        for number in range(1, count + 1)
    ]


def attempt_of(exchange: TargetExchange) -> str:
    """Return the attempt id of a request to a target."""
    return (exchange.request.header(b"x-attempt-id") or b"").decode()


async def stream_answer(exchange: TargetExchange) -> None:
    """Answer with a stream of three events."""
    attempt = attempt_of(exchange)
    exchange.send(stream_head((("X-Attempt-Id", attempt), ("X-Server-Stamp", "s"))))
    for event in events_of(attempt):
        exchange.send(chunk(event))
        await asyncio.sleep(0)
    exchange.send(chunk(b""))


async def longest_answer(exchange: TargetExchange) -> None:
    """Answer with as many events as the limit of a turn allows."""
    attempt = attempt_of(exchange)
    exchange.send(stream_head((("X-Attempt-Id", attempt), ("X-Server-Stamp", "s"))))
    for event in events_of(attempt, MAX_EVENTS):
        exchange.send(chunk(event))
    exchange.send(chunk(b""))


async def tool_answer(exchange: TargetExchange) -> None:
    """Answer with a body."""
    attempt = attempt_of(exchange)
    headers = (("X-Attempt-Id", attempt), ("X-Server-Stamp", "s"))
    exchange.send(whole_answer(f"done {attempt}".encode(), headers=headers))


async def not_run_answer(exchange: TargetExchange) -> None:
    """Refuse the request as an overloaded target does."""
    headers = (("X-Not-Executed", "1"), ("X-Attempt-Id", attempt_of(exchange)))
    exchange.send(whole_answer(b"", status=503, headers=headers))


Behaviour = Callable[[TargetExchange], Awaitable[None]]


class DeploymentTestCase(unittest.IsolatedAsyncioTestCase):
    """Run a deployment for each test."""

    async def asyncSetUp(self) -> None:
        """Start the store."""
        self.store = KeyedStore()
        self.targets: dict[str, TargetStandIn] = {}
        self.clients: dict[str, KeyedStoreClient] = {}
        self.daemons: dict[str, IngressDaemon] = {}
        self._ids = 0
        await self.store.put("keyed.op", "config", config(1, ROUTES))

    async def asyncTearDown(self) -> None:
        """Stop the daemons and targets."""
        for daemon in self.daemons.values():
            await daemon.close()
        for target in self.targets.values():
            await target.stop()

    async def add_target(
        self, name: str, service: str, behaviour: Behaviour, **extra: Any
    ) -> TargetStandIn:
        """Start a target and register it, with extra fields of the registration."""
        target = TargetStandIn(behaviour=behaviour)
        await target.start()
        self.targets[name] = target
        await self.register(name, service, **extra)
        return target

    async def register(
        self, name: str, service: str, state: str = "ready", **extra: Any
    ) -> None:
        """Write a target's registration to the store."""
        address = f"{LOOPBACK}:{self.targets[name].port}"
        entry = registration(service, address, state=state, **extra)
        await self.store.put("keyed.servers", name, json.dumps(entry).encode())

    async def add_daemon(
        self,
        name: str,
        *,
        peers: Peers | None = None,
        events: EventLog | None = None,
        keyed_log: KeyedLog | None = None,
        **extra: Any,
    ) -> IngressDaemon:
        """Start an ingress daemon and wait until it is ready.

        It accesses the store in memory unless it is given another log.
        """
        client = self.store.client()
        options = IngressOptions(
            host=HostName(name),
            data_centre=DataCentre("here"),
            address=LOOPBACK,
            front=(LOOPBACK, 0),
            ready=(LOOPBACK, 0),
            inner=f"{LOOPBACK}:0",
            seeds=[],
            memory_bytes=2**28,
            descriptors=1000,
            stop_timeout=8.0,
            store=StoreOptions(address=(LOOPBACK, 0)),
            **extra,
        )
        daemon = IngressDaemon(
            options=options,
            keyed_log=keyed_log or client,
            codec=PlatformCallCodec(),
            sources=SOURCES,
            peers=peers,
            events=events,
        )
        self.clients[name] = client
        self.daemons[name] = daemon
        await daemon.start()
        async with asyncio.timeout(TIMEOUT):
            while not daemon.ready:
                await asyncio.sleep(0.01)
        return daemon

    def fresh_id(self) -> str:
        """Return a new attempt id."""
        self._ids += 1
        return f"{self._ids:016x}"

    async def call(
        self,
        daemon: IngressDaemon,
        path: str,
        *,
        body: bytes = b"",
        attempt: str | None = None,
        method: str = "POST",
        **headers: str,
    ) -> Answer:
        """Send a request and return its answer, with status 0 if none arrived."""
        encoded_headers = [
            (b"Host", HOST.encode()),
            (b"X-Attempt-Id", (attempt or self.fresh_id()).encode()),
        ]
        for name, value in headers.items():
            encoded_headers.append((name.replace("_", "-").encode(), value.encode()))
        message = RequestMessage(
            method=method.encode(),
            target=path.encode(),
            headers=encoded_headers,
            body=body,
        )
        connection = await connect((LOOPBACK, daemon.front.port), timeout=TIMEOUT)
        try:
            async with asyncio.timeout(TIMEOUT):
                return await _exchange(connection, message)
        finally:
            connection.abort()

    async def send_only(
        self,
        daemon: IngressDaemon,
        path: str,
        *,
        body: bytes = b"",
        attempt: str = "unread",
        receive_buffer: int = SMALLEST_BUFFER,
    ) -> socket.socket:
        """Send a request on a connection with a small window; nothing is read."""
        caller = socket.socket()
        self.addCleanup(caller.close)
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        caller.setblocking(False)
        head = (
            f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\n"
            f"X-Attempt-Id: {attempt}\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        loop = asyncio.get_running_loop()
        await loop.sock_connect(caller, (LOOPBACK, daemon.front.port))
        await loop.sock_sendall(caller, head.encode() + body)
        return caller

    async def turn(
        self,
        daemon: IngressDaemon,
        body: bytes,
        *,
        attempt: str | None = None,
        program: str = "program",
        previous: str | None = None,
        budget: int = 1000,
        path: str = "/kept/a",
        **extra: str,
    ) -> Answer:
        """Run a turn of a program."""
        if previous:
            extra["X_Previous_Turn"] = previous
        return await self.call(
            daemon,
            path,
            body=body,
            attempt=attempt,
            X_Program_Id=program,
            X_Token_Budget=str(budget),
            X_Token_Usage="10,100",
            X_Deadline_Ms="3000",
            **extra,
        )


async def _exchange(connection: ClientConnection, message: RequestMessage) -> Answer:
    answer = Answer(status=0, complete=False)
    try:
        await connection.send(message)
        head = await connection.read_head()
        answer.status = head.status
        answer.headers = {
            name.decode().lower(): value.decode() for name, value in head.headers
        }
        while (part := await connection.read_body_part()) is not None:
            answer.body += part
        answer.complete = True
    except ExchangeError:
        answer.complete = False
    return answer
