"""Test the count of held bytes and what is closed or refused at its limit."""

from __future__ import annotations

import asyncio
import socket
import unittest

from ...http1.client import connect
from ...http1.memory import ClosedConnection, HeldBytes, HeldMemory
from ...http1.messages import RequestMessage
from ...http1.server import Server
from ...http1.server_connection import ResponseWriter, ServerLimits
from ...standins.target import TargetExchange, TargetStandIn, chunk, stream_head

TIMEOUT = 10.0
LOOPBACK = "127.0.0.1"
# Bytes; with the smallest receive buffer little is hidden in the kernel.
RECEIVE_BUFFER = 4096


class _Buffer:
    """Buffer of a connection that drains without notice."""

    def __init__(self, *, held: HeldBytes, size: int) -> None:
        self._held = held
        self._counted = 0
        self.size = size
        held.buffers.append(self)
        self.count_buffers()

    def count_buffers(self) -> None:
        """Count the present size."""
        change = self.size - self._counted
        self._counted = self.size
        self._held.add(change)


class HeldMemoryTests(unittest.TestCase):
    """Count bytes of connections that only record whether they are closed."""

    def setUp(self) -> None:
        """Create a count with a limit of 100 bytes."""
        self.memory = HeldMemory(limit=100)
        self.closed: list[str] = []
        self.logged: list[ClosedConnection] = []
        self.memory.on_close = self.logged.append

    def hold(self, name: str, size: int = 0) -> HeldBytes:
        """Return a connection that holds some bytes."""
        held = HeldBytes(memory=self.memory, close=lambda: self.closed.append(name))
        held.request = name
        held.add(size)
        return held

    def test_largest_connection_is_closed_first(self) -> None:
        """Guards against closing callers that hold little, or more than needed."""
        small = self.hold("small", 20)
        self.hold("large", 45)
        self.hold("medium", 30)
        small.add(10)
        self.assertEqual(self.closed, ["large"])
        self.assertEqual(self.memory.total, 60)
        self.assertEqual(self.memory.closed, 1)
        expected = ClosedConnection(request="large", held=45, total=105, limit=100)
        self.assertEqual(self.logged, [expected])

    def test_connections_are_closed_until_below_the_limit(self) -> None:
        """Guards against a total that stays at the limit after one was closed."""
        held = [self.hold(name, 30) for name in ("a", "b", "c")]
        self.memory.limit = 40
        held[0].add(5)
        self.assertEqual(self.closed[0], "a")
        self.assertEqual(len(self.closed), 2)
        self.assertEqual(self.memory.total, 30)

    def test_drained_buffers_close_nothing(self) -> None:
        """Guards against closing a caller for bytes that it has read since."""
        buffer = _Buffer(held=self.hold("drained"), size=90)
        buffer.size = 0
        self.hold("other", 20)
        self.assertEqual(self.closed, [])
        self.assertEqual(self.memory.total, 20)

    def test_closed_connection_counts_no_more(self) -> None:
        """Guards against a total that drifts as a closed connection is cleaned up."""
        held = self.hold("a", 110)
        self.assertEqual(self.memory.total, 0)
        held.add(-110)
        held.release()
        self.assertEqual(self.memory.total, 0)
        self.assertEqual(self.memory.largest, 0)


class ServerMemoryTests(unittest.IsolatedAsyncioTestCase):
    """Send requests to a server with a memory limit."""

    async def asyncSetUp(self) -> None:
        """Start a server that answers with `self.body`."""
        self.body = b""
        self.handled: list[RequestMessage] = []
        self.memory = HeldMemory(limit=64 * 2**20)
        self.server = Server(
            handle=self.handle, limits=ServerLimits(), memory=self.memory
        )
        await self.server.start(LOOPBACK, 0)
        self.addCleanup(self.server.abort)
        self.addCleanup(self.server.stop_accepting)

    async def handle(self, message: RequestMessage, writer: ResponseWriter) -> None:
        """Answer with the body."""
        self.handled.append(message)
        await writer.send_response(200, [], self.body)

    async def send(self, data: bytes) -> socket.socket:
        """Send a request on a connection that reads nothing by itself."""
        caller = socket.socket()
        self.addCleanup(caller.close)
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
        caller.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(caller, (LOOPBACK, self.server.port))
        await loop.sock_sendall(caller, data)
        return caller

    async def test_unread_response_is_held_once(self) -> None:
        """Guards against a copy of a whole body in the buffer of the socket."""
        self.body = bytes(16 * 2**20)
        caller = await self.send(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
        async with asyncio.timeout(TIMEOUT):
            while not self.memory.total:
                await asyncio.sleep(0.01)
        await asyncio.sleep(0.1)
        self.assertGreater(self.memory.largest, 0)
        self.assertLess(self.memory.largest, 256 * 1024)
        received = 0
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(TIMEOUT):
            while received < len(self.body):
                received += len(await loop.sock_recv(caller, 2**20))
            while self.memory.total:
                await asyncio.sleep(0.01)
                self.memory.count_buffers()

    async def test_body_that_does_not_fit_is_refused_at_once(self) -> None:
        """Guards against reading a body without memory, and retries without a time."""
        HeldBytes(memory=self.memory, close=lambda: None).add(self.memory.limit - 1000)
        caller = await self.send(
            b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2000\r\n\r\n"
        )
        async with asyncio.timeout(TIMEOUT):
            loop = asyncio.get_running_loop()
            answer = await loop.sock_recv(caller, 4096)
        self.assertIn(b"503", answer.split(b"\r\n")[0])
        self.assertIn(b"retry-after: 1.000", answer.lower())
        self.assertEqual(self.handled, [])
        self.assertEqual(self.memory.closed, 0)

    async def test_chunked_body_that_does_not_fit_is_refused(self) -> None:
        """Guards against closing another caller for the body of a new request."""
        HeldBytes(memory=self.memory, close=lambda: None).add(self.memory.limit - 1000)
        caller = await self.send(
            b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
            + chunk(bytes(2000))
        )
        async with asyncio.timeout(TIMEOUT):
            loop = asyncio.get_running_loop()
            answer = await loop.sock_recv(caller, 4096)
        self.assertIn(b"503", answer.split(b"\r\n")[0])
        self.assertEqual(self.memory.closed, 0)


class ReadAheadTests(unittest.IsolatedAsyncioTestCase):
    """Read responses that arrived faster than they are read."""

    async def test_backlog_does_not_block_other_tasks(self) -> None:
        """Guards against a backlog for one caller that holds up all others."""
        size = 160_000

        async def answer(exchange: TargetExchange) -> None:
            exchange.send(stream_head() + chunk(b"x" * 40) * (size // 40) + chunk(b""))

        target = TargetStandIn(behaviour=answer)
        await target.start()
        self.addAsyncCleanup(target.stop)
        connection = await connect((LOOPBACK, target.port), timeout=TIMEOUT)
        self.addCleanup(connection.abort)
        memory = HeldMemory()
        connection.count_for(HeldBytes(memory=memory, close=connection.abort))
        headers = [(b"Host", b"target")]
        await connection.send(
            RequestMessage(method=b"GET", target=b"/", headers=headers)
        )
        await asyncio.sleep(0.2)
        self.assertGreater(memory.total, 60 * 1024)
        progress = 0
        longest = 0
        last = 0

        async def run_other_task() -> None:
            nonlocal longest, last
            while True:
                longest = max(longest, progress - last)
                last = progress
                await asyncio.sleep(0)

        other = asyncio.create_task(run_other_task())
        await connection.read_head()
        while (part := await connection.read_body_part()) is not None:
            progress += len(part)
        other.cancel()
        self.assertEqual(progress, size)
        self.assertLess(longest, size / 4)
        self.assertTrue(connection.finish())
        self.assertEqual(memory.total, 0)
