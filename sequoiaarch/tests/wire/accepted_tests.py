"""Test which connections of peers are shut down above the limit."""

from __future__ import annotations

import asyncio
import unittest

import zmq.asyncio

from ...wire.links import Link, Responder, Send
from ...wire.messages import Accepted, Failed, Ping, Reply, Request

KNOWN = "127.0.0.2"
UNKNOWN = "127.0.0.3"
LIMIT = 4
TIMEOUT = 10.0  # seconds


async def accept(request: Request, send: Send) -> Reply:
    """Accept each request."""
    return Accepted()


class AcceptedConnectionsTests(unittest.IsolatedAsyncioTestCase):
    """Open connections to a responder."""

    async def asyncSetUp(self) -> None:
        """Start the responder."""
        self.context = zmq.asyncio.Context()
        self.responder = Responder(
            context=self.context,
            address="tcp://127.0.0.1:*",
            handler=accept,
            max_connections=LIMIT,
        )
        self.responder.connections.known = lambda address: address == KNOWN
        self.task = asyncio.create_task(self.responder.run())
        self.port = int(self.responder.address.rpartition(":")[2])

    async def asyncTearDown(self) -> None:
        """Stop the responder."""
        self.task.cancel()
        self.responder.close()
        self.context.destroy(linger=0)

    async def connect(self, address: str) -> asyncio.StreamReader:
        """Open a connection from an address."""
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", self.port, local_addr=(address, 0)
        )
        self.addCleanup(writer.close)
        # The greeting of the responder shows that the connection was accepted.
        await reader.readexactly(10)
        return reader

    async def ended(self, reader: asyncio.StreamReader) -> None:
        """Wait until a connection was shut down."""
        async with asyncio.timeout(TIMEOUT):
            while await reader.read(100):
                pass

    async def test_unknown_ones_make_room(self) -> None:
        """Guards against a crowd that keeps registered gateways from each other."""
        known = [await self.connect(KNOWN) for _ in range(2)]
        unknown = [await self.connect(UNKNOWN) for _ in range(LIMIT - 2)]
        await self.connect(KNOWN)
        await self.ended(unknown[0])
        self.assertEqual(self.responder.connections.refused, 1)
        self.assertFalse(any(reader.at_eof() for reader in [*known, *unknown[1:]]))

    async def test_newest_is_shut_down(self) -> None:
        """Guards against a connection of a registered gateway that is given up."""
        known = [await self.connect(KNOWN) for _ in range(LIMIT)]
        await self.ended(await self.connect(KNOWN))
        self.assertFalse(any(reader.at_eof() for reader in known))

    async def test_link_after_crowd(self) -> None:
        """Guards against places that are lost when connections end."""
        for _ in range(3 * LIMIT):
            await self.connect(UNKNOWN)
        link = Link(context=self.context, address=self.responder.address)
        try:
            async with asyncio.timeout(TIMEOUT):
                while isinstance(await link.call(Ping(), timeout=1.0), Failed):
                    await asyncio.sleep(0.05)
        finally:
            link.close()
