"""Test how connections end after the last response."""

from __future__ import annotations

import asyncio
import unittest

from ...http1.messages import RequestMessage
from ...http1.server import Server
from ...http1.server_connection import ResponseWriter, ServerLimits

LOOPBACK = "127.0.0.1"
IDLE_TIMEOUT = 1.5
REQUEST = b"GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"


async def answer(message: RequestMessage, writer: ResponseWriter) -> None:
    """Answer with an empty body."""
    await writer.send_response(200, [], b"")


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
