"""Test that a planned stop waits for callers that read slowly."""

from __future__ import annotations

import asyncio
import socket

from ...standins.target import TargetExchange, whole_answer
from .deployment import TOOLS, DeploymentTestCase, attempt_of

BODY = bytes(range(256)) * 400
READ_BYTES = 2048
READ_INTERVAL = 0.05
# Seconds from the begin of the stop to the request, which callers may still send.
REQUEST_DELAY = 2.2
# The target answers once the gateway takes no new requests. Seconds.
WORK_SECONDS = 0.8
STOP_TIMEOUT = 8.0


async def large_answer(exchange: TargetExchange) -> None:
    """Answer after a while with a body that takes a slow caller some seconds."""
    await asyncio.sleep(WORK_SECONDS)
    headers = (("X-Attempt-Id", attempt_of(exchange)), ("X-Server-Stamp", "s"))
    exchange.send(whole_answer(BODY, headers=headers))


class PlannedStopTests(DeploymentTestCase):
    """Stop a gateway whose callers have not read their answers."""

    async def asyncSetUp(self) -> None:
        """Start a gateway and a service with large answers."""
        await super().asyncSetUp()
        await self.add_target("i-1", TOOLS, large_answer)
        self.daemon = await self.add_daemon("one")

    async def read(self, caller: socket.socket) -> bytes:
        """Read slowly to the end of the connection."""
        loop = asyncio.get_running_loop()
        received = b""
        while data := await loop.sock_recv(caller, READ_BYTES):
            received += data
            await asyncio.sleep(READ_INTERVAL)
        return received

    async def test_slow_reader(self) -> None:
        """A planned stop resets connections whose callers still read an answer."""
        stop = asyncio.create_task(self.daemon.stop())
        await asyncio.sleep(REQUEST_DELAY)
        received = await self.read(await self.send_only(self.daemon, "/once/a"))
        await stop
        self.assertEqual(received.partition(b"\r\n\r\n")[2], BODY)

    async def test_caller_reads_nothing(self) -> None:
        """A caller that reads nothing holds a planned stop up."""
        began_at = asyncio.get_running_loop().time()
        stop = asyncio.create_task(self.daemon.stop())
        await asyncio.sleep(REQUEST_DELAY)
        await self.send_only(self.daemon, "/once/a")
        await stop
        seconds = asyncio.get_running_loop().time() - began_at
        self.assertLess(seconds, STOP_TIMEOUT - 1.0)
