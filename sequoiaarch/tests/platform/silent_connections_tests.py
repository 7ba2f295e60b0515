"""Test calls to the store while open connections are silent and new ones work."""

from __future__ import annotations

import asyncio
import unittest

from ...ids import Offset
from ...platform.store import PlatformLog
from ...storage.direct import DirectClient
from ...storage.hedged import HedgedClient
from ...storage.keyed import KeyedPage, Partition
from .http_store import HttpStore
from .soak.proxy import LOOPBACK, FaultProxy

PARTITION = Partition(topic="keyed.servers", number=0)
# Connections that are open when all of them fall silent.
OPEN_CONNECTIONS = 12


class SilentConnectionTests(unittest.IsolatedAsyncioTestCase):
    """Call a store over HTTP through a proxy."""

    async def asyncSetUp(self) -> None:
        """Start the store and the proxy."""
        http_store = HttpStore()
        await http_store.server.start(LOOPBACK, 0)
        self.proxy = FaultProxy(target=(LOOPBACK, http_store.server.port))
        await self.proxy.start()
        self.addAsyncCleanup(self.proxy.stop)
        self.addCleanup(http_store.server.stop_accepting)
        self.addCleanup(http_store.server.abort)
        self.http_store = http_store
        client = HedgedClient(client=DirectClient(address=(LOOPBACK, self.proxy.port)))
        self.log = PlatformLog(client=client)

    async def open_connections(self) -> None:
        """Leave idle connections behind, by as many calls at once."""
        self.http_store.delay = 0.05
        await asyncio.gather(
            *(self.log.newest(PARTITION) for _ in range(OPEN_CONNECTIONS))
        )
        self.http_store.delay = 0.0

    async def test_idle_connections_are_silent(self) -> None:
        """Repeats of a call are lost on other idle connections, one after the other."""
        await self.open_connections()
        self.proxy.silence()
        for _ in range(2):
            page = await self.log.read(PARTITION, Offset(0), wait=0)
            self.assertIsInstance(page, KeyedPage)
