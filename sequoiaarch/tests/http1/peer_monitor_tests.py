"""Test that slow peers keep their connections, and vanished ones lose them."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import unittest
from unittest import mock

from ...http1 import peer_monitor
from ...http1.client import ClientConnection, connect
from ...http1.delivery import UndeliveredResponse
from ...http1.messages import ExchangeError, RequestMessage
from ...http1.server import Server
from ...http1.server_connection import ResponseWriter, ServerLimits
from ...http1.sockets import Acknowledgements, limit_probe_interval
from ..vanishing import vanish

LOOPBACK = "127.0.0.1"
TIMEOUT = 20.0
# Bytes; the kernel's smallest buffer.
SOCKET_BUFFER = 2304
BODY = bytes(range(256)) * 20
REQUEST = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"
STREAM_REQUEST = b"GET /stream HTTP/1.1\r\nHost: x\r\n\r\n"
# Seconds for which a slow peer reads nothing: longer than a vanished one is tolerated.
PAUSE = 2.5
# Seconds for which a window is closed before its peer vanishes. With the time between
# probes not limited, the next one is more than three seconds away.
CLOSED_SECONDS = 3.5
# Seconds after which an idle connection is closed, longer than a vanished peer may take
# to be noticed.
IDLE_TIMEOUT = 5.0
# Seconds within which a vanished peer must be noticed, which is about two.
NOTICE = 3.0


def small_socket() -> socket.socket:
    """Return a socket that announces the smallest window."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_BUFFER)
    return sock


def probe_delay(sock: socket.socket) -> float:
    """Return by how much probes may be late, as older kernels can't limit that."""
    return 0.0 if limit_probe_interval(sock, limited=False) else 3 * CLOSED_SECONDS


class ClientOfServerTests(unittest.IsolatedAsyncioTestCase):
    """Serve clients that read in steps, and clients that vanish."""

    async def asyncSetUp(self) -> None:
        """Start a server."""
        self.undelivered: list[UndeliveredResponse] = []
        self.server = Server(handle=self.handle, limits=ServerLimits())
        self.server.on_undelivered = self.undelivered.append
        await self.server.start(LOOPBACK, 0)
        self.addCleanup(self.end)

    def end(self) -> None:
        """Close the server and its connections."""
        self.server.stop_accepting()
        self.server.abort()

    async def handle(self, message: RequestMessage, writer: ResponseWriter) -> None:
        """Answer with a body, or keep a stream open."""
        if message.target == b"/stream":
            await asyncio.sleep(TIMEOUT)
        await writer.send_response(200, [], BODY)

    async def request(self, request: bytes = REQUEST) -> socket.socket:
        """Send a request on a connection with the smallest window."""
        client = small_socket()
        self.addCleanup(client.close)
        client.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(client, (LOOPBACK, self.server.port))
        await loop.sock_sendall(client, request)
        return client

    async def assert_noticed(self, delay: float = 0.0) -> None:
        """Check that the connection is closed within the time of a vanished peer."""
        async with asyncio.timeout(NOTICE + delay):
            while self.server.connections:
                await asyncio.sleep(0.01)

    async def test_reads_in_steps(self) -> None:
        """Guards against a client whose window stays closed being cut off."""
        client = await self.request()
        loop = asyncio.get_running_loop()
        received = b""
        async with asyncio.timeout(TIMEOUT):
            while not received.endswith(BODY):
                await asyncio.sleep(PAUSE)
                received += await loop.sock_recv(client, len(BODY))
        self.assertEqual(self.undelivered, [])

    async def test_vanishes_before_the_answer(self) -> None:
        """Guards against a vanished client whose answer is sent again for minutes."""
        client = await self.request(STREAM_REQUEST)
        await asyncio.sleep(0.1)
        [connection] = self.server.connections
        vanish(client)
        await connection.write(BODY)
        await self.assert_noticed()
        [response] = self.undelivered
        self.assertIn("acknowledged nothing for 2", response.reason)

    async def test_vanishes_with_a_closed_window(self) -> None:
        """Guards against a vanished client that is taken for a slow one."""
        client = await self.request()
        await asyncio.sleep(CLOSED_SECONDS)
        vanish(client)
        await self.assert_noticed(probe_delay(client))
        [response] = self.undelivered
        self.assertIn("acknowledged nothing for 2", response.reason)

    async def test_vanishes_during_a_stream(self) -> None:
        """Guards against a stream without events that is kept for nobody."""
        client = await self.request(STREAM_REQUEST)
        await asyncio.sleep(PAUSE)
        vanish(client)
        await self.assert_noticed()
        [response] = self.undelivered
        self.assertEqual(response.ended_by.value, "kernel")

    async def test_vanishes_as_its_connection_is_closed(self) -> None:
        """Guards against a connection that waits for the end of a vanished client."""
        self.server.limits = ServerLimits(idle_timeout=IDLE_TIMEOUT)
        _, writer = await asyncio.open_connection(LOOPBACK, self.server.port)
        await asyncio.sleep(IDLE_TIMEOUT - 0.1)
        vanish(writer.get_extra_info("socket"))
        await self.assert_noticed()
        writer.transport.abort()


class TargetOfClientTests(unittest.IsolatedAsyncioTestCase):
    """Send requests to targets that read in steps, and to targets that vanish."""

    async def asyncSetUp(self) -> None:
        """Listen with the smallest window, and connect."""
        listener = small_socket()
        self.addCleanup(listener.close)
        listener.bind((LOOPBACK, 0))
        listener.listen()
        listener.setblocking(False)
        address = (LOOPBACK, listener.getsockname()[1])
        self.connection: ClientConnection = await connect(address, timeout=TIMEOUT)
        self.addCleanup(self.connection.abort)
        loop = asyncio.get_running_loop()
        self.target, _ = await loop.sock_accept(listener)
        self.addCleanup(self.target.close)

    async def exchange(self, body: bytes) -> int:
        """Send a request and return the status of the response."""
        message = RequestMessage(method=b"POST", target=b"/", headers=[], body=body)
        message.headers.append((b"Host", b"x"))
        await self.connection.send(message)
        return (await self.connection.read_head()).status

    async def test_reads_in_steps(self) -> None:
        """Guards against losing an unsafe request that a target reads slowly."""
        exchange = asyncio.create_task(self.exchange(BODY))
        loop = asyncio.get_running_loop()
        received = b""
        async with asyncio.timeout(TIMEOUT):
            while not received.endswith(BODY):
                await asyncio.sleep(PAUSE)
                received += await loop.sock_recv(self.target, len(BODY))
            response = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
            await loop.sock_sendall(self.target, response)
            self.assertEqual(await exchange, 200)

    async def assert_lost(
        self, exchange: asyncio.Task[int], delay: float = 0.0
    ) -> None:
        """Check that a request fails within the time of a vanished peer."""
        with contextlib.suppress(ExchangeError):
            async with asyncio.timeout(NOTICE + delay):
                self.fail(f"answered with {await exchange}")
        self.assertTrue(exchange.done())

    async def test_vanishes_before_the_request(self) -> None:
        """Guards against a request that waits for a vanished target."""
        vanish(self.target)
        await self.assert_lost(asyncio.create_task(self.exchange(BODY)))

    async def test_vanishes_with_a_closed_window(self) -> None:
        """Guards against a vanished target that is taken for a slow one."""
        exchange = asyncio.create_task(self.exchange(BODY))
        await asyncio.sleep(CLOSED_SECONDS)
        vanish(self.target)
        await self.assert_lost(exchange, probe_delay(self.target))

    async def test_vanishes_while_it_works(self) -> None:
        """Guards against waiting for the response of a vanished target."""
        exchange = asyncio.create_task(self.exchange(b""))
        await asyncio.sleep(PAUSE)
        vanish(self.target)
        await self.assert_lost(exchange)


class LostProbeTests(unittest.IsolatedAsyncioTestCase):
    """Look at a connection over which a probe is lost."""

    async def test_lost_probe(self) -> None:
        """Guards against cutting a slow peer off for one probe that is lost."""
        loop = asyncio.get_running_loop()
        began_at = loop.time()

        def read(sock: socket.socket) -> Acknowledgements:
            """Return the state of a peer 0.2 s away that is probed once a second."""
            now = loop.time() - began_at
            answered = now >= 2.2
            return Acknowledgements(
                data_awaited=False,
                probes=0 if answered else int(now),
                unsent=True,
                silence=now - 2.2 if answered else now,
            )

        lost: list[str] = []
        first, second = socket.socketpair()
        self.addCleanup(first.close)
        self.addCleanup(second.close)
        with (
            mock.patch.object(peer_monitor, "detect_dead_peer", return_value=True),
            mock.patch.object(peer_monitor, "read_acknowledgements", read),
        ):
            monitor = peer_monitor.PeerMonitor(sock=first, lost=lost.append)
            monitor.watch()
            await asyncio.sleep(3.0)
            monitor.stop()
        self.assertEqual(lost, [])
