"""Test that bytes without end are not read until a request's deadline."""

from __future__ import annotations

import asyncio
import json
import unittest
from collections.abc import Callable

from ...errors import Failure
from ...http1.events import EventSplitter
from ...ingress.daemon import IngressDaemon
from ...standins.target import TargetExchange, stream_head
from ...storage.calls import StoreCall, StoreReply
from ...storage.direct import DirectClient
from .deployment import (
    ENGINES,
    LOOPBACK,
    TOOLS,
    Answer,
    Behaviour,
    DeploymentTestCase,
    attempt_of,
    tool_answer,
)

# Seconds of the 3 s that a request has, in which bytes that are no answer have to be
# given up: others need the processor time, and callers can still try again.
MAX_SECONDS = 1.0
PIECE_BYTES = 8192
INTERIM = b"HTTP/1.1 100 Continue\r\n\r\n"
TINY_CHUNKS = b"1\r\nx\r\n" * (PIECE_BYTES // 6)
LONG_CHUNK = b"2000\r\n" + bytes(PIECE_BYTES) + b"\r\n"

Head = Callable[[TargetExchange], bytes]


def nothing(exchange: TargetExchange) -> bytes:
    """Return no bytes."""
    return b""


def signed(exchange: TargetExchange) -> bytes:
    """Return the head of a signed response."""
    attempt = attempt_of(exchange)
    return stream_head((("X-Attempt-Id", attempt), ("X-Server-Stamp", "s")))


def refusal(exchange: TargetExchange) -> bytes:
    """Return the head of a response which tells that the request was not run."""
    head = stream_head(
        (("X-Attempt-Id", attempt_of(exchange)), ("X-Not-Executed", "1"))
    )
    return head.replace(b"200 OK", b"503 Busy")


class EndlessBytesTests(DeploymentTestCase):
    """Send requests to targets that write until their connection is closed."""

    async def asyncSetUp(self) -> None:
        """Start without targets."""
        await super().asyncSetUp()
        self.began = 0
        self.closed = 0

    def endless(self, head: Head, piece: bytes) -> Behaviour:
        """Return the behaviour of a target that repeats some bytes."""

        async def run(exchange: TargetExchange) -> None:
            self.began += 1
            exchange.send(head(exchange))
            try:
                while not exchange.disconnected.is_set():
                    exchange.send(piece)
                    await exchange.writer.drain()
                    await asyncio.sleep(0)
            except ConnectionError:
                pass
            self.closed += 1

        return run

    async def start(self, service: str, behaviour: Behaviour) -> IngressDaemon:
        """Start a gateway and two targets with a behaviour."""
        for name in ("i-1", "i-2"):
            await self.add_target(name, service, behaviour)
        daemon = await self.add_daemon("one")
        async with asyncio.timeout(MAX_SECONDS):
            while len(daemon.targets) < 2:
                await asyncio.sleep(0.01)
        return daemon

    async def timed_call(self, daemon: IngressDaemon, path: str) -> Answer:
        """Send a request, and check that it does not take until its deadline."""
        began_at = asyncio.get_running_loop().time()
        answer = await self.call(daemon, path, X_Deadline_Ms="3000")
        seconds = asyncio.get_running_loop().time() - began_at
        self.assertLess(seconds, MAX_SECONDS)
        return answer

    async def check_closed(self) -> None:
        """Check that all connections to targets were closed."""
        async with asyncio.timeout(MAX_SECONDS):
            while self.closed < self.began:
                await asyncio.sleep(0.01)

    async def test_interim_responses(self) -> None:
        """Give up interim responses that are followed by no answer."""
        daemon = await self.start(TOOLS, self.endless(nothing, INTERIM * 100))
        for path in ("/once/a", "/safe/a"):
            self.assertEqual((await self.timed_call(daemon, path)).status, 502)
        await self.check_closed()

    async def test_some_interim_responses(self) -> None:
        """Serve a request whose answer follows a few interim responses."""

        async def behaviour(exchange: TargetExchange) -> None:
            exchange.send(INTERIM * 3)
            await tool_answer(exchange)

        daemon = await self.start(TOOLS, behaviour)
        self.assertEqual((await self.timed_call(daemon, "/once/a")).status, 200)

    async def test_body_of_a_refusal(self) -> None:
        """Believe a target that did not run a request, whatever its body is."""
        daemon = await self.start(TOOLS, self.endless(refusal, LONG_CHUNK))
        for path in ("/once/a", "/safe/a"):
            answer = await self.timed_call(daemon, path)
            self.assertEqual(answer.status, 429)
            self.assertEqual(json.loads(answer.body)["reason"], "2 targets refused")
        await self.check_closed()

    async def test_body_of_a_refusal_without_progress(self) -> None:
        """Believe a target that did not run a request and stops within its body."""

        async def behaviour(exchange: TargetExchange) -> None:
            exchange.send(refusal(exchange))
            await exchange.disconnected.wait()

        daemon = await self.start(TOOLS, behaviour)
        answer = await self.timed_call(daemon, "/once/a")
        self.assertEqual(answer.status, 429)

    async def test_broken_body_of_a_refusal(self) -> None:
        """Believe a target that did not run a request and breaks off its body."""

        async def behaviour(exchange: TargetExchange) -> None:
            exchange.send(refusal(exchange) + b"1000\r\nonly the begin")
            exchange.close()

        daemon = await self.start(TOOLS, behaviour)
        answer = await self.timed_call(daemon, "/once/a")
        self.assertEqual(answer.status, 429)

    async def test_tiny_chunks(self) -> None:
        """Give up a body in chunks that take more time than they have content."""
        daemon = await self.start(TOOLS, self.endless(signed, TINY_CHUNKS))
        self.assertEqual((await self.timed_call(daemon, "/once/a")).status, 502)
        await self.check_closed()

    async def test_event_without_end(self) -> None:
        """Give up a stream whose event never ends."""
        daemon = await self.start(ENGINES, self.endless(signed, LONG_CHUNK))
        answer = await self.timed_call(daemon, "/free/a")
        self.assertEqual(answer.status, 502)
        await self.check_closed()

    async def test_long_event(self) -> None:
        """Split a long event in time that grows with its length only."""
        splitter = EventSplitter()
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        for _ in range(4_000):
            self.assertEqual(splitter.feed(b"x" * 250), [])
        [event] = splitter.feed(b"\n\n")
        self.assertEqual(len(event), 1_000_002)
        self.assertLess(loop.time() - began_at, MAX_SECONDS)

    async def test_other_requests(self) -> None:
        """Serve other requests while many targets write without end."""
        daemon = await self.start(TOOLS, self.endless(signed, TINY_CHUNKS))
        calls = [
            asyncio.create_task(self.call(daemon, "/once/a", X_Deadline_Ms="3000"))
            for _ in range(20)
        ]
        await asyncio.sleep(0.1)
        for name in ("i-1", "i-2"):
            self.targets[name].behaviour = tool_answer
        began_at = asyncio.get_running_loop().time()
        answer = await self.call(daemon, "/safe/a", X_Deadline_Ms="3000")
        self.assertEqual(answer.status, 200)
        self.assertLess(asyncio.get_running_loop().time() - began_at, 2 * MAX_SECONDS)
        await asyncio.gather(*calls)


class EndlessStoreTests(unittest.IsolatedAsyncioTestCase):
    """Call a store that writes until its connection is closed."""

    async def call(self, head: bytes, piece: bytes) -> StoreReply | Failure:
        """Call a store that repeats some bytes; check that it does not take long."""

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            writer.write(head)
            try:
                while True:
                    writer.write(piece)
                    await writer.drain()
            except ConnectionError:
                closed.set()

        closed = asyncio.Event()
        server = await asyncio.start_server(serve, LOOPBACK, 0)
        self.addCleanup(server.close)
        client = DirectClient(address=server.sockets[0].getsockname()[:2])
        began_at = asyncio.get_running_loop().time()
        call = StoreCall(method="GET", path="/-/log-read", timeout=3.0)
        reply = await client.call(call)
        self.assertLess(asyncio.get_running_loop().time() - began_at, MAX_SECONDS)
        async with asyncio.timeout(MAX_SECONDS):
            await closed.wait()
        return reply

    async def test_body(self) -> None:
        """Give up the body of a store's response."""
        self.assertIsInstance(await self.call(stream_head(), LONG_CHUNK), Failure)

    async def test_interim_responses(self) -> None:
        """Give up interim responses of a store."""
        self.assertIsInstance(await self.call(b"", INTERIM * 100), Failure)
