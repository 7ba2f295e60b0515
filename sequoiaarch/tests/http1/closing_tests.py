"""Test how connections end after the last response."""

from __future__ import annotations

import asyncio
import socket
import unittest

from ...http1.messages import RequestMessage
from ...http1.server import Server
from ...http1.server_connection import ResponseWriter, ServerLimits

LOOPBACK = "127.0.0.1"
IDLE_TIMEOUT = 1.5
REQUEST = b"GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
KEPT_REQUEST = b"GET /body HTTP/1.1\r\nHost: x\r\n\r\n"
LAST_REQUEST = b"GET /body HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
BODY = bytes(range(256)) * 48
TIMEOUT = 20.0
# Bytes; the kernel's smallest receive buffer, and a send buffer that a body exceeds.
RECEIVE_BUFFER = 2304
SEND_BUFFER = 4608
# Seconds for which a slow client reads nothing, which is more than a stop waits.
PAUSE = 3.5


async def answer(message: RequestMessage, writer: ResponseWriter) -> None:
    """Answer with a body where one is asked for."""
    body = BODY if message.target == b"/body" else b""
    await writer.send_response(200, [], body)


class ClosingTests(unittest.IsolatedAsyncioTestCase):
    """Close connections of clients that don't close their side."""

    async def test_client_goes_on_sending(self) -> None:
        """A client that sends bytes for ever keeps its connection for ever."""
        server = Server(handle=answer, limits=ServerLimits(idle_timeout=IDLE_TIMEOUT))
        await server.start(LOOPBACK, 0)
        reader, writer = await asyncio.open_connection(LOOPBACK, server.port)
        writer.write(REQUEST)
        await reader.read()
        async with asyncio.timeout(4 * IDLE_TIMEOUT):
            while server.connections:
                writer.write(b"x")
                await asyncio.sleep(0.1)
        writer.transport.abort()
        server.stop_accepting()


class SlowClientTests(unittest.IsolatedAsyncioTestCase):
    """Close connections whose clients have not read their answer."""

    async def asyncSetUp(self) -> None:
        """Start a server."""
        self.server = Server(handle=answer, limits=ServerLimits())
        await self.server.start(LOOPBACK, 0)
        self.addCleanup(self.server.abort)
        self.addCleanup(self.server.stop_accepting)

    async def request(
        self, request: bytes = KEPT_REQUEST, *, send_buffer: int | None = None
    ) -> socket.socket:
        """Send a request on a connection with the smallest window."""
        client = socket.socket()
        self.addCleanup(client.close)
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
        client.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(client, (LOOPBACK, self.server.port))
        while not self.server.connections:
            await asyncio.sleep(0.01)
        if send_buffer is not None:
            [connection] = self.server.connections
            assert connection._transport is not None
            sock = connection._transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, send_buffer)
        await loop.sock_sendall(client, request)
        await asyncio.sleep(0.1)
        return client

    async def stop(self) -> None:
        """Stop the server in order."""
        self.server.stopping = True
        self.server.stop_accepting()
        await self.server.wait_drained(TIMEOUT)
        self.server.finish()

    async def assert_whole(self, client: socket.socket, pause: float = 0.0) -> None:
        """Read to the end of the connection, with a pause before each step."""
        loop = asyncio.get_running_loop()
        received = b""
        async with asyncio.timeout(TIMEOUT):
            while data := await loop.sock_recv(client, len(BODY)):
                received += data
                if len(received) < 2 * RECEIVE_BUFFER:
                    await asyncio.sleep(pause)
        self.assertEqual(received.partition(b"\r\n\r\n")[2], BODY)

    async def test_client_pauses_after_the_close(self) -> None:
        """Guards against a kernel that gives up the rest of a closed connection."""
        client = await self.request()
        await asyncio.sleep(PAUSE)
        self.server.finish()
        await self.assert_whole(client, PAUSE)

    async def test_unread_bytes_of_the_client(self) -> None:
        """Guards against a reset for bytes that arrive as the connection closes."""
        client = await self.request()
        client.send(b"x")
        self.server.finish()
        await self.assert_whole(client)

    async def test_client_pauses_after_its_last_request(self) -> None:
        """Guards against dropping what the kernel has not taken from a response."""
        client = await self.request(LAST_REQUEST, send_buffer=SEND_BUFFER)
        await asyncio.sleep(PAUSE)
        await self.assert_whole(client)

    async def test_client_pauses_for_longer_than_a_stop_waits(self) -> None:
        """Guards against a reset by a stop that the kernel could have avoided."""
        client = await self.request(send_buffer=SEND_BUFFER)
        stop = asyncio.create_task(self.stop())
        await asyncio.sleep(PAUSE)
        await stop
        await self.assert_whole(client)

    async def test_client_reads_nothing(self) -> None:
        """Guards against kernel buffers that are kept for clients that never read."""
        self.server.limits = ServerLimits(idle_timeout=IDLE_TIMEOUT)
        client = await self.request()
        loop = asyncio.get_running_loop()
        # Once as an idle connection, and once while it is closed.
        async with asyncio.timeout(2 * IDLE_TIMEOUT + 2.0):
            while self.server.connections:
                await asyncio.sleep(0.1)
        with self.assertRaises(ConnectionResetError):
            while await loop.sock_recv(client, len(BODY)):
                pass

    async def test_idle_clients_are_closed_at_the_limit(self) -> None:
        """Guards against an answer that is cut off to make room for another client."""
        client = await self.request(LAST_REQUEST)
        self.server.limits = ServerLimits(links=1)
        [connection] = self.server.connections
        _, other = await asyncio.open_connection(LOOPBACK, self.server.port)
        await asyncio.sleep(0.1)
        self.assertIn(connection, self.server.connections)
        other.close()
        await self.assert_whole(client)
