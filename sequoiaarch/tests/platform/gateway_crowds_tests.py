"""Test that a gateway outlasts crowds of clients that don't behave."""

from __future__ import annotations

import asyncio
import itertools
import json

from ...http1.messages import RequestMessage
from ...standins.keyed_store import KeyedStore
from ...standins.target import TargetExchange, TargetStandIn, whole_answer
from ..crowds.base import CROWD_SECONDS, PATIENCE, CrowdTestCase, call
from ..crowds.crowd import Crowd
from ..crowds.frames import CHUNKED, GREETING, LONG_FRAME, READY_COMMAND
from ..crowds.measure import MIB
from .deployment import (
    ENGINES,
    HOST,
    LOOPBACK,
    TOOLS,
    Behaviour,
    attempt_of,
    config,
    registration,
    route,
    stream_answer,
    tool_answer,
)
from .soak.gateways import MODULE, Gateway

# The smallest machine of a deployment. MiB.
MEMORY_MIB = 128
# Descriptors of a process, of which files take 200.
DESCRIPTORS = 1000
SOCKETS = DESCRIPTORS - 200
HANGING = "hanging"
LARGE = "large"
LARGE_BODY = bytes(MIB)
READY_INTERVAL = 0.05  # seconds
PATHS = {"/tool/": TOOLS, "/hang/": HANGING, "/large/": LARGE}
# Requests of a connection before it begins with the first one again.
REQUESTS = 50


async def hang(exchange: TargetExchange) -> None:
    """Answer nothing."""
    await exchange.disconnected.wait()


async def large_answer(exchange: TargetExchange) -> None:
    """Answer with a body of 1 MiB."""
    headers = (("X-Attempt-Id", attempt_of(exchange)), ("X-Server-Stamp", "s"))
    exchange.send(whole_answer(LARGE_BODY, headers=headers))


def head(
    path: str, *, method: str = "GET", attempt: str = "crowd", fields: bytes = b""
) -> bytes:
    """Return the head of a request."""
    return (
        (
            f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {attempt}\r\n"
        ).encode()
        + fields
        + b"\r\n"
    )


def requests(path: str, *, fields: bytes = b"", body: bytes = b"") -> bytes:
    """Return requests to send ahead on a connection."""
    if body:
        fields += f"Content-Length: {len(body)}\r\n".encode()
    method = "POST" if body else "GET"
    count = 1 if len(body) > MIB else REQUESTS
    return b"".join(
        head(path, method=method, attempt=f"crowd-{number}", fields=fields) + body
        for number in range(count)
    )


class GatewayCrowdTestCase(CrowdTestCase):
    """Run a gateway with the limits of a small machine."""

    async def asyncSetUp(self) -> None:
        """Start a store, targets and a gateway."""
        await super().asyncSetUp()
        self.store = KeyedStore()
        routes = [
            route(prefix, "safe", service, maxAttempts=2)
            for prefix, service in PATHS.items()
        ]
        routes.append(route("/stream/", "stream", ENGINES, resumable=True))
        services = [
            {"name": name, "healthPath": "/h", "maxConns": 500}
            for name in (TOOLS, HANGING, LARGE, ENGINES)
        ]
        document = json.loads(config(1, routes))
        document["services"] = services
        await self.store.put("keyed.op", "config", json.dumps(document).encode())
        self._targets: list[TargetStandIn] = []
        self.addAsyncCleanup(self._stop_targets)
        for service, behaviour in (
            (TOOLS, tool_answer),
            (TOOLS, tool_answer),
            (HANGING, hang),
            (LARGE, large_answer),
            (ENGINES, stream_answer),
        ):
            await self.add_target(service, behaviour)
        self.gateway = Gateway(
            number=1,
            zone="here",
            store=self.store,
            proxies={},
            folder=self.folder,
            module=MODULE,
            memory_mb=MEMORY_MIB,
            descriptors=DESCRIPTORS,
        )
        self.addAsyncCleanup(self.gateway.close)
        await self.gateway.listen()
        self.gateway.write_settings([])
        await self.gateway.start()
        async with asyncio.timeout(PATIENCE):
            while not await self.gateway.ready():
                await asyncio.sleep(READY_INTERVAL)
        self.front = self.gateway.front_address
        self.sampler = self.sample(
            self.gateway.pid,
            [self.front, self.gateway.ready_address, self.gateway.inner_address],
            [target.port for target in self._targets],
        )
        self._ids = itertools.count(1)

    async def add_target(self, service: str, behaviour: Behaviour) -> None:
        """Start and register a target."""
        target = TargetStandIn(behaviour=behaviour)
        await target.start()
        self._targets.append(target)
        entry = registration(service, f"{LOOPBACK}:{target.port}", slots=100)
        name = f"i-{len(self._targets)}"
        await self.store.put("keyed.servers", name, json.dumps(entry).encode())

    async def _stop_targets(self) -> None:
        for target in self._targets:
            await target.stop()
        # The connections that the targets know of are closed while the loop runs.
        self._targets.clear()

    def ordinary(self) -> RequestMessage:
        """Return a request of an ordinary caller."""
        attempt = f"ordinary-{next(self._ids)}".encode()
        headers = [(b"Host", HOST.encode()), (b"X-Attempt-Id", attempt)]
        return RequestMessage(method=b"GET", target=b"/tool/a", headers=headers)

    async def check_sound(self, moment: str) -> None:
        """Check that the process runs and answers an ordinary request."""
        with self.subTest("an ordinary request is answered", moment=moment):
            self.assertTrue(await self.answered(self.front, self.ordinary()))
        with self.subTest("the process lives", moment=moment):
            self.assertEqual(self.gateway.process_state, "running")

    async def check(self, *crowds: Crowd) -> None:
        """Play crowds one after the other, and check the process beside and after."""
        for crowd in crowds:
            async with self.crowd(crowd):
                await asyncio.sleep(CROWD_SECONDS)
                await self.check_sound("beside the crowd")
            await self.check_sound("after the crowd")
        peak = self.sampler.stop()
        self.check_peak(peak, memory_mib=MEMORY_MIB, descriptors=SOCKETS)


class RequestsAheadTests(GatewayCrowdTestCase):
    """Send requests ahead and read no answers."""

    async def test_tool(self) -> None:
        """Requests that wait behind unread answers end the process by memory."""
        ahead = requests("/tool/a")
        await self.check(Crowd.of(self.front, 400, repeated=ahead))

    async def test_twice(self) -> None:
        """A second crowd finds less memory than the first one."""
        crowd = Crowd.of(self.front, 200, repeated=requests("/tool/a"))
        await self.check(crowd, crowd, crowd)

    async def test_without_route(self) -> None:
        """Unread refusals and the requests behind them end the process by memory."""
        ahead = requests("/nowhere/a")
        await self.check(Crowd.of(self.front, 400, repeated=ahead))

    async def test_bodies(self) -> None:
        """Bodies that wait behind unread answers end the process by memory."""
        ahead = requests("/tool/a", body=bytes(100_000))
        await self.check(Crowd.of(self.front, 64, repeated=ahead))

    async def test_large_bodies(self) -> None:
        """Bodies close to their limit end the process by memory."""
        ahead = requests("/tool/a", body=bytes(3 * MIB))
        await self.check(Crowd.of(self.front, 200, repeated=ahead))

    async def test_large_answers(self) -> None:
        """Long answers that nobody reads end the process by memory."""
        ahead = requests("/large/a")
        await self.check(Crowd.of(self.front, 300, repeated=ahead))

    async def test_hanging_target(self) -> None:
        """Requests that wait behind one without an answer end the process by memory."""
        ahead = requests("/hang/a")
        await self.check(Crowd.of(self.front, 300, repeated=ahead))

    async def test_streams(self) -> None:
        """Unread streams and the requests behind them end the process by memory."""
        ahead = requests("/stream/a")
        await self.check(Crowd.of(self.front, 300, repeated=ahead))

    async def test_stop(self) -> None:
        """A process that is stopped beside a crowd does not end by itself."""
        async with self.crowd(Crowd.of(self.front, 200, repeated=requests("/tool/a"))):
            await self.gateway.stop_gracefully()
        self.assertEqual(self.gateway.process_state, "ended with 0")
        peak = self.sampler.stop()
        self.check_peak(peak, memory_mib=MEMORY_MIB, descriptors=SOCKETS)

    async def test_store_away(self) -> None:
        """Requests pile up while the store answers nothing."""
        self.gateway.store_server.status = 503
        ahead = requests("/tool/a")
        async with self.crowd(Crowd.of(self.front, 300, repeated=ahead)):
            await asyncio.sleep(CROWD_SECONDS)
        self.gateway.store_server.status = 200
        await self.check_sound("after the crowd")
        peak = self.sampler.stop()
        self.check_peak(peak, memory_mib=MEMORY_MIB, descriptors=SOCKETS)


class OddRequestsTests(GatewayCrowdTestCase):
    """Send requests that are costly to read."""

    async def test_bytes_after_bad_request(self) -> None:
        """Bytes behind a request that was refused are kept without a limit."""
        crowd = Crowd.of(
            self.front, 600, opening=b"NO REQUEST\r\n\r\n", repeated=bytes(65536)
        )
        await self.check(crowd)

    async def test_tiny_chunks(self) -> None:
        """A body in chunks of one byte keeps the process from all other work."""
        opening = head("/tool/a", method="POST", fields=CHUNKED)
        crowd = Crowd.of(
            self.front, 8, opening=opening, repeated=b"1\r\nx\r\n" * 10_000
        )
        await self.check(crowd)

    async def test_endless_chunk_extension(self) -> None:
        """A chunk whose head never ends is kept without a limit."""
        opening = head("/tool/a", method="POST", fields=CHUNKED) + b"1;"
        crowd = Crowd.of(self.front, 100, opening=opening, repeated=b"x" * 65536)
        await self.check(crowd)

    async def test_many_fields(self) -> None:
        """Heads of many short fields keep the process from all other work."""
        ahead = requests("/tool/a", fields=b"a:\r\n" * 3_500)
        await self.check(Crowd.of(self.front, 64, repeated=ahead))

    async def test_begun_bodies(self) -> None:
        """Bodies that never end hold memory that was not counted."""
        length = f"Content-Length: {4 * MIB}\r\n".encode()
        opening = head("/tool/a", method="POST", fields=length) + bytes(3 * MIB)
        await self.check(Crowd.of(self.front, 200, opening=opening))

    async def test_begun_short_bodies(self) -> None:
        """Requests that never end keep the process from handling others."""
        fields = b"Content-Length: 1000\r\n"
        opening = head("/tool/a", method="POST", fields=fields) + bytes(10)
        await self.check(Crowd.of(self.front, 380, opening=opening))


class ConnectionsTests(GatewayCrowdTestCase):
    """Open more connections than there are descriptors."""

    async def test_silent(self) -> None:
        """Connections that send nothing take all descriptors."""
        await self.check(Crowd.of(self.front, 1500))

    async def test_begun_heads(self) -> None:
        """Connections that begin a request take all descriptors."""
        await self.check(Crowd.of(self.front, 1500, opening=b"GET / HTTP"))

    async def test_resets(self) -> None:
        """Connections that are reset after their request take all descriptors."""
        opening = head("/tool/a")
        await self.check(Crowd.of(self.front, 400, opening=opening, resets=True))


class OtherDoorsTests(GatewayCrowdTestCase):
    """Send to the addresses that are not meant for callers."""

    async def test_ready_address(self) -> None:
        """Requests ahead at the readiness address end the process by memory."""
        ahead = requests("/-/readyz", body=bytes(100_000))
        await self.check(Crowd.of(self.gateway.ready_address, 200, repeated=ahead))
        with self.subTest("the readiness is told"):
            self.assertTrue(await self.gateway.ready())

    async def test_ready_address_silent(self) -> None:
        """Silent connections to the readiness address take all descriptors."""
        await self.check(Crowd.of(self.gateway.ready_address, 1500))
        with self.subTest("the readiness is told"):
            self.assertTrue(await self.gateway.ready())

    async def test_inner_address(self) -> None:
        """Connections to the address for other gateways take all descriptors."""
        await self.check(Crowd.of(self.gateway.inner_address, 1500))

    async def test_inner_address_frames(self) -> None:
        """Frames that announce any length are read into memory."""
        await self.check(
            Crowd.of(
                self.gateway.inner_address,
                100,
                opening=GREETING + READY_COMMAND + LONG_FRAME,
                repeated=bytes(65536),
            )
        )


class CalmTests(GatewayCrowdTestCase):
    """Send single requests at the limits of what callers may send."""

    async def check_served(self, request: RequestMessage) -> None:
        """Check that a request is served at its first attempt."""
        self.assertEqual(await call(self.front, request), 200)

    async def test_longest_body(self) -> None:
        """A limit against crowds refuses the longest body that is allowed."""
        request = self.ordinary()
        request.method, request.body = b"POST", bytes(4 * MIB)
        await self.check_served(request)

    async def test_longest_head(self) -> None:
        """A limit against crowds refuses the longest head that is allowed."""
        request = self.ordinary()
        request.headers += [(f"X-{n}".encode(), b"v" * 30) for n in range(380)]
        await self.check_served(request)

    async def test_long_answer(self) -> None:
        """A limit against crowds cuts a long answer off."""
        request = self.ordinary()
        request.target = b"/large/a"
        await self.check_served(request)
