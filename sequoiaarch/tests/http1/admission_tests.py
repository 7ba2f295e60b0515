"""Test which connections make room, and how work that piles up takes turns."""

from __future__ import annotations

import asyncio
import unittest

from ...http1.admission import (
    STALL_TIMEOUT,
    ConnectionState,
    OpenConnections,
    TurnQueue,
)
from ...http1.server import Server
from ...http1.server_connection import MAX_HEADER_FIELDS, ServerLimits
from ..platform.deployment import LOOPBACK
from .echo import answer_at_once

TIMEOUT = 10.0  # seconds


class FakeConnection:
    """Connection that records why it was closed."""

    def __init__(self, stalled: float = 0.0) -> None:
        self.stalled = stalled
        self.evicted: ConnectionState | None = None

    def evict(self, state: ConnectionState) -> None:
        """Record the state."""
        self.evicted = state


class OpenConnectionsTests(unittest.TestCase):
    """Add connections above the limit."""

    def admit(
        self, connections: OpenConnections, state: ConnectionState
    ) -> FakeConnection:
        """Add a connection in a state."""
        connection = FakeConnection()
        self.assertTrue(connections.admit(connection, limit=100))
        connections.enter(connection, state)
        return connection

    def test_order(self) -> None:
        """Guards against closing a caller for a connection that nobody misses."""
        connections = OpenConnections()
        order = (
            ConnectionState.RECEIVING,
            ConnectionState.WAITING,
            ConnectionState.NEW,
            ConnectionState.CLOSING,
        )
        added = [self.admit(connections, state) for state in order]
        for expected in reversed(added):
            self.assertTrue(connections.admit(FakeConnection(), limit=len(order)))
            self.assertIsNotNone(expected.evicted)
            # The connection that came is no candidate of the next round.
            newest = next(reversed(connections._states))
            connections.enter(newest, ConnectionState.HANDLING)

    def test_handled_requests_are_kept(self) -> None:
        """Guards against a request that ran and gets no answer."""
        connections = OpenConnections()
        connection = self.admit(connections, ConnectionState.HANDLING)
        self.assertFalse(connections.admit(FakeConnection(), limit=1))
        self.assertIsNone(connection.evicted)
        self.assertEqual(connections.refused, 1)

    def test_slow_reader_is_kept(self) -> None:
        """Guards against closing a client that opens its window in steps."""
        connections = OpenConnections()
        connection = self.admit(connections, ConnectionState.BLOCKED)
        self.assertFalse(connections.admit(FakeConnection(), limit=1))
        connection.stalled = STALL_TIMEOUT
        self.assertTrue(connections.admit(FakeConnection(), limit=1))
        self.assertIs(connection.evicted, ConnectionState.BLOCKED)


class TurnQueueTests(unittest.IsolatedAsyncioTestCase):
    """Let tasks wait for their turns."""

    async def test_one_in_each_turn(self) -> None:
        """Guards against work that piles up and holds all other work up."""
        queue = TurnQueue()
        went_on: list[int] = []

        async def wait(number: int) -> None:
            await queue.wait()
            went_on.append(number)

        tasks = [asyncio.create_task(wait(number)) for number in range(5)]
        counts = []
        while len(went_on) < len(tasks):
            counts.append(len(went_on))
            await asyncio.sleep(0)
        steps = [
            after - before for before, after in zip(counts, counts[1:], strict=False)
        ]
        self.assertEqual(max(steps), 1)
        self.assertEqual(went_on, sorted(went_on))

    async def test_cancelled_wait(self) -> None:
        """Guards against a turn that is given to a task that has ended."""
        queue = TurnQueue()
        first = asyncio.create_task(queue.wait())
        second = asyncio.create_task(queue.wait())
        await asyncio.sleep(0)
        first.cancel()
        async with asyncio.timeout(TIMEOUT):
            await second


class ServerLimitTests(unittest.IsolatedAsyncioTestCase):
    """Send requests to a server with low limits."""

    async def asyncSetUp(self) -> None:
        """Start the server."""
        self.server = Server(handle=answer_at_once, limits=ServerLimits())
        await self.server.start(LOOPBACK, 0)
        self.addCleanup(self.server.abort)
        self.addCleanup(self.server.stop_accepting)

    async def exchange(self, data: bytes) -> bytes:
        """Send bytes and return all that comes back."""
        reader, writer = await asyncio.open_connection(LOOPBACK, self.server.port)
        writer.write(data)
        async with asyncio.timeout(TIMEOUT):
            answer = await reader.read()
        writer.close()
        return answer

    async def test_requests_ahead_are_answered_in_order(self) -> None:
        """Guards against requests sent ahead that are lost or answered in disorder."""
        count = 100
        requests = b"".join(
            f"POST /{number} HTTP/1.1\r\nHost: h\r\n".encode()
            + b"Content-Length: 3\r\n\r\nabc"
            for number in range(count)
        )
        last = b"GET /last HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
        answer = await self.exchange(requests + last)
        bodies = [part.rpartition(b"\r\n\r\n")[2] for part in answer.split(b"HTTP/1.1")]
        expected = [f"/{number}".encode() for number in range(count)]
        self.assertEqual(bodies[1:], [*expected, b"/last"])

    async def test_too_many_open_requests(self) -> None:
        """Guards against a refusal without the time to come back."""
        self.server.limits = ServerLimits(requests=0)
        answer = await self.exchange(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
        self.assertIn(b"503", answer.split(b"\r\n")[0])
        self.assertIn(b"retry-after: 1.000", answer.lower())
        self.assertEqual(self.server.requests_refused, 1)
        self.assertEqual(self.server.open_requests, 0)

    async def test_many_fields(self) -> None:
        """Guards against heads whose fields cost much to read."""
        for count, status in ((MAX_HEADER_FIELDS - 10, b"200"), (3000, b"431")):
            head = b"GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
            answer = await self.exchange(head + b"a:\r\n" * count + b"\r\n")
            self.assertIn(status, answer.split(b"\r\n")[0])
        self.assertEqual(self.server.heads_refused, 1)
