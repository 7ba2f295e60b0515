"""Run gateways that know each other and engines of several software versions."""

from __future__ import annotations

import asyncio
import json
import random
from dataclasses import dataclass, field
from typing import Any

import zmq.asyncio

from ...fleet.peers import Peers, PeerServer
from ...http1.client import connect
from ...http1.messages import ExchangeError, RequestMessage
from ...ids import DataCentre, HostName, ServiceName
from ...ingress.daemon import IngressDaemon
from ...observe.events import EventLog
from ...standins.target import TargetExchange, TargetStandIn, chunk, stream_head
from ..fleet.delegates_tests import FailingStoreClient
from .deployment import (
    ENGINES,
    HOST,
    LOOPBACK,
    TIMEOUT,
    Behaviour,
    DeploymentTestCase,
    attempt_of,
)

EVENTS = 5
RESUMABLE_PATH = "/free/a"
OK = 200


def versioned_answer(version: str) -> Behaviour:
    """Return the behaviour of an engine that writes its version into its events.

    It goes on behind the event that the request names, and pauses after each event.
    """

    async def answer(exchange: TargetExchange) -> None:
        last = int(exchange.request.header(b"last-event-id") or b"0")
        headers = (("X-Attempt-Id", attempt_of(exchange)), ("X-Server-Stamp", version))
        exchange.send(stream_head(headers))
        for number in range(last + 1, EVENTS + 1):
            exchange.send(chunk(f"id: {number}\ndata: {version}\n\n".encode()))
            await asyncio.sleep(0.02)
        exchange.send(chunk(b""))

    return answer


@dataclass(kw_only=True)
class Stream:
    """What a caller holds of a stream, over all its attempts."""

    first: str
    ids: list[int] = field(default_factory=list)
    versions: list[str] = field(default_factory=list)
    # Status and headers of the last attempt.
    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    error: bytes = b""

    @property
    def mixed(self) -> bool:
        """Return whether the events come from several versions."""
        return len(set(self.versions)) > 1

    @property
    def whole(self) -> bool:
        """Return whether all events arrived once and in order."""
        return self.ids == list(range(1, EVENTS + 1))


@dataclass(kw_only=True)
class GatewayProcess:
    """One gateway with the server for its peers."""

    name: str
    daemon: IngressDaemon
    peers: Peers
    server: PeerServer
    serving: asyncio.Task[None]
    lines: list[bytes]

    def log(self) -> list[dict[str, Any]]:
        """Return the lines that the gateway has written."""
        return [json.loads(line) for line in b"".join(self.lines).splitlines()]


class VersionedDeploymentTestCase(DeploymentTestCase):
    """Run gateways that know each other, and engines."""

    async def asyncSetUp(self) -> None:
        """Prepare the connections between gateways."""
        await super().asyncSetUp()
        self.context = zmq.asyncio.Context()
        self.gateways: dict[str, GatewayProcess] = {}

    async def asyncTearDown(self) -> None:
        """Stop everything."""
        await super().asyncTearDown()
        for name in list(self.gateways):
            await self.kill(name)
        self.context.destroy(linger=0)

    async def add_engine(
        self, name: str, version: str, service: str = ENGINES, **extra: Any
    ) -> TargetStandIn:
        """Start and register an engine of a version."""
        behaviour = versioned_answer(version)
        return await self.add_target(name, service, behaviour, version=version, **extra)

    async def add_gateways(self, *names: str, **extra: Any) -> list[GatewayProcess]:
        """Start gateways and wait until each knows all others."""
        for name in names:
            await self._add_gateway(name, **extra)
        async with asyncio.timeout(TIMEOUT):
            for gateway in self.gateways.values():
                while len(gateway.peers) < len(self.gateways) - 1:
                    await asyncio.sleep(0.01)
        return [self.gateways[name] for name in names]

    async def _add_gateway(self, name: str, **extra: Any) -> None:
        server = PeerServer(
            context=self.context,
            address=f"{LOOPBACK}:*",
            client=FailingStoreClient(),
        )
        peers = Peers(
            context=self.context,
            own=HostName(name),
            own_address=server.address.removeprefix("tcp://"),
            data_centre=DataCentre("here"),
            seeds=[],
            rng=random.Random(name),
        )
        lines: list[bytes] = []

        def write(data: bytes) -> int:
            lines.append(data)
            return len(data)

        serving = asyncio.create_task(server.run())
        daemon = await self.add_daemon(
            name, peers=peers, events=EventLog(write=write), **extra
        )
        server.fallback = daemon.answer_peer
        self.gateways[name] = GatewayProcess(
            name=name,
            daemon=daemon,
            peers=peers,
            server=server,
            serving=serving,
            lines=lines,
        )

    async def kill(self, name: str) -> None:
        """End a gateway at once; its registration stays."""
        gateway = self.gateways.pop(name)
        self.daemons.pop(name, None)
        await gateway.daemon.close()
        gateway.serving.cancel()
        gateway.server.close()
        gateway.peers.close()

    async def wait_for_targets(self, count: int) -> None:
        """Wait until all gateways know so many targets."""
        async with asyncio.timeout(TIMEOUT):
            for gateway in self.gateways.values():
                while len(gateway.daemon.targets) != count:
                    await asyncio.sleep(0.01)

    async def wait_for_engines(self, *names: str) -> None:
        """Wait until all gateways know these engines and no others."""
        async with asyncio.timeout(TIMEOUT):
            for gateway in self.gateways.values():
                while set(names) != {
                    entry.instance
                    for entry in gateway.daemon.targets.of(ServiceName(ENGINES))
                }:
                    await asyncio.sleep(0.01)

    async def begin(self, gateway: GatewayProcess, events: int = 2) -> Stream:
        """Begin a stream and break it off after some events."""
        stream = Stream(first=self.fresh_id())
        await self.receive(gateway, stream, stream.first, events, {})
        return stream

    async def resume(
        self,
        gateway: GatewayProcess,
        stream: Stream,
        events: int = EVENTS,
        **extra: str,
    ) -> None:
        """Resume a stream, and break it off after so many events more."""
        headers = {
            "Resumes": stream.first,
            "Last-Event-Id": str(stream.ids[-1]),
            **{name.replace("_", "-"): value for name, value in extra.items()},
        }
        await self.receive(gateway, stream, self.fresh_id(), events, headers)

    async def receive(
        self,
        gateway: GatewayProcess,
        stream: Stream,
        attempt: str,
        events: int,
        extra: dict[str, str],
    ) -> None:
        """Send one attempt and add up to `events` of its events to the stream."""
        headers = {
            "Host": HOST,
            "X-Attempt-Id": attempt,
            "X-Program-Id": f"p-{stream.first}",
            "X-Token-Budget": "1000",
            "X-Token-Usage": "10,100",
            "X-Deadline-Ms": "3000",
            **extra,
        }
        message = RequestMessage(
            method=b"POST",
            target=RESUMABLE_PATH.encode(),
            headers=[
                (name.encode(), value.encode()) for name, value in headers.items()
            ],
            body=b"prompt",
        )
        address = (LOOPBACK, gateway.daemon.front.port)
        connection = await connect(address, timeout=TIMEOUT)
        body = b""
        try:
            async with asyncio.timeout(TIMEOUT):
                await connection.send(message)
                head = await connection.read_head()
                stream.status = head.status
                stream.headers = {
                    name.decode().lower(): value.decode()
                    for name, value in head.headers
                }
                while (part := await connection.read_body_part()) is not None:
                    body += part
                    if body.count(b"\n\n") >= events:
                        break
        except ExchangeError:
            pass
        finally:
            connection.abort()
        if stream.status != OK:
            stream.error = body
            return
        for event in body.split(b"\n\n")[:-1][:events]:
            number, version = event.decode().split("\n")
            stream.ids.append(int(number.removeprefix("id: ")))
            stream.versions.append(version.removeprefix("data: "))
