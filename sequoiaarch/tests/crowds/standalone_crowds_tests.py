"""Test that a stand-alone daemon outlasts crowds of clients that don't behave."""

from __future__ import annotations

import asyncio
import json
import os
import sys
from pathlib import Path

from ...daemon.standalone import TRIAL_KEY, TRIAL_MODEL
from ...http1.messages import RequestMessage
from ..platform.soak.gateways import free_port, own_address
from .base import CROWD_SECONDS, CrowdTestCase
from .crowd import Crowd
from .frames import CHUNKED, GREETING, LONG_FRAME, READY_COMMAND
from .measure import LISTENING, MIB

# The smallest machine of a deployment. MiB.
MEMORY_MIB = 128
DESCRIPTORS = 800
MAX_THREADS = 64
MAX_BODY = MIB
HOST_LINE = b"Host: site.example\r\n"
CHAT = "/v1/chat/completions"
PUBLISH = "/v1/admin/config"
KEY_LINE = f"Authorization: Bearer {TRIAL_KEY}\r\n".encode()


def chat_head(path: str = CHAT, *, length: int, fields: bytes = b"") -> bytes:
    """Return the head of a request with a body."""
    return (
        f"POST {path} HTTP/1.1\r\nContent-Length: {length}\r\n".encode()
        + HOST_LINE
        + fields
        + b"\r\n"
    )


class StandaloneCrowdTestCase(CrowdTestCase):
    """Run a stand-alone daemon with low limits."""

    async def asyncSetUp(self) -> None:
        """Start the daemon."""
        await super().asyncSetUp()
        host = own_address(7)
        self.address = (host, free_port(host))
        http = {
            "address": host,
            "port": self.address[1],
            "max_threads": MAX_THREADS,
            "max_body": MAX_BODY,
        }
        settings = {
            "role": "standalone",
            "host": "trial-1",
            "data_centre": "here",
            "http": http,
        }
        path = self.folder / "settings.jsonc"
        path.write_text(json.dumps(settings))
        with (self.folder / "log").open("wb") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "sequoiaarch.daemon",
                "--settings",
                str(path),
                stdout=log,
                stderr=log,
            )
        self.addAsyncCleanup(self._end_process)
        self.assertTrue(await self.answered(self.address, self.ordinary()))
        self.sampler = self.sample(self.process.pid, [self.address], [])

    async def _end_process(self) -> None:
        if self.process.returncode is None:
            self.process.kill()
        await self.process.wait()

    def ordinary(self) -> RequestMessage:
        """Return a request of an ordinary caller."""
        body = {"model": TRIAL_MODEL, "messages": [{"role": "user", "content": "Hi"}]}
        headers = [
            (b"Host", b"site.example"),
            (b"Authorization", f"Bearer {TRIAL_KEY}".encode()),
            (b"Content-Type", b"application/json"),
        ]
        return RequestMessage(
            method=b"POST",
            target=CHAT.encode(),
            headers=headers,
            body=json.dumps(body).encode(),
        )

    def inner_ports(self) -> list[int]:
        """Return the ports on which the daemon listens for others."""
        links = [
            os.readlink(path) for path in Path(f"/proc/{self.process.pid}/fd").iterdir()
        ]
        ports = []
        for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
            columns = line.split()
            if columns[3] == LISTENING and f"socket:[{columns[9]}]" in links:
                ports.append(int(columns[1][-4:], 16))
        return [port for port in ports if port != self.address[1]]

    async def check_sound(self, moment: str) -> None:
        """Check that the process runs and answers an ordinary request."""
        with self.subTest("an ordinary request is answered", moment=moment):
            self.assertTrue(await self.answered(self.address, self.ordinary()))
        with self.subTest("the process lives", moment=moment):
            self.assertIsNone(self.process.returncode)

    async def check(self, crowd: Crowd) -> None:
        """Play a crowd, and check the process beside it and after it."""
        async with self.crowd(crowd):
            await asyncio.sleep(CROWD_SECONDS)
            await self.check_sound("beside the crowd")
        await self.check_sound("after the crowd")
        peak = self.sampler.stop()
        self.check_peak(peak, memory_mib=MEMORY_MIB, descriptors=DESCRIPTORS)


class StandaloneBodiesTests(StandaloneCrowdTestCase):
    """Send long bodies."""

    async def test_bodies_without_key(self) -> None:
        """Bodies of callers without a key are read into memory."""
        length = 2 * MAX_BODY - 1
        opening = chat_head(length=length) + bytes(length - 1)
        await self.check(Crowd.of(self.address, 200, opening=opening))

    async def test_operators_bodies_without_key(self) -> None:
        """Bodies to the operators' API without a key are read into memory."""
        length = 2 * MAX_BODY - 1
        opening = chat_head(PUBLISH, length=length) + bytes(length - 1)
        await self.check(Crowd.of(self.address, 200, opening=opening))

    async def test_bodies_with_key(self) -> None:
        """Bodies of known callers take memory without a common limit."""
        opening = chat_head(length=MAX_BODY, fields=KEY_LINE) + bytes(MAX_BODY - 1)
        await self.check(Crowd.of(self.address, 200, opening=opening))

    async def test_tiny_chunks(self) -> None:
        """A body in chunks of one byte keeps the process from all other work."""
        opening = b"POST " + CHAT.encode() + b" HTTP/1.1\r\n" + HOST_LINE + CHUNKED
        opening += KEY_LINE + b"\r\n"
        await self.check(
            Crowd.of(self.address, 8, opening=opening, repeated=b"1\r\nx\r\n" * 10_000)
        )


class StandaloneConnectionsTests(StandaloneCrowdTestCase):
    """Keep connections open that use a thread each."""

    async def test_silent(self) -> None:
        """Connections that send nothing keep all threads."""
        await self.check(Crowd.of(self.address, 3 * MAX_THREADS))

    async def test_begun_heads(self) -> None:
        """Connections that begin a request keep all threads."""
        await self.check(
            Crowd.of(self.address, 3 * MAX_THREADS, opening=b"GET / HTTP/1.1\r\n")
        )

    async def test_many_silent(self) -> None:
        """Connections that send nothing take all descriptors."""
        await self.check(Crowd.of(self.address, 1500))

    async def test_requests_ahead(self) -> None:
        """Requests that are sent ahead, with answers unread, keep all threads."""
        ahead = b"GET /nowhere HTTP/1.1\r\n" + HOST_LINE + b"\r\n"
        await self.check(Crowd.of(self.address, 3 * MAX_THREADS, repeated=ahead * 1000))


class StandaloneInnerTests(StandaloneCrowdTestCase):
    """Send to the ports at which sidecars listen for gateways."""

    async def test_frames(self) -> None:
        """Frames that announce any length are read into memory."""
        opening = GREETING + READY_COMMAND + LONG_FRAME
        ports = self.inner_ports()
        self.assertTrue(ports)
        for port in ports:
            crowd = Crowd.of(
                ("127.0.0.1", port), 50, opening=opening, repeated=bytes(65536)
            )
            async with self.crowd(crowd):
                await asyncio.sleep(CROWD_SECONDS / len(ports))
                await self.check_sound("beside the crowd")
        peak = self.sampler.stop()
        self.check_peak(peak, memory_mib=MEMORY_MIB, descriptors=DESCRIPTORS)
