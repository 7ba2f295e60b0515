"""Play crowds against processes of the system."""

from __future__ import annotations

import asyncio
import contextlib
import gc
import sys
import tempfile
import unittest
from collections.abc import AsyncIterator
from pathlib import Path

import msgspec

from ...http1.client import connect
from ...http1.messages import ExchangeError, RequestMessage
from .crowd import Crowd
from .measure import Peak, Sampler

# Seconds for which a crowd goes on once all of its connections were opened.
CROWD_SECONDS = 3.0
# A process that answers no ordinary request for as long counts as hung. Seconds.
PATIENCE = 30.0
# Seconds until an ordinary caller gives up and tries again.
CALL_TIMEOUT = 5.0
RETRY_INTERVAL = 0.2


class CrowdTestCase(unittest.IsolatedAsyncioTestCase):
    """Play crowds in a process of their own, and measure the process under test."""

    async def asyncSetUp(self) -> None:
        """Create a folder for settings and logs."""
        self.addAsyncCleanup(_collect_connections)
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def sample(
        self,
        pid: int,
        addresses: list[tuple[str, int]],
        remote_ports: list[int],
    ) -> Sampler:
        """Measure a process until the test ends."""
        sampler = Sampler(pid=pid, addresses=addresses, remote_ports=remote_ports)
        self.addCleanup(sampler.stop)
        return sampler

    @contextlib.asynccontextmanager
    async def crowd(self, crowd: Crowd) -> AsyncIterator[None]:
        """Run a crowd, from when all of its connections were opened."""
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            f"{__package__}.crowd",
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
        )
        assert process.stdin is not None and process.stdout is not None
        process.stdin.write(msgspec.json.encode(crowd) + b"\n")
        try:
            async with asyncio.timeout(PATIENCE):
                self.assertEqual(await process.stdout.readline(), b"open\n")
            yield
        finally:
            process.stdin.close()
            if process.returncode is None:
                process.kill()
            await process.wait()

    async def answered(self, address: tuple[str, int], request: RequestMessage) -> bool:
        """Return whether an ordinary caller, who may try again, gets an answer."""
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + PATIENCE
        while loop.time() < ends_at:
            with contextlib.suppress(ExchangeError, TimeoutError, OSError):
                async with asyncio.timeout(CALL_TIMEOUT):
                    if await call(address, request) == 200:
                        return True
            await asyncio.sleep(RETRY_INTERVAL)
        return False

    def check_peak(self, peak: Peak, *, memory_mib: int, descriptors: int) -> None:
        """Check that a process stayed within its memory and descriptors."""
        with self.subTest("memory", peak=peak):
            self.assertLessEqual(peak.total, memory_mib)
        with self.subTest("descriptors", peak=peak):
            self.assertLessEqual(peak.descriptors, descriptors)


async def _collect_connections() -> None:
    """Let the event loop close what targets left open."""
    gc.collect()
    await asyncio.sleep(0)


async def call(address: tuple[str, int], request: RequestMessage) -> int:
    """Send a request on a new connection and return the status of its answer."""
    connection = await connect(address, timeout=CALL_TIMEOUT)
    try:
        await connection.send(request)
        head = await connection.read_head()
        while await connection.read_body_part() is not None:
            pass
        return head.status
    finally:
        connection.abort()
